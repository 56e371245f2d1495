package drain

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/memory"
)

// accountedServer returns a server whose connections have holders of an account.
func accountedServer(t *testing.T, h http.HandlerFunc) (*httptest.Server, *memory.Account) {
	t.Helper()
	inner, err := Listen("127.0.0.1:0", Buffers{Receive: 16 << 10, Send: 64 << 10})
	is.New(t).NoErr(err)
	l := NewListener(inner, 0)
	account := memory.NewAccount(memory.Options{Total: 1 << 20, Allowance: memory.FreeHead, StallAfter: time.Second})
	l.Limits = Limits{Memory: account, SendBuffer: 64 << 10, StallAfter: time.Second, WriteTimeout: time.Minute}
	s := httptest.NewUnstartedServer(h)
	s.Listener = l
	s.Config.ConnState, s.Config.ConnContext = l.ConnState, l.ConnContext
	s.Start()
	t.Cleanup(s.Close)
	return s, account
}

// TestHeldWhileRequestRuns checks that a body of any form is read whole, that it is held while its request runs, and
// that nothing is held once all connections are closed.
func TestHeldWhileRequestRuns(t *testing.T) {
	is := is.New(t)
	const size = 300_000
	held := make(chan memory.Stats, 1)
	server, account := accountedServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(w, r, size, time.Now().Add(time.Minute), time.Now)
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		held <- memory.FromContext(r.Context()).Stats()
		_, _ = io.WriteString(w, strings.Repeat("a", len(body))) // fails only if the client has gone
	})
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"+strings.Repeat("2\r\nab\r\n", size/2)+"0\r\n\r\n")
	is.NoErr(err)
	answer, err := io.ReadAll(conn)
	is.NoErr(err)
	is.True(strings.Count(string(answer), "a") >= size)
	is.True((<-held).Used >= size-memory.FreeHead)
	for account.Stats().Used > 0 { // the server gives back after the client has read the end
		time.Sleep(time.Millisecond)
	}
}

// TestMemoryIsGivenBack checks that a connection holds nothing after a request, while it stays open, and can send the
// next one.
func TestMemoryIsGivenBack(t *testing.T) {
	is := is.New(t)
	server, account := accountedServer(t, func(w http.ResponseWriter, r *http.Request) {
		if _, err := ReadBody(w, r, 1<<20, time.Now().Add(time.Minute), time.Now); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	for range 10 {
		resp, err := server.Client().Post(server.URL, "text/plain", strings.NewReader(strings.Repeat("a", 200_000)))
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	for deadline := time.Now().Add(10 * time.Second); account.Stats().Used > 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(deadline)) // the server gives back after the client has read the end
	}
}

// TestUnreadBodyOfRefusedRequest guards against connections that are kept for as long as their callers like, because a
// request is refused before its body is read and the body does not end.
func TestUnreadBodyOfRefusedRequest(t *testing.T) {
	is := is.New(t)
	server, _ := accountedServer(t, func(w http.ResponseWriter, r *http.Request) {
		AbandonBody(w, r, time.Now())
		w.WriteHeader(http.StatusNotFound)
	})
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n123456789")
	is.NoErr(err)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(20 * time.Second)))
	answer, err := io.ReadAll(conn) // ends when the server closes the connection
	is.NoErr(err)
	is.True(strings.HasPrefix(string(answer), "HTTP/1.1 404"))
}

// TestBodyWithoutRoomIsRefused checks that a body for which there is no room is refused, with the connection closed.
func TestBodyWithoutRoomIsRefused(t *testing.T) {
	is := is.New(t)
	server, account := accountedServer(t, func(w http.ResponseWriter, r *http.Request) {
		if _, err := ReadBody(w, r, 4<<20, time.Now().Add(time.Minute), time.Now); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, server.URL, strings.NewReader(strings.Repeat("a", 1<<20)))
	is.NoErr(err)
	resp, err := server.Client().Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(resp.Close)
	is.True(account.Stats().Denied > 0)
}
