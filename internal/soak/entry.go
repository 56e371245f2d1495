package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"woaddoor/internal/standin/objects"
	"woaddoor/internal/standin/replica"
)

// entryTrial describes a trial in which the load balancer hands most new connections to a few VMs.
type entryTrial struct {
	Run       bool          `help:"Make a trial with uneven new connections, in place of the faults of a seed."`
	Scope     string        `help:"Where one VM gets most new connections: in the whole region, in each data centre, or nowhere." enum:"region,centres,none" default:"region"`
	Share     float64       `help:"Share of the new connections that it gets." default:"0.9"`
	Lasts     time.Duration `help:"How long it gets them." default:"12s"`
	MoveEvery time.Duration `help:"How often the crowd moves on to another VM; 0 means only when a VM is not ready."`
	PerSecond int           `help:"How many requests all callers send each second." default:"650"`
	Surge     float64       `help:"How many times as many requests they send while the entry is uneven." default:"1"`
	// New is the part of the requests for which a caller opens a connection although it has one.
	New      float64 `help:"Part of the requests on new connections, while the entry is even." default:"0.2"`
	NewCrowd float64 `help:"Part of the requests on new connections, while the entry is uneven." default:"0.8"`
	Tries    int     `help:"How often a caller tries at most." default:"3"`

	Cores     float64 `help:"Share of a core that a VM gets; 0 means no limit." default:"0.192"`
	LinkMbps  float64 `help:"Speed of a VM's network link; 0 means no limit." default:"10"`
	MemoryMB  int     `help:"Memory of a VM." name:"memory-mb" default:"184"`
	LargeVMs  int     `help:"How many VMs have four times the processor, and twenty times the link." name:"large-vms" default:"6"`
	Upstreams int     `help:"How many upstreams." default:"60"`
	Slots     int     `help:"How many requests an upstream works on at a time." default:"15"`

	KillEvery    time.Duration `help:"How often a VM is killed and started anew; 0 means never."`
	SuspendEvery time.Duration `help:"How often a VM is suspended for 2 s; 0 means never."`
	CrowdEvery   time.Duration `help:"How often the VM that gets the crowd is suspended for 2 s, and the next time killed; 0 means never."`
	EndEvery     time.Duration `help:"How often an upstream ends; another starts in its place; 0 means never."`
	Wanted       float64       `help:"Share of the requests served at the first try that was read, of the share before, below which the trial has failed." default:"0.97"`
}

// Timing of a trial with uneven connections, and what callers do.
const (
	entryWarmUp = 6 * time.Second
	entryBefore = 8 * time.Second // measured while the entry is even
	entryAfter  = 6 * time.Second // measured after it has become even again
	// entryCounted is how long the entry is uneven before requests count.
	entryCounted    = 4 * time.Second
	entryDeadline   = 4 * time.Second
	connectTimeout  = time.Second
	readTimeout     = time.Second // after which a caller gives up a repeatable request that was not read
	streamGiveUp    = 2 * time.Second
	entryChunk      = 4 << 10
	entryRestart    = 500 * time.Millisecond
	entryEventSize  = 100
	entryEventEvery = 40 * time.Millisecond
	entryPlainWork  = 60 * time.Millisecond
)

// entryKind is a kind of requests.
type entryKind struct {
	path   string
	weight int // part of the requests
	body   int // bytes
	events int // of a stream
}

// entryKinds are three kinds of streams and two of plain requests.
var entryKinds = []entryKind{
	{"/stream/long", 22, 12_000, 38}, {"/stream/chat", 11, 830, 29}, {"/stream/short", 41, 2_400, 2},
	{"/once/x", 18, 600, 0}, {"/safe/x", 8, 0, 0},
}

// entryFleet is the VMs of a trial with uneven connections, the load balancer before them and their callers.
type entryFleet struct {
	*fleet
	trial    entryTrial
	limited  []*limitedVM
	balancer *balancer
	callers  *entryCallers

	// mu guards replicas, the upstreams by their place.
	mu       sync.Mutex
	replicas []*replica.Replica
}

// runEntry makes a trial and prints what came of it.
func runEntry(args arguments) (failed bool, err error) {
	e := args.Entry
	f := &entryFleet{
		fleet: &fleet{folder: args.Folder, store: objects.New(), recorder: newRecorder(), workspaceKeys: []string{keyKept}},
		trial: e, replicas: make([]*replica.Replica, e.Upstreams),
	}
	f.machineOf = func(n int) machine {
		if n < e.LargeVMs {
			return machine{4 * e.Cores, 20 * e.LinkMbps, 3 * e.MemoryMB}
		}
		return machine{e.Cores, e.LinkMbps, e.MemoryMB}
	}
	defer f.stop()
	if err := f.startEntry(args); err != nil {
		return false, err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	f.balancer = newBalancer(f.limited, e)
	f.callers = newEntryCallers(f, args.Seed)
	trialContext, end := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { f.balancer.checkReadiness(trialContext) })
	running.Go(func() { limitProcessors(trialContext, f.limited) })
	callContext, endCalls := context.WithCancel(trialContext)
	var calls sync.WaitGroup
	calls.Go(func() { f.callers.run(callContext) })
	sleepUntil(ctx, time.Now().Add(entryWarmUp+entryBefore))
	unevenAt := time.Now()
	f.balancer.setUneven(e.Scope)
	f.callers.surge.Store(true)
	running.Go(func() { f.disturb(callContext) })
	f.followCrowd(ctx, unevenAt.Add(e.Lasts))
	f.balancer.setUneven("none")
	f.callers.surge.Store(false)
	evenAt := time.Now()
	sleepUntil(ctx, evenAt.Add(entryAfter))
	endCalls()
	calls.Wait()
	end()
	running.Wait()
	return f.callers.report(args, unevenAt, evenAt), ctx.Err()
}

// startEntry starts the store, the upstreams and the VMs.
func (f *entryFleet) startEntry(args arguments) error {
	f.maxConnections = 20 * args.VMs // the connections are not what is short
	f.writeConfiguration()
	if err := f.startStore(); err != nil {
		return err
	}
	f.fleet.upstreams = newUpstreams(f.store, f.recorder, args.Seed)
	for n := range f.replicas {
		if err := f.startReplica(n, 1); err != nil {
			return err
		}
	}
	if err := f.startVMs(args.VMs); err != nil {
		return err
	}
	for n, v := range f.vms {
		m := f.machineOf(n)
		f.limited = append(f.limited, &limitedVM{vm: v, machine: m, link: newNetworkLink(m.linkMbps)})
	}
	return f.waitReady()
}

// startReplica starts the upstream of a place.
func (f *entryFleet) startReplica(n, incarnation int) error {
	slots := make(chan struct{}, f.trial.Slots)
	id := fmt.Sprintf("u%d-%d", n, incarnation)
	r, err := replica.Start(id, func(c *replica.Conn, req *replica.Request) bool { return serveEntry(c, req, slots) })
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.replicas[n] = r
	f.mu.Unlock()
	f.store.PutUpstream(objects.Upstream{ID: id, Address: r.Address(), DataCentre: dataCentre(n), Slots: f.trial.Slots, Incarnation: incarnation})
	return nil
}

// serveEntry handles one request at an upstream.
func serveEntry(c *replica.Conn, req *replica.Request, slots chan struct{}) bool {
	select {
	case slots <- struct{}{}:
	case <-time.After(4 * entryPlainWork):
		c.RejectNotRun(req.ID())
		return true
	}
	defer func() { <-slots }()
	load := replica.LoadHeader(len(slots), 0, cap(slots))
	for _, k := range entryKinds {
		if k.path != req.URL.Path || k.events == 0 {
			continue
		}
		c.BeginStream(req.ID(), load)
		for n := req.LastEventID() + 1; n <= k.events; n++ {
			if c.WaitClosed(entryEventEvery) {
				return false
			}
			c.Event(n, strings.Repeat("x", entryEventSize))
		}
		c.EndStream()
		return true
	}
	if c.WaitClosed(entryPlainWork) {
		return false
	}
	c.Respond(http.StatusOK, req.ID(), strings.Repeat("x", 800), load)
	return true
}

// followCrowd lets the crowd move on as the trial demands, until a moment.
func (f *entryFleet) followCrowd(ctx context.Context, until time.Time) {
	for f.trial.MoveEvery > 0 && ctx.Err() == nil && time.Now().Add(f.trial.MoveEvery).Before(until) {
		sleepUntil(ctx, time.Now().Add(f.trial.MoveEvery))
		f.balancer.move()
	}
	sleepUntil(ctx, until)
}

// disturb kills and suspends VMs and ends upstreams as the trial demands, until ctx ends.
func (f *entryFleet) disturb(ctx context.Context) {
	var faults sync.WaitGroup
	each := func(every time.Duration, do func(n int)) {
		if every == 0 {
			return
		}
		faults.Go(func() {
			for n := 0; ; n++ {
				sleepUntil(ctx, time.Now().Add(every))
				if ctx.Err() != nil {
					return
				}
				do(n)
			}
		})
	}
	kill := func(v *limitedVM) {
		v.signal(syscall.SIGKILL)
		v.waitExit()
		time.AfterFunc(entryRestart, func() { _ = f.startVM(v.vm) }) // its callers are refused otherwise, which the trial shows
	}
	each(f.trial.KillEvery, func(int) { kill(f.limited[rand.IntN(len(f.limited))]) })
	each(f.trial.CrowdEvery, func(n int) {
		f.balancer.mu.Lock()
		v := f.balancer.crowded(dataCentre(0))
		f.balancer.mu.Unlock()
		switch {
		case v == nil:
		case n%2 == 0:
			v.suspend(brittleSuspend)
		default:
			kill(v)
		}
	})
	each(f.trial.SuspendEvery, func(int) { f.limited[rand.IntN(len(f.limited))].suspend(brittleSuspend) })
	each(f.trial.EndEvery, func(n int) {
		place := n % len(f.replicas)
		f.mu.Lock()
		r := f.replicas[place]
		f.mu.Unlock()
		r.Close()
		f.store.DeleteUpstream(r.ID)
		_ = f.startReplica(place, n+2) // one upstream fewer otherwise
	})
	faults.Wait()
}
