package upstream

import (
	"math/rand/v2"
	"time"

	"woaddoor/contract"
)

// unreachableFor is how long a data centre counts as unreachable after a connection to one of its
// upstreams could not be established. The other upstreams of that data centre are avoided in the
// meantime, unless there is no alternative.
const unreachableFor = 1500 * time.Millisecond

// recordReachability updates from the outcome of a request whether a data centre is reachable.
// A refused connection (ConnectionRefused) proves that a machine in that data centre is reachable.
func (t *Table) recordReachability(s *state, r Result, now time.Time) {
	switch r {
	case Unreachable:
		t.unreachableUntil[s.pool.DataCentre] = now.Add(unreachableFor)
	case Succeeded, Rejected, ConnectionRefused:
		delete(t.unreachableUntil, s.pool.DataCentre)
	case Failed, Broken, Abandoned, NoConnection:
	}
}

// inUnreachableCentre reports whether an upstream is in a data centre that appears to be
// unreachable. This VM's own data centre never counts as unreachable:
// a VM that cannot reach the other data centres has no alternative to its own.
func (t *Table) inUnreachableCentre(s *state, q Query, now time.Time) bool {
	return s.pool.DataCentre != q.DataCentre && now.Before(t.unreachableUntil[s.pool.DataCentre])
}

// SuspectDataCentre records that an upstream stopped responding: its data centre may be
// unreachable.
func (t *Table) SuspectDataCentre(dc contract.DataCentreID) { t.suspectedCentres[dc] = true }

// ProbeTargets returns the address of one random upstream, as a probe target, for each data
// centre that appears or is suspected to be unreachable.
func (t *Table) ProbeTargets(now time.Time, random *rand.Rand) map[contract.DataCentreID]string {
	targets := make(map[contract.DataCentreID]string)
	seen := make(map[contract.DataCentreID]int)
	for _, s := range t.sortedStates {
		dc := s.pool.DataCentre
		if !now.Before(t.unreachableUntil[dc]) && !t.suspectedCentres[dc] || s.isLeaving() {
			continue
		}
		seen[dc]++
		if random.IntN(seen[dc]) == 0 { // reservoir sampling: each upstream is equally likely
			targets[dc] = s.upstream.URL
		}
	}
	return targets
}

// RecordDataCentreProbe records whether a data centre that appeared to be unreachable could be
// reached.
func (t *Table) RecordDataCentreProbe(dc contract.DataCentreID, ok bool, now time.Time) {
	delete(t.suspectedCentres, dc)
	if ok {
		delete(t.unreachableUntil, dc)
		return
	}
	t.unreachableUntil[dc] = now.Add(unreachableFor)
}

// Isolated reports whether a VM of data centre dc can reach no other data centre,
// and none of the given pools has a working upstream in dc.
// No request for these pools can then be served.
func (t *Table) Isolated(dc contract.DataCentreID, pools []contract.PoolID, now time.Time) bool {
	others := false
	for _, s := range t.sortedStates {
		if s.pool.DataCentre != dc {
			others = true
			if !now.Before(t.unreachableUntil[s.pool.DataCentre]) {
				return false
			}
		}
	}
	if !others {
		return false
	}
	for _, id := range pools {
		for _, s := range t.pools[id] {
			if s.pool.DataCentre == dc && !s.isLeaving() && !s.health.connectFailed {
				return false
			}
		}
	}
	return len(pools) > 0
}

// Wanted returns the upstreams of the given pools that are not about to stop.
func (t *Table) Wanted(pools []contract.PoolID) []contract.UpstreamID {
	var ids []contract.UpstreamID
	for _, id := range pools {
		for _, s := range t.pools[id] {
			if !s.isLeaving() {
				ids = append(ids, s.upstream.ID)
			}
		}
	}
	return ids
}
