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

// Option sets up an Endpoint in another way than usual.
type Option func(*Endpoint)

// ShareLinks has both ends of a link make calls over it, whichever has opened it,
// and ends links over which nothing was said for idleTimeout. Without it each end
// opens its own, and a link once used stays up by probes: 57 VMs that each spoke to
// all others once keep 3,192 links up with some 1,600 probes a second.
func ShareLinks(e *Endpoint) { e.shared = true }

func (e *Endpoint) quicConfig() *quic.Config {
	c := &quic.Config{
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      keepAlive,
		HandshakeIdleTimeout: handshake,
		MaxIncomingStreams:   maxStreams,
		EnableDatagrams:      true,
	}
	if e.shared {
		c.KeepAlivePeriod = 0
	}
	return c
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
	// Far tells whether a peer's address is one that is told apart in what was
	// sent. It may be nil, and is not set once Serve runs.
	Far     func(address string) bool
	shared  bool
	traffic traffic

	// mu guards conns and closed.
	mu     sync.Mutex
	conns  map[string]*peerConn
	closed bool
}

// peerConn is a connection to a peer, opened by either end.
type peerConn struct {
	conn *quic.Conn
	// heard is when the last answer came on it, in nanoseconds since 1970.
	heard atomic.Int64
}

type handler func(ctx context.Context, peer string, body []byte) (any, error)

// Listen opens an endpoint at a UDP address. Handlers are added with Handle
// before Serve is called.
func Listen(address string, identity Identity, options ...Option) (*Endpoint, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, contract.Fail(contract.StepLink, address, err)
	}
	socket, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, contract.Fail(contract.StepLink, address, err)
	}
	e := &Endpoint{
		identity: identity, transport: &quic.Transport{Conn: socket},
		handlers: make(map[Kind]handler), conns: make(map[string]*peerConn),
	}
	for _, set := range options {
		set(e)
	}
	e.listener, err = e.transport.Listen(identity.TLS(protocol), e.quicConfig())
	if err != nil {
		socket.Close()
		return nil, contract.Fail(contract.StepLink, address, err)
	}
	return e, nil
}

// Address returns the UDP address that the endpoint listens at.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

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

// serveConn answers on a connection that a peer has opened. Calls to the peer go
// over it too: both ends listen at the address from which they dial.
func (e *Endpoint) serveConn(ctx context.Context, conn *quic.Conn) {
	peer, err := e.peer(conn)
	if err != nil {
		_ = conn.CloseWithError(closeRefused, err.Error())
		return
	}
	e.accepted(conn)
	e.serveStreams(ctx, peer, conn)
}

// peer returns the name of the peer of a connection.
func (e *Endpoint) peer(conn *quic.Conn) (string, error) {
	var raw [][]byte
	for _, cert := range conn.ConnectionState().TLS.PeerCertificates {
		raw = append(raw, cert.Raw)
	}
	return e.identity.Peer(raw, conn.RemoteAddr())
}

// serveStreams answers what a known peer sends on a connection until it ends.
func (e *Endpoint) serveStreams(ctx context.Context, peer string, conn *quic.Conn) {
	go e.serveNotes(ctx, peer, conn)
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go e.serveStream(ctx, peer, conn.RemoteAddr().String(), stream)
	}
}

func (e *Endpoint) serveStream(ctx context.Context, peer, from string, stream *quic.Stream) {
	defer stream.Close()
	var req envelope
	if err := readFrame(stream, &req); err != nil {
		stream.CancelWrite(quic.StreamErrorCode(closeRefused))
		return
	}
	e.traffic.received.Add(int64(len(req.Body)))
	raw, err := Encode(e.answer(ctx, peer, req))
	if err != nil {
		stream.CancelWrite(quic.StreamErrorCode(closeRefused))
		return
	}
	e.sent(from, req.Kind, len(raw))
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
