package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy is a TCP link on loopback that can inject faults. Delays and blocking apply to open and
// new connections alike. Silencing applies only to the connections that are open at that time, and
// lasts until these connections are closed.
type proxy struct {
	listener net.Listener
	target   string
	// connected is called with both ends of each connection before anything is forwarded.
	connected func(caller, target net.Conn)

	// mu guards the fields below.
	mu      sync.Mutex
	delay   time.Duration // of each chunk that is forwarded
	blocked bool          // nothing is forwarded in either direction
	conns   map[*proxyConn]bool
	// lastFaultAt is when a fault was last injected or cleared.
	lastFaultAt time.Time
}

// proxyConn is one connection through a proxy, with both of its ends.
type proxyConn struct {
	caller, target net.Conn
	silent         bool // guarded by the proxy's mu
}

// newProxy opens a link to the address target. It listens on listenAddress;
// "127.0.0.1:0" picks a free port.
func newProxy(listenAddress, target string) (*proxy, error) {
	return newProxyWith(listenAddress, target, func(net.Conn, net.Conn) {})
}

// newProxyWith is newProxy with a function that is called with both ends of each connection.
func newProxyWith(listenAddress, target string, connected func(caller, target net.Conn)) (*proxy, error) {
	l, err := net.Listen("tcp", listenAddress)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, connected: connected, conns: make(map[*proxyConn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // the link is closed
		}
		go p.handle(c)
	}
}

// handle forwards one connection. If the target does not listen, it resets the caller's
// connection, as a closed port would.
func (p *proxy) handle(caller net.Conn) {
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(caller)
		return
	}
	p.connected(caller, target)
	c := &proxyConn{caller: caller, target: target}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); p.forward(c, target, caller) }()
	go func() { defer wg.Done(); p.forward(c, caller, target) }()
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// forward copies bytes in one direction until either side ends, and then closes both.
func (p *proxy) forward(c *proxyConn, to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.waitToForward(c) {
			_, _ = io.Copy(io.Discard, from) // silenced: read everything and forward nothing
			break
		}
		if _, werr := to.Write(buf[:n]); werr != nil || err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}

// blockedPollInterval is how often a blocked connection checks whether it may forward again.
const blockedPollInterval = 10 * time.Millisecond

// waitToForward waits until the next chunk may be forwarded.
// It returns false if the connection is silenced.
func (p *proxy) waitToForward(c *proxyConn) bool {
	for {
		p.mu.Lock()
		silent, blocked, delay := c.silent, p.blocked, p.delay
		p.mu.Unlock()
		switch {
		case silent:
			return false
		case !blocked:
			time.Sleep(delay)
			return true
		}
		time.Sleep(blockedPollInterval)
	}
}

// setFault sets the link's delay and whether it is blocked.
func (p *proxy) setFault(delay time.Duration, blocked bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.blocked, p.lastFaultAt = delay, blocked, time.Now()
}

// silenceOpen stops forwarding on all open connections for as long as they exist.
func (p *proxy) silenceOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastFaultAt = time.Now()
	for c := range p.conns {
		c.silent = true
	}
}

// resetOpen resets all open connections.
func (p *proxy) resetOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastFaultAt = time.Now()
	for c := range p.conns {
		reset(c.caller)
		reset(c.target)
	}
}

// undisturbedSince reports whether the link has had no fault since the given time.
func (p *proxy) undisturbedSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.blocked && p.delay == 0 && p.lastFaultAt.Before(t)
}

// close stops the link: it refuses new connections and resets the open ones.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetOpen()
}

// reset closes a connection with a TCP reset instead of an orderly shutdown.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
