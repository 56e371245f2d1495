// Package entry is the process that callers talk to: it admits, routes and
// answers their requests. Decisions are made by the pure packages; this one
// feeds them with what happens and does what they say.
//
// It serves with its control process, every peer and the platform gone, for as
// long as the permissions it holds last.
package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"woaddoor/bill"
	"woaddoor/cascade"
	"woaddoor/clock"
	"woaddoor/contract"
	"woaddoor/drain"
	"woaddoor/engine"
	"woaddoor/keys"
	"woaddoor/link"
	"woaddoor/logs"
	"woaddoor/rating"
	"woaddoor/retry"
	"woaddoor/rollout"
	"woaddoor/session"
	"woaddoor/settings"
	"woaddoor/ticket"
	"woaddoor/upstream"
	"woaddoor/workspace"
)

// Options set up a Server.
type Options struct {
	Settings *settings.Settings
	Keys     *keys.Set
	Clock    clock.Clock
	Log      *zap.Logger
	// Seed seeds the random source. Zero means a seed from the clock.
	Seed uint64
}

// Server is one life of an entry process.
type Server struct {
	opts        *Options
	clock       clock.Clock
	log         *zap.Logger
	incarnation contract.Incarnation
	origin      bill.Origin
	arbiter     ticket.Arbiter

	engine   *engine.Client
	endpoint *link.Endpoint
	sessions *session.Keeper
	tickets  *ticket.Office
	streams  *streamKeeper
	ratings  *rating.Client
	metrics  *measures

	// view is what the last pull brought; it is replaced whole.
	view atomic.Pointer[view]
	// learning is held while a pull's answer becomes a view. It is taken before
	// mu, never after.
	learning sync.Mutex
	stopping atomic.Bool
	requests atomic.Uint64
	// reconfigured wakes the report loop when there may be new upstreams.
	reconfigured chan struct{}

	// mu guards the decision state below. It is held for one decision at a
	// time and never across I/O, so no order of locks has to be kept.
	mu        sync.Mutex
	random    *rand.Rand
	upstreams *upstream.Table
	engines   *workspace.Queue
	services  *workspace.Queue
	waiters   map[workspace.ID]chan bool
	budget    *retry.Budget
	register  *ticket.Register
	bills     *bill.Holder
	monitor   *rollout.Monitor
	cascades  *cascade.Learner
	// keeperFailed is when a peer last did not take a record.
	keeperFailed map[contract.VMID]time.Time
	// lastKept is when a peer or the platform last took a bill record.
	lastKept time.Time
}

// New provides a server: it opens its link, but serves nothing until Run.
func New(opts *Options) (*Server, error) {
	endpoint, err := link.Listen(opts.Settings.Entry.Link, opts.Keys)
	if err != nil {
		return nil, err
	}
	now := opts.Clock.Now()
	seed := opts.Seed
	if seed == 0 {
		seed = uint64(now.UnixNano())
	}
	s := &Server{
		opts: opts, clock: opts.Clock, log: opts.Log,
		incarnation: contract.NewIncarnation(now),
		engine:      engine.NewClient(), endpoint: endpoint,
		sessions: session.NewKeeper(opts.Keys.Signing), tickets: ticket.NewOffice(opts.Keys.Signing),
		streams: newStreamKeeper(opts.Keys.Signing), ratings: rating.NewClient(), metrics: newMeasures(metrics.NewRegistry()),
		random:    rand.New(rand.NewPCG(seed, uint64(len(opts.Settings.VM)))),
		upstreams: upstream.NewTable(upstream.Options{}),
		waiters:   make(map[workspace.ID]chan bool), reconfigured: make(chan struct{}, 1),
		keeperFailed: make(map[contract.VMID]time.Time),
		budget:       retry.NewBudget(retry.Options{}),
	}
	s.origin = bill.Origin{VM: opts.Settings.VM, Incarnation: s.incarnation}
	s.arbiter = ticket.Arbiter{VM: opts.Settings.VM, Incarnation: s.incarnation, Link: opts.Settings.Entry.Advertise}
	limits := opts.Settings.Entry
	s.engines = workspace.NewQueue(workspace.Options{Capacity: limits.MaxInFlight, MaxQueue: limits.MaxQueue})
	s.services = workspace.NewQueue(workspace.Options{Capacity: limits.MaxInFlight, MaxQueue: limits.MaxQueue})
	s.register = ticket.NewRegister(s.arbiter, limits.MaxTickets)
	s.bills = bill.NewHolder(s.origin, limits.MaxBills)
	s.monitor = rollout.NewMonitor(rollout.Observer{VM: s.origin.VM, Incarnation: s.incarnation})
	s.cascades = cascade.NewLearner(cascade.Options{})
	s.view.Store(emptyView())
	s.handleLinks()
	return s, nil
}

// Run serves until ctx ends, then stops without cutting off a request: it is
// first not ready, then takes no new requests, then waits for those in flight,
// then sees its bill records filed or copied.
func (s *Server) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", s.opts.Settings.Entry.Callers)
	if err != nil {
		return contract.Fail(contract.StepSettings, s.opts.Settings.Entry.Callers, err)
	}
	health, err := net.Listen("tcp", s.opts.Settings.Entry.Health)
	if err != nil {
		return contract.Fail(contract.StepSettings, s.opts.Settings.Entry.Health, err)
	}
	// Background work outlives ctx: a stop still needs its links.
	work, end := context.WithCancel(context.Background())
	defer end()
	drained := drain.Listen(callers, 0)
	servers := []*http.Server{
		{Handler: s.callerRoutes(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader, ConnState: drained.ConnState},
		{Handler: s.healthRoutes(), ReadHeaderTimeout: headerTimeout},
	}
	for i, l := range []net.Listener{drained, health} {
		go s.serveHTTP(servers[i], l)
	}
	go func() { _ = s.endpoint.Serve(work) }()
	for _, loop := range []func(context.Context){s.pullLoop, s.peerLoop, s.reportLoop, s.fileLoop, s.expireLoop} {
		go loop(work)
	}
	s.log.Info("started", zap.String("callers", callers.Addr().String()), zap.Uint64("incarnation", uint64(s.incarnation)))
	<-ctx.Done()
	s.stop(drained)
	for _, server := range servers {
		_ = server.Close()
	}
	s.log.Info("stopped")
	return s.endpoint.Close()
}

// Limits of the callers' listener.
const (
	headerTimeout = 10 * time.Second
	maxHeader     = 32 << 10
)

func (s *Server) serveHTTP(server *http.Server, l net.Listener) {
	if err := server.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		s.log.Error("listener-failed", logs.Failure(err)...)
	}
}

// readinessLead is how long a stopping process says "not ready" before it
// refuses, so that the balancer has stopped sending.
const readinessLead = time.Second

// stop ends a planned stop's steps in order; a second signal changes nothing.
func (s *Server) stop(callers *drain.Listener) {
	s.log.Info("stopping", zap.Duration("drain", s.opts.Settings.Entry.Drain))
	s.stopping.Store(true)
	time.Sleep(readinessLead)
	ctx, cancel := context.WithTimeout(context.Background(), s.opts.Settings.Entry.Drain)
	defer cancel()
	if !callers.Drain(ctx) {
		s.log.Error("drain-cut-short", zap.Duration("drain", s.opts.Settings.Entry.Drain))
	}
	s.settleBills(ctx)
}

// locked runs a decision.
func (s *Server) locked(decide func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	decide()
}
