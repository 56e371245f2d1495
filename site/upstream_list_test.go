package site

import (
	"context"
	"fmt"
	"maps"
	"slices"
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
	return Item[upstream.Entry]{RawObject: RawObject{Name: id, Revision: 1}, Value: upstream.Entry{ID: contract.UpstreamID(id)}}
}

func removalOf(id string) Changes[upstream.Entry] {
	return Changes[upstream.Entry]{Revision: 9, Items: []Item[upstream.Entry]{{RawObject: RawObject{Name: id, Revision: 1, Deleted: true}}}}
}

func upstreamListOf(ids ...string) *UpstreamList {
	l := NewUpstreamList()
	c := Changes[upstream.Entry]{Revision: 1}
	for _, id := range ids {
		c.Items = append(c.Items, entry(id))
	}
	l.Apply(c, true, time.Unix(0, 0))
	return l
}

// TestRemovedAndLapsedEntries checks that an entry that is removed while the store is
// reachable is dropped at once, and that one that lapsed during an outage is kept for the
// grace period.
func TestRemovedAndLapsedEntries(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	l := upstreamListOf("a", "b")
	l.Apply(removalOf("a"), false, now)
	is.Equal(len(l.Entries()), 1)

	l = upstreamListOf("a", "b")
	l.RecordStoreCall(false, now)
	l.RecordStoreCall(true, now.Add(time.Second))
	l.Apply(Changes[upstream.Entry]{Revision: 9, Items: []Item[upstream.Entry]{entry("b")}}, true, now.Add(time.Second))
	is.Equal(len(l.Entries()), 2) // a may return
	l.Expire(now.Add(time.Second + lapseGracePeriod))
	is.Equal(len(l.Entries()), 1)

	l = upstreamListOf("a")
	l.RecordStoreCall(false, now)
	l.RecordStoreCall(true, now)
	l.Apply(removalOf("a"), false, now.Add(lapseGracePeriod)) // long after the recovery
	is.Equal(len(l.Entries()), 0)
}

// TestLeavingUpstreamIsNotKept checks that an upstream known to be leaving is not kept as
// one that may have lapsed.
func TestLeavingUpstreamIsNotKept(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	l := upstreamListOf("a")
	leaving := entry("a")
	leaving.Revision, leaving.Value.Leaving = 2, true
	l.Apply(Changes[upstream.Entry]{Revision: 2, Items: []Item[upstream.Entry]{leaving}}, false, now)
	l.Apply(Changes[upstream.Entry]{Revision: 1, Items: []Item[upstream.Entry]{entry("a")}}, false, now) // late
	is.True(l.Entries()[0].Leaving)
	l.RecordStoreCall(false, now)
	l.Apply(removalOf("a"), false, now)
	is.Equal(len(l.Entries()), 0)
}

// rejectingSource is a store that rejects all calls.
type rejectingSource struct{}

func (rejectingSource) Name() string   { return "servers" }
func (rejectingSource) Timing() Timing { return testTiming }
func (rejectingSource) List(context.Context, func(Changes[upstream.Entry], bool) bool) (Changes[upstream.Entry], error) {
	return Changes[upstream.Entry]{}, ErrRateLimited
}
func (rejectingSource) Watch(context.Context, contract.Revision, time.Duration) (Changes[upstream.Entry], error) {
	return Changes[upstream.Entry]{}, ErrRateLimited
}
func (rejectingSource) Decode(RawObject) (upstream.Entry, error) { return upstream.Entry{}, nil }

// upstreamItem returns an entry of an upstream as the store lists it in an era.
func upstreamItem(id string, era, counter uint64, leaving bool) Item[upstream.Entry] {
	i := entry(id)
	i.Revision = contract.NewRevision(era, counter)
	i.Value.Leaving, i.Value.Revision = leaving, i.Revision
	return i
}

// listInEra returns a full list of an era.
func listInEra(era, counter uint64, items ...Item[upstream.Entry]) Changes[upstream.Entry] {
	return Changes[upstream.Entry]{Items: items, Revision: contract.NewRevision(era, counter)}
}

// TestLeavingOutlastsStoreReturn: an older copy of the store lists an upstream as ready that has
// said that it leaves.
func TestLeavingOutlastsStoreReturn(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	l := NewUpstreamList()
	l.Apply(listInEra(1, 9, upstreamItem("a", 1, 9, true)), true, now)
	l.Apply(listInEra(2, 5, upstreamItem("a", 2, 4, false)), true, now)
	is.True(l.Entries()[0].Leaving)
	l.Apply(listInEra(2, 6, upstreamItem("a", 2, 6, false)), false, now) // written again on its way to the newest state
	is.True(l.Entries()[0].Leaving)
	restarted := upstreamItem("a", 2, 7, false)
	restarted.Value.Incarnation = 2
	l.Apply(listInEra(2, 7, restarted), false, now)
	is.True(!l.Entries()[0].Leaving)
}

// TestFirstReturnOfStoreWithoutEra: a store names no era, or zero, until it has returned once.
func TestFirstReturnOfStoreWithoutEra(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	l := NewUpstreamList()
	l.Apply(listInEra(0, 8, upstreamItem("a", 0, 3, false)), true, now)
	l.Apply(listInEra(0, 9), true, now)
	l.Apply(listInEra(1, 5, upstreamItem("a", 1, 3, false)), true, now)
	is.Equal(len(l.Entries()), 0)
}

// TestRemovalOutlastsStoreReturn: an older copy of the store lists an upstream that is gone.
func TestRemovalOutlastsStoreReturn(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	l := NewUpstreamList()
	l.Apply(listInEra(1, 8, upstreamItem("a", 1, 3, false), upstreamItem("b", 1, 4, false)), true, now)
	l.Apply(listInEra(1, 9), true, now)
	is.Equal(len(l.Entries()), 0)
	copied := listInEra(2, 5, upstreamItem("a", 2, 3, false), upstreamItem("b", 2, 4, false))
	l.Apply(copied, true, now)
	l.Apply(copied, true, now) // listed once more
	is.Equal(len(l.Entries()), 0)
	l.Apply(listInEra(2, 6, upstreamItem("b", 2, 6, false)), false, now) // b has written its entry
	is.Equal(l.Entries()[0].ID, contract.UpstreamID("b"))
	is.True(!l.Expire(now.Add(removedHold - time.Millisecond)))
	is.True(l.Expire(now.Add(removedHold))) // a is still listed
	is.Equal(len(l.Entries()), 2)
}

// TestLaterLifeOutlastsStoreReturn: an older copy of the store lists the life of an upstream before
// its restart, at an address where nothing listens any more.
func TestLaterLifeOutlastsStoreReturn(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	life := func(incarnation int64, era, counter uint64) Item[upstream.Entry] {
		i := upstreamItem("a", era, counter, false)
		i.Value.Incarnation = incarnation
		return i
	}
	l := NewUpstreamList()
	l.Apply(listInEra(1, 8, life(1, 1, 3)), true, now)
	l.Apply(listInEra(1, 9, life(2, 1, 9)), false, now)
	l.Apply(listInEra(2, 5, life(1, 2, 3)), true, now)
	is.Equal(l.Entries()[0].Incarnation, int64(2))
	registered := listInEra(2, 6, life(2, 2, 6))
	l.Apply(registered, false, now)
	is.True(!l.Expire(now.Add(lapseGracePeriod)))
	is.Equal(l.Entries()[0].Revision, contract.NewRevision(2, 6))
}

// TestMissingAfterStoreReturnIsKept: an upstream that registered after the copy was made is not
// listed until it registers again.
func TestMissingAfterStoreReturnIsKept(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	l := NewUpstreamList()
	l.Apply(listInEra(1, 9, upstreamItem("a", 1, 9, false), upstreamItem("leaving", 1, 8, true)), true, now)
	l.Apply(listInEra(2, 5), true, now)
	is.Equal(len(l.Entries()), 1)
	is.True(!l.Expire(now.Add(lapseGracePeriod - time.Millisecond)))
	is.True(l.Expire(now.Add(lapseGracePeriod)))
	is.Equal(len(l.Entries()), 0)
}

// TestPeerConfirmationEndsOutage checks that a confirmation from a peer ends the outage
// for a VM whose own calls the store rejected. Otherwise it would treat every later
// removal as a lapse.
func TestPeerConfirmationEndsOutage(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	l := upstreamListOf("a")
	f := &follower[upstream.Entry]{
		source: rejectingSource{}, log: zap.NewNop(), registry: metrics.NewRegistry(), cache: NewObjectCache("servers"), now: func() time.Time { return now },
		election:    NewWatcherElection(Watcher{VM: "a"}, testTiming, time.Time{}),
		onStoreCall: func(ok bool) { l.RecordStoreCall(ok, now) },
		apply:       func(c Changes[upstream.Entry], full bool) { l.Apply(c, full, now) },
	}
	f.cache.Apply(Delta{Full: true, Revision: 1, Items: []RawObject{{Name: "a", Revision: 1}}})
	is.True(f.syncOnce(t.Context()) != nil) // the store rejects the call
	is.True(!f.compareWithPeer(KindStatus{Kind: "servers", LastChange: 1, Revision: 1, ActiveWatcher: Watcher{VM: "b"}, ActiveWatcherSequence: 1}).Behind)
	now = now.Add(lapseGracePeriod)
	f.applyFromPeer(Delta{Kind: "servers", Revision: 9, Items: removalOf("a").rawObjects()}, KindStatus{ActiveWatcher: Watcher{VM: "b"}, ActiveWatcherSequence: 1}, "peer")
	is.Equal(len(l.Entries()), 0)
}

func (c Changes[T]) rawObjects() []RawObject {
	var out []RawObject
	for _, i := range c.Items {
		out = append(out, i.RawObject)
	}
	return out
}

// TestObjectCachesConverge sends deltas between three caches, late, twice and in any order,
// while the store now and then returns from an older copy and gives out revisions again.
// A cache that knows the newest revision must hold what the store holds.
func TestObjectCachesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, backup := map[string]RawObject{}, map[string]RawObject{}
		var log, backupLog []RawObject
		era := uint64(1)
		revision := contract.NewRevision(era, 0)
		backupCounter := revision.Counter()
		caches := []*ObjectCache{NewObjectCache("k"), NewObjectCache("k"), NewObjectCache("k")}
		var sent []Delta
		full := func() Delta {
			d := Delta{Kind: "k", Full: true, Revision: revision}
			for _, r := range store {
				d.Items = append(d.Items, inEra(r, era))
			}
			return d
		}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			l := caches[rapid.IntRange(0, 2).Draw(t, "vm")]
			switch rapid.SampledFrom([]string{"put", "delete", "list", "watch", "send", "resend", "backup", "restore"}).Draw(t, "event") {
			case "put":
				revision++
				r := RawObject{Name: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), Revision: revision}
				store[r.Name] = r
				log = append(log, r)
			case "delete":
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
				if _, ok := store[name]; ok {
					revision++
					delete(store, name)
					log = append(log, RawObject{Name: name, Revision: revision, Deleted: true})
				}
			case "backup":
				backup, backupLog, backupCounter = maps.Clone(store), slices.Clone(log), revision.Counter()
			case "restore":
				era++
				store, log, revision = maps.Clone(backup), slices.Clone(backupLog), contract.NewRevision(era, backupCounter)
			case "list":
				l.Apply(full())
			case "watch":
				at, known := l.Revision()
				if !known || at.Era() != era {
					continue
				}
				d := Delta{Kind: "k", Revision: revision}
				for _, r := range log {
					if inEra(r, era).Revision > at {
						d.Items = append(d.Items, inEra(r, era))
					}
				}
				l.Apply(d)
			case "send":
				from := caches[rapid.IntRange(0, 2).Draw(t, "from")]
				at, known := l.Revision()
				if _, knows := from.Revision(); !knows {
					continue
				}
				d := from.Since(at, known)
				sent = append(sent, d)
				if fromAt, _ := from.Revision(); !known || fromAt > at {
					l.Apply(d)
				}
			case "resend":
				if len(sent) > 0 {
					d := sent[rapid.IntRange(0, len(sent)-1).Draw(t, "which")]
					if at, known := l.Revision(); known && d.Revision <= at {
						l.Apply(d) // overtaken by a newer delta
					}
				}
			}
		}
		for _, l := range caches {
			at, known := l.Revision()
			if !known || at != revision {
				continue
			}
			got := l.Since(0, false)
			if len(got.Items) != len(store) {
				t.Fatalf("cache holds %v, store holds %v", got.Items, store)
			}
			for _, r := range got.Items {
				if inEra(store[r.Name], era).Revision != r.Revision {
					t.Fatalf("cache holds %v, store holds %v", r, store[r.Name])
				}
			}
		}
	})
}

// inEra returns an object as the store returns it in an era.
func inEra(r RawObject, era uint64) RawObject {
	r.Revision = contract.NewRevision(era, r.Revision.Counter())
	return r
}

// TestStaleDeltaDoesNotRestoreObject checks that a delta from before a removal does not
// restore the object, and that a later list from the store does.
func TestStaleDeltaDoesNotRestoreObject(t *testing.T) {
	is := is.New(t)
	l := NewObjectCache("k")
	a := RawObject{Name: "a", Revision: 2}
	l.Apply(Delta{Full: true, Revision: 3, Items: []RawObject{a}})
	l.Apply(Delta{Revision: 5, Items: []RawObject{{Name: "a", Revision: 2, Deleted: true}}})
	is.Equal(l.Apply(Delta{Revision: 4, Items: []RawObject{a}}), []bool{false})
	is.Equal(len(l.Since(0, false).Items), 0)
	restored := RawObject{Name: "a", Revision: 6}
	is.Equal(l.Apply(Delta{Full: true, Revision: 7, Items: []RawObject{restored}}), []bool{true})
	is.Equal(len(l.Since(0, false).Items), 1)
}

// TestRemovalBetweenListsForcesFullDelta checks that a VM does not claim to know what was
// created and removed between two lists that it read. A peer that is up to date only to a
// revision in between receives all objects.
func TestRemovalBetweenListsForcesFullDelta(t *testing.T) {
	is := is.New(t)
	a := RawObject{Name: "a", Revision: 2}
	sender, receiver := NewObjectCache("k"), NewObjectCache("k")
	sender.Apply(Delta{Full: true, Revision: 3, Items: []RawObject{a}})
	receiver.Apply(Delta{Full: true, Revision: 5, Items: []RawObject{a, {Name: "b", Revision: 5}}})
	sender.Apply(Delta{Full: true, Revision: 6, Items: []RawObject{a}}) // b was created and removed
	at, known := receiver.Revision()
	receiver.Apply(sender.Since(at, known))
	is.Equal(len(receiver.Since(0, false).Items), 1)
}

// TestReplacedUpstreamsAreSentAsChanges checks that a VM that is behind by a release that
// replaced all of many upstreams receives only the changes.
func TestReplacedUpstreamsAreSentAsChanges(t *testing.T) {
	is := is.New(t)
	const n = 800
	l := NewObjectCache("k")
	var first Delta
	first.Full, first.Revision = true, 1
	for i := range n {
		first.Items = append(first.Items, RawObject{Name: fmt.Sprintf("old-%d", i), Revision: 1})
	}
	l.Apply(first)
	next := Delta{Revision: 2}
	for i := range n {
		next.Items = append(next.Items, RawObject{Name: fmt.Sprintf("new-%d", i), Revision: 2})
	}
	l.Apply(next)
	for i := range n {
		l.Apply(Delta{Revision: contract.Revision(3 + i), Items: []RawObject{{Name: fmt.Sprintf("old-%d", i), Revision: 1, Deleted: true}}})
	}
	behind := l.Since(contract.Revision(3+n/2), true)
	is.True(!behind.Full)
	is.True(len(behind.Items) < n)
}
