package retry

import "time"

// RetryScheduler assigns retry times to refused callers of a rate-limited resource,
// so that the callers return spread over the time in which capacity becomes available.
// Callers that already have a retry time come before callers that are refused now.
// The zero value has no waiting callers.
type RetryScheduler struct {
	// reservedUntil is the time up to which the available capacity is promised to refused callers.
	reservedUntil time.Time
}

// NextDelay returns the delay after which one more refused caller may retry,
// if perSecond callers are served per second. Serving this caller and all callers before it takes
// some time, at most maxDelay. The delay is picked at random from the later half of that time.
// Callers that are refused together therefore do not come back together.
// The parameter jitter is a random number from 0 to 1.
func (r *RetryScheduler) NextDelay(perSecond float64, maxDelay time.Duration, jitter float64, now time.Time) time.Duration {
	interval := min(time.Duration(float64(time.Second)/max(perSecond, 1/maxDelay.Seconds())), maxDelay)
	if r.reservedUntil.Before(now) {
		r.reservedUntil = now
	}
	r.reservedUntil = r.reservedUntil.Add(interval)
	if latest := now.Add(maxDelay); r.reservedUntil.After(latest) {
		r.reservedUntil = latest
	}
	delay := r.reservedUntil.Sub(now)
	return delay - time.Duration(jitter/2*float64(delay))
}

// Pending reports whether some refused callers have not reached their retry time yet.
func (r *RetryScheduler) Pending(now time.Time) bool { return r.reservedUntil.After(now) }
