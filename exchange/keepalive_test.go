package exchange

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestParseKeepAlive checks that the keep-alive timeout is found among other parameters and
// that invalid values are ignored.
func TestParseKeepAlive(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"":                                0,
		"timeout=5":                       5 * time.Second,
		"timeout=5, max=100":              5 * time.Second,
		"max=100, timeout=5":              5 * time.Second,
		"max=100,timeout=5":               5 * time.Second,
		"Timeout=5":                       5 * time.Second,
		"max=5":                           0,
		"timeout=":                        0,
		"timeout=soon":                    0,
		"timeout=-5":                      0,
		"timeout=99999999999999999999999": 0,
		"timeout=9999999999999":           0, // overflows time.Duration
		"timeouts=5":                      0,
		"timeout=5;max=3":                 0,
		"timeout=soon, timeout=7":         7 * time.Second,
		"timeout=0":                       0,
		"timeout = 5":                     0,
		" timeout=5 ":                     5 * time.Second,
	} {
		t.Run(value, func(t *testing.T) {
			is.New(t).Equal(parseKeepAlive(http.Header{"Keep-Alive": {value}}), want)
		})
	}
}
