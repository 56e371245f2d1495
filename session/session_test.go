package session

import (
	"hash/fnv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woaddoor/contract"
	"woaddoor/sign"
)

var secret = []byte("0123456789abcdef0123456789abcdef")

// versionByHash chooses the version of a session from the hash of its id and the
// current rollout percentage.
func versionByHash(id string, share float64) contract.VersionID {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	if float64(h.Sum32()%100) < share {
		return "m@2"
	}
	return "m@1"
}

// TestVersionStableDuringRamp checks that a token keeps a session on its version
// while the rollout percentage grows, whereas hashing the session id moves some
// sessions. A new Signer opens each token, as if every VM had been replaced.
func TestVersionStableDuringRamp(t *testing.T) {
	is := is.New(t)
	moved, kept := 0, 0
	steps := []float64{1, 5, 25, 100}
	for i := range 500 {
		id := string(rune('a'+i%26)) + time.Unix(int64(i), 0).String()
		first := versionByHash(id, steps[0])
		text, err := NewSigner(secret).Issue(Token{Session: id, Workspace: "w", Version: first}, time.Unix(0, 0))
		is.NoErr(err)
		for _, share := range steps[1:] {
			if versionByHash(id, share) != first {
				moved++
				break
			}
		}
		token, err := NewSigner(secret).Open(text, "w")
		is.NoErr(err)
		if token.Version == first {
			kept++
		}
	}
	is.True(moved > 0)  // hashing moves sessions to another version
	is.Equal(kept, 500) // tokens move none
}

// TestRejectsForgedToken checks that altered tokens and tokens of another workspace
// are rejected, and that a session token is no valid ticket.
func TestRejectsForgedToken(t *testing.T) {
	is := is.New(t)
	signer := NewSigner(secret)
	text, err := signer.Issue(Token{Session: "s", Workspace: "w", Version: "m@1"}, time.Unix(0, 0))
	is.NoErr(err)
	_, err = signer.Open(text, "other")
	is.Equal(err, ErrOtherWorkspace)
	ticketKey := sign.NewKey(secret, "ticket")
	is.Equal(ticketKey.Verify(text, &Token{}), sign.ErrInvalidSignature) // signed for another purpose
	rapid.Check(t, func(t *rapid.T) {
		raw := []byte(text)
		position := rapid.IntRange(0, len(raw)-1).Draw(t, "at")
		replacement := rapid.SampledFrom([]byte("ABCxyz019-_.")).Draw(t, "to")
		if raw[position] == replacement {
			return
		}
		raw[position] = replacement
		if got, err := signer.Open(string(raw), "w"); err == nil && got.Version != "m@1" {
			t.Fatalf("altered token opened as %+v", got)
		}
	})
}

// FuzzOpen checks that no input makes Open panic or return a token of another workspace.
func FuzzOpen(f *testing.F) {
	signer := NewSigner(secret)
	good, err := signer.Issue(Token{Session: "s", Workspace: "w", Version: "m@1"}, time.Unix(0, 0))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add("")
	f.Add("a.b")
	f.Fuzz(func(t *testing.T, text string) {
		if token, err := signer.Open(text, "w"); err == nil && token.Workspace != "w" {
			t.Fatalf("opened for another workspace: %+v", token)
		}
	})
}
