package exchange

import (
	"context"
	"sync"
	"time"
)

// Pool holds the connections to one upstream.
type Pool struct {
	address string

	// mu guards the fields below. It is not held across I/O.
	mu     sync.Mutex
	idle   []*conn // the last one was used last
	open   int
	limit  int
	closed bool
	dialed int64
}

// NewPool returns a pool of at most limit connections to an address.
func NewPool(address string, limit int) *Pool {
	return &Pool{address: address, limit: max(limit, 1)}
}

// SetLimit changes the bound of connections. Those open stay.
func (p *Pool) SetLimit(n int) {
	p.mu.Lock()
	p.limit = max(n, 1)
	p.mu.Unlock()
}

// Count returns how many connections are open and how many were opened so far.
func (p *Pool) Count() (open int, dialed int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, p.dialed
}

// take returns an idle connection that is healthy and, unless maxIdle is zero,
// was used within it; or a new one.
func (p *Pool) take(ctx context.Context, maxIdle time.Duration) (*conn, error) {
	for {
		c, busy := p.reserve()
		if busy {
			return nil, ErrBusy
		}
		if c == nil {
			break
		}
		now := time.Now()
		if c.healthy(now) && (maxIdle == 0 || now.Sub(c.idleAt) <= maxIdle) {
			c.wrote.Store(false)
			c.reused = true
			return c, nil
		}
		p.drop(c)
	}
	c, err := dial(ctx, p.address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	return c, nil
}

// reserve takes the idle connection that was used last, or counts a new one.
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

// give keeps a connection that was used for the next request.
func (p *Pool) give(c *conn) {
	c.idleAt = time.Now()
	p.put(c)
}

// put keeps a connection that was not used for the next request: it has been idle for as
// long as it was.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.open > p.limit {
		p.open--
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// drop closes a connection.
func (p *Pool) drop(c *conn) {
	_ = c.Close() // it is given up whatever the reason
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// distrust closes the idle connections after one that was idle beside them has
// gone silent: whatever took its packets has most likely taken theirs, and only
// time shows it.
func (p *Pool) distrust() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle()
}

// closeIdle closes the idle connections. The caller holds mu.
func (p *Pool) closeIdle() {
	for _, c := range p.idle {
		_ = c.Close() // it is given up whatever the reason
		p.open--
	}
	p.idle = nil
}

// Close closes the idle connections; those in use are closed when they end.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeIdle()
}
