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
}

// heldTo is what an upstream has said in one life and is held to until it starts again.
// No list ends it: the store may be away or behind, and an entry may be missing for a
// while.
type heldTo struct {
	leaving bool
	// restUntil is when the longest of its rests ends. An earlier answer may come later:
	// nothing shortens a rest.
	restUntil time.Time
	// seen is when the life was last listed or said something.
	seen time.Time
}

// forgetAfter is for how long what was said is kept of a life that is not listed: an
// entry that lapsed is back within seconds of the store's return.
const forgetAfter = 10 * time.Minute

// TakeWord takes in what a life of an upstream has said in an answer, and tells what of it is
// new: that it leaves, or a rest that ends later than those before.
func (t *Table) TakeWord(l contract.Life, s Said, now time.Time) (fresh Said) {
	if s == (Said{}) {
		return Said{}
	}
	h := t.said[l]
	if h == nil {
		h = &heldTo{}
		t.said[l] = h
		if st := t.states[l.Upstream]; st != nil && st.born == l.Born {
			st.said = h
		}
	}
	h.seen = now
	if s.Leaving && !h.leaving {
		h.leaving, fresh.Leaving = true, true
	}
	if until := now.Add(s.Rest); until.After(h.restUntil) {
		h.restUntil, fresh.Rest = until, s.Rest
	}
	return fresh
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
	return ok && s.rests(now), ok && s.saysLeaving()
}

// saysLeaving tells whether the upstream has said in this life that it leaves.
func (s *state) saysLeaving() bool { return s.said != nil && s.said.leaving }

// rests tells whether the upstream has asked this VM for a rest that goes on.
func (s *state) rests(now time.Time) bool { return s.said != nil && now.Before(s.said.restUntil) }

// Resting returns how many of the listed upstreams rest, and how many say that they leave.
func (t *Table) Resting(now time.Time) (resting, leaving int) {
	for _, s := range t.ordered {
		if s.rests(now) {
			resting++
		}
		if s.saysLeaving() {
			leaving++
		}
	}
	return resting, leaving
}
