package upstream

import (
	"time"

	"woaddoor/contract"
)

// RecordStatedPace records how long work takes at an upstream, as stated in one of its answers,
// in percent of the usual time.
func (t *Table) RecordStatedPace(id contract.UpstreamID, percent int, now time.Time) {
	if s, ok := t.states[id]; ok && percent > 0 && t.opts.Policy.Has(UpstreamPace) {
		s.pace.RecordStated(float64(percent)/100, now)
	}
}

// RecordPeerPace records the base pace of an upstream as another VM knows it.
// Zero means that the other VM does not know the pace.
func (t *Table) RecordPeerPace(id contract.UpstreamID, base float64) {
	if s, ok := t.states[id]; ok && t.opts.Policy.Has(UpstreamPace) {
		s.pace.RecordRemote(base)
	}
}

// BasePace returns the pace of an upstream without short disturbances, or zero if it is unknown.
func (t *Table) BasePace(id contract.UpstreamID) float64 {
	if s, ok := t.states[id]; ok {
		return s.pace.Base()
	}
	return 0
}

// updateMeanPaces computes the mean pace of the upstreams of each pool. It is the pace of an
// upstream of the pool whose pace is unknown, and 1 if no pace in the pool is known.
func (t *Table) updateMeanPaces() {
	clear(t.meanPaces) // pools without upstreams are not in t.pools
	for id, states := range t.pools {
		total, n := 0.0, 0
		for _, s := range states {
			if base := s.pace.Base(); base > 0 {
				total += base
				n++
			}
		}
		if n > 0 {
			t.meanPaces[id] = total / float64(n)
		}
	}
}

// paceOf returns how long work takes at an upstream, as a multiple of the usual time.
// The pace is 1 and not known if neither the upstream nor others of its pool have stated theirs.
func (t *Table) paceOf(s *state, now time.Time) (pace float64, known bool) {
	if s.pace.Base() > 0 {
		return s.pace.Current(now), true
	}
	if mean, ok := t.meanPaces[s.pool.ID]; ok {
		return mean, true
	}
	return 1, false
}
