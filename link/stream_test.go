package link

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/keys"
)

// kindEcho is the kind of the streams in these tests.
const kindEcho = KindForward

// newStreamPair returns two endpoints; the second handles streams with serve.
func newStreamPair(t *testing.T, serve StreamHandler) (*Endpoint, *Endpoint) {
	t.Helper()
	dir := t.TempDir()
	is.New(t).NoErr(keys.GenerateFiles(dir, []string{"a", "b"}))
	return newEndpoint(t, dir, "a"), newEndpoint(t, dir, "b", func(e *Endpoint) { HandleStream(e, kindEcho, serve) })
}

// TestStreamCarriesMessagesBothWays checks that messages arrive in order at both ends, and that the
// end of the handler ends the stream.
func TestStreamCarriesMessagesBothWays(t *testing.T) {
	is := is.New(t)
	a, b := newStreamPair(t, func(_ context.Context, _ string, s *Stream) {
		for range 3 {
			var n int
			if s.Receive(&n, time.Second) == nil {
				_ = s.Send(2 * n)
			}
		}
	})
	s, err := OpenStream(t.Context(), a, b.Address(), kindEcho, time.Second)
	is.NoErr(err)
	defer s.Cancel()
	for n := 1; n <= 3; n++ {
		is.NoErr(s.Send(n))
	}
	for n := 1; n <= 3; n++ {
		var doubled int
		is.NoErr(s.Receive(&doubled, time.Second))
		is.Equal(doubled, 2*n)
	}
	var more int
	is.True(s.Receive(&more, time.Second) != nil)
}

// TestStreamCancelReachesHandler checks that the peer's handler is notified when the context of
// the opener ends.
func TestStreamCancelReachesHandler(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	a, b := newStreamPair(t, func(ctx context.Context, _ string, s *Stream) {
		_ = s.Send(1)
		<-ctx.Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	s, err := OpenStream(ctx, a, b.Address(), kindEcho, time.Second)
	is.NoErr(err)
	var n int
	is.NoErr(s.Receive(&n, time.Second))
	cancel()
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Fatal("the handler was not notified")
	}
}

// TestSlowStreamReaderBoundsSender checks that a receiver that does not read stops the sender, so
// that memory stays bounded, and that calls on the same connection still work.
func TestSlowStreamReaderBoundsSender(t *testing.T) {
	is := is.New(t)
	const chunk, chunks = 16 << 10, 1024 // 16 MiB
	sent := make(chan int, chunks)
	a, b := newStreamPair(t, func(_ context.Context, _ string, s *Stream) {
		for n := range chunks {
			if s.Send(make([]byte, chunk)) != nil {
				return
			}
			sent <- n
		}
	})
	var streams []*Stream
	for range 8 {
		s, err := OpenStream(t.Context(), a, b.Address(), kindEcho, time.Second)
		is.NoErr(err)
		defer s.Cancel()
		streams = append(streams, s)
	}
	time.Sleep(300 * time.Millisecond)
	is.True(len(sent)*chunk <= len(streams)*2*streamWindow)
	got, err := Call[echoMessage, echoMessage](t.Context(), a, b.Address(), KindTicketVote, echoMessage{Text: "hello"})
	is.NoErr(err)
	is.Equal(got.Text, "a: hello")
}

// TestStreamOfUnknownKindIsRefused checks that a stream of a kind without a handler fails at once.
func TestStreamOfUnknownKindIsRefused(t *testing.T) {
	is := is.New(t)
	a, b := newStreamPair(t, nil)
	s, err := OpenStream(t.Context(), a, b.Address(), KindUsageReport, time.Second)
	is.NoErr(err)
	defer s.Cancel()
	began := time.Now()
	var n int
	is.True(s.Receive(&n, 5*time.Second) != nil)
	is.True(time.Since(began) < 2*time.Second)
}
