package link

import (
	"context"
	"errors"
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
	start := time.Now()
	pc, err := e.connect(ctx, address)
	if err != nil {
		return responseFrame{}, err
	}
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
