package daemon

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/logs"
)

// TestRefusalLinesAreBounded guards against a log that callers fill with requests that are refused.
func TestRefusalLinesAreBounded(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	l := &refusalLog{log: logs.New(&out)}
	now := time.Unix(1, 0)
	for range 10 * maxRefusalLines {
		l.record("r", 503, "no room", now)
	}
	is.Equal(strings.Count(out.String(), "\n"), maxRefusalLines)
	l.record("r", 503, "no room", now.Add(time.Second))
	is.True(strings.Contains(out.String(), "omitted=450"))
}
