// Command soak runs the real programs as separate processes on this machine, injects
// faults from outside them, and checks the product's promises from what callers and
// upstreams see. The seed decides every fault and its moment.
//
//	go run ./internal/soak --seed 7 --for 30s
//
// The store and the upstreams are the stand-ins of internal/standin, in this process;
// each TCP link goes through a proxy that faults are put on. The links between VMs are UDP
// and have no proxy: they fail with the processes.
package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/kong"
)

type arguments struct {
	Seed uint64        `help:"Decides every fault and its moment; 0 draws one."`
	For  time.Duration `help:"How long faults come." default:"30s"`
	VMs  int           `help:"How many VMs." name:"vms" default:"6"`
	// Callers is bounded apart: many VMs start and fail as many do with few callers.
	Callers int    `help:"How many callers in all; 0 means three for each VM." default:"0"`
	Folder  string `help:"Where logs go." default:"bench-out/soak"`
}

func main() {
	var a arguments
	parser := kong.Parse(&a, kong.Name("soak"), kong.Description("Runs real processes under faults and checks the product's promises."))
	if a.VMs < 1 || a.For <= 0 || a.Callers < 0 {
		parser.Fatalf("--vms is %d, --for is %v and --callers is %d: the first two have to be above 0, the last not below", a.VMs, a.For, a.Callers)
	}
	a.Callers = cmp.Or(a.Callers, callersEach*a.VMs)
	if a.Seed == 0 {
		a.Seed = uint64(time.Now().UnixNano()) % 1_000_000
	}
	failed, err := run(a)
	parser.FatalIfErrorf(err)
	if failed {
		fmt.Printf("logs: %s; again: go run ./internal/soak --seed %d --for %v --vms %d --callers %d\n", a.Folder, a.Seed, a.For, a.VMs, a.Callers)
		os.Exit(1)
	}
}

// callersEach is how many callers there are for each VM.
const callersEach = 3

// run plays one seed and tells whether a promise was broken.
func run(a arguments) (failed bool, err error) {
	a.Folder = filepath.Join(a.Folder, strconv.FormatUint(a.Seed, 10))
	if err := os.RemoveAll(a.Folder); err != nil {
		return false, err
	}
	if err := os.MkdirAll(a.Folder, 0o700); err != nil {
		return false, err
	}
	t := newTally()
	f, err := newFleet(a.Folder, a.VMs, a.Seed, t)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	play(ctx, f, a)
	lines, failed := t.report()
	fmt.Printf("seed %d, %v, %d VMs\n%s\n", a.Seed, a.For, a.VMs, strings.Join(lines, "\n"))
	return failed, nil
}

// play sends requests, brings about the faults, and checks what is checked at the end.
func play(ctx context.Context, f *fleet, a arguments) {
	c := &callers{fleet: f}
	calling, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	begin := func(run func(context.Context, *rand.Rand), n uint64) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			run(calling, rand.New(rand.NewPCG(a.Seed, 100+n)))
		}()
	}
	for n := range uint64(a.Callers) {
		begin(c.run, n)
	}
	begin(c.runDeadly, 1000)
	begin(c.runRevoked, 1001)
	began := time.Now()
	for _, x := range f.plan(a.Seed, a.For) {
		wait(ctx, began.Add(x.at))
		if ctx.Err() != nil {
			break
		}
		if x.at > a.For/2 && c.revoke() {
			f.tally.fault("a key is taken away")
		}
		f.tally.fault(x.name)
		x.do()
	}
	wait(ctx, time.Now().Add(longestFault+recoverIn))
	if ctx.Err() != nil { // what holds at the end cannot be checked
		f.tally.interrupt()
		stop()
		wg.Wait()
		return
	}
	ended := time.Now()
	wait(ctx, ended.Add(backFor))
	served, sent := c.servedIn(ended, time.Now()), c.sentIn(ended, time.Now())
	f.tally.check(promiseBack, served > sent/2, "all", fmt.Sprintf("%d of %d served %v after the last fault", served, sent, recoverIn))
	for _, v := range f.vms {
		f.checkSpace(v)
	}
	stop()
	wg.Wait()
	f.upstreams.checkHeld()
	f.upstreams.checkBudget(c.sentIn)
}

const (
	// longestFault is how long a fault lasts at the most, with the start of a process.
	longestFault = grace + restartAfter + time.Second
	// backFor is over how long requests are counted once all has to be well.
	backFor = 3 * time.Second
)

func wait(ctx context.Context, until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// revoke takes a key away, once, and tells whether it did.
func (c *callers) revoke() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.revokedAt.IsZero() {
		return false
	}
	c.fleet.mu.Lock()
	c.fleet.keys = []string{keyKept}
	c.fleet.mu.Unlock()
	c.fleet.configure()
	c.revokedAt = time.Now()
	return true
}

// awaitReady waits until all VMs take connections.
func (f *fleet) awaitReady() error {
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, v := range f.vms {
			if v.isReady() {
				ready++
			}
		}
		if ready == len(f.vms) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d VMs are ready after 20 s; logs: %s", ready, len(f.vms), f.folder)
		}
	}
}

// Bounds of a VM under the soak's load: several times what one holds at rest.
const (
	mostHeap       = 64 << 20
	mostGoroutines = 2000
)

var gauge = regexp.MustCompile(`(?m)^(goroutines|memory_heap_bytes) ([0-9]+)$`)

// checkSpace checks what a VM tells of its memory and goroutines.
func (f *fleet) checkSpace(v *vm) {
	client := http.Client{Timeout: 2 * time.Second}
	resp, err := client.Get("http://" + v.metrics + "/metrics")
	if err != nil {
		f.tally.check(promiseSpace, false, v.name, err.Error())
		return
	}
	defer resp.Body.Close()
	page, err := io.ReadAll(resp.Body)
	if err != nil {
		f.tally.check(promiseSpace, false, v.name, err.Error())
		return
	}
	most := map[string]int{"goroutines": mostGoroutines, "memory_heap_bytes": mostHeap}
	for _, m := range gauge.FindAllStringSubmatch(string(page), -1) {
		n, _ := strconv.Atoi(m[2]) // digits by the pattern
		f.tally.check(promiseSpace, n <= most[m[1]], v.name, fmt.Sprintf("%s is %d", m[1], n))
	}
}
