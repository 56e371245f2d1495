// Package upstream selects the upstream that serves a request. It is a deterministic state
// machine: its inputs are the configuration, load reports, the platform's list of upstreams
// and the requests that this VM sends; the caller passes in the time and the random source.
//
// Several VMs select at the same time without coordination, and load reports lag. Each
// selection therefore weighs this VM's own requests most, and averages reported load over
// time, with less weight for older reports.
//
// An instance of an upstream is one run of its process (contract.UpstreamInstance). After a
// restart under the same ID, an upstream is a new instance.
package upstream

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"woaddoor/config"
	"woaddoor/contract"
	"woaddoor/prefill"
)

// Options configure the selection.
type Options struct {
	// ReportTimeout is how long an upstream may go without a load report before it gets
	// no new work. Zero means 3 s.
	ReportTimeout time.Duration
	// HomeLoadLimit is the fraction of an upstream's slots up to which the upstream gets
	// requests because it is a home of their prompt prefix. Zero means 0.9.
	HomeLoadLimit float64
	// Listed means that upstreams come from the platform's list:
	// an upstream needs no load report before it gets work, and its load is read from its
	// answers. If Listed is false, each upstream has to send load reports.
	Listed bool
	// Policy contains the mechanisms of the selection that are disabled.
	Policy Policy
}

// Defaults of Options.
const (
	defaultReportTimeout = 3 * time.Second
	defaultHomeLoadLimit = 0.9
)

func (o Options) withDefaults() Options {
	return Options{
		Listed:        o.Listed,
		Policy:        o.Policy,
		ReportTimeout: cmp.Or(o.ReportTimeout, defaultReportTimeout),
		HomeLoadLimit: cmp.Or(o.HomeLoadLimit, defaultHomeLoadLimit),
	}
}

// Table holds what one VM knows about the upstreams. A Table is not safe for concurrent use:
// callers synchronize access.
type Table struct {
	opts   Options
	states map[contract.UpstreamID]*state
	// unreachableUntil holds, for each data centre that appears to be unreachable,
	// the time until which the data centre counts as unreachable.
	unreachableUntil map[contract.DataCentreID]time.Time
	// suspectedCentres holds the data centres with an upstream that stopped responding.
	suspectedCentres map[contract.DataCentreID]bool
	pools            map[contract.PoolID][]*state
	// byDataCentre holds the states of each data centre, in the order of sortedStates.
	byDataCentre map[contract.DataCentreID][]*state
	// sortedStates holds all states sorted by upstream ID, so that a selection depends
	// only on the random source and not on map iteration order.
	sortedStates []*state
	// prefillRates estimates how long engines take to prefill a prompt, demand estimates
	// the arriving prompts, and activeEngines counts the engines that currently receive
	// prompts.
	prefillRates  *prefill.Rates
	demand        demand
	activeEngines int
	// gossipScope defines the upstreams for which this VM learns of other VMs' requests.
	// meanWait is the mean time that a prompt waits in the prefill queue of such an upstream.
	gossipScope GossipScope
	meanWait    time.Duration
	// meanDecodeTime is the mean time that a listed upstream works on a prompt after its
	// answer has begun.
	meanDecodeTime time.Duration
	// meanPaces holds the mean pace of each pool in which the pace of any upstream is known.
	meanPaces map[contract.PoolID]float64
	// listReceived is set once an upstream list has been applied. owners are the VMs that
	// share the bounds of cold and rate-limited upstreams. coldTransitions holds the
	// transitions to cold that TakeColdTransitions has not returned yet.
	listReceived    bool
	owners          ownership
	coldTransitions []ColdTransition
	// notices holds what each instance stated about itself in its answers. limited holds the
	// listed upstreams whose stated rate limit is in force, sorted by ID.
	notices map[contract.UpstreamInstance]*instanceNotices
	limited []*state
	// bounded holds the listed upstreams with a rate limit or brittleness in force, sorted by ID.
	bounded []*state
	// brittleServices holds the services whose upstreams have lately stated that they are brittle.
	brittleServices map[contract.ServiceID]serviceBrittleness
	// workTimes holds the mean time that the upstreams of a service work on a request.
	workTimes map[contract.ServiceID]time.Duration
	// vms is the number of VMs that send requests to the upstreams.
	vms int
}

// state holds what is known about one upstream.
type state struct {
	upstream config.Upstream
	pool     *config.Pool
	service  contract.ServiceID // of a listed upstream
	idHash   uint64             // hash of the upstream ID, for rendezvous hashing

	// reportedIncarnation and load come from the last load report.
	// reportedIncarnation and load are zero without a load report.
	reportedIncarnation contract.Incarnation
	load                contract.LoadReport
	// reportedAt is when the last load report was requested.
	// Zero means that no report was ever requested.
	reportedAt time.Time
	// leavingIncarnation is the incarnation that is known to be leaving.
	// A later incarnation is a new instance of the upstream, and a new instance is not leaving.
	leavingIncarnation contract.Incarnation
	inFlight           int
	// orphans holds when each request that this VM no longer waits for ceases to use a slot.
	orphans          []time.Time
	sentSinceReport  int     // requests sent since the last report was requested
	doneSinceReport  int     // requests completed since the last report was requested
	othersInFlight   float64 // expected number of requests from other VMs, estimated from reports
	serviceTime      time.Duration
	serviceTimeAt    time.Time // when serviceTime was last updated
	failures         int
	breakerOpenUntil time.Time
	probing          bool
	health           health // only used for listed upstreams
	// queue and prefixCache are the estimated prefill queue and the estimated prompt cache
	// of a listed upstream.
	queue prefill.Queue
	// pace is how fast the upstream works.
	// eventTokens is the number of tokens in an event of a stream; zero if it is unknown.
	pace        prefill.Pace
	eventTokens int
	prefixCache *prefill.PrefixCache
	// promptSentAt is when any VM was last known to send a prompt to the upstream.
	promptSentAt time.Time
	// cachedRank is this VM's rank among the owners of this upstream (the VMs that divide its
	// cold bound and its rate limit). cachedRankVersion is the version of the owners for which
	// cachedRank was computed.
	cachedRank, cachedRankVersion int
	// incarnation and slots are copied from the list entry.
	// If the upstream sends load reports, incarnation is copied from a load report.
	// cold is the estimated cold state.
	incarnation int64
	slots       int
	cold        coldState
	// serviceRoom is the upstreams of the same service and data centre, this one among them.
	serviceRoom *serviceRoom
	// grant is this VM's share of the slots, if the upstream is brittle.
	grant grant
	// listedAt is when this VM first listed the instance.
	listedAt time.Time
	// notices is what the current instance stated about itself in answers.
	// notices is nil if the instance stated nothing. The upstream may have requested back-offs
	// (pauses) from other VMs: othersBackoffUntil is when the last of these back-offs ends.
	notices            *instanceNotices
	othersBackoffUntil time.Time
}

// NewTable returns an empty table.
func NewTable(opts Options) *Table {
	o := opts.withDefaults()
	return &Table{
		opts: o, unreachableUntil: make(map[contract.DataCentreID]time.Time), suspectedCentres: make(map[contract.DataCentreID]bool), states: make(map[contract.UpstreamID]*state), pools: make(map[contract.PoolID][]*state), byDataCentre: make(map[contract.DataCentreID][]*state),
		prefillRates: prefill.NewRates(nil), meanPaces: make(map[contract.PoolID]float64), notices: make(map[contract.UpstreamInstance]*instanceNotices), brittleServices: make(map[contract.ServiceID]serviceBrittleness),
		workTimes: make(map[contract.ServiceID]time.Duration),
	}
}

// Configure applies the pools of a configuration. The state of upstreams that remain
// configured is kept.
func (t *Table) Configure(pools map[contract.PoolID]*config.Pool) {
	states := make(map[contract.UpstreamID]*state)
	t.pools = make(map[contract.PoolID][]*state)
	for _, p := range pools {
		for _, u := range p.Upstreams {
			s, had := t.states[u.ID]
			if !had || s.upstream.URL != u.URL {
				s = &state{idHash: xxhash.Sum64String(string(u.ID)), prefixCache: prefill.NewPrefixCache(0)}
			}
			s.upstream, s.pool = u, p
			states[u.ID] = s
			t.pools[p.ID] = append(t.pools[p.ID], s)
		}
		slices.SortFunc(t.pools[p.ID], func(a, b *state) int { return cmp.Compare(a.upstream.ID, b.upstream.ID) })
	}
	t.states = states
	t.sortedStates = slices.SortedFunc(maps.Values(states), func(a, b *state) int { return cmp.Compare(a.upstream.ID, b.upstream.ID) })
	t.byDataCentre = make(map[contract.DataCentreID][]*state)
	for _, s := range t.sortedStates {
		t.byDataCentre[s.pool.DataCentre] = append(t.byDataCentre[s.pool.DataCentre], s)
	}
}

// ApplyReport applies a load report that was requested at askedAt.
// ApplyReport ignores a report that is older than the last report or that comes from an earlier
// instance.
func (t *Table) ApplyReport(id contract.UpstreamID, l contract.LoadReport, askedAt time.Time) {
	s, ok := t.states[id]
	if !ok || askedAt.Before(s.reportedAt) || l.Incarnation < s.reportedIncarnation {
		return
	}
	if l.Incarnation > s.reportedIncarnation {
		// A new instance at the same address: reset the state of the previous instance,
		// except for the count of requests still in flight.
		s.reportedIncarnation, s.failures, s.breakerOpenUntil, s.serviceTime, s.othersInFlight = l.Incarnation, 0, time.Time{}, 0, 0
		s.incarnation = int64(l.Incarnation)
		s.notices = t.notices[contract.UpstreamInstance{Upstream: id, Incarnation: s.incarnation}]
	}
	if l.Draining {
		s.leavingIncarnation = l.Incarnation
	}
	s.averageReport(l, askedAt.Sub(s.reportedAt))
	s.load, s.reportedAt = l, askedAt
	s.sentSinceReport, s.doneSinceReport = 0, 0
}

// MarkLeaving marks the given upstreams as leaving (about to stop):
// the platform's list of upstreams reports them as leaving or no longer contains them as live.
// The list of upstreams may lag.
func (t *Table) MarkLeaving(leaving map[contract.UpstreamID]bool) {
	for id, s := range t.states {
		if leaving[id] {
			s.leavingIncarnation = max(s.leavingIncarnation, s.reportedIncarnation)
		}
	}
}

// RecordSent records that a request was sent to an upstream.
func (t *Table) RecordSent(id contract.UpstreamID) {
	if s, ok := t.states[id]; ok {
		s.inFlight++
		s.sentSinceReport++
	}
}

// InFlightIn returns how many requests of this VM are in flight to the upstreams of a data centre.
func (t *Table) InFlightIn(dc contract.DataCentreID) int {
	n := 0
	for _, s := range t.byDataCentre[dc] {
		n += s.inFlight
	}
	return n
}

// Parameters of the circuit breaker and the service time average of an upstream that sends
// load reports.
const (
	breakerThreshold   = 3
	breakerBackoffBase = 500 * time.Millisecond
	breakerBackoffMax  = 10 * time.Second
	serviceTimeWeight  = 0.2 // weight of the newest sample
)

// RecordDone records that a request ended with result r after the duration took.
func (t *Table) RecordDone(id contract.UpstreamID, r Result, took time.Duration, now time.Time) {
	s, ok := t.states[id]
	if !ok {
		return
	}
	s.inFlight--
	s.doneSinceReport++
	s.probing = false
	if t.opts.Listed {
		t.recordReachability(s, r, now)
		t.detectCold(s, r, now)
		if r == Rejected {
			t.recordBrittleRejection(s, now)
		}
		s.recordResult(r, took, now)
		return
	}
	switch r {
	case Succeeded:
		s.failures = 0
		s.breakerOpenUntil = time.Time{}
		s.recordServiceTime(took, now)
	case Failed, Broken:
		s.failures++
		if s.failures >= breakerThreshold {
			backoff := min(breakerBackoffBase<<min(s.failures-breakerThreshold, 8), breakerBackoffMax)
			s.breakerOpenUntil = now.Add(backoff)
		}
	}
}

// ErrNone means that no upstream can take the request now.
var ErrNone = errors.New("no upstream can take the request")

// URL returns the address of an upstream, or "" if it is unknown.
func (t *Table) URL(id contract.UpstreamID) string {
	if s, ok := t.states[id]; ok {
		return s.upstream.URL
	}
	return ""
}

// All returns the configuration of all upstreams, in no particular order.
func (t *Table) All() []config.Upstream {
	upstreams := make([]config.Upstream, 0, len(t.states))
	for _, s := range t.states {
		upstreams = append(upstreams, s.upstream)
	}
	return upstreams
}

// UsableSlots returns the total number of slots (concurrent requests) of the usable upstreams of
// one kind of pool. UsableSlots counts the upstreams in the data centre dc or,
// if no upstream there is usable, the upstreams in all data centres.
func (t *Table) UsableSlots(kind config.PoolKind, dc contract.DataCentreID, now time.Time) int {
	local, all := 0, 0
	for _, s := range t.states {
		if s.pool.Kind != kind || !t.usable(s, "", now) {
			continue
		}
		all += s.pool.Slots
		if s.pool.DataCentre == dc {
			local += s.pool.Slots
		}
	}
	if local > 0 {
		return local
	}
	return all
}

// HasReport reports whether any upstream has ever sent a load report or, for a listed upstream,
// has stated its load in an answer.
func (t *Table) HasReport() bool {
	for _, s := range t.states {
		if !s.reportedAt.IsZero() {
			return true
		}
	}
	return false
}

// usable reports whether an upstream may get new work.
//
// The platform's list may lag, and the platform may be unavailable. An upstream that sends
// load reports therefore becomes unusable as soon as its reports stop for ReportTimeout.
func (t *Table) usable(s *state, v contract.VersionID, now time.Time) bool {
	if !s.acceptsWork(now) {
		return false
	}
	if t.opts.Listed {
		return s.hasFreeConnection() && s.health.available(now) && t.withinBounds(s, now)
	}
	if s.reportedAt.IsZero() || now.Sub(s.reportedAt) >= t.opts.ReportTimeout {
		return false
	}
	if now.Before(s.breakerOpenUntil) {
		return false
	}
	if s.failures >= breakerThreshold && s.probing {
		return false // only one probe at a time checks whether the upstream has recovered
	}
	return v == "" || slices.Contains(s.load.Versions, v)
}
