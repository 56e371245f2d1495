package link

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"woaddoor/contract"
)

// streamMarker is the first byte of a QUIC stream that carries a Stream. No call begins with it,
// because the request of a call is an encoded CBOR map.
const streamMarker = 0x00

// maxStreamMessage bounds an encoded message of a Stream. The largest carries a whole answer.
const maxStreamMessage = 16 * contract.MiB

// lengthBytes is the size of the length before each message of a Stream.
const lengthBytes = 4

// Stream carries messages in both directions between two endpoints, in order, over one QUIC stream.
// The flow control of QUIC blocks Send while the peer does not receive, so that a slow receiver
// bounds the memory of both ends. Send may be called concurrently, Receive may not.
type Stream struct {
	endpoint *Endpoint
	stream   *quic.Stream
	peer     *peerConn // nil at the end that accepted the stream
	address  string
	kind     Kind
	sending  sync.Mutex
	stop     func() bool // releases the context; nil at the end that accepted the stream
}

// StreamHandler serves a stream that the named peer has opened. The context ends when the peer
// cancels the stream or its connection fails. The stream is closed when the handler returns.
type StreamHandler func(ctx context.Context, peer string, s *Stream)

// HandleStream registers the handler for streams of a kind.
// HandleStream must not be called after Serve.
func HandleStream(e *Endpoint, kind Kind, serve StreamHandler) { e.streamHandlers[kind] = serve }

// OpenStream opens a stream of a kind to the endpoint at address, for which it takes at most the
// duration wait. When ctx ends, the stream is cancelled in both directions.
func OpenStream(ctx context.Context, e *Endpoint, address string, kind Kind, wait time.Duration) (*Stream, error) {
	opening, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	start := time.Now()
	pc, err := e.connect(opening, address)
	if err != nil {
		return nil, contract.WrapStep(contract.StepLink, address, err)
	}
	raw, err := pc.conn.OpenStreamSync(opening)
	if err != nil {
		e.dropIfBroken(opening, address, pc, start)
		return nil, contract.WrapStep(contract.StepLink, address, err)
	}
	s := &Stream{endpoint: e, stream: raw, peer: pc, address: address, kind: kind}
	s.stop = context.AfterFunc(ctx, s.Cancel)
	if _, err := raw.Write([]byte{streamMarker, byte(kind)}); err != nil {
		s.Cancel()
		return nil, contract.WrapStep(contract.StepLink, address, err)
	}
	return s, nil
}

// Send sends a message.
func (s *Stream) Send(message any) error {
	body, err := Encode(message)
	if err != nil {
		return contract.WrapStep(contract.StepLink, s.address, err)
	}
	length := binary.BigEndian.AppendUint32(make([]byte, 0, lengthBytes), uint32(len(body)))
	s.sending.Lock()
	defer s.sending.Unlock()
	if _, err := s.stream.Write(length); err != nil {
		return contract.WrapStep(contract.StepLink, s.address, err)
	}
	if _, err := s.stream.Write(body); err != nil {
		return contract.WrapStep(contract.StepLink, s.address, err)
	}
	s.endpoint.countSent(s.address, s.kind, len(body))
	return nil
}

// Receive receives the next message, for which it waits at most for the duration wait.
// It returns an error that wraps io.EOF after the last message.
func (s *Stream) Receive(message any, wait time.Duration) error {
	if err := s.stream.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return contract.WrapStep(contract.StepLink, s.address, err)
	}
	var length [lengthBytes]byte
	if _, err := io.ReadFull(s.stream, length[:]); err != nil {
		return contract.WrapStep(contract.StepLink, s.address, err)
	}
	n := binary.BigEndian.Uint32(length[:])
	if contract.Bytes(n) > maxStreamMessage {
		return contract.WrapStep(contract.StepLink, s.address, fmt.Errorf("message of %d bytes is larger than the limit of %d bytes", n, maxStreamMessage))
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(s.stream, body); err != nil {
		return contract.WrapStep(contract.StepLink, s.address, err)
	}
	s.endpoint.traffic.receivedBytes.Add(int64(n))
	if s.peer != nil {
		s.peer.lastResponse.Store(time.Now().UnixNano())
	}
	return contract.WrapStep(contract.StepLink, s.address, Decode(body, message))
}

// CloseSend ends the messages of this end.
func (s *Stream) CloseSend() error { return s.stream.Close() }

// Cancel ends the stream in both directions. The peer's handler is notified through its context.
func (s *Stream) Cancel() {
	if s.stop != nil {
		s.stop()
	}
	s.stream.CancelRead(quic.StreamErrorCode(codeNormal))
	s.stream.CancelWrite(quic.StreamErrorCode(codeNormal))
}

// DropIfSilent drops the connection of a stream if the peer has sent nothing on it since a time,
// so that the next stream or call opens a new connection.
func (s *Stream) DropIfSilent(since time.Time) {
	if s.peer == nil || s.peer.lastResponse.Load() >= since.UnixNano() {
		return
	}
	s.endpoint.mu.Lock()
	defer s.endpoint.mu.Unlock()
	if s.endpoint.conns[s.address] == s.peer {
		delete(s.endpoint.conns, s.address)
	}
}

// serveMessages handles a stream that the named peer has opened.
func (e *Endpoint) serveMessages(ctx context.Context, peer, remoteAddr string, raw *quic.Stream) {
	var kind [1]byte
	if _, err := io.ReadFull(raw, kind[:]); err != nil {
		return
	}
	serve, ok := e.streamHandlers[Kind(kind[0])]
	if !ok {
		raw.CancelRead(quic.StreamErrorCode(codeRefused))
		raw.CancelWrite(quic.StreamErrorCode(codeRefused))
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(raw.Context(), cancel)()
	serve(ctx, peer, &Stream{endpoint: e, stream: raw, address: remoteAddr, kind: Kind(kind[0])})
	raw.CancelRead(quic.StreamErrorCode(codeNormal))
}
