// Package control is the process that keeps a VM in step with the platform: it
// watches the configuration and hands it on, tells who lives, files bill
// records, and steps roll-outs.
//
// Nothing that a caller waits for goes through it: it may be frozen, killed or
// cut off while its VM's entry process serves on.
package control

import (
	"context"
	"net"
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

// Options set up a Server.
type Options struct {
	Settings *settings.Settings
	Keys     *keys.Set
	Clock    clock.Clock
	Log      *zap.Logger
	Store    store.Store
	VMs      store.VMList
}

// Server is one life of a control process.
type Server struct {
	opts        *Options
	clock       clock.Clock
	log         *zap.Logger
	store       store.Store
	incarnation contract.Incarnation
	endpoint    *link.Endpoint
	engine      *engine.Client
	metrics     *measures
	filing      *filer

	// relayTurn is used by the relay loop alone.
	relayTurn bool

	// orders is this process's part in the lease under which engines get orders.
	orders *leader.Keeper

	// mu guards the fields below; it is never held across I/O.
	mu      sync.Mutex
	replica *document.Replica
	config  *config.Config
	// recent holds documents of late, so that peers are sent patches.
	recent []*document.Document
	// changed is closed and replaced when replica holds a newer document.
	changed chan struct{}
	// root is the version of the platform's root object last read, and
	// rootRevision the revision that it pointed at.
	root         contract.ObjectVersion
	rootRevision contract.Revision
	table        *vm.Table
	entry        entryState
	halts        map[contract.VersionID]bool
	seen         rollout.Evidence
	leaving      map[contract.UpstreamID]bool
	ramps        map[contract.ModelID]ramp
	// differs holds near VMs that know of others than this one does.
	differs map[contract.VMID]bool
	// askedMembers is when the VMs of other data centres were last asked for.
	askedMembers time.Time
}

// entryState is what this VM's entry process told last.
type entryState struct {
	incarnation contract.Incarnation
	revision    contract.Revision
	leaving     bool
	heardAt     time.Time
}

// ramp is what this VM has seen of a roll-out's present step.
type ramp struct {
	progress  config.Progress
	since     time.Time
	counts    rollout.Counts
	lastGrown time.Time
}

// New provides a server: it opens its link, but serves nothing until Run.
func New(opts *Options) (*Server, error) {
	endpoint, err := link.Listen(opts.Settings.Control.Link, opts.Keys)
	if err != nil {
		return nil, err
	}
	now := opts.Clock.Now()
	s := &Server{
		opts: opts, clock: opts.Clock, log: opts.Log, store: opts.Store,
		incarnation: contract.NewIncarnation(now), endpoint: endpoint, engine: engine.NewClient(),
		metrics: newMeasures(metrics.NewRegistry()),
		replica: document.NewReplica(), config: &config.Config{}, changed: make(chan struct{}),
		halts: make(map[contract.VersionID]bool), differs: make(map[contract.VMID]bool), leaving: make(map[contract.UpstreamID]bool), ramps: make(map[contract.ModelID]ramp),
	}
	s.filing = newFiler(opts.Store, bill.Origin{VM: opts.Settings.VM, Incarnation: s.incarnation}, opts.Settings.Control.FileEvery, s.log)
	s.table = vm.NewTable(vm.Member{
		VM: opts.Settings.VM, DataCentre: opts.Settings.DataCentre, Incarnation: s.incarnation,
		EntryLink: opts.Settings.Entry.Advertise, ControlLink: opts.Settings.Control.Advertise,
	})
	s.orders = leader.NewKeeper(&leader.KeeperOptions{
		Options: lease.Options{Self: contract.VMLife{VM: opts.Settings.VM, Incarnation: s.incarnation}},
		Store:   leaseObject{opts.Store, ordersLease}, Clock: opts.Clock, Timeout: orderTimeout,
	})
	s.handleLinks()
	return s, nil
}

// Run serves until ctx ends. What it holds is held by others too, or is filed
// before it ends.
func (s *Server) Run(ctx context.Context) error {
	health, err := net.Listen("tcp", s.opts.Settings.Control.Health)
	if err != nil {
		return contract.Fail(contract.StepSettings, s.opts.Settings.Control.Health, err)
	}
	work, end := context.WithCancel(context.Background())
	defer end()
	server := &http.Server{Handler: s.healthRoutes(), ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(health) }()
	go func() { _ = s.endpoint.Serve(work) }()
	loops := []func(context.Context){s.watchLoop, s.relayLoop, s.heartbeatLoop, s.listLoop, s.statusLoop, s.rolloutLoop, s.filing.loop}
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

const headerTimeout = 10 * time.Second

// locked runs a decision.
func (s *Server) locked(decide func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	decide()
}
