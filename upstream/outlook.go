package upstream

import "time"

// Outlook is what the upstreams that could answer a request say of their next time.
type Outlook struct {
	// Listed is how many there are, Resting and Leaving how many of them rest, and leave, and
	// AtLimit how many have all that they take now by their limits.
	Listed, Resting, Leaving, AtLimit int
	// PerSecond is how many requests a second those at their limits take from all VMs.
	PerSecond float64
	// In is how long the first that rests goes on resting, and Rest for how long it has
	// asked: about as long as callers have been turned away since.
	In, Rest time.Duration
}

// Closed tells whether none wants a request now, and one will.
func (o Outlook) Closed() bool {
	return o.Resting+o.AtLimit > 0 && o.Resting+o.AtLimit+o.Leaving == o.Listed
}

// Outlook returns what the upstreams that a query allows say, those that have failed it
// among them.
func (t *Table) Outlook(q Query, now time.Time) Outlook {
	q.Exclude = nil
	var o Outlook
	for _, s := range t.ordered {
		if !q.allows(s) {
			continue
		}
		o.Listed++
		switch {
		case s.leaves():
			o.Leaving++
		case s.said.rests(now):
			o.Resting++
			if in := s.said.restUntil.Sub(now); o.Resting == 1 || in < o.In {
				o.In, o.Rest = in, s.said.rest
			}
		case !t.within(s, now):
			o.AtLimit++
			o.PerSecond += served(s.said.limit.PerSecond)
		}
	}
	return o
}
