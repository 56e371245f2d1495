package link

import (
	"context"
	"net"
	"time"

	"github.com/quic-go/quic-go"

	"woaddoor/contract"
)

// callTimeout bounds a call whose context has no earlier deadline.
const callTimeout = 5 * time.Second

// Call sends req to the endpoint at address and returns its answer.
//
// An error of type *RemoteError means that the peer refused; any other means
// that nobody knows whether the peer acted. A connection that fails is
// forgotten, and the next call makes another.
func Call[Req, Resp any](ctx context.Context, e *Endpoint, address string, kind Kind, req Req) (Resp, error) {
	var resp Resp
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := Encode(req)
	if err != nil {
		return resp, contract.Fail(contract.StepLink, address, err)
	}
	got, err := e.exchange(ctx, address, envelope{Kind: kind, Body: body})
	if err != nil {
		return resp, contract.Fail(contract.StepLink, address, err)
	}
	if got.Error != "" {
		return resp, contract.Fail(contract.StepLink, address, &RemoteError{Text: got.Error})
	}
	err = Decode(got.Body, &resp)
	return resp, contract.Fail(contract.StepLink, address, err)
}

func (e *Endpoint) exchange(ctx context.Context, address string, req envelope) (answer, error) {
	p, err := e.conn(ctx, address)
	if err != nil {
		return answer{}, err
	}
	began := time.Now()
	got, err := e.onStream(ctx, p.conn, req)
	if err != nil {
		e.forget(ctx, address, p, began)
		return got, err
	}
	p.heard.Store(time.Now().UnixNano())
	return got, nil
}

func (e *Endpoint) onStream(ctx context.Context, conn *quic.Conn, req envelope) (answer, error) {
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return answer{}, err
	}
	deadline, _ := ctx.Deadline()
	_ = stream.SetDeadline(deadline)
	// A caller that gave up frees the stream at once.
	stop := context.AfterFunc(ctx, func() { stream.CancelRead(quic.StreamErrorCode(closeNormal)) })
	defer stop()
	raw, err := Encode(req)
	if err != nil {
		return answer{}, err
	}
	if _, err := stream.Write(raw); err != nil {
		return answer{}, err
	}
	if err := stream.Close(); err != nil {
		return answer{}, err
	}
	e.sent(conn.RemoteAddr().String(), req.Kind, len(raw))
	var got answer
	err = readFrame(stream, &got)
	e.traffic.received.Add(int64(len(got.Body)))
	return got, err
}

func (e *Endpoint) conn(ctx context.Context, address string) (*peerConn, error) {
	e.mu.Lock()
	p, ok := e.conns[address]
	closed := e.closed
	e.mu.Unlock()
	if closed {
		return nil, net.ErrClosed
	}
	if ok && p.conn.Context().Err() == nil {
		return p, nil
	}
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	dialed, err := e.transport.Dial(ctx, udp, e.identity.TLS(protocol), e.quicConfig())
	if err != nil {
		return nil, err
	}
	e.traffic.dialed.Add(1)
	return e.remember(address, dialed), nil
}

// remember keeps the connection, or uses the one that another call made in the
// meantime. The peer may have begun to use the one that is left: it ends when it
// has been idle, or is closed at once where links are kept up.
func (e *Endpoint) remember(address string, dialed *quic.Conn) *peerConn {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p, ok := e.conns[address]; ok && p.conn.Context().Err() == nil && !e.shared {
		_ = dialed.CloseWithError(closeNormal, "twice")
		return p
	}
	p := &peerConn{conn: dialed}
	e.conns[address] = p
	if peer, err := e.peer(dialed); err == nil && e.shared {
		go e.serveStreams(dialed.Context(), peer, dialed)
	}
	return p
}

// accepted keeps a connection that a peer has opened for calls to it. It takes the
// place of an older one: a peer that has started again does not know that.
func (e *Endpoint) accepted(conn *quic.Conn) {
	if !e.shared {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	p := &peerConn{conn: conn}
	p.heard.Store(time.Now().UnixNano())
	e.conns[conn.RemoteAddr().String()] = p
}

// forget drops a connection on which a call failed while it is itself broken,
// or on which nothing came since the call began until its time was up: a peer
// that has started again does not know the connection and says nothing. A call
// that was only cancelled keeps it.
func (e *Endpoint) forget(ctx context.Context, address string, p *peerConn, began time.Time) {
	// The stream's own deadline may end the call a moment before the context's.
	deadline, ok := ctx.Deadline()
	silent := ok && !time.Now().Before(deadline) && p.heard.Load() < began.UnixNano()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conns[address] != p || p.conn.Context().Err() == nil && !silent {
		return
	}
	// The old connection is left to end when it has been idle: a peer that was
	// only paused still gets what was sent on it, which may hold a vote.
	delete(e.conns, address)
}
