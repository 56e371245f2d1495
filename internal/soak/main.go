// Command soak runs the real programs as separate processes on this machine, injects faults from
// outside them, and checks the product's guarantees from what callers and upstreams observe. The
// seed determines every fault and its time.
//
//	go run ./internal/soak --seed 7 --for 30s
//	go run ./internal/soak --brittle-run --vms 30 --brittle-per-second 400
//	go run ./internal/soak --release-run --release-kind slow --vms 30
//	go run ./internal/soak --entry-run --entry-scope region --vms 60
//	go run ./internal/soak --part-run --vms 7
//
// The store and the upstreams are the stand-ins of internal/standin and run in this process. Each
// TCP link goes through a proxy that can inject faults. Links between VMs use UDP and have no
// proxy: they fail only when a VM process fails.
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
	// Callers is independent of VMs, so that a run can start
	// and fail many VMs under the load of few callers.
	Callers int    `help:"How many callers in all; 0 means three for each VM." default:"0"`
	Folder  string `help:"Where logs go." default:"bench-out/soak"`

	Brittle brittleTrial `embed:"" prefix:"brittle-" group:"A trial with brittle upstreams"`
	Release releaseTrial `embed:"" prefix:"release-" group:"A trial with a rollout"`
	Part    partTrial    `embed:"" prefix:"part-" group:"A trial with a crashing part of prompts"`
	Entry   entryTrial   `embed:"" prefix:"entry-" group:"A trial with most new connections at a few VMs"`
}

func main() {
	var args arguments
	parser := kong.Parse(&args, kong.Name("soak"), kong.Description("Runs the real programs under injected faults and checks the product's guarantees."))
	if args.VMs < 1 || args.For <= 0 || args.Callers < 0 {
		parser.Fatalf("--vms is %d, --for is %v and --callers is %d: the first two must be positive, the last must not be negative", args.VMs, args.For, args.Callers)
	}
	args.Callers = cmp.Or(args.Callers, callersPerVM*args.VMs)
	if args.Seed == 0 {
		args.Seed = uint64(time.Now().UnixNano()) % 1_000_000
	}
	failed, err := run(args)
	parser.FatalIfErrorf(err)
	if failed {
		fmt.Printf("logs: %s; to repeat: go run ./internal/soak --seed %d --for %v --vms %d --callers %d\n", args.Folder, args.Seed, args.For, args.VMs, args.Callers)
		os.Exit(1)
	}
}

// callersPerVM is the default number of callers for each VM.
const callersPerVM = 3

// run executes the soak for one seed and returns whether a guarantee was violated.
func run(args arguments) (failed bool, err error) {
	args.Folder = filepath.Join(args.Folder, strconv.FormatUint(args.Seed, 10))
	if err := os.RemoveAll(args.Folder); err != nil {
		return false, err
	}
	if err := os.MkdirAll(args.Folder, 0o700); err != nil {
		return false, err
	}
	switch {
	case args.Brittle.Run:
		return runBrittle(args)
	case args.Release.Run:
		return runRelease(args)
	case args.Entry.Run:
		return runEntry(args)
	case args.Part.Run:
		return runParts(args)
	}
	rec := newRecorder()
	f, err := newFleet(args, rec)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return false, err
	}
	if err := f.waitReady(); err != nil {
		return false, err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	runScenario(ctx, f, args)
	lines, failed := rec.report()
	fmt.Printf("seed %d, %v, %d VMs\n%s\n", args.Seed, args.For, args.VMs, strings.Join(lines, "\n"))
	return failed, nil
}

// runScenario sends requests, injects the planned faults, and checks the guarantees that can only
// be checked at the end of a run.
func runScenario(ctx context.Context, f *fleet, args arguments) {
	clients := &callers{fleet: f}
	callContext, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	start := func(run func(context.Context, *rand.Rand), n uint64) {
		running.Add(1)
		go func() {
			defer running.Done()
			run(callContext, rand.New(rand.NewPCG(args.Seed, 100+n)))
		}()
	}
	for n := range uint64(args.Callers) {
		start(clients.runNormal, n)
	}
	start(clients.runPoison, 1000)
	start(clients.runPoisonParts, 1003)
	start(clients.runRevokedKey, 1001)
	start(clients.runVersionProbe, 1002)
	start(clients.runMisbehaving, 1004)
	go f.watchMemory(callContext)
	go f.backups.run(ctx, f.store) // until the process ends
	startedAt := time.Now()
	for _, planned := range f.plan(args.Seed, args.For) {
		sleepUntil(ctx, startedAt.Add(planned.after))
		if ctx.Err() != nil {
			break
		}
		if planned.after > args.For/2 && clients.revokeKey() {
			f.recorder.recordFault("a key is revoked")
		}
		f.recorder.recordFault(planned.name)
		planned.inject()
	}
	sleepUntil(ctx, time.Now().Add(maxFaultDuration+recoveryTime))
	if ctx.Err() != nil { // interrupted: the checks at the end are not meaningful
		f.recorder.markInterrupted()
		stop()
		running.Wait()
		return
	}
	faultsEndedAt := time.Now()
	sleepUntil(ctx, faultsEndedAt.Add(recoverySampleTime))
	served, sent := clients.countServed(faultsEndedAt, time.Now()), clients.countSent(faultsEndedAt, time.Now())
	f.recorder.check(guaranteeRecovery, served > sent/2, "all", fmt.Sprintf("%d of %d requests were served, counted from %v after the last fault", served, sent, recoveryTime))
	for _, v := range f.vms {
		f.checkResources(v)
	}
	stop()
	running.Wait()
	f.upstreams.checkQuarantine()
	f.upstreams.checkPartQuarantine()
	f.upstreams.checkRetryBudget(clients.countSent)
}

const (
	// maxFaultDuration is the longest time that a fault lasts, including the restart of a process.
	maxFaultDuration = gracePeriod + restartDelay + time.Second
	// recoverySampleTime is how long requests are counted after the recovery time has passed.
	recoverySampleTime = 3 * time.Second
)

func sleepUntil(ctx context.Context, until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// revokeKey removes keyRevoked from the configuration the first time it is called,
// and returns whether it did.
func (c *callers) revokeKey() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.revokedAt.IsZero() {
		return false
	}
	c.fleet.mu.Lock()
	c.fleet.workspaceKeys = []string{keyKept}
	c.fleet.mu.Unlock()
	c.fleet.writeConfiguration()
	c.revokedAt = time.Now()
	return true
}

// waitReady waits until every VM accepts connections.
func (f *fleet) waitReady() error {
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

// Limits for one VM under the soak's load, several times what an idle VM uses.
const (
	maxHeapBytes  = 64 << 20
	maxGoroutines = 2000
)

var gaugePattern = regexp.MustCompile(`(?m)^(goroutines|memory_heap_bytes) ([0-9]+)$`)

// checkResources checks the heap size and goroutine count that a VM reports in its metrics.
func (f *fleet) checkResources(v *vm) {
	client := http.Client{Timeout: 2 * time.Second}
	resp, err := client.Get("http://" + v.metricsAddress + "/metrics")
	if err != nil {
		f.recorder.check(guaranteeResources, false, v.name, err.Error())
		return
	}
	defer resp.Body.Close()
	metrics, err := io.ReadAll(resp.Body)
	if err != nil {
		f.recorder.check(guaranteeResources, false, v.name, err.Error())
		return
	}
	limits := map[string]int{"goroutines": maxGoroutines, "memory_heap_bytes": maxHeapBytes}
	for _, match := range gaugePattern.FindAllStringSubmatch(string(metrics), -1) {
		value, _ := strconv.Atoi(match[2]) // cannot fail: the pattern matches digits only
		f.recorder.check(guaranteeResources, value <= limits[match[1]], v.name, fmt.Sprintf("%s is %d", match[1], value))
	}
}
