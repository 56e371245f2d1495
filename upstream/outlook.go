package upstream

import "time"

// Outlook summarizes when the upstreams that could serve a request will accept requests again.
type Outlook struct {
	// Listed is the number of upstreams that could serve the request.
	// BackedOff counts the upstreams that requested a back-off (a time without requests),
	// Leaving counts the upstreams that are about to stop, and AtLimit counts the upstreams
	// whose rate limit allows this VM no request now.
	// NoRoom counts the brittle upstreams of whose room this VM has used its part,
	// or which have rejected a request a moment ago. ShareUsed counts the upstreams of whose
	// connections this VM has used its share.
	Listed, BackedOff, Leaving, AtLimit, NoRoom, ShareUsed int
	// PerSecond is the total request rate that the upstreams counted in AtLimit accept from
	// all VMs.
	PerSecond float64
	// NextBackoffEnd is the time until the first back-off ends.
	// NextBackoffLength is the whole length of that back-off:
	// callers are refused for about that length of time.
	NextBackoffEnd, NextBackoffLength time.Duration
}

// NoneAccepting reports whether no upstream accepts requests now but at least one upstream will
// accept requests later.
func (o Outlook) NoneAccepting() bool {
	return o.BackedOff+o.AtLimit > 0 && o.BackedOff+o.AtLimit+o.Leaving == o.Listed
}

// SharesUsed reports whether upstreams may accept requests of other VMs though none of this one:
// what they accept is divided among the VMs, and this VM has used up its part.
func (o Outlook) SharesUsed() bool { return o.AtLimit+o.NoRoom+o.ShareUsed > 0 }

// Outlook returns when the upstreams that a query allows will accept requests again. It includes
// the upstreams that have already failed the request.
func (t *Table) Outlook(q Query, now time.Time) Outlook {
	q.Exclude = nil
	var o Outlook
	for _, s := range t.sortedStates {
		if !q.allows(s) {
			continue
		}
		o.Listed++
		switch {
		case s.isLeaving():
			o.Leaving++
		case s.notices.inBackoff(now):
			o.BackedOff++
			if in := s.notices.backoffUntil.Sub(now); o.BackedOff == 1 || in < o.NextBackoffEnd {
				o.NextBackoffEnd, o.NextBackoffLength = in, s.notices.backoff
			}
		case !t.withinLimit(s, now):
			o.AtLimit++
			o.PerSecond += maxSendRate(s.notices.limit.PerSecond)
		case !t.withinRoom(s, now):
			o.NoRoom++
		case !s.hasFreeConnection():
			o.ShareUsed++
		}
	}
	return o
}
