package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woaddoor/contract"
	"woaddoor/link"
)

var start = time.Unix(1000, 0)

// at returns a simulated time, in milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// crash returns the crash of an upstream to which a request was sent at one time, and whose
// connection broke at another, in simulated milliseconds.
func crash(upstream string, sent, broke int) Crash {
	return Crash{contract.UpstreamInstance{Upstream: contract.UpstreamID(upstream), Incarnation: 1}, at(sent), at(broke), 0}
}

// TestThreeSuccessiveCrashesQuarantineContent checks that a content is quarantined once it has
// crashed three upstreams, each of which it was sent to after the previous crash.
func TestThreeSuccessiveCrashesQuarantineContent(t *testing.T) {
	is := is.New(t)
	table, p := NewTable(), Fingerprint{1}
	is.True(table.Empty())
	is.True(table.RecordCrash(p, Source{}, crash("u1", 0, 40), at(40)))
	is.True(table.RecordCrash(p, Source{}, crash("u2", 100, 140), at(140)))
	is.True(!table.Blocks(p, at(145)))
	is.Equal(table.CrashCount(p), 2)
	is.True(table.RecordCrash(p, Source{}, crash("u3", 200, 240), at(240)))
	is.True(table.Blocks(p, at(241)))
	is.True(!table.Blocks(Fingerprint{2}, at(241))) // a different content
	is.Equal(table.CountQuarantined(), 1)
}

// TestUnrelatedCrashesDoNotQuarantineContent checks that simultaneous crashes, overlapping runs,
// repeated reports of one crash, and crashes before an answer do not quarantine a content.
func TestUnrelatedCrashesDoNotQuarantineContent(t *testing.T) {
	p := Fingerprint{1}
	for name, crashes := range map[string][]Crash{
		"data centre crashes":             {crash("u1", 0, 40), crash("u2", 5, 41), crash("u3", 8, 42), crash("u4", 9, 43)},
		"overlapping runs":                {crash("u1", 0, 40), crash("u2", 20, 60), crash("u3", 40, 80), crash("u4", 60, 100)},
		"ran on all upstreams at once":    {crash("u1", 0, 1000), crash("u2", 10, 2000), crash("u3", 20, 3000)},
		"one crash, reported three times": {crash("u1", 0, 40), crash("u1", 100, 140), crash("u1", 200, 240)},
		"only two crashes":                {crash("u1", 0, 40), crash("u2", 100, 140)},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable()
			for _, c := range crashes {
				table.RecordCrash(p, Source{}, c, at(4000))
			}
			is.New(t).True(!table.Blocks(p, at(4001)))
		})
	}
	t.Run("answer between crashes", func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		table.RecordCrash(p, Source{}, crash("u1", 0, 40), at(40))
		table.RecordCrash(p, Source{}, crash("u2", 100, 140), at(140))
		is.True(table.RecordAnswer(p, at(150)))
		is.True(!table.RecordAnswer(p, at(151))) // not under suspicion any more
		table.RecordCrash(p, Source{}, crash("u3", 200, 240), at(240))
		is.True(!table.Blocks(p, at(241)))
	})
}

// TestLastOfSeveralSendsDecides guards against a request that waited at an upstream for long
// hiding that the same content was sent there again after the previous crash: six upstreams
// crashed one after another before the content was quarantined.
func TestLastOfSeveralSendsDecides(t *testing.T) {
	p := Fingerprint{1}
	crashes := []Crash{
		crash("u1", 0, 1300), crash("u2", 200, 2200), crash("u2", 1300, 2200), crash("u3", 100, 4000), crash("u3", 2200, 4010),
	}
	order := func(t *rapid.T) []Crash { return rapid.Permutation(crashes).Draw(t, "order") }
	rapid.Check(t, func(t *rapid.T) {
		observer, peer := NewTable(), NewTable()
		for i, c := range order(t) {
			observer.RecordCrash(p, Source{}, c, at(4020+i))
			peer.Merge(observer.Updates(at(4020+i)), at(4020+i+rapid.IntRange(1, 100).Draw(t, "delay")))
		}
		if !observer.Blocks(p, at(4100)) || !peer.Blocks(p, at(4200)) {
			t.Fatal("three crashes, each after a send that followed the previous one, must quarantine the content")
		}
	})
}

// randomUpdate generates a gossip update about one content with up to maxCrashesKept crashes.
func randomUpdate(t *rapid.T, label string) Update {
	out := Update{Fingerprint: Fingerprint{1}, Epoch: uint32(rapid.IntRange(0, 2).Draw(t, label+"epoch")), Quarantined: rapid.IntRange(0, 9).Draw(t, label+"quarantined") == 0}
	for _, incarnation := range rapid.SliceOfNDistinct(rapid.IntRange(0, maxCrashesKept-1), 0, maxCrashesKept, rapid.ID[int]).Draw(t, label+"incarnations") {
		broke := rapid.IntRange(0, 20).Draw(t, fmt.Sprint(label, "broke", incarnation))
		out.Crashes = append(out.Crashes, CrashUpdate{
			contract.UpstreamInstance{Upstream: contract.UpstreamID(fmt.Sprint("u", incarnation)), Incarnation: 1},
			time.Duration(broke+rapid.IntRange(1, 5).Draw(t, fmt.Sprint(label, "ran", incarnation))) * time.Second, time.Duration(broke) * time.Second, 0,
		})
	}
	return out
}

// TestMergeOrderDoesNotMatter is a property test in which two VMs receive the same gossip
// updates in opposite order, each update twice. Crash lists stay bounded, a repeated update
// changes nothing, and a quarantined content stays quarantined within its epoch. Until the
// content is quarantined, the crashes do not depend on the order of updates. After the VMs
// exchange updates, they agree on whether the content is quarantined.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := randomUpdate(t, "a"), randomUpdate(t, "b")
		first, second := tableAfterUpdates(t, a, b), tableAfterUpdates(t, b, a)
		x, y := updateOf(first), updateOf(second)
		if x.Epoch != y.Epoch || !x.Quarantined && !y.Quarantined && !slices.Equal(x.Crashes, y.Crashes) {
			t.Fatalf("%+v in one order, %+v in the other", x, y)
		}
		first.Merge([]Update{y}, start)
		second.Merge([]Update{x}, start)
		if x, y = updateOf(first), updateOf(second); x.Quarantined != y.Quarantined {
			t.Fatalf("%+v and %+v after the VMs exchanged updates", x, y)
		}
	})
}

// tableAfterUpdates applies updates to a new table and checks its invariants after each.
func tableAfterUpdates(t *rapid.T, updates ...Update) *Table {
	table := NewTable()
	for _, u := range updates {
		before := updateOf(table)
		table.Merge([]Update{u}, start)
		if len(table.Merge([]Update{u}, start)) > 0 {
			t.Fatal("a repeated update changed the table")
		}
		after := updateOf(table)
		if before.Quarantined && before.Epoch == after.Epoch && !after.Quarantined {
			t.Fatal("an update of the same epoch released the content")
		}
		if len(after.Crashes) > maxCrashesKept {
			t.Fatal("more than maxCrashesKept crashes kept")
		}
		if quarantined := table.CountQuarantined() == 1; quarantined != after.Quarantined {
			t.Fatalf("CountQuarantined() = %d, which contradicts the record", table.CountQuarantined())
		}
	}
	return table
}

// updateOf returns a table's gossip update about the content under test.
func updateOf(table *Table) Update {
	if c := table.Record(Fingerprint{1}); c != nil {
		return c.update(start)
	}
	return Update{}
}

// TestTableSizeIsBounded checks that a table stays within maxRecords when three times as
// many contents each crash an upstream, and that a quarantined content is not evicted.
func TestTableSizeIsBounded(t *testing.T) {
	is := is.New(t)
	table, crashing := NewTable(), Fingerprint{0xff, 0xff, 0xff, 0xff}
	for n, name := range []string{"u1", "u2", "u3"} {
		table.RecordCrash(crashing, Source{}, crash(name, n*100, n*100+40), at(n*100+40))
	}
	for n := range 3 * maxRecords {
		table.RecordCrash(Fingerprint{byte(n), byte(n >> 8), byte(n >> 16)}, Source{}, crash("u", 1000+n, 1001+n), at(1001+n))
	}
	is.True(len(table.records) <= maxRecords)
	is.True(table.Blocks(crashing, at(1_000_000)))
	is.True(len(table.Updates(at(1001+3*maxRecords))) <= maxUpdates)
	table.Expire(start.Add(time.Hour))
	is.Equal(len(table.records), 1)
}

// TestUpdateEncodingIsCompact checks that gossip updates survive encoding and decoding, and that an
// update stays below 200 bytes, so a message with 24 contents fits into two packets.
func TestUpdateEncodingIsCompact(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	about := Source{"service-name", "workspace", "route-name", "vm-of-a-data-centre-1", ""}
	for n := range maxUpdates {
		for k := range 3 {
			table.RecordCrash(Fingerprint{byte(n)}, about, crash(fmt.Sprint("i-0123456789", k), k*100, k*100+40), at(400))
		}
	}
	updates := table.Updates(at(500))
	raw, err := link.Encode(updates)
	is.NoErr(err)
	var decoded []Update
	is.NoErr(link.Decode(raw, &decoded))
	is.Equal(decoded, updates)
	is.True(len(raw)/maxUpdates < 200) // with three crashes each
	t.Logf("%d bytes for %d contents", len(raw), maxUpdates)
}

// TestQuarantinedContentTrials checks that a quarantined content gets no trial before
// it is in the store, that trials run one at a time on the VM that was granted one,
// and that there are two in total.
func TestQuarantinedContentTrials(t *testing.T) {
	is := is.New(t)
	table, p := NewTable(), Fingerprint{1}
	for n, name := range []string{"u1", "u2", "u3"} {
		table.RecordCrash(p, Source{}, crash(name, n*100, n*100+40), at(n*100+40))
	}
	now := start.Add(time.Hour)
	is.True(table.Blocks(p, now))
	is.Equal(len(table.TrialRequests()), 0) // not in the store, so no trial can be granted
	is.Equal(len(table.ToStore()), 1)
	for n, after := range trialDelays {
		table.SetStored(QuarantinedContent{Fingerprint: p, Trials: n, Revision: contract.Revision(5 + n)}, now)
		is.Equal(len(table.ToStore()), 0)
		is.True(table.Blocks(p, now.Add(after-1)))
		is.Equal(len(table.TrialRequests()), 0)
		now = now.Add(after)
		is.True(table.Blocks(p, now))
		wanted := table.TrialRequests()
		is.Equal(len(wanted), 1)
		is.Equal(wanted[0].Trials, n+1)
		table.TrialDecided(p, true, now)
		is.True(!table.Blocks(p, now)) // the granted trial
		is.True(table.Blocks(p, now))
	}
	table.SetStored(QuarantinedContent{Fingerprint: p, Trials: len(trialDelays), Revision: 9}, now)
	is.True(table.Blocks(p, now.Add(24*time.Hour)))
	is.Equal(len(table.TrialRequests()), 0)
}

// TestReleaseByStoreOrAnswer checks that a content is released when it is removed from the
// store or answered, but not by a store revision that is older than the content's object.
func TestReleaseByStoreOrAnswer(t *testing.T) {
	is := is.New(t)
	table, p := NewTable(), Fingerprint{1}
	table.SetStored(QuarantinedContent{Fingerprint: p, Revision: 5}, at(0))
	is.True(table.Blocks(p, at(1)))
	is.True(!table.RemovedFromStore(p, 4, at(1)))
	is.True(table.Blocks(p, at(1)))
	is.Equal(table.StoredExcept(map[Fingerprint]bool{}), []Fingerprint{p})
	is.True(table.RemovedFromStore(p, 6, at(2)))
	is.True(!table.Blocks(p, at(3)))
	table.SetStored(QuarantinedContent{Fingerprint: p, Revision: 5}, at(4)) // outdated notification from the store
	is.True(!table.Blocks(p, at(5)))
	table.Merge([]Update{{Fingerprint: p, Quarantined: true}}, at(6)) // outdated gossip from another VM
	is.True(!table.Blocks(p, at(7)))

	table.SetStored(QuarantinedContent{Fingerprint: p, Revision: 7}, at(8))
	is.True(table.RecordAnswer(p, at(9)))
	is.True(!table.Blocks(p, at(10)))
	is.Equal(len(table.ToDelete()), 1)
	is.True(!table.RemovedFromStore(p, 8, at(11))) // already cleared
	is.Equal(len(table.ToDelete()), 0)
}

// TestQuarantineOutlastsStoreReturn: an older copy of the store lacks a content that is
// quarantined and contains one that was cleared since.
func TestQuarantineOutlastsStoreReturn(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	content := func(print byte, era, counter uint64) QuarantinedContent {
		return QuarantinedContent{Fingerprint: Fingerprint{print}, Trials: int(print), Revision: contract.NewRevision(era, counter)}
	}
	table := NewTable()
	for print := byte(0); print < 3; print++ {
		table.SetStored(content(print, 1, 5), now)
	}
	is.True(table.RemovedFromStore(Fingerprint{1}, contract.NewRevision(1, 8), now)) // released by the operator
	copied := content(2, 2, 5)
	copied.Trials = 0
	table.ReplaceStored([]QuarantinedContent{content(1, 2, 5), copied}, contract.NewRevision(2, 6), now)
	is.Equal(len(table.ToStore()), 1) // the one that the copy lacks
	is.Equal(table.ToStore()[0].Fingerprint, Fingerprint{0})
	is.Equal(len(table.ToDelete()), 1) // the one that was released
	is.Equal(table.ToDelete()[0].Fingerprint, Fingerprint{1})
	is.True(table.Blocks(Fingerprint{0}, now))
	is.True(!table.Blocks(Fingerprint{1}, now))
	is.Equal(table.Record(Fingerprint{2}).stored().Trials, 2) // trials that were granted still count
}
