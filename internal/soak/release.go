package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"woaddoor/internal/standin/objects"
	"woaddoor/internal/standin/replica"
)

// releaseTrial describes a trial with a rollout of a release instead of the faults of a seed.
type releaseTrial struct {
	Run       bool          `help:"Make a trial with a rollout, in place of the faults of a seed."`
	Kind      string        `help:"What is bad about the release." enum:"good,errors,slow,under-load,one-route,late,closed" default:"slow"`
	Share     float64       `help:"Share of its answers that are bad." default:"0.5"`
	Slowdown  float64       `help:"How many times longer a slow answer takes." default:"8"`
	Length    time.Duration `help:"How long the rollout may take." default:"16s"`
	Upstreams int           `help:"How many upstreams of each release." default:"6"`
	Slots     int           `help:"How many requests an upstream works on at a time." default:"6"`
	Work      time.Duration `help:"How long it works on a request, in the mean." default:"60ms"`
	PerSecond int           `help:"How many requests all callers send each second." default:"200"`
	Leave     time.Duration `help:"How soon callers leave; 0 means never."`
	LeaveOf   float64       `help:"Share of the callers that leave." default:"1"`
	KillEvery time.Duration `help:"How often a VM is killed and started anew; 0 means never."`
	Suspend   time.Duration `help:"How often a VM is suspended for 2 s; 0 means never."`
}

// Release on trial, and bounds that the users state for a bad one.
const (
	trialRelease     = "v2"
	exposureShare    = 0.15 // of the requests between the order and its deadline
	exposureSlack    = 30
	noticedBad       = 50              // bad answers from which exposureStop counts
	exposureStop     = 5 * time.Second // after that many bad answers no request may reach the release
	releaseWarmUp    = 4 * time.Second // before the order
	releaseAfter     = 8 * time.Second // how long requests go on after the deadline
	releaseEnd       = 3 * time.Second // from the rollback until the upstreams of the release end
	lateFraction     = 0.7             // part of the rollout after which a late release turns bad
	loadedFraction   = 0.4             // part of the slots in use from which a release is bad under load
	streamEvents     = 12
	sessionsOfTrial  = 2000
	releaseCallLimit = 6 * time.Second
)

// releaseFleet is the upstreams of both releases and what they have seen.
type releaseFleet struct {
	*fleet
	trial     releaseTrial
	orderedAt time.Time

	// mu guards the fields below.
	mu       sync.Mutex
	replicas map[string][]*replica.Replica // by release
	arrivals map[string][]time.Time        // by release
	badAt    []time.Time
}

// releaseLoad counts the requests sent after the deadline of the rollout.
type releaseLoad struct {
	sent, served, gone atomic.Int64
	lastID             atomic.Int64
}

// runRelease makes a trial and prints what came of it.
func runRelease(args arguments) (failed bool, err error) {
	f := &releaseFleet{
		fleet: &fleet{folder: args.Folder, store: objects.New(), recorder: newRecorder(), workspaceKeys: []string{keyKept}},
		trial: args.Release, replicas: make(map[string][]*replica.Replica), arrivals: make(map[string][]time.Time),
	}
	defer f.stop()
	f.writeConfiguration()
	if err := f.startStore(); err != nil {
		return false, err
	}
	f.fleet.upstreams = newUpstreams(f.store, f.recorder, args.Seed)
	if err := errors.Join(f.startRelease(objects.FirstRelease), f.startVMs(args.VMs)); err != nil {
		return false, err
	}
	if err := f.waitReady(); err != nil {
		return false, err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	load, counting := &releaseLoad{}, &atomic.Bool{}
	loadContext, endLoad := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { f.load(loadContext, load, counting) })
	sleepUntil(ctx, time.Now().Add(releaseWarmUp))
	if err := f.startRelease(trialRelease); err != nil {
		endLoad()
		return false, err
	}
	f.mu.Lock()
	f.orderedAt = time.Now()
	f.mu.Unlock()
	f.store.StartRollout(trialRelease, f.trial.Length)
	deadline := f.orderedAt.Add(f.trial.Length)
	running.Go(func() { f.disturb(loadContext) })
	running.Go(func() { f.followRollout(loadContext) })
	sleepUntil(ctx, deadline)
	counting.Store(true)
	sleepUntil(ctx, deadline.Add(releaseAfter))
	counting.Store(false)
	endLoad()
	running.Wait()
	return f.report(args, load), ctx.Err()
}

// startRelease starts the upstreams of a release.
func (f *releaseFleet) startRelease(release string) error {
	for n := range f.trial.Upstreams {
		slots := make(chan struct{}, f.trial.Slots)
		id := fmt.Sprintf("%s-%d", release, n)
		r, err := replica.Start(id, func(c *replica.Conn, req *replica.Request) bool { return f.serve(c, req, release, slots) })
		if err != nil {
			return err
		}
		f.mu.Lock()
		f.replicas[release] = append(f.replicas[release], r)
		f.mu.Unlock()
		f.store.PutUpstream(objects.Upstream{ID: id, Address: r.Address(), DataCentre: dataCentre(n), Slots: f.trial.Slots, Release: release, Incarnation: 1})
	}
	return nil
}

// endRelease ends the upstreams of a release.
func (f *releaseFleet) endRelease(release string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.replicas[release] {
		f.store.DeleteUpstream(r.ID)
		r.Close()
	}
}

// followRollout ends the upstreams of a release as the platform does once the rollout has ended.
func (f *releaseFleet) followRollout(ctx context.Context) {
	for ; ctx.Err() == nil; sleepUntil(ctx, time.Now().Add(20*time.Millisecond)) {
		switch f.store.RolloutState() {
		case objects.RolloutCompleted:
			f.endRelease(objects.FirstRelease)
			return
		case objects.RolloutRolledBack:
			sleepUntil(ctx, time.Now().Add(releaseEnd))
			f.endRelease(trialRelease)
			return
		}
	}
}

// disturb kills and suspends VMs as the trial demands, until ctx ends.
func (f *releaseFleet) disturb(ctx context.Context) {
	var faults sync.WaitGroup
	each := func(every time.Duration, do func(v *vm)) {
		for n := 0; every > 0; n++ {
			sleepUntil(ctx, time.Now().Add(every))
			if ctx.Err() != nil {
				return
			}
			do(f.vms[n%len(f.vms)])
		}
	}
	faults.Go(func() {
		each(f.trial.KillEvery, func(v *vm) {
			v.signal(syscall.SIGKILL)
			v.waitExit()
			_ = f.startVM(v) // its callers are refused otherwise, which the trial shows
		})
	})
	faults.Go(func() {
		each(f.trial.Suspend, func(v *vm) {
			v.signal(syscall.SIGSTOP)
			time.AfterFunc(brittleSuspend, func() { v.signal(syscall.SIGCONT) })
		})
	})
	faults.Wait()
}

// isBad draws whether an answer of the release on trial is bad.
func (f *releaseFleet) isBad(req *replica.Request, inUse int) bool {
	f.mu.Lock()
	elapsed := time.Since(f.orderedAt)
	f.mu.Unlock()
	switch f.trial.Kind {
	case "good":
		return false
	case "under-load":
		if float64(inUse) < loadedFraction*float64(f.trial.Slots) {
			return false
		}
	case "one-route":
		if !strings.HasPrefix(req.URL.Path, "/safe/") {
			return false
		}
	case "late":
		if elapsed < time.Duration(lateFraction*float64(f.trial.Length)) {
			return false
		}
	}
	return rand.Float64() < f.trial.Share
}

// serve handles one request at an upstream.
func (f *releaseFleet) serve(c *replica.Conn, req *replica.Request, release string, slots chan struct{}) bool {
	f.mu.Lock()
	f.arrivals[release] = append(f.arrivals[release], time.Now())
	f.mu.Unlock()
	select {
	case slots <- struct{}{}:
	case <-time.After(f.trial.Work * 4):
		c.RejectNotRun(req.ID())
		return true
	}
	defer func() { <-slots }()
	bad := release == trialRelease && f.isBad(req, len(slots))
	if bad {
		defer func() {
			f.mu.Lock()
			f.badAt = append(f.badAt, time.Now())
			f.mu.Unlock()
		}()
	}
	work := time.Duration((0.5 + rand.Float64()) * float64(f.trial.Work))
	switch {
	case bad && f.trial.Kind == "closed":
		time.Sleep(work)
		return false
	case bad && f.trial.Kind == "errors":
		time.Sleep(work)
		c.Respond(http.StatusInternalServerError, req.ID(), "failed")
		return true
	case bad:
		work = time.Duration(f.trial.Slowdown * float64(work))
	}
	if !strings.HasPrefix(req.URL.Path, "/stream/") {
		return !c.WaitClosed(work) && respondWhole(c, req)
	}
	return sendEvents(c, req, work)
}

func respondWhole(c *replica.Conn, req *replica.Request) bool {
	c.Respond(http.StatusOK, req.ID(), "whole")
	return true
}

// sendEvents answers with a stream: the first event after a third of the work, the others over the rest.
func sendEvents(c *replica.Conn, req *replica.Request, work time.Duration) bool {
	if c.WaitClosed(work / 3) {
		return false
	}
	c.BeginStream(req.ID())
	for n := req.LastEventID() + 1; n <= streamEvents; n++ {
		c.Event(n, "x")
		if n < streamEvents && c.WaitClosed(work*2/3/streamEvents) {
			return false
		}
	}
	c.EndStream()
	return true
}

// load sends requests at a steady rate until ctx ends, and waits for their answers.
func (f *releaseFleet) load(ctx context.Context, l *releaseLoad, counting *atomic.Bool) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}, Timeout: releaseCallLimit}
	var calls sync.WaitGroup
	defer calls.Wait()
	began := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		sleepUntil(ctx, began.Add(time.Duration(n)*time.Second/time.Duration(f.trial.PerSecond)))
		v, counted := f.vms[rand.IntN(len(f.vms))], counting.Load()
		calls.Go(func() { f.call(client, v, l, counted) })
	}
}

// call sends a request and counts how it ended.
func (f *releaseFleet) call(client *http.Client, v *vm, l *releaseLoad, counted bool) {
	ctx, cancel := context.Background(), func() {}
	if f.trial.Leave > 0 && rand.Float64() < f.trial.LeaveOf {
		ctx, cancel = context.WithTimeout(ctx, f.trial.Leave)
	}
	defer cancel()
	id, path := l.lastID.Add(1), []string{"/once/x", "/once/x", "/safe/x", "/stream/x"}[rand.IntN(4)]
	req, err := replica.NewCall(ctx, v.callerLink.address(), objects.SampleHost, path, fmt.Sprintf("id-%d", id), keyKept, fmt.Sprint(id))
	if err != nil {
		return
	}
	replica.SetDeadline(req, callerTimeout)
	replica.SetPrompt(req, fmt.Sprintf("a%x", rand.IntN(sessionsOfTrial)), fmt.Sprintf("b%x", id))
	status, err := readWhole(client, req)
	if !counted {
		return
	}
	l.sent.Add(1)
	switch {
	case errors.Is(err, context.DeadlineExceeded) && ctx.Err() != nil:
		l.gone.Add(1)
	case err == nil && status == http.StatusOK:
		l.served.Add(1)
	}
}

// report prints the results of a trial and returns whether the release got more requests than it may.
func (f *releaseFleet) report(args arguments, l *releaseLoad) (failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	deadline := f.orderedAt.Add(f.trial.Length)
	during := func(release string) int {
		n := 0
		for _, at := range f.arrivals[release] {
			if at.After(f.orderedAt) && at.Before(deadline) {
				n++
			}
		}
		return n
	}
	onTrial := during(trialRelease)
	total := onTrial + during(objects.FirstRelease)
	allowed := int(exposureShare*float64(total)) + exposureSlack
	late, noticed := 0, "never"
	slices.SortFunc(f.badAt, time.Time.Compare)
	if len(f.badAt) >= noticedBad {
		at := f.badAt[noticedBad-1]
		noticed = at.Sub(f.orderedAt).Round(time.Millisecond).String()
		for _, arrival := range f.arrivals[trialRelease] {
			if arrival.After(at.Add(exposureStop)) {
				late++
			}
		}
	}
	state := f.store.RolloutState()
	failed = f.trial.Kind != "good" && (onTrial > allowed || late > 0)
	wanted := map[bool]string{true: objects.RolloutCompleted, false: objects.RolloutRolledBack}[f.trial.Kind == "good"]
	fmt.Printf("release: %d VMs, %s: %s (wanted %s), the release got %d of %d requests (%d allowed), %d bad answers, the %dth after %s, %d requests too late; after the deadline %d of %d served, %d callers left\n",
		args.VMs, f.trial.Kind, state, wanted, onTrial, total, allowed, len(f.badAt), noticedBad, noticed, late, l.served.Load(), l.sent.Load(), l.gone.Load())
	return failed || state != wanted
}
