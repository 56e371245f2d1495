// Package control implements the control process of a VM.
// The control process watches the configuration in the platform's store and passes the
// configuration on to other processes, exchanges heartbeats with other VMs,
// writes bill records to the store, and advances rollouts.
//
// No client request waits for the control process. The control process may be frozen, killed or
// unable to reach the platform while the entry process of its VM continues to serve requests.
package control

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"woaddoor/bill"
	"woaddoor/clock"
	"woaddoor/config"
	"woaddoor/contract"
	"woaddoor/document"
	"woaddoor/drain"
	"woaddoor/engine"
	"woaddoor/keys"
	"woaddoor/leader"
	"woaddoor/lease"
	"woaddoor/link"
	"woaddoor/rollout"
	"woaddoor/settings"
	"woaddoor/store"
	"woaddoor/vm"
)

// Options configures a Server.
type Options struct {
	Settings *settings.Settings
	Keys     *keys.KeySet
	Clock    clock.Clock
	Log      *zap.Logger
	Store    store.Store
	VMs      store.VMList
}

// Server is a running control process. A restarted process has a new incarnation.
type Server struct {
	opts        *Options
	clock       clock.Clock
	log         *zap.Logger
	store       store.Store
	incarnation contract.Incarnation
	endpoint    *link.Endpoint
	engine      *engine.Client
	metrics     *serverMetrics
	billFiler   *billFiler

	// swapTopPeers is negated before each pull from peers, so that the two best peers take turns in
	// being asked first. Only pullLoop uses swapTopPeers.
	swapTopPeers bool

	// ordersLease acquires and renews the lease whose holder may send orders to
	// engines.
	ordersLease *leader.LeaseClient

	// mu guards all fields that follow mu. mu is never held during I/O.
	mu      sync.Mutex
	replica *document.Replica
	config  *config.Config
	// recentDocuments holds the most recent configuration documents.
	// Patches for peers are made from them.
	recentDocuments []*document.Document
	// changed is closed and replaced by a new channel whenever the replica
	// receives a newer document.
	changed chan struct{}
	// rootVersion is the object version of the platform's root object when this process last read
	// the object. rootRevision is the revision that the root object pointed at then.
	rootVersion      contract.ObjectVersion
	rootRevision     contract.Revision
	table            *vm.Table
	entry            entryState
	halted           map[contract.VersionID]bool
	evidence         rollout.Evidence
	leavingUpstreams map[contract.UpstreamID]bool
	stepObservations map[contract.ModelID]stepObservation
	// digestDiffers holds the VMs of this data centre that know other members than this VM,
	// according to their last heartbeat.
	digestDiffers map[contract.VMID]bool
	// remoteMembersAskedAt is when this VM last asked a peer for the VMs of other
	// data centres.
	remoteMembersAskedAt time.Time
}

// entryState is the last state that the entry process of this VM reported.
type entryState struct {
	incarnation contract.Incarnation
	revision    contract.Revision
	leaving     bool
	receivedAt  time.Time
}

// stepObservation records when this VM first saw the current step of a rollout,
// and when the counts of good and bad responses of that step last grew.
type stepObservation struct {
	progress     config.Progress
	firstSeenAt  time.Time
	counts       rollout.Counts
	countsGrewAt time.Time
}

// New returns a server that listens on its link address. The server answers calls from other
// processes only after Run is called.
func New(opts *Options) (*Server, error) {
	endpoint, err := link.Listen(opts.Settings.Control.LinkAddress, opts.Keys)
	if err != nil {
		return nil, err
	}
	now := opts.Clock.Now()
	s := &Server{
		opts: opts, clock: opts.Clock, log: opts.Log, store: opts.Store,
		incarnation: contract.NewIncarnation(now), endpoint: endpoint, engine: engine.NewClient(),
		metrics: newServerMetrics(metrics.NewRegistry()),
		replica: document.NewReplica(), config: &config.Config{}, changed: make(chan struct{}),
		halted: make(map[contract.VersionID]bool), digestDiffers: make(map[contract.VMID]bool), leavingUpstreams: make(map[contract.UpstreamID]bool), stepObservations: make(map[contract.ModelID]stepObservation),
	}
	s.billFiler = newBillFiler(opts.Store, bill.Origin{VM: opts.Settings.VM, Incarnation: s.incarnation}, opts.Settings.Control.BillFilingInterval, s.log)
	s.table = vm.NewTable(vm.Member{
		VM: opts.Settings.VM, DataCentre: opts.Settings.DataCentre, Incarnation: s.incarnation,
		EntryAddress: opts.Settings.Entry.AdvertisedLink, ControlAddress: opts.Settings.Control.AdvertisedLink,
	})
	s.ordersLease = leader.NewLeaseClient(&leader.LeaseClientOptions{
		Options: lease.Options{Self: contract.VMInstance{VM: opts.Settings.VM, Incarnation: s.incarnation}},
		Store:   leaseStore{opts.Store, ordersLeaseName}, Clock: opts.Clock, Timeout: orderTimeout,
	})
	s.registerLinkHandlers()
	return s, nil
}

// Run serves until ctx is cancelled. Before Run returns, it files the pending bill records. Other
// processes hold everything else that this process has in memory.
func (s *Server) Run(ctx context.Context) error {
	healthListener, err := drain.ListenForOperators(s.opts.Settings.Control.Health)
	if err != nil {
		return contract.WrapStep(contract.StepSettings, s.opts.Settings.Control.Health, err)
	}
	linkCtx, stopLink := context.WithCancel(context.Background())
	defer stopLink()
	server := &http.Server{
		Handler: s.healthHandler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		ConnState: healthListener.ConnState, ConnContext: healthListener.ConnContext,
	}
	go func() { _ = server.Serve(healthListener) }()
	go func() { _ = s.endpoint.Serve(linkCtx) }()
	loops := []func(context.Context){s.watchLoop, s.pullLoop, s.heartbeatLoop, s.vmListLoop, s.statusLoop, s.rolloutLoop, s.billFiler.flushLoop}
	var running sync.WaitGroup
	for _, loop := range loops {
		running.Go(func() { loop(ctx) })
	}
	s.log.Info("started", zap.String("link", s.endpoint.Address()), zap.Uint64("incarnation", uint64(s.incarnation)))
	<-ctx.Done()
	s.log.Info("stopping")
	running.Wait()
	_ = server.Close()
	s.log.Info("stopped")
	return s.endpoint.Close()
}

// Timeouts of connections to the health port.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 3 * time.Minute
)

// withLock calls f while holding mu.
func (s *Server) withLock(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}
