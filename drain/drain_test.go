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

// pair returns a listener's side of a connection, idle for long, and the caller's.
func pair(t *testing.T) (l *Listener, server, caller net.Conn) {
	t.Helper()
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l = Listen(inner, 0)
	t.Cleanup(func() { _ = l.Close() })
	caller, err = net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = caller.Close() })
	server, err = l.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _ = server.Close() })
	return l, server, caller
}

// later is when a connection that says nothing counts as quiet.
func later() time.Time { return time.Now().Add(2 * quietFor) }

// TestArrivedRequest shows that a connection on which bytes have arrived that the
// server has not read yet is not closed, though the server takes it for idle.
func TestArrivedRequest(t *testing.T) {
	is := is.New(t)
	l, server, caller := pair(t)
	l.ConnState(server, http.StateIdle)
	_, err := io.WriteString(caller, "GET")
	is.NoErr(err)
	for !server.(*conn).unread() { // loopback delivers at once
	}
	is.Equal(l.closeQuiet(later()), 1)
	got := make([]byte, 3)
	_, err = io.ReadFull(server, got)
	is.NoErr(err)
	is.Equal(l.closeQuiet(time.Now()), 1) // read just now, and not known to the server yet
	is.Equal(l.closeQuiet(later()), 0)
	_, err = caller.Read(got)
	is.Equal(err, io.EOF)
}

// TestRequestUnderWay shows that a connection with a request is left to end it.
func TestRequestUnderWay(t *testing.T) {
	is := is.New(t)
	l, server, _ := pair(t)
	l.ConnState(server, http.StateActive)
	is.Equal(l.closeQuiet(later()), 1)
	l.ConnState(server, http.StateIdle)
	is.Equal(l.closeQuiet(later()), 0)
}

// TestAnswerEndsWhileDraining shows that a connection whose answer ends while the
// server ends is not kept, and one with a next request on it is.
func TestAnswerEndsWhileDraining(t *testing.T) {
	is := is.New(t)
	l, server, caller := pair(t)
	l.draining.Store(true)
	l.ConnState(server, http.StateActive)
	_, err := io.WriteString(caller, "GET")
	is.NoErr(err)
	for !server.(*conn).unread() { // loopback delivers at once
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

// TestDrainServer ends a server with an idle caller and one whose request is
// under way: the one is closed, the other gets its whole answer.
func TestDrainServer(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := Listen(inner, 0)
	begun, end := make(chan struct{}), make(chan struct{})
	server := &http.Server{ConnState: l.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-end
		_, _ = io.WriteString(w, "whole")
	})}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	idle, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	busy, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	_, err = io.WriteString(busy, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	is.NoErr(err)
	<-begun
	drained := make(chan bool, 1)
	go func() {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		drained <- l.Drain(ctx)
	}()
	_, err = idle.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	_, err = net.Dial("tcp", inner.Addr().String()) // nothing new is begun
	is.True(err != nil)
	close(end)
	resp, err := http.ReadResponse(bufio.NewReader(busy), nil)
	is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(body), "whole")
	is.True(<-drained)
	is.NoErr(server.Close())
	is.True(errors.Is(<-served, http.ErrServerClosed))
}

// TestTooManyConnections shows that the connection that has been idle for longest
// gives way to a new one, and that none with a request does.
func TestTooManyConnections(t *testing.T) {
	is := is.New(t)
	l, first, caller := pair(t)
	l.most = 2
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
	first.(*conn).heard.Store(1)
	second.(*conn).heard.Store(2)
	dial()
	third, err := l.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _ = third.Close() })
	_, err = caller.Read(make([]byte, 1))
	is.Equal(err, io.EOF) // the first gave way

	l.ConnState(second, http.StateActive)
	l.ConnState(third, http.StateActive)
	turnedAway := dial()
	go func() { _, _ = l.Accept() }() // ends with the listener
	_, err = turnedAway.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.Equal(l.TurnedAway.Load(), int64(1))
}
