package upstream

import (
	"time"

	"woaddoor/contract"
)

// Said is what an upstream says of itself in an answer. The zero value is nothing.
type Said struct {
	// Leaving tells that it ends soon.
	Leaving bool
	// Rest is for how long it wants nothing more from this VM.
	Rest time.Duration
	// Limit is how much it takes from all VMs together.
	Limit Limit
}

// DefaultLongestRest bounds for how long an upstream is obeyed that asks for a rest: one
// that asks for weeks by mistake is back after it without anybody's help, and one that
// means it asks again.
const DefaultLongestRest = 10 * time.Minute

// heldTo is what an upstream has said in one life and is held to until it starts again.
// No list ends it: the store may be away or behind, and an entry may be missing for a
// while.
type heldTo struct {
	leaving bool
	// restUntil is when the longest of its rests ends, and rest how long that is. An earlier
	// answer may come later: nothing shortens a rest.
	restUntil time.Time
	rest      time.Duration
	limit     limit
	// seen is when the life was last listed or said something.
	seen time.Time
}

// forgetAfter is for how long what was said is kept of a life that is not listed: an
// entry that lapsed is back within seconds of the store's return.
const forgetAfter = 10 * time.Minute

// TakeWord takes in what a life of an upstream has said in an answer, and tells what of it is
// new: that it leaves, or a rest that ends later than those before.
func (t *Table) TakeWord(l contract.Life, s Said, now time.Time) (fresh Said) {
	if !s.Leaving && s.Rest == 0 {
		return Said{}
	}
	h := t.hold(l, now)
	if s.Leaving && !h.leaving {
		h.leaving, fresh.Leaving = true, true
	}
	if until := now.Add(s.Rest); until.After(h.restUntil) {
		h.restUntil, h.rest, fresh.Rest = until, s.Rest, s.Rest
	}
	return fresh
}

// hold returns what a life is held to, which it has said something of.
func (t *Table) hold(l contract.Life, now time.Time) *heldTo {
	h := t.said[l]
	if h == nil {
		t.forget(now)
		h = &heldTo{}
		t.said[l] = h
		if st := t.states[l.Upstream]; st != nil && st.born == l.Born {
			st.said = h
		}
	}
	h.seen = now
	return h
}

// restHint is what an upstream costs more that has asked another VM for a rest: as much as
// one of which half of the late requests failed. It is asked less, and still where there is
// no better: its word to one VM is none to the others.
const restHint = failedWork / 2

// RestTold takes in that an upstream has asked another VM for a rest that goes on for a time.
func (t *Table) RestTold(id contract.UpstreamID, left time.Duration, now time.Time) {
	s, ok := t.states[id]
	if !ok {
		return
	}
	if until := now.Add(left); until.After(s.othersRest) {
		s.othersRest = until
	}
}

// forget drops what was said by lives that have not been listed for long.
func (t *Table) forget(now time.Time) {
	for l, h := range t.said {
		if s := t.states[l.Upstream]; s != nil && s.said == h {
			h.seen = now
		} else if now.Sub(h.seen) >= forgetAfter {
			delete(t.said, l)
		}
	}
}

// Life returns the life in which an upstream is known.
func (t *Table) Life(id contract.UpstreamID) contract.Life {
	l := contract.Life{Upstream: id}
	if s, ok := t.states[id]; ok {
		l.Born = s.born
	}
	return l
}

// RestsEnded returns the lives whose rests have ended since it was last called.
func (t *Table) RestsEnded(now time.Time) []contract.Life {
	var out []contract.Life
	for l, h := range t.said {
		if !h.restUntil.IsZero() && !now.Before(h.restUntil) {
			h.restUntil = time.Time{}
			out = append(out, l)
		}
	}
	return out
}

// WordOf tells whether an upstream rests, and whether it has said that it leaves.
func (t *Table) WordOf(id contract.UpstreamID, now time.Time) (resting, leaving bool) {
	s, ok := t.states[id]
	return ok && s.said.rests(now), ok && s.said.leaves()
}

// takes tells whether an upstream wants new work, by whoever says so: the store's list, a
// report, or itself in an answer. Every choice asks it, the last resort too: what an
// upstream wants is not a matter of health.
func (s *state) takes(now time.Time) bool { return !s.leaves() && !s.said.rests(now) }

// leaves tells whether an upstream is to end soon.
func (s *state) leaves() bool {
	return s.leaving != 0 && s.leaving >= s.incarnation || s.said.leaves()
}

// Takes tells whether a life of an upstream that was chosen wants new work still.
func (t *Table) Takes(l contract.Life, now time.Time) bool {
	if s := t.states[l.Upstream]; s != nil && s.born == l.Born {
		return s.takes(now)
	}
	h := t.said[l] // it is not listed any more, and may be chosen still
	return !h.leaves() && !h.rests(now)
}

// Leaves tells whether an upstream is to end soon, by the list or by its own word.
func (t *Table) Leaves(id contract.UpstreamID) bool {
	s, ok := t.states[id]
	return ok && s.leaves()
}

// leaves tells whether a life has said that it ends soon; nil has said nothing.
func (h *heldTo) leaves() bool { return h != nil && h.leaving }

// rests tells whether a life has asked this VM for a rest that goes on; nil has said nothing.
func (h *heldTo) rests(now time.Time) bool { return h != nil && now.Before(h.restUntil) }

// Resting returns how many of the listed upstreams rest, and how many say that they leave.
func (t *Table) Resting(now time.Time) (resting, leaving int) {
	for _, s := range t.ordered {
		if s.said.rests(now) {
			resting++
		}
		if s.said.leaves() {
			leaving++
		}
	}
	return resting, leaving
}
