package exchange

import (
	"context"
	"sync"
	"time"
)

// Pool holds the connections to one upstream.
type Pool struct {
	address string
	// Dial opens the connections. It must be set before the first request, or is the function Dial.
	Dial DialFunc
	// OnConnect is called after each attempt to open a connection for a request, with the error of
	// the attempt. Attempts that were cancelled are left out. OnConnect may be nil and must be set
	// before the first request.
	OnConnect func(err error)

	// The mutex mu guards the fields below. It is not held during I/O.
	mu     sync.Mutex
	idle   []*conn // the most recently used connection is last
	open   int
	limit  int
	closed bool
	dialed int64
}

// NewPool returns a pool of at most limit connections to an address.
func NewPool(address string, limit int) *Pool {
	return &Pool{address: address, Dial: Dial, limit: max(limit, 1)}
}

// SetLimit changes the maximum number of connections. Open connections stay open.
func (p *Pool) SetLimit(n int) {
	p.mu.Lock()
	p.limit = max(n, 1)
	p.mu.Unlock()
}

// Stats returns how many connections are open and how many were opened so far.
func (p *Pool) Stats() (open int, dialed int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, p.dialed
}

// acquire returns a healthy idle connection, or opens a new one.
// Unless maxIdle is zero, the idle connection must have been used within maxIdle.
func (p *Pool) acquire(ctx context.Context, maxIdle time.Duration) (*conn, error) {
	for {
		c, busy := p.reserve()
		if busy {
			return nil, ErrPoolExhausted
		}
		if c == nil {
			break
		}
		now := time.Now()
		if c.healthy(now) && (maxIdle == 0 || now.Sub(c.idleSince) <= maxIdle) {
			c.writeStarted.Store(false)
			c.reused = true
			return c, nil
		}
		p.discard(c)
	}
	c, err := p.Dial(ctx, p.address)
	if p.OnConnect != nil && ctx.Err() == nil {
		p.OnConnect(err)
	}
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	return newConn(c), nil
}

// reserve takes the most recently used idle connection, or counts a new connection as open.
// If the limit of connections is reached, reserve returns busy.
func (p *Pool) reserve() (c *conn, busy bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 {
		c = p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c, false
	}
	if p.open >= p.limit {
		return nil, true
	}
	p.open++
	p.dialed++
	return nil, false
}

// release returns a connection to the pool after a request.
func (p *Pool) release(c *conn) {
	c.idleSince = time.Now()
	p.putIdle(c)
}

// putIdle returns a connection to the pool without changing its idle time.
func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.open > p.limit {
		p.open--
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// discard closes a connection and removes it from the pool.
func (p *Pool) discard(c *conn) {
	_ = c.Close() // the error does not matter, the connection is discarded
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// discardIdle closes all idle connections.
// discardIdle is called after a request on a reused connection has timed out.
// The other idle connections are then most likely broken too,
// which would only show by further timeouts.
func (p *Pool) discardIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle()
}

// closeIdle closes the idle connections. The caller holds mu.
func (p *Pool) closeIdle() {
	for _, c := range p.idle {
		_ = c.Close() // the error does not matter, the connection is discarded
		p.open--
	}
	p.idle = nil
}

// Close closes the idle connections. Connections in use are closed when their requests end.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeIdle()
}
