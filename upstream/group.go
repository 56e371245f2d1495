package upstream

import (
	"time"

	"woaddoor/contract"
)

// Group says of which upstreams this VM hears what other VMs send there. The zero
// value is of none but those that nobody else sends to.
type Group struct {
	// Cell is which of Cells groups of a data centre's VMs this one is in. Each
	// has its part of the data centre's engines, which it sends to first.
	Cell, Cells int
	// Region tells that the VMs of other data centres tell of their sends too.
	Region bool
}

// Costs and beliefs about engines of which this VM does not hear.
const (
	// otherCell is what an engine of another cell costs more: little, since its
	// queue is guessed.
	otherCell = 0.03
	// unheardWait is the part of the mean wait at the engines that are heard of
	// that is taken for the wait at the others. Less than all of it, or a cell with
	// more to do than the others would keep it.
	unheardWait = 0.7
)

// heard tells whether this VM hears what others send to an upstream.
func (t *Table) heard(s *state, dc contract.DataCentreID) bool {
	return t.ownCell(s) && (t.group.Region || s.pool.DataCentre == dc)
}

// ownCell tells whether an upstream belongs to the cell of the same number.
func (t *Table) ownCell(s *state) bool {
	return t.group.Cells <= 1 || int(s.seed%uint64(t.group.Cells)) == t.group.Cell
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
// such as one of a release on trial, takes nothing off the others.
func (s *state) reads(now time.Time) bool {
	return !s.readAt.IsZero() && now.Sub(s.readAt) < demandOver
}

// wait returns how long a prompt is expected to wait at an upstream.
func (t *Table) wait(s *state, dc contract.DataCentreID, now time.Time) time.Duration {
	own := s.queue.Wait(now)
	if t.heard(s, dc) {
		return own
	}
	return max(own, time.Duration(unheardWait*float64(t.meanWait)))
}
