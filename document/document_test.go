package document

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woaddoor/contract"
)

// drawDocument returns a random document with up to four sections.
func drawDocument(t *rapid.T, revision contract.Revision) *Document {
	names := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), rapid.ID[string]).Draw(t, "names")
	sections := make(map[string]Section)
	for _, n := range names {
		sections[n] = Section(rapid.SampledFrom([]string{"x = 1\n", "x = 2\n", ""}).Draw(t, "text"))
	}
	return New(revision, contract.ChangeID("c"), sections)
}

// TestPatchYieldsDocument checks that applying a patch to the document that it was made
// from yields the document that it was made for.
func TestPatchYieldsDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, d := drawDocument(t, 1), drawDocument(t, 2)
		got, err := NewPatch(old, d).Apply(old)
		if err != nil {
			t.Fatal(err)
		}
		if got.Hash() != d.Hash() || got.Revision != d.Revision {
			t.Fatalf("patch yields %q, want %q", got.Text(), d.Text())
		}
	})
}

// TestChangeYieldsDocument checks that applying an audit record to the document that it
// was made from yields the new document, and that applying it to another document
// either fails or yields that new document.
func TestChangeYieldsDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, d, other := drawDocument(t, 1), drawDocument(t, 2), drawDocument(t, 1)
		c := Change{ID: "c", ToRevision: 2, Hash: d.Hash(), Sections: Diff(old, d)}
		got, err := c.Apply(old)
		if err != nil || got.Hash() != d.Hash() {
			t.Fatalf("error %v, change yields %q, want %q", err, got.Text(), d.Text())
		}
		if got, err := c.Apply(other); err == nil && got.Hash() != d.Hash() {
			t.Fatalf("change applied to another document yields %q", got.Text())
		}
	})
}

// TestPatchRejectsWrongBase checks that a patch cannot be applied to a document that it
// was not made from, as when it arrives late, nor after its sections were corrupted.
func TestPatchRejectsWrongBase(t *testing.T) {
	is := is.New(t)
	first := New(1, "one", map[string]Section{"a": "x = 1\n"})
	second := New(2, "two", map[string]Section{"a": "x = 2\n"})
	_, err := NewPatch(first, second).Apply(second)
	is.Equal(err, ErrBaseMismatch)
	corrupted := NewPatch(first, second)
	corrupted.Set["a"] = "x = 3\n"
	_, err = corrupted.Apply(first)
	is.Equal(err, ErrHashMismatch)
}

// naiveReplica keeps the document that it read last, as a plain cache would.
type naiveReplica struct{ held *Document }

func (n *naiveReplica) update(d *Document) { n.held = d }

// TestReplicaNeverReverts checks that a Replica holds the highest revision that it has
// received, whatever the order of reads. A naive replica goes back to an older revision
// after a stale read.
func TestReplicaNeverReverts(t *testing.T) {
	is := is.New(t)
	first := New(1, "one", nil)
	second := New(2, "two", nil)
	naive := &naiveReplica{}
	naive.update(second)
	naive.update(first)
	is.Equal(naive.held.Revision, contract.Revision(1)) // the naive replica reverts

	rapid.Check(t, func(t *rapid.T) {
		replica := NewReplica()
		var highest contract.Revision
		for range rapid.IntRange(1, 30).Draw(t, "reads") {
			revision := contract.Revision(rapid.Uint64Range(1, 6).Draw(t, "revision"))
			replica.Update(New(revision, "c", nil), time.Unix(rapid.Int64Range(0, 9).Draw(t, "at"), 0))
			highest = max(highest, revision)
			if replica.Document().Revision != highest {
				t.Fatalf("replica holds revision %d after reading revision %d", replica.Document().Revision, highest)
			}
		}
	})
}

// TestFreshAtNeverTooLate checks, against a known history of accepted revisions, that
// FreshAt is always before the time at which the held document stopped being the
// newest. The time until which a VM may give work to a withdrawn version depends on this.
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
			i := rapid.IntRange(0, 2).Draw(t, "replica")
			j := rapid.IntRange(0, 2).Draw(t, "peer")
			if i == j { // the replica reads from the platform, possibly a stale revision
				r := replicas[i]
				r.Update(New(newestRevisionAt(sec), "c", nil), time.Unix(sec, 0))
			} else { // the replica pulls from a peer
				replicas[i].Update(replicas[j].Document(), replicas[j].FreshAt())
			}
			for _, r := range replicas {
				rev := r.Document().Revision
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
