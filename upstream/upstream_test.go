package upstream

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woaddoor/config"
	"woaddoor/contract"
)

const testVersion = contract.VersionID("m@1")

func newReportingTable(ids ...string) *Table {
	p := &config.Pool{ID: "p", Kind: config.EnginePool, DataCentre: "d", Slots: 4}
	for _, id := range ids {
		p.Upstreams = append(p.Upstreams, config.Upstream{ID: contract.UpstreamID(id), URL: "http://" + id})
	}
	t := NewTable(Options{})
	t.Configure(map[contract.PoolID]*config.Pool{"p": p})
	return t
}

func loadReport(inc contract.Incarnation) contract.LoadReport {
	return contract.LoadReport{Incarnation: inc, Versions: []contract.VersionID{testVersion}}
}

var reportingQuery = Query{Kind: config.EnginePool, DataCentre: "d", Version: testVersion}

func seededRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// TestLeavingUpstreamGetsNoWork checks that a leaving upstream gets no new work even if the
// platform's list lags or is unavailable, and that a new instance of the upstream gets work.
func TestLeavingUpstreamGetsNoWork(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	tb := newReportingTable("a")
	_, err := tb.Pick(reportingQuery, now, seededRandom())
	is.Equal(err, ErrNone) // no load report yet

	tb.ApplyReport("a", loadReport(1), now)
	_, err = tb.Pick(reportingQuery, now, seededRandom())
	is.NoErr(err)

	// The platform is unavailable and the upstream stops without notice: its reports time out.
	_, err = tb.Pick(reportingQuery, now.Add(defaultReportTimeout), seededRandom())
	is.Equal(err, ErrNone)

	// The upstream reports that it is draining, while the lagging list still has it as live.
	draining := loadReport(1)
	draining.Draining = true
	tb.ApplyReport("a", draining, now.Add(time.Second))
	tb.MarkLeaving(map[contract.UpstreamID]bool{})
	tb.ApplyReport("a", loadReport(1), now.Add(2*time.Second)) // a stale report of the same instance
	_, err = tb.Pick(reportingQuery, now.Add(2*time.Second), seededRandom())
	is.Equal(err, ErrNone)

	// A new instance at the same address, followed by a late report of the previous one.
	tb.ApplyReport("a", loadReport(2), now.Add(3*time.Second))
	tb.ApplyReport("a", draining, now.Add(4*time.Second))
	_, err = tb.Pick(reportingQuery, now.Add(4*time.Second), seededRandom())
	is.NoErr(err)

	tb.MarkLeaving(map[contract.UpstreamID]bool{"a": true})
	_, err = tb.Pick(reportingQuery, now.Add(4*time.Second), seededRandom())
	is.Equal(err, ErrNone)
}

// TestPickRequiresLoadedVersion checks that requests go only to engines whose load reports
// contain the requested model version: if an engine unloaded it after a late order, its next
// report shows that.
func TestPickRequiresLoadedVersion(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	tb := newReportingTable("a", "b")
	tb.ApplyReport("a", loadReport(1), now)
	other := loadReport(1)
	other.Versions = []contract.VersionID{"m@2"}
	tb.ApplyReport("b", other, now)
	for range 20 {
		id, err := tb.Pick(reportingQuery, now, seededRandom())
		is.NoErr(err)
		is.Equal(id, contract.UpstreamID("a"))
	}
}

// TestCircuitBreaker checks that a failing upstream gets no requests, is probed by one request at a
// time, and is used again after a good answer.
func TestCircuitBreaker(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	tb := newReportingTable("a")
	tb.ApplyReport("a", loadReport(1), now)
	for range breakerThreshold {
		tb.RecordSent("a")
		tb.RecordDone("a", Failed, 0, now)
	}
	_, err := tb.Pick(reportingQuery, now, seededRandom())
	is.Equal(err, ErrNone)
	now = now.Add(breakerBackoffBase)
	_, err = tb.Pick(reportingQuery, now, seededRandom())
	is.NoErr(err) // the probe
	tb.RecordSent("a")
	_, err = tb.Pick(reportingQuery, now, seededRandom())
	is.Equal(err, ErrNone) // no second probe request while one is in flight
	tb.RecordDone("a", Succeeded, time.Millisecond, now)
	_, err = tb.Pick(reportingQuery, now, seededRandom())
	is.NoErr(err)
}

// TestPickReturnsOnlyUsableUpstreams checks with random events that a selected upstream always
// has the requested model version and a recent load report, is not leaving and is not excluded.
func TestPickReturnsOnlyUsableUpstreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tb := newReportingTable("a", "b", "c")
		now := time.Unix(100, 0)
		r := seededRandom()
		gone := make(map[contract.UpstreamID]bool)
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			id := contract.UpstreamID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"))
			switch rapid.SampledFrom([]string{"report", "drain", "pick"}).Draw(t, "event") {
			case "report":
				tb.ApplyReport(id, loadReport(1), now)
			case "drain":
				l := loadReport(1)
				l.Draining = true
				tb.ApplyReport(id, l, now)
				gone[id] = true
			case "pick":
				q := reportingQuery
				q.Exclude = []contract.UpstreamID{id}
				got, err := tb.Pick(q, now, r)
				if err != nil {
					continue
				}
				if got == id || gone[got] || now.Sub(tb.states[got].reportedAt) >= defaultReportTimeout {
					t.Fatalf("picked %s", got)
				}
				tb.RecordSent(got)
				tb.RecordDone(got, Succeeded, time.Millisecond, now)
			}
		}
	})
}
