package upstream

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woaddoor/config"
	"woaddoor/contract"
	"woaddoor/prefill"
)

// newListedTable returns a table with n upstreams in each of two data centres.
func newListedTable(n int) (*Table, []Entry) {
	var entries []Entry
	for _, dc := range []contract.DataCentreID{"d", "e"} {
		for i := range n {
			id := contract.UpstreamID(fmt.Sprintf("%s%d", dc, i))
			entries = append(entries, Entry{ID: id, Service: "s", Address: string(id), DataCentre: dc, Release: "v1", Slots: 4})
		}
	}
	t := NewTable(Options{Listed: true})
	t.ApplyList(List{Entries: entries, Connections: func(contract.ServiceID) int { return 8 }})
	return t, entries
}

var listedQuery = Query{Kind: config.EnginePool, DataCentre: "d"}

// TestPickSkipsUnfitUpstreams checks which events make Pick avoid an upstream, and when it is
// selected again.
func TestPickSkipsUnfitUpstreams(t *testing.T) {
	now := time.Unix(100, 0)
	picks := func(tb *Table, q Query, now time.Time) map[contract.UpstreamID]int {
		seen := make(map[contract.UpstreamID]int)
		r := seededRandom()
		for range 40 {
			id, err := tb.Pick(q, now, r)
			if err == nil {
				seen[id]++
			}
		}
		return seen
	}
	t.Run("failing", func(t *testing.T) {
		is := is.New(t)
		tb, _ := newListedTable(2)
		for range 3 {
			tb.RecordSent("d0")
			tb.RecordDone("d0", Failed, 0, now)
		}
		is.Equal(picks(tb, listedQuery, now)["d0"], 0)
	})
	t.Run("unreachable data centre", func(t *testing.T) {
		is := is.New(t)
		tb, _ := newListedTable(2)
		q := listedQuery
		q.DataCentre = "x" // all upstreams are in other data centres
		tb.RecordSent("e0")
		tb.RecordDone("e0", Unreachable, 0, now)
		seen := picks(tb, q, now)
		is.Equal(seen["e0"]+seen["e1"], 0)
		seen = picks(tb, q, now.Add(unreachableFor+probeBackoffMax))
		is.True(seen["e1"] > 0)
	})
	t.Run("rejected", func(t *testing.T) {
		is := is.New(t)
		tb, _ := newListedTable(2)
		tb.RecordSent("d0")
		tb.RecordDone("d0", Rejected, 0, now)
		is.Equal(picks(tb, listedQuery, now)["d0"], 0)
		is.True(picks(tb, listedQuery, now.Add(fullSkip))["d0"] > 0)
	})
	t.Run("all failing", func(t *testing.T) {
		is := is.New(t)
		tb, entries := newListedTable(1)
		for _, e := range entries {
			for range 4 {
				tb.RecordSent(e.ID)
				tb.RecordDone(e.ID, Failed, 0, now)
			}
		}
		_, err := tb.Pick(listedQuery, now, seededRandom())
		is.NoErr(err) // a try is better than a refusal
	})
	t.Run("long prompt ahead", func(t *testing.T) {
		is := is.New(t)
		tb, _ := newListedTable(2)
		w := Work{Prompt: prefill.Prompt{Model: "m", Tokens: 50000}, Objective: time.Second}
		e, queueID := tb.RecordExpected("d0", w, "d", now)
		q := listedQuery
		q.Work = Work{Prompt: prefill.Prompt{Model: "m", Tokens: 100}, Objective: time.Second}
		is.Equal(picks(tb, q, now)["d0"], 0)
		now = now.Add(e.Prefill)
		tb.RecordAnswerBegin("d0", queueID, w, e, e.TimeToFirstToken(), now)
		is.True(picks(tb, q, now)["d0"] > 0)
	})
	t.Run("home of a prefix", func(t *testing.T) {
		is := is.New(t)
		tb, _ := newListedTable(3)
		q := listedQuery
		q.Prefix, q.Work = 77, Work{Prompt: prefill.Prompt{Model: "m", Tokens: 9000}, Objective: time.Second}
		is.Equal(len(picks(tb, q, now)), 1) // only one upstream prefills the shared prefix
	})
	t.Run("cached prefix", func(t *testing.T) {
		is := is.New(t)
		tb, _ := newListedTable(3)
		q := listedQuery
		q.Work = Work{Prompt: prefill.Prompt{Model: "m", Tokens: 9000, Parts: []prefill.Part{{Key: 7, Tokens: 8000}, {Key: 8, Tokens: 1000}}}, Objective: time.Second}
		tb.RecordPeerPrompt("d2", q.Work.Prompt, 0, 0, now) // another VM has sent this prompt to d2
		is.Equal(picks(tb, q, now)["d2"], 40)
	})
}

// TestPickRespectsExclusions checks with random events that Pick never returns an upstream that is
// leaving, that was already tried, or to which this VM has no free connection.
func TestPickRespectsExclusions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tb, entries := newListedTable(2)
		now := time.Unix(100, 0)
		r := seededRandom()
		inFlight := make(map[contract.UpstreamID]int)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(entries)-1).Draw(t, "upstream")
			switch rapid.SampledFrom([]string{"leave", "pick", "done"}).Draw(t, "event") {
			case "leave":
				entries[i].Leaving = true
				tb.ApplyList(List{Entries: entries, Connections: func(contract.ServiceID) int { return 8 }})
			case "pick":
				q := listedQuery
				q.Exclude = []contract.UpstreamID{entries[i].ID}
				id, err := tb.Pick(q, now, r)
				if err != nil {
					continue
				}
				for _, e := range entries {
					if e.ID == id && (e.Leaving || id == q.Exclude[0] || inFlight[id] >= 8) {
						t.Fatalf("picked %+v with %d in flight", e, inFlight[id])
					}
				}
				tb.RecordSent(id)
				inFlight[id]++
			case "done":
				id := entries[i].ID
				if inFlight[id] > 0 {
					inFlight[id]--
					result := rapid.SampledFrom([]Result{Succeeded, Failed, NoConnection, Rejected, Unreachable, Abandoned}).Draw(t, "result")
					tb.RecordDone(id, result, time.Millisecond, now)
				}
			}
		}
	})
}

// TestEnginesOutsideGossipScopeAreNotIdle checks that an engine outside the gossip scope, whose
// requests from other VMs are unknown, is not assumed to be idle: otherwise all callers of a busy
// data centre would be sent there.
func TestEnginesOutsideGossipScopeAreNotIdle(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	p := prefill.Prompt{Model: "m", Tokens: 9000}
	r := seededRandom()
	newLoadedTable := func(g GossipScope) (*Table, Query) {
		tb, _ := newListedTable(3)
		for _, id := range []contract.UpstreamID{"d0", "d1", "d2"} {
			tb.RecordPeerPrompt(id, p, 1500*time.Millisecond, 0, now)
		}
		tb.SetGossipScope(g)
		tb.CompareUpstreams("d", now)
		q := listedQuery
		q.Work = Work{Prompt: prefill.Prompt{Model: "m", Tokens: 100}, Objective: time.Second}
		return tb, q
	}
	tb, q := newLoadedTable(GossipScope{})
	e, ok := tb.EstimateBest(q, now, r)
	is.True(ok)
	is.True(e.Wait >= time.Second) // an engine with unknown load is not assumed to be idle
	tb, q = newLoadedTable(GossipScope{Region: true})
	e, ok = tb.EstimateBest(q, now, r)
	is.True(ok)
	is.Equal(e.Wait, time.Duration(0)) // the remote engines are known to be idle
}

// TestPrefillPriceRisesWithLoad checks that prefill is free while no requests arrive, and that its
// price rises with its duration, the queue and the number of requests.
func TestPrefillPriceRisesWithLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		price := func(requests int, e Estimate) float64 {
			tb, _ := newListedTable(2)
			tb.RecordPeerPrompt("d0", prefill.Prompt{Model: "m", Tokens: 2000}, time.Millisecond, 0, now)
			tb.CompareUpstreams("d", now)
			for range requests {
				tb.RecordPrompt(2*time.Second, 1, 1, now)
			}
			return tb.PrefillPrice(e)
		}
		ms := func(label string) time.Duration {
			return time.Duration(rapid.IntRange(1, 5000).Draw(t, label)) * time.Millisecond
		}
		e := Estimate{Wait: ms("wait"), Prefill: ms("prefill")}
		n := rapid.IntRange(1, 50).Draw(t, "requests")
		if price(0, e) != 0 {
			t.Fatal("prefill has a price although no requests arrive")
		}
		longer := Estimate{Wait: e.Wait + ms("more wait"), Prefill: e.Prefill + ms("more prefill")}
		if p := price(n, e); p <= 0 || price(n, longer) <= p || price(n+1, e) <= p {
			t.Fatalf("price %v does not rise", p)
		}
	})
}

// BenchmarkPick measures one pick, including the estimates, among 140 engines that cache 2,000
// prefixes.
func BenchmarkPick(b *testing.B) {
	var entries []Entry
	for i := range 140 {
		id := contract.UpstreamID(fmt.Sprintf("u%03d", i))
		entries = append(entries, Entry{ID: id, Service: "s", Address: string(id), DataCentre: contract.DataCentreID(fmt.Sprint(i % 3)), Release: "v1", Slots: 48, CacheTokens: 460000})
	}
	tb := NewTable(Options{Listed: true})
	tb.ApplyList(List{Entries: entries, Connections: func(contract.ServiceID) int { return 80 }})
	now := time.Unix(100, 0)
	r := seededRandom()
	prompt := func(i int) prefill.Prompt {
		return prefill.Prompt{Model: "m", Tokens: 9000, Parts: []prefill.Part{{Key: uint64(i % 2000), Tokens: 8000}, {Key: uint64(100000 + i), Tokens: 1000}}}
	}
	for i := range 4000 {
		tb.RecordPeerPrompt(entries[r.IntN(140)].ID, prompt(i), 100*time.Millisecond, 0, now)
	}
	tb.SetGossipScope(GossipScope{Region: true})
	tb.CompareUpstreams("0", now)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		q := Query{Kind: config.EnginePool, DataCentre: "0", Prefix: uint64(i%2000) + 1, Work: Work{Prompt: prompt(i), Objective: time.Second}}
		if _, err := tb.Pick(q, now, r); err != nil {
			b.Fatal(err)
		}
	}
}
