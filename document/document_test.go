package document

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woaddoor/contract"
)

func drawDocument(t *rapid.T, revision contract.Revision) *Document {
	names := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), rapid.ID[string]).Draw(t, "names")
	sections := make(map[string]Section)
	for _, n := range names {
		sections[n] = Section(rapid.SampledFrom([]string{"x = 1\n", "x = 2\n", ""}).Draw(t, "text"))
	}
	return New(revision, contract.ChangeID("c"), sections)
}

// TestPatchLeadsToDocument compares a patched document with the one sent.
func TestPatchYieldsDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, d := drawDocument(t, 1), drawDocument(t, 2)
		got, err := NewPatch(old, d).Apply(old)
		if err != nil {
			t.Fatal(err)
		}
		if got.Hash() != d.Hash() || got.Revision != d.Revision {
			t.Fatalf("patched to %q, sent %q", got.Text(), d.Text())
		}
	})
}

// TestChangeLeadsToDocument applies an audit record to the document that it was
// made from, and to others, which it refuses.
func TestChangeYieldsDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, d, other := drawDocument(t, 1), drawDocument(t, 2), drawDocument(t, 1)
		c := Change{ID: "c", ToRevision: 2, Hash: d.Hash(), Sections: Diff(old, d)}
		got, err := c.Apply(old)
		if err != nil || got.Hash() != d.Hash() {
			t.Fatalf("%v: led to %q, made for %q", err, got.Text(), d.Text())
		}
		if got, err := c.Apply(other); err == nil && got.Hash() != d.Hash() {
			t.Fatalf("led from another document to %q", got.Text())
		}
	})
}

// TestPatchOnWrongBase shows that a late patch changes nothing.
func TestPatchRejectsWrongBase(t *testing.T) {
	is := is.New(t)
	one := New(1, "one", map[string]Section{"a": "x = 1\n"})
	two := New(2, "two", map[string]Section{"a": "x = 2\n"})
	_, err := NewPatch(one, two).Apply(two)
	is.Equal(err, ErrBaseMismatch)
	corrupted := NewPatch(one, two)
	corrupted.Set["a"] = "x = 3\n"
	_, err = corrupted.Apply(one)
	is.Equal(err, ErrHashMismatch)
}

// naiveReplica takes whatever it read last, as a plain cache would.
type naiveReplica struct{ held *Document }

func (n *naiveReplica) update(d *Document) { n.held = d }

// TestNeverReverts shows a stale read that takes the naive replica back to an
// older configuration, and that Replica holds against any order of reads.
func TestReplicaNeverReverts(t *testing.T) {
	is := is.New(t)
	one := New(1, "one", nil)
	two := New(2, "two", nil)
	naive := &naiveReplica{}
	naive.update(two)
	naive.update(one)
	is.Equal(naive.held.Revision, contract.Revision(1)) // the naive way reverts

	rapid.Check(t, func(t *rapid.T) {
		r := NewReplica()
		var highest contract.Revision
		for range rapid.IntRange(1, 30).Draw(t, "reads") {
			rev := contract.Revision(rapid.Uint64Range(1, 6).Draw(t, "revision"))
			r.Learn(New(rev, "c", nil), time.Unix(rapid.Int64Range(0, 9).Draw(t, "at"), 0))
			highest = max(highest, rev)
			if r.Held().Revision != highest {
				t.Fatalf("held %d after seeing %d", r.Held().Revision, highest)
			}
		}
	})
}

// TestFreshnessNeverFromBehind checks, against a platform whose history is
// known, that FreshAt is never later than the time at which the held document
// stopped being the newest. This is what the end of a serving lease rests on.
func TestFreshAtNeverTooLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// accepted[i] is the second at which revision i+1 was accepted.
		var accepted []int64
		at := int64(0)
		for range rapid.IntRange(1, 5).Draw(t, "changes") {
			at += rapid.Int64Range(1, 10).Draw(t, "gap")
			accepted = append(accepted, at)
		}
		newestRevisionAt := func(sec int64) contract.Revision {
			var n contract.Revision
			for i, a := range accepted {
				if a <= sec {
					n = contract.Revision(i + 1)
				}
			}
			return n
		}
		replicas := []*Replica{NewReplica(), NewReplica(), NewReplica()}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			sec := rapid.Int64Range(0, at+5).Draw(t, "second")
			i := rapid.IntRange(0, 2).Draw(t, "who")
			j := rapid.IntRange(0, 2).Draw(t, "from")
			if i == j { // a read of the platform, any time late
				r := replicas[i]
				r.Learn(New(newestRevisionAt(sec), "c", nil), time.Unix(sec, 0))
			} else { // a relay from a peer
				replicas[i].Learn(replicas[j].Held(), replicas[j].FreshAt())
			}
			for _, r := range replicas {
				rev := r.Held().Revision
				if rev == 0 || int(rev) >= len(accepted) {
					continue
				}
				next := accepted[rev]
				if !r.FreshAt().Before(time.Unix(next, 0)) {
					t.Fatalf("revision %d fresh at %v, but %d was accepted at %d", rev, r.FreshAt().Unix(), rev+1, next)
				}
			}
		}
	})
}
