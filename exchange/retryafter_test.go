package exchange

import (
	"errors"
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRetryAfter checks that values allowed by RFC 9110 and fractions of seconds are accepted
// and all other values are rejected.
func TestRetryAfter(t *testing.T) {
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	for name, c := range map[string]struct {
		values  []string
		date    string
		want    time.Duration
		invalid string
	}{
		"none":                    {},
		"seconds":                 {values: []string{"3"}, want: 3 * time.Second},
		"fraction":                {values: []string{"0.25"}, want: 250 * time.Millisecond},
		"zero":                    {values: []string{"0"}},
		"a million":               {values: []string{"1000000"}, want: 1000000 * time.Second},
		"overflow":                {values: []string{"99999999999999999999999"}, want: math.MaxInt64},
		"date":                    {values: []string{"Sun, 01 Mar 2026 12:00:07 GMT"}, want: 7 * time.Second},
		"date in past":            {values: []string{"Sun, 01 Mar 2026 11:00:00 GMT"}},
		"date by sender's clock":  {values: []string{"Sun, 01 Mar 2026 15:00:07 GMT"}, date: "Sun, 01 Mar 2026 15:00:00 GMT", want: 7 * time.Second},
		"two values":              {values: []string{"2", "5"}, want: 5 * time.Second},
		"two values, one invalid": {values: []string{"soon", "5"}, want: 5 * time.Second, invalid: "soon"},
		"negative":                {values: []string{"-3"}, invalid: "-3"},
		"sign":                    {values: []string{"+3"}, invalid: "+3"},
		"not a number":            {values: []string{"nan"}, invalid: "nan"},
		"infinite":                {values: []string{"inf"}, invalid: "inf"},
		"exponent":                {values: []string{"1e300"}, invalid: "1e300"},
		"hexadecimal":             {values: []string{"0x10"}, invalid: "0x10"},
		"several points":          {values: []string{"1.2.3"}, invalid: "1.2.3"},
		"empty":                   {values: []string{""}, invalid: ""},
		"list":                    {values: []string{"2, 3"}, invalid: "2, 3"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := http.Header{HeaderRetryAfter: c.values}
			if c.date != "" {
				h.Set("Date", c.date)
			}
			got, err := RetryAfter(h, now)
			is.Equal(got, c.want)
			var e *RetryAfterError
			is.Equal(errors.As(err, &e), c.invalid != "" || name == "empty")
			if e != nil {
				is.Equal(e.Value, c.invalid)
			}
		})
	}
}
