package exchange

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// HeaderRetryAfter says for how long whoever answers wants no further request (RFC 9110,
// section 10.2.3): seconds, of which fractions are taken too, or a date.
const HeaderRetryAfter = "Retry-After"

// RetryAfterError is a Retry-After that says nothing.
type RetryAfterError struct{ Value string }

func (e *RetryAfterError) Error() string {
	return fmt.Sprintf("%s is %.40q: expected seconds from 0 on, or a date", HeaderRetryAfter, e.Value)
}

// RetryAfter returns for how long an answer asks for no further request; zero when it does
// not. A date counts from the answer's own, so that clocks may differ. Of several values the
// longest holds: none of them is broken by it. It fails with a *RetryAfterError, beside what
// the other values say.
func RetryAfter(h http.Header, now time.Time) (longest time.Duration, err error) {
	for _, value := range h[HeaderRetryAfter] {
		d, ok := retryAfter(value, dated(h, now))
		if !ok {
			err = &RetryAfterError{value}
		}
		longest = max(longest, d)
	}
	return longest, err
}

// dated returns when an answer was made by the clock of whoever made it.
func dated(h http.Header, now time.Time) time.Time {
	if at, err := http.ParseTime(h.Get("Date")); err == nil {
		return at
	}
	return now
}

func retryAfter(value string, now time.Time) (time.Duration, bool) {
	if at, err := http.ParseTime(value); err == nil {
		return max(at.Sub(now), 0), true
	}
	// Digits and a point alone: ParseFloat takes signs, exponents, "inf" and "nan" too.
	if strings.Trim(value, "0123456789.") != "" {
		return 0, false
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return 0, false
	}
	if seconds >= math.MaxInt64/float64(time.Second) {
		return math.MaxInt64, true
	}
	return time.Duration(seconds * float64(time.Second)), true
}
