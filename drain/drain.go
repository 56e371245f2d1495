// Package drain keeps the connections of an HTTP server's callers: it bounds how
// many there are, and ends the server without losing a request that has arrived.
//
// http.Server.Shutdown closes each connection that the server takes for idle,
// also one whose next request has arrived and is not read yet: on a slow VM that
// is a request without an answer. A Listener knows which connections are quiet,
// and closes only those.
package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"woaddoor/peek"
)

// Timings of the end of a server.
const (
	// quietFor is how long a connection has to have brought no byte to be closed:
	// a request may have been read and not be known to the server yet.
	quietFor = 300 * time.Millisecond
	// lookEvery is how often connections are looked at.
	lookEvery = 25 * time.Millisecond
)

// Listener is a listener that knows the state of its connections. Its ConnState
// has to be that of the server.
type Listener struct {
	net.Listener
	most     int
	draining atomic.Bool
	// TurnedAway counts the connections that were closed at once.
	TurnedAway atomic.Int64
	// mu guards conns.
	mu    sync.Mutex
	conns map[*conn]bool
}

// Listen returns a listener over another one that keeps at most so many
// connections; zero means no bound.
func Listen(l net.Listener, most int) *Listener {
	return &Listener{Listener: l, most: most, conns: make(map[*conn]bool)}
}

// conn is one connection of a caller.
type conn struct {
	net.Conn
	idle   atomic.Bool
	heard  atomic.Int64 // when the last byte came, in Unix nanoseconds
	listen *Listener
}

// Open returns how many connections there are.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Accept waits for the next connection. Where there are too many, the one that
// has been idle for longest gives way to it; where none is idle, it is closed
// before anything is read from it, so that its caller may try another VM.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil && l.draining.Load() {
			return nil, http.ErrServerClosed
		}
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: nc, listen: l}
		c.idle.Store(true)
		c.heard.Store(time.Now().UnixNano())
		if l.admit(c, time.Now()) {
			return c, nil
		}
		l.TurnedAway.Add(1)
		_ = nc.Close() // its caller finds out by itself
	}
}

// admit makes room for a connection and counts it, or returns false.
func (l *Listener) admit(c *conn, now time.Time) bool {
	l.mu.Lock()
	var oldest *conn
	full := l.most > 0 && len(l.conns) >= l.most
	if full {
		for o := range l.conns {
			if o.quiet(now) && (oldest == nil || o.heard.Load() < oldest.heard.Load()) {
				oldest = o
			}
		}
	}
	admitted := !full || oldest != nil
	if admitted {
		l.conns[c] = true
	}
	l.mu.Unlock()
	if oldest != nil {
		_ = oldest.Close() // its caller opens another
	}
	return admitted
}

// Read reads what the caller has sent.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.heard.Store(time.Now().UnixNano())
	}
	return n, err
}

// Close closes the connection.
func (c *conn) Close() error {
	c.listen.mu.Lock()
	delete(c.listen.conns, c)
	c.listen.mu.Unlock()
	return c.Conn.Close()
}

// ConnState takes in the state of a connection. One whose answer has ended while
// the server ends is closed, unless its next request has arrived already.
func (l *Listener) ConnState(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	c.idle.Store(s == http.StateNew || s == http.StateIdle)
	if s == http.StateIdle && l.draining.Load() && !c.unread() {
		_ = c.Close() // its caller finds out by itself
	}
}

// Draining tells whether the server ends. A request that still comes is better
// refused: it might not be answered by the time that the process has to end.
func (l *Listener) Draining() bool { return l.draining.Load() }

// Drain takes no new connections and closes the others as they become quiet, until
// none is left or ctx ends. It tells whether none was left.
func (l *Listener) Drain(ctx context.Context) bool {
	l.draining.Store(true)
	_ = l.Listener.Close() // its connections stay
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		if l.closeQuiet(time.Now()) == 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}

// closeQuiet closes the connections on which nothing is under way, and returns
// how many are left.
func (l *Listener) closeQuiet(now time.Time) int {
	var quiet []*conn
	l.mu.Lock()
	for c := range l.conns {
		if c.quiet(now) {
			quiet = append(quiet, c)
		}
	}
	left := len(l.conns) - len(quiet)
	l.mu.Unlock()
	for _, c := range quiet {
		_ = c.Close() // its caller finds out by itself
	}
	return left
}

// quiet tells whether no request is under way, or has arrived, on a connection.
func (c *conn) quiet(now time.Time) bool {
	return c.idle.Load() && now.Sub(time.Unix(0, c.heard.Load())) > quietFor && !c.unread()
}

// unread tells whether bytes have arrived that were not read yet.
func (c *conn) unread() bool { return peek.Look(c.Conn) == peek.Waiting }
