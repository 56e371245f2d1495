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
	"woaddoor/reading"
	"woaddoor/upstream"
)

// clocked returns a relay whose clock the test moves, before an upstream in each of two
// data centres; the first is its own.
func clocked(now *time.Time) *Relay {
	r := New(&Options{
		Log: zap.NewNop(), Now: func() time.Time { return *now }, VMs: func() int { return 1 }, Seed: 1, DataCentre: "d",
	})
	r.SetUpstreams([]upstream.Entry{
		{ID: "u", Service: "s", Slots: 8, DataCentre: "d", Born: 1, Address: "u"},
		{ID: "x", Service: "s", Slots: 8, DataCentre: "e", Born: 1, Address: "x"},
	}, nil)
	return r
}

// TestEvacuationIsARamp checks that the load of a data centre moves over rampMost, that
// a request which has moved stays so, and that none is left after it.
func TestEvacuationIsARamp(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := clocked(&now)
	r.SetEvacuated([]contract.DataCentreID{"d"})
	const n = 1000
	moved := make(map[int]bool)
	at := func(d time.Duration) int {
		now = time.Unix(1000, 0).Add(d)
		count := 0
		for i := range n {
			j := testJob(true)
			j.service, j.ID = "s", contract.RequestID(fmt.Sprint(i))
			gone := true
			for _, c := range r.eligible(j, now) {
				for _, id := range c.ids {
					gone = gone && r.centreOf[id] != "d"
				}
			}
			is.True(gone || !moved[i])
			moved[i] = gone
			if gone {
				count++
			}
		}
		return count
	}
	is.Equal(at(0), 0)
	half := at(rampMost / 2)
	is.True(half > 4*n/10 && half < 6*n/10)
	is.Equal(at(rampMost), n)
	r.SetEvacuated(nil)
	clear(moved)
	is.Equal(at(rampMost), 0)
}

// TestRampFitsTheBound checks that the ramp leaves four fifths of a short bound.
func TestRampFitsTheBound(t *testing.T) {
	is := is.New(t)
	r := testRelay()
	is.Equal(r.ramp(), rampMost)
	r.opts.Evacuation = 2 * time.Second
	is.Equal(r.ramp(), 400*time.Millisecond)
	r.opts.Evacuation = time.Minute
	is.Equal(r.ramp(), rampMost)
}

// TestEvacuatedAndCutOff checks that a VM cut off from all but its own data centre says
// that it serves nothing while that is evacuated.
func TestEvacuatedAndCutOff(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := clocked(&now)
	r.locked(func() { r.table.Reached("e", false, now) })
	r.note()
	is.True(r.alone.IsZero())
	r.SetEvacuated([]contract.DataCentreID{"d"})
	now = now.Add(rampMost)
	r.locked(func() { r.table.Reached("e", false, now) })
	r.note()
	now = now.Add(aloneFor)
	is.True(r.CutOff())
}

// TestEarlierLife checks that what comes late of an earlier life of an upstream, from
// own requests or from other VMs, says nothing of the one that started under its id.
func TestEarlierLife(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := clocked(&now)
	j := testJob(true)
	j.service, j.PromptTokens = "s", 4000
	e, refused := r.pick(j)
	is.True(refused == nil)
	is.Equal(r.table.Running("d")+r.table.Running("e"), 1)
	again := func(id contract.UpstreamID, dc contract.DataCentreID) upstream.Entry {
		return upstream.Entry{ID: id, Service: "s", Slots: 8, DataCentre: dc, Born: 2, Address: string(id)}
	}
	r.SetUpstreams([]upstream.Entry{again("u", "d"), again("x", "e")}, nil)
	is.Equal(r.table.Running("d")+r.table.Running("e"), 0)
	r.ended(j, e, upstream.Broken, 0)
	is.Equal(r.table.Running("d")+r.table.Running("e"), 0) // not below

	parts := []reading.Part{{Key: 1, Tokens: 3000}, {Key: 2, Tokens: 1000}}
	told := func(born int64) int {
		r.HearSent([]Sent{{Upstream: "u", Model: "m", Tokens: 4000, Parts: parts, Takes: time.Millisecond, Born: born}})
		q := upstream.Query{DataCentre: "d", Work: upstream.Work{Prompt: reading.Prompt{Model: "m", Tokens: 4000, Parts: parts}, Objective: time.Second}}
		q.Kind = r.query(j, candidates{}, now).Kind
		got, ok := r.table.Best(q, now, r.random)
		is.True(ok)
		return got.Kept
	}
	is.Equal(told(1), 0)
	is.Equal(told(2), 3000)
}

// TestRefusalTellsOfEvacuations checks that a request which is refused while a data
// centre is evacuated is logged with it, as lines are written in production.
func TestRefusalTellsOfEvacuations(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := clocked(&now)
	var lines strings.Builder
	r.log = logs.New(&lines)
	r.SetEvacuated([]contract.DataCentreID{"d", "e"})
	j := testJob(true)
	r.finish(j, Refused, r.noUpstream(j, r.opts.Now()))
	is.True(strings.Contains(lines.String(), "event=refused"))
	is.True(strings.Contains(lines.String(), "evacuated=d,e") || strings.Contains(lines.String(), `evacuated="d,e"`) || strings.Contains(lines.String(), "evacuated=\"[d,e]\""))
}
