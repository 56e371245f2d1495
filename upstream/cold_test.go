package upstream

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woaddoor/contract"
	"woaddoor/prefill"
)

// testColdBound allows 20 requests in any second and a sustained rate of 10 per second.
var testColdBound = ColdBound{Duration: 3 * time.Second, PerSecond: 10, MaxPerSecond: 20}

func coldList(entries []Entry, now time.Time) List {
	return List{
		Entries: entries, Now: now, Connections: func(contract.ServiceID) int { return 100 },
		Cold: func(contract.ServiceID) ColdBound { return testColdBound },
	}
}

func coldEntry(id string, incarnation int64) Entry {
	return Entry{ID: contract.UpstreamID(id), Service: "s", Address: id, DataCentre: "d", Release: "v1", Slots: 8, Incarnation: incarnation, Revision: 1}
}

// soleOwner is the Owners of a data centre with a single VM.
var soleOwner = Owners{Self: "v", VMs: []contract.VMID{"v"}}

// TestColdOwnerShares checks how a bound is divided among the VMs of a data centre.
func TestColdOwnerShares(t *testing.T) {
	for _, c := range []struct {
		bound        ColdBound
		vms          int
		owners, each int
	}{
		{testColdBound, 1, 1, 10},
		{testColdBound, 2, 2, 5},
		{testColdBound, 6, 5, 2},
		{testColdBound, 21, 10, 1},
		{testColdBound, 59, 10, 1},
		{ColdBound{PerSecond: 5, MaxPerSecond: 12.5}, 21, 5, 1},
		{ColdBound{PerSecond: 10, MaxPerSecond: 10}, 21, 5, 1}, // two disjoint membership views have to fit
		{ColdBound{PerSecond: 0.5, MaxPerSecond: 1}, 21, 1, 1},
		{ColdBound{PerSecond: 0.5, MaxPerSecond: 0.75}, 21, 0, 0},
	} {
		t.Run(fmt.Sprintf("%v %d", c.bound, c.vms), func(t *testing.T) {
			owners, each := c.bound.ownerShares(c.vms)
			is.New(t).Equal([]int{owners, each}, []int{c.owners, c.each})
		})
	}
}

// coldFleet simulates many VMs that share one cold upstream.
type coldFleet struct {
	random   *rand.Rand
	now      time.Time
	tables   []*Table
	arrivals []time.Time // when requests arrive at the upstream
}

// newColdFleet returns a fleet of n VMs and a cold upstream. If halves is set, each VM knows only
// the VMs of its own half.
func newColdFleet(n int, halves bool, random *rand.Rand) *coldFleet {
	f := &coldFleet{random: random, now: time.Unix(1000, 0)}
	var all []contract.VMID
	for i := range n {
		all = append(all, contract.VMID(fmt.Sprintf("v%02d", i)))
	}
	for i, id := range all {
		view := all
		if halves && i < n/2 {
			view = all[:n/2]
		} else if halves {
			view = all[n/2:]
		}
		tb := NewTable(Options{Listed: true})
		tb.SetOwners("d", Owners{Self: id, VMs: view})
		tb.ApplyList(coldList([]Entry{coldEntry("other", 1)}, f.now))
		tb.ApplyList(coldList([]Entry{coldEntry("cold", 1), coldEntry("other", 1)}, f.now))
		f.tables = append(f.tables, tb)
	}
	return f
}

// maxPerSecond returns the maximum number of requests that arrive at the cold upstream within any
// second.
func (f *coldFleet) maxPerSecond() int {
	slices.SortFunc(f.arrivals, time.Time.Compare)
	most := 0
	for i, j := 0, 0; j < len(f.arrivals); j++ {
		for f.arrivals[j].Sub(f.arrivals[i]) >= time.Second {
			i++
		}
		most = max(most, j-i+1)
	}
	return most
}

// overload sends far more requests to all VMs than a cold upstream can handle. A request goes to
// the upstream if the function send allows its VM to send it.
func (f *coldFleet) overload(rate float64, send func(tb *Table, now time.Time) bool) {
	for end := f.now.Add(testColdBound.Duration); ; {
		f.now = f.now.Add(time.Duration(f.random.ExpFloat64() / rate * float64(time.Second)))
		if !f.now.Before(end) {
			return // the upstream is warm from now on
		}
		tb := f.tables[f.random.IntN(len(f.tables))]
		if send(tb, f.now) {
			f.arrivals = append(f.arrivals, f.now.Add(time.Duration(f.random.IntN(60))*time.Millisecond))
		}
	}
}

// sendAsOwner sends a request to the cold upstream if its cold bound and its rate limit allow
// that, as in production.
func sendAsOwner(tb *Table, now time.Time) bool {
	s := tb.states["cold"]
	if !tb.withinBounds(s, now) {
		return false
	}
	s.cold.recordSend(now)
	return true
}

// TestColdOwnersStayWithinBound simulates a burst of thousands of requests per second at an
// upstream that has just started, with few and many VMs, and with two halves of them that do not
// know each other. In any second, the upstream must get no more requests than its bound, but over
// the whole time most of the requests that it can handle. With an equal share and one saved-up
// request per VM, many VMs would exceed the bound.
func TestColdOwnersStayWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{2, 6, 21, 59}).Draw(t, "vms")
		halves := rapid.Bool().Draw(t, "halves")
		f := newColdFleet(n, halves, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		f.overload(4000, sendAsOwner)
		if got := f.maxPerSecond(); float64(got) > testColdBound.MaxPerSecond {
			t.Fatalf("%d requests in one second, at most %v allowed", got, testColdBound.MaxPerSecond)
		}
		if mean := float64(len(f.arrivals)) / testColdBound.Duration.Seconds(); mean < 0.7*testColdBound.PerSecond {
			t.Fatalf("%.1f requests per second, the upstream sustains %v", mean, testColdBound.PerSecond)
		}
	})
}

// TestEqualColdSharesExceedBound shows that equal shares exceed the bound: each of 59 VMs gets a
// 59th of what the upstream can handle and may send its first request immediately.
func TestEqualColdSharesExceedBound(t *testing.T) {
	f := newColdFleet(59, false, rand.New(rand.NewPCG(1, 1)))
	last := make(map[*Table]time.Time)
	f.overload(4000, func(tb *Table, now time.Time) bool {
		if each := time.Duration(float64(time.Second) * 59 / testColdBound.PerSecond); now.Sub(last[tb]) < each {
			return false
		}
		last[tb] = now
		return true
	})
	is.New(t).True(float64(f.maxPerSecond()) > testColdBound.MaxPerSecond)
}

// TestUpstreamIsMarkedCold checks which events mark an upstream as cold, and for how long.
func TestUpstreamIsMarkedCold(t *testing.T) {
	start := time.Unix(1000, 0)
	entries := []Entry{coldEntry("a", 1), coldEntry("b", 1), coldEntry("c", 1)}
	done := func(tb *Table, id contract.UpstreamID, r Result, now time.Time) {
		tb.RecordSent(id)
		tb.RecordDone(id, r, 0, now)
	}
	for name, c := range map[string]struct {
		change func(tb *Table)
		cold   time.Duration // how long upstream a is cold; zero means never
	}{
		"listed from the start": {func(*Table) {}, 0},
		"its list entry reports it as cold": {func(tb *Table) {
			e := coldEntry("a", 1)
			e.Cold, e.Revision = time.Second, 2
			tb.ApplyList(coldList([]Entry{e, entries[1]}, start))
		}, time.Second},
		"started while this VM runs, not reported as cold": {func(tb *Table) {
			tb.ApplyList(coldList(entries[1:], start))
			tb.ApplyList(coldList(entries, start))
		}, testColdBound.Duration},
		"restarted under the same ID": {func(tb *Table) {
			tb.ApplyList(coldList([]Entry{coldEntry("a", 2), entries[1]}, start))
		}, testColdBound.Duration},
		"connections to it fail":                      {func(tb *Table) { done(tb, "a", ConnectionRefused, start) }, testColdBound.Duration + recoveryMargin},
		"its answers break off":                       {func(tb *Table) { done(tb, "a", Broken, start) }, testColdBound.Duration + recoveryMargin},
		"it answers with a failure":                   {func(tb *Table) { done(tb, "a", Failed, start) }, 0},
		"another upstream in its data centre is down": {func(tb *Table) { done(tb, "b", ConnectionRefused, start) }, 0},
		"several upstreams in its data centre are unreachable": {func(tb *Table) {
			done(tb, "b", Unreachable, start)
			done(tb, "c", Unreachable, start)
		}, testColdBound.Duration + recoveryMargin},
		"the evacuation of its data centre is cancelled": {func(tb *Table) { tb.EvacuationCancelled("d", start) }, testColdBound.Duration},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tb := NewTable(Options{Listed: true})
			tb.ApplyList(coldList(entries, start))
			c.change(tb)
			is.Equal(tb.withinBounds(tb.states["a"], start), c.cold == 0) // a cold upstream gets nothing while no owner is known
			is.True(c.cold == 0 || !tb.withinBounds(tb.states["a"], start.Add(c.cold-1)))
			is.True(tb.withinBounds(tb.states["a"], start.Add(c.cold)))
			tb.SetOwners("d", soleOwner)
			is.True(tb.withinBounds(tb.states["a"], start))
		})
	}
}

// TestRecoveredUpstreamIsCold checks an upstream that was down for longer than a cold period and
// then answers: it may have restarted just before, so it is cold for a full period from then on.
func TestRecoveredUpstreamIsCold(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tb := NewTable(Options{Listed: true})
	tb.ApplyList(coldList([]Entry{coldEntry("a", 1)}, now))
	tb.RecordSent("a")
	tb.RecordDone("a", ConnectionRefused, 0, now)
	now = now.Add(time.Minute)
	is.True(tb.withinBounds(tb.states["a"], now))
	tb.RecordSent("a")
	tb.RecordDone("a", Succeeded, 0, now)
	is.True(!tb.withinBounds(tb.states["a"], now.Add(testColdBound.Duration-1)))
	is.True(tb.withinBounds(tb.states["a"], now.Add(testColdBound.Duration)))
}

// TestLastResortRespectsColdBound checks that a request goes to a suspected upstream as a last
// resort only within the upstream's cold bound.
func TestLastResortRespectsColdBound(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tb := NewTable(Options{Listed: true})
	tb.SetOwners("d", soleOwner)
	tb.ApplyList(coldList([]Entry{coldEntry("a", 1)}, now))
	tb.RecordSent("a")
	tb.RecordDone("a", ConnectionRefused, 0, now)
	sent := 0
	for range 100 {
		if _, err := tb.Pick(listedQuery, now, seededRandom()); err == nil {
			sent++
		}
	}
	is.Equal(sent, 10)
}

// TestOwnerWithIncompleteViewSendsOnePerSecond checks that a VM which has just started and may
// not know the other VMs sends one request per second, and that a VM which knows no owners sends
// none.
func TestOwnerWithIncompleteViewSendsOnePerSecond(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tb := NewTable(Options{Listed: true})
	tb.ApplyList(coldList([]Entry{coldEntry("a", 1)}, now))
	tb.EvacuationCancelled("d", now)
	s := tb.states["a"]
	is.True(!tb.withinBounds(s, now))
	tb.SetOwners("d", Owners{Self: "v", VMs: []contract.VMID{"v"}, Incomplete: true})
	is.True(tb.withinBounds(s, now))
	s.cold.recordSend(now)
	is.True(!tb.withinBounds(s, now.Add(time.Second)))
	is.True(tb.withinBounds(s, now.Add(coldWindow)))
}

// TestRestartDiscardsOldState checks that an upstream which restarts under the same ID starts with
// fresh state: health, prefill queue, requests in flight and prefix cache.
func TestRestartDiscardsOldState(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tb := NewTable(Options{Listed: true})
	list := func(incarnation int64) { tb.ApplyList(coldList([]Entry{coldEntry("a", incarnation)}, now)) }
	list(1)
	prompt := prefill.Prompt{Model: "m", Tokens: 900, Parts: []prefill.Part{{Key: 1, Tokens: 600}, {Key: 2, Tokens: 300}}}
	w := Work{Prompt: prompt, Objective: time.Second}
	tb.RecordSent("a")
	tb.RecordExpected("a", w, "d", now)
	for range 4 {
		tb.RecordSent("a")
		tb.RecordDone("a", Failed, 0, now)
	}
	before := tb.states["a"]
	is.True(before.health.failureRate > 0)
	is.Equal(before.prefixCache.CachedTokens(prompt), 600)
	list(1)
	is.Equal(tb.states["a"], before) // unchanged for the same instance
	list(2)
	after := tb.states["a"]
	is.Equal(after.health.failureRate, 0.0)
	is.Equal(after.prefixCache.CachedTokens(prompt), 0)
	is.Equal(after.inFlight, 0)
	is.Equal(after.queue.Wait(now), time.Duration(0))
}
