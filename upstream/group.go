package upstream

import (
	"time"

	"woaddoor/contract"
)

// Group says of which upstreams this VM hears what other VMs send there. The zero
// value is of those of its own data centre.
type Group struct {
	// Region tells that the VMs of other data centres tell of their sends too.
	Region bool
	// VMs is how many VMs send to the upstreams that are heard of: those of the
	// region, or of the data centre. Zero means that it is not known.
	VMs int
}

// Beliefs about engines of which this VM does not hear.
const (
	// unheardWait is the part of the mean wait at the engines that are heard of
	// that is taken for the wait at the others. Less than all of it, or a data centre
	// with more to do than the others would keep it.
	unheardWait = 0.7
)

// heard tells whether this VM hears what others send to an upstream.
func (t *Table) heard(s *state, dc contract.DataCentreID) bool {
	return t.group.Region || s.pool.DataCentre == dc
}

// SetGroup takes in of which upstreams this VM hears.
func (t *Table) SetGroup(g Group) { t.group = g }

// meanWaits takes the mean wait at the engines that are heard of and that read.
func (t *Table) meanWaits(dc contract.DataCentreID, now time.Time) {
	total, n := time.Duration(0), 0
	for _, s := range t.states {
		if s.reads(now) && t.heard(s, dc) {
			total += s.queue.Wait(now)
			n++
		}
	}
	t.meanWait = total / time.Duration(max(n, 1))
}

// reads tells whether an engine is sent prompts now. One that nobody sends to,
// such as one of a release on trial or one that rests, takes nothing off the others.
func (s *state) reads(now time.Time) bool {
	return !s.readAt.IsZero() && now.Sub(s.readAt) < demandOver && s.takes(now)
}

// wait returns how long a prompt is expected to wait at an upstream.
func (t *Table) wait(s *state, dc contract.DataCentreID, now time.Time) time.Duration {
	own := s.queue.Wait(now)
	if t.heard(s, dc) {
		return own
	}
	return max(own, time.Duration(unheardWait*float64(t.meanWait)))
}
