package retry

import "time"

// RetryScheduler assigns retry times to refused callers of a rate-limited resource, so
// that the callers return spread over the time in which capacity becomes available.
// Callers that were already given a retry time precede those that are refused now. The
// zero value has no waiting callers.
type RetryScheduler struct {
	// reservedUntil is the time up to which the available capacity is promised to refused callers.
	reservedUntil time.Time
}

// NextDelay returns the delay after which one more refused caller may retry, given that
// perSecond callers are served per second. The delay is picked from the later half of the
// time that the callers before it need, bounded by maxDelay, so that callers that are
// refused together do not come back together. jitter is a random number from 0 to 1.
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
