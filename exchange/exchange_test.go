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

// peer is an upstream that counts its connections and can stop answering on
// those that are open, without closing them.
type peer struct {
	listener net.Listener

	mu     sync.Mutex
	opened int
	silent int // connections up to this number say nothing any more
	hold   chan struct{}
}

func newPeer(t *testing.T) *peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	p := &peer{listener: l, hold: make(chan struct{})}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.opened++
			n := p.opened
			p.mu.Unlock()
			go p.serve(c, n)
		}
	}()
	return p
}

func (p *peer) serve(c net.Conn, n int) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		p.mu.Lock()
		hold, silent := p.hold, n <= p.silent
		p.mu.Unlock()
		<-hold
		if silent {
			continue
		}
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

func (p *peer) connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

func (p *peer) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = p.opened
}

func anyAnswer(http.Header) bool { return true }

// hung is after how long a request counts as hung. A machine that stands still for
// seconds must not end one: its connection would not be kept.
const hung = 2 * time.Minute

// ask sends a request and reads its answer, unless that hangs.
func ask(ctx context.Context, pool *Pool, r *Request) error {
	ctx, cancel := context.WithTimeout(ctx, hung)
	defer cancel()
	a, err := pool.Do(ctx, r, anyAnswer)
	if err != nil {
		return err
	}
	defer a.Close()
	_, err = io.ReadAll(a)
	return err
}

// idle makes a pool with n connections that have each answered once.
func idle(t *testing.T, p *peer, n int) *Pool {
	t.Helper()
	is := is.New(t)
	pool := NewPool(p.listener.Addr().String(), 10)
	done := make(chan error, n)
	for range n {
		go func() { done <- ask(t.Context(), pool, &Request{Method: "GET", URI: "/", Host: "a"}) }()
	}
	for {
		if open, _ := pool.Count(); open == n {
			break
		}
		time.Sleep(time.Millisecond)
	}
	close(p.hold)
	for range n {
		is.NoErr(<-done)
	}
	t.Cleanup(pool.Close)
	return pool
}

var errGivenUp = errors.New("given up")

// TestSilentConnections shows that when one kept connection has gone silent, the
// others that were idle beside it are not used either.
func TestSilentConnections(t *testing.T) {
	is := is.New(t)
	p := newPeer(t)
	pool := idle(t, p, 3)
	p.silence()
	ctx, cancel := context.WithTimeoutCause(t.Context(), 50*time.Millisecond, errGivenUp)
	defer cancel()
	var x *Error
	is.True(errors.As(ask(ctx, pool, &Request{Method: "GET", URI: "/", Host: "a"}), &x))
	is.True(x.Sent)
	is.NoErr(ask(t.Context(), pool, &Request{Method: "GET", URI: "/", Host: "a"}))
	is.Equal(p.connections(), 4)
}

// TestCallerLeaves shows that a caller who leaves says nothing of the other
// connections.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	p := newPeer(t)
	pool := idle(t, p, 3)
	p.mu.Lock()
	p.hold = make(chan struct{})
	p.mu.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	is.True(ask(ctx, pool, &Request{Method: "GET", URI: "/", Host: "a"}) != nil)
	close(p.hold)
	is.NoErr(ask(t.Context(), pool, &Request{Method: "GET", URI: "/", Host: "a"}))
	is.Equal(p.connections(), 3)
}

// TestFreshConnection shows that a request which may not be sent twice does not
// go over a connection that has been idle for long.
func TestFreshConnection(t *testing.T) {
	is := is.New(t)
	p := newPeer(t)
	pool := idle(t, p, 1)
	r := &Request{Method: "POST", URI: "/", Host: "a", MaxIdle: time.Hour}
	is.NoErr(ask(t.Context(), pool, r))
	is.Equal(p.connections(), 1)
	r.MaxIdle = time.Nanosecond
	is.NoErr(ask(t.Context(), pool, r))
	is.Equal(p.connections(), 2)
}
