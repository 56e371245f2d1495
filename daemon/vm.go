package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/drain"
	"woaddoor/forward"
	"woaddoor/keys"
	"woaddoor/leader"
	"woaddoor/link"
	"woaddoor/logs"
	"woaddoor/memory"
	"woaddoor/platform"
	"woaddoor/relay"
	"woaddoor/retry"
	"woaddoor/rollout"
	"woaddoor/settings"
	"woaddoor/site"
	members "woaddoor/vm"
)

// vmArguments are the command-line arguments of woaddoor-vm.
type vmArguments struct {
	Settings string   `help:"The settings file (INI)." env:"WOADDOOR_CONFIG" type:"path" required:""`
	Run      struct{} `cmd:"" help:"Serve until SIGTERM, for example: woaddoor-vm run --settings /etc/woaddoor/settings.ini"`
	Check    struct{} `cmd:"" help:"Check the settings, print every fault, and end."`
}

// VM runs woaddoor-vm and returns its exit code.
func VM(args []string) int {
	var a vmArguments
	parser := kong.Must(&a, kong.Name("woaddoor-vm"), kong.Description("Routes requests on a VM of the users' platform."), kong.UsageOnError())
	parsed, err := parser.Parse(args)
	parser.FatalIfErrorf(err)
	s, err := settings.LoadVM(a.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if parsed.Command() == "check" {
		fmt.Printf("%s: settings of %s in %s are good\n", a.Settings, s.Name, s.DataCentre)
		return exitOK
	}
	return runVM(s, a.Settings)
}

// vmProcess holds the components of a running woaddoor-vm process.
type vmProcess struct {
	settings     *settings.VM
	settingsPath string
	log          *zap.Logger
	site         *site.Site
	relay        *relay.Relay
	peers        *site.Peers
	logWriter    *logs.LineQueue
	registry     metrics.Registry
	stopping     atomic.Bool
	// notReady holds, as a string, the reason that the last readiness check was given, or "".
	notReady atomic.Value
	// lease is the lease whose holder acts on behalf of all VMs, and usage counts the
	// requests for the holder's usage reports. Each of lease and usage is nil if the
	// deployment does not configure it.
	lease *leader.LeaseClient
	usage *leader.UsageLedger
	// helper serves the requests that other VMs pass to this one.
	helper *forward.Helper
	// callers is the listener for callers, which tracks their connections.
	callers *drain.Listener
	// resources follows what the process uses of its machine.
	resources *resourceWatch
	// memory is what callers, and requests of other VMs, make the process hold.
	memory *memory.Account
}

// gcPercent makes the garbage collector run more often than by default. The process uses
// little CPU time, but its memory is charged for.
const gcPercent = 50

// memoryLimitShare is the fraction of the machine's memory that is set as the memory limit of
// the garbage collector. The rest of the memory is for the kernel's connection buffers,
// which count towards the machine's memory as well.
const memoryLimitShare = 0.6

// logFlushTimeout is the longest wait for queued log lines to be written at the end of the process.
const logFlushTimeout = 200 * time.Millisecond

// runVM runs woaddoor-vm until a signal ends it, and returns the exit code.
func runVM(s *settings.VM, path string) int {
	debug.SetGCPercent(gcPercent)
	if limit := s.Machine.Memory; limit > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(limit)))
	}
	log, lines := logs.NewQueued(os.Stdout, zap.String("vm", string(s.Name)))
	defer lines.Close(logFlushTimeout)
	v := &vmProcess{settings: s, settingsPath: path, log: log, logWriter: lines}
	if err := v.build(); err != nil {
		log.Error("start-failed", logs.ErrorFields(err)...)
		return exitFailed
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	if err := v.listen(); err != nil {
		log.Error("start-failed", logs.ErrorFields(err)...)
		return exitFailed
	}
	log.Info("start", zap.String("data_centre", string(s.DataCentre)), zap.Bool("first_start", s.FirstStart), zap.String("store", s.Store))
	go v.site.Run(ctx)
	go v.watchResources(ctx)
	go v.callers.LogPressure(ctx, v.log)
	go v.relay.ProbeDataCentres(ctx)
	v.waitForSignals()
	return exitOK
}

// build creates the components of the process and connects them.
func (v *vmProcess) build() error {
	s := v.settings
	v.registry = metrics.NewRegistry()
	v.resources = newResourceWatch(s.Machine)
	v.memory = memory.NewAccount(memory.Options{
		Total: s.Callers.Memory, Allowance: settings.AllowancePerConnection, StallAfter: s.Callers.StallAfter,
		MaxRequests: s.Callers.MaxConnections, WorkspaceShare: s.Callers.WorkspaceShare,
	})
	if err := v.registry.Register("first_read_milliseconds", v.resources.firstRead); err != nil {
		return contract.WrapStep(contract.StepSettings, "first_read_milliseconds", err)
	}
	identity, err := keys.NewAddressIdentity(string(s.Name), func(ip string) bool { return v.peers.KnownIP(ip) })
	if err != nil {
		return contract.WrapStep(contract.StepLink, s.Listen.Links, err)
	}
	endpoint, err := link.Listen(s.Listen.Links, identity, link.ShareConnections)
	if err != nil {
		return contract.WrapStep(contract.StepSettings, v.settingsPath+": [listen] links", err)
	}
	self := members.Member{
		VM: s.Name, DataCentre: s.DataCentre, Incarnation: contract.NewIncarnation(time.Now()), ControlAddress: s.Listen.Links,
		CapacityUnits: s.Machine.CapacityUnits(),
	}
	store := platform.NewStore(s.Store)
	store.OnCall, store.OnUnreadable, store.OnEra = v.countStoreCall, v.recordUnreadableObject, v.recordStoreEra
	v.buildDuties(store, self)
	v.peers = site.NewPeers(&site.PeersOptions{
		Endpoint: endpoint, Self: self, Seeds: s.Listen.Seeds, Regions: s.Regions, FirstStart: s.FirstStart, Log: v.log, Now: time.Now,
		Lease: v.lease, Usage: v.usage,
	})
	forwarder := forward.NewClient(&forward.ClientOptions{Endpoint: endpoint, Candidates: v.peers.ForwardCandidates, Log: v.log, Now: time.Now})
	v.relay = relay.New(&relay.Options{
		Forwarder: forwarder, Memory: v.memory,
		Protocol: platform.UpstreamProtocol{}, DataCentre: s.DataCentre, Regions: s.Regions, Self: rollout.Observer{VM: s.Name, Incarnation: self.Incarnation}, Log: v.log, Now: time.Now,
		Budget:  retry.ResendWindowOptions{Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Length: s.Bounds.RetryWindow},
		VMs:     v.peers.EstimatedVMs,
		Counted: v.peers.Counted,
		ListAge: v.listAge,
		Policy:  s.Policy, ValueCostRatio: s.ValueCostRatio, MaxEscalationPrice: s.MaxEscalationPrice, CanaryShare: s.Bounds.CanaryShare, CanarySlack: s.Bounds.CanarySlack, MaxBackoff: s.Bounds.MaxBackoff, OnBadAnswer: func() { go v.peers.AnnounceUrgent() },
		OnSuspect: func() { go v.peers.AnnounceUrgent() }, OnQuarantined: func() { v.site.WriteQuarantined() },
		OnBadRelease: func() { v.site.EvaluateVerdicts() }, OnSent: v.peers.ReportSent, OnConfidence: v.peers.ReportConfidence, OnBackoff: v.peers.ReportBackoff, OnLimit: v.peers.ReportLimit, GossipScope: v.peers.GossipScope,
		OnExecution:     v.usageRecorder(),
		WorkspaceWeight: v.workspaceWeight,
		EvacuationBound: s.Bounds.Evacuation, ColdOwners: v.peers.ColdOwners, ColdBounds: relay.ColdBounds{Overshoot: s.Bounds.ColdOvershoot, Slack: s.Bounds.ColdSlack},
	})
	v.helper = forward.NewHelper(endpoint, v.relay, v.peers.ForwardCandidates, v.stopping.Load, v.log)
	v.helper.Short = func() bool { return v.resources.currentLimit() > 0 }
	options := &site.Options{
		VM: s.Name, FirstStart: s.FirstStart, Configurations: platform.Configurations(store, s.Bounds.ConfigurationApply),
		Upstreams: platform.Upstreams(store, s.Bounds.UpstreamDrain), Rollouts: platform.Rollouts(store), WriteRolloutStatus: store.WriteRolloutStatus, Relay: v.relay, Log: v.log, Now: time.Now,
		Peers: v.peers, ListVMs: store.VMs, Link: s.Listen.Links, Registry: v.registry,
		Quarantined: platform.QuarantineEntries(store), QuarantineStore: store,
		RegisterVM: func(ctx context.Context) error { return store.PutVM(ctx, s.Name, s.Listen.Links) },
	}
	options.Leader = v.newLeader()
	if s.Bounds.Evacuation > 0 {
		options.Evacuations = platform.Evacuations(store, s.Bounds.Evacuation)
	}
	v.site = site.New(options)
	return nil
}

// workspaceWeight returns the weight of a workspace in the configuration in force, or zero.
func (v *vmProcess) workspaceWeight(w contract.WorkspaceID) float64 {
	if table := v.site.Table(); table != nil {
		return table.Weight(w)
	}
	return 0
}

// Limits of the heads of requests and of idle connections. These limits are fixed, because the limits in the
// configuration are not known yet when the HTTP servers are created. Clients stay within the fixed limits.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 3 * time.Minute
	maxHeaderBytes = 64 << 10
)

// listen opens the listeners of the VM. The error about an address
// that is in use names its settings key.
func (v *vmProcess) listen() error {
	ready := http.NewServeMux()
	ready.HandleFunc(platform.PathReady, v.serveReadiness)
	if err := v.listenForCallers(); err != nil {
		return v.listenError("callers", err)
	}
	if err := v.listenForOperators(v.settings.Listen.Ready, ready); err != nil {
		return v.listenError("ready", err)
	}
	if err := v.listenForOperators(v.settings.Listen.Metrics, v.metricsHandler()); err != nil {
		return v.listenError("metrics-port", err)
	}
	return nil
}

func (v *vmProcess) listenError(key string, err error) error {
	return contract.WrapStep(contract.StepSettings, v.settingsPath+": [listen] "+key, err)
}

// listenForCallers serves the requests of callers. The listener can refuse connections while the VM is short of what
// its machine gives it.
func (v *vmProcess) listenForCallers() error {
	refusals := &refusalLog{log: v.log}
	front := &platform.Handler{
		Relay: v.relay, Table: v.site.Table, WaitReady: v.site.AwaitReady, Now: time.Now,
		CloseConnections: func() bool { return v.stopping.Load() || v.callers.Limited() },
		Stopping:         func() bool { return v.callers.Draining() },
		OnRefused:        func(id contract.RequestID, status int, why string) { refusals.record(id, status, why, time.Now()) },
	}
	c := v.settings.Callers
	gate, err := drain.NewGate(v.settings.Listen.Callers, drain.Buffers{Receive: c.ReceiveBuffer, Send: c.SendBuffer})
	if err != nil {
		return err
	}
	v.callers = drain.NewListener(gate, c.MaxConnections)
	v.callers.Limits = drain.Limits{Memory: v.memory, SendBuffer: c.SendBuffer, StallAfter: c.StallAfter, WriteTimeout: c.WriteTimeout}
	v.callers.OnOpenFailed = func(err error) { v.log.Error("listen-again-failed", logs.ErrorFields(err)...) }
	v.callers.OnFirstRead = func(waited time.Duration) { v.resources.firstRead.Update(waited.Milliseconds()) }
	v.serve("callers", v.callers, front)
	return nil
}

// listenForOperators serves a page for operators or the load balancer, unless address is empty.
func (v *vmProcess) listenForOperators(address string, h http.Handler) error {
	if address == "" {
		return nil
	}
	listener, err := drain.ListenForOperators(address)
	if err != nil {
		return err
	}
	v.serve(address, listener, h)
	return nil
}

// serve serves a listener until the process ends.
func (v *vmProcess) serve(name string, l *drain.Listener, h http.Handler) {
	server := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: zap.NewStdLog(v.log.With(zap.String("listener", name))), ConnState: l.ConnState, ConnContext: l.ConnContext,
	}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			v.log.Error("listener-failed", logs.ErrorFields(err)...)
		}
	}()
}

// serveReadiness answers the readiness check of the load balancer, which sends new
// connections only to VMs that are ready. A VM is not ready while it stops, before it
// knows a configuration and the upstreams,
// and while all upstreams of a service have been unreachable for a while.
func (v *vmProcess) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	why := v.notReadyReason()
	if before, _ := v.notReady.Swap(why).(string); before != why {
		v.log.Info("readiness", zap.Bool("ready", why == ""), zap.String("why", why), zap.Int("caller_connections", v.callers.OpenConns()))
	}
	if why != "" {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// notReadyReason returns why this VM reports that it is not ready, or "" if it is ready.
func (v *vmProcess) notReadyReason() string {
	switch {
	case v.stopping.Load():
		return "stopping"
	case !v.site.Ready():
		return "no configuration or no upstreams known"
	case v.relay.Isolated():
		return "all upstreams of a service are unreachable"
	}
	return ""
}

// balancerDetectionTime is how long the load balancer keeps sending connections to a VM that
// is no longer ready: the balancer checks every second and needs two failed checks.
const balancerDetectionTime = 2500 * time.Millisecond

// waitForSignals handles signals until SIGTERM or SIGINT, and then shuts the process down.
// SIGHUP reloads the settings.
func (v *vmProcess) waitForSignals() {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	for got := range signals {
		v.log.Info("signal", zap.String("signal", got.String()))
		if got != syscall.SIGHUP {
			break
		}
		v.reload()
	}
	v.shutDown()
}

// reload reads the settings again, checks them, and logs whether they differ from the
// current settings. Changed settings take effect at the next start, because addresses and
// bounds cannot change while the process runs.
func (v *vmProcess) reload() {
	s, err := settings.LoadVM(v.settingsPath)
	if err != nil {
		v.log.Error("reload-failed", logs.ErrorFields(err)...)
		return
	}
	v.log.Info("reload", zap.Bool("same", reflect.DeepEqual(s, v.settings)), zap.String("takes_effect", "at the next start"))
}

// shutDown ends the process without aborting a request. It first reports to the load
// balancer that the VM is not ready, and closes connections after the balancer has
// stopped sending new connections.
func (v *vmProcess) shutDown() {
	v.stopping.Store(true)
	v.relay.StopBy(time.Now().Add(v.settings.Bounds.ShutdownGrace - shutdownMargin - lastAnswersTime))
	ctx, cancel := context.WithTimeout(context.Background(), v.settings.Bounds.ShutdownGrace-shutdownMargin)
	defer cancel()
	resigned := make(chan struct{})
	go func() {
		defer close(resigned)
		v.site.Resign(ctx)
	}()
	time.Sleep(min(balancerDetectionTime, v.settings.Bounds.ShutdownGrace/2))
	drained := v.callers.Drain(ctx)
	v.helper.Drain(ctx)
	<-resigned
	v.peers.FlushUsage(ctx)
	v.log.Info("stop", zap.Bool("whole", drained))
}

// shutdownMargin is the part of the shutdown grace that is reserved for ending the process
// after connections are closed.
const shutdownMargin = 300 * time.Millisecond

// lastAnswersTime is the time in which the answers to the requests that have not ended are written before connections are
// closed.
const lastAnswersTime = 200 * time.Millisecond
