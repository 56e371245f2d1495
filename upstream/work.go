package upstream

import (
	"math"
	"math/rand/v2"
	"time"

	"woaddoor/cascade"
	"woaddoor/contract"
	"woaddoor/reading"
)

// Work is what a request asks of an upstream. The zero value is a call to a
// plain service.
type Work struct {
	Prompt reading.Prompt
	// Objective is within what time of its arrival its answer has to begin, and
	// Elapsed how long ago it has arrived.
	Objective, Elapsed time.Duration
}

// reads tells whether the request asks a model engine to read a prompt.
func (w Work) reads() bool { return w.Prompt.Tokens > 0 }

// Costs of the choice. The unit is what one request is worth when it is answered
// in time, so that delay, failure and bytes can be compared.
const (
	// farAway is what going to another data centre costs: bytes between data
	// centres are paid for, 0.03 to 0.09 of a request's worth.
	farAway = 0.06
	// farPlain is the same for a call to a plain service, whose answers take
	// about as long as the way to another data centre and back is worth.
	farPlain = 0.13
	// allPlaces is what an upstream with all its places taken costs.
	allPlaces = 0.2
	// failedWork is added for an upstream of which all late requests failed.
	failedWork = 1.0
	// soon is what waiting for all of the objective costs beside the risk of
	// being late; it decides between upstreams that are all in time.
	soon = 0.1
	// homeFirst and homeSecond are what the homes of a subject are preferred by
	// while nobody is known to keep it, so that VMs agree without a word.
	homeFirst, homeSecond = 0.05, 0.03
)

// lateSpread is how uncertain the time of an answer is, as a part of the
// objective: what other VMs send meanwhile, and chunks of other prompts.
const lateSpread = 0.12

// ObjectivePart returns a time from the arrival of a request on as a part of its
// objective.
func ObjectivePart(d, objective time.Duration) float64 {
	return d.Seconds() / max(objective.Seconds(), leastObjective)
}

// LateRisk returns how likely an answer is late that is expected to begin at a
// part of its objective; 1 is the objective.
func LateRisk(part float64) float64 { return 1 / (1 + math.Exp((1-part)/lateSpread)) }

// Estimate is what is expected of a request at an upstream.
type Estimate struct {
	// Wait is the time until its prompt is read, Reading how long that takes.
	Wait, Reading time.Duration
	// Kept is how many tokens need not be read.
	Kept int
}

// First returns when the answer is expected to begin; zero for the zero value.
func (e Estimate) First() time.Duration {
	if e == (Estimate{}) {
		return 0
	}
	return e.Wait + e.Reading + reading.Base
}

// estimate returns what is expected of a request at an upstream.
func (t *Table) estimate(s *state, w Work, dc contract.DataCentreID, now time.Time) Estimate {
	slow := s.health.slower()
	kept := 0
	if t.opts.Policy.Has(Kept) {
		kept = s.kept.Of(w.Prompt)
	}
	e := Estimate{Wait: t.wait(s, dc, now), Reading: t.rates.Reading(w.Prompt.Model, w.Prompt.Tokens-kept), Kept: kept}
	e.Wait = time.Duration(slow * float64(e.Wait+t.placeWait(s)))
	e.Reading = time.Duration(slow * float64(e.Reading))
	return e
}

// placeWait returns how long a request waits for a place, as far as the load is
// known.
func (t *Table) placeWait(s *state) time.Duration {
	over := s.line() + 1 - float64(s.pool.Slots)
	if over <= 0 {
		return 0
	}
	return time.Duration(over / float64(s.pool.Slots) * float64(t.held))
}

// cheapest returns the upstream at which the request costs least: itself, by the
// time at which it is answered, and those that come after it, by the time that
// its reading takes; nil when none is usable. The homes of its subject may be
// preferred. Other data centres are looked at only where the own one costs more than
// the way there: four of five engines need not be weighed while it has room.
func (t *Table) cheapest(q Query, now time.Time, atHome bool, random *rand.Rand) *state {
	best, cost := t.lowestOf(t.usableAt(q, true, now), q, now, atHome, random)
	if best != nil && cost <= q.farLeast() {
		return best
	}
	other, otherCost := t.lowestOf(t.usableAt(q, false, now), q, now, atHome && best == nil, random)
	if best == nil || other != nil && otherCost < cost {
		return other
	}
	return best
}

// usableAt returns the upstreams that could take the request, in its own data centre
// or in the others.
func (t *Table) usableAt(q Query, near bool, now time.Time) []*state {
	states := t.ordered
	if near {
		states = t.centres[q.DataCentre]
	}
	usable := make([]*state, 0, len(states))
	for _, s := range states {
		if near == (s.pool.DataCentre == q.DataCentre) && t.usable(s, q.Version, now) && q.allows(s) {
			usable = append(usable, s)
		}
	}
	return usable
}

// lowestOf returns the upstream at which the request costs least, and what.
func (t *Table) lowestOf(usable []*state, q Query, now time.Time, atHome bool, random *rand.Rand) (*state, float64) {
	var first, second *state
	if atHome {
		first, second = homes(usable, q.Prefix)
	}
	return lowest(usable, func(s *state) float64 {
		cost := t.cost(s, q, now)
		switch s {
		case first:
			cost -= homeFirst
		case second:
			cost -= homeSecond
		}
		return cost
	}, random)
}

// farLeast is what a request costs at least in another data centre.
func (q Query) farLeast() float64 {
	if q.Work.reads() {
		return farAway
	}
	return farPlain
}

// cost is what a request costs at an upstream.
func (t *Table) cost(s *state, q Query, now time.Time) float64 {
	cost := failedWork * s.health.failed
	if t.isAway(s, q, now) {
		cost += failedWork
	}
	if now.Before(s.othersRest) {
		cost += restHint
	}
	cost += t.limitCost(s, now)
	running := (ownWeight*float64(s.inFlight) + s.others) / ownWeight / float64(s.pool.Slots) * allPlaces
	if q.Work.reads() {
		running = s.line() / float64(s.pool.Slots) * allPlaces / ownWeight
		e := t.estimate(s, q.Work, q.DataCentre, now)
		part := ObjectivePart(q.Work.Elapsed+e.First(), q.Work.Objective)
		cost += cascade.LateLoss*LateRisk(part) + soon*part + t.Price(e)
	} else {
		running *= s.health.slowness()
	}
	if s.pool.DataCentre != q.DataCentre {
		cost += q.farLeast()
	}
	return cost + running
}

// leastObjective, in seconds, stands in for that of a route without any.
const leastObjective = 0.1

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

// Best returns what is expected of a request at the upstream that it would go to
// now.
func (t *Table) Best(q Query, now time.Time, random *rand.Rand) (Estimate, bool) {
	best := t.cheapest(q, now, false, random)
	if best == nil {
		return Estimate{}, false
	}
	return t.estimate(best, q.Work, q.DataCentre, now), true
}
