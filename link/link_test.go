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

// echoMessage is the request and the response of the KindTicketVote handler in these tests.
type echoMessage struct {
	Text string `cbor:"1,keyasint"`
}

// newEndpoint starts an endpoint with the keys of the given name. Its KindTicketVote
// handler echoes the text of a message with the peer's name, or fails on the text "fail".
// The functions prepare are called before the endpoint serves.
func newEndpoint(t *testing.T, dir, name string, prepare ...func(*Endpoint)) *Endpoint {
	t.Helper()
	is := is.New(t)
	keySet, err := keys.Load(filepath.Join(dir, name+".pem"), filepath.Join(dir, keys.PinsFile), filepath.Join(dir, keys.SigningFile))
	is.NoErr(err)
	e, err := Listen("127.0.0.1:0", keySet)
	is.NoErr(err)
	Handle(e, KindTicketVote, func(_ context.Context, peer string, req echoMessage) (echoMessage, error) {
		if req.Text == "fail" {
			return echoMessage{}, errors.New("asked to fail")
		}
		return echoMessage{Text: peer + ": " + req.Text}, nil
	})
	for _, p := range prepare {
		p(e)
	}
	go func() { _ = e.Serve(context.Background()) }()
	t.Cleanup(func() { _ = e.Close() })
	return e
}

// TestCallReturnsResponseOrRemoteError checks that a call returns the response of the peer's
// handler, and a *RemoteError if the handler fails or does not exist.
func TestCallReturnsResponseOrRemoteError(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(keys.GenerateFiles(dir, []string{"a", "b"}))
	a, b := newEndpoint(t, dir, "a"), newEndpoint(t, dir, "b")

	got, err := Call[echoMessage, echoMessage](t.Context(), a, b.Address(), KindTicketVote, echoMessage{Text: "hello"})
	is.NoErr(err)
	is.Equal(got.Text, "a: hello")

	_, err = Call[echoMessage, echoMessage](t.Context(), a, b.Address(), KindTicketVote, echoMessage{Text: "fail"})
	var remote *RemoteError
	is.True(errors.As(err, &remote)) // an error of the peer's handler differs from a lost call

	_, err = Call[echoMessage, echoMessage](t.Context(), a, b.Address(), KindPullConfig, echoMessage{})
	is.True(errors.As(err, &remote)) // the peer has no handler for this kind
}

// TestUnpinnedPeerIsRejected checks that a peer whose key is not pinned gets no response,
// not even an error from a handler.
func TestUnpinnedPeerIsRejected(t *testing.T) {
	is := is.New(t)
	pinnedDir, otherDir := t.TempDir(), t.TempDir()
	is.NoErr(keys.GenerateFiles(pinnedDir, []string{"a"}))
	is.NoErr(keys.GenerateFiles(otherDir, []string{"a"}))
	a := newEndpoint(t, pinnedDir, "a")
	unpinned := newEndpoint(t, otherDir, "a")
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	_, err := Call[echoMessage, echoMessage](ctx, unpinned, a.Address(), KindTicketVote, echoMessage{Text: "hello"})
	is.True(err != nil)
	var remote *RemoteError
	is.True(!errors.As(err, &remote)) // the handler has not run
}

// TestCallToClosedPeerFails checks that a call over an existing connection fails once
// the peer has closed its endpoint.
func TestCallToClosedPeerFails(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(keys.GenerateFiles(dir, []string{"a", "b"}))
	a, b := newEndpoint(t, dir, "a"), newEndpoint(t, dir, "b")
	address := b.Address()
	_, err := Call[echoMessage, echoMessage](t.Context(), a, address, KindTicketVote, echoMessage{Text: "one"})
	is.NoErr(err)
	is.NoErr(b.Close())
	_, err = Call[echoMessage, echoMessage](t.Context(), a, address, KindTicketVote, echoMessage{Text: "two"})
	is.True(err != nil)
}

// TestTimedOutCallDropsConnection checks that one timed-out call drops the connection to
// a peer that was killed, so that the next call dials again. A peer that has restarted
// at the same address ignores packets of its old connections; without the drop every
// call would time out until the idle timeout.
func TestTimedOutCallDropsConnection(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(keys.GenerateFiles(dir, []string{"a", "b"}))
	a, b := newEndpoint(t, dir, "a"), newEndpoint(t, dir, "b")
	address := b.Address()
	_, err := Call[echoMessage, echoMessage](t.Context(), a, address, KindTicketVote, echoMessage{Text: "one"})
	is.NoErr(err)
	// Close the socket without notifying the peer, as happens when a process is killed.
	is.NoErr(b.transport.Conn.Close())
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err = Call[echoMessage, echoMessage](ctx, a, address, KindTicketVote, echoMessage{Text: "two"})
	is.True(err != nil)
	a.mu.Lock()
	_, kept := a.conns[address]
	a.mu.Unlock()
	is.True(!kept)
}
