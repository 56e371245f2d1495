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

func section(n int) map[string]document.Section {
	return map[string]document.Section{
		"model m":     "serve = m@1\n",
		"version m@1": document.Section(fmt.Sprintf("serve-without-word = %ds\n", n+1)),
	}
}

var author = Author{Who: "ana", Why: "test", At: time.Unix(0, 0)}

// TestRacingOperators shows the loser who won and where they clash.
func TestRacingOperators(t *testing.T) {
	is := is.New(t)
	store := standin.New().View("a")
	base, err := Load(t.Context(), store)
	is.NoErr(err)
	_, err = Publish(t.Context(), store, base, section(1), author)
	is.NoErr(err)
	_, err = Publish(t.Context(), store, base, section(2), Author{Who: "ben"})
	var conflict *Conflict
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Winner.Who, "ana")
	is.Equal(conflict.Clash, []string{"model m", "version m@1"})
	now, err := Load(t.Context(), store)
	is.NoErr(err)
	is.Equal(now.Document.Hash(), document.New(1, "", section(1)).Hash()) // nothing merged
}

// naivePublish tries again when a reply is lost, on what it reads then.
func naivePublish(t *rapid.T, store store.Store, sections map[string]document.Section) int {
	for n := 1; ; n++ {
		base, err := Load(t.Context(), store)
		if err != nil {
			t.Fatal(err)
		}
		d := document.New(base.Root.Revision+1, contract.ChangeID(fmt.Sprint(n)), sections)
		content, _ := document.EncodeContent(d)
		_, _ = store.Create(t.Context(), document.ContentName(d.Hash()), content)
		root := fmt.Sprintf(`{"revision":%d,"change":"%d","hash":"%s"}`, d.Revision, n, d.Hash())
		if base.Version == 0 {
			_, err = store.Create(t.Context(), document.RootName, []byte(root))
		} else {
			_, err = store.Update(t.Context(), document.RootName, []byte(root), base.Version)
		}
		if err == nil {
			return n
		}
	}
}

// TestLostReplies draws lost replies at any write. A change is accepted once,
// and Publish says so truthfully; the naive retry accepts it twice.
func TestLostReplies(t *testing.T) {
	naiveTwice := 0
	rapid.Check(t, func(t *rapid.T) {
		s := standin.New()
		store := s.View("a")
		want := contract.Revision(0)
		for i := range rapid.IntRange(1, 6).Draw(t, "changes") {
			base, err := Load(t.Context(), store)
			if err != nil {
				t.Fatal(err)
			}
			s.SetFaults(standin.Faults{
				LoseReplies:   rapid.IntRange(0, 4).Draw(t, "lost"),
				LoseRepliesTo: rapid.SampledFrom([]string{"", document.RootName, document.ChangeName("")}).Draw(t, "of"),
			})
			root, err := Publish(t.Context(), store, base, section(i), author)
			s.SetFaults(standin.Faults{})
			now, loadErr := Load(t.Context(), store)
			if loadErr != nil {
				t.Fatal(loadErr)
			}
			if err == nil {
				want++
			}
			if now.Root.Revision != want || err == nil && now.Root != root {
				t.Fatalf("error %v, root %+v, want revision %d", err, now.Root, want)
			}
			seen := 0
			if err := Walk(t.Context(), store, func(document.Change) bool { seen++; return true }); err != nil {
				t.Fatal(err)
			}
			if seen != int(want) {
				t.Fatalf("%d audit records for %d changes", seen, want)
			}
		}
		naive := standin.New()
		naive.View("a")
		lost := rapid.IntRange(0, 2).Draw(t, "naive lost")
		naive.SetFaults(standin.Faults{LoseReplies: 2 * lost})
		naivePublish(t, naive.View("a"), section(0))
		if now, err := Load(t.Context(), naive.View("a")); err == nil && now.Root.Revision > 1 {
			naiveTwice++
		}
	})
	is.New(t).True(naiveTwice > 0)
}
