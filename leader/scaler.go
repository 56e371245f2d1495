package leader

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/logs"
	"woaddoor/route"
	"woaddoor/scaling"
	"woaddoor/upstream"
)

// ScalingAPI is the part of the platform's API that sets the number of upstreams.
// Scale returns a *RefusedError if the platform has no upstreams to give at the moment.
type ScalingAPI interface {
	Scale(ctx context.Context, n contract.FencingToken, o scaling.Order) error
}

// ScalerOptions configure a Scaler.
type ScalerOptions struct {
	Lease *LeaseClient
	API   ScalingAPI
	// Services returns the configured services, and Upstreams the upstreams on the store's list.
	// ListAge returns the age of the upstream list.
	Services  func() map[contract.ServiceID]*route.Service
	Upstreams func() []upstream.Entry
	ListAge   func() time.Duration
	// Load returns the load of all VMs on the upstreams of each service.
	Load func() map[contract.ServiceID]scaling.Load
	// ReleaseState reports whether a service has a release rollout in progress,
	// and whether the service has completed a release rollout.
	// ResponseObjective is the time within which responses should begin.
	ReleaseState      func(contract.ServiceID) (inProgress, done bool)
	ResponseObjective func(contract.ServiceID) time.Duration
	Now               func() time.Time
	Log               *zap.Logger
	Registry          metrics.Registry
}

// Scaler orders as many upstreams as the load requires. Scaler is a Task.
type Scaler struct {
	opts *ScalerOptions
	// peaks are the recent peak requirements of each service.
	peaks map[contract.ServiceID]*scaling.Peak
	// listedSince is when each listed upstream first appeared on the list.
	listedSince map[contract.UpstreamInstance]time.Time
	// lastRun is when this VM last checked all services.
	// A failed scaling order for a group is not repeated before retryAt.
	lastRun time.Time
	retryAt map[scaling.Group]time.Time
	// lastOrders are the last scaling orders for each group, by this VM or an earlier lease holder.
	lastOrders map[scaling.Group]sentOrder
	// listedCounts are the numbers of listed upstreams of each service.
	listedCounts map[contract.ServiceID]listedCount
}

// sentOrder is the number of upstreams in a scaling order,
// and when this VM sent or first saw the order.
type sentOrder struct {
	count  int
	sentAt time.Time
}

// listedCount is a number of listed upstreams and the time
// since which this number has been unchanged.
type listedCount struct {
	count int
	since time.Time
}

// NewScaler returns a scaler that has ordered nothing.
func NewScaler(opts *ScalerOptions) *Scaler {
	return &Scaler{
		opts: opts, peaks: make(map[contract.ServiceID]*scaling.Peak), listedSince: make(map[contract.UpstreamInstance]time.Time),
		retryAt: make(map[scaling.Group]time.Time), lastOrders: make(map[scaling.Group]sentOrder), listedCounts: make(map[contract.ServiceID]listedCount),
	}
}

// Timings of a scaler.
const (
	// scaleInterval is the time between two checks of all services.
	scaleInterval = 500 * time.Millisecond
	// maxListAge is the maximum age of the upstream list.
	// Nothing is ordered on the basis of an older list.
	maxListAge = 5 * time.Second
	// failedOrderBackoff is the delay after a scaling order that failed.
	// refusedOrderBackoff is the delay after an order
	// that the platform refused because it has no upstreams to give.
	failedOrderBackoff  = time.Second
	refusedOrderBackoff = 4 * time.Second
	// listLag is how far the upstream list is behind:
	// a new upstream appears on the list listLag after it starts to serve,
	// and a removed upstream stays on the list for listLag after it stops.
	listLag = 3 * time.Second
	// stableListDelay is how long the number of listed upstreams must be unchanged
	// before that number is taken as the number that the operator has assigned to the service.
	stableListDelay = time.Second
)

// Run sends the first scaling order that is due.
func (s *Scaler) Run(ctx context.Context, n contract.FencingToken) {
	now := s.opts.Now()
	if now.Sub(s.lastRun) < scaleInterval {
		return
	}
	s.lastRun = now
	if age := s.opts.ListAge(); age < 0 || age > maxListAge {
		return
	}
	entries := s.opts.Upstreams()
	s.trackListed(entries, now)
	record, err := storedRecord(s.opts.Lease)
	if err != nil {
		s.opts.Log.Error("lease-record-malformed", logs.ErrorFields(err)...)
	}
	load := s.opts.Load()
	services := s.opts.Services()
	for _, id := range slices.Sorted(maps.Keys(services)) {
		limits := services[id].Scaling
		if limits == nil {
			continue
		}
		if s.scaleService(ctx, n, id, *limits, record.Scaling, entriesOfService(entries, id), load[id], now) {
			return
		}
	}
}

// trackListed records when upstreams first appear on the list,
// and forgets upstreams that left the list.
func (s *Scaler) trackListed(entries []upstream.Entry, now time.Time) {
	listed := make(map[contract.UpstreamInstance]bool, len(entries))
	for _, e := range entries {
		listed[e.Instance()] = true
		if _, ok := s.listedSince[e.Instance()]; !ok {
			s.listedSince[e.Instance()] = now
		}
	}
	maps.DeleteFunc(s.listedSince, func(l contract.UpstreamInstance, _ time.Time) bool { return !listed[l] })
}

// entriesOfService returns the upstreams of one service.
func entriesOfService(entries []upstream.Entry, id contract.ServiceID) []upstream.Entry {
	return slices.DeleteFunc(slices.Clone(entries), func(e upstream.Entry) bool { return e.Service != id })
}

// scaleService decides how many upstreams one service needs and sends the first scaling order
// that is due. scaleService reports whether it sent an order.
func (s *Scaler) scaleService(ctx context.Context, n contract.FencingToken, id contract.ServiceID, limits scaling.Limits, record scaling.State, entries []upstream.Entry, load scaling.Load, now time.Time) bool {
	running := s.countUpstreams(entries, now)
	baseline := record.Baseline[id]
	if baseline == nil {
		s.recordInitialSize(id, running, now)
		return false
	}
	need := s.requiredUpstreams(id, load, entries, now)
	releasing, released := s.opts.ReleaseState(id)
	next := scaling.Plan(scaling.Input{
		Service: id, Limits: limits, Baseline: baseline, Running: running, InProgress: s.pendingOrders(record.OrdersOf(id), limits, now),
		Need: need, ReleaseInProgress: releasing, ReleaseDone: released,
	})
	for _, o := range next {
		if now.Before(s.retryAt[o.Group]) {
			continue
		}
		s.sendOrder(ctx, n, o, running[o.DataCentre], need)
		return true
	}
	return false
}

// pendingOrders returns the scaling orders that the upstream list may not reflect yet.
// A scaling order of an earlier lease holder counts as sent at the time when this VM first sees it.
func (s *Scaler) pendingOrders(ordered map[scaling.Group]int, limits scaling.Limits, now time.Time) map[scaling.Group]int {
	for group, count := range ordered {
		if _, ok := s.lastOrders[group]; !ok {
			s.lastOrders[group] = sentOrder{count, now}
		}
	}
	out := make(map[scaling.Group]int, len(s.lastOrders))
	for group, o := range s.lastOrders {
		if now.Sub(o.sentAt) < limits.BootTime+listLag {
			out[group] = o.count
		}
	}
	return out
}

// countUpstreams counts the upstreams of each data centre that are not leaving.
func (s *Scaler) countUpstreams(entries []upstream.Entry, now time.Time) map[contract.DataCentreID]scaling.UpstreamCounts {
	running := make(map[contract.DataCentreID]scaling.UpstreamCounts)
	for _, e := range entries {
		if e.Leaving {
			continue
		}
		counts := running[e.DataCentre]
		cold := now.Sub(s.listedSince[e.Instance()]) < e.Cold
		if cold {
			counts.Cold++
		}
		if e.Preemptible {
			counts.Preemptible++
		} else {
			counts.Standard++
		}
		if cold && e.Preemptible {
			counts.ColdPreemptible++
		}
		running[e.DataCentre] = counts
	}
	return running
}

// recordInitialSize stores how many upstreams a service has before any upstream is ordered.
func (s *Scaler) recordInitialSize(id contract.ServiceID, running map[contract.DataCentreID]scaling.UpstreamCounts, now time.Time) {
	perDataCentre := make(map[contract.DataCentreID]int)
	total := 0
	for dc, counts := range running {
		perDataCentre[dc] = counts.Standard + counts.Preemptible
		total += perDataCentre[dc]
	}
	if c := s.listedCounts[id]; c.count != total {
		s.listedCounts[id] = listedCount{total, now}
	}
	if total == 0 || now.Sub(s.listedCounts[id].since) < stableListDelay {
		return
	}
	if err := updateRecord(s.opts.Lease, true, func(r *Record) { r.Scaling = r.Scaling.WithBaseline(id, perDataCentre) }); err != nil {
		s.opts.Log.Error("scaling-record-failed", logs.ErrorFields(err)...)
		return
	}
	s.opts.Log.Info("upstreams-sized", zap.String("service", string(id)), zap.Int("upstreams", total), zap.Int("data_centres", len(perDataCentre)))
}

// requiredUpstreams returns how many upstreams the recent peak load requires.
func (s *Scaler) requiredUpstreams(id contract.ServiceID, load scaling.Load, entries []upstream.Entry, now time.Time) float64 {
	slots := 0
	for _, e := range entries {
		slots = max(slots, e.Slots)
	}
	p := s.peaks[id]
	if p == nil {
		p = &scaling.Peak{}
		s.peaks[id] = p
	}
	return p.Record(load.Need(slots, s.opts.ResponseObjective(id)), now)
}

// sendOrder sends one scaling order and logs its outcome.
func (s *Scaler) sendOrder(ctx context.Context, n contract.FencingToken, o scaling.Order, counts scaling.UpstreamCounts, need float64) {
	err := s.opts.API.Scale(ctx, n, o)
	fields := []zap.Field{
		zap.String("service", string(o.Service)), zap.String("data_centre", string(o.DataCentre)), zap.Bool("preemptible", o.Preemptible),
		zap.Int("count", o.Count), zap.Int("standard", counts.Standard), zap.Int("preemptible", counts.Preemptible), zap.Int("cold", counts.Cold),
		zap.Float64("need", need), zap.Uint64("fencing", uint64(n)),
	}
	var refused *RefusedError
	switch {
	case err == nil:
		s.lastOrders[o.Group] = sentOrder{o.Count, s.opts.Now()}
		s.countOutcome("made")
		s.opts.Log.Info("upstreams-ordered", fields...)
		if err := updateRecord(s.opts.Lease, false, func(r *Record) { r.Scaling = r.Scaling.WithOrder(o) }); err != nil {
			s.opts.Log.Error("scaling-record-failed", logs.ErrorFields(err)...)
		}
		return
	case errors.As(err, &refused):
		s.retryAt[o.Group] = s.opts.Now().Add(refusedOrderBackoff)
		s.countOutcome("refused")
	default:
		s.retryAt[o.Group] = s.opts.Now().Add(failedOrderBackoff)
		s.countOutcome("failed")
	}
	s.opts.Log.Warn("upstreams-not-ordered", append(fields, logs.ErrorFields(err)...)...)
}

// countOutcome counts a scaling order by its outcome.
func (s *Scaler) countOutcome(outcome string) {
	metrics.GetOrRegisterCounter(fmt.Sprintf("upstream_orders_total{end=%q}", outcome), s.opts.Registry).Inc(1)
}
