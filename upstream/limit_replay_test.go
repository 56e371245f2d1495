package upstream

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/contract"
)

// limitVM is one VM of a limitFleet, between two restarts.
type limitVM struct {
	id      contract.VMID
	dc      contract.DataCentreID
	table   *Table
	started time.Time
}

// limitFleet simulates requests to plain upstreams, some of which state a rate limit for a while.
// VMs exchange limits as in production: changes are reported immediately, but some reports are
// lost, late or duplicated, and every half second a VM compares its limits with those of another
// VM.
type limitFleet struct {
	limitLoad
	vms     []*limitVM
	entries []Entry
	now     time.Time
	random  *rand.Rand
	events  replayEvents
	// upstreamLimit is the rate limit that the limited upstreams state. arrivals holds when
	// requests arrived at each of them.
	upstreamLimit RateLimit
	arrivals      map[contract.UpstreamID][]time.Time
	sent, refused int
}

// limitLoad is the size and load of a limitFleet.
type limitLoad struct {
	vms, centres, upstreams, limited int
	perSecond                        float64
	// rate is the requests per second of all VMs; lossRate and duplicateRate are the
	// fractions of the reports between VMs that are lost and duplicated.
	rate, lossRate, duplicateRate float64
	// restartInterval is the time between two restarts of a VM; zero means no restarts.
	restartInterval time.Duration
}

const (
	limitServiceTime  = 30 * time.Millisecond
	limitSyncInterval = 500 * time.Millisecond
	limitSettleTime   = 4 * time.Second
	limitSlots        = 50
)

func newLimitFleet(l limitLoad, seed uint64) *limitFleet {
	f := &limitFleet{
		limitLoad: l, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 7)), upstreamLimit: noLimit, arrivals: make(map[contract.UpstreamID][]time.Time),
	}
	for n := range l.upstreams {
		e := listEntry(fmt.Sprintf("u%03d", n), fmt.Sprint("d", n%l.centres), 1)
		e.Slots = limitSlots
		f.entries = append(f.entries, e)
	}
	for n := range l.vms {
		f.vms = append(f.vms, &limitVM{id: contract.VMID(fmt.Sprintf("vm%03d", n)), dc: contract.DataCentreID(fmt.Sprint("d", n%l.centres))})
	}
	for _, v := range f.vms {
		f.start(v, f.now.Add(-time.Minute))
		f.schedule(time.Duration(f.random.Int64N(int64(limitSyncInterval))), func() { f.sync(v) })
	}
	return f
}

// start starts or restarts a VM, which knows only the upstream list afterwards.
func (f *limitFleet) start(v *limitVM, at time.Time) {
	v.started = at
	v.table = NewTable(Options{Listed: true})
	applyList(v.table, f.now, f.entries...)
	f.updateOwners(v)
}

func (f *limitFleet) updateOwners(v *limitVM) {
	o := Owners{Self: v.id, Incomplete: f.now.Sub(v.started) < limitSettleTime}
	for _, other := range f.vms {
		if other.dc == v.dc {
			o.VMs = append(o.VMs, other.id)
		}
	}
	v.table.SetOwners(v.dc, o)
}

func (f *limitFleet) schedule(d time.Duration, do func()) {
	heap.Push(&f.events, replayEvent{f.now.Add(d), do})
}

// sync lets a VM compare its limits with those of a random other VM, as the
// periodic status messages between VMs do.
func (f *limitFleet) sync(v *limitVM) {
	f.updateOwners(v)
	other := f.vms[f.random.IntN(len(f.vms))]
	if f.random.IntN(5) > 0 {
		for other.dc != v.dc {
			other = f.vms[f.random.IntN(len(f.vms))]
		}
	}
	if v.table.LimitsDigest() != other.table.LimitsDigest() {
		for _, k := range other.table.Limits(100, f.now) {
			v.table.MergeLimit(k, false, f.now)
		}
		for _, k := range v.table.Limits(100, f.now) {
			other.table.MergeLimit(k, false, f.now)
		}
	}
	f.schedule(limitSyncInterval, func() { f.sync(v) })
}

// report sends a change of a limit that a VM has learned to other VMs.
func (f *limitFleet) report(from *limitVM, n LimitChange) {
	for _, other := range f.vms {
		if other == from || !n.ReportRemote && other.dc != from.dc || f.random.Float64() < f.lossRate {
			continue
		}
		times := 1
		if f.random.Float64() < f.duplicateRate {
			times = 2
		}
		for range times {
			f.schedule(time.Duration(5+f.random.IntN(200))*time.Millisecond, func() { other.table.MergeLimit(n.Update, true, f.now) })
		}
	}
}

// limitedEntries returns the upstreams that state a rate limit.
func (f *limitFleet) limitedEntries() []Entry { return f.entries[:f.limited] }

// send lets a VM send a request, or refuse it if no upstream accepts it.
func (f *limitFleet) send(v *limitVM) {
	f.sent++
	q := engineQuery
	q.DataCentre = v.dc
	id, err := v.table.Pick(q, f.now, f.random)
	if err != nil {
		f.refused++
		return
	}
	tb, sent := v.table, f.now
	tb.RecordSent(id)
	f.arrivals[id] = append(f.arrivals[id], f.now)
	stated := noLimit
	if slices.ContainsFunc(f.limitedEntries(), func(e Entry) bool { return e.ID == id }) {
		stated = f.upstreamLimit
	}
	f.schedule(limitServiceTime, func() {
		tb.RecordDone(id, Succeeded, limitServiceTime, f.now)
		if n := tb.ApplyLimitAnswer(tb.Instance(id), stated, sent, f.now); n.Report && v.table == tb {
			f.report(v, n)
		}
	})
}

// play runs the simulation for the duration d.
func (f *limitFleet) play(d time.Duration) {
	end, restart := f.now.Add(d), f.now.Add(f.restartInterval)
	for f.now.Before(end) {
		f.now = f.now.Add(time.Duration(f.random.ExpFloat64() / f.rate * float64(time.Second)))
		for f.events.Len() > 0 && !f.events[0].at.After(f.now) {
			heap.Pop(&f.events).(replayEvent).do()
		}
		if f.restartInterval > 0 && f.now.After(restart) {
			restart = restart.Add(f.restartInterval)
			f.start(f.vms[f.random.IntN(len(f.vms))], f.now)
		}
		f.send(f.vms[f.random.IntN(len(f.vms))])
	}
}

// maxInWindow returns the maximum number of requests at any limited upstream within
// toleranceWindow, counted from the time from on.
func (f *limitFleet) maxInWindow(from time.Time) int {
	most := 0
	for _, e := range f.limitedEntries() {
		times := f.arrivals[e.ID]
		for i, at := range times {
			if at.Before(from) {
				continue
			}
			n, _ := slices.BinarySearchFunc(times[i:], at.Add(toleranceWindow), time.Time.Compare)
			most = max(most, n)
		}
	}
	return most
}

func (f *limitFleet) countBetween(from, to time.Time) int {
	n := 0
	for _, e := range f.limitedEntries() {
		for _, at := range f.arrivals[e.ID] {
			if !at.Before(from) && at.Before(to) {
				n++
			}
		}
	}
	return n
}

// limitPropagation is the time after the first answer with a limit from which the limit must hold
// at all VMs.
const limitPropagation = 3 * time.Second

// TestLimitHoldsAcrossVMs simulates VMs and upstreams of which a few state a rate limit. The
// requests of all VMs to a limited upstream, whether or not a VM knows the limit, must stay
// within one and a half times the limit plus five in any 4 s. All requests must be served, and
// one second after the limit is lifted, the upstreams must have at least half of their usual
// share again. Reports between VMs are lost, delayed and duplicated at random, and random VMs
// restart.
func TestLimitHoldsAcrossVMs(t *testing.T) {
	for _, size := range []limitLoad{
		{vms: 6, centres: 3, upstreams: 9, limited: 3, rate: 160},
		{vms: 61, centres: 3, upstreams: 24, limited: 4, rate: 300},
		{vms: 295, centres: 5, upstreams: 60, limited: 10, rate: 1200},
	} {
		for k, perSecond := range []float64{0, 0.4, 1, 1.6, 2, 8} {
			l := size
			l.perSecond = perSecond
			l.lossRate, l.duplicateRate = float64(k%3)*0.15, 0.2
			if k%2 == 1 {
				l.restartInterval = time.Second
			}
			t.Run(fmt.Sprintf("%d VMs, %g per second", l.vms, perSecond), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := newLimitFleet(l, uint64(k+1))
				start := f.now
				f.play(3 * time.Second)
				usualRate := float64(f.countBetween(start, f.now)) / 3
				f.upstreamLimit = statedLimit(perSecond)
				limitedAt := f.now
				f.play(14 * time.Second)
				peak, allowed := f.maxInWindow(limitedAt.Add(limitPropagation)), toleranceFactor*perSecond*toleranceWindow.Seconds()+toleranceExtra
				liftedAt := f.now
				f.upstreamLimit = noLimit
				f.play(2500 * time.Millisecond)
				rateAfterLift := float64(f.countBetween(liftedAt.Add(1500*time.Millisecond), f.now))
				t.Logf("at most %d in 4 s, %.1f allowed; %.1f per second before, %.1f after; %d of %d refused", peak, allowed, usualRate, rateAfterLift, f.refused, f.sent)
				is.True(float64(peak) <= allowed)
				is.Equal(f.refused, 0)
				is.True(rateAfterLift >= usualRate/2)
			})
		}
	}
}

// TestLimitedCapacityIsUsed offers twice the load that all upstreams together accept: at least
// nine tenths of their limits must be used, and never more than the tolerance.
func TestLimitedCapacityIsUsed(t *testing.T) {
	for _, l := range []limitLoad{
		{vms: 6, centres: 3, upstreams: 9, limited: 9, rate: 144, perSecond: 8},
		{vms: 61, centres: 3, upstreams: 24, limited: 24, rate: 384, perSecond: 8},
		{vms: 295, centres: 5, upstreams: 60, limited: 60, rate: 2400, perSecond: 20},
	} {
		t.Run(fmt.Sprint(l.vms, " VMs"), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newLimitFleet(l, 1)
			f.upstreamLimit = statedLimit(l.perSecond)
			limitedAt := f.now
			f.play(13 * time.Second)
			from := limitedAt.Add(limitPropagation)
			used := float64(f.countBetween(from, f.now)) / (l.perSecond * float64(l.limited) * f.now.Sub(from).Seconds())
			t.Logf("%.2f of the limits used, at most %d in 4 s", used, f.maxInWindow(from))
			is.True(float64(f.maxInWindow(from)) <= toleranceFactor*l.perSecond*toleranceWindow.Seconds()+toleranceExtra)
			is.True(used >= 0.9)
		})
	}
}

// TestNonOwnersProbeLimitedUpstream lets only VMs that do not own a limited upstream have
// callers. These VMs must send it probe requests from time to time, so that they learn when its
// limit is lifted.
func TestNonOwnersProbeLimitedUpstream(t *testing.T) {
	for name, callers := range map[string]contract.DataCentreID{"another VM of the data centre": "d0", "a VM of another data centre": "d1"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newLimitFleet(limitLoad{vms: 6, centres: 3, upstreams: 3, limited: 1, rate: 50, perSecond: 1}, 1)
			f.upstreamLimit = statedLimit(1)
			instance := f.entries[0].Instance()
			all := f.vms
			for _, v := range all {
				v.table.ApplyLimitAnswer(instance, f.upstreamLimit, f.now, f.now)
			}
			f.upstreamLimit = noLimit
			var activeVMs []*limitVM
			for _, v := range all {
				if v.dc == callers && (callers == "d1" || v.table.ownerRank(v.table.states["u000"]) > 0) {
					activeVMs = append(activeVMs, v)
				}
			}
			is.True(len(activeVMs) > 0)
			for end := f.now.Add(remoteProbeDelay + 20*probeStagger); f.now.Before(end); f.now = f.now.Add(100 * time.Millisecond) {
				for f.events.Len() > 0 && !f.events[0].at.After(f.now) {
					heap.Pop(&f.events).(replayEvent).do()
				}
				f.send(activeVMs[f.random.IntN(len(activeVMs))])
			}
			is.True(!activeVMs[0].table.HasLimit(instance))
		})
	}
}

// BenchmarkLimits measures the cost of 200 limited upstreams out of 3,000 for a VM: the digest
// sent with each status message, merging one limit, and a pick among 100 local upstreams of which
// 7 are limited.
func BenchmarkLimits(b *testing.B) {
	now := time.Unix(1000, 0)
	tb := NewTable(Options{Listed: true})
	var entries []Entry
	for n := range 3000 {
		entries = append(entries, listEntry(fmt.Sprintf("i-%08d", n), fmt.Sprint("d", n%30), 1))
	}
	applyList(tb, now, entries...)
	tb.SetOwners("d0", Owners{Self: "vm0", VMs: []contract.VMID{"vm0", "vm1"}})
	choose := func(b *testing.B) {
		q, draw := engineQuery, rand.New(rand.NewPCG(1, 1))
		q.DataCentre = "d0"
		for b.Loop() {
			if _, err := tb.Pick(q, now, draw); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.Run("pick, none limited", choose)
	for _, e := range entries[:200] {
		tb.ApplyLimitAnswer(e.Instance(), statedLimit(8), now, now)
	}
	b.Run("pick", choose)
	b.Run("digest", func(b *testing.B) {
		for b.Loop() {
			tb.LimitsDigest()
		}
	})
	b.Run("merge", func(b *testing.B) {
		k := LimitUpdate{Instance: entries[0].Instance(), Limit: statedLimit(8), Version: 1}
		for b.Loop() {
			tb.MergeLimit(k, true, now)
		}
	})
}
