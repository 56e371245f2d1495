package upstream

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"woaddoor/cascade"
	"woaddoor/contract"
	"woaddoor/prefill"
)

// Work is the work that a request causes at an upstream. The zero value is a request to a plain
// service, which runs no models.
type Work struct {
	Prompt prefill.Prompt
	// Objective is the time from the arrival of the request within which its answer should
	// begin. Elapsed is the time since the arrival of the request.
	Objective, Elapsed time.Duration
	// PauseTarget is the longest pause between two events of the streamed answer that is in time.
	// Zero means that there is no such target.
	PauseTarget time.Duration
}

// hasPrompt reports whether the request requires a model engine to prefill a prompt.
func (w Work) hasPrompt() bool { return w.Prompt.Tokens > 0 }

// Costs by which the selection compares upstreams. The unit is the value of one request that is
// answered in time, so that delay, failure and traffic can be compared.
const (
	// remotePromptCost is the cost of sending a prompt to another data centre: traffic
	// between data centres costs 0.03 to 0.09 of a request's value.
	remotePromptCost = 0.06
	// remotePlainCost is the cost of sending a request for a plain service to another data
	// centre: its answer takes about as long as the round trip there.
	remotePlainCost = 0.13
	// fullLoadCost is the cost of an upstream whose slots (concurrent requests) are all in use.
	fullLoadCost = 0.2
	// failureCost is added for an upstream at which all recent requests failed.
	failureCost = 1.0
	// waitCost is the cost of waiting for the whole objective, in addition to the risk of being
	// late. The cost of waiting decides between upstreams that would all answer in time.
	waitCost = 0.1
	// firstHomeBonus and secondHomeBonus reduce the cost of the two home upstreams of a prompt
	// prefix, so that all VMs prefer the same upstreams without communication while the prefix
	// is not known to be cached anywhere.
	firstHomeBonus, secondHomeBonus = 0.05, 0.03
)

// lateRiskSpread is the uncertainty of the answer time as a fraction of the objective. The
// uncertainty comes from requests that other VMs send meanwhile and from chunks of other prompts.
const lateRiskSpread = 0.12

// ObjectiveFraction returns the time d since the arrival of a request as a fraction of its objective.
func ObjectiveFraction(d, objective time.Duration) float64 {
	return d.Seconds() / max(objective.Seconds(), minObjectiveSeconds)
}

// LateRisk returns the probability that an answer is late if the answer is expected to begin after
// the given fraction of its objective. A fraction of 1 is the objective itself.
func LateRisk(fraction float64) float64 { return logistic((fraction - 1) / lateRiskSpread) }

// logistic returns the logistic function of x, which rises from 0 to 1.
func logistic(x float64) float64 { return 1 / (1 + math.Exp(-x)) }

// Estimate is the expected timing of a request at an upstream.
type Estimate struct {
	// Wait is the time until the prefill of the prompt starts.
	// Prefill is the duration of the prefill.
	Wait, Prefill time.Duration
	// Nominal is the time to the first token at an upstream of ordinary pace and health.
	Nominal time.Duration
	// CachedTokens is the number of prompt tokens that are cached and need no prefill.
	CachedTokens int
	// Tokens is the size of the prefill: the tokens that are not cached or, if the upstream states
	// its pace, their prefill.EquivalentTokens. Pace is the pace for which Prefill was computed.
	// PaceKnown is set if the upstream or others of its pool have stated their pace; PaceAge is
	// the time since the upstream itself last did, or zero if it never did.
	Tokens    int
	Pace      float64
	PaceKnown bool
	PaceAge   time.Duration
	// PauseCost is the cost of pauses in streams, relative to the value of a mean request.
	PauseCost float64
}

// TimeToFirstToken returns the time until the answer is expected to begin.
// The time is zero for a request that neither waits nor has prompt tokens, cached or not.
func (e Estimate) TimeToFirstToken() time.Duration {
	if e.Wait == 0 && e.Prefill == 0 && e.CachedTokens == 0 {
		return 0
	}
	return e.Wait + e.Prefill + prefill.BaseLatency
}

// estimate returns the expected timing of a request at an upstream.
func (t *Table) estimate(s *state, w Work, dc contract.DataCentreID, now time.Time) Estimate {
	slowness := s.health.slownessVsEstimate()
	cached := 0
	if t.opts.Policy.Has(PrefixCaching) {
		cached = s.prefixCache.CachedTokens(w.Prompt)
	}
	pace, known := t.paceOf(s, now)
	e := Estimate{
		Wait: t.queueWait(s, dc, now), CachedTokens: cached, Tokens: w.Prompt.Tokens - cached,
		Pace: pace, PaceKnown: known, PaceAge: s.pace.Age(now),
	}
	if known {
		// Elsewhere, the errors of an unknown pace are larger than the time that attention adds.
		e.Tokens = prefill.EquivalentTokens(e.Tokens, cached)
	}
	e.Prefill = t.prefillRates.PrefillTime(w.Prompt.Model, e.Tokens)
	e.Nominal = e.Wait + e.Prefill + prefill.BaseLatency
	e.Wait = time.Duration(slowness * float64(e.Wait+t.slotWait(s)))
	e.Prefill = time.Duration(slowness * pace * float64(e.Prefill))
	e.PauseCost = t.pauseCost(s, w, e)
	return e
}

// slotWait returns how long a request is expected to wait for a free slot, based on the known
// load.
func (t *Table) slotWait(s *state) time.Duration {
	excess := s.expectedLoad() + 1 - float64(s.pool.Slots)
	if excess <= 0 {
		return 0
	}
	return time.Duration(excess / float64(s.pool.Slots) * float64(t.meanDecodeTime))
}

// cheapest returns the usable upstream with the lowest cost, or nil if there is none.
// The cost covers the delay of the request itself and, by the prefill price,
// the delay of later requests. If preferHomes is set, the home upstreams of the prompt prefix are
// preferred. Other data centres are considered only if the lowest local cost exceeds the minimum
// cost of a request to another data centre. While the local data centre has free capacity,
// four of five engines thus need no evaluation.
func (t *Table) cheapest(q Query, now time.Time, preferHomes bool, random *rand.Rand) *state {
	best, cost := t.cheapestOf(t.usableUpstreams(q, true, now), q, now, preferHomes, random)
	if best != nil && cost <= q.remoteCost() {
		return best
	}
	other, otherCost := t.cheapestOf(t.usableUpstreams(q, false, now), q, now, preferHomes && best == nil, random)
	if best == nil || other != nil && otherCost < cost {
		return other
	}
	return best
}

// usableUpstreams returns the upstreams that could accept the request,
// either in the data centre of the query or in the other data centres.
func (t *Table) usableUpstreams(q Query, local bool, now time.Time) []*state {
	states := t.sortedStates
	if local {
		states = t.byDataCentre[q.DataCentre]
	}
	allowed := make([]*state, 0, len(states))
	for _, s := range states {
		if local == (s.pool.DataCentre == q.DataCentre) && q.allows(s) {
			allowed = append(allowed, s)
		}
	}
	return slices.DeleteFunc(q.restrict(allowed), func(s *state) bool { return !t.usable(s, q.Version, now) })
}

// cheapestOf returns the upstream with the lowest cost for the request, and that cost.
func (t *Table) cheapestOf(usable []*state, q Query, now time.Time, preferHomes bool, random *rand.Rand) (*state, float64) {
	var first, second *state
	if preferHomes {
		first, second = prefixHomes(usable, q.Prefix)
	}
	return lowestCost(usable, func(s *state) float64 {
		cost := t.cost(s, q, now)
		switch s {
		case first:
			cost -= firstHomeBonus
		case second:
			cost -= secondHomeBonus
		}
		return cost
	}, random)
}

// remoteCost returns the minimum cost of sending a request to another data centre.
func (q Query) remoteCost() float64 {
	if q.Work.hasPrompt() {
		return remotePromptCost
	}
	return remotePlainCost
}

// cost returns the cost of a request at an upstream.
func (t *Table) cost(s *state, q Query, now time.Time) float64 {
	cost := failureCost * s.health.failureRate
	if t.inUnreachableCentre(s, q, now) {
		cost += failureCost
	}
	if now.Before(s.othersBackoffUntil) {
		cost += othersBackoffCost
	}
	cost += t.limitCost(s, now)
	loadCost := (ownRequestWeight*float64(s.inFlight) + s.othersInFlight) / ownRequestWeight / float64(s.pool.Slots) * fullLoadCost
	if q.Work.hasPrompt() {
		loadCost = s.expectedLoad() / float64(s.pool.Slots) * fullLoadCost / ownRequestWeight
		e := t.estimate(s, q.Work, q.DataCentre, now)
		objectiveFraction := ObjectiveFraction(q.Work.Elapsed+e.TimeToFirstToken(), q.Work.Objective)
		cost += cascade.LatePenalty*LateRisk(objectiveFraction) + waitCost*objectiveFraction + t.PrefillPrice(e) + e.PauseCost
	} else {
		loadCost *= s.health.slownessVsPool()
	}
	if s.pool.DataCentre != q.DataCentre {
		cost += q.remoteCost()
	}
	return cost + loadCost
}

// minObjectiveSeconds is the shortest objective with which costs are computed.
// The shortest objective also replaces the objective of a route that sets none.
const minObjectiveSeconds = 0.1

// prefixHomes returns the first and the second home upstream of a prompt prefix.
// All VMs compute the same homes (rendezvous hashing). Both upstreams are nil without a prefix.
func prefixHomes(usable []*state, prefix uint64) (first, second *state) {
	if prefix == 0 {
		return nil, nil
	}
	var firstRank, secondRank uint64
	for _, s := range usable {
		rank := s.rendezvousHash(prefix)
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

// EstimateBest returns the estimate for a request at the upstream to which the request would be
// sent now.
func (t *Table) EstimateBest(q Query, now time.Time, random *rand.Rand) (Estimate, bool) {
	best := t.cheapest(q, now, false, random)
	if best == nil {
		return Estimate{}, false
	}
	return t.estimate(best, q.Work, q.DataCentre, now), true
}
