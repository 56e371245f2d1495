package site

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"woaddoor/contract"
	"woaddoor/upstream"
)

func entry(id string) Item[upstream.Entry] {
	return Item[upstream.Entry]{Raw: Raw{Name: id, Revision: 1}, Value: upstream.Entry{ID: contract.UpstreamID(id)}}
}

func gone(id string) Changes[upstream.Entry] {
	return Changes[upstream.Entry]{Revision: 9, Items: []Item[upstream.Entry]{{Raw: Raw{Name: id, Revision: 1, Deleted: true}}}}
}

func listing(ids ...string) *Listing {
	l := NewListing()
	c := Changes[upstream.Entry]{Revision: 1}
	for _, id := range ids {
		c.Items = append(c.Items, entry(id))
	}
	l.Apply(c, true, time.Unix(0, 0))
	return l
}

// TestRemovedAndLapsed tells an entry that is removed while the store serves,
// which gets no more work, from one that lapsed while it was away.
func TestRemovedAndLapsed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	l := listing("a", "b")
	l.Apply(gone("a"), false, now)
	is.Equal(len(l.Entries()), 1)

	l = listing("a", "b")
	l.Reached(false, now)
	l.Reached(true, now.Add(time.Second))
	l.Apply(Changes[upstream.Entry]{Revision: 9, Items: []Item[upstream.Entry]{entry("b")}}, true, now.Add(time.Second))
	is.Equal(len(l.Entries()), 2) // a may come back
	l.Expire(now.Add(time.Second + lapseKept))
	is.Equal(len(l.Entries()), 1)

	l = listing("a")
	l.Reached(false, now)
	l.Reached(true, now)
	l.Apply(gone("a"), false, now.Add(lapseKept)) // long after the return
	is.Equal(len(l.Entries()), 0)
}

// TestLeavingStaysSo shows that an upstream known to leave is not kept as one
// that may have lapsed.
func TestLeavingStaysSo(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	l := listing("a")
	leaving := entry("a")
	leaving.Revision, leaving.Value.Leaving = 2, true
	l.Apply(Changes[upstream.Entry]{Revision: 2, Items: []Item[upstream.Entry]{leaving}}, false, now)
	l.Apply(Changes[upstream.Entry]{Revision: 1, Items: []Item[upstream.Entry]{entry("a")}}, false, now) // late
	is.True(l.Entries()[0].Leaving)
	l.Reached(false, now)
	l.Apply(gone("a"), false, now)
	is.Equal(len(l.Entries()), 0)
}

// silentSource is a store that says nothing.
type silentSource struct{}

func (silentSource) Name() string   { return "servers" }
func (silentSource) Timing() Timing { return testTiming }
func (silentSource) List(context.Context, func(Changes[upstream.Entry], bool) bool) (Changes[upstream.Entry], error) {
	return Changes[upstream.Entry]{}, ErrTooMany
}
func (silentSource) Watch(context.Context, contract.Revision, time.Duration) (Changes[upstream.Entry], error) {
	return Changes[upstream.Entry]{}, ErrTooMany
}
func (silentSource) Decode(Raw) (upstream.Entry, error) { return upstream.Entry{}, nil }

// TestRegainedByPeer shows that a VM that lost the store and goes on by what
// peers tell does not take every later removal for a lapse.
func TestRegainedByPeer(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	l := listing("a")
	f := &follower[upstream.Entry]{
		source: silentSource{}, log: zap.NewNop(), registry: metrics.NewRegistry(), ledger: NewLedger("servers"), now: func() time.Time { return now },
		duty:    NewDuty(Watcher{VM: "a"}, testTiming, time.Time{}),
		reached: func(ok bool) { l.Reached(ok, now) },
		apply:   func(c Changes[upstream.Entry], full bool) { l.Apply(c, full, now) },
	}
	f.ledger.Apply(Delta{Full: true, At: 1, Items: []Raw{{Name: "a", Revision: 1}}})
	is.True(f.step(t.Context()) != nil) // the store turns this VM away
	is.True(!f.compare(Have{Kind: "servers", Last: 1, At: 1, Lead: Watcher{VM: "b"}}).Lacks)
	now = now.Add(lapseKept)
	f.feed(Delta{Kind: "servers", At: 9, Items: gone("a").raws()}, Have{Lead: Watcher{VM: "b"}}, "peer")
	is.Equal(len(l.Entries()), 0)
}

func (c Changes[T]) raws() []Raw {
	var out []Raw
	for _, i := range c.Items {
		out = append(out, i.Raw)
	}
	return out
}

// TestLedgersAgree hands deltas between three ledgers, late, twice and in any
// order: whoever has heard of the newest revision holds what the store holds.
func TestLedgersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := map[string]Raw{}
		var log []Raw
		revision := contract.Revision(0)
		ledgers := []*Ledger{NewLedger("k"), NewLedger("k"), NewLedger("k")}
		var late []Delta
		full := func() Delta {
			d := Delta{Kind: "k", Full: true, At: revision}
			for _, r := range store {
				d.Items = append(d.Items, r)
			}
			return d
		}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			l := ledgers[rapid.IntRange(0, 2).Draw(t, "vm")]
			switch rapid.SampledFrom([]string{"put", "delete", "list", "watch", "hand", "late"}).Draw(t, "event") {
			case "put":
				revision++
				r := Raw{Name: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), Revision: revision}
				store[r.Name] = r
				log = append(log, r)
			case "delete":
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
				if _, ok := store[name]; ok {
					revision++
					delete(store, name)
					log = append(log, Raw{Name: name, Revision: revision, Deleted: true})
				}
			case "list":
				l.Apply(full())
			case "watch":
				at, known := l.At()
				if !known {
					continue
				}
				d := Delta{Kind: "k", At: revision}
				for _, r := range log {
					if r.Revision > at {
						d.Items = append(d.Items, r)
					}
				}
				l.Apply(d)
			case "hand":
				from := ledgers[rapid.IntRange(0, 2).Draw(t, "from")]
				at, known := l.At()
				if _, knows := from.At(); !knows {
					continue
				}
				d := from.Since(at, known)
				late = append(late, d)
				if fromAt, _ := from.At(); !known || fromAt > at {
					l.Apply(d)
				}
			case "late":
				if len(late) > 0 {
					d := late[rapid.IntRange(0, len(late)-1).Draw(t, "which")]
					if at, known := l.At(); known && d.At <= at {
						l.Apply(d) // one that a newer word has overtaken
					}
				}
			}
		}
		for _, l := range ledgers {
			at, known := l.At()
			if !known || at != revision {
				continue
			}
			got := l.Since(0, false)
			if len(got.Items) != len(store) {
				t.Fatalf("holds %v, store holds %v", got.Items, store)
			}
			for _, r := range got.Items {
				if store[r.Name].Revision != r.Revision {
					t.Fatalf("holds %v, store holds %v", r, store[r.Name])
				}
			}
		}
	})
}

// TestStaleObject shows that an object which was removed does not come back by a
// delta from before its removal, and does by the store's own list.
func TestStaleObject(t *testing.T) {
	is := is.New(t)
	l := NewLedger("k")
	a := Raw{Name: "a", Revision: 2}
	l.Apply(Delta{Full: true, At: 3, Items: []Raw{a}})
	l.Apply(Delta{At: 5, Items: []Raw{{Name: "a", Revision: 2, Deleted: true}}})
	is.Equal(l.Apply(Delta{At: 4, Items: []Raw{a}}), []bool{false})
	is.Equal(len(l.Since(0, false).Items), 0)
	back := Raw{Name: "a", Revision: 6}
	is.Equal(l.Apply(Delta{Full: true, At: 7, Items: []Raw{back}}), []bool{true})
	is.Equal(len(l.Since(0, false).Items), 1)
}

// TestRemovalBetweenLists shows that a VM which listed everything twice does not
// pretend to know what came and went in between: whoever asks from then gets all.
func TestRemovalBetweenLists(t *testing.T) {
	is := is.New(t)
	a := Raw{Name: "a", Revision: 2}
	teller, asker := NewLedger("k"), NewLedger("k")
	teller.Apply(Delta{Full: true, At: 3, Items: []Raw{a}})
	asker.Apply(Delta{Full: true, At: 5, Items: []Raw{a, {Name: "b", Revision: 5}}})
	teller.Apply(Delta{Full: true, At: 6, Items: []Raw{a}}) // b came and went
	at, known := asker.At()
	asker.Apply(teller.Since(at, known))
	is.Equal(len(asker.Since(0, false).Items), 1)
}

// TestReleaseOfAllIsHandedOverInParts checks that a VM which is behind by a release that
// replaced every one of many upstreams gets what has changed, and not all again.
func TestReleaseOfAllIsHandedOverInParts(t *testing.T) {
	is := is.New(t)
	const n = 800
	l := NewLedger("k")
	var first Delta
	first.Full, first.At = true, 1
	for i := range n {
		first.Items = append(first.Items, Raw{Name: fmt.Sprintf("old-%d", i), Revision: 1})
	}
	l.Apply(first)
	next := Delta{At: 2}
	for i := range n {
		next.Items = append(next.Items, Raw{Name: fmt.Sprintf("new-%d", i), Revision: 2})
	}
	l.Apply(next)
	for i := range n {
		l.Apply(Delta{At: contract.Revision(3 + i), Items: []Raw{{Name: fmt.Sprintf("old-%d", i), Revision: 1, Deleted: true}}})
	}
	behind := l.Since(contract.Revision(3+n/2), true)
	is.True(!behind.Full)
	is.True(len(behind.Items) < n)
}
