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
	"woaddoor/reading"
)

// testCold is the bound of the tests: 20 requests in any second where 10 are borne.
var testCold = ColdBound{For: 3 * time.Second, Bears: 10, Most: 20}

func coldList(entries []Entry, now time.Time) List {
	return List{
		Entries: entries, Now: now, Connections: func(contract.ServiceID) int { return 100 },
		Cold: func(contract.ServiceID) ColdBound { return testCold },
	}
}

func coldEntry(id string, born int64) Entry {
	return Entry{ID: contract.UpstreamID(id), Service: "s", Address: id, DataCentre: "d", Release: "v1", Slots: 8, Born: born, Revision: 1}
}

// alone are the owners of a data centre with one VM.
var alone = Owners{Self: "v", VMs: []contract.VMID{"v"}}

// TestColdShare shows how a bound is divided among the VMs of a data centre.
func TestColdShare(t *testing.T) {
	for _, c := range []struct {
		bound        ColdBound
		vms          int
		owners, each int
	}{
		{testCold, 1, 1, 10},
		{testCold, 2, 2, 5},
		{testCold, 6, 5, 2},
		{testCold, 21, 10, 1},
		{testCold, 59, 10, 1},
		{ColdBound{Bears: 5, Most: 12.5}, 21, 5, 1},
		{ColdBound{Bears: 10, Most: 10}, 21, 5, 1}, // two views have to fit
		{ColdBound{Bears: 0.5, Most: 1}, 21, 1, 1},
		{ColdBound{Bears: 0.5, Most: 0.75}, 21, 0, 0},
	} {
		t.Run(fmt.Sprintf("%v %d", c.bound, c.vms), func(t *testing.T) {
			owners, each := c.bound.share(c.vms)
			is.New(t).Equal([]int{owners, each}, []int{c.owners, c.each})
		})
	}
}

// coldFleet is many VMs before one cold upstream, in simulated time.
type coldFleet struct {
	random *rand.Rand
	now    time.Time
	tables []*Table
	sent   []time.Time // when requests come to the upstream
}

// newColdFleet has n VMs of which some see only the others of their own half.
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
		tb.ConfigureList(coldList([]Entry{coldEntry("other", 1)}, f.now))
		tb.ConfigureList(coldList([]Entry{coldEntry("cold", 1), coldEntry("other", 1)}, f.now))
		f.tables = append(f.tables, tb)
	}
	return f
}

// most returns how many requests came at most within a second.
func (f *coldFleet) most() int {
	slices.SortFunc(f.sent, time.Time.Compare)
	most := 0
	for i, j := 0, 0; j < len(f.sent); j++ {
		for f.sent[j].Sub(f.sent[i]) >= time.Second {
			i++
		}
		most = max(most, j-i+1)
	}
	return most
}

// press has far more requests come to all VMs than a cold upstream bears, each of which
// goes to it where the VM may send there.
func (f *coldFleet) press(rate float64, way func(tb *Table, now time.Time) bool) {
	for end := f.now.Add(testCold.For); ; {
		f.now = f.now.Add(time.Duration(f.random.ExpFloat64() / rate * float64(time.Second)))
		if !f.now.Before(end) {
			return // it is warm
		}
		tb := f.tables[f.random.IntN(len(f.tables))]
		if way(tb, f.now) {
			f.sent = append(f.sent, f.now.Add(time.Duration(f.random.IntN(60))*time.Millisecond))
		}
	}
}

// ownedWay sends as the product does.
func ownedWay(tb *Table, now time.Time) bool {
	s := tb.states["cold"]
	if !tb.bears(s, now) {
		return false
	}
	s.cold.picked(now)
	return true
}

// TestColdOwnersKeepTheBound replays a burst of thousands of requests a second before
// an upstream that has just started, at VMs few and many, and where two halves of them
// do not know each other: no second may bring it more than the bound, and it has to be
// filled at a good part of what it bears. The plain way, an equal share for each VM
// with one request saved up, is beyond it with many VMs.
func TestColdOwnersKeepTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{2, 6, 21, 59}).Draw(t, "vms")
		halves := rapid.Bool().Draw(t, "halves")
		f := newColdFleet(n, halves, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		f.press(4000, ownedWay)
		if got := f.most(); float64(got) > testCold.Most {
			t.Fatalf("%d requests in a second, allowed %v", got, testCold.Most)
		}
		if mean := float64(len(f.sent)) / testCold.For.Seconds(); mean < 0.7*testCold.Bears {
			t.Fatalf("%.1f requests a second where %v are borne", mean, testCold.Bears)
		}
	})
}

// TestColdSharesBreakTheBound shows the plain way failing: each of 59 VMs has a 59th
// of what an upstream bears, and may send its first request at once.
func TestColdSharesBreakTheBound(t *testing.T) {
	f := newColdFleet(59, false, rand.New(rand.NewPCG(1, 1)))
	last := make(map[*Table]time.Time)
	f.press(4000, func(tb *Table, now time.Time) bool {
		if each := time.Duration(float64(time.Second) * 59 / testCold.Bears); now.Sub(last[tb]) < each {
			return false
		}
		last[tb] = now
		return true
	})
	is.New(t).True(float64(f.most()) > testCold.Most)
}

// TestTurnsCold shows by what an upstream is taken to be cold, and for how long.
func TestTurnsCold(t *testing.T) {
	start := time.Unix(1000, 0)
	both := []Entry{coldEntry("a", 1), coldEntry("b", 1), coldEntry("c", 1)}
	done := func(tb *Table, id contract.UpstreamID, r Result, now time.Time) {
		tb.Sent(id)
		tb.Done(id, r, 0, now)
	}
	for name, c := range map[string]struct {
		change func(tb *Table)
		cold   time.Duration // of upstream a, zero for never
	}{
		"listed from the start": {func(*Table) {}, 0},
		"its entry says so": {func(tb *Table) {
			e := coldEntry("a", 1)
			e.Cold, e.Revision = time.Second, 2
			tb.ConfigureList(coldList([]Entry{e, both[1]}, start))
		}, time.Second},
		"started in traffic, also by an entry that does not say": {func(tb *Table) {
			tb.ConfigureList(coldList(both[1:], start))
			tb.ConfigureList(coldList(both, start))
		}, testCold.For},
		"started again under its id": {func(tb *Table) {
			tb.ConfigureList(coldList([]Entry{coldEntry("a", 2), both[1]}, start))
		}, testCold.For},
		"its connections fail":                         {func(tb *Table) { done(tb, "a", Down, start) }, testCold.For + doubtFor},
		"its answers are broken off":                   {func(tb *Table) { done(tb, "a", Broken, start) }, testCold.For + doubtFor},
		"it answers with a failure":                    {func(tb *Table) { done(tb, "a", Failed, start) }, 0},
		"another of its data centre cannot be reached": {func(tb *Table) { done(tb, "b", Down, start) }, 0},
		"several cannot be reached": {func(tb *Table) {
			done(tb, "b", Unreachable, start)
			done(tb, "c", Unreachable, start)
		}, testCold.For + doubtFor},
		"its evacuation was taken back": {func(tb *Table) { tb.TakenBack("d", start) }, testCold.For},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tb := NewTable(Options{Listed: true})
			tb.ConfigureList(coldList(both, start))
			c.change(tb)
			is.Equal(tb.bears(tb.states["a"], start), c.cold == 0) // no owner is known
			is.True(c.cold == 0 || !tb.bears(tb.states["a"], start.Add(c.cold-1)))
			is.True(tb.bears(tb.states["a"], start.Add(c.cold)))
			tb.SetOwners("d", alone)
			is.True(tb.bears(tb.states["a"], start))
		})
	}
}

// TestReturnsCold shows an upstream that was down for longer than a start and answers
// again: its start was a moment ago at the earliest that this VM can tell.
func TestReturnsCold(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tb := NewTable(Options{Listed: true})
	tb.ConfigureList(coldList([]Entry{coldEntry("a", 1)}, now))
	tb.Sent("a")
	tb.Done("a", Down, 0, now)
	now = now.Add(time.Minute)
	is.True(tb.bears(tb.states["a"], now))
	tb.Sent("a")
	tb.Done("a", Good, 0, now)
	is.True(!tb.bears(tb.states["a"], now.Add(testCold.For-1)))
	is.True(tb.bears(tb.states["a"], now.Add(testCold.For)))
}

// TestLastResortSparesTheCold shows that a request for which all upstreams are
// suspected does not go to a cold one beyond what it bears.
func TestLastResortSparesTheCold(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tb := NewTable(Options{Listed: true})
	tb.SetOwners("d", alone)
	tb.ConfigureList(coldList([]Entry{coldEntry("a", 1)}, now))
	tb.Sent("a")
	tb.Done("a", Down, 0, now)
	sent := 0
	for range 100 {
		if _, err := tb.Pick(listedQuery, now, random()); err == nil {
			sent++
		}
	}
	is.Equal(sent, 10)
}

// TestUnsureOwner shows that a VM that has just started, and may not know the others,
// sends one request a second, and one that knows nobody sends none.
func TestUnsureOwner(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tb := NewTable(Options{Listed: true})
	tb.ConfigureList(coldList([]Entry{coldEntry("a", 1)}, now))
	tb.TakenBack("d", now)
	s := tb.states["a"]
	is.True(!tb.bears(s, now))
	tb.SetOwners("d", Owners{Self: "v", VMs: []contract.VMID{"v"}, Unsure: true})
	is.True(tb.bears(s, now))
	s.cold.picked(now)
	is.True(!tb.bears(s, now.Add(time.Second)))
	is.True(tb.bears(s, now.Add(coldWindow)))
}

// TestNewLifeForgets shows that nothing which was believed of an upstream holds for
// one that starts again under its id: health, queue, own sends, what it keeps.
func TestNewLifeForgets(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tb := NewTable(Options{Listed: true})
	list := func(born int64) { tb.ConfigureList(coldList([]Entry{coldEntry("a", born)}, now)) }
	list(1)
	prompt := reading.Prompt{Model: "m", Tokens: 900, Parts: []reading.Part{{Key: 1, Tokens: 600}, {Key: 2, Tokens: 300}}}
	w := Work{Prompt: prompt, Objective: time.Second}
	tb.Sent("a")
	tb.Expect("a", w, "d", now)
	for range 4 {
		tb.Sent("a")
		tb.Done("a", Failed, 0, now)
	}
	before := tb.states["a"]
	is.True(before.health.failed > 0)
	is.Equal(before.kept.Of(prompt), 600)
	list(1)
	is.Equal(tb.states["a"], before) // the same life
	list(2)
	after := tb.states["a"]
	is.Equal(after.health.failed, 0.0)
	is.Equal(after.kept.Of(prompt), 0)
	is.Equal(after.inFlight, 0)
	is.Equal(after.queue.Wait(now), time.Duration(0))
}
