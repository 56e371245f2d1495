package drain

import (
	"net"
	"sync"
	"time"
)

// Gate is a net.Listener that can be shut and opened again. While it is shut, it listens on no socket, so
// the system refuses connections before anything is sent on them, at no cost to this process. Connections
// that have arrived and have not been accepted are reset: nothing was read from them.
type Gate struct {
	address net.Addr
	buffers Buffers

	// mu guards the fields below, and changed signals their changes.
	mu      sync.Mutex
	changed *sync.Cond
	inner   net.Listener // nil while the gate is shut
	closed  bool
	// shutAt is when the gate was last shut, and openedAt when it was opened again.
	shutAt, openedAt time.Time
	// shutFor is how long the gate has been shut until it was last opened, and shuts how often.
	shutFor time.Duration
	shuts   int
}

// NewGate listens on a TCP address. The gate is open.
func NewGate(address string, b Buffers) (*Gate, error) {
	l, err := Listen(address, b)
	if err != nil {
		return nil, err
	}
	g := &Gate{address: l.Addr(), buffers: b, inner: l}
	g.changed = sync.NewCond(&g.mu)
	return g, nil
}

// Addr returns the address on which the gate listens while it is open.
func (g *Gate) Addr() net.Addr { return g.address }

// Accept waits for the next connection. It waits while the gate is shut.
func (g *Gate) Accept() (net.Conn, error) {
	for {
		inner := g.awaitOpen()
		if inner == nil {
			return nil, net.ErrClosed
		}
		c, err := inner.Accept()
		if err == nil || g.isCurrent(inner) {
			return c, err
		}
	}
}

// awaitOpen waits until the gate is open and returns its socket, or nil if the gate has been closed.
func (g *Gate) awaitOpen() net.Listener {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.inner == nil && !g.closed {
		g.changed.Wait()
	}
	if g.closed {
		return nil
	}
	return g.inner
}

// isCurrent reports whether the gate still listens on a socket.
func (g *Gate) isCurrent(inner net.Listener) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inner == inner
}

// Shut makes the gate refuse connections, until Open is called.
func (g *Gate) Shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inner == nil {
		return
	}
	_ = g.inner.Close() // the socket is not used any more
	g.inner, g.shutAt = nil, time.Now()
	g.shuts++
}

// Open makes the gate accept connections again. If the address cannot be listened on, it stays shut.
func (g *Gate) Open() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inner != nil || g.closed {
		return nil
	}
	l, err := Listen(g.address.String(), g.buffers)
	if err != nil {
		return err
	}
	g.inner, g.openedAt = l, time.Now()
	g.shutFor += g.openedAt.Sub(g.shutAt)
	g.changed.Broadcast()
	return nil
}

// ShutSince returns since when the gate is shut, or the zero time if it is open.
func (g *Gate) ShutSince() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inner != nil || g.closed {
		return time.Time{}
	}
	return g.shutAt
}

// LastShut returns until when the gate was last shut: now if it is shut, or the zero time if it never was.
func (g *Gate) LastShut() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inner == nil && !g.closed {
		return time.Now()
	}
	return g.openedAt
}

// ShutTotals returns how often the gate has been shut, and for how long in all.
func (g *Gate) ShutTotals() (times int, total time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	total = g.shutFor
	if g.inner == nil && !g.closed {
		total += time.Since(g.shutAt)
	}
	return g.shuts, total
}

// Close ends the gate. Accept returns an error then.
func (g *Gate) Close() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	var err error
	if g.inner != nil {
		err = g.inner.Close()
	}
	g.inner, g.closed = nil, true
	g.changed.Broadcast()
	return err
}
