// Package drain limits the number of client connections of an HTTP server, and shuts
// the server down without dropping a request that has arrived.
//
// http.Server.Shutdown closes every connection that the server considers idle, even
// if the next request has arrived on it but has not been read yet. On a slow VM such
// a request would get no response. A Listener closes only connections that are idle
// and have no unread bytes.
package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"woaddoor/contract"
	"woaddoor/memory"
	"woaddoor/peek"
)

// Timings of a shutdown.
const (
	// minIdle is how long no byte must have been read from a connection before it may
	// be closed. The server may have read a request and not yet reported the connection as active.
	minIdle = 300 * time.Millisecond
	// pollInterval is how often a shutdown checks which connections can be closed.
	pollInterval = 25 * time.Millisecond
)

// Listener is a net.Listener that tracks the state of its connections. The server must
// use its ConnState method as http.Server.ConnState.
type Listener struct {
	net.Listener
	maxConns int
	draining atomic.Bool
	// AcceptedConns counts the connections that were accepted, and RejectedConns those that were rejected
	// because of the limit. Bytes counts the bytes read from and written to all connections.
	AcceptedConns, RejectedConns, Bytes atomic.Int64
	// busy is the number of open connections on which a request runs or is about to arrive.
	busy atomic.Int64
	// OnFirstRead, if it is not nil, is called when the first bytes of a connection are read,
	// with the time since it was accepted.
	OnFirstRead func(time.Duration)
	// gate refuses connections while the limit of busy connections is reached; nil if the listener has none.
	gate *Gate
	// limit is the limit of busy connections, and staleLimit the one after limitSetAt, in Unix nanoseconds, has become
	// too old; 0 means none.
	limit, staleLimit, limitSetAt atomic.Int64
	// OnOpenFailed, if it is not nil, is called when the gate cannot listen again.
	OnOpenFailed func(error)
	// Limits are what callers may make the process hold, beside the number of connections. They must be set before
	// the first connection is accepted.
	Limits Limits
	// StalledConns counts the connections that were closed for new ones although requests were in progress on them.
	StalledConns atomic.Int64
	turns        *turns
	// mu guards conns, the set of open connections.
	mu    sync.Mutex
	conns map[*conn]bool
}

// NewListener wraps l in a Listener that keeps at most maxConns connections open.
// Zero means no limit. If l is a Gate, the number of busy connections can be limited as well.
func NewListener(l net.Listener, maxConns int) *Listener {
	gate, _ := l.(*Gate)
	return &Listener{Listener: l, gate: gate, maxConns: maxConns, turns: newTurns(), conns: make(map[*conn]bool)}
}

// conn is one client connection.
type conn struct {
	net.Conn
	serverIdle atomic.Bool  // whether http.Server reported the connection as new or idle
	lastRead   atomic.Int64 // time at which a byte was last read, in Unix nanoseconds
	listener   *Listener
	acceptedAt time.Time
	firstRead  sync.Once
	busy       atomic.Bool // whether the connection counts among the listener's busy ones
	// holder accounts for the memory that the connection makes the process hold; nil without an account.
	holder *memory.Holder
	// hasTurn is set while the connection has a turn to decode a body, which began at turnBegan, in Unix nanoseconds.
	hasTurn   atomic.Bool
	turnBegan atomic.Int64
	// inHead tells whether a part of a head, or a request, has arrived since the last request ended.
	inHead atomic.Bool
	// headCost is what the head that arrives will take once it is parsed, and headTaken what is taken for it. They
	// and the fields below are used by one goroutine of the server at a time.
	headCost, headTaken contract.Bytes
	// written is how much has been written since the last request ended, and holdsUnsent whether memory is held for
	// what its caller may not have received.
	written     contract.Bytes
	holdsUnsent bool
}

// OpenConns returns the number of open connections.
func (l *Listener) OpenConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// BusyConns returns the number of open connections on which a request runs, or no request has arrived yet.
func (l *Listener) BusyConns() int { return int(l.busy.Load()) }

// Accept waits for the next connection. At the connection limit it closes the connection that has been idle longest
// to make room, or the one whose caller has neither sent nor received anything substantial for longest. If there is
// none, Accept closes the new connection before anything is read from it, so that the client can safely try another
// VM.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil && l.draining.Load() {
			return nil, http.ErrServerClosed
		}
		if err != nil {
			return nil, err
		}
		now := time.Now()
		c := &conn{Conn: accepted, listener: l, acceptedAt: now}
		c.serverIdle.Store(true)
		c.lastRead.Store(now.UnixNano())
		if l.Limits.Memory != nil {
			c.holder = l.Limits.Memory.Open(c.giveWay, now)
		}
		if l.admit(c, now) {
			l.AcceptedConns.Add(1)
			c.setBusy(true)
			l.shutIfFull()
			return c, nil
		}
		l.RejectedConns.Add(1)
		c.holder.Close()
		_ = accepted.Close() // the client notices the close
	}
}

// admit registers a connection and reports whether it did. At the connection limit admit closes another connection
// for it, or returns false if none can be closed.
func (l *Listener) admit(c *conn, now time.Time) bool {
	l.mu.Lock()
	var idle, stalled *conn
	full := l.maxConns > 0 && len(l.conns) >= l.maxConns
	if full {
		if idle = l.longestIdle(now); idle == nil {
			stalled = l.longestStalled(now)
		}
	}
	admitted := !full || idle != nil || stalled != nil
	if admitted {
		l.conns[c] = true
	}
	l.mu.Unlock()
	if idle != nil {
		_ = idle.Close() // the client opens another connection
	}
	if stalled != nil {
		l.StalledConns.Add(1)
		stalled.reset()
	}
	return admitted
}

// longestIdle returns the closable connection that has been idle longest, or nil. The caller holds mu.
func (l *Listener) longestIdle(now time.Time) *conn {
	var longest *conn
	for c := range l.conns {
		if c.closable(now) && (longest == nil || c.lastRead.Load() < longest.lastRead.Load()) {
			longest = c
		}
	}
	return longest
}

// Read reads from the connection and records when it last returned bytes.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.readInTurn(p)
	if n > 0 {
		now := time.Now()
		c.lastRead.Store(now.UnixNano())
		c.listener.Bytes.Add(int64(n))
		c.firstRead.Do(func() {
			if c.listener.OnFirstRead != nil {
				c.listener.OnFirstRead(now.Sub(c.acceptedAt))
			}
		})
		if c.serverIdle.Load() {
			c.beginRequest(now)
			if !c.holdHead(p[:n], now) {
				return 0, errHeadDenied
			}
		}
	}
	return n, err
}

// setBusy sets whether the connection counts among the busy ones of its listener.
func (c *conn) setBusy(busy bool) {
	if c.busy.Swap(busy) == busy {
		return
	}
	if busy {
		c.listener.busy.Add(1)
	} else {
		c.listener.busy.Add(-1)
		c.listener.openIfRoom()
	}
}

// Close removes the connection from its listener and closes it.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	c.setBusy(false)
	c.holder.Close()
	return c.Conn.Close()
}

// ConnState records the state of a connection, as reported by the server. While the
// server drains, it closes a connection that becomes idle,
// unless the next request has already arrived on it.
func (l *Listener) ConnState(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	c.serverIdle.Store(s == http.StateNew || s == http.StateIdle)
	switch s {
	case http.StateActive:
		c.setBusy(true)
	case http.StateIdle:
		c.endRequest(time.Now())
		c.setBusy(false)
	case http.StateClosed, http.StateHijacked:
		c.setBusy(false)
	}
	if s == http.StateIdle && l.draining.Load() && !c.hasUnread() {
		_ = c.Close() // the client notices the close
	}
}

// Draining reports whether Drain has been called. The server should refuse further
// requests then, because they might not finish before the process exits.
func (l *Listener) Draining() bool { return l.draining.Load() }

// Drain stops accepting connections and closes the open connections as they become idle, until
// no connection is left or ctx is done. It reports whether all connections were closed.
func (l *Listener) Drain(ctx context.Context) bool {
	l.draining.Store(true)
	_ = l.Listener.Close() // accepted connections stay open
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if l.closeClosable(time.Now()) == 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}

// closeClosable closes the connections that have no request in progress
// and returns how many connections remain.
func (l *Listener) closeClosable(now time.Time) int {
	var closing []*conn
	l.mu.Lock()
	for c := range l.conns {
		if c.closable(now) {
			closing = append(closing, c)
		}
	}
	left := len(l.conns) - len(closing)
	l.mu.Unlock()
	for _, c := range closing {
		_ = c.Close() // the client notices the close
	}
	return left
}

// closable reports whether no request is in progress on the connection and no further
// request has arrived on the connection.
func (c *conn) closable(now time.Time) bool {
	return c.serverIdle.Load() && now.Sub(time.Unix(0, c.lastRead.Load())) > minIdle && !c.hasUnread()
}

// hasUnread reports whether bytes have arrived that have not been read yet.
func (c *conn) hasUnread() bool { return peek.Inspect(c.Conn) == peek.Readable }
