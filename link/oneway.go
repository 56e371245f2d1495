package link

import (
	"context"
	"errors"

	"github.com/quic-go/quic-go"

	"woaddoor/contract"
)

// SendOneWay sends a one-way message, which may be lost.
// SendOneWay uses a QUIC datagram, which needs no stream on either side.
// A message that does not fit into a datagram is sent as a call, and the response to the call is
// discarded.
func SendOneWay[Req any](ctx context.Context, e *Endpoint, address string, kind Kind, req Req) error {
	body, err := Encode(req)
	if err != nil {
		return contract.WrapStep(contract.StepLink, address, err)
	}
	raw, err := Encode(requestFrame{Kind: kind, Body: body})
	if err != nil {
		return contract.WrapStep(contract.StepLink, address, err)
	}
	pc, err := e.connect(ctx, address)
	if err != nil {
		return contract.WrapStep(contract.StepLink, address, err)
	}
	err = pc.conn.SendDatagram(raw)
	var tooLarge *quic.DatagramTooLargeError
	if errors.As(err, &tooLarge) {
		_, err = e.roundTrip(ctx, address, requestFrame{Kind: kind, Body: body})
		return contract.WrapStep(contract.StepLink, address, err)
	}
	if err == nil {
		e.countSent(address, kind, len(raw))
	}
	return contract.WrapStep(contract.StepLink, address, err)
}

// serveDatagrams handles one-way messages until the connection ends.
func (e *Endpoint) serveDatagrams(ctx context.Context, peer string, conn *quic.Conn) {
	for {
		raw, err := conn.ReceiveDatagram(ctx)
		if err != nil {
			return
		}
		var req requestFrame
		if Decode(raw, &req) != nil {
			continue // to the sender this is the same as a lost datagram
		}
		e.traffic.receivedBytes.Add(int64(len(req.Body)))
		e.dispatch(ctx, peer, req)
	}
}
