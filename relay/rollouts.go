package relay

import (
	"time"

	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/rollout"
	"woaddoor/upstream"
)

// SetOrder records a rollout order, or a newer state of a known rollout order.
func (r *Relay) SetOrder(o rollout.ReleaseOrder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	canary := r.canaries[o.Service]
	if canary != nil && canary.Order().Revision > o.Revision {
		return // a late update of an earlier rollout order
	}
	if canary != nil && canary.Order().Release == o.Release {
		canary.Update(o)
		r.recordOrderState(canary.Order())
		return
	}
	if canary != nil && r.isEarlierOrder(o, canary.Order()) {
		r.log.Warn("order-kept", zap.String("service", string(o.Service)), zap.String("release", canary.Order().Release),
			zap.String("older_release", o.Release), zap.Stringer("older_revision", o.Revision))
		return
	}
	if canary != nil {
		r.pastOrders[orderKey{o.Service, canary.Order().Release}] = canary.Order().Revision.Counter()
	}
	r.recordOrderState(o)
	r.canaries[o.Service] = rollout.NewCanary(o, r.opts.CanaryShare, r.opts.Now())
}

// orderKey identifies a rollout order.
type orderKey struct {
	service contract.ServiceID
	release string
}

// isEarlierOrder reports whether an order is one that the current order had replaced
// before the store returned from an older copy. The caller holds mu.
func (r *Relay) isEarlierOrder(o, current rollout.ReleaseOrder) bool {
	lastCounter, known := r.pastOrders[orderKey{o.Service, o.Release}]
	return known && o.Revision.Era() > current.Revision.Era() && o.Revision.Counter() <= lastCounter
}

// recordOrderState records whether the release of a rollout order is rolled back,
// completed, or still being rolled out.
// The caller holds mu.
func (r *Relay) recordOrderState(o rollout.ReleaseOrder) {
	if r.rolledBack[o.Service] == nil {
		r.rolledBack[o.Service] = make(map[string]bool)
	}
	switch o.State {
	case rollout.OrderRolledBack:
		r.rolledBack[o.Service][o.Release] = true
	case rollout.OrderCompleted:
		r.completedReleases[o.Service] = o.Release
		delete(r.rolledBack[o.Service], o.Release)
	default:
		delete(r.rolledBack[o.Service], o.Release)
	}
}

// Verdict is a rollout order that should end,
// and the state (completed or rolled back) in which it should end.
type Verdict struct {
	Order rollout.ReleaseOrder
	State rollout.OrderState
	// Grounds is what this VM knows about the canary release.
	Grounds rollout.Grounds
}

// Verdicts returns the rollout orders that should end now, based on what this VM knows.
func (r *Relay) Verdicts() []Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Verdict
	for _, c := range r.canaries {
		r.updateCanary(c, c.ObserveOpen)
		if state, due := c.NextState(r.opts.Now()); due {
			out = append(out, Verdict{c.Order(), state, c.Grounds()})
		}
	}
	return out
}

// DecisionDue reports whether a rollout order is open although it may be completed.
func (r *Relay) DecisionDue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.canaries {
		if c.DecisionDue(r.opts.Now()) {
			return true
		}
	}
	return false
}

// Evidence returns the evidence about canary releases that this VM reports to another VM.
func (r *Relay) Evidence(to rollout.Recipient) rollout.TrialEvidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	var e rollout.TrialEvidence
	for _, c := range r.canaries {
		e = append(e, c.Evidence(to, r.opts.Self, r.opts.DataCentre)...)
	}
	return e
}

// OrderAge is the time since a rollout order was issued.
type OrderAge struct {
	Service contract.ServiceID `cbor:"1,keyasint"`
	Release string             `cbor:"2,keyasint"`
	Age     time.Duration      `cbor:"3,keyasint"`
}

// OrderAges returns the ages of the open rollout orders
// that this VM has measured with its own clock.
func (r *Relay) OrderAges() []OrderAge {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ages []OrderAge
	for id, c := range r.canaries {
		o := c.Order()
		if age, own := c.Age(r.opts.Now()); own && o.State == rollout.OrderOpen {
			ages = append(ages, OrderAge{id, o.Release, age})
		}
	}
	return ages
}

// MergeOrderAges records the ages of rollout orders that another VM knows.
func (r *Relay) MergeOrderAges(ages []OrderAge) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range ages {
		if c := r.canaries[a.Service]; c != nil && c.Order().Release == a.Release {
			c.MergeOrderAge(a.Age, r.opts.Now())
		}
	}
}

// MergeEvidence merges the evidence of other VMs about canary releases.
// MergeEvidence reports whether more is known that speaks against a canary release.
func (r *Relay) MergeEvidence(e rollout.TrialEvidence) (worse bool) {
	if len(e) == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.canaries {
		before := c.Harm()
		if c.MergeEvidence(e, r.opts.Self, r.opts.DataCentre) {
			r.logBadRelease(c)
			r.wakeVerdicts()
		}
		worse = worse || c.Harm() > before
	}
	return worse
}

// wakeVerdicts triggers an evaluation of the verdicts on rollout orders. The caller holds mu.
func (r *Relay) wakeVerdicts() {
	if r.opts.OnBadRelease != nil {
		r.opts.OnBadRelease()
	}
}

// Refresh updates the comparison between upstreams and expires old state.
// Refresh is called about once a second.
func (r *Relay) Refresh() {
	// GossipScope and ColdOwners acquire their own locks, so they are called before mu is acquired.
	var scope upstream.GossipScope
	if r.opts.GossipScope != nil {
		scope = r.opts.GossipScope()
	}
	owners := upstream.Owners{Self: r.opts.Self.VM, VMs: []contract.VMID{r.opts.Self.VM}}
	if r.opts.ColdOwners != nil {
		owners = r.opts.ColdOwners()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gossipScope = scope
	r.table.SetGossipScope(scope)
	r.table.SetOwners(r.opts.DataCentre, owners)
	r.table.SetVMs(r.opts.VMs())
	r.table.CompareUpstreams(r.opts.DataCentre, r.opts.Now())
	r.logEndedBackoffs(r.opts.Now())
	r.refreshFairShares()
	r.possibleCrashes.Expire(r.opts.Now())
	r.settleSuspects(r.opts.Now())
	r.quarantineCases.Expire(r.opts.Now())
}

// RolloutState reports whether a rollout of the service is in progress,
// and whether one has completed.
func (r *Relay) RolloutState(s contract.ServiceID) (rollingOut, completed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.canaries[s]
	rollingOut = c != nil && c.Order().State == rollout.OrderOpen && r.opts.Now().Sub(c.Order().IssuedAt) < c.Order().Duration
	return rollingOut, r.completedReleases[s] != ""
}
