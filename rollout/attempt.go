package rollout

import (
	"time"
)

// AttemptStart describes an attempt of a service that has a release rollout.
type AttemptStart struct {
	// Release is the release of the attempt's upstream.
	Release string
	Route   string
	// Model is the model of a request with a prompt; empty for other requests.
	Model string
	// Expected is the expected time to the first token of a prompt at an upstream of ordinary pace.
	Expected time.Duration
	// Retry is set for an attempt at a request of which an attempt has failed. Its outcome does not count, since
	// a request may fail everywhere.
	Retry bool
	// Independent is set for a request that belongs to no session.
	Independent bool
	// Incomparable is set if the attempt's durations show nothing about the release,
	// as at an upstream that is still cold.
	Incomparable bool
}

// End is how an attempt ended, as far as it shows something about the release.
type End uint8

// Ends of an attempt.
const (
	// EndWhole means that the answer is complete.
	EndWhole End = iota
	// EndFailed means that the upstream failed the request or broke the answer off.
	EndFailed
	// EndCut means that the caller or the VM ended the attempt. Its durations are lower bounds.
	EndCut
	// EndUnsettled means that the upstream failed the request, which will be sent again: Settle tells whether the failure
	// counts.
	EndUnsettled
	// EndNotRun means that the upstream did not run the request: nothing is known of the release.
	EndNotRun
	// EndDiscarded means that the VM ended the attempt for a reason that has nothing to do with how long it
	// took, such as an answer of too low confidence.
	EndDiscarded
)

// Attempt is an attempt that a Canary follows from its send to its end, so that each attempt counts once,
// however it ends. Its methods need the lock that guards the Canary.
type Attempt struct {
	canary   *Canary
	start    AttemptStart
	onTrial  bool
	group    uint8
	sentAt   time.Time
	firstAt  time.Time // zero before the answer began
	events   int       // events after the first chunk
	measured [phaseCount]bool
	ended    bool
}

// maxBoundRank is the largest rank of a lower bound that counts. The end of the phase would have had a smaller one.
const maxBoundRank = 0.5

// comparedEvents is the number of events after the first over which the time between events is measured.
const comparedEvents = 5

// Begin records that an attempt is sent.
func (c *Canary) Begin(start AttemptStart, now time.Time) *Attempt {
	a := &Attempt{canary: c, start: start, onTrial: start.Release == c.order.Release, group: routeGroup(start.Route), sentAt: now}
	if start.Independent && !start.Retry {
		c.independent.count(a.onTrial)
	}
	if a.onTrial && c.order.State == OrderOpen {
		c.count(a.group, now, countSent)
		c.open[a] = true
	}
	return a
}

// kind returns the kind of the attempt's duration in a phase.
func (a *Attempt) kind(p Phase) Kind {
	if a.start.Model == "" {
		return Kind{p, "route " + a.start.Route}
	}
	return Kind{p, "model " + a.start.Model}
}

// expected returns the expected duration of a phase, or zero if none is known.
func (a *Attempt) expected(p Phase) time.Duration {
	if p == PhaseFirst {
		return a.start.Expected
	}
	return 0
}

// First records that the answer begins, or that an answer that is not a stream is complete.
func (a *Attempt) First(now time.Time) {
	if a.ended || !a.firstAt.IsZero() {
		return
	}
	a.firstAt = now
	a.countAnswered(now)
	a.measure(PhaseFirst, now.Sub(a.sentAt), false, now)
}

// Events records that n events of a stream have arrived. Those that arrive first begin the answer.
func (a *Attempt) Events(n int, now time.Time) {
	if a.firstAt.IsZero() {
		a.First(now)
		return
	}
	a.events += n
	if a.events >= comparedEvents {
		a.measure(PhaseEvent, now.Sub(a.firstAt)/time.Duration(a.events), false, now)
	}
}

// End records how the attempt ended.
func (a *Attempt) End(end End, now time.Time) {
	if a.ended {
		return
	}
	switch {
	case end == EndCut:
		a.measureBound(now)
	case (end == EndWhole || end == EndFailed && !a.start.Retry) && a.firstAt.IsZero():
		a.countAnswered(now)
	}
	a.ended = true
	c := a.canary
	delete(c.open, a)
	switch {
	case c.order.State != OrderOpen || end == EndCut || end == EndUnsettled:
	case a.start.Retry && end == EndFailed:
		a.countNotRun(now)
	case a.start.Retry && end == EndWhole:
	case end == EndDiscarded && !a.firstAt.IsZero():
	case end == EndNotRun || end == EndDiscarded:
		a.countNotRun(now)
	case end == EndFailed && a.onTrial:
		c.count(a.group, now, countBad)
	case end == EndFailed:
		c.count(a.group, now, countOthersBad)
	case end == EndWhole && a.onTrial:
		c.count(a.group, now, countGood)
	case end == EndWhole:
		c.count(a.group, now, countOthersGood)
	}
}

// Settle counts the failure of an attempt that ended with EndUnsettled, unless the request failed everywhere, which shows
// nothing about a release.
func (a *Attempt) Settle(failedEverywhere bool, now time.Time) {
	switch c := a.canary; {
	case c.order.State != OrderOpen:
	case failedEverywhere:
		a.countNotRun(now)
	case a.onTrial:
		a.countAnswered(now)
		c.count(a.group, now, countBad)
	default:
		c.count(a.group, now, countOthersBad)
	}
}

// countNotRun counts that the attempt shows nothing about the release.
func (a *Attempt) countNotRun(now time.Time) {
	if a.onTrial && a.canary.order.State == OrderOpen {
		a.canary.count(a.group, now, countNotRun)
	}
}

// countAnswered counts that the upstream has answered or failed the attempt.
func (a *Attempt) countAnswered(now time.Time) {
	if a.onTrial && a.canary.order.State == OrderOpen {
		a.canary.count(a.group, now, countAnswered)
	}
}

// bound returns the phase in which the attempt is, and a lower bound of the phase's duration.
func (a *Attempt) bound(now time.Time) (Phase, time.Duration) {
	if a.firstAt.IsZero() {
		return PhaseFirst, now.Sub(a.sentAt)
	}
	return PhaseEvent, now.Sub(a.firstAt) / comparedEvents
}

// measureBound records what the time so far shows of the phase in which the attempt is.
func (a *Attempt) measureBound(now time.Time) {
	p, d := a.bound(now)
	a.measure(p, d, true, now)
}

// measure compares a duration with the reference, or adds it to the reference.
func (a *Attempt) measure(p Phase, d time.Duration, lowerBound bool, now time.Time) {
	c, k := a.canary, a.kind(p)
	if a.measured[p] || a.ended || a.start.Incomparable {
		return
	}
	if !a.onTrial {
		a.measured[p] = true
		c.reference.add(k, referenceSample{d, a.expected(p), lowerBound, now})
		return
	}
	rank, known := c.reference.rank(k, d, a.expected(p), now)
	if lowerBound && rank.share > maxBoundRank {
		return // the attempt ended too early to tell
	}
	if !known || c.order.State != OrderOpen || !c.reference.use(k) {
		return
	}
	a.measured[p] = true
	c.count(a.group, now, countRank(p, rank.share))
}

// isSlow reports whether the time so far already has the smallest rank, so that the end of the phase
// cannot change it.
func (a *Attempt) isSlow(now time.Time) bool {
	p, d := a.bound(now)
	rank, known := a.canary.reference.rank(a.kind(p), d, a.expected(p), now)
	return known && !a.measured[p] && rank.slowest
}

// ObserveOpen counts attempts that are under way and are slow already: a slow answer counts before it ends.
func (c *Canary) ObserveOpen(now time.Time) {
	for a := range c.open {
		if a.isSlow(now) {
			a.measureBound(now)
		}
	}
}
