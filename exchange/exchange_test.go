package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// testUpstream is an upstream that counts its connections and can stop responding on the open
// ones without closing them.
type testUpstream struct {
	listener net.Listener

	mu             sync.Mutex
	accepted       int
	lastSilent     int // connections up to this number get no more responses
	allowResponses chan struct{}
}

func newTestUpstream(t *testing.T) *testUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	u := &testUpstream{listener: l, allowResponses: make(chan struct{})}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.mu.Lock()
			u.accepted++
			n := u.accepted
			u.mu.Unlock()
			go u.serve(c, n)
		}
	}()
	return u
}

func (u *testUpstream) serve(c net.Conn, n int) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		u.mu.Lock()
		allowResponses, silent := u.allowResponses, n <= u.lastSilent
		u.mu.Unlock()
		<-allowResponses
		if silent {
			continue
		}
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

func (u *testUpstream) connectionCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.accepted
}

func (u *testUpstream) goSilent() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lastSilent = u.accepted
}

func matchAny(http.Header) bool { return true }

// hangTimeout is after how long a request counts as hung. It is long, because a test machine
// may pause for seconds, and a timeout of a request would close its connection.
const hangTimeout = 2 * time.Minute

// send sends a request and reads the response. It fails if that takes longer than
// hangTimeout.
func send(ctx context.Context, pool *Pool, r *Request) error {
	ctx, cancel := context.WithTimeout(ctx, hangTimeout)
	defer cancel()
	resp, err := pool.Do(ctx, r, matchAny)
	if err != nil {
		return err
	}
	defer resp.Close()
	_, err = io.ReadAll(resp)
	return err
}

// newIdlePool returns a pool with n idle connections on which one request each was answered.
func newIdlePool(t *testing.T, u *testUpstream, n int) *Pool {
	t.Helper()
	is := is.New(t)
	pool := NewPool(u.listener.Addr().String(), 10)
	done := make(chan error, n)
	for range n {
		go func() { done <- send(t.Context(), pool, &Request{Method: "GET", URI: "/", Host: "a"}) }()
	}
	for {
		if open, _ := pool.Stats(); open == n {
			break
		}
		time.Sleep(time.Millisecond)
	}
	close(u.allowResponses)
	for range n {
		is.NoErr(<-done)
	}
	t.Cleanup(pool.Close)
	return pool
}

var errGivenUp = errors.New("given up")

// TestTimeoutDiscardsIdleConnections checks that when a request on a reused connection times
// out, the other idle connections of the pool are not used again.
func TestTimeoutDiscardsIdleConnections(t *testing.T) {
	is := is.New(t)
	u := newTestUpstream(t)
	pool := newIdlePool(t, u, 3)
	u.goSilent()
	ctx, cancel := context.WithTimeoutCause(t.Context(), 50*time.Millisecond, errGivenUp)
	defer cancel()
	var exchangeErr *Error
	is.True(errors.As(send(ctx, pool, &Request{Method: "GET", URI: "/", Host: "a"}), &exchangeErr))
	is.True(exchangeErr.Sent)
	is.NoErr(send(t.Context(), pool, &Request{Method: "GET", URI: "/", Host: "a"}))
	is.Equal(u.connectionCount(), 4)
}

// TestCancelKeepsIdleConnections checks that a cancelled request does not affect the other
// connections of the pool.
func TestCancelKeepsIdleConnections(t *testing.T) {
	is := is.New(t)
	u := newTestUpstream(t)
	pool := newIdlePool(t, u, 3)
	u.mu.Lock()
	u.allowResponses = make(chan struct{})
	u.mu.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	is.True(send(ctx, pool, &Request{Method: "GET", URI: "/", Host: "a"}) != nil)
	close(u.allowResponses)
	is.NoErr(send(t.Context(), pool, &Request{Method: "GET", URI: "/", Host: "a"}))
	is.Equal(u.connectionCount(), 3)
}

// TestMaxIdle checks that a request with MaxIdle is not sent on a connection that has been
// idle for longer. Requests that must not be sent twice set it, because an old connection may
// turn out to be closed.
func TestMaxIdle(t *testing.T) {
	is := is.New(t)
	u := newTestUpstream(t)
	pool := newIdlePool(t, u, 1)
	r := &Request{Method: "POST", URI: "/", Host: "a", MaxIdle: time.Hour}
	is.NoErr(send(t.Context(), pool, r))
	is.Equal(u.connectionCount(), 1)
	r.MaxIdle = time.Nanosecond
	is.NoErr(send(t.Context(), pool, r))
	is.Equal(u.connectionCount(), 2)
}

// lateWriteConn is a connection whose Write returns some time after the bytes were sent.
type lateWriteConn struct {
	net.Conn
	delay time.Duration
}

func (c *lateWriteConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	time.Sleep(c.delay)
	return n, err
}

// TestConnectionIsKeptIfWriteReturnsLate guards against discarding a good connection because its
// upstream responded before the goroutine that had written the request ran again.
// A request that is still being written long after its response does not free the connection.
func TestConnectionIsKeptIfWriteReturnsLate(t *testing.T) {
	for delay, connections := range map[time.Duration]int{writeResultWait / 5: 1, 20 * writeResultWait: 2} {
		is := is.New(t)
		u := newTestUpstream(t)
		pool := newIdlePool(t, u, 1)
		pool.idle[0].Conn = &lateWriteConn{pool.idle[0].Conn, delay}
		for range 2 {
			is.NoErr(send(t.Context(), pool, &Request{Method: "GET", URI: "/", Host: "a"}))
		}
		is.Equal(u.connectionCount(), connections)
	}
}
