package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"woaddoor/internal/standin/brittle"
	"woaddoor/internal/standin/objects"
	"woaddoor/internal/standin/replica"
)

// brittleTrial describes a trial with brittle upstreams instead of the faults of a seed: how often they
// fail under the requests that they reject, and how many requests are served.
type brittleTrial struct {
	Run       bool            `help:"Make a trial with brittle upstreams, in place of the faults of a seed."`
	Upstreams int             `help:"How many upstreams." default:"6"`
	Slots     int             `help:"How many requests an upstream works on at a time." default:"6"`
	Queue     int             `help:"How many others may wait there while it is sound." default:"24"`
	Work      time.Duration   `help:"How long it works on a request, in the mean." default:"60ms"`
	Bears     int             `help:"How many rejections in a second it survives." default:"2"`
	PerSecond int             `help:"How many requests all callers send each second." default:"300"`
	Ends      []time.Duration `help:"When an upstream ends by itself, after the beginning of the notice."`
	EndEvery  time.Duration   `help:"How often an upstream ends by itself once rejections count; 0 means never."`
	KillEvery time.Duration   `help:"How often a VM is killed and started anew; 0 means never."`
	// A suspended VM goes on with what it held when it was stopped, and knows nothing of the time between.
	SuspendEvery time.Duration `help:"How often a VM is suspended for 2 s; 0 means never."`
	ListLag      time.Duration `help:"How late the list tells that an upstream has started or ended."`
	// SoundEvery is about VMs that learn at different times that the notice has ended or begun again.
	SoundEvery time.Duration `help:"How often the upstreams become sound for a second; 0 means never."`
	Leave      time.Duration `help:"How soon callers leave; 0 means never."`
	OneVM      float64       `help:"Share of the callers that come to one VM." name:"one-vm"`
	Handshake  time.Duration `help:"How long a new connection occupies a slot." default:"1ms"`
	Keeps      float64       `help:"Share of requests on which an upstream goes on working after the caller has left." default:"0.2"`
}

// Timing of a trial with brittle upstreams.
const (
	brittleWarmUp   = 5 * time.Second // before the upstreams say that they are brittle
	brittleNotice   = settleTime      // from then until rejections count
	brittleEnforced = 13 * time.Second
	brittleRestart  = 3 * time.Second
	brittleSuspend  = 2 * time.Second // of a suspended VM
	brittleSound    = time.Second     // between two notices
)

// allowedFalls returns how often a number of upstreams may fail in one time of brittleness.
func allowedFalls(upstreams int) int { return 2 + upstreams/10 }

// brittleLoad counts the requests of a trial that were sent while rejections counted.
type brittleLoad struct {
	sent, served, refused, failed, gone atomic.Int64
	// refusedWithRoom counts refusals while less than roomShare of all slots were in use.
	refusedWithRoom atomic.Int64
	lastID          atomic.Int64
}

// roomShare is the share of slots in use below which an upstream must have had room.
const roomShare = 0.8

// runBrittle makes a trial and prints what came of it.
func runBrittle(args arguments) (failed bool, err error) {
	b := args.Brittle
	random := rand.New(rand.NewPCG(args.Seed, 7))
	f := &fleet{folder: args.Folder, store: objects.New(), recorder: newRecorder(), workspaceKeys: []string{keyKept}}
	service := brittle.New(brittle.Options{
		Slots: b.Slots, Queue: b.Queue, Bears: b.Bears, Handshake: b.Handshake, RestartAfter: brittleRestart, Keeps: b.Keeps,
		Work: func() time.Duration { return time.Duration((0.5 + rand.Float64()) * float64(b.Work)) },
		OnStart: func(place int, id, address string) {
			time.AfterFunc(b.ListLag, func() {
				f.store.PutUpstream(objects.Upstream{ID: id, Address: address, DataCentre: dataCentre(place), Slots: b.Slots, Incarnation: 1})
			})
		},
		OnEnd: func(_ int, id string) { time.AfterFunc(b.ListLag, func() { f.store.DeleteUpstream(id) }) },
	})
	defer service.Close()
	defer f.stop()
	if err := f.startBrittle(service, args); err != nil {
		return false, err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	load, counting := &brittleLoad{}, &atomic.Bool{}
	loadContext, endLoad := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { f.loadBrittle(loadContext, b, service, load, counting) })
	sleepUntil(ctx, time.Now().Add(brittleWarmUp))
	noticeAt := time.Now()
	service.SetBrittle(true, brittleNotice)
	for _, at := range b.Ends {
		time.AfterFunc(time.Until(noticeAt.Add(at)), func() { service.End(random.IntN(b.Upstreams)) })
	}
	sleepUntil(ctx, noticeAt.Add(brittleNotice))
	counting.Store(true)
	f.endBrittle(ctx, noticeAt.Add(brittleNotice+brittleEnforced), b, service, random)
	counting.Store(false)
	endLoad()
	running.Wait()
	return reportBrittle(args, service, load, noticeAt), ctx.Err()
}

// startBrittle starts the store, the upstreams and the VMs.
func (f *fleet) startBrittle(service *brittle.Service, args arguments) error {
	f.writeConfiguration()
	if err := f.startStore(); err != nil {
		return err
	}
	f.upstreams = newUpstreams(f.store, f.recorder, args.Seed)
	for place := range args.Brittle.Upstreams {
		if err := service.Start(place); err != nil {
			return err
		}
	}
	if err := f.startVMs(args.VMs); err != nil {
		return err
	}
	return f.waitReady()
}

// endBrittle ends upstreams, kills and suspends VMs and interrupts the notice as the trial demands, until
// a moment.
func (f *fleet) endBrittle(ctx context.Context, until time.Time, b brittleTrial, service *brittle.Service, random *rand.Rand) {
	every := func(d time.Duration, do func()) {
		for d > 0 && ctx.Err() == nil && time.Now().Add(d).Before(until) {
			sleepUntil(ctx, time.Now().Add(d))
			do()
		}
	}
	var faults sync.WaitGroup
	ends, kills := random.Perm(b.Upstreams), 0
	faults.Go(func() {
		n := 0
		every(b.EndEvery, func() { service.End(ends[n%len(ends)]); n++ })
	})
	faults.Go(func() {
		every(b.KillEvery, func() {
			v := f.vms[kills%len(f.vms)]
			kills++
			v.signal(syscall.SIGKILL)
			v.waitExit()
			_ = f.startVM(v) // its callers are refused otherwise, which the trial shows
		})
	})
	faults.Go(func() {
		n := 0
		every(b.SuspendEvery, func() {
			v := f.vms[n%len(f.vms)]
			n++
			v.signal(syscall.SIGSTOP)
			time.AfterFunc(brittleSuspend, func() { v.signal(syscall.SIGCONT) })
		})
	})
	faults.Go(func() {
		every(b.SoundEvery, func() {
			service.SetBrittle(false, 0)
			sleepUntil(ctx, time.Now().Add(brittleSound))
			service.SetBrittle(true, brittleNotice)
		})
	})
	faults.Wait()
	sleepUntil(ctx, until)
}

// loadBrittle sends requests at a steady rate until ctx ends, and waits for their answers.
func (f *fleet) loadBrittle(ctx context.Context, b brittleTrial, service *brittle.Service, load *brittleLoad, counting *atomic.Bool) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}, Timeout: 6 * time.Second}
	var calls sync.WaitGroup
	defer calls.Wait()
	began := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		sleepUntil(ctx, began.Add(time.Duration(n)*time.Second/time.Duration(b.PerSecond)))
		v := f.vms[rand.IntN(len(f.vms))]
		if rand.Float64() < b.OneVM {
			v = f.vms[0]
		}
		counted := counting.Load()
		calls.Go(func() { load.call(client, v, b, service, counted) })
	}
}

// call sends a request and counts how it ended.
func (l *brittleLoad) call(client *http.Client, v *vm, b brittleTrial, service *brittle.Service, counted bool) {
	ctx, cancel := context.Background(), func() {}
	if b.Leave > 0 {
		ctx, cancel = context.WithTimeout(ctx, b.Leave)
	}
	defer cancel()
	id := l.lastID.Add(1)
	req, err := replica.NewCall(ctx, v.callerLink.address(), objects.SampleHost, "/once/x", fmt.Sprintf("id-%d", id), keyKept, fmt.Sprint(id))
	if err != nil {
		return
	}
	replica.SetDeadline(req, callerTimeout)
	status, err := readWhole(client, req)
	if !counted {
		return
	}
	l.sent.Add(1)
	switch {
	case errors.Is(err, context.DeadlineExceeded) && b.Leave > 0:
		l.gone.Add(1)
	case err != nil:
		l.failed.Add(1)
	case status == http.StatusOK:
		l.served.Add(1)
	case status == http.StatusServiceUnavailable:
		l.refused.Add(1)
		if inUse, slots := service.Occupancy(); float64(inUse) < roomShare*float64(slots) {
			l.refusedWithRoom.Add(1)
		}
	default:
		l.failed.Add(1)
	}
}

// readWhole sends a request, reads the answer to its end and returns its status.
func readWhole(client *http.Client, req *http.Request) (status int, err error) {
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// reportBrittle prints the results of a trial and returns whether more upstreams failed than may.
func reportBrittle(args arguments, service *brittle.Service, l *brittleLoad, noticeAt time.Time) (failed bool) {
	falls, rejections := service.Falls(), service.Rejections()
	for _, r := range rejections {
		fmt.Printf("%7.3f s: %s rejected a request %v after its start\n", r.At.Sub(noticeAt).Seconds(), r.Instance, r.Age.Round(time.Millisecond))
	}
	for _, fall := range falls {
		fmt.Printf("%7.3f s: %s failed %v after its start\n", fall.At.Sub(noticeAt).Seconds(), fall.Instance, fall.Age.Round(time.Millisecond))
	}
	fmt.Printf("brittle: %d VMs, %d upstreams: %d failed (%d allowed), %d rejections; %d of %d served, %d refused (%d of them while under %.0f%% of the slots were in use), %d failed, %d callers left\n",
		args.VMs, args.Brittle.Upstreams, len(falls), allowedFalls(args.Brittle.Upstreams), len(rejections), l.served.Load(), l.sent.Load(), l.refused.Load(), l.refusedWithRoom.Load(), 100*roomShare, l.failed.Load(), l.gone.Load())
	return len(falls) > allowedFalls(args.Brittle.Upstreams)
}
