package upstream

import (
	"math/rand/v2"
	"time"

	"woaddoor/contract"
)

// awayFor is how long a data centre counts as cut off after a connection to one
// of its upstreams did not come up: its others are passed over meanwhile, but
// for want of any other.
const awayFor = 1500 * time.Millisecond

// reachable takes in whether a data centre could be reached. Where nothing
// listens any more, a machine there has said so.
func (t *Table) reachable(s *state, r Result, now time.Time) {
	switch r {
	case Unreachable:
		t.away[s.pool.DataCentre] = now.Add(awayFor)
	case Good, TurnedAway, Down:
		delete(t.away, s.pool.DataCentre)
	case Failed, Broken, Abandoned, Full:
	}
}

// isAway tells whether an upstream is in a data centre that looks cut off. The
// own one never does: a VM that is alone there has nowhere else to go.
func (t *Table) isAway(s *state, q Query, now time.Time) bool {
	return s.pool.DataCentre != q.DataCentre && now.Before(t.away[s.pool.DataCentre])
}

// Doubt notes that an upstream has fallen silent: its data centre may be cut off.
func (t *Table) Doubt(dc contract.DataCentreID) { t.doubted[dc] = true }

// Away returns an upstream, drawn, of each data centre that looks cut off or is in
// doubt, by the address at which it could be reached.
func (t *Table) Away(now time.Time, random *rand.Rand) map[contract.DataCentreID]string {
	drawn := make(map[contract.DataCentreID]string)
	seen := make(map[contract.DataCentreID]int)
	for _, s := range t.ordered {
		dc := s.pool.DataCentre
		if !now.Before(t.away[dc]) && !t.doubted[dc] || s.leaves() {
			continue
		}
		seen[dc]++
		if random.IntN(seen[dc]) == 0 { // each is as likely as any other
			drawn[dc] = s.upstream.URL
		}
	}
	return drawn
}

// Reached notes whether a data centre that looked cut off could be reached.
func (t *Table) Reached(dc contract.DataCentreID, ok bool, now time.Time) {
	delete(t.doubted, dc)
	if ok {
		delete(t.away, dc)
		return
	}
	t.away[dc] = now.Add(awayFor)
}

// CutOff tells whether a VM of a data centre is cut off from all others and has no
// upstream of some pools in its own: nothing that it takes for them can run.
func (t *Table) CutOff(dc contract.DataCentreID, pools []contract.PoolID, now time.Time) bool {
	others := false
	for _, s := range t.ordered {
		if s.pool.DataCentre != dc {
			others = true
			if !now.Before(t.away[s.pool.DataCentre]) {
				return false
			}
		}
	}
	if !others {
		return false
	}
	for _, id := range pools {
		for _, s := range t.pools[id] {
			if s.pool.DataCentre == dc && !s.leaves() && !s.health.gone {
				return false
			}
		}
	}
	return len(pools) > 0
}
