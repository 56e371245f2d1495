package upstream

import (
	"math/rand/v2"
	"time"

	"woaddoor/contract"
)

// Work is what a request asks of an upstream before its first answer. Prompts
// differ in length by three orders of magnitude and hold up whatever runs
// beside them, so requests are weighed and not counted. The zero value is a
// call to a plain service.
type Work struct {
	// Prompt is the prompt's length, Shared that of the part which other
	// requests share and which a home keeps, both in tokens.
	Prompt, Shared float64
	// Scale is what a token costs with the request's model, against one of the
	// largest model: 0 to 1.
	Scale float64
}

// Weights of the choice, in tokens of the largest model.
const (
	// farAway is the work that going to another data centre has to save: bytes
	// between data centres are paid for. A prompt's home elsewhere is worth it
	// for a large model, and not for a small one.
	farAway = 8000.0
	// allPlaces is what an upstream with all its places taken counts for.
	allPlaces = 12000.0
	// leastScale is that of kept tokens: what a home saves in reading is paid
	// for by the token, whichever the model.
	leastScale = 0.35
	// kept is the part of the shared tokens that a prompt's home is expected
	// not to read again: its home among all upstreams, that among those of the
	// own data centre, and its second home.
	keptFirst, keptNear, keptSecond = 0.9, 0.7, 0.4
	// failedWork is added for an upstream of which all late requests failed.
	failedWork = 60000.0
)

// tokens returns the work that a request leaves to an upstream.
func (w Work) tokens(kept float64) float64 {
	return w.Scale*w.Prompt - max(w.Scale, leastScale)*kept*w.Shared
}

// cheapest returns the upstream at which the request, and those already there,
// are expected to be done first; equals are drawn.
func (t *Table) cheapest(usable []*state, q Query, now time.Time, random *rand.Rand) *state {
	first, second := homes(usable, q.Prefix)
	nearest, _ := homes(near(usable, q.DataCentre), q.Prefix)
	return lowest(usable, func(s *state) float64 {
		kept := 0.0
		switch s {
		case first:
			kept = keptFirst
		case nearest:
			kept = keptNear
		case second:
			kept = keptSecond
		}
		cost := s.cost(q, kept)
		if t.isAway(s, q, now) {
			cost += failedWork
		}
		return cost
	}, random)
}

// near returns the upstreams of a data centre; all when it has none.
func near(usable []*state, dc contract.DataCentreID) []*state {
	var here []*state
	for _, s := range usable {
		if s.pool.DataCentre == dc {
			here = append(here, s)
		}
	}
	if len(here) == 0 {
		return usable
	}
	return here
}

// cost is the work to be done at an upstream before the request is answered. A
// request that runs counts as its part of the upstream's places.
func (s *state) cost(q Query, kept float64) float64 {
	running := (ownWeight*float64(s.inFlight) + s.others) / float64(s.pool.Slots) * allPlaces / ownWeight
	cost := (s.pending + q.Work.tokens(kept) + running) * s.health.slowness()
	cost += failedWork * s.health.failed
	if s.pool.DataCentre != q.DataCentre {
		cost += farAway
	}
	return cost
}

// homes returns the first and the second home of a prefix among upstreams, the
// same at every VM (rendezvous hashing); nil without a prefix.
func homes(usable []*state, prefix uint64) (first, second *state) {
	if prefix == 0 {
		return nil, nil
	}
	var firstRank, secondRank uint64
	for _, s := range usable {
		rank := s.rank(prefix)
		switch {
		case first == nil || rank > firstRank:
			second, secondRank = first, firstRank
			first, firstRank = s, rank
		case second == nil || rank > secondRank:
			second, secondRank = s, rank
		}
	}
	return first, second
}

// Expect notes the work that a request leaves to an upstream until it begins.
func (t *Table) Expect(id contract.UpstreamID, w Work) {
	if s, ok := t.states[id]; ok {
		s.pending += w.tokens(0)
	}
}

// Begun notes that a request has begun, or will not.
func (t *Table) Begun(id contract.UpstreamID, w Work) {
	if s, ok := t.states[id]; ok {
		s.pending = max(s.pending-w.tokens(0), 0)
	}
}
