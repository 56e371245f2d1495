// Package entry implements the entry process, which accepts, routes and answers requests of callers. The
// decisions are made by packages without I/O; this package passes events to them and carries out the results.
//
// An entry process keeps serving without its control process, its peers and the platform until its permissions
// to serve model versions expire.
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
	"woaddoor/memory"
	"woaddoor/rating"
	"woaddoor/retry"
	"woaddoor/rollout"
	"woaddoor/session"
	"woaddoor/settings"
	"woaddoor/ticket"
	"woaddoor/upstream"
	"woaddoor/workspace"
)

// Options configures a Server.
type Options struct {
	Settings *settings.Settings
	Keys     *keys.KeySet
	Clock    clock.Clock
	Log      *zap.Logger
	// Seed seeds the random number generator. If it is zero, the seed is taken from the clock.
	Seed uint64
}

// Server is one run of an entry process, identified by its incarnation.
type Server struct {
	opts        *Options
	clock       clock.Clock
	log         *zap.Logger
	incarnation contract.Incarnation
	// origin identifies this process in bill records.
	origin bill.Origin
	// arbiter identifies this process as a voter on tickets.
	arbiter ticket.Arbiter

	engine        *engine.Client
	endpoint      *link.Endpoint
	sessionTokens *session.Signer
	ticketTokens  *ticket.Signer
	streamTokens  *streamTokenSigner
	ratings       *rating.Client
	metrics       *serverMetrics

	// view holds the state received by the last pull from a control process.
	// The state is replaced as a whole and never modified in place.
	view atomic.Pointer[view]
	// applyMu serializes the application of pull answers to the view. Lock order: applyMu before mu.
	applyMu sync.Mutex
	// stopping is set when a shutdown begins. workEnded is cancelled by endWork before the drain timeout ends.
	stopping  atomic.Bool
	workEnded context.Context
	endWork   context.CancelFunc
	// lastRequestID is the last ID given to a request in the admission queues.
	lastRequestID atomic.Uint64
	// reconfigured wakes loadReportLoop after a configuration change that may have added upstreams.
	reconfigured chan struct{}

	// mu guards the fields below mu. mu is held for one decision at a time and never during I/O.
	mu             sync.Mutex
	random         *rand.Rand
	upstreams      *upstream.Table
	engineQueue    *workspace.Queue
	serviceQueue   *workspace.Queue
	waiters        map[workspace.ID]chan bool
	retryBudget    *retry.Budget
	voteStore      *ticket.VoteStore
	bills          *bill.RecordBuffer
	rolloutMonitor *rollout.Monitor
	cascades       *cascade.Learner
	// keepers holds the peers that may store copies of bill records.
	// keepersListedAt is when control processes last listed the live VMs.
	keepers         map[contract.VMID]keeper
	keepersListedAt time.Time
	// copyFailedAt is the time of the last failed copy of bill records to each peer.
	copyFailedAt map[contract.VMID]time.Time
	// lastCopiedAt is when a peer or the platform last stored bill records sent by this process.
	lastCopiedAt time.Time
	// callers is the listener for callers. It is set before anything is served.
	callers *drain.Listener
}

// New returns a Server. New opens the listener for calls from other processes.
// The Server serves nothing until Run.
func New(opts *Options) (*Server, error) {
	endpoint, err := link.Listen(opts.Settings.Entry.LinkAddress, opts.Keys)
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
		sessionTokens: session.NewSigner(opts.Keys.SigningKey), ticketTokens: ticket.NewSigner(opts.Keys.SigningKey),
		streamTokens: newStreamTokenSigner(opts.Keys.SigningKey), ratings: rating.NewClient(), metrics: newServerMetrics(metrics.NewRegistry()),
		random:    rand.New(rand.NewPCG(seed, uint64(len(opts.Settings.VM)))),
		upstreams: upstream.NewTable(upstream.Options{}),
		waiters:   make(map[workspace.ID]chan bool), reconfigured: make(chan struct{}, 1),
		keepers: make(map[contract.VMID]keeper), copyFailedAt: make(map[contract.VMID]time.Time),
		retryBudget: retry.NewBudget(retry.Options{}),
	}
	s.origin = bill.Origin{VM: opts.Settings.VM, Incarnation: s.incarnation}
	s.arbiter = ticket.Arbiter{VM: opts.Settings.VM, Incarnation: s.incarnation, Address: opts.Settings.Entry.AdvertisedLink}
	limits := opts.Settings.Entry
	s.engineQueue = workspace.NewQueue(workspace.Options{Capacity: limits.MaxInFlight, MaxQueue: limits.MaxQueue})
	s.serviceQueue = workspace.NewQueue(workspace.Options{Capacity: limits.MaxInFlight, MaxQueue: limits.MaxQueue})
	s.voteStore = ticket.NewVoteStore(s.arbiter, limits.MaxTickets)
	s.bills = bill.NewRecordBuffer(s.origin, limits.MaxBills)
	s.rolloutMonitor = rollout.NewMonitor(rollout.Observer{VM: s.origin.VM, Incarnation: s.incarnation})
	s.cascades = cascade.NewLearner(cascade.Options{})
	s.workEnded, s.endWork = context.WithCancel(context.Background())
	s.view.Store(emptyView())
	s.registerPeerHandlers()
	return s, nil
}

// Run serves until ctx is done, then shuts down gracefully: it reports "not ready", refuses new requests, waits
// for requests in flight up to the drain timeout, and submits its bill records or copies them to peers.
func (s *Server) Run(ctx context.Context) error {
	callers, err := s.listenForCallers()
	if err != nil {
		return contract.WrapStep(contract.StepSettings, s.opts.Settings.Entry.Callers, err)
	}
	health, err := drain.ListenForOperators(s.opts.Settings.Entry.Health)
	if err != nil {
		return contract.WrapStep(contract.StepSettings, s.opts.Settings.Entry.Health, err)
	}
	// Background work gets its own context, because the shutdown, which begins when ctx is done,
	// still calls other processes.
	background, cancelBackground := context.WithCancel(context.Background())
	defer cancelBackground()
	s.callers = callers
	servers := []*http.Server{newHTTPServer(callers, s.callerRoutes()), newHTTPServer(health, s.healthRoutes())}
	for i, l := range []net.Listener{callers, health} {
		go s.serveHTTP(servers[i], l)
	}
	go callers.LogPressure(background, s.log)
	go func() { _ = s.endpoint.Serve(background) }()
	for _, loop := range []func(context.Context){s.pullLoop, s.peerPullLoop, s.loadReportLoop, s.submitLoop, s.expireLoop} {
		go loop(background)
	}
	s.log.Info("started", zap.String("callers", callers.Addr().String()), zap.Uint64("incarnation", uint64(s.incarnation)))
	<-ctx.Done()
	s.stop(callers)
	for _, server := range servers {
		_ = server.Close()
	}
	s.log.Info("stopped")
	return s.endpoint.Close()
}

// Limits of the connections of callers.
const (
	headerTimeout = 10 * time.Second
	maxHeader     = 32 << 10
	idleTimeout   = 3 * time.Minute
	// callerStallAfter is the time without progress after which a caller gives way to others.
	callerStallAfter = time.Second
	// callerWriteTimeout is how long a caller may take to receive the next part of an answer.
	callerWriteTimeout = 30 * time.Second
	// workspaceShare is the part of the memory and of the connections that the requests of one workspace may take.
	workspaceShare = 0.75

	receiveBuffer = 16 * contract.KiB
	sendBuffer    = 64 * contract.KiB
)

// listenForCallers listens for callers, with limits on what they may make the process hold.
func (s *Server) listenForCallers() (*drain.Listener, error) {
	e := s.opts.Settings.Entry
	inner, err := drain.Listen(e.Callers, drain.Buffers{Receive: receiveBuffer, Send: sendBuffer})
	if err != nil {
		return nil, err
	}
	l := drain.NewListener(inner, e.MaxConnections)
	l.Limits = drain.Limits{
		Memory: memory.NewAccount(memory.Options{
			Total: e.CallerMemory, Allowance: settings.AllowancePerConnection, StallAfter: callerStallAfter,
			MaxRequests: e.MaxConnections, WorkspaceShare: workspaceShare,
		}),
		SendBuffer: sendBuffer, StallAfter: callerStallAfter, WriteTimeout: callerWriteTimeout,
	}
	return l, nil
}

// newHTTPServer returns the server for a listener.
func newHTTPServer(l *drain.Listener, h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		ConnState: l.ConnState, ConnContext: l.ConnContext,
	}
}

// serveHTTP serves a listener until the server is closed.
func (s *Server) serveHTTP(server *http.Server, l net.Listener) {
	if err := server.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		s.log.Error("listener-failed", logs.ErrorFields(err)...)
	}
}

// notReadyPeriod is how long a stopping process reports "not ready" before it closes its listener, so that
// the load balancer has stopped sending requests by then.
const notReadyPeriod = time.Second

// lastAnswersTime is the time at the end of the drain timeout in which the requests that still run are answered.
const lastAnswersTime = 500 * time.Millisecond

// stop performs a planned shutdown step by step. A second signal to stop has no effect.
func (s *Server) stop(callers *drain.Listener) {
	s.log.Info("stopping", zap.Duration("drain", s.opts.Settings.Entry.DrainTimeout))
	s.stopping.Store(true)
	time.Sleep(notReadyPeriod)
	timeout := s.opts.Settings.Entry.DrainTimeout
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	time.AfterFunc(max(timeout-lastAnswersTime, timeout/2), s.endWork)
	if !callers.Drain(ctx) {
		s.log.Error("drain-cut-short", zap.Duration("drain", s.opts.Settings.Entry.DrainTimeout))
	}
	s.flushBills(ctx)
}

// locked calls the function decide while mu is held.
func (s *Server) locked(decide func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	decide()
}
