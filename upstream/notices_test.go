package upstream

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woaddoor/config"
	"woaddoor/contract"
)

// newTwoCentreTable returns a table with two upstreams, u1 in data centre d and u2 in e.
func newTwoCentreTable(incarnation int64, now time.Time) *Table {
	t := NewTable(Options{Listed: true})
	applyList(t, now, listEntry("u1", "d", incarnation), listEntry("u2", "e", 1))
	return t
}

func listEntry(id, dc string, incarnation int64) Entry {
	return Entry{ID: contract.UpstreamID(id), Service: "s", Address: id, DataCentre: contract.DataCentreID(dc), Release: "v1", Slots: 4, Incarnation: incarnation}
}

func applyList(t *Table, now time.Time, entries ...Entry) {
	t.ApplyList(List{Entries: entries, Connections: func(contract.ServiceID) int { return 100 }, Now: now})
}

var engineQuery = Query{Kind: config.EnginePool, DataCentre: "d"}

// pickID returns the upstream selected for a request, or "" if there is none.
func pickID(t *Table, now time.Time) contract.UpstreamID {
	id, err := t.Pick(engineQuery, now, rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		return ""
	}
	return id
}

// TestNoticesPersist lets an upstream state that it is leaving or request a back-off, followed by
// an event that might clear this notice too early. Each notice must hold until the upstream
// restarts or the longest back-off has ended.
func TestNoticesPersist(t *testing.T) {
	const backoff = 3 * time.Second
	for name, c := range map[string]struct {
		stated Notices
		then   func(tb *Table, now time.Time)
		after  time.Duration
		usable bool // whether u1 can be selected afterwards
	}{
		"leaving":                              {Notices{Leaving: true}, nil, time.Hour, false},
		"leaving, then listed as ready":        {Notices{Leaving: true}, func(tb *Table, now time.Time) { applyList(tb, now, listEntry("u1", "d", 1)) }, time.Second, false},
		"leaving, then not listed for a while": {Notices{Leaving: true}, func(tb *Table, now time.Time) { applyList(tb, now); applyList(tb, now, listEntry("u1", "d", 1)) }, time.Second, false},
		"leaving, then a good answer":          {Notices{Leaving: true}, func(tb *Table, now time.Time) { tb.RecordDone("u1", Succeeded, 0, now) }, time.Second, false},
		"leaving, then an answer that states nothing": {Notices{Leaving: true}, func(tb *Table, now time.Time) {
			tb.ApplyNotices(contract.UpstreamInstance{Upstream: "u1", Incarnation: 1}, Notices{}, now)
		}, time.Second, false},
		"leaving, then a new instance": {Notices{Leaving: true}, func(tb *Table, now time.Time) { applyList(tb, now, listEntry("u1", "d", 2)) }, time.Second, true},
		"leaving, stated by another instance": {Notices{}, func(tb *Table, now time.Time) {
			tb.ApplyNotices(contract.UpstreamInstance{Upstream: "u1", Incarnation: 7}, Notices{Leaving: true}, now)
		}, time.Second, true},
		"back-off":                          {Notices{Backoff: backoff}, nil, backoff - 1, false},
		"back-off ended":                    {Notices{Backoff: backoff}, nil, backoff, true},
		"back-off, then a good answer":      {Notices{Backoff: backoff}, func(tb *Table, now time.Time) { tb.RecordDone("u1", Succeeded, 0, now) }, backoff - 1, false},
		"back-off, then a rejected request": {Notices{Backoff: backoff}, func(tb *Table, now time.Time) { tb.RecordDone("u1", Rejected, 0, now) }, backoff - 1, false},
		"back-off, then a shorter one": {Notices{Backoff: backoff}, func(tb *Table, now time.Time) {
			tb.ApplyNotices(contract.UpstreamInstance{Upstream: "u1", Incarnation: 1}, Notices{Backoff: time.Second}, now)
		}, backoff - 1, false},
		"back-off, then a longer one": {Notices{Backoff: backoff}, func(tb *Table, now time.Time) {
			tb.ApplyNotices(contract.UpstreamInstance{Upstream: "u1", Incarnation: 1}, Notices{Backoff: 2 * backoff}, now)
		}, backoff, false},
		"back-off, then listed again":                {Notices{Backoff: backoff}, func(tb *Table, now time.Time) { applyList(tb, now, listEntry("u1", "d", 1)) }, backoff - 1, false},
		"back-off, then not listed for a while":      {Notices{Backoff: backoff}, func(tb *Table, now time.Time) { applyList(tb, now); applyList(tb, now, listEntry("u1", "d", 1)) }, backoff - 1, false},
		"back-off, then a new instance":              {Notices{Backoff: backoff}, func(tb *Table, now time.Time) { applyList(tb, now, listEntry("u1", "d", 2)) }, 0, true},
		"back-off, then TakeEndedBackoffs is called": {Notices{Backoff: backoff}, func(tb *Table, now time.Time) { tb.TakeEndedBackoffs(now) }, backoff - 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			tb := newTwoCentreTable(1, now)
			tb.ApplyNotices(contract.UpstreamInstance{Upstream: "u1", Incarnation: 1}, c.stated, now)
			if c.then != nil {
				c.then(tb, now)
			}
			tb.dropStaleNotices(now)
			now = now.Add(c.after)
			onlyU1 := Query{Kind: config.EnginePool, DataCentre: "d", Exclude: []contract.UpstreamID{"u2"}}
			_, err := tb.Pick(onlyU1, now, rand.New(rand.NewPCG(1, 1)))
			is.Equal(err == nil, c.usable)
			is.Equal(tb.CanPick(onlyU1, now), c.usable)
			is.Equal(tb.HasAlternative(onlyU1, true, now), c.usable)
			_, ok := tb.EstimateBest(onlyU1, now, rand.New(rand.NewPCG(1, 1)))
			is.Equal(ok, c.usable)
		})
	}
}

// TestNoPickWhenAllBackOffOrLeave checks that no upstream is selected if each has requested a
// back-off or is leaving, even as a last resort, and that Outlook reports the back-off that ends
// first.
func TestNoPickWhenAllBackOffOrLeave(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tb := newTwoCentreTable(1, now)
	tb.ApplyNotices(contract.UpstreamInstance{Upstream: "u1", Incarnation: 1}, Notices{Backoff: 2 * time.Second}, now)
	is.Equal(pickID(tb, now), contract.UpstreamID("u2")) // in the other data centre
	is.True(!tb.Outlook(engineQuery, now).NoneAccepting())
	for range 5 {
		tb.RecordDone("u2", ConnectionRefused, 0, now)
	}
	is.Equal(pickID(tb, now), contract.UpstreamID("u2")) // selected as the last resort
	tb.ApplyNotices(contract.UpstreamInstance{Upstream: "u2", Incarnation: 1}, Notices{Leaving: true}, now)
	is.Equal(pickID(tb, now), contract.UpstreamID(""))
	o := tb.Outlook(engineQuery, now)
	is.Equal(o, Outlook{Listed: 2, BackedOff: 1, Leaving: 1, NextBackoffEnd: 2 * time.Second, NextBackoffLength: 2 * time.Second})
	is.True(o.NoneAccepting())
	tb.ApplyNotices(contract.UpstreamInstance{Upstream: "u1", Incarnation: 1}, Notices{Leaving: true}, now)
	is.True(!tb.Outlook(engineQuery, now).NoneAccepting()) // no upstream will accept requests later
}

// TestNoticesAffectReachability checks other effects of notices: a VM that reaches no other data
// centre and whose own upstreams are leaving counts as isolated, a leaving upstream is not a
// probe target for its data centre, and an engine that requested a back-off does not count as
// receiving prompts.
func TestNoticesAffectReachability(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tb := newTwoCentreTable(1, now)
	tb.RecordDataCentreProbe("e", false, now)
	pools := []contract.PoolID{PoolID("s", "v1", "d"), PoolID("s", "v1", "e")}
	is.True(!tb.Isolated("d", pools, now))
	tb.states["u1"].promptSentAt = now
	is.True(tb.states["u1"].receivesPrompts(now))
	tb.ApplyNotices(contract.UpstreamInstance{Upstream: "u1", Incarnation: 1}, Notices{Backoff: time.Second}, now)
	is.True(!tb.states["u1"].receivesPrompts(now))
	is.True(!tb.Isolated("d", pools, now)) // an upstream that requested a back-off accepts requests again soon
	tb.ApplyNotices(contract.UpstreamInstance{Upstream: "u1", Incarnation: 1}, Notices{Leaving: true}, now)
	is.True(tb.Isolated("d", pools, now))
	random := rand.New(rand.NewPCG(1, 1))
	is.Equal(len(tb.ProbeTargets(now, random)), 1)
	tb.ApplyNotices(contract.UpstreamInstance{Upstream: "u2", Incarnation: 1}, Notices{Leaving: true}, now)
	is.Equal(len(tb.ProbeTargets(now, random)), 0)
}

// TestNoticesExpire checks that notices are kept only for instances that are listed or were
// listed within noticesTTL.
func TestNoticesExpire(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tb := NewTable(Options{Listed: true})
	for n := range int64(1000) {
		applyList(tb, now, listEntry("u1", "d", n+1))
		tb.ApplyNotices(contract.UpstreamInstance{Upstream: "u1", Incarnation: n + 1}, Notices{Leaving: true, Backoff: math.MaxInt64 / 2}, now)
		now = now.Add(time.Second)
		tb.CompareUpstreams("d", now)
	}
	is.True(len(tb.notices) <= int(noticesTTL/time.Second)+1)
	for range 2 * int(noticesTTL/time.Second) {
		now = now.Add(time.Second)
		tb.CompareUpstreams("d", now)
	}
	is.Equal(len(tb.notices), 1) // still listed and still leaving
	is.Equal(pickID(tb, now), contract.UpstreamID(""))
}

// TestBackoffOfReportingUpstream checks that a back-off requested by an upstream that sends load
// reports does not end with further reports or a good answer, but ends with a restart.
func TestBackoffOfReportingUpstream(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tb := NewTable(Options{})
	tb.Configure(map[contract.PoolID]*config.Pool{"p": {ID: "p", Kind: config.EnginePool, Slots: 4, Upstreams: []config.Upstream{{ID: "u1", URL: "u1"}}}})
	report := func(instance contract.Incarnation) {
		tb.ApplyReport("u1", contract.LoadReport{Incarnation: instance}, now)
	}
	report(5)
	is.Equal(pickID(tb, now), contract.UpstreamID("u1"))
	tb.ApplyNotices(tb.Instance("u1"), Notices{Backoff: 2 * time.Second}, now)
	now = now.Add(time.Second)
	report(5)
	tb.RecordDone("u1", Succeeded, 0, now)
	is.Equal(pickID(tb, now), contract.UpstreamID(""))
	report(6)
	is.Equal(pickID(tb, now), contract.UpstreamID("u1"))
	now = now.Add(time.Second)
	report(6)
	is.Equal(pickID(tb, now), contract.UpstreamID("u1"))
}

// TestRepeatedlyRejected sends 40 requests per second to two upstreams, one of which rejects
// requests for 5 s without requesting a back-off. It must get only a few requests in that time,
// and its usual share soon after it has answered one. A lack of free connections must not extend
// the time that it is skipped.
func TestRepeatedlyRejected(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tb := newTwoCentreTable(1, now)
	tries, back := 0, time.Duration(0)
	for at := time.Duration(0); at < 7*time.Second; at += 25 * time.Millisecond {
		now = time.Unix(1000, 0).Add(at)
		id := pickID(tb, now)
		tb.RecordSent(id)
		switch {
		case id != "u1":
			tb.RecordDone(id, Succeeded, 0, now)
		case at < 5*time.Second:
			tries++
			tb.RecordDone(id, Rejected, 0, now)
		default:
			if back == 0 {
				back = at - 5*time.Second
			}
			tb.RecordAccepted(id)
			tb.RecordDone(id, Succeeded, 0, now)
		}
	}
	is.True(tries <= 10) // a constant skip of 60 ms would give 67
	is.True(back <= time.Second)
	is.Equal(pickID(tb, now), contract.UpstreamID("u1"))
	tb.RecordDone("u1", NoConnection, 0, now)
	is.Equal(pickID(tb, now.Add(fullSkip)), contract.UpstreamID("u1"))
	tb.RecordDone("u1", Rejected, 0, now)
	tb.RecordDone("u1", NoConnection, 0, now)
	tb.RecordDone("u1", NoConnection, 0, now)
	is.Equal(pickID(tb, now.Add(fullSkip)), contract.UpstreamID("u1"))
}

// TestRandomNoticesPersist generates notices, lists, request results and passing time, and
// compares the selected upstreams with an oracle that never forgets a notice.
func TestRandomNoticesPersist(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		type oracleEntry struct {
			instance contract.UpstreamInstance
			leave    bool
			until    time.Time
		}
		var oracle []oracleEntry
		now := time.Unix(1000, 0)
		incarnations := map[contract.UpstreamID]int64{"u1": 1, "u2": 1}
		tb := newTwoCentreTable(1, now)
		for range rapid.IntRange(1, 40).Draw(r, "steps") {
			id := contract.UpstreamID(fmt.Sprint("u", rapid.IntRange(1, 2).Draw(r, "upstream")))
			switch rapid.IntRange(0, 4).Draw(r, "step") {
			case 0:
				stated := Notices{Leaving: rapid.IntRange(0, 9).Draw(r, "leaving") == 0, Backoff: time.Duration(rapid.IntRange(0, 3000).Draw(r, "back-off")) * time.Millisecond}
				l := contract.UpstreamInstance{Upstream: id, Incarnation: incarnations[id]}
				tb.ApplyNotices(l, stated, now)
				oracle = append(oracle, oracleEntry{l, stated.Leaving, now.Add(stated.Backoff)})
			case 1:
				tb.RecordDone(id, Result(rapid.IntRange(0, int(Broken)).Draw(r, "result")), 0, now)
			case 2:
				incarnations[id] += int64(rapid.IntRange(0, 1).Draw(r, "restarts"))
				applyList(tb, now, listEntry("u1", "d", incarnations["u1"]), listEntry("u2", "e", incarnations["u2"]))
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(r, "advance")) * time.Millisecond)
			case 4:
				tb.CompareUpstreams("d", now)
				tb.TakeEndedBackoffs(now)
			}
			got := pickID(tb, now)
			for _, e := range oracle {
				if got == e.instance.Upstream && incarnations[got] == e.instance.Incarnation && (e.leave || now.Before(e.until)) {
					r.Fatalf("%s is selected at %v despite the notice %+v", got, now, e)
				}
			}
		}
	})
}
