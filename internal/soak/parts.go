package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"woaddoor/internal/standin/objects"
	"woaddoor/internal/standin/replica"
)

// partTrial describes a trial with one part of prompts that crashes each upstream which begins to
// answer a request with it, instead of the faults of a seed. Its requests come in bursts.
type partTrial struct {
	Run       bool          `help:"Make a trial with a crashing part of prompts, in place of the faults of a seed."`
	Upstreams int           `help:"How many upstreams." default:"7"`
	Work      time.Duration `help:"How long an upstream works before it begins to answer." default:"250ms"`
	Back      time.Duration `help:"How soon a crashed upstream is back." default:"2s"`
	PerSecond int           `help:"How many sound requests all callers send each second." default:"12"`
	First     int           `help:"How many requests with the part come at once at first." default:"5"`
	SecondAt  time.Duration `help:"When others come after the first ones; 0 means never."`
	Second    int           `help:"How many others come then." default:"2"`
	Burst     int           `help:"How many requests with the part come at once later on." default:"5"`
	Every     time.Duration `help:"How often they come." default:"4s"`
	Length    time.Duration `help:"How long requests come." default:"24s"`
	KillAll   time.Duration `help:"How soon after the fifth crash all VMs are killed and started anew; 0 means never."`
	StoreDown time.Duration `help:"How long the store is unreachable from the first burst on; 0 means never."`
	EndEvery  time.Duration `help:"How often an upstream ends by itself; 0 means never."`
	EndBurst  int           `help:"How many upstreams end by themselves at once." default:"1"`
	Together  float64       `help:"Share of the requests with the part that have a second rare part too." default:"0"`
	Rare      int           `help:"How many rare sound parts the sound requests have." default:"40"`
}

// Bounds that the users state for a crashing part, and the timing of a trial.
const (
	partCrashesKnown = 5 // crashes after which the part must be known
	partLateSends    = 3 // requests that may reach upstreams later than settleTime after them
	partWarmUp       = 3 * time.Second
	partServedFrom   = 2 * settleTime // after the crashes, from then on sound requests have to be served
	partServedShare  = 0.98
)

// crashingPart is the name of the part that crashes upstreams.
const crashingPart = "poison"

// partArrival is a request with the crashing part that has reached an upstream.
type partArrival struct {
	at               time.Time
	id               string
	sender, upstream string
}

// partFleet runs a trial and records what its upstreams have seen.
type partFleet struct {
	*fleet
	trial   partTrial
	beganAt time.Time
	lastID  atomic.Int64

	// mu guards the fields below. sound holds when sound requests were sent, and whether they were served.
	mu       sync.Mutex
	arrivals []partArrival
	crashes  []partArrival
	sound    []soundCall
}

// soundCall is a request without the crashing part.
type soundCall struct {
	at     time.Time
	served bool
}

// runParts makes a trial and prints what came of it.
func runParts(args arguments) (failed bool, err error) {
	f := &partFleet{fleet: &fleet{folder: args.Folder, store: objects.New(), recorder: newRecorder(), workspaceKeys: []string{keyKept}}, trial: args.Part}
	defer f.stop()
	f.writeConfiguration()
	if err := f.startStore(); err != nil {
		return false, err
	}
	f.upstreams = newUpstreams(f.store, f.recorder, args.Seed)
	f.upstreams.serveWith = f.serve
	for n := range f.trial.Upstreams {
		if err := f.upstreams.addPosition(dataCentre(n)); err != nil {
			return false, err
		}
	}
	if err := f.startVMs(args.VMs); err != nil {
		return false, err
	}
	if err := f.waitReady(); err != nil {
		return false, err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	f.beganAt = time.Now().Add(partWarmUp)
	loadContext, endLoad := context.WithDeadline(ctx, f.beganAt.Add(f.trial.Length))
	defer endLoad()
	var running sync.WaitGroup
	running.Go(func() { f.sendSound(loadContext) })
	running.Go(func() { f.sendBursts(loadContext, rand.New(rand.NewPCG(args.Seed, 9))) })
	running.Go(func() { f.disturb(loadContext) })
	running.Wait()
	return f.report(args), ctx.Err()
}

// serve handles one request at an upstream.
func (f *partFleet) serve(position *upstreamPosition, c *replica.Conn, r *replica.Request) bool {
	guilty := slices.Contains(r.SharedParts(), crashingPart)
	arrival := partArrival{at: time.Now(), id: r.ID(), upstream: f.upstreams.instance(position)}
	if guilty {
		arrival.sender = f.upstreams.notices.senders.vmOf(c, "")
		f.record(&f.arrivals, arrival)
	}
	time.Sleep(f.trial.Work)
	if guilty {
		if f.upstreams.instance(position) == arrival.upstream { // otherwise it has crashed meanwhile
			f.upstreams.kill(position, f.trial.Back)
			arrival.at = time.Now()
			f.record(&f.crashes, arrival)
		}
		return false
	}
	c.Respond(http.StatusOK, r.ID(), answerBody(r.ID()))
	return true
}

// record adds an arrival to a list.
func (f *partFleet) record(list *[]partArrival, a partArrival) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*list = append(*list, a)
}

// call sends a request with the given parts of a prompt to a random VM, and returns whether it was served.
func (f *partFleet) call(client *http.Client, parts ...string) bool {
	v, id := f.vms[rand.IntN(len(f.vms))], fmt.Sprintf("id-%d", f.lastID.Add(1))
	req, err := replica.NewCall(context.Background(), v.callerLink.address(), objects.SampleHost, "/safe/x", id, keyKept, id)
	if err != nil {
		return false
	}
	replica.SetDeadline(req, callerTimeout)
	replica.SetPrompt(req, append(parts, id)...)
	status, err := readWhole(client, req)
	return err == nil && status == http.StatusOK
}

// sendSound sends requests without the part at a steady rate until ctx ends, and waits for their answers.
func (f *partFleet) sendSound(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}, Timeout: 2 * callerTimeout}
	var calls sync.WaitGroup
	defer calls.Wait()
	for ctx.Err() == nil {
		calls.Go(func() {
			sent := soundCall{at: time.Now()}
			sent.served = f.call(client, "system", fmt.Sprint("session", rand.IntN(f.trial.Rare)))
			f.mu.Lock()
			defer f.mu.Unlock()
			f.sound = append(f.sound, sent)
		})
		sleepUntil(ctx, time.Now().Add(time.Second/time.Duration(f.trial.PerSecond)))
	}
}

// sendBursts sends the requests with the part until ctx ends, and waits for their answers.
func (f *partFleet) sendBursts(ctx context.Context, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * callerTimeout}
	var calls sync.WaitGroup
	defer calls.Wait()
	burst := func(n int) {
		for range n {
			parts := []string{"system", crashingPart}
			if random.Float64() < f.trial.Together {
				parts = append(parts, "beside")
			}
			calls.Go(func() { f.call(client, parts...) })
		}
	}
	sleepUntil(ctx, f.beganAt)
	burst(f.trial.First)
	if f.trial.SecondAt > 0 {
		sleepUntil(ctx, f.beganAt.Add(f.trial.SecondAt))
		burst(f.trial.Second)
	}
	for n := 1; ctx.Err() == nil; n++ {
		sleepUntil(ctx, f.beganAt.Add(time.Duration(n)*f.trial.Every))
		if ctx.Err() == nil {
			burst(f.trial.Burst)
		}
	}
}

// disturb kills all VMs, makes the store unreachable and ends upstreams as the trial demands.
func (f *partFleet) disturb(ctx context.Context) {
	var faults sync.WaitGroup
	defer faults.Wait()
	sleepUntil(ctx, f.beganAt)
	if f.trial.StoreDown > 0 {
		f.store.SetFaults(objects.Faults{Down: true})
		time.AfterFunc(f.trial.StoreDown, func() { f.store.SetFaults(objects.Faults{}) })
	}
	if f.trial.KillAll > 0 {
		faults.Go(func() { f.killAll(ctx) })
	}
	for f.trial.EndEvery > 0 && ctx.Err() == nil {
		sleepUntil(ctx, time.Now().Add(f.trial.EndEvery))
		for range f.trial.EndBurst {
			if p := f.upstreams.pick(rand.IntN(f.trial.Upstreams)); p != nil {
				f.upstreams.kill(p, f.trial.Back)
			}
		}
	}
}

// killAll kills all VMs some time after the crash that is enough, and starts them anew.
func (f *partFleet) killAll(ctx context.Context) {
	for ; ctx.Err() == nil; sleepUntil(ctx, time.Now().Add(20*time.Millisecond)) {
		f.mu.Lock()
		known := len(f.crashes) >= partCrashesKnown
		f.mu.Unlock()
		if known {
			break
		}
	}
	sleepUntil(ctx, time.Now().Add(f.trial.KillAll))
	for _, v := range f.vms {
		v.signal(syscall.SIGKILL)
	}
	for _, v := range f.vms {
		v.waitExit()
		_ = f.startVM(v) // its callers are refused otherwise, which the trial shows
	}
}

// report prints the results of a trial and returns whether the part reached upstreams too often, or
// sound requests were not served.
func (f *partFleet) report(args arguments) (failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	since := func(at time.Time) float64 { return at.Sub(f.beganAt).Seconds() }
	slices.SortFunc(f.crashes, func(a, b partArrival) int { return a.at.Compare(b.at) })
	for _, c := range f.crashes {
		fmt.Printf("%7.3f s: %s crashed under %s, sent by %s\n", since(c.at), c.upstream, c.id, c.sender)
	}
	enough := f.beganAt
	late := 0
	if len(f.crashes) >= partCrashesKnown {
		enough = f.crashes[partCrashesKnown-1].at
		for _, a := range f.arrivals {
			if a.at.Sub(enough) > settleTime {
				late++
				fmt.Printf("%7.3f s: late: %s at %s, sent by %s\n", since(a.at), a.id, a.upstream, a.sender)
			}
		}
	}
	sent, served := 0, 0
	for _, s := range f.sound {
		if s.at.Sub(enough) > partServedFrom {
			sent++
			if s.served {
				served++
			}
		}
	}
	fmt.Printf("parts: %d VMs, %d upstreams: %d crashed under the part, %d requests with it later than %v after crash %d (%d allowed); %d of %d sound requests served from %v after that crash on\n",
		args.VMs, f.trial.Upstreams, len(f.crashes), late, settleTime, partCrashesKnown, partLateSends, served, sent, partServedFrom)
	return late > partLateSends || float64(served) < partServedShare*float64(sent)
}
