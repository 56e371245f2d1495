package history

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woaddoor/contract"
	"woaddoor/document"
	standin "woaddoor/internal/standin/store"
	"woaddoor/store"
)

// testSections returns the sections of a valid configuration that depends on seed.
func testSections(seed int) map[string]document.Section {
	return map[string]document.Section{
		"model m":     "serve = m@1\n",
		"version m@1": document.Section(fmt.Sprintf("serve-without-word = %ds\n", seed+1)),
	}
}

var testAuthor = ChangeInfo{Author: "ana", Reason: "test", At: time.Unix(0, 0)}

// TestConcurrentPublishConflicts checks that of two changes made from the same
// configuration only the first is accepted, and that the error for the second names
// the author of the first and the sections that both modify.
func TestConcurrentPublishConflicts(t *testing.T) {
	is := is.New(t)
	store := standin.New().View("a")
	base, err := Load(t.Context(), store)
	is.NoErr(err)
	_, err = Publish(t.Context(), store, base, testSections(1), testAuthor)
	is.NoErr(err)
	_, err = Publish(t.Context(), store, base, testSections(2), ChangeInfo{Author: "ben"})
	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Winner.Author, "ana")
	is.Equal(conflict.CommonSections, []string{"model m", "version m@1"})
	now, err := Load(t.Context(), store)
	is.NoErr(err)
	is.Equal(now.Document.Hash(), document.New(1, "", testSections(1)).Hash()) // no part of the second change was merged
}

// naivePublish publishes like Publish, but when a write of the root object fails, it
// reads the configuration and writes again. It returns the number of attempts.
func naivePublish(t *rapid.T, store store.Store, sections map[string]document.Section) int {
	for attempt := 1; ; attempt++ {
		base, err := Load(t.Context(), store)
		if err != nil {
			t.Fatal(err)
		}
		d := document.New(base.Root.Revision+1, contract.ChangeID(fmt.Sprint(attempt)), sections)
		content, _ := document.EncodeContent(d)
		_, _ = store.Create(t.Context(), document.ContentName(d.Hash()), content)
		root := fmt.Sprintf(`{"revision":%d,"change":"%d","hash":"%s"}`, d.Revision, attempt, d.Hash())
		if base.Version == 0 {
			_, err = store.Create(t.Context(), document.RootName, []byte(root))
		} else {
			_, err = store.Update(t.Context(), document.RootName, []byte(root), base.Version)
		}
		if err == nil {
			return attempt
		}
	}
}

// TestPublishWithLostReplies checks that a change is accepted exactly once when the
// platform's replies to any writes are lost, and that Publish returns the true
// outcome. Retrying the write, as naivePublish does, gets the change accepted twice.
func TestPublishWithLostReplies(t *testing.T) {
	naiveAcceptedTwice := 0
	rapid.Check(t, func(t *rapid.T) {
		platform := standin.New()
		store := platform.View("a")
		wantRevision := contract.Revision(0)
		for i := range rapid.IntRange(1, 6).Draw(t, "changes") {
			base, err := Load(t.Context(), store)
			if err != nil {
				t.Fatal(err)
			}
			platform.SetFaults(standin.Faults{
				DropReplies:       rapid.IntRange(0, 4).Draw(t, "lost"),
				DropRepliesPrefix: rapid.SampledFrom([]string{"", document.RootName, document.ChangeName("")}).Draw(t, "of"),
			})
			root, err := Publish(t.Context(), store, base, testSections(i), testAuthor)
			platform.SetFaults(standin.Faults{})
			now, loadErr := Load(t.Context(), store)
			if loadErr != nil {
				t.Fatal(loadErr)
			}
			if err == nil {
				wantRevision++
			}
			if now.Root.Revision != wantRevision || err == nil && now.Root != root {
				t.Fatalf("Publish returned error %v, root object is %+v, want revision %d", err, now.Root, wantRevision)
			}
			records := 0
			if err := WalkChanges(t.Context(), store, func(document.Change) bool { records++; return true }); err != nil {
				t.Fatal(err)
			}
			if records != int(wantRevision) {
				t.Fatalf("%d audit records for %d changes", records, wantRevision)
			}
		}
		naivePlatform := standin.New()
		naivePlatform.View("a")
		lostReplies := rapid.IntRange(0, 2).Draw(t, "naive lost")
		naivePlatform.SetFaults(standin.Faults{DropReplies: 2 * lostReplies})
		naivePublish(t, naivePlatform.View("a"), testSections(0))
		if now, err := Load(t.Context(), naivePlatform.View("a")); err == nil && now.Root.Revision > 1 {
			naiveAcceptedTwice++
		}
	})
	is.New(t).True(naiveAcceptedTwice > 0)
}
