package link

import (
	"context"
	"net"
	"time"

	"github.com/quic-go/quic-go"
)

// dialing is a handshake with a peer, for which all calls to the peer wait.
type dialing struct {
	done chan struct{}
	// pc and err are the result, valid once done is closed.
	pc  *peerConn
	err error
}

// connect returns the open connection to the peer at address, or waits for a new one. The handshake
// goes on after ctx has ended, so that a later call finds the connection if no call has a deadline
// as long as a handshake takes.
func (e *Endpoint) connect(ctx context.Context, address string) (*peerConn, error) {
	pc, d, err := e.findOrDial(address)
	if d == nil {
		return pc, err
	}
	select {
	case <-d.done:
		return d.pc, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// findOrDial returns the open connection to a peer or, if there is none, the handshake in progress.
func (e *Endpoint) findOrDial(address string) (*peerConn, *dialing, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return nil, nil, net.ErrClosed
	}
	if pc, ok := e.conns[address]; ok && pc.conn.Context().Err() == nil {
		return pc, nil, nil
	}
	d := e.dialing[address]
	if d == nil {
		d = &dialing{done: make(chan struct{})}
		e.dialing[address] = d
		go e.dial(address, d)
	}
	return nil, d, nil
}

// dial makes a handshake with a peer.
func (e *Endpoint) dial(address string, d *dialing) {
	d.pc, d.err = e.handshake(address)
	e.mu.Lock()
	delete(e.dialing, address)
	e.mu.Unlock()
	close(d.done)
}

// handshake opens a connection to a peer.
func (e *Endpoint) handshake(address string) (*peerConn, error) {
	udpAddr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	dialed, err := e.transport.Dial(ctx, udpAddr, e.identity.TLSConfig(alpnProtocol), e.quicConfig())
	if err != nil {
		return nil, err
	}
	e.traffic.dials.Add(1)
	return e.storeDialed(address, dialed), nil
}

// storeDialed registers a connection that this endpoint has dialed.
// If another call has registered a connection in the meantime, the result depends on the mode.
// Without shared connections, the registered connection is kept and the new connection is closed.
// With shared connections, the new connection replaces the registered connection.
// The replaced connection is left open until its idle timeout, because the peer may have begun to
// use it.
func (e *Endpoint) storeDialed(address string, dialed *quic.Conn) *peerConn {
	e.mu.Lock()
	defer e.mu.Unlock()
	if pc, ok := e.conns[address]; ok && pc.conn.Context().Err() == nil && !e.sharedConns {
		_ = dialed.CloseWithError(codeNormal, "twice")
		return pc
	}
	pc := &peerConn{conn: dialed}
	pc.lastResponse.Store(time.Now().UnixNano())
	e.conns[address] = pc
	if peer, err := e.peer(dialed); err == nil && e.sharedConns {
		go e.serveStreams(dialed.Context(), peer, dialed)
	}
	return pc
}

// storeAccepted registers a connection that a peer has opened,
// so that calls to the peer use this connection.
// The new connection replaces an older connection, which a peer that has restarted no longer knows.
// storeAccepted does nothing unless connections are shared.
func (e *Endpoint) storeAccepted(conn *quic.Conn) {
	if !e.sharedConns {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	pc := &peerConn{conn: conn}
	pc.lastResponse.Store(time.Now().UnixNano())
	e.conns[conn.RemoteAddr().String()] = pc
}
