package link

import (
	"context"
	"errors"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/keys"
)

type echo struct {
	Text string `cbor:"1,keyasint"`
}

func endpoint(t *testing.T, dir, name string) *Endpoint {
	t.Helper()
	is := is.New(t)
	set, err := keys.Load(filepath.Join(dir, name+".pem"), filepath.Join(dir, keys.PinsFile), filepath.Join(dir, keys.SigningFile))
	is.NoErr(err)
	e, err := Listen("127.0.0.1:0", set)
	is.NoErr(err)
	Handle(e, KindVote, func(_ context.Context, peer string, req echo) (echo, error) {
		if req.Text == "fail" {
			return echo{}, errors.New("asked to fail")
		}
		return echo{Text: peer + " said " + req.Text}, nil
	})
	go func() { _ = e.Serve(context.Background()) }()
	t.Cleanup(func() { _ = e.Close() })
	return e
}

func TestCall(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(keys.Make(dir, []string{"a", "b"}))
	a, b := endpoint(t, dir, "a"), endpoint(t, dir, "b")

	got, err := Call[echo, echo](t.Context(), a, b.Address(), KindVote, echo{Text: "hello"})
	is.NoErr(err)
	is.Equal(got.Text, "a said hello")

	_, err = Call[echo, echo](t.Context(), a, b.Address(), KindVote, echo{Text: "fail"})
	var remote *RemoteError
	is.True(errors.As(err, &remote)) // the peer's refusal is told from a lost call

	_, err = Call[echo, echo](t.Context(), a, b.Address(), KindPull, echo{})
	is.True(errors.As(err, &remote)) // a kind nobody answers
}

// TestPeerWithoutPin shows that a peer with a key that is not ours gets nothing.
func TestPeerWithoutPin(t *testing.T) {
	is := is.New(t)
	ours, theirs := t.TempDir(), t.TempDir()
	is.NoErr(keys.Make(ours, []string{"a"}))
	is.NoErr(keys.Make(theirs, []string{"a"}))
	a := endpoint(t, ours, "a")
	stranger := endpoint(t, theirs, "a")
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	_, err := Call[echo, echo](ctx, stranger, a.Address(), KindVote, echo{Text: "hello"})
	is.True(err != nil)
	var remote *RemoteError
	is.True(!errors.As(err, &remote)) // not even a refusal by the handler
}

// TestPeerReplaced shows that a link outlives the replacement of its peer.
func TestPeerReplaced(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(keys.Make(dir, []string{"a", "b"}))
	a, b := endpoint(t, dir, "a"), endpoint(t, dir, "b")
	address := b.Address()
	_, err := Call[echo, echo](t.Context(), a, address, KindVote, echo{Text: "one"})
	is.NoErr(err)
	is.NoErr(b.Close())
	_, err = Call[echo, echo](t.Context(), a, address, KindVote, echo{Text: "two"})
	is.True(err != nil)
}

// TestPeerRestartedSilently shows that a link to a VM that started again at the
// same address, and that says nothing on links to its former life, is dialled
// anew after one call has timed out, and not only when it is idle for long.
func TestPeerRestartedSilently(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(keys.Make(dir, []string{"a", "b"}))
	a, b := endpoint(t, dir, "a"), endpoint(t, dir, "b")
	address := b.Address()
	_, err := Call[echo, echo](t.Context(), a, address, KindVote, echo{Text: "one"})
	is.NoErr(err)
	// The socket goes without a word, as that of a killed process does.
	is.NoErr(b.transport.Conn.Close())
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err = Call[echo, echo](ctx, a, address, KindVote, echo{Text: "two"})
	is.True(err != nil)
	a.mu.Lock()
	_, kept := a.conns[address]
	a.mu.Unlock()
	is.True(!kept)
}
