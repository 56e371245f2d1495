package relay

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"woaddoor/cascade"
	"woaddoor/contract"
	"woaddoor/exchange"
	"woaddoor/fairshare"
	"woaddoor/memory"
	"woaddoor/quarantine"
	"woaddoor/retry"
	"woaddoor/rollout"
	"woaddoor/upstream"
)

// Options configures a Relay.
type Options struct {
	Protocol   UpstreamProtocol
	DataCentre contract.DataCentreID
	// Regions maps each data centre to its region.
	Regions map[contract.DataCentreID]string
	// Self identifies this instance of the VM as the source
	// of its rollout evidence (its counts of good and bad answers).
	Self rollout.Observer
	Log  *zap.Logger
	Now  func() time.Time
	// Budget limits retries and escalations.
	Budget retry.ResendWindowOptions
	// VMs returns how many VMs share the retry budget and the upstreams' connection limits.
	VMs func() int
	// Counted reports whether the other VMs count this VM among those that share the retry budget.
	// A nil Counted means that they do.
	Counted func() bool
	// Policy holds the decision mechanisms that are disabled.
	Policy upstream.Policy
	// CanaryShare is the largest fraction of a service's requests that a bad release may receive
	// over the whole rollout order.
	CanaryShare float64
	// CanarySlack is how many requests a bad release may receive beyond that share, from all VMs together.
	CanarySlack float64
	// OnBadAnswer is called at each bad answer of a canary release,
	// so that the other VMs are notified at once.
	// OnBadAnswer must not block and may be nil.
	OnBadAnswer func()
	// OnSuspect is called when the other VMs must be notified at once of content
	// that is suspected of crashing upstreams.
	// OnSuspect must not block and may be nil.
	OnSuspect func()
	// OnQuarantined is called when content is quarantined,
	// so that it is written to the platform's object store at once.
	// OnQuarantined must not block and may be nil.
	OnQuarantined func()
	// ListAge returns the age of the upstream list
	// that was last read from the platform's object store.
	// ListAge may be nil.
	ListAge func() time.Duration
	// OnSent is called with each prompt that is sent to an upstream
	// if the prefill of the prompt is long enough to report to other VMs.
	// OnSent must not block and may be nil.
	OnSent func(SentPrompt)
	// GossipScope returns for which upstreams other VMs report their prompts to this VM.
	// A nil GossipScope means the zero upstream.GossipScope.
	GossipScope func() upstream.GossipScope
	// EvacuationBound is the time after which the upstreams of an evacuated data centre
	// must receive no more requests; zero means that there is no bound.
	EvacuationBound time.Duration
	// ValueCostRatio is the value of a request of the highest priority,
	// as a multiple of the cost of the most expensive model's answer to the request.
	// A zero ValueCostRatio means cascade.DefaultValueCostRatio.
	ValueCostRatio float64
	// MaxBackoff caps the back-off that an upstream can request.
	// A zero MaxBackoff means upstream.DefaultMaxBackoff.
	MaxBackoff time.Duration
	// MaxEscalationPrice is the price of an escalation
	// when the retry budget is used up, as a fraction of the request's value.
	MaxEscalationPrice float64
	// ColdBounds limits the requests to cold upstreams,
	// in addition to the limits of the configuration.
	ColdBounds ColdBounds
	// ColdOwners returns the owners in this data centre, the VMs
	// that divide the bounds on requests to cold and to rate-limited upstreams among themselves.
	// A nil ColdOwners means that this VM is the only one.
	ColdOwners func() upstream.Owners
	// OnBackoff is called with each back-off that an upstream requests.
	// OnBackoff must not block and may be nil.
	OnBackoff func(Backoff)
	// OnLimit is called with each rate limit of an upstream that must be reported to other VMs.
	// If remote is set, the rate limit must be reported to the VMs of other data centres too.
	// OnLimit must not block and may be nil.
	OnLimit func(known upstream.LimitUpdate, remote bool)
	// OnConfidence is called with the confidence that a model reports for each of its answers.
	// OnConfidence must not block and may be nil.
	OnConfidence func(ConfidenceReport)
	// OnExecution is called with the workspace of each request
	// that an upstream has begun to execute, and the time at which execution began.
	// OnExecution must not block and may be nil.
	OnExecution func(w contract.WorkspaceID, at time.Time)
	// WorkspaceWeight returns the weight of a workspace's fair share, or zero if none is configured.
	// A nil WorkspaceWeight means equal weights.
	WorkspaceWeight func(w contract.WorkspaceID) float64
	// OnBadRelease is called when a release is found to be bad.
	// OnBadRelease must not block and may be nil.
	OnBadRelease func()
	// Memory accounts for what requests make the process hold that come without a holder. A nil Memory means an
	// account of maxBufferedTotal.
	Memory *memory.Account
	// Forwarder passes requests to other VMs while this VM has no path to the upstreams.
	// A nil Forwarder means that there is no other VM.
	Forwarder Forwarder
	// Dial opens connections to upstreams. A nil Dial means exchange.Dial.
	Dial exchange.DialFunc
	// Seed seeds the random source. Zero means a seed from the clock.
	Seed uint64
}

// Relay forwards the requests of one VM to upstreams.
type Relay struct {
	opts    *Options
	log     *zap.Logger
	Metrics *Metrics
	stop    *stopState

	// The mutex mu guards the decision state below.
	// The mutex mu is held for one decision at a time and never across I/O.
	mu      sync.Mutex
	random  *rand.Rand
	table   *upstream.Table
	entries map[contract.UpstreamID]upstream.Entry
	pools   map[contract.UpstreamID]*exchange.Pool
	// closedPoolDials counts the connections
	// that were opened by connection pools that are now closed.
	closedPoolDials  int64
	poolsByRelease   map[contract.ServiceID]map[string][]contract.PoolID
	connectionLimits map[contract.ServiceID]int
	modelCosts       map[contract.ServiceID]map[contract.ModelID]float64
	retryBudgets     map[contract.ServiceID]*retry.ResendWindow
	// retrySchedules assign Retry-After times, by service, to callers that were refused
	// because all upstreams of the service were at their rate limits.
	retrySchedules map[contract.ServiceID]*retry.RetryScheduler
	canaries       map[contract.ServiceID]*rollout.Canary
	// pastOrders holds, for each rollout order that another one has replaced,
	// the number of its last change in the store.
	pastOrders map[orderKey]uint64
	// rolledBack holds the releases found to be bad, by service.
	// Upstreams of a bad release drain;
	// a later rollout order for another release does not return these upstreams to service.
	rolledBack map[contract.ServiceID]map[string]bool
	// completedReleases holds the release of the last completed rollout, by service.
	// Sessions stay on the completed release during a later rollout,
	// whatever other releases still run.
	completedReleases map[contract.ServiceID]string
	latencies         map[string]*latencyStats
	// durations holds, by route, the time until an answer is complete.
	durations map[string]*latencyStats
	// confidences relates the confidence that models report
	// for their answers to the quality of those answers.
	confidences *cascade.ConfidenceEstimator
	// gossipScope defines for which upstreams other VMs report their prompts to this VM.
	gossipScope upstream.GossipScope
	// isolatedSince is the time since which this VM has reached no upstream of some service;
	// zero while this VM is not isolated.
	isolatedSince time.Time
	// paths tracks whether this VM can establish connections to the upstreams of each service.
	// loggedPaths holds the state of each path as last logged.
	paths       *upstream.PathMonitor
	loggedPaths map[contract.ServiceID]upstream.PathState
	// suspectedPaths holds, by service, an upstream that has become silent and has yet to be probed.
	// pathSuspectedAt is when an upstream of a service last became silent.
	suspectedPaths  map[contract.ServiceID]contract.UpstreamID
	pathSuspectedAt map[contract.ServiceID]time.Time
	// evacuations holds the data centres whose upstreams must receive no more requests.
	evacuations map[contract.DataCentreID]evacuation
	// possibleCrashes holds the upstreams whose connections broke off and that may have crashed.
	// quarantineCases holds the content of the requests that upstreams executed when they crashed.
	possibleCrashes *quarantine.CrashTracker
	quarantineCases *quarantine.Table
	// running counts the attempts in progress of each request.
	// probesRunning holds a channel for each upstream that is being probed for a crash.
	// The channel is closed when the probe ends.
	running       map[*Request]int
	probesRunning map[contract.UpstreamInstance]chan struct{}
	// promptLoads holds, by service, the prefill work that this VM sends to the engines.
	promptLoads map[contract.ServiceID]*promptLoad
	// fairShares decides, by service, on the admission of requests while upstreams are short.
	fairShares map[contract.ServiceID]*fairshare.Service
	// dataCentreOf maps each pool to its data centre.
	dataCentreOf map[contract.PoolID]contract.DataCentreID
}

// New returns a relay without upstreams.
func New(opts *Options) *Relay {
	opts.ValueCostRatio = cmp.Or(opts.ValueCostRatio, cascade.DefaultValueCostRatio)
	opts.MaxBackoff = cmp.Or(opts.MaxBackoff, upstream.DefaultMaxBackoff)
	if opts.Memory == nil {
		opts.Memory = memory.NewAccount(memory.Options{Total: maxBufferedTotal, Allowance: freeBufferedAnswer})
	}
	if opts.Dial == nil {
		opts.Dial = exchange.Dial
	}
	seed := opts.Seed
	if seed == 0 {
		seed = uint64(opts.Now().UnixNano())
	}
	return &Relay{
		opts: opts, log: opts.Log, Metrics: newMetrics(),
		random:            rand.New(rand.NewPCG(seed, seed>>1)),
		table:             upstream.NewTable(upstream.Options{Listed: true, Policy: opts.Policy}),
		entries:           make(map[contract.UpstreamID]upstream.Entry),
		pools:             make(map[contract.UpstreamID]*exchange.Pool),
		poolsByRelease:    make(map[contract.ServiceID]map[string][]contract.PoolID),
		connectionLimits:  make(map[contract.ServiceID]int),
		modelCosts:        make(map[contract.ServiceID]map[contract.ModelID]float64),
		retryBudgets:      make(map[contract.ServiceID]*retry.ResendWindow),
		retrySchedules:    make(map[contract.ServiceID]*retry.RetryScheduler),
		canaries:          make(map[contract.ServiceID]*rollout.Canary),
		pastOrders:        make(map[orderKey]uint64),
		rolledBack:        make(map[contract.ServiceID]map[string]bool),
		completedReleases: make(map[contract.ServiceID]string),
		latencies:         make(map[string]*latencyStats),
		durations:         make(map[string]*latencyStats),
		stop:              newStopState(),
		confidences:       cascade.NewConfidenceEstimator(),
		promptLoads:       make(map[contract.ServiceID]*promptLoad),
		fairShares:        make(map[contract.ServiceID]*fairshare.Service),
		possibleCrashes:   quarantine.NewCrashTracker(), quarantineCases: quarantine.NewTable(),
		paths: upstream.NewPathMonitor(), loggedPaths: make(map[contract.ServiceID]upstream.PathState),
		suspectedPaths: make(map[contract.ServiceID]contract.UpstreamID), pathSuspectedAt: make(map[contract.ServiceID]time.Time),
		running: make(map[*Request]int), probesRunning: make(map[contract.UpstreamInstance]chan struct{}),
	}
}

// withLock calls f while holding mu.
func (r *Relay) withLock(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// connectionShare is the fraction of an upstream's connections
// that all known VMs together plan to use.
// The other connections are reserved for VMs that are not yet known.
const connectionShare = 0.85

// isCurrent reports whether the listed instance of an upstream has the given incarnation.
// Reports about an earlier instance do not apply to the listed one. The caller holds mu.
func (r *Relay) isCurrent(id contract.UpstreamID, incarnation int64) bool {
	e, ok := r.entries[id]
	return ok && e.Incarnation == incarnation
}

// connectionPool returns the connection pool of an upstream and creates it if there is none.
func (r *Relay) connectionPool(e upstream.Entry) *exchange.Pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.pools[e.ID]
	if !ok {
		p = exchange.NewPool(e.Address, cmp.Or(r.connectionLimits[e.Service], minConnections))
		p.Dial = r.opts.Dial
		p.OnConnect = func(err error) { r.recordConnect(e, err) }
		r.pools[e.ID] = p
	}
	return p
}

// Connections returns how many connections to upstreams are open, and how many were opened so far.
func (r *Relay) Connections() (open int, dialed int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pools {
		n, total := p.Stats()
		open += n
		dialed += total
	}
	return open, dialed + r.closedPoolDials
}

// CountUpstreams returns how many upstreams are known.
func (r *Relay) CountUpstreams() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries)
}

// errSilent is the error of an attempt whose upstream sent nothing within the timeout.
var errSilent = errors.New("upstream is silent")

// Serve answers a request through an upstream and returns how the request ended.
// A refusal is always returned with Refused, and may be returned with StreamCut.
func (r *Relay) Serve(ctx context.Context, req *Request, c Caller) (RequestEnd, *contract.Refusal) {
	if req.Memory == nil {
		req.Memory = r.OpenHolder()
		defer req.Memory.Close()
	}
	j := newJob(req)
	r.withLock(func() { j.service = req.Route.PickService(r.random.Float64()) })
	return r.serve(ctx, j, c)
}

// serve answers the request of a job through an upstream, or through another VM
// if this VM has no path to the upstreams.
func (r *Relay) serve(ctx context.Context, j *job, c Caller) (RequestEnd, *contract.Refusal) {
	ctx, release := r.untilStop(ctx)
	defer release()
	ctx, cancel := context.WithDeadlineCause(ctx, j.Deadline, errDeadline)
	defer cancel()
	forwards := false
	r.withLock(func() { forwards = r.forwardsFirst(j, r.opts.Now()) })
	var end RequestEnd
	var refused *contract.Refusal
	ended := false
	if forwards {
		end, refused, ended = r.forward(ctx, j, c)
	}
	if !ended {
		end, refused = r.serveLocally(ctx, j, c)
		if !forwards && r.forwardAfter(ctx, j, refused) {
			if e, f, ok := r.forward(ctx, j, c); ok {
				end, refused = e, f
			}
		}
	}
	r.recordRequestEnd(j, end, refused)
	return end, refused
}

// serveLocally answers the request of a job through an upstream that this VM reaches.
func (r *Relay) serveLocally(ctx context.Context, j *job, c Caller) (RequestEnd, *contract.Refusal) {
	var retryAfter time.Duration
	unreachable := false
	var share shareCheck
	r.withLock(func() {
		if !j.counted {
			r.retryBudget(j.service).RecordRequest(r.opts.Now())
			j.counted = true
		}
		if share = r.checkShare(j, r.opts.Now()); share.refusal != nil {
			return
		}
		if isStream(j.Request) {
			j.relativeValue = r.table.RecordPrompt(j.Route.Objective, r.requestValue(j), r.sendingVMs(), r.opts.Now())
		}
		if j.model == "" { // otherwise the stream stays with the model that began it
			retryAfter, unreachable = r.chooseModel(j)
		}
		if !unreachable {
			r.recordAdmitted(j, share, r.opts.Now())
		}
	})
	defer r.releaseReserved(j)
	switch {
	case len(j.Route.Shares) == 0:
		return Refused, refuseUnlisted(j)
	case share.refusal != nil:
		return Refused.afterHead(j), share.refusal
	case unreachable:
		return Refused, refuseLongQueue(j, retryAfter)
	case isStream(j.Request):
		return r.serveStream(ctx, j, c)
	default:
		return r.serveBuffered(ctx, j, c)
	}
}

// sendingVMs returns how many VMs send requests to the engines in this VM's gossip scope,
// that is, the engines for which other VMs report their prompts to this VM.
// The price of engine time depends on the demand from the VMs that use the engine.
// Counting all VMs of five data centres for the engines
// of one data centre made the price five times too high.
// The caller holds mu.
func (r *Relay) sendingVMs() int {
	if r.gossipScope.VMs > 0 {
		return r.gossipScope.VMs
	}
	return r.opts.VMs()
}

// errDeadline is the cancellation cause of a request whose deadline has passed.
var errDeadline = errors.New("deadline passed")
