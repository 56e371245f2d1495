package upstream

import (
	"time"

	"woaddoor/contract"
)

// GossipScope defines the upstreams for which this VM learns of the requests that other VMs send.
// The zero value covers the upstreams of this VM's own data centre.
type GossipScope struct {
	// Region means that VMs of other data centres also report their requests.
	Region bool
	// VMs is how many VMs send requests to the covered upstreams: the VMs of the region or
	// of the data centre. Zero means unknown.
	VMs int
}

// Assumptions about engines outside the gossip scope: this VM does not learn of the requests that
// other VMs send to such engines.
const (
	// outOfScopeWaitFactor is the assumed queue wait at an engine outside the gossip scope,
	// as a fraction of the mean queue wait at the engines in the gossip scope.
	// With a factor of 1, a data centre with more work than the other data centres would keep
	// all of its work.
	outOfScopeWaitFactor = 0.7
)

// inGossipScope reports whether this VM learns what requests other VMs send to an upstream.
func (t *Table) inGossipScope(s *state, dc contract.DataCentreID) bool {
	return t.gossipScope.Region || s.pool.DataCentre == dc
}

// SetGossipScope sets for which upstreams this VM learns of other VMs' requests.
func (t *Table) SetGossipScope(g GossipScope) { t.gossipScope = g }

// updateMeanWait computes the mean queue wait at the engines in the gossip scope that receive
// prompts.
func (t *Table) updateMeanWait(dc contract.DataCentreID, now time.Time) {
	total, n := time.Duration(0), 0
	for _, s := range t.states {
		if s.receivesPrompts(now) && t.inGossipScope(s, dc) {
			total += s.queue.Wait(now)
			n++
		}
	}
	t.meanWait = total / time.Duration(max(n, 1))
}

// receivesPrompts reports whether an engine currently gets prompts.
// An engine that gets no prompts takes no load off the other engines.
// Examples are an engine whose new software release is still on trial,
// and an engine that requested a back-off (a pause).
func (s *state) receivesPrompts(now time.Time) bool {
	return !s.promptSentAt.IsZero() && now.Sub(s.promptSentAt) < demandWindow && s.acceptsWork(now)
}

// queueWait returns how long a prompt is expected to wait in the queue of an upstream.
func (t *Table) queueWait(s *state, dc contract.DataCentreID, now time.Time) time.Duration {
	known := s.queue.Wait(now)
	if t.inGossipScope(s, dc) {
		return known
	}
	return max(known, time.Duration(outOfScopeWaitFactor*float64(t.meanWait)))
}
