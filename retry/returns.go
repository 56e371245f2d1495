package retry

import "time"

// Returns spreads callers that were refused, for want of what comes at a rate, over when
// there is some for each: those that were told to come back wait before who is refused now.
// The zero value is of none that wait.
type Returns struct {
	// until is up to when what comes is promised.
	until time.Time
}

// Next returns when one more caller may come back, where so many a second are served. It is
// drawn from the later half of the time that those before it need, which longest bounds:
// callers that are refused together do not come back together. draw is from 0 to 1.
func (r *Returns) Next(perSecond float64, longest time.Duration, draw float64, now time.Time) time.Duration {
	each := min(time.Duration(float64(time.Second)/max(perSecond, 1/longest.Seconds())), longest)
	if r.until.Before(now) {
		r.until = now
	}
	r.until = r.until.Add(each)
	if last := now.Add(longest); r.until.After(last) {
		r.until = last
	}
	lead := r.until.Sub(now)
	return lead - time.Duration(draw/2*float64(lead))
}

// Awaited tells whether callers that were told to come back have not had their time yet.
func (r *Returns) Awaited(now time.Time) bool { return r.until.After(now) }
