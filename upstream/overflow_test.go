package upstream

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/config"
	"woaddoor/contract"
	"woaddoor/prefill"
)

// overflowEntries returns engines in data centres d and e.
func overflowEntries(n int) []Entry {
	var entries []Entry
	for _, dc := range []contract.DataCentreID{"d", "e"} {
		for i := range n {
			id := contract.UpstreamID(fmt.Sprintf("%s%02d", dc, i))
			entries = append(entries, Entry{ID: id, Service: "s", Address: string(id), DataCentre: dc, Release: "v1", Slots: 48, CacheTokens: 460000})
		}
	}
	return entries
}

// newBusyTable returns a table whose VM is in data centre d, with a queue of 1.5 s at each engine
// there, and the ID of an engine in data centre e.
func newBusyTable(now time.Time, disabled ...string) (*Table, contract.UpstreamID) {
	policy, _ := NewPolicy(disabled) // the name of a mechanism
	tb := NewTable(Options{Listed: true, Policy: policy})
	bound := func(contract.ServiceID) ColdBound {
		return ColdBound{Duration: 10 * time.Second, PerSecond: 10, MaxPerSecond: 20}
	}
	tb.ApplyList(List{Entries: overflowEntries(3), Connections: func(contract.ServiceID) int { return 100 }, Cold: bound, Now: now})
	tb.SetOwners("d", Owners{Self: "vm", VMs: []contract.VMID{"vm"}})
	for _, id := range []contract.UpstreamID{"d00", "d01", "d02"} {
		tb.RecordPeerPrompt(id, prefill.Prompt{Model: "m", Tokens: 9000}, 1500*time.Millisecond, 0, now)
	}
	tb.CompareUpstreams("d", now)
	return tb, "e00"
}

// idleReport is a report that the engines of data centre e have nothing to do.
func idleReport(from contract.VMID, madeAt time.Duration) OverflowReport {
	return OverflowReport{
		From: contract.VMInstance{VM: from, Incarnation: 1}, DataCentre: "e", MadeAt: madeAt.Milliseconds(),
		Services: []ServiceSummary{{Service: "s", FreePercent: 90, Engines: 3}},
	}
}

func (t *Table) testWait(id contract.UpstreamID, now time.Time) time.Duration {
	return t.queueWait(t.states[id], "d", now)
}

// TestOverflowReportReplacesAssumption checks that a report replaces the assumed wait, that its
// weight falls with its age, and that the work which this data centre has sent is added to it:
// without that, all VMs would send to the other data centre until its next report.
func TestOverflowReportReplacesAssumption(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	tb, id := newBusyTable(now)
	off, _ := newBusyTable(now, "overflow")
	assumed := tb.testWait(id, now)
	is.Equal(assumed.Round(time.Millisecond), 1050*time.Millisecond)
	is.True(tb.MergeOverflowReport(idleReport("x", time.Second), now))
	off.MergeOverflowReport(idleReport("x", time.Second), now)
	is.Equal(tb.testWait(id, now), time.Duration(0))
	is.Equal(off.testWait(id, now), assumed)
	is.True(tb.testWait(id, now.Add(500*time.Millisecond)) > 300*time.Millisecond)

	tb.RecordPeerPrompt(id, prefill.Prompt{Model: "m", Tokens: 900}, 400*time.Millisecond, 0, now)
	is.Equal(tb.testWait(id, now), 400*time.Millisecond)
	in, ok := tb.OverflowInputs(id, "d", now)
	is.True(ok)
	is.Equal(in, OverflowInputs{DataCentre: "e", FreeSlots: 0.9, Engines: 3, Known: 400 * time.Millisecond, Assumed: assumed, Expected: 400 * time.Millisecond})

	tb.SetGossipScope(GossipScope{Region: true}) // VMs of the other data centre report their prompts
	_, ok = tb.OverflowInputs(id, "d", now)
	is.True(!ok)
}

// TestOverflowReportWithoutFreeSlots checks that a short queue attracts nothing where no slots are
// free: a prompt would wait there for a slot, which the queue does not show.
func TestOverflowReportWithoutFreeSlots(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	tb, id := newBusyTable(now)
	assumed := tb.testWait(id, now)
	full := idleReport("x", time.Second)
	full.Services[0].FreePercent = 0
	tb.MergeOverflowReport(full, now)
	is.Equal(tb.testWait(id, now), assumed)
	full.MadeAt++
	now = now.Add(time.Millisecond)
	full.Services[0].WaitMillis = 3000 // a longer wait than assumed holds all the same
	tb.MergeOverflowReport(full, now)
	is.Equal(tb.testWait(id, now), 3*time.Second)
}

// TestLostOverflowReports checks that the estimate returns to the assumption within a second of
// the last report, since a data centre that does not report may be cut off.
func TestLostOverflowReports(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	tb, id := newBusyTable(now)
	off, _ := newBusyTable(now, "overflow")
	tb.MergeOverflowReport(idleReport("x", time.Second), now)
	previous := time.Duration(-1)
	for age := time.Duration(0); age <= time.Second; age += 100 * time.Millisecond {
		assumed := off.testWait(id, now.Add(age))
		difference := assumed - tb.testWait(id, now.Add(age))
		is.True(previous < 0 || difference < previous) // the report loses weight
		previous = difference
	}
	is.Equal(previous, time.Duration(0))
}

// TestLateOverflowReports checks that a report that was delayed on its way counts with its age,
// although the clocks of VMs differ, and that an older report does not replace a newer one.
func TestLateOverflowReports(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	tb, id := newBusyTable(now)
	tb.MergeOverflowReport(idleReport("x", 5000*time.Second), now) // a clock far ahead
	now = now.Add(2 * time.Second)
	tb.MergeOverflowReport(idleReport("x", 5001*time.Second), now) // delayed by a second
	_, ok := tb.OverflowInputs(id, "d", now)
	is.True(!ok)
	tb.MergeOverflowReport(idleReport("x", 5001500*time.Millisecond), now) // delayed by half a second
	in, ok := tb.OverflowInputs(id, "d", now)
	is.True(ok)
	is.Equal(in.Age, 500*time.Millisecond)
	is.True(!tb.MergeOverflowReport(idleReport("x", 5000*time.Second), now))         // overtaken
	is.True(!tb.MergeOverflowReport(idleReport("x", 5001500*time.Millisecond), now)) // repeated

	// The clock of a sender that was suspended stays behind by the time of the suspension. Its
	// reports count again once two windows have passed.
	now = now.Add(time.Minute)
	for n := range 2 * int(clockWindow/time.Second) {
		now = now.Add(time.Second)
		tb.MergeOverflowReport(idleReport("x", time.Duration(5002+n)*time.Second), now)
	}
	_, ok = tb.OverflowInputs(id, "d", now)
	is.True(ok)
}

// TestOverflowEnds checks that nothing more is sent to another data centre because of its reports
// within a second of being cut off, cold or evacuated.
func TestOverflowEnds(t *testing.T) {
	now := time.Unix(100, 0)
	random := seededRandom()
	withdrawn := idleReport("x", 3*time.Second)
	withdrawn.Services[0] = ServiceSummary{Service: "s"}
	for name, c := range map[string]struct {
		event func(tb *Table, now time.Time)
		// within is when nothing more is sent because of the report. usable means that the engines
		// may still get prompts for other reasons.
		within time.Duration
		usable bool
	}{
		"cut off":   {func(tb *Table, now time.Time) { tb.RecordDone("e00", Unreachable, 0, now) }, 0, false},
		"probed":    {func(tb *Table, now time.Time) { tb.RecordDataCentreProbe("e", false, now) }, 0, false},
		"silent":    {func(*Table, time.Time) {}, time.Second, true},
		"cold":      {func(tb *Table, now time.Time) { tb.EvacuationCancelled("e", now) }, 0, false},
		"withdrawn": {func(tb *Table, now time.Time) { tb.MergeOverflowReport(withdrawn, now) }, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tb, _ := newBusyTable(now)
			off, _ := newBusyTable(now, "overflow")
			q := Query{Kind: config.EnginePool, DataCentre: "d", Work: Work{Prompt: prefill.Prompt{Model: "m", Tokens: 100}, Objective: time.Second}}
			tb.MergeOverflowReport(idleReport("x", time.Second), now)
			id, err := tb.Pick(q, now, random)
			is.NoErr(err)
			is.Equal(id[0], byte('e')) // overflow
			later := now.Add(time.Millisecond)
			c.event(tb, later)
			c.event(off, later)
			later = later.Add(c.within)
			_, used := tb.OverflowInputs("e00", "d", later)
			is.True(!used || name == "cold")
			if c.usable {
				is.Equal(tb.testWait("e00", later), off.testWait("e00", later))
				return
			}
			id, err = tb.Pick(q, later, random)
			is.NoErr(err)
			is.Equal(id[0], byte('d'))
			if name != "cold" { // a report from before the cut does not hold after it
				is.Equal(tb.testWait("e00", later), off.testWait("e00", later))
			}
		})
	}
}

// TestOverflowReportOfTable checks what a data centre reports: the mean over the warm engines that
// receive prompts, and no engines once none is left. An average over idle engines that get no
// prompts, or a cold data centre, would attract prompts that it cannot serve.
func TestOverflowReportOfTable(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	tb, _ := newBusyTable(now)
	is.Equal(len(tb.OverflowReport("e", now).Services), 0) // no engine is known to be used
	tb.RecordPeerPrompt("d00", prefill.Prompt{Model: "m", Tokens: 900}, 600*time.Millisecond, 0, now)
	tb.RecordSent("d00")
	is.Equal(tb.OverflowReport("d", now), OverflowReport{DataCentre: "d", Services: []ServiceSummary{{Service: "s", WaitMillis: 1700, FreePercent: 99, Engines: 3}}})
	tb.EvacuationCancelled("d", now) // its engines are cold
	is.Equal(tb.OverflowReport("d", now).Services, []ServiceSummary{{Service: "s"}})
}

// BenchmarkOverflowPick measures one pick with reports of two data centres in use, while the local
// engines are busy.
func BenchmarkOverflowPick(b *testing.B) {
	for _, n := range []int{60, 160} {
		benchmarkOverflow(b, n, "overflow")
		benchmarkOverflow(b, n)
	}
}

func benchmarkOverflow(b *testing.B, n int, disabled ...string) {
	b.Run(fmt.Sprint(n, disabled), func(b *testing.B) {
		var entries []Entry
		for i := range n {
			id := contract.UpstreamID(fmt.Sprintf("u%03d", i))
			entries = append(entries, Entry{ID: id, Service: "s", Address: string(id), DataCentre: contract.DataCentreID(fmt.Sprint(i % 3)), Release: "v1", Slots: 48, CacheTokens: 460000})
		}
		policy, _ := NewPolicy(disabled) // the name of a mechanism
		tb := NewTable(Options{Listed: true, Policy: policy})
		tb.ApplyList(List{Entries: entries, Connections: func(contract.ServiceID) int { return 80 }})
		now, random := time.Unix(100, 0), seededRandom()
		prompt := func(i int) prefill.Prompt {
			return prefill.Prompt{Model: "m", Tokens: 9000, Parts: []prefill.Part{{Key: uint64(i % 2000), Tokens: 8000}, {Key: uint64(100000 + i), Tokens: 1000}}}
		}
		for i := range 20 * n {
			tb.RecordPeerPrompt(entries[i%n].ID, prompt(i), 100*time.Millisecond, 0, now)
		}
		tb.CompareUpstreams("0", now)
		for _, dc := range []contract.DataCentreID{"1", "2"} {
			r := idleReport(contract.VMID(dc), time.Second)
			r.DataCentre = dc
			tb.MergeOverflowReport(r, now)
		}
		now = now.Add(100 * time.Millisecond)
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			q := Query{Kind: config.EnginePool, DataCentre: "0", Prefix: uint64(i%2000) + 1, Work: Work{Prompt: prompt(i), Objective: 3 * time.Second}}
			if _, err := tb.Pick(q, now, random); err != nil {
				b.Fatal(err)
			}
		}
	})
}
