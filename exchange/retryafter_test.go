package exchange

import (
	"errors"
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRetryAfter reads what RFC 9110 allows, fractions besides, and nothing else.
func TestRetryAfter(t *testing.T) {
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	for name, c := range map[string]struct {
		values []string
		date   string
		want   time.Duration
		wrong  string
	}{
		"none":           {},
		"seconds":        {values: []string{"3"}, want: 3 * time.Second},
		"fraction":       {values: []string{"0.25"}, want: 250 * time.Millisecond},
		"zero":           {values: []string{"0"}},
		"a million":      {values: []string{"1000000"}, want: 1000000 * time.Second},
		"beyond a time":  {values: []string{"99999999999999999999999"}, want: math.MaxInt64},
		"date":           {values: []string{"Sun, 01 Mar 2026 12:00:07 GMT"}, want: 7 * time.Second},
		"date in past":   {values: []string{"Sun, 01 Mar 2026 11:00:00 GMT"}},
		"by its clock":   {values: []string{"Sun, 01 Mar 2026 15:00:07 GMT"}, date: "Sun, 01 Mar 2026 15:00:00 GMT", want: 7 * time.Second},
		"two":            {values: []string{"2", "5"}, want: 5 * time.Second},
		"two, one wrong": {values: []string{"soon", "5"}, want: 5 * time.Second, wrong: "soon"},
		"negative":       {values: []string{"-3"}, wrong: "-3"},
		"sign":           {values: []string{"+3"}, wrong: "+3"},
		"not a number":   {values: []string{"nan"}, wrong: "nan"},
		"infinite":       {values: []string{"inf"}, wrong: "inf"},
		"exponent":       {values: []string{"1e300"}, wrong: "1e300"},
		"hexadecimal":    {values: []string{"0x10"}, wrong: "0x10"},
		"points":         {values: []string{"1.2.3"}, wrong: "1.2.3"},
		"empty":          {values: []string{""}, wrong: ""},
		"list":           {values: []string{"2, 3"}, wrong: "2, 3"},
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
			is.Equal(errors.As(err, &e), c.wrong != "" || name == "empty")
			if e != nil {
				is.Equal(e.Value, c.wrong)
			}
		})
	}
}
