package link

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"woaddoor/contract"
)

// protocol is the name that TLS agrees on; it holds the protocol's version.
const protocol = "woaddoor/1"

// Timings of a connection.
const (
	idleTimeout  = 15 * time.Second
	keepAlive    = 4 * time.Second
	handshake    = 2 * time.Second
	maxStreams   = 4096
	closeRefused = quic.ApplicationErrorCode(1)
	closeNormal  = quic.ApplicationErrorCode(0)
)

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      keepAlive,
		HandshakeIdleTimeout: handshake,
		MaxIncomingStreams:   maxStreams,
	}
}

// Identity is how a process shows itself to peers and knows them.
type Identity interface {
	// TLS returns the settings of a link of a protocol.
	TLS(protocol string) *tls.Config
	// Peer returns the name of a peer by what it shows and where it speaks
	// from; an error refuses the link.
	Peer(certificates [][]byte, from net.Addr) (string, error)
}

// Endpoint is one process's end of its links: it answers calls and makes them,
// over one UDP socket.
type Endpoint struct {
	identity  Identity
	transport *quic.Transport
	listener  *quic.Listener
	handlers  map[Kind]handler
	sent      atomic.Int64
	received  atomic.Int64

	// mu guards conns and closed.
	mu     sync.Mutex
	conns  map[string]*peerConn
	closed bool
}

// peerConn is a connection that this end has opened.
type peerConn struct {
	conn *quic.Conn
	// heard is when the last answer came on it, in nanoseconds since 1970.
	heard atomic.Int64
}

type handler func(ctx context.Context, peer string, body []byte) (any, error)

// Listen opens an endpoint at a UDP address. Handlers are added with Handle
// before Serve is called.
func Listen(address string, identity Identity) (*Endpoint, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, contract.Fail(contract.StepLink, address, err)
	}
	socket, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, contract.Fail(contract.StepLink, address, err)
	}
	transport := &quic.Transport{Conn: socket}
	listener, err := transport.Listen(identity.TLS(protocol), quicConfig())
	if err != nil {
		socket.Close()
		return nil, contract.Fail(contract.StepLink, address, err)
	}
	return &Endpoint{
		identity: identity, transport: transport, listener: listener,
		handlers: make(map[Kind]handler), conns: make(map[string]*peerConn),
	}, nil
}

// Address returns the UDP address that the endpoint listens at.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// Traffic returns the bytes of messages sent and received so far.
func (e *Endpoint) Traffic() (sent, received int64) { return e.sent.Load(), e.received.Load() }

// Handle answers calls of a kind. It may not be called once Serve runs.
func Handle[Req, Resp any](e *Endpoint, kind Kind, answer func(ctx context.Context, peer string, req Req) (Resp, error)) {
	e.handlers[kind] = func(ctx context.Context, peer string, body []byte) (any, error) {
		var req Req
		if err := Decode(body, &req); err != nil {
			return nil, fmt.Errorf("malformed message: %w", err)
		}
		return answer(ctx, peer, req)
	}
}

// Serve answers calls until ctx ends or the endpoint is closed.
func (e *Endpoint) Serve(ctx context.Context) error {
	for {
		conn, err := e.listener.Accept(ctx)
		if err != nil {
			return err
		}
		go e.serveConn(ctx, conn)
	}
}

func (e *Endpoint) serveConn(ctx context.Context, conn *quic.Conn) {
	var raw [][]byte
	for _, cert := range conn.ConnectionState().TLS.PeerCertificates {
		raw = append(raw, cert.Raw)
	}
	peer, err := e.identity.Peer(raw, conn.RemoteAddr())
	if err != nil {
		_ = conn.CloseWithError(closeRefused, err.Error())
		return
	}
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go e.serveStream(ctx, peer, stream)
	}
}

func (e *Endpoint) serveStream(ctx context.Context, peer string, stream *quic.Stream) {
	defer stream.Close()
	var req envelope
	if err := readFrame(stream, &req); err != nil {
		stream.CancelWrite(quic.StreamErrorCode(closeRefused))
		return
	}
	e.received.Add(int64(len(req.Body)))
	raw, err := Encode(e.answer(ctx, peer, req))
	if err != nil {
		stream.CancelWrite(quic.StreamErrorCode(closeRefused))
		return
	}
	e.sent.Add(int64(len(raw)))
	// A lost answer is the caller's to settle; there is nobody to tell here.
	_, _ = stream.Write(raw)
}

func (e *Endpoint) answer(ctx context.Context, peer string, req envelope) answer {
	h, ok := e.handlers[req.Kind]
	if !ok {
		return answer{Error: fmt.Sprintf("kind %d is not answered here", req.Kind)}
	}
	got, err := h(ctx, peer, req.Body)
	if err != nil {
		return answer{Error: err.Error()}
	}
	body, err := Encode(got)
	if err != nil {
		return answer{Error: err.Error()}
	}
	return answer{Body: body}
}

// Close ends all links of the endpoint at once.
func (e *Endpoint) Close() error {
	e.mu.Lock()
	e.closed = true
	for _, p := range e.conns {
		_ = p.conn.CloseWithError(closeNormal, "closed")
	}
	e.mu.Unlock()
	_ = e.listener.Close()
	err := e.transport.Close()
	_ = e.transport.Conn.Close()
	return err
}
