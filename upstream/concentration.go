package upstream

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Concentration sends plain requests to few of the upstreams that they may use, so that these bear more load than all of
// them would. The zero value concentrates nothing.
type Concentration struct {
	// Fraction is the fraction of the upstreams of all pools together, rounded down and at least one, which all VMs compute
	// alike. A fraction contains the smaller ones.
	Fraction float64
	// MaxLoad is the fraction of an upstream's slots that such requests may fill, with what else it serves.
	MaxLoad float64
}

// pickConcentrated returns the upstream with the lowest cost of those to which the requests are concentrated, or nil if
// none of them can take one more within its load. No upstream is preferred for its data centre: all VMs have to use the same.
func (t *Table) pickConcentrated(q Query, now time.Time, random *rand.Rand) *state {
	var members []*state
	for _, id := range q.Pools {
		members = append(members, t.pools[id]...)
	}
	if len(members) == 0 {
		return nil
	}
	slices.SortFunc(members, func(a, b *state) int { return cmp.Compare(a.idHash, b.idHash) })
	count := max(int(q.Concentration.Fraction*float64(len(members))), 1)
	usable := slices.DeleteFunc(members[:min(count, len(members))], func(s *state) bool { return !t.bearsMore(s, q, now) })
	best, _ := lowestCost(usable, func(s *state) float64 { return t.cost(s, q, now) }, random)
	return best
}

// bearsMore reports whether an upstream is sound and can take one more concentrated request within its load.
func (t *Table) bearsMore(s *state, q Query, now time.Time) bool {
	return q.allows(s) && t.usable(s, q.Version, now) && !t.inUnreachableCentre(s, q, now) &&
		s.health.failureRate < suspectThreshold && s.expectedLoad()+1 <= q.Concentration.MaxLoad*float64(s.pool.Slots)
}
