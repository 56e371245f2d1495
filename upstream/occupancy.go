package upstream

import (
	"slices"
	"time"

	"woaddoor/contract"
)

// Occupancy is how many slots the upstreams of a service have and how many of them are in use,
// as far as this VM knows.
type Occupancy struct{ Slots, InUse float64 }

// Occupancy returns the occupancy of the upstreams in the pools. Upstreams that can serve nothing
// are not counted: those that are leaving, back off, fail, or are in a data centre that appears to
// be unreachable. The requests of other VMs are known from the load that upstreams state in answers.
func (t *Table) Occupancy(pools []contract.PoolID, now time.Time) Occupancy {
	var o Occupancy
	for _, id := range pools {
		for _, s := range t.pools[id] {
			if !s.acceptsWork(now) || s.health.failureRate >= suspectThreshold || now.Before(t.unreachableUntil[s.pool.DataCentre]) {
				continue
			}
			slots := float64(s.pool.Slots)
			o.Slots += slots
			o.InUse += min(s.expectedLoad(), slots)
		}
	}
	return o
}

// soonestCandidates is the number of upstreams for which SoonestBegin makes a whole estimate. Whole
// estimates for all of 160 upstreams take over 20 us, and the cached parts of a prompt, which
// only they consider, save less time than the queues of more upstreams differ by.
const soonestCandidates = 8

// SoonestBegin returns the estimate at the upstream at which the request would begin first,
// among those with the shortest waits. The estimate is not set if no upstream may get the request now.
func (t *Table) SoonestBegin(q Query, now time.Time) (soonest Estimate, ok bool) {
	var candidates [soonestCandidates]waiting
	n := 0
	for _, id := range q.Pools {
		for _, s := range t.pools[id] {
			w := waiting{s, t.beginWait(s, q, now)}
			if n == len(candidates) && w.wait >= candidates[n-1].wait || !t.usable(s, q.Version, now) || slices.Contains(q.Exclude, s.upstream.ID) {
				continue
			}
			n = insertShortest(&candidates, n, w)
		}
	}
	for _, c := range candidates[:n] {
		e := Estimate{Wait: c.wait}
		if q.Work.hasPrompt() {
			e = t.estimate(c.state, q.Work, q.DataCentre, now)
		}
		if !ok || e.TimeToFirstToken() < soonest.TimeToFirstToken() {
			soonest, ok = e, true
		}
	}
	return soonest, ok
}

// waiting is an upstream and how long a request would wait there.
type waiting struct {
	state *state
	wait  time.Duration
}

// insertShortest inserts an upstream into the n upstreams with the shortest waits, the shortest
// first, in place of the last if there is no room. It returns the new n.
func insertShortest(shortest *[soonestCandidates]waiting, n int, w waiting) int {
	n = min(n+1, len(shortest))
	i := n - 1
	for ; i > 0 && shortest[i-1].wait > w.wait; i-- {
		shortest[i] = shortest[i-1]
	}
	shortest[i] = w
	return n
}

// beginWait returns how long a request would wait at an upstream. Plain requests wait only for a
// slot, for a time that follows from the time that the upstream's recent answers took, since
// Table.meanDecodeTime describes prompts.
func (t *Table) beginWait(s *state, q Query, now time.Time) time.Duration {
	if q.Work.hasPrompt() {
		return t.queueWait(s, q.DataCentre, now) + t.slotWait(s)
	}
	excess := s.expectedLoad() + 1 - float64(s.pool.Slots)
	return time.Duration(max(excess, 0) / float64(s.pool.Slots) * float64(s.health.firstAnswerTime))
}

// PrefillTime returns the expected time of the prefill of a number of tokens.
func (t *Table) PrefillTime(m contract.ModelID, tokens int) time.Duration {
	return t.prefillRates.PrefillTime(m, tokens)
}
