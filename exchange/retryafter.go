package exchange

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// HeaderRetryAfter is the header
// that asks to send no further request for some time (RFC 9110, section 10.2.3).
// The value of the header is a date or a number of seconds;
// unlike the RFC, this package accepts fractions of seconds.
const HeaderRetryAfter = "Retry-After"

// RetryAfterError is a Retry-After header that cannot be parsed.
type RetryAfterError struct{ Value string }

func (e *RetryAfterError) Error() string {
	return fmt.Sprintf("%s is %.40q: expected a number of seconds from 0, or a date", HeaderRetryAfter, e.Value)
}

// RetryAfter returns for how long a response asks to send no further request,
// or zero if the response does not ask.
// A date is compared with the Date header of the response, so that clocks may differ.
// Of several values the longest is used, because the longest wait satisfies all values.
// An invalid value causes a *RetryAfterError; the result still covers the valid values.
func RetryAfter(h http.Header, now time.Time) (longest time.Duration, err error) {
	for _, value := range h[HeaderRetryAfter] {
		d, ok := parseRetryAfter(value, responseDate(h, now))
		if !ok {
			err = &RetryAfterError{value}
		}
		longest = max(longest, d)
	}
	return longest, err
}

// responseDate returns when a response was created, by the clock of its sender.
func responseDate(h http.Header, now time.Time) time.Time {
	if at, err := http.ParseTime(h.Get("Date")); err == nil {
		return at
	}
	return now
}

func parseRetryAfter(value string, now time.Time) (time.Duration, bool) {
	if at, err := http.ParseTime(value); err == nil {
		return max(at.Sub(now), 0), true
	}
	// Allow only digits and a decimal point:
	// ParseFloat also accepts signs, exponents, "inf" and "nan".
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
