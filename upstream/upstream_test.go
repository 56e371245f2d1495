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

const v1 = contract.VersionID("m@1")

func table(ids ...string) *Table {
	p := &config.Pool{ID: "p", Kind: config.EnginePool, DataCentre: "d", Slots: 4}
	for _, id := range ids {
		p.Upstreams = append(p.Upstreams, config.Upstream{ID: contract.UpstreamID(id), URL: "http://" + id})
	}
	t := NewTable(Options{})
	t.Configure(map[contract.PoolID]*config.Pool{"p": p})
	return t
}

func report(inc contract.Incarnation) contract.Load {
	return contract.Load{Incarnation: inc, Versions: []contract.VersionID{v1}}
}

var query = Query{Kind: config.EnginePool, DataCentre: "d", Version: v1}

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// TestLeaving shows that a leaving upstream gets no new work though the
// platform's list lags or is out, and that a new life of it does.
func TestLeaving(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	tb := table("a")
	_, err := tb.Pick(query, now, random())
	is.Equal(err, ErrNone) // never heard of

	tb.Reported("a", report(1), now)
	_, err = tb.Pick(query, now, random())
	is.NoErr(err)

	// Platform out and the upstream gone without a word: silence takes it out.
	_, err = tb.Pick(query, now.Add(defaultSilentAfter), random())
	is.Equal(err, ErrNone)

	// It says so itself, and the list, which lags, still has it live.
	draining := report(1)
	draining.Draining = true
	tb.Reported("a", draining, now.Add(time.Second))
	tb.Unlisted(map[contract.UpstreamID]bool{})
	tb.Reported("a", report(1), now.Add(2*time.Second)) // a stale page of the same life
	_, err = tb.Pick(query, now.Add(2*time.Second), random())
	is.Equal(err, ErrNone)

	// Another life under the same address; then a late report of the former.
	tb.Reported("a", report(2), now.Add(3*time.Second))
	tb.Reported("a", draining, now.Add(4*time.Second))
	_, err = tb.Pick(query, now.Add(4*time.Second), random())
	is.NoErr(err)

	tb.Unlisted(map[contract.UpstreamID]bool{"a": true})
	_, err = tb.Pick(query, now.Add(4*time.Second), random())
	is.Equal(err, ErrNone)
}

// TestVersionHeld shows that routing goes by what an engine says it holds: a
// late order that took a version away is seen with the next report.
func TestVersionHeld(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	tb := table("a", "b")
	tb.Reported("a", report(1), now)
	other := report(1)
	other.Versions = []contract.VersionID{"m@2"}
	tb.Reported("b", other, now)
	for range 20 {
		id, err := tb.Pick(query, now, random())
		is.NoErr(err)
		is.Equal(id, contract.UpstreamID("a"))
	}
}

// TestBreaker shows that an upstream that fails is left alone, probed by one
// request at a time, and back after a good one.
func TestBreaker(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	tb := table("a")
	tb.Reported("a", report(1), now)
	for range breakAfter {
		tb.Sent("a")
		tb.Done("a", Failed, 0, now)
	}
	_, err := tb.Pick(query, now, random())
	is.Equal(err, ErrNone)
	now = now.Add(breakBase)
	_, err = tb.Pick(query, now, random())
	is.NoErr(err) // the probe
	tb.Sent("a")
	_, err = tb.Pick(query, now, random())
	is.Equal(err, ErrNone) // no second while it runs
	tb.Done("a", Good, time.Millisecond, now)
	_, err = tb.Pick(query, now, random())
	is.NoErr(err)
}

// TestPickIsPermitted checks, over drawn states, that a picked upstream always
// holds the version, was heard of in time, is not leaving and not excluded.
func TestPickIsPermitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tb := table("a", "b", "c")
		now := time.Unix(100, 0)
		r := random()
		gone := make(map[contract.UpstreamID]bool)
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			id := contract.UpstreamID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"))
			switch rapid.SampledFrom([]string{"report", "drain", "pick"}).Draw(t, "event") {
			case "report":
				tb.Reported(id, report(1), now)
			case "drain":
				l := report(1)
				l.Draining = true
				tb.Reported(id, l, now)
				gone[id] = true
			case "pick":
				q := query
				q.Exclude = []contract.UpstreamID{id}
				got, err := tb.Pick(q, now, r)
				if err != nil {
					continue
				}
				if got == id || gone[got] || now.Sub(tb.states[got].heardAt) >= defaultSilentAfter {
					t.Fatalf("picked %s", got)
				}
				tb.Sent(got)
				tb.Done(got, Good, time.Millisecond, now)
			}
		}
	})
}
