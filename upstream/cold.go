package upstream

import (
	"slices"
	"time"

	"woaddoor/contract"
)

// A cold upstream is an upstream that has recently started:
// it can handle only little load for a while, and fails if it gets much more load.
// The bound on the requests that a cold upstream can handle applies to all VMs together,
// but no VM knows what the other VMs send at the same moment.
// Each cold upstream therefore has a few owners among the VMs of its data centre:
// the VMs that may send requests to the upstream. All VMs compute the same owners without
// communication (rendezvous hashing). Each owner may send a cold upstream a whole number of
// requests per second; the other VMs send nothing to the upstream until it is warm.
//
// The owners of a cold upstream together send at most half of its bound,
// so that two groups of VMs with different views of the membership, and thus without a common
// owner, together stay within the bound. Equal shares for all VMs would be less than one request
// per second each when there are many VMs: 61 VMs that each send one request at the same moment
// send three times as many requests as a bound of 20 allows.

// ColdBound limits the requests to an upstream of a service while the upstream is cold.
// The zero value means that the upstream is never cold.
type ColdBound struct {
	// Duration is how long an upstream stays cold after its start.
	Duration time.Duration
	// PerSecond is the request rate per second that a cold upstream sustains. MaxPerSecond is
	// the maximum number of requests from all VMs together in any one second.
	PerSecond, MaxPerSecond float64
}

// disjointViews is the number of groups of VMs that together stay within the bound of a cold
// upstream, although the groups know different VMs and therefore have no owner in common.
// Such groups exist on the two sides of a network partition and while VMs start.
const disjointViews = 2

// ownerShares returns how many of the given number of VMs own a cold upstream (may send to it),
// and how many requests each owner may send it per second.
// The owners together use as much of the bound as possible.
// The bound is split among as many owners as possible, so that the loss of one owner costs little.
func (b ColdBound) ownerShares(vms int) (owners, each int) {
	budget := int(min(b.PerSecond, b.MaxPerSecond/disjointViews))
	if budget == 0 && b.MaxPerSecond >= 1 {
		budget = 1
	}
	for k := 1; k <= min(vms, budget); k++ {
		if k*(budget/k) >= owners*each {
			owners, each = k, budget/k
		}
	}
	return owners, each
}

// coldState is what this VM assumes about whether one upstream is cold (recently started).
type coldState struct {
	bound ColdBound
	// until is when the upstream is assumed to be warm.
	// It is derived from the list entry or the start of the upstream,
	// or from failures of this VM's connections to the upstream.
	until time.Time
	// connectionsFailed is set if connections to the upstream have failed since it last
	// answered. connectionsFailedAt is when the last connection failed.
	connectionsFailed   bool
	connectionsFailedAt time.Time
	// entryRevision is the revision of the list entry that was last applied.
	entryRevision contract.Revision
	// sentAt holds when this VM sent requests to the upstream within coldWindow.
	sentAt []time.Time
}

// Parameters of cold upstreams.
const (
	// coldWindow is the window in which the requests of an owner (one of the few VMs
	// that may send to a cold upstream) are counted: one second plus
	// the variation in network delay, which can bring two requests closer together.
	coldWindow = 1100 * time.Millisecond
	// recoveryMargin extends the cold period of an upstream whose connections failed:
	// the upstream may return at any moment, and this VM may probe the upstream only after
	// probeBackoffMax.
	recoveryMargin = probeBackoffMax
	// centreFailureDivisor sets which fraction (1/3) of a data centre's upstreams must have
	// failed connections before all upstreams of the data centre are assumed to be cold:
	// the upstreams may return together, and most VMs have tried few of them.
	// Without centreFailureDivisor, when a data centre returned cold after 2 s,
	// one upstream got 23 requests in a second where 20 were allowed.
	centreFailureDivisor = 3
	// minCentreFailures is the minimum number of upstreams with failed connections before all
	// upstreams of their data centre are assumed to be cold.
	minCentreFailures = 2
)

// Reasons why an upstream is assumed to be cold, as logged.
const (
	coldAfterStart             = "started"
	coldByEntry                = "its list entry reports it as cold"
	coldAfterConnectionFailure = "connections to it failed"
	coldAfterCentreFailure     = "connections to its data centre failed"
	coldAfterRecovery          = "answered again after failed connections"
	coldAfterEvacuation        = "the evacuation of its data centre was cancelled"
)

// ColdTransition lists upstreams that have become cold for the same reason.
type ColdTransition struct {
	Reason    string
	Upstreams []contract.UpstreamID
	Duration  time.Duration
}

// TakeColdTransitions returns the transitions to cold since the last call.
func (t *Table) TakeColdTransitions() []ColdTransition {
	out := t.coldTransitions
	t.coldTransitions = nil
	return out
}

// markCold records that an upstream is assumed to be cold for at least the duration d.
func (t *Table) markCold(s *state, d time.Duration, why string, now time.Time) {
	wasCold := now.Before(s.cold.until)
	if until := now.Add(d); until.After(s.cold.until) {
		s.cold.until = until
	}
	if wasCold || d <= 0 {
		return
	}
	i := slices.IndexFunc(t.coldTransitions, func(c ColdTransition) bool { return c.Reason == why })
	if i < 0 {
		i = len(t.coldTransitions)
		t.coldTransitions = append(t.coldTransitions, ColdTransition{Reason: why, Duration: d})
	}
	t.coldTransitions[i].Upstreams = append(t.coldTransitions[i].Upstreams, s.upstream.ID)
}

// applyEntryColdness updates the cold state from a list entry.
// An upstream that is new to this VM is assumed to have just started, if the VM has already
// received a first upstream list.
func (t *Table) applyEntryColdness(s *state, e Entry, b ColdBound, isNew bool, now time.Time) {
	s.cold.bound = b
	if b.MaxPerSecond == 0 {
		return
	}
	if isNew && t.listReceived {
		t.markCold(s, b.Duration, coldAfterStart, now)
	}
	if e.Cold > 0 && e.Revision != s.cold.entryRevision {
		t.markCold(s, e.Cold, coldByEntry, now)
	}
	s.cold.entryRevision = e.Revision
}

// detectCold updates the cold state from the outcome of a request: an upstream whose connections
// failed may have restarted, and would then be cold.
func (t *Table) detectCold(s *state, r Result, now time.Time) {
	c := &s.cold
	if c.bound.MaxPerSecond == 0 {
		return
	}
	switch r {
	case Unreachable, ConnectionRefused, Broken:
		c.connectionsFailed, c.connectionsFailedAt = true, now
		t.markCold(s, c.bound.Duration+recoveryMargin, coldAfterConnectionFailure, now)
		t.markCentreCold(s, now)
	case Succeeded, Failed, Rejected:
		if c.connectionsFailed {
			c.connectionsFailed = false
			t.markCold(s, c.bound.Duration, coldAfterRecovery, now)
		}
	case Abandoned, NoConnection:
	}
}

// markCentreCold marks all upstreams in the data centre of the given upstream as cold if
// connections to many upstreams there failed recently.
func (t *Table) markCentreCold(reference *state, now time.Time) {
	total, failed := 0, 0
	for _, s := range t.byDataCentre[reference.pool.DataCentre] {
		if s.cold.bound.MaxPerSecond == 0 {
			continue
		}
		total++
		if !s.cold.connectionsFailedAt.IsZero() && now.Sub(s.cold.connectionsFailedAt) <= reference.cold.bound.Duration+recoveryMargin {
			failed++
		}
	}
	if failed < max(total/centreFailureDivisor, minCentreFailures) {
		return
	}
	for _, s := range t.byDataCentre[reference.pool.DataCentre] {
		if s.cold.bound.MaxPerSecond > 0 {
			t.markCold(s, s.cold.bound.Duration+recoveryMargin, coldAfterCentreFailure, now)
		}
	}
}

// EvacuationCancelled records that the evacuation of a data centre was cancelled: its upstreams
// may have restarted shortly before and still be cold.
func (t *Table) EvacuationCancelled(dc contract.DataCentreID, now time.Time) {
	for _, s := range t.byDataCentre[dc] {
		if s.cold.bound.MaxPerSecond > 0 {
			t.markCold(s, s.cold.bound.Duration, coldAfterEvacuation, now)
		}
	}
}

// withinColdBound reports whether this VM may send one more request to an upstream without
// exceeding the upstream's cold bound.
func (t *Table) withinColdBound(s *state, now time.Time) bool {
	if !now.Before(s.cold.until) {
		return true
	}
	if len(t.owners.VMs) == 0 || s.pool.DataCentre != t.owners.dc {
		return false
	}
	owners, each := s.cold.bound.ownerShares(len(t.owners.VMs))
	if t.owners.Incomplete {
		each = min(each, 1)
	}
	return t.ownerRank(s) < owners && s.cold.recentSends(now) < each
}

// recentSends returns how many requests this VM has sent to the upstream within coldWindow.
func (c *coldState) recentSends(now time.Time) int {
	c.sentAt = slices.DeleteFunc(c.sentAt, func(at time.Time) bool { return now.Sub(at) >= coldWindow })
	return len(c.sentAt)
}

// recordSend records a request to the upstream. Requests to warm upstreams are recorded too,
// since an upstream may become cold at any moment.
func (c *coldState) recordSend(now time.Time) {
	if c.bound.MaxPerSecond == 0 {
		return
	}
	c.sentAt = append(c.sentAt[:c.recentSends(now)], now)
}

// IsCold reports whether an upstream is assumed to be cold.
func (t *Table) IsCold(id contract.UpstreamID, now time.Time) bool {
	s, ok := t.states[id]
	return ok && now.Before(s.cold.until)
}

// CountCold returns how many upstreams are assumed to be cold.
func (t *Table) CountCold(now time.Time) int {
	n := 0
	for _, s := range t.sortedStates {
		if now.Before(s.cold.until) {
			n++
		}
	}
	return n
}
