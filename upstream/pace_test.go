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

// usualPrefill is the prefill time of paceWork at the initial prefill rate, where no pace is known.
const usualPrefill = 500 * time.Millisecond

// statedPrefill returns the prefill time of paceWork at an engine that states a pace.
func statedPrefill(pace float64) time.Duration {
	tokens := prefill.EquivalentTokens(paceWork.Prompt.Tokens, 0)
	return time.Duration(pace * float64(tokens) * float64(usualPrefill) / float64(paceWork.Prompt.Tokens))
}

// paceWork is a long prompt.
var paceWork = Work{Prompt: prefill.Prompt{Model: "m", Tokens: 10000}, Objective: 3 * time.Second}

// newPaceTable returns a table of two engines of one pool.
func newPaceTable(disabled ...Mechanism) *Table {
	tb := NewTable(Options{Listed: true, Policy: Policy{disabled: disabled}})
	tb.ApplyList(paceList(1))
	return tb
}

// paceList returns a list of two engines, of which "a" is the given instance.
func paceList(incarnation int64) List {
	return List{
		Entries: []Entry{
			{ID: "a", Service: "s", DataCentre: "d", Slots: 8, Incarnation: incarnation, EventTokens: 8},
			{ID: "b", Service: "s", DataCentre: "d", Slots: 8, Incarnation: 1, EventTokens: 8},
		},
		Connections: func(contract.ServiceID) int { return 100 },
	}
}

// prefillAt returns the expected prefill time of paceWork at an engine.
func prefillAt(tb *Table, id contract.UpstreamID, now time.Time) time.Duration {
	return tb.estimate(tb.states[id], paceWork, "d", now).Prefill
}

// TestPaceOfUnknownUpstream guards against an estimate that takes an engine about which nothing is
// known for one of the usual pace, although the other engines of its pool are slower.
func TestPaceOfUnknownUpstream(t *testing.T) {
	is, now, tb := is.New(t), time.Unix(100, 0), newPaceTable()
	is.Equal(prefillAt(tb, "b", now), usualPrefill)
	tb.RecordStatedPace("a", 120, now)
	tb.CompareUpstreams("d", now)
	is.Equal(prefillAt(tb, "a", now), statedPrefill(1.2))
	is.Equal(prefillAt(tb, "b", now), statedPrefill(1.2))
}

// TestMeanPaceOfRemovedPool guards against the mean pace of a pool that lost all its upstreams being
// kept: its new upstreams may run on other machines, and entries of removed pools would accumulate.
func TestMeanPaceOfRemovedPool(t *testing.T) {
	is, now, tb := is.New(t), time.Unix(100, 0), newPaceTable()
	tb.RecordStatedPace("a", 300, now)
	tb.CompareUpstreams("d", now)
	tb.ApplyList(List{Connections: paceList(1).Connections})
	tb.CompareUpstreams("d", now)
	is.Equal(len(tb.meanPaces), 0)
	tb.ApplyList(paceList(2))
	is.Equal(prefillAt(tb, "b", now), usualPrefill)
}

// TestEstimateWithoutPrompt guards against the base latency of a prefill in the estimate of a
// request without a prompt, because the estimate contains a pace and is not the zero value.
func TestEstimateWithoutPrompt(t *testing.T) {
	is, now, tb := is.New(t), time.Unix(100, 0), newPaceTable()
	is.Equal(tb.estimate(tb.states["a"], Work{}, "d", now).TimeToFirstToken(), time.Duration(0))
}

// TestPaceDisabled guards against a mechanism that still has an effect when it is disabled.
func TestPaceDisabled(t *testing.T) {
	is, now, tb := is.New(t), time.Unix(100, 0), newPaceTable(UpstreamPace)
	tb.RecordStatedPace("a", 300, now)
	tb.RecordPeerPace("b", 3)
	is.Equal(prefillAt(tb, "a", now), usualPrefill)
	is.Equal(prefillAt(tb, "b", now), usualPrefill)
}

// TestDisturbanceExpires guards against a stated disturbance that is believed for longer than a
// shared machine is busy, so that the engine gets nothing although it is as fast as usual again.
func TestDisturbanceExpires(t *testing.T) {
	is, now, tb := is.New(t), time.Unix(100, 0), newPaceTable()
	tb.RecordStatedPace("a", 100, now)
	tb.RecordStatedPace("a", 300, now)
	is.True(prefillAt(tb, "a", now) > statedPrefill(2.8))
	is.True(prefillAt(tb, "a", now.Add(2*time.Second)) < statedPrefill(1.1))
}

// TestNewInstanceHasNoPace guards against the pace of a former instance: the new one may run on
// another machine.
func TestNewInstanceHasNoPace(t *testing.T) {
	is, now, tb := is.New(t), time.Unix(100, 0), newPaceTable()
	tb.RecordStatedPace("a", 300, now)
	tb.ApplyList(paceList(2))
	is.Equal(prefillAt(tb, "a", now), usualPrefill)
}

// TestOwnPaceOverridesReports guards against an old report of another VM that replaces what this
// VM has learned from the upstream itself.
func TestOwnPaceOverridesReports(t *testing.T) {
	is, now, tb := is.New(t), time.Unix(100, 0), newPaceTable()
	tb.RecordPeerPace("a", 2)
	is.Equal(prefillAt(tb, "a", now), statedPrefill(2))
	tb.RecordStatedPace("a", 100, now)
	tb.RecordStatedPace("a", 100, now)
	tb.RecordPeerPace("a", 2)
	is.True(prefillAt(tb, "a", now) < statedPrefill(1.4))
}

// TestFalsePaceIsCorrected guards against an engine that states to be far faster than it is and
// attracts all prompts: its answers show that it is slow.
func TestFalsePaceIsCorrected(t *testing.T) {
	is, now, tb := is.New(t), time.Unix(100, 0), newPaceTable(PrefillRates)
	tb.RecordStatedPace("b", 100, now)
	const actual = 500 * time.Millisecond
	for range 30 {
		tb.RecordStatedPace("a", 10, now)
		tb.RecordSent("a")
		e, id := tb.RecordExpected("a", paceWork, "d", now)
		now = now.Add(actual)
		tb.RecordAnswerBegin("a", id, paceWork, e, actual, now)
		tb.RecordDone("a", Succeeded, actual, now)
	}
	is.True(prefillAt(tb, "a", now) > actual/2)
}

// TestPauseCost guards against prompts that are charged for pauses where there can be none: without
// a target, without a configured event size, where no pace is stated, and where the prompt is short.
func TestPauseCost(t *testing.T) {
	is, now, tb := is.New(t), time.Unix(100, 0), newPaceTable()
	tb.SetModelPrices(map[contract.ModelID]float64{"m": 1})
	s := tb.states["a"]
	s.inFlight = 4
	tb.RecordStatedPace("a", 100, now)
	cost := func(tokens int, target time.Duration) float64 {
		w := Work{Prompt: prefill.Prompt{Model: "m", Tokens: tokens}, Objective: 3 * time.Second, PauseTarget: target}
		return tb.estimate(s, w, "d", now).PauseCost
	}
	is.Equal(cost(30000, 0), 0.0)
	is.True(cost(500, time.Second) < 0.01)
	atUsualPace := cost(14000, time.Second)
	tb.RecordStatedPace("a", 150, now)
	is.True(cost(14000, time.Second) > 1.5*atUsualPace)
	s.inFlight = 0
	is.Equal(cost(30000, time.Second), 0.0)
	s.inFlight, s.eventTokens = 4, 0
	is.Equal(cost(30000, time.Second), 0.0)
	s.eventTokens, s.pace = 8, prefill.Pace{}
	is.Equal(cost(30000, time.Second), 0.0)
}

// TestPauseCostBehindQueue guards against a long prompt that costs nothing behind a queue that is
// already too long: long prompts would gather at that engine.
func TestPauseCostBehindQueue(t *testing.T) {
	is, now, tb := is.New(t), time.Unix(100, 0), newPaceTable()
	tb.SetModelPrices(map[contract.ModelID]float64{"m": 1})
	tb.RecordStatedPace("a", 150, now)
	for range 8 {
		tb.RecordPrompt(3*time.Second, 1, 10, now)
	}
	tb.RecordPeerPrompt("a", prefill.Prompt{Model: "m", Tokens: 60000}, 5*time.Second, 0, now)
	w := Work{Prompt: prefill.Prompt{Model: "m", Tokens: 14000}, Objective: 3 * time.Second, PauseTarget: time.Second}
	is.True(tb.estimate(tb.states["a"], w, "d", now).PauseCost > 0.5)
}

// BenchmarkPickAtPaces measures the choice of an upstream with and without the pace and the cost of
// pauses, at 60 and 160 engines in three data centres.
func BenchmarkPickAtPaces(b *testing.B) {
	for _, engines := range []int{60, 160} {
		for name, disabled := range map[string][]Mechanism{"with": nil, "without": {UpstreamPace, StreamPauses}} {
			b.Run(fmt.Sprintf("%d/%s", engines, name), func(b *testing.B) { benchmarkPick(b, engines, disabled) })
		}
	}
}

func benchmarkPick(b *testing.B, engines int, disabled []Mechanism) {
	var entries []Entry
	for i := range engines {
		id := contract.UpstreamID(fmt.Sprintf("u%03d", i))
		entries = append(entries, Entry{ID: id, Service: "s", DataCentre: contract.DataCentreID(fmt.Sprint(i % 3)), Slots: 48, EventTokens: 8})
	}
	tb := NewTable(Options{Listed: true, Policy: Policy{disabled: disabled}})
	tb.ApplyList(List{Entries: entries, Connections: func(contract.ServiceID) int { return 100 }})
	tb.SetModelPrices(map[contract.ModelID]float64{"m": 1})
	now, random := time.Unix(100, 0), seededRandom()
	for i, e := range entries {
		tb.RecordStatedPace(e.ID, 50+i%3*50, now)
		tb.RecordPeerPrompt(e.ID, paceWork.Prompt, 100*time.Millisecond, 0, now)
	}
	tb.CompareUpstreams("0", now)
	w := paceWork
	w.PauseTarget = time.Second
	q := Query{Kind: config.EnginePool, DataCentre: "0", Work: w}
	for b.Loop() {
		if _, err := tb.Pick(q, now, random); err != nil {
			b.Fatal(err)
		}
	}
}
