package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy is a TCP link on loopback that faults can be put on. Open connections keep to a
// fault as new ones do, except for silence, which strikes the open ones alone and for good.
type proxy struct {
	listener net.Listener
	target   string

	// mu guards the fields below.
	mu    sync.Mutex
	delay time.Duration // of each piece that passes
	cut   bool          // bytes are held up, both ways
	conns map[*linkConn]bool
	// touched is when a fault was last put on the link or taken off.
	touched time.Time
}

// linkConn is one connection through a proxy, both of its ends.
type linkConn struct {
	caller, target net.Conn
	silent         bool // guarded by the proxy's mu
}

// newProxy opens a link to an address; at is its own, "127.0.0.1:0" for any.
func newProxy(at, target string) (*proxy, error) {
	l, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[*linkConn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		go p.link(c)
	}
}

// link carries one connection. A target that does not listen resets its caller, as a dead
// port does.
func (p *proxy) link(caller net.Conn) {
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(caller)
		return
	}
	c := &linkConn{caller: caller, target: target}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); p.carry(c, target, caller) }()
	go func() { defer wg.Done(); p.carry(c, caller, target) }()
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// carry passes on bytes until one side ends, and ends both.
func (p *proxy) carry(c *linkConn, to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.pass(c) {
			_, _ = io.Copy(io.Discard, from) // silent for good: read, never passed on
			break
		}
		if _, werr := to.Write(buf[:n]); werr != nil || err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}

// heldLook is how often a cut link looks whether it carries again.
const heldLook = 10 * time.Millisecond

// pass waits until a piece may pass, and tells whether it ever may.
func (p *proxy) pass(c *linkConn) bool {
	for {
		p.mu.Lock()
		silent, cut, delay := c.silent, p.cut, p.delay
		p.mu.Unlock()
		switch {
		case silent:
			return false
		case !cut:
			time.Sleep(delay)
			return true
		}
		time.Sleep(heldLook)
	}
}

// set puts delay and cut on the link.
func (p *proxy) set(delay time.Duration, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.cut, p.touched = delay, cut, time.Now()
}

// silence makes the open connections silent for good.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.touched = time.Now()
	for c := range p.conns {
		c.silent = true
	}
}

// resetAll resets the open connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.touched = time.Now()
	for c := range p.conns {
		reset(c.caller)
		reset(c.target)
	}
}

// calmSince tells whether no fault has been on the link since a time.
func (p *proxy) calmSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.cut && p.delay == 0 && p.touched.Before(t)
}

// close ends the link: new connections are refused.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetAll()
}

// reset closes a connection without an orderly end.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
