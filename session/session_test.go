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

// naiveVersion sends a session by the hash of its id against today's share.
func naiveVersion(id string, share float64) contract.VersionID {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	if float64(h.Sum32()%100) < share {
		return "m@2"
	}
	return "m@1"
}

// TestVersionKeptThroughRamp shows that the hash of a session id moves sessions
// at a ramp step, and that a token does not, though every VM is replaced at
// each step (the keeper that opens it has no memory of the one that made it).
func TestVersionKeptThroughRamp(t *testing.T) {
	is := is.New(t)
	moved, kept := 0, 0
	steps := []float64{1, 5, 25, 100}
	for i := range 500 {
		id := string(rune('a'+i%26)) + time.Unix(int64(i), 0).String()
		first := naiveVersion(id, steps[0])
		text, err := NewKeeper(secret).Issue(Token{Session: id, Workspace: "w", Version: first}, time.Unix(0, 0))
		is.NoErr(err)
		for _, share := range steps[1:] {
			if naiveVersion(id, share) != first {
				moved++
				break
			}
		}
		token, err := NewKeeper(secret).Open(text, "w")
		is.NoErr(err)
		if token.Version == first {
			kept++
		}
	}
	is.True(moved > 0)  // the naive way switches versions midway
	is.Equal(kept, 500) // the token never does
}

// TestForged checks that no altered token opens, and none of another workspace.
func TestForged(t *testing.T) {
	is := is.New(t)
	k := NewKeeper(secret)
	text, err := k.Issue(Token{Session: "s", Workspace: "w", Version: "m@1"}, time.Unix(0, 0))
	is.NoErr(err)
	_, err = k.Open(text, "other")
	is.Equal(err, ErrOtherWorkspace)
	other := sign.NewKey(secret, "ticket")
	is.Equal(other.Open(text, &Token{}), sign.ErrForged) // of another purpose
	rapid.Check(t, func(t *rapid.T) {
		raw := []byte(text)
		at := rapid.IntRange(0, len(raw)-1).Draw(t, "at")
		to := rapid.SampledFrom([]byte("ABCxyz019-_.")).Draw(t, "to")
		if raw[at] == to {
			return
		}
		raw[at] = to
		if got, err := k.Open(string(raw), "w"); err == nil && got.Version != "m@1" {
			t.Fatalf("altered token opened as %+v", got)
		}
	})
}

// FuzzOpen checks that no text makes Open panic or pass without its key.
func FuzzOpen(f *testing.F) {
	k := NewKeeper(secret)
	good, err := k.Issue(Token{Session: "s", Workspace: "w", Version: "m@1"}, time.Unix(0, 0))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add("")
	f.Add("a.b")
	f.Fuzz(func(t *testing.T, text string) {
		if token, err := k.Open(text, "w"); err == nil && token.Workspace != "w" {
			t.Fatalf("opened for another workspace: %+v", token)
		}
	})
}
