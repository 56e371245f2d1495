package upstream

import (
	"math"
	"math/rand/v2"
	"time"

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
	// Late is what an answer loses that begins after its objective: on the
	// sheets of all deployments known so far a late answer is worth 0.3 of one in
	// time.
	Late = 0.7
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
	homeFirst, homeSecond = 0.02, 0.01
)

// lateSpread is how uncertain the time of an answer is, as a part of the
// objective: what other VMs send meanwhile, and chunks of other prompts.
const lateSpread = 0.12

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
// its reading takes.
func (t *Table) cheapest(usable []*state, q Query, now time.Time, random *rand.Rand) *state {
	first, second := homes(near(usable, q.DataCentre), q.Prefix)
	return lowest(usable, func(s *state) float64 {
		cost := t.cost(s, q, now)
		switch {
		case !t.opts.Policy.Has(Homes):
		case s == first:
			cost -= homeFirst
		case s == second:
			cost -= homeSecond
		}
		return cost
	}, random)
}

// cost is what a request costs at an upstream.
func (t *Table) cost(s *state, q Query, now time.Time) float64 {
	cost := failedWork * s.health.failed
	if t.isAway(s, q, now) {
		cost += failedWork
	}
	far, running := farPlain, (ownWeight*float64(s.inFlight)+s.others)/ownWeight/float64(s.pool.Slots)*allPlaces
	if q.Work.reads() {
		far = farAway
		if !t.ownCell(s) {
			cost += otherCell
		}
		running = s.line() / float64(s.pool.Slots) * allPlaces / ownWeight
		e := t.estimate(s, q.Work, q.DataCentre, now)
		part := (q.Work.Elapsed + e.First()).Seconds() / max(q.Work.Objective.Seconds(), leastObjective)
		cost += Late*LateRisk(part) + soon*part + t.Price(e)
	} else {
		running *= s.health.slowness()
	}
	if s.pool.DataCentre != q.DataCentre {
		cost += far
	}
	return cost + running
}

// leastObjective, in seconds, stands in for that of a route without any.
const leastObjective = 0.1

// Price returns what the reading of a prompt costs the requests that come after
// it, in what a mean one of them is worth. As many as come to the engine while it
// has a queue wait longer by the reading, which makes a queue of its own that
// counts for half of itself; each second's wait brings them nearer to being late,
// at which they lose Late. It is taken also while all are in time: what is saved
// then is there when a burst comes.
func (t *Table) Price(e Estimate) float64 {
	if !t.opts.Policy.Has(Price) {
		return 0
	}
	d := &t.demand
	behind := d.rate / float64(max(t.readers, 1)) * (e.Wait + e.Reading/2).Seconds()
	return behind * e.Reading.Seconds() * Late / max(d.objective, leastObjective)
}

// demand is what comes to be read, from all VMs together.
type demand struct {
	// rate is prompts a second of this VM, scaled up by the number of VMs.
	rate float64
	at   time.Time
	// objective is the mean of their objectives, in seconds.
	objective float64
	// worth is the mean of what they are worth.
	worth float64
}

// Averages of demand.
const (
	// demandOver is the time over which demand is averaged: as long as a burst
	// takes to be felt, and longer than the wave of a few requests of one VM.
	demandOver = 4 * time.Second
	// meanWeight is the weight of the newest prompt in the means.
	meanWeight = 0.05
)

// fade lets what was counted before now count less.
func (d *demand) fade(now time.Time) {
	left := math.Exp(-now.Sub(d.at).Seconds() / demandOver.Seconds())
	d.rate *= left
	d.at = now
}

// came notes a prompt of this VM, of which there are a number.
func (d *demand) came(objective time.Duration, worth float64, vms int, now time.Time) {
	d.fade(now)
	d.rate += float64(vms) / demandOver.Seconds()
	if d.objective == 0 {
		d.objective, d.worth = objective.Seconds(), worth
	}
	d.objective += meanWeight * (objective.Seconds() - d.objective)
	d.worth += meanWeight * (worth - d.worth)
}

// Came notes a prompt that came to this VM, one of a number, and returns what it
// is worth against a mean one.
func (t *Table) Came(objective time.Duration, worth float64, vms int, now time.Time) float64 {
	t.demand.came(objective, worth, max(vms, 1), now)
	if t.demand.worth <= 0 {
		return 1
	}
	return worth / t.demand.worth
}

// countReaders counts the engines that read now.
func (t *Table) countReaders(now time.Time) {
	t.readers = 0
	for _, s := range t.states {
		if s.reads(now) {
			t.readers++
		}
	}
	if t.group.Cells > 1 { // others read where this VM does not hear of it
		t.readers *= t.group.Cells
	}
}

// near returns the upstreams of a data centre; all when it has none.
func near(usable []*state, dc contract.DataCentreID) []*state {
	here := make([]*state, 0, len(usable))
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

// Expect notes that a prompt goes to an upstream, and returns what is expected
// and the name of its place in the upstream's queue.
func (t *Table) Expect(id contract.UpstreamID, w Work, dc contract.DataCentreID, now time.Time) (Estimate, reading.Ticket) {
	s, ok := t.states[id]
	if !ok || !w.reads() {
		return Estimate{}, 0
	}
	e := t.estimate(s, w, dc, now)
	s.readAt = now
	ticket := s.queue.Add(e.Reading, true, now)
	s.kept.Read(w.Prompt)
	return e, ticket
}

// Begun notes that the answer to a prompt has begun, after a time since it was
// sent, and learns from it how long engines take to read.
func (t *Table) Begun(id contract.UpstreamID, ticket reading.Ticket, w Work, e Estimate, took time.Duration, now time.Time) {
	s, ok := t.states[id]
	if !ok {
		return
	}
	span := s.queue.Began(ticket, now)
	s.health.began(took, e.First())
	if s.health.slower() == 1 && t.opts.Policy.Has(Pace) {
		if span.Own >= leastSpan && span.Own > span.Planned/2 {
			t.rates.Scale(w.Prompt.Model, float64(span.Took)/float64(span.Planned))
			return
		}
		whole := e.Wait == 0 && e.Kept == 0
		t.rates.Observe(w.Prompt.Model, w.Prompt.Tokens-e.Kept, took, whole)
	}
}

// leastSpan is the shortest reading from which the time of a busy engine is
// learnt: below, its steps for other requests take as long.
const leastSpan = 40 * time.Millisecond

// Dropped notes that a prompt's request has ended before its answer began.
func (t *Table) Dropped(id contract.UpstreamID, ticket reading.Ticket, now time.Time) {
	if s, ok := t.states[id]; ok {
		s.queue.Drop(ticket, now)
	}
}

// TokenTime returns how long a model takes to read a token by own times, zero
// when there are too few.
func (t *Table) TokenTime(m contract.ModelID) time.Duration {
	token, _ := t.rates.Known(m)
	return token
}

// mostTold bounds how long another VM's prompt is believed to take.
const mostTold = 30 * time.Second

// Told takes in a prompt that another VM has sent to an upstream, how long its
// reading takes and how long the model takes a token by that VM's own times; zero
// when it has none.
func (t *Table) Told(id contract.UpstreamID, p reading.Prompt, takes, token time.Duration, now time.Time) {
	t.rates.Told(p.Model, token)
	takes = min(max(takes, 0), mostTold)
	s, ok := t.states[id]
	if !ok {
		return
	}
	s.readAt = now
	s.queue.Add(takes, false, now)
	s.kept.Read(p)
}

// Best returns what is expected of a request at the upstream that it would go to
// now.
func (t *Table) Best(q Query, now time.Time) (Estimate, bool) {
	var best *state
	least := 0.0
	for _, s := range t.candidates(q, now) {
		if c := t.cost(s, q, now); best == nil || c < least {
			best, least = s, c
		}
	}
	if best == nil {
		return Estimate{}, false
	}
	return t.estimate(best, q.Work, q.DataCentre, now), true
}
