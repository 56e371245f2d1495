package site

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/leader"
	"woaddoor/quarantine"
	"woaddoor/relay"
	"woaddoor/rollout"
	"woaddoor/route"
	"woaddoor/upstream"
)

// Options configure a Site.
type Options struct {
	VM contract.VMID
	// FirstStart is set only for the very first start of the whole deployment.
	FirstStart     bool
	Configurations Source[*route.Table]
	Upstreams      Source[upstream.Entry]
	Rollouts       Source[rollout.ReleaseOrder]
	// Evacuations lists the data centres whose upstreams receive no further requests.
	// Evacuations is nil where the deployment supports no evacuations.
	Evacuations Source[Evacuation]
	// Quarantined lists the quarantined request contents, which are sent to no upstream.
	// QuarantineStore writes quarantined contents to the store.
	// Either Quarantined and QuarantineStore are both set or neither is.
	Quarantined     Source[quarantine.QuarantinedContent]
	QuarantineStore QuarantineStore
	// WriteRolloutStatus records in the store that a rollout order has started, or how it ended.
	WriteRolloutStatus func(ctx context.Context, o rollout.ReleaseOrder, state rollout.OrderState) error
	Peers              *Peers
	// Leader runs the tasks that only one VM of the deployment performs.
	// Leader is nil where there are no such tasks.
	Leader *leader.Leader
	// ListVMs returns the link addresses of the VMs registered in the store.
	// RegisterVM registers this VM.
	ListVMs    func(ctx context.Context) (map[contract.VMID]string, error)
	RegisterVM func(ctx context.Context) error
	// Link is this VM's link address: the UDP address of its endpoint of package link.
	Link  string
	Relay *relay.Relay
	Log   *zap.Logger
	Now   func() time.Time
	// Registry receives counters of the store calls and the reasons for them. Registry may be nil.
	Registry metrics.Registry
}

// Site holds one VM's state of the deployment: the configuration,
// the upstreams, the rollout orders, the evacuations and the quarantined contents.
type Site struct {
	opts  *Options
	log   *zap.Logger
	table atomic.Pointer[route.Table]
	// wake triggers an immediate run of the periodic tasks in tick.
	wake chan struct{}
	// writeQuarantines makes syncQuarantine run before its next tick.
	writeQuarantines chan struct{}
	// ready is closed once a configuration and a list of upstreams are known.
	// requestWaiting is closed when a client request arrives before ready is closed.
	ready, requestWaiting  chan struct{}
	readyOnce, waitingOnce sync.Once
	// randomRank is the rank that this VM uses while it knows no other VM. randomRank is random
	// so that VMs that start together do not all list the store at the same time.
	randomRank int
	// decisionTimer is set while a timer is to trigger wake, because a decision on a release is due.
	decisionTimer atomic.Bool
	// orderWrites holds the pending writes of rollout order states. Only tick uses orderWrites.
	orderWrites map[writeKey]*pendingWrite

	// mu guards the fields below.
	mu             sync.Mutex
	upstreamList   *UpstreamList
	upstreamsKnown bool
	// partial is set while only the first page of the first upstream list is known.
	// pushedTable is the configuration that was in force
	// when the relay last received the whole list of upstreams.
	partial     bool
	pushedTable *route.Table
	// activeEvacuations holds the evacuations in force by object name.
	activeEvacuations map[string]activeEvacuation
	// unreadConfig is the newest configuration of the store if it cannot be put in force; nil otherwise.
	unreadConfig *unreadConfiguration
	// evacuationsEra and quarantineEra are the eras of the store to which
	// the known evacuations and quarantined contents belong.
	evacuationsEra, quarantineEra eraMark
}

// New returns a Site without any state.
func New(opts *Options) *Site {
	if opts.Registry == nil {
		opts.Registry = metrics.NewRegistry()
	}
	return &Site{
		opts: opts, log: opts.Log, upstreamList: NewUpstreamList(), wake: make(chan struct{}, 1), writeQuarantines: make(chan struct{}, 1),
		ready: make(chan struct{}), requestWaiting: make(chan struct{}),
		randomRank:  rand.IntN(requestRanks),
		orderWrites: make(map[writeKey]*pendingWrite), activeEvacuations: make(map[string]activeEvacuation),
	}
}

// Table returns the configuration in force, or nil before one is known.
func (s *Site) Table() *route.Table { return s.table.Load() }

// Ready reports whether a configuration and a list of upstreams are known.
func (s *Site) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Load() != nil && s.upstreamsKnown
}

// startupWait bounds how long a request waits at a VM that has just started and has no state yet.
// Reading the store takes about 10 ms, and 100 ms is an eighth of the latency objective of a page.
const startupWait = 100 * time.Millisecond

// AwaitReady waits until this VM can serve, for at most startupWait.
// If the VM has no state, AwaitReady makes it list the store at once:
// clients reach a VM that is not ready only when other VMs are down too,
// so there may be no peer to get the state from. After all six VMs of a deployment were killed,
// 194 requests were rejected within 0.3 s while the VMs waited for each other.
func (s *Site) AwaitReady(ctx context.Context) {
	select {
	case <-s.ready:
		return
	default:
	}
	s.waitingOnce.Do(func() {
		s.log.Info("wanted")
		close(s.requestWaiting)
	})
	select {
	case <-s.ready:
	case <-ctx.Done():
	case <-time.After(startupWait):
	}
}

// signalIfReady releases the requests that wait in AwaitReady once this VM can serve.
// The caller holds mu.
func (s *Site) signalIfReady() {
	if s.table.Load() != nil && s.upstreamsKnown {
		s.readyOnce.Do(func() { close(s.ready) })
	}
}

// Upstreams returns the known upstreams.
func (s *Site) Upstreams() []upstream.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.upstreamList.Entries()
}

// ConfirmationAges returns the time
// since the store last confirmed the configuration and the list of upstreams.
// An age is negative if the store has never confirmed the configuration or the list.
func (s *Site) ConfirmationAges() (configuration, upstreams time.Duration) {
	return s.age(s.opts.Configurations.Name()), s.age(s.opts.Upstreams.Name())
}

func (s *Site) age(kind string) time.Duration {
	if status, known := s.opts.Peers.status(kind); known {
		return status.Age
	}
	return -1
}

// EvaluateVerdicts triggers an immediate evaluation of the release verdicts.
func (s *Site) EvaluateVerdicts() { trigger(s.wake) }

// Run keeps the state of this VM up to date until ctx ends.
func (s *Site) Run(ctx context.Context) {
	var wg sync.WaitGroup
	configs := newFollower(s, s.opts.Configurations, s.applyTable, func(bool) {})
	upstreams := newFollower(s, s.opts.Upstreams, s.applyUpstreams, s.recordStoreCall)
	upstreams.applyFirstPage = s.applyFirstUpstreams
	orders := newFollower(s, s.opts.Rollouts, s.applyOrders, func(bool) {})
	s.opts.Peers.registerKind(s.opts.Configurations.Name(), configs)
	s.opts.Peers.registerKind(s.opts.Upstreams.Name(), upstreams)
	s.opts.Peers.registerKind(s.opts.Rollouts.Name(), orders)
	s.opts.Peers.attachRelay(s.opts.Relay)
	runs := []func(context.Context){configs.run, upstreams.run, orders.run, s.tick, s.opts.Peers.Run, s.maintainRegistration}
	if s.opts.Evacuations != nil {
		evacuations := newFollower(s, s.opts.Evacuations, s.applyEvacuations, func(bool) {})
		s.opts.Peers.registerKind(s.opts.Evacuations.Name(), evacuations)
		runs = append(runs, evacuations.run)
	}
	if s.opts.Quarantined != nil {
		quarantined := newFollower(s, s.opts.Quarantined, s.applyQuarantined, func(bool) {})
		s.opts.Peers.registerKind(s.opts.Quarantined.Name(), quarantined)
		runs = append(runs, quarantined.run, s.syncQuarantine)
	}
	if s.opts.Leader != nil {
		runs = append(runs, s.runLeader, s.opts.Peers.reportUsage)
	}
	for _, run := range runs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			run(ctx)
		}()
	}
	wg.Wait()
}

// runLeader runs the tasks that one VM performs for the whole deployment, once this VM can serve.
func (s *Site) runLeader(ctx context.Context) {
	select {
	case <-s.ready:
		s.opts.Leader.Run(ctx)
	case <-ctx.Done():
	}
}

// Resign gives up the tasks that this VM performs
// for the whole deployment before this VM shuts down.
func (s *Site) Resign(ctx context.Context) {
	if s.opts.Leader != nil {
		s.opts.Leader.Resign(ctx)
	}
}

// pushUpstreams passes the changed upstreams to the relay.
// pushUpstreams passes the whole list of upstreams
// if the configuration has changed or if the relay has not received the whole list yet.
// The caller holds mu.
func (s *Site) pushUpstreams() {
	t := s.table.Load()
	var services map[contract.ServiceID]*route.Service
	if t != nil {
		services = t.Services
	}
	changed, removed := s.upstreamList.TakeChanges()
	if s.partial {
		s.opts.Relay.SetPartialUpstreams(s.upstreamList.Entries(), services)
		return
	}
	if s.pushedTable != nil && s.pushedTable == t && s.opts.Relay.ChangeUpstreams(changed, removed, services) {
		return
	}
	s.opts.Relay.SetUpstreams(s.upstreamList.Entries(), services)
	s.pushedTable = t
}

func (s *Site) recordStoreCall(ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upstreamList.RecordStoreCall(ok, s.opts.Now())
}

// applyFirstUpstreams applies the first page of a long upstream list
// so that the VM can serve before the rest of the list has arrived.
func (s *Site) applyFirstUpstreams(c Changes[upstream.Entry]) { s.updateUpstreams(c, false, true) }

func (s *Site) applyUpstreams(c Changes[upstream.Entry], full bool) {
	s.updateUpstreams(c, full, false)
}

// updateUpstreams applies changes of the upstream list.
// partial means that c is only the first page of the first list.
func (s *Site) updateUpstreams(c Changes[upstream.Entry], full, partial bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partial = partial
	for _, i := range c.Items {
		if s.upstreamList.IsUnchanged(i) {
			continue
		}
		s.log.Info("upstream", zap.String("upstream", i.Name), zap.Bool("gone", i.Deleted), zap.Bool("leaving", i.Value.Leaving),
			zap.String("service", string(i.Value.Service)), zap.String("release", i.Value.Release),
			zap.String("address", i.Value.Address), zap.Stringer("revision", i.Revision))
	}
	listKnown, eraBefore := s.upstreamsKnown, s.upstreamList.Era()
	s.upstreamsKnown = true
	if s.upstreamList.Apply(c, full, s.opts.Now()) {
		s.pushUpstreams()
	}
	if era := s.upstreamList.Era(); listKnown && era != eraBefore {
		missing, held := s.upstreamList.CountUncertain()
		s.log.Warn("upstreams-uncertain", zap.Uint64("era", era), zap.Int("listed", len(c.Items)), zap.Int("kept", missing), zap.Int("kept_out", held))
	}
	s.signalIfReady()
}

// tickInterval is the period of the tasks that depend on time alone.
const tickInterval = 250 * time.Millisecond

// decisionInterval is that period while a decision on a release is due.
const decisionInterval = 50 * time.Millisecond

// tick runs the periodic tasks:
// it removes lapsed upstreams (missing from the store after an outage),
// has the relay compare the upstreams with one another, and writes the verdicts on releases.
func (s *Site) tick(ctx context.Context) {
	runPeriodically(ctx, s.wake, func() {
		s.mu.Lock()
		if s.upstreamList.Expire(s.opts.Now()) || s.pushedTable != nil {
			s.pushUpstreams() // also divides connections among a changed number of VMs
		}
		s.expireEvacuations()
		s.logUnreadConfiguration()
		s.mu.Unlock()
		s.opts.Relay.Refresh()
		for _, v := range s.opts.Relay.Verdicts() {
			s.writeOrderState(ctx, v)
		}
		if s.opts.Relay.DecisionDue() && !s.decisionTimer.Swap(true) {
			time.AfterFunc(decisionInterval, func() {
				s.decisionTimer.Store(false)
				s.EvaluateVerdicts()
			})
		}
	})
}

// runPeriodically calls run every tickInterval, and when wake is triggered, until ctx ends.
func runPeriodically(ctx context.Context, wake <-chan struct{}, run func()) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-wake:
		}
		run()
	}
}

// trigger triggers wake unless it is triggered already. It does not block.
func trigger(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// newFollower returns a follower of one kind of objects.
func newFollower[T any](s *Site, source Source[T], apply func(Changes[T], bool), onStoreCall func(bool)) *follower[T] {
	listNotBefore := time.Time{}
	if s.opts.Peers.HasSeeds() {
		listNotBefore = s.opts.Now().Add(restartListDelay)
		if s.opts.FirstStart {
			listNotBefore = s.opts.Now().Add(firstStartListDelay)
		}
	}
	return &follower[T]{
		decodeErrors: make(map[string]string), applyFirstPage: func(Changes[T]) {},
		source: source, log: s.log, registry: s.opts.Registry, apply: apply, onStoreCall: onStoreCall, cache: NewObjectCache(source.Name()),
		requestWaiting: s.requestWaiting, randomRank: s.randomRank,
		election: NewWatcherElection(s.opts.Peers.AsWatcher(), source.Timing(), listNotBefore),
		rank:     s.opts.Peers.Rank, announceChange: s.opts.Peers.AnnounceChange, announceNoChange: s.opts.Peers.AnnounceNoChange, now: s.opts.Now,
	}
}
