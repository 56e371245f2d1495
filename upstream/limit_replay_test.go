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

// limitVM is one VM of a limitFleet, in one life.
type limitVM struct {
	id      contract.VMID
	dc      contract.DataCentreID
	table   *Table
	started time.Time
}

// limitFleet plays requests to plain upstreams, some of which name a limit for a while. VMs
// tell each other as the product does: at once, some of it lost, late or twice, and each half
// second one asks another whether they know the same.
type limitFleet struct {
	limitLoad
	vms     []*limitVM
	entries []Entry
	now     time.Time
	random  *rand.Rand
	events  replayEvents
	// named is what the limited upstreams name, and came when requests came to each.
	named         Limit
	came          map[contract.UpstreamID][]time.Time
	sent, refused int
}

// limitLoad is what a limitFleet plays.
type limitLoad struct {
	vms, centres, upstreams, limited int
	perSecond                        float64
	// rate is requests a second of all VMs; lost and twice are parts of the news.
	rate, lost, twice float64
	// every is the time between two VMs that start anew; zero for none.
	every time.Duration
}

const (
	limitTakes  = 30 * time.Millisecond
	limitSyncs  = 500 * time.Millisecond
	limitSettle = 4 * time.Second
	limitSlots  = 50
)

func newLimitFleet(l limitLoad, seed uint64) *limitFleet {
	f := &limitFleet{
		limitLoad: l, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 7)), named: noLimit, came: make(map[contract.UpstreamID][]time.Time),
	}
	for n := range l.upstreams {
		e := saidEntry(fmt.Sprintf("u%03d", n), fmt.Sprint("d", n%l.centres), 1)
		e.Slots = limitSlots
		f.entries = append(f.entries, e)
	}
	for n := range l.vms {
		f.vms = append(f.vms, &limitVM{id: contract.VMID(fmt.Sprintf("vm%03d", n)), dc: contract.DataCentreID(fmt.Sprint("d", n%l.centres))})
	}
	for _, v := range f.vms {
		f.start(v, f.now.Add(-time.Minute))
		f.later(time.Duration(f.random.Int64N(int64(limitSyncs))), func() { f.sync(v) })
	}
	return f
}

// start begins a life of a VM that knows nothing but the list.
func (f *limitFleet) start(v *limitVM, at time.Time) {
	v.started = at
	v.table = NewTable(Options{Listed: true})
	saidList(v.table, f.now, f.entries...)
	f.owners(v)
}

func (f *limitFleet) owners(v *limitVM) {
	o := Owners{Self: v.id, Unsure: f.now.Sub(v.started) < limitSettle}
	for _, other := range f.vms {
		if other.dc == v.dc {
			o.VMs = append(o.VMs, other.id)
		}
	}
	v.table.SetOwners(v.dc, o)
}

func (f *limitFleet) later(d time.Duration, do func()) {
	heap.Push(&f.events, replayEvent{f.now.Add(d), do})
}

// sync has a VM ask another whether they know the same limits, as words do.
func (f *limitFleet) sync(v *limitVM) {
	f.owners(v)
	other := f.vms[f.random.IntN(len(f.vms))]
	if f.random.IntN(5) > 0 {
		for other.dc != v.dc {
			other = f.vms[f.random.IntN(len(f.vms))]
		}
	}
	if v.table.LimitsDigest() != other.table.LimitsDigest() {
		for _, k := range other.table.Limits(100) {
			v.table.HearLimit(k, false, f.now)
		}
		for _, k := range v.table.Limits(100) {
			other.table.HearLimit(k, false, f.now)
		}
	}
	f.later(limitSyncs, func() { f.sync(v) })
}

// tell tells other VMs what a VM knows.
func (f *limitFleet) tell(from *limitVM, n LimitNews) {
	for _, other := range f.vms {
		if other == from || !n.Far && other.dc != from.dc || f.random.Float64() < f.lost {
			continue
		}
		times := 1
		if f.random.Float64() < f.twice {
			times = 2
		}
		for range times {
			f.later(time.Duration(5+f.random.IntN(200))*time.Millisecond, func() { other.table.HearLimit(n.Known, true, f.now) })
		}
	}
}

// limitedOnes are the upstreams that name the limit.
func (f *limitFleet) limitedOnes() []Entry { return f.entries[:f.limited] }

// send has a VM send a request, or refuse it.
func (f *limitFleet) send(v *limitVM) {
	f.sent++
	q := anyEngine
	q.DataCentre = v.dc
	id, err := v.table.Pick(q, f.now, f.random)
	if err != nil {
		f.refused++
		return
	}
	tb, sent := v.table, f.now
	tb.Sent(id)
	f.came[id] = append(f.came[id], f.now)
	said := noLimit
	if slices.ContainsFunc(f.limitedOnes(), func(e Entry) bool { return e.ID == id }) {
		said = f.named
	}
	f.later(limitTakes, func() {
		tb.Done(id, Good, limitTakes, f.now)
		if n := tb.TakeLimit(tb.Life(id), said, sent, f.now); n.Tell && v.table == tb {
			f.tell(v, n)
		}
	})
}

// play plays for a time.
func (f *limitFleet) play(d time.Duration) {
	end, restart := f.now.Add(d), f.now.Add(f.every)
	for f.now.Before(end) {
		f.now = f.now.Add(time.Duration(f.random.ExpFloat64() / f.rate * float64(time.Second)))
		for f.events.Len() > 0 && !f.events[0].at.After(f.now) {
			heap.Pop(&f.events).(replayEvent).do()
		}
		if f.every > 0 && f.now.After(restart) {
			restart = restart.Add(f.every)
			f.start(f.vms[f.random.IntN(len(f.vms))], f.now)
		}
		f.send(f.vms[f.random.IntN(len(f.vms))])
	}
}

// most returns how many requests came at most to one limited upstream within bearsIn,
// from a time on.
func (f *limitFleet) most(from time.Time) int {
	most := 0
	for _, e := range f.limitedOnes() {
		times := f.came[e.ID]
		for i, at := range times {
			if at.Before(from) {
				continue
			}
			n, _ := slices.BinarySearchFunc(times[i:], at.Add(bearsIn), time.Time.Compare)
			most = max(most, n)
		}
	}
	return most
}

func (f *limitFleet) between(from, to time.Time) int {
	n := 0
	for _, e := range f.limitedOnes() {
		for _, at := range f.came[e.ID] {
			if !at.Before(from) && at.Before(to) {
				n++
			}
		}
	}
	return n
}

// contactIn is how long after the first word the bound holds.
const contactIn = 3 * time.Second

// TestLimitOfAll plays VMs before upstreams of which a few name a limit. What comes to one
// of those from all VMs together, told or not, stays within one and a half times the limit
// and five in any 4 s; all requests are served; and a second after the end the upstreams have at
// least half of their share again. Drawn: what is lost, late and twice, who starts anew.
func TestLimitOfAll(t *testing.T) {
	for _, size := range []limitLoad{
		{vms: 6, centres: 3, upstreams: 9, limited: 3, rate: 160},
		{vms: 61, centres: 3, upstreams: 24, limited: 4, rate: 300},
		{vms: 295, centres: 5, upstreams: 60, limited: 10, rate: 1200},
	} {
		for k, perSecond := range []float64{0, 0.4, 1, 1.6, 2, 8} {
			l := size
			l.perSecond = perSecond
			l.lost, l.twice = float64(k%3)*0.15, 0.2
			if k%2 == 1 {
				l.every = time.Second
			}
			t.Run(fmt.Sprintf("%d VMs, %g a second", l.vms, perSecond), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := newLimitFleet(l, uint64(k+1))
				start := f.now
				f.play(3 * time.Second)
				usual := float64(f.between(start, f.now)) / 3
				f.named = named(perSecond)
				begun := f.now
				f.play(14 * time.Second)
				most, allowed := f.most(begun.Add(contactIn)), bearsTimes*perSecond*bearsIn.Seconds()+bearsMore
				ended := f.now
				f.named = noLimit
				f.play(2500 * time.Millisecond)
				again := float64(f.between(ended.Add(1500*time.Millisecond), f.now))
				t.Logf("%d in 4 s at most, %.1f allowed; %.1f a second before, %.1f after; %d of %d refused", most, allowed, usual, again, f.refused, f.sent)
				is.True(float64(most) <= allowed)
				is.Equal(f.refused, 0)
				is.True(again >= usual/2)
			})
		}
	}
}

// TestLimitOfAllUpstreams plays twice what all upstreams take: nine tenths of that are used
// and no more than that.
func TestLimitOfAllUpstreams(t *testing.T) {
	for _, l := range []limitLoad{
		{vms: 6, centres: 3, upstreams: 9, limited: 9, rate: 144, perSecond: 8},
		{vms: 61, centres: 3, upstreams: 24, limited: 24, rate: 384, perSecond: 8},
		{vms: 295, centres: 5, upstreams: 60, limited: 60, rate: 2400, perSecond: 20},
	} {
		t.Run(fmt.Sprint(l.vms, " VMs"), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newLimitFleet(l, 1)
			f.named = named(l.perSecond)
			begun := f.now
			f.play(13 * time.Second)
			from := begun.Add(contactIn)
			used := float64(f.between(from, f.now)) / (l.perSecond * float64(l.limited) * f.now.Sub(from).Seconds())
			t.Logf("%.2f of the limits used, %d in 4 s at most", used, f.most(from))
			is.True(float64(f.most(from)) <= bearsTimes*l.perSecond*bearsIn.Seconds()+bearsMore)
			is.True(used >= 0.9)
		})
	}
}

// TestLimitedAskedByOthers leaves a limited upstream to VMs that do not own it, whose owners
// have no callers. Another VM asks it now and then, so that the end of its need is heard of.
func TestLimitedAskedByOthers(t *testing.T) {
	for name, callers := range map[string]contract.DataCentreID{"another VM there": "d0", "another data centre": "d1"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newLimitFleet(limitLoad{vms: 6, centres: 3, upstreams: 3, limited: 1, rate: 50, perSecond: 1}, 1)
			f.named = named(1)
			life := f.entries[0].Life()
			all := f.vms
			for _, v := range all {
				v.table.TakeLimit(life, f.named, f.now, f.now)
			}
			f.named = noLimit
			var busy []*limitVM
			for _, v := range all {
				if v.dc == callers && (callers == "d1" || v.table.placeAt(v.table.states["u000"]) > 0) {
					busy = append(busy, v)
				}
			}
			is.True(len(busy) > 0)
			for end := f.now.Add(quietFar + 20*stepAsk); f.now.Before(end); f.now = f.now.Add(100 * time.Millisecond) {
				for f.events.Len() > 0 && !f.events[0].at.After(f.now) {
					heap.Pop(&f.events).(replayEvent).do()
				}
				f.send(busy[f.random.IntN(len(busy))])
			}
			is.True(!busy[0].table.Limited(life))
		})
	}
}

// BenchmarkLimits measures what 200 limited upstreams of 3,000 cost a VM: the digest of each
// word, hearing of one, and a choice among 100 near ones of which 7 are limited.
func BenchmarkLimits(b *testing.B) {
	now := time.Unix(1000, 0)
	tb := NewTable(Options{Listed: true})
	var entries []Entry
	for n := range 3000 {
		entries = append(entries, saidEntry(fmt.Sprintf("i-%08d", n), fmt.Sprint("d", n%30), 1))
	}
	saidList(tb, now, entries...)
	tb.SetOwners("d0", Owners{Self: "vm0", VMs: []contract.VMID{"vm0", "vm1"}})
	choose := func(b *testing.B) {
		q, draw := anyEngine, rand.New(rand.NewPCG(1, 1))
		q.DataCentre = "d0"
		for b.Loop() {
			if _, err := tb.Pick(q, now, draw); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.Run("choice, none limited", choose)
	for _, e := range entries[:200] {
		tb.TakeLimit(e.Life(), named(8), now, now)
	}
	b.Run("choice", choose)
	b.Run("digest", func(b *testing.B) {
		for b.Loop() {
			tb.LimitsDigest()
		}
	})
	b.Run("heard", func(b *testing.B) {
		k := LimitKnown{entries[0].Life(), named(8), 1}
		for b.Loop() {
			tb.HearLimit(k, true, now)
		}
	})
}
