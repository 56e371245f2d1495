package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"woaddoor/contract"
	"woaddoor/prefill"
	"woaddoor/upstream"
)

// newOverflowRelay returns a relay of data centre d, and one of data centre e, whose engines have
// each received a prompt. Both list the same engines.
func newOverflowRelay(t *testing.T, dc contract.DataCentreID, disabled ...string) (*Relay, *observer.ObservedLogs) {
	t.Helper()
	core, logs := observer.New(zap.InfoLevel)
	r := newTestRelay()
	r.opts.DataCentre, r.log = dc, zap.New(core)
	policy, err := upstream.NewPolicy(disabled)
	if err != nil {
		t.Fatal(err)
	}
	r.opts.Policy = policy
	r.table = upstream.NewTable(upstream.Options{Listed: true, Policy: policy})
	entries := []upstream.Entry{
		{ID: "d0", Service: "s", Address: "127.0.0.1:1", DataCentre: "d", Release: "v1", Slots: 48, Incarnation: 1},
		{ID: "e0", Service: "s", Address: "127.0.0.1:2", DataCentre: "e", Release: "v1", Slots: 48, Incarnation: 1},
	}
	r.table.ApplyList(upstream.List{Entries: entries, Connections: func(contract.ServiceID) int { return 10 }})
	for _, e := range entries {
		r.entries[e.ID] = e
	}
	r.table.RecordPeerPrompt(contract.UpstreamID(dc+"0"), prefill.Prompt{Model: "small", Tokens: 900}, 5*time.Second, 0, time.Now())
	r.table.CompareUpstreams(dc, time.Now())
	return r, logs
}

// TestOverflowReportsBetweenRelays checks that the report of one data centre moves prompts of
// another, that the log line states the inputs, and that the mechanism can be disabled.
func TestOverflowReportsBetweenRelays(t *testing.T) {
	is := is.New(t)
	remote, _ := newOverflowRelay(t, "e")
	report, ok := remote.OverflowReport()
	is.True(ok)
	is.Equal(report.Services[0].Engines, 1)
	is.True(report.Services[0].WaitMillis > 4000)
	for _, disabled := range [][]string{nil, {"overflow"}, {"telling"}} {
		r, logs := newOverflowRelay(t, "d", disabled...)
		_, reports := r.OverflowReport()
		is.Equal(reports, len(disabled) == 0)
		r.MergeOverflowReport(report)
		j := newStreamJob(true)
		j.PromptTokens, j.service = 900, "s"
		r.withLock(func() { r.recordPendingPrompt(j, "e0", time.Now()) })
		lines := logs.FilterMessage("overflow").All()
		is.Equal(len(lines), int(r.Metrics.overflowPrompts.Count()))
		if len(disabled) > 0 {
			is.Equal(len(lines), 0)
			continue
		}
		is.Equal(len(lines), 1)
		is.Equal(lines[0].ContextMap()["to"], "e")
		is.Equal(lines[0].ContextMap()["reported_wait_ms"], report.Services[0].WaitMillis)
		r.MergeOverflowReport(report) // repeated
		is.Equal(r.Metrics.overflowReportsUsed.Count(), int64(1))
	}
}

// TestEvacuatedDataCentreReportsNoEngines checks that a data centre that is evacuated attracts
// nothing, although VMs elsewhere may not know of the evacuation yet.
func TestEvacuatedDataCentreReportsNoEngines(t *testing.T) {
	is := is.New(t)
	remote, _ := newOverflowRelay(t, "e")
	r, logs := newOverflowRelay(t, "d")
	before, _ := remote.OverflowReport()
	r.MergeOverflowReport(before)
	remote.SetEvacuated([]contract.DataCentreID{"e"})
	time.Sleep(2 * time.Millisecond) // the next report has a later time
	after, ok := remote.OverflowReport()
	is.True(ok)
	is.Equal(after.Services, []upstream.ServiceSummary{{Service: "s"}})
	r.MergeOverflowReport(after)
	j := newStreamJob(true)
	j.PromptTokens, j.service = 900, "s"
	r.withLock(func() { r.recordPendingPrompt(j, "e0", time.Now()) })
	is.Equal(logs.FilterMessage("overflow").Len(), 0)
}

// TestNoOverflowReportsInRegionScope checks that nothing is reported where VMs of other data
// centres learn of each prompt.
func TestNoOverflowReportsInRegionScope(t *testing.T) {
	is := is.New(t)
	r, _ := newOverflowRelay(t, "d")
	r.gossipScope.Region = true
	_, ok := r.OverflowReport()
	is.True(!ok)
}
