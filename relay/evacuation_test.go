package relay

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/logs"
	"woaddoor/prefill"
	"woaddoor/upstream"
)

// newClockedRelay returns a relay with a clock that the test controls and one upstream in each
// of two data centres. The first data centre is the relay's own.
func newClockedRelay(now *time.Time) *Relay {
	r := New(&Options{
		Log: zap.NewNop(), Now: func() time.Time { return *now }, VMs: func() int { return 1 }, Seed: 1, DataCentre: "d",
	})
	r.SetUpstreams([]upstream.Entry{
		{ID: "u", Service: "s", Slots: 8, DataCentre: "d", Incarnation: 1, Address: "u"},
		{ID: "x", Service: "s", Slots: 8, DataCentre: "e", Incarnation: 1, Address: "x"},
	}, nil)
	return r
}

// TestEvacuationMovesLoadGradually checks that the load of an evacuated data centre moves over
// maxRamp, that a request that has moved does not return, and that no load remains at the end.
func TestEvacuationMovesLoadGradually(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := newClockedRelay(&now)
	r.SetEvacuated([]contract.DataCentreID{"d"})
	const n = 1000
	moved := make(map[int]bool)
	movedAfter := func(d time.Duration) int {
		now = time.Unix(1000, 0).Add(d)
		count := 0
		for i := range n {
			j := newStreamJob(true)
			j.service, j.ID = "s", contract.RequestID(fmt.Sprint(i))
			movedNow := true
			for _, c := range r.eligiblePools(j, now) {
				for _, id := range c.pools {
					movedNow = movedNow && r.dataCentreOf[id] != "d"
				}
			}
			is.True(movedNow || !moved[i])
			moved[i] = movedNow
			if movedNow {
				count++
			}
		}
		return count
	}
	is.Equal(movedAfter(0), 0)
	half := movedAfter(maxRamp / 2)
	is.True(half > 4*n/10 && half < 6*n/10)
	is.Equal(movedAfter(maxRamp), n)
	r.SetEvacuated(nil)
	clear(moved)
	is.Equal(movedAfter(maxRamp), 0)
}

// TestRampFitsEvacuationBound checks that the ramp uses at most one fifth of a short
// evacuation bound.
func TestRampFitsEvacuationBound(t *testing.T) {
	is := is.New(t)
	r := newTestRelay()
	is.Equal(r.evacuationRamp(), maxRamp)
	r.opts.EvacuationBound = 2 * time.Second
	is.Equal(r.evacuationRamp(), 400*time.Millisecond)
	r.opts.EvacuationBound = time.Minute
	is.Equal(r.evacuationRamp(), maxRamp)
}

// TestIsolatedWhileLocalDataCentreIsEvacuated checks that a VM that can reach only the
// upstreams in its own data centre reports that it is isolated while that data centre is
// evacuated.
func TestIsolatedWhileLocalDataCentreIsEvacuated(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := newClockedRelay(&now)
	r.withLock(func() { r.table.RecordDataCentreProbe("e", false, now) })
	r.updateIsolation()
	is.True(r.isolatedSince.IsZero())
	r.SetEvacuated([]contract.DataCentreID{"d"})
	now = now.Add(maxRamp)
	r.withLock(func() { r.table.RecordDataCentreProbe("e", false, now) })
	r.updateIsolation()
	now = now.Add(isolationDelay)
	is.True(r.Isolated())
}

// TestReportsOfEarlierInstanceIgnored checks that late results of this VM's requests and late
// reports of other VMs about an earlier instance of an upstream do not change the state of the
// instance that has replaced it.
func TestReportsOfEarlierInstanceIgnored(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := newClockedRelay(&now)
	j := newStreamJob(true)
	j.service, j.PromptTokens = "s", 4000
	e, refused := r.selectUpstream(j)
	is.True(refused == nil)
	is.Equal(r.table.InFlightIn("d")+r.table.InFlightIn("e"), 1)
	restarted := func(id contract.UpstreamID, dc contract.DataCentreID) upstream.Entry {
		return upstream.Entry{ID: id, Service: "s", Slots: 8, DataCentre: dc, Incarnation: 2, Address: string(id)}
	}
	r.SetUpstreams([]upstream.Entry{restarted("u", "d"), restarted("x", "e")}, nil)
	is.Equal(r.table.InFlightIn("d")+r.table.InFlightIn("e"), 0)
	r.recordAttemptEnd(j, e, upstream.Broken, 0)
	is.Equal(r.table.InFlightIn("d")+r.table.InFlightIn("e"), 0) // and not negative

	parts := []prefill.Part{{Key: 1, Tokens: 3000}, {Key: 2, Tokens: 1000}}
	cachedTokens := func(incarnation int64) int {
		r.MergeSent([]SentPrompt{{Upstream: "u", Model: "m", Tokens: 4000, Parts: parts, PrefillTime: time.Millisecond, Incarnation: incarnation}})
		q := upstream.Query{DataCentre: "d", Work: upstream.Work{Prompt: prefill.Prompt{Model: "m", Tokens: 4000, Parts: parts}, Objective: time.Second}}
		q.Kind = r.upstreamQuery(j, candidatePools{}, now).Kind
		got, ok := r.table.EstimateBest(q, now, r.random)
		is.True(ok)
		return got.CachedTokens
	}
	is.Equal(cachedTokens(1), 0)
	is.Equal(cachedTokens(2), 3000)
}

// TestRefusalLogListsEvacuations checks that the log line of a refusal lists the evacuated
// data centres, in the log format used in production.
func TestRefusalLogListsEvacuations(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := newClockedRelay(&now)
	var lines strings.Builder
	r.log = logs.New(&lines)
	r.SetEvacuated([]contract.DataCentreID{"d", "e"})
	j := newStreamJob(true)
	r.recordRequestEnd(j, Refused, r.refuseNoUpstream(j, r.opts.Now()))
	is.True(strings.Contains(lines.String(), "event=refused"))
	is.True(strings.Contains(lines.String(), "evacuated=d,e") || strings.Contains(lines.String(), `evacuated="d,e"`) || strings.Contains(lines.String(), "evacuated=\"[d,e]\""))
}
