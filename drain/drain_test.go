package drain

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newConnPair returns a listener and both ends of a new connection to it.
func newConnPair(t *testing.T) (l *Listener, server, caller net.Conn) {
	t.Helper()
	is := is.New(t)
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l = NewListener(tcp, 0)
	t.Cleanup(func() { _ = l.Close() })
	caller, err = net.Dial("tcp", tcp.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = caller.Close() })
	server, err = l.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _ = server.Close() })
	return l, server, caller
}

// afterMinIdle returns a time at which a connection that reads nothing more may be closed.
func afterMinIdle() time.Time { return time.Now().Add(2 * minIdle) }

// TestConnWithUnreadRequestStaysOpen checks that a connection with unread bytes stays open
// although the server considers it idle, and so does one whose bytes were just read.
func TestConnWithUnreadRequestStaysOpen(t *testing.T) {
	is := is.New(t)
	l, server, caller := newConnPair(t)
	l.ConnState(server, http.StateIdle)
	_, err := io.WriteString(caller, "GET")
	is.NoErr(err)
	for !server.(*conn).hasUnread() { // busy-wait: loopback delivers almost at once
	}
	is.Equal(l.closeClosable(afterMinIdle()), 1)
	got := make([]byte, 3)
	_, err = io.ReadFull(server, got)
	is.NoErr(err)
	is.Equal(l.closeClosable(time.Now()), 1) // just read: the server may not have reported the connection as active yet
	is.Equal(l.closeClosable(afterMinIdle()), 0)
	_, err = caller.Read(got)
	is.Equal(err, io.EOF)
}

// TestConnWithActiveRequestStaysOpen checks that a connection is not closed while a request
// is in progress on it.
func TestConnWithActiveRequestStaysOpen(t *testing.T) {
	is := is.New(t)
	l, server, _ := newConnPair(t)
	l.ConnState(server, http.StateActive)
	is.Equal(l.closeClosable(afterMinIdle()), 1)
	l.ConnState(server, http.StateIdle)
	is.Equal(l.closeClosable(afterMinIdle()), 0)
}

// TestConnClosesAfterResponseWhileDraining checks that a draining server closes a connection
// once its response has ended, unless the next request has already arrived on it.
func TestConnClosesAfterResponseWhileDraining(t *testing.T) {
	is := is.New(t)
	l, server, caller := newConnPair(t)
	l.draining.Store(true)
	l.ConnState(server, http.StateActive)
	_, err := io.WriteString(caller, "GET")
	is.NoErr(err)
	for !server.(*conn).hasUnread() { // busy-wait: loopback delivers almost at once
	}
	l.ConnState(server, http.StateIdle)
	got := make([]byte, 3)
	_, err = io.ReadFull(server, got)
	is.NoErr(err)
	l.ConnState(server, http.StateActive)
	l.ConnState(server, http.StateIdle)
	_, err = caller.Read(got)
	is.Equal(err, io.EOF)
}

// TestDrainFinishesActiveRequests drains a server that has an idle connection and one with
// a request in progress. The idle one is closed, and the request gets its full response.
func TestDrainFinishesActiveRequests(t *testing.T) {
	is := is.New(t)
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := NewListener(tcp, 0)
	started, finish := make(chan struct{}), make(chan struct{})
	server := &http.Server{ConnState: l.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-finish
		_, _ = io.WriteString(w, "whole")
	})}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	idle, err := net.Dial("tcp", tcp.Addr().String())
	is.NoErr(err)
	busy, err := net.Dial("tcp", tcp.Addr().String())
	is.NoErr(err)
	_, err = io.WriteString(busy, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	is.NoErr(err)
	<-started
	drained := make(chan bool, 1)
	go func() {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		drained <- l.Drain(ctx)
	}()
	_, err = idle.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	_, err = net.Dial("tcp", tcp.Addr().String()) // new connections are refused
	is.True(err != nil)
	close(finish)
	resp, err := http.ReadResponse(bufio.NewReader(busy), nil)
	is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(body), "whole")
	is.True(<-drained)
	is.NoErr(server.Close())
	is.True(errors.Is(<-served, http.ErrServerClosed))
}

// TestConnectionLimit checks that at the limit the connection that has been idle longest is
// closed for a new one, and that a new one is rejected if all others have requests.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	l, first, caller := newConnPair(t)
	l.maxConns = 2
	dial := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	dial()
	second, err := l.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _ = second.Close() })
	first.(*conn).lastRead.Store(1)
	second.(*conn).lastRead.Store(2)
	dial()
	third, err := l.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _ = third.Close() })
	_, err = caller.Read(make([]byte, 1))
	is.Equal(err, io.EOF) // the first one was closed to make room

	l.ConnState(second, http.StateActive)
	l.ConnState(third, http.StateActive)
	rejected := dial()
	go func() { _, _ = l.Accept() }() // returns when the listener is closed
	_, err = rejected.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.Equal(l.RejectedConns.Load(), int64(1))
}
