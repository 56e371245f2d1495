package link

import (
	"context"
	"errors"

	"github.com/quic-go/quic-go"

	"woaddoor/contract"
)

// Note sends a message that needs no answer, and may be lost: one packet, without
// a stream on either side. One that no packet can hold goes as a call whose answer
// is not waited for.
func Note[Req any](ctx context.Context, e *Endpoint, address string, kind Kind, req Req) error {
	body, err := Encode(req)
	if err != nil {
		return contract.Fail(contract.StepLink, address, err)
	}
	raw, err := Encode(envelope{Kind: kind, Body: body})
	if err != nil {
		return contract.Fail(contract.StepLink, address, err)
	}
	p, err := e.conn(ctx, address)
	if err != nil {
		return contract.Fail(contract.StepLink, address, err)
	}
	err = p.conn.SendDatagram(raw)
	var large *quic.DatagramTooLargeError
	if errors.As(err, &large) {
		_, err = e.exchange(ctx, address, envelope{Kind: kind, Body: body})
		return contract.Fail(contract.StepLink, address, err)
	}
	if err == nil {
		e.sent(address, kind, len(raw))
	}
	return contract.Fail(contract.StepLink, address, err)
}

// serveNotes takes in messages that need no answer until the connection ends.
func (e *Endpoint) serveNotes(ctx context.Context, peer string, conn *quic.Conn) {
	for {
		raw, err := conn.ReceiveDatagram(ctx)
		if err != nil {
			return
		}
		var req envelope
		if Decode(raw, &req) != nil {
			continue // a lost message looks the same to its sender
		}
		e.traffic.received.Add(int64(len(req.Body)))
		e.answer(ctx, peer, req)
	}
}
