package link

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/quic-go/quic-go"

	"woaddoor/contract"
)

// defaultCallTimeout bounds a call whose context has no earlier deadline.
const defaultCallTimeout = 5 * time.Second

// Call sends req to the endpoint at address and returns its response.
//
// An error of type *RemoteError means that the peer returned an error. After any
// other error it is unknown whether the peer handled the request. A connection
// that fails is dropped, and the next call opens a new one.
func Call[Req, Resp any](ctx context.Context, e *Endpoint, address string, kind Kind, req Req) (Resp, error) {
	var resp Resp
	ctx, cancel := context.WithTimeout(ctx, defaultCallTimeout)
	defer cancel()
	body, err := Encode(req)
	if err != nil {
		return resp, contract.WrapStep(contract.StepLink, address, err)
	}
	frame, err := e.roundTrip(ctx, address, requestFrame{Kind: kind, Body: body})
	if err != nil {
		return resp, contract.WrapStep(contract.StepLink, address, err)
	}
	if frame.Error != "" {
		return resp, contract.WrapStep(contract.StepLink, address, &RemoteError{Text: frame.Error})
	}
	err = Decode(frame.Body, &resp)
	return resp, contract.WrapStep(contract.StepLink, address, err)
}

// Rejected reports whether a call failed because the peer does not know this endpoint.
func Rejected(err error) bool {
	var closed *quic.ApplicationError
	return errors.As(err, &closed) && closed.Remote && closed.ErrorCode == codeRefused
}

// roundTrip sends a request to the peer at address, over an existing connection
// if there is one, and reads the response.
func (e *Endpoint) roundTrip(ctx context.Context, address string, req requestFrame) (responseFrame, error) {
	pc, err := e.connect(ctx, address)
	if err != nil {
		return responseFrame{}, err
	}
	start := time.Now()
	resp, err := e.roundTripOnStream(ctx, pc.conn, req)
	if err != nil {
		e.dropIfBroken(ctx, address, pc, start)
		return resp, err
	}
	pc.lastResponse.Store(time.Now().UnixNano())
	return resp, nil
}

// roundTripOnStream sends a request on a new stream of conn and reads the response.
func (e *Endpoint) roundTripOnStream(ctx context.Context, conn *quic.Conn, req requestFrame) (responseFrame, error) {
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return responseFrame{}, err
	}
	deadline, _ := ctx.Deadline()
	_ = stream.SetDeadline(deadline)
	// Release the stream as soon as the context is cancelled.
	stop := context.AfterFunc(ctx, func() { stream.CancelRead(quic.StreamErrorCode(codeNormal)) })
	defer stop()
	raw, err := Encode(req)
	if err != nil {
		return responseFrame{}, err
	}
	if _, err := stream.Write(raw); err != nil {
		return responseFrame{}, err
	}
	if err := stream.Close(); err != nil {
		return responseFrame{}, err
	}
	e.countSent(conn.RemoteAddr().String(), req.Kind, len(raw))
	var resp responseFrame
	err = readFrame(stream, &resp)
	e.traffic.receivedBytes.Add(int64(len(resp.Body)))
	return resp, err
}

// connect returns the open connection to the peer at address, or dials a new one.
func (e *Endpoint) connect(ctx context.Context, address string) (*peerConn, error) {
	e.mu.Lock()
	existing, ok := e.conns[address]
	closed := e.closed
	e.mu.Unlock()
	if closed {
		return nil, net.ErrClosed
	}
	if ok && existing.conn.Context().Err() == nil {
		return existing, nil
	}
	udpAddr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
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

// dropIfBroken removes a broken connection after a failed call, so that the next call dials a new
// connection. A connection is broken if it is closed.
// A connection also counts as broken if the call reached its deadline and no response has arrived
// on the connection since the call started: a peer that has restarted does not know the connection
// and ignores its packets. A call that was only cancelled leaves the connection in use.
func (e *Endpoint) dropIfBroken(ctx context.Context, address string, pc *peerConn, start time.Time) {
	// The call may fail on the stream's deadline slightly before the context is done.
	// The time is therefore compared with the deadline, and ctx.Err is not checked.
	deadline, ok := ctx.Deadline()
	unresponsive := ok && !time.Now().Before(deadline) && pc.lastResponse.Load() < start.UnixNano()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conns[address] != pc || pc.conn.Context().Err() == nil && !unresponsive {
		return
	}
	// Leave the old connection open until its idle timeout: a peer that was only paused still
	// receives the messages that were sent on the old connection, which may include a ticket vote.
	delete(e.conns, address)
}
