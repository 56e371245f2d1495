// Package scaling decides how many upstreams of a service run in each data centre,
// for platforms that accept scaling orders and charge for every second that an upstream runs.
// Package scaling is pure: the running upstreams, their load and the time are passed in.
//
// Preemptible upstreams cost a fraction of the price of standard ones,
// but the platform may take away all preemptible upstreams of a data centre at once.
// Preemptible upstreams replace standard upstreams as far as the remaining capacity still
// handles the load when the two data centres with the most preemptible upstreams lose all of these.
// Working upstreams are removed only once their replacements serve requests.
// Lost preemptible upstreams are ordered again.
// Standard upstreams replace lost preemptible ones only if the load requires it,
// because a new upstream starts cold, without cached prompts.
package scaling

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"woaddoor/contract"
)

// Group identifies what a scaling order applies to:
// the preemptible or the standard upstreams of one service in one data centre.
type Group struct {
	Service     contract.ServiceID    `json:"service"`
	DataCentre  contract.DataCentreID `json:"data_centre"`
	Preemptible bool                  `json:"preemptible,omitempty"`
}

// Order is a scaling order: it sets how many upstreams of a group should run.
type Order struct {
	Group
	Count int `json:"count"`
}

// State is the state shared by all VMs that place scaling orders.
// The state is stored because the platform offers no way to read scaling orders back.
type State struct {
	// Baseline is how many upstreams ran in each data centre when they were first counted.
	Baseline map[contract.ServiceID]map[contract.DataCentreID]int `json:"sized,omitempty"`
	// Orders are the scaling orders in force.
	Orders []Order `json:"ordered,omitempty"`
}

// WithOrder returns the state with a scaling order added,
// which replaces any earlier order for the same group.
func (r State) WithOrder(o Order) State {
	r.Orders = slices.DeleteFunc(slices.Clone(r.Orders), func(existing Order) bool { return existing.Group == o.Group })
	r.Orders = append(r.Orders, o)
	return r
}

// WithBaseline returns the state with the first upstream counts of a service added.
func (r State) WithBaseline(s contract.ServiceID, byDataCentre map[contract.DataCentreID]int) State {
	r.Baseline = maps.Clone(r.Baseline)
	if r.Baseline == nil {
		r.Baseline = make(map[contract.ServiceID]map[contract.DataCentreID]int)
	}
	r.Baseline[s] = byDataCentre
	return r
}

// OrdersOf returns the ordered upstream counts of a service.
func (r State) OrdersOf(s contract.ServiceID) map[Group]int {
	out := make(map[Group]int)
	for _, o := range r.Orders {
		if o.Service == s {
			out[o.Group] = o.Count
		}
	}
	return out
}

// Limits bound the scaling orders for a service.
type Limits struct {
	// Min and Max bound the number of upstreams in each data centre,
	// standard and preemptible ones together.
	Min, Max int
	// BootTime is how long a new upstream takes until it serves requests.
	BootTime time.Duration
	// PreemptiblePrice is the price of a preemptible upstream
	// as a fraction of the price of a standard one.
	// Zero means that there are no preemptible upstreams.
	PreemptiblePrice float64
}

// UpstreamCounts counts the upstreams of a service in one data centre.
// Upstreams that are leaving are not counted.
type UpstreamCounts struct {
	// Standard and Preemptible count the standard and the preemptible upstreams,
	// including cold ones (started recently).
	Standard, Preemptible int
	// Cold counts the standard and preemptible upstreams that cannot take their full load yet.
	// ColdPreemptible counts only the preemptible ones among the cold upstreams.
	Cold, ColdPreemptible int
}

// countOf returns the number of preemptible or of standard upstreams.
func (s UpstreamCounts) countOf(preemptible bool) int {
	if preemptible {
		return s.Preemptible
	}
	return s.Standard
}

// Input is the input to the scaling decision for one service.
type Input struct {
	Service contract.ServiceID
	Limits  Limits
	// Baseline is how many upstreams ran in each data centre when they were first counted.
	// Baseline is the operator's own estimate of what the service needs.
	Baseline map[contract.DataCentreID]int
	// Running counts the upstreams that run now.
	Running map[contract.DataCentreID]UpstreamCounts
	// InProgress holds the upstream counts of the scaling orders that may still be in progress.
	// Upstreams of older orders that have not appeared are no longer expected.
	InProgress map[Group]int
	// Need is how many upstreams the recent load requires.
	Need float64
	// ReleaseInProgress is true during a release rollout:
	// the new upstreams run beside the old ones,
	// and a scaling order would remove some of the new upstreams.
	// ReleaseDone is true after a release rollout:
	// newly ordered upstreams would start with the software from before the rollout.
	ReleaseInProgress, ReleaseDone bool
}

// Parameters for upstream capacity beyond the need.
const (
	// toleratedDataCentreLosses is how many data centres
	// may lose their preemptible upstreams at the same time.
	toleratedDataCentreLosses = 2
	// minCapacityRatio is the fraction of the need
	// that must remain during a tolerated loss of preemptible upstreams.
	// During such a loss, upstreams are busier than normally planned, but keep up.
	minCapacityRatio = 0.65
)

// Plan returns the scaling orders to place. Orders that add upstreams come first.
func Plan(s Input) []Order {
	if s.ReleaseDone || s.ReleaseInProgress && !s.lacksCapacity() {
		return nil
	}
	var out []Order
	for _, dc := range slices.Sorted(maps.Keys(s.Baseline)) {
		for _, o := range []Order{s.newOrder(dc, true, s.targetPreemptible(dc)), s.newOrder(dc, false, s.targetStandard(dc))} {
			if o.Count != s.provisioned(o.Group) {
				out = append(out, o)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b Order) int { return cmp.Compare(s.removalRank(a), s.removalRank(b)) })
	return out
}

// newOrder returns a scaling order for n upstreams of a group of the service.
func (s Input) newOrder(dc contract.DataCentreID, preemptible bool, n int) Order {
	return Order{Group{s.Service, dc, preemptible}, n}
}

// removalRank returns 1 for a scaling order that removes upstreams, otherwise 0,
// so that orders that add upstreams are sorted first.
func (s Input) removalRank(o Order) int {
	if o.Count < s.provisioned(o.Group) {
		return 1
	}
	return 0
}

// provisioned returns how many upstreams of a group are running or ordered.
// A scaling order in progress takes precedence over the count of running upstreams.
func (s Input) provisioned(group Group) int {
	if n, ok := s.InProgress[group]; ok {
		return n
	}
	return s.Running[group.DataCentre].countOf(group.Preemptible)
}

// preemptibleIsCheaper reports
// whether preemptible upstreams are available and cost less than standard ones.
func (s Input) preemptibleIsCheaper() bool {
	return s.Limits.PreemptiblePrice > 0 && s.Limits.PreemptiblePrice < 1
}

// baselineTotal returns how many upstreams of the service ran
// in all data centres when they were first counted.
func (s Input) baselineTotal() int {
	total := 0
	for _, n := range s.Baseline {
		total += n
	}
	return total
}

// targetTotal returns how many upstreams should run in all data centres:
// the number first counted or the need, whichever is larger. If preemptible upstreams are used,
// the number includes spare upstreams for the tolerated loss of data centres.
func (s Input) targetTotal() float64 {
	total := max(float64(s.baselineTotal()), s.Need)
	if remaining := len(s.Baseline) - toleratedDataCentreLosses; s.preemptibleIsCheaper() && remaining > 0 {
		total = max(total, minCapacityRatio*s.Need*float64(len(s.Baseline))/float64(remaining))
	}
	return total
}

// target returns how many upstreams should run in a data centre.
func (s Input) target(dc contract.DataCentreID) int {
	baseline := s.baselineTotal()
	if baseline == 0 {
		return s.Limits.Min
	}
	n := math.Ceil(float64(s.Baseline[dc]) * s.targetTotal() / float64(baseline))
	return min(max(int(n), s.Limits.Min), s.Limits.Max)
}

// minStandard returns how many standard upstreams each data centre keeps beside preemptible ones.
func (s Input) minStandard() int { return max(s.Limits.Min, 1) }

// targetPreemptible returns how many preemptible upstreams should run in a data centre:
// the target for the data centre minus the standard upstreams that stay,
// within the limit for standard and preemptible upstreams together.
func (s Input) targetPreemptible(dc contract.DataCentreID) int {
	if !s.preemptibleIsCheaper() {
		return s.provisioned(Group{s.Service, dc, true})
	}
	headroom := s.Limits.Max - s.provisioned(Group{s.Service, dc, false})
	return max(min(s.target(dc)-s.minStandard(), headroom), 0)
}

// targetStandard returns how many standard upstreams should run in a data centre.
// The number falls as preemptible upstreams start to serve,
// and rises again only if the total capacity is too low for the load.
func (s Input) targetStandard(dc contract.DataCentreID) int {
	if !s.preemptibleIsCheaper() {
		return s.target(dc)
	}
	current := s.provisioned(Group{s.Service, dc, false})
	counts := s.Running[dc]
	required := s.target(dc) - (counts.Preemptible - counts.ColdPreemptible)
	if s.lacksCapacity() {
		return min(max(current, required), max(s.Limits.Max-counts.Preemptible, 0))
	}
	return max(s.minStandard(), min(current, required))
}

// lacksCapacity reports whether all upstreams together,
// including the ones that are still cold, are too few for the load.
func (s Input) lacksCapacity() bool {
	total := 0
	for _, n := range s.Running {
		total += n.Standard + n.Preemptible
	}
	return float64(total) < minCapacityRatio*s.Need
}
