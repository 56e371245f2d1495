package leader

import (
	"context"
	"errors"
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"woaddoor/clock"
	"woaddoor/contract"
	"woaddoor/lease"
	"woaddoor/usage"
)

// memoryStore is a lease store in memory.
type memoryStore struct{ object lease.VersionedObject }

// Read returns the object, or ErrNotFound.
func (m *memoryStore) Read(context.Context) (lease.VersionedObject, error) {
	if m.object.Version == 0 {
		return lease.VersionedObject{}, ErrNotFound
	}
	return m.object, nil
}

// Write replaces the object if the proposal has its version.
func (m *memoryStore) Write(_ context.Context, p lease.Proposal) (lease.VersionedObject, error) {
	if p.Version != m.object.Version {
		return m.object, ErrConflict
	}
	m.object = lease.VersionedObject{Object: p.Object, Version: m.object.Version + 1}
	return m.object, nil
}

// fakeUsageAPI accepts reports. If noReply is set, it accepts them but returns an error.
type fakeUsageAPI struct {
	t           *testing.T
	noReply     bool
	err         error
	reported    map[usage.Window]usage.Counts
	lastFencing contract.FencingToken
	calls       int
}

// Report accepts a report, and checks that fencing tokens never fall and that all reports of a
// window have the same counts.
func (a *fakeUsageAPI) Report(_ context.Context, n contract.FencingToken, f usage.ClosedWindow) error {
	a.calls++
	if n < a.lastFencing {
		a.t.Errorf("fencing token %d came after %d", n, a.lastFencing)
	}
	a.lastFencing = n
	if earlier, ok := a.reported[f.Window]; ok && !maps.Equal(earlier, f.Counts) {
		a.t.Errorf("window %d was reported as %v and as %v", f.Window, earlier, f.Counts)
	}
	a.reported[f.Window] = f.Counts
	if a.noReply {
		return errors.New("no reply")
	}
	return a.err
}

// Settings of the VMs under test.
const testLease = 3 * time.Second

var testRules = usage.Rules{Window: 5 * time.Second, ReportDeadline: 10 * time.Second}

// simulation is VMs that share a store and a platform, in simulated time.
type simulation struct {
	clock    *clock.Fake
	store    *memoryStore
	platform *fakeUsageAPI
}

// newSimulation returns a simulation that starts at the start of window 1000.
func newSimulation(t *testing.T) *simulation {
	start := testRules.Window // the clock starts at the start of a window
	return &simulation{clock.NewFake(time.Unix(0, int64(1000*start))), &memoryStore{}, &fakeUsageAPI{t: t, reported: make(map[usage.Window]usage.Counts)}}
}

// testVM is one simulated VM.
type testVM struct {
	simulation *simulation
	ledger     *UsageLedger
	client     *LeaseClient
	leader     *Leader
}

// newVM returns a VM that does not hold the lease.
func (s *simulation) newVM(name contract.VMID) *testVM {
	vm := &testVM{simulation: s}
	vm.client = NewLeaseClient(&LeaseClientOptions{
		Options: lease.Options{Self: contract.VMInstance{VM: name, Incarnation: 1}, Duration: testLease},
		Store:   s.store, Clock: s.clock, Timeout: time.Second,
	})
	vm.ledger = NewUsageLedger(&UsageLedgerOptions{Self: contract.VMInstance{VM: name}, Rules: testRules, Now: s.clock.Now})
	registry := metrics.NewRegistry()
	reports := NewUsageReporter(&UsageReporterOptions{
		Lease: vm.client, Ledger: vm.ledger, Rules: testRules, API: s.platform, Now: s.clock.Now, Log: zap.NewNop(), Registry: registry,
	})
	vm.leader = New(&Options{
		Lease: vm.client, TakeoverDelay: func() (time.Duration, bool) { return 0, true }, OnChange: func() {},
		Tasks: []Task{reports}, Log: zap.NewNop(), Registry: registry,
	})
	return vm
}

// run advances the clock by d and ticks the given VMs meanwhile.
func (s *simulation) run(d time.Duration, vms ...*testVM) {
	for range d / tickInterval {
		s.clock.Advance(tickInterval)
		for _, vm := range vms {
			vm.leader.tick(context.Background())
		}
	}
}

// TestSuccessorReportsRecordedCounts stops a VM after it has reported a window and got no reply. The
// next lease holder knows of more requests in that window, but must report the same counts again.
func TestSuccessorReportsRecordedCounts(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t)
	a, b := sim.newVM("a"), sim.newVM("b")
	for range 3 {
		a.ledger.CountRequest("w", sim.clock.Now())
	}
	for range 5 {
		b.ledger.CountRequest("w", sim.clock.Now())
	}
	sim.platform.noReply = true
	sim.run(8*time.Second, a)
	is.Equal(sim.platform.reported[1000], usage.Counts{"w": 3})
	sim.platform.noReply = false
	sim.run(8*time.Second, b)
	is.True(sim.platform.calls >= 2)
	is.Equal(sim.platform.reported[1000], usage.Counts{"w": 3})
}

// TestWindowIsReportedOnce checks that a VM reports two windows with one call each.
func TestWindowIsReportedOnce(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t)
	a := sim.newVM("a")
	a.ledger.CountRequest("w", sim.clock.Now())
	sim.run(testRules.Window, a)
	a.ledger.CountRequest("w", sim.clock.Now())
	sim.run(12*time.Second, a)
	is.Equal(sim.platform.calls, 2)
	is.Equal(sim.platform.reported, map[usage.Window]usage.Counts{1000: {"w": 1}, 1001: {"w": 1}})
	is.Equal(len(a.usageRecord(t).Unreported), 0) // a later lease holder repeats nothing
}

// usageRecord returns the stored usage record as the VM knows it.
func (vm *testVM) usageRecord(t *testing.T) usage.Record {
	t.Helper()
	record, err := storedRecord(vm.client)
	is.New(t).NoErr(err)
	return record.Usage
}

// TestRefusedReportIsNotRetried checks that a window whose report is refused is given up.
func TestRefusedReportIsNotRetried(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t)
	sim.platform.err = &RefusedError{errors.New("status 400")}
	a := sim.newVM("a")
	a.ledger.CountRequest("w", sim.clock.Now())
	sim.run(20*time.Second, a)
	is.Equal(sim.platform.calls, 1)
}

// TestSilentCollectorDelaysWindow checks that a window is not closed while a collector is
// silent, but is closed before its deadline passes.
func TestSilentCollectorDelaysWindow(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t)
	a := sim.newVM("a")
	sim.run(2*time.Second, a)
	a.ledger.CountRequest("w", sim.clock.Now())
	a.ledger.CollectorReported(contract.VMInstance{VM: "hub"}, "other", false)
	sim.run(6*time.Second, a) // until 3 s after the end of the window
	is.Equal(sim.platform.calls, 0)
	a.ledger.Merge([]usage.Part{{Source: contract.VMInstance{VM: "hub"}, Window: 1000, Counts: usage.Counts{"w": 2}}})
	a.ledger.CollectorReported(contract.VMInstance{VM: "hub"}, "other", false)
	sim.run(time.Second, a)
	is.Equal(sim.platform.reported[1000], usage.Counts{"w": 3})

	a.ledger.CountRequest("w", sim.clock.Now())
	sim.run(testRules.ReportDeadline, a)
	is.Equal(sim.platform.reported[1001], usage.Counts{"w": 1})
}
