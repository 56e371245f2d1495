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

// memory is a store of one lease.
type memory struct{ seen lease.Seen }

func (m *memory) Read(context.Context) (lease.Seen, error) {
	if m.seen.Version == 0 {
		return lease.Seen{}, ErrGone
	}
	return m.seen, nil
}

func (m *memory) Write(_ context.Context, p lease.Proposal) (lease.Seen, error) {
	if p.Version != m.seen.Version {
		return m.seen, ErrTaken
	}
	m.seen = lease.Seen{Object: p.Object, Version: m.seen.Version + 1}
	return m.seen, nil
}

// platform takes reports, and gives no answer while it is deaf.
type platform struct {
	t    *testing.T
	deaf bool
	err  error
	got  map[usage.Window]usage.Counts
	last contract.FencingNumber
	came int
}

func (p *platform) Report(_ context.Context, n contract.FencingNumber, f usage.Fixed) error {
	p.came++
	if n < p.last {
		p.t.Errorf("number %d came after %d", n, p.last)
	}
	p.last = n
	if had, ok := p.got[f.Window]; ok && !maps.Equal(had, f.Counts) {
		p.t.Errorf("window %d was reported as %v and as %v", f.Window, had, f.Counts)
	}
	p.got[f.Window] = f.Counts
	if p.deaf {
		return errors.New("no answer")
	}
	return p.err
}

// Terms of the VMs under test.
const testLease = 3 * time.Second

var testTerms = usage.Terms{Window: 5 * time.Second, Late: 10 * time.Second}

// office is VMs before one store and platform, in simulated time.
type office struct {
	clock    *clock.Fake
	store    *memory
	platform *platform
}

func newOffice(t *testing.T) *office {
	start := testTerms.Window // the start of a window
	return &office{clock.NewFake(time.Unix(0, int64(1000*start))), &memory{}, &platform{t: t, got: make(map[usage.Window]usage.Counts)}}
}

// member is one VM.
type member struct {
	office *office
	book   *Book
	keeper *Keeper
	leader *Leader
}

func (o *office) member(name contract.VMID) *member {
	m := &member{office: o}
	m.keeper = NewKeeper(&KeeperOptions{
		Options: lease.Options{Self: contract.VMLife{VM: name, Incarnation: 1}, Length: testLease},
		Store:   o.store, Clock: o.clock, Timeout: time.Second,
	})
	m.book = NewBook(&BookOptions{Self: contract.VMLife{VM: name}, Terms: testTerms, Now: o.clock.Now})
	registry := metrics.NewRegistry()
	reports := NewReports(&ReportsOptions{
		Keeper: m.keeper, Book: m.book, Terms: testTerms, Reporter: o.platform, Now: o.clock.Now, Log: zap.NewNop(), Registry: registry,
	})
	m.leader = New(&Options{
		Keeper: m.keeper, Turn: func() (time.Duration, bool) { return 0, true }, Changed: func() {},
		Acts: []Act{reports}, Log: zap.NewNop(), Registry: registry,
	})
	return m
}

// run lets time pass for some VMs.
func (o *office) run(d time.Duration, members ...*member) {
	for range d / lookEvery {
		o.clock.Advance(lookEvery)
		for _, m := range members {
			m.leader.look(context.Background())
		}
	}
}

// TestSuccessorRepeatsWhatWasFixed ends a VM after it has reported a window and got no answer.
// The next one has heard of more requests since: it may not report other counts.
func TestSuccessorRepeatsWhatWasFixed(t *testing.T) {
	is := is.New(t)
	o := newOffice(t)
	a, b := o.member("a"), o.member("b")
	for range 3 {
		a.book.Began("w", o.clock.Now())
	}
	for range 5 {
		b.book.Began("w", o.clock.Now())
	}
	o.platform.deaf = true
	o.run(8*time.Second, a)
	is.Equal(o.platform.got[1000], usage.Counts{"w": 3})
	o.platform.deaf = false
	o.run(8*time.Second, b)
	is.True(o.platform.came >= 2)
	is.Equal(o.platform.got[1000], usage.Counts{"w": 3})
}

// TestReportedOnce has a VM report two windows, each with one call.
func TestReportedOnce(t *testing.T) {
	is := is.New(t)
	o := newOffice(t)
	a := o.member("a")
	a.book.Began("w", o.clock.Now())
	o.run(testTerms.Window, a)
	a.book.Began("w", o.clock.Now())
	o.run(12*time.Second, a)
	is.Equal(o.platform.came, 2)
	is.Equal(o.platform.got, map[usage.Window]usage.Counts{1000: {"w": 1}, 1001: {"w": 1}})
	is.Equal(len(a.keeperRecord(t).Fixed), 0) // whoever comes after repeats nothing
}

func (m *member) keeperRecord(t *testing.T) usage.Record {
	t.Helper()
	record, err := inForce(m.keeper)
	is.New(t).NoErr(err)
	return record.Usage
}

// TestRefusedOnce has the platform turn a report down: the window is given up.
func TestRefusedOnce(t *testing.T) {
	is := is.New(t)
	o := newOffice(t)
	o.platform.err = &RefusedError{errors.New("status 400")}
	a := o.member("a")
	a.book.Began("w", o.clock.Now())
	o.run(20*time.Second, a)
	is.Equal(o.platform.came, 1)
}

// TestSilentTellerIsAwaited has a VM that gathers fall silent: its window waits for it, and not
// until it is too late.
func TestSilentTellerIsAwaited(t *testing.T) {
	is := is.New(t)
	o := newOffice(t)
	a := o.member("a")
	o.run(2*time.Second, a)
	a.book.Began("w", o.clock.Now())
	a.book.Gathered(contract.VMLife{VM: "hub"}, "other", false)
	o.run(6*time.Second, a) // 3 s after the end of the window
	is.Equal(o.platform.came, 0)
	a.book.Hear([]usage.Part{{Life: contract.VMLife{VM: "hub"}, Window: 1000, Counts: usage.Counts{"w": 2}}})
	a.book.Gathered(contract.VMLife{VM: "hub"}, "other", false)
	o.run(time.Second, a)
	is.Equal(o.platform.got[1000], usage.Counts{"w": 3})

	a.book.Began("w", o.clock.Now())
	o.run(testTerms.Late, a)
	is.Equal(o.platform.got[1001], usage.Counts{"w": 1})
}
