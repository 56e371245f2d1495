package link

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"woaddoor/contract"
)

// alpnProtocol is the protocol name for ALPN. The name includes the protocol version.
const alpnProtocol = "woaddoor/1"

// Timeouts, limits and close codes of a connection.
const (
	idleTimeout      = 15 * time.Second
	keepAlivePeriod  = 4 * time.Second
	handshakeTimeout = 2 * time.Second
	maxStreams       = 4096
	// streamWindow bounds the bytes of a stream that its receiver has not read, as long as the receiver
	// reads slowly. connectionWindow leaves room for calls beside many such streams.
	streamWindow     = 64 << 10
	connectionWindow = 9 << 20
	codeRefused      = quic.ApplicationErrorCode(1)
	codeNormal       = quic.ApplicationErrorCode(0)
)

// Option changes a default of an Endpoint.
type Option func(*Endpoint)

// ShareConnections lets both ends of a connection make calls over it, whichever end opened the
// connection. ShareConnections also closes connections that were idle for idleTimeout.
// Without ShareConnections, each end opens its own connection and keeps it open with keep-alive
// packets: 57 VMs that have each called all other VMs once keep 3,192 connections open with about
// 1,600 keep-alive packets a second.
func ShareConnections(e *Endpoint) { e.sharedConns = true }

func (e *Endpoint) quicConfig() *quic.Config {
	c := &quic.Config{
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      keepAlivePeriod,
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIncomingStreams:   maxStreams,
		EnableDatagrams:      true,

		InitialStreamReceiveWindow:     streamWindow,
		InitialConnectionReceiveWindow: connectionWindow,
	}
	if e.sharedConns {
		c.KeepAlivePeriod = 0
	}
	return c
}

// Identity provides the TLS credentials of a process and authenticates its peers.
type Identity interface {
	// TLSConfig returns the TLS configuration for a connection with the given ALPN protocol.
	TLSConfig(protocol string) *tls.Config
	// VerifyPeer returns the name of a peer, given its certificates and its address. If it
	// returns an error, the connection is rejected.
	VerifyPeer(certificates [][]byte, from net.Addr) (string, error)
}

// Endpoint is a process's side of its connections: it makes calls and serves them, all
// over one UDP socket.
type Endpoint struct {
	identity  Identity
	transport *quic.Transport
	listener  *quic.Listener
	handlers  map[Kind]handler
	// streamHandlers holds the handlers of streams.
	streamHandlers map[Kind]StreamHandler
	// InOtherDataCentre reports whether the peer at an address is in another data centre.
	// SentCounts counts the messages to peers in other data centres separately.
	// InOtherDataCentre may be nil, and must be set before Serve is called.
	InOtherDataCentre func(address string) bool
	sharedConns       bool
	unverified        unverified
	traffic           traffic

	// mu guards the fields below. dialing holds the handshakes in progress, by the peer's address.
	mu      sync.Mutex
	conns   map[string]*peerConn
	dialing map[string]*dialing
	closed  bool
}

// peerConn is a connection to a peer. Either end may have opened it.
type peerConn struct {
	conn *quic.Conn
	// lastResponse is the time of the last response on conn, in nanoseconds since 1970.
	// It starts at the time of the handshake.
	lastResponse atomic.Int64
}

// handler decodes the body of a request from the named peer, handles the request and returns the
// response message.
type handler func(ctx context.Context, peer string, body []byte) (any, error)

// Listen opens an endpoint at a UDP address. Register its handlers with Handle before
// calling Serve.
func Listen(address string, identity Identity, options ...Option) (*Endpoint, error) {
	udpAddr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, contract.WrapStep(contract.StepLink, address, err)
	}
	socket, err := net.ListenUDP("udp", udpAddr)
	if err != nil {
		return nil, contract.WrapStep(contract.StepLink, address, err)
	}
	e := &Endpoint{
		identity: identity, transport: &quic.Transport{Conn: socket},
		handlers: make(map[Kind]handler), streamHandlers: make(map[Kind]StreamHandler), conns: make(map[string]*peerConn), dialing: make(map[string]*dialing),
	}
	for _, apply := range options {
		apply(e)
	}
	e.transport.ConnContext = func(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) { return e.unverified.admit(ctx) }
	e.transport.VerifySourceAddress = func(net.Addr) bool { return e.unverified.many() }
	e.listener, err = e.transport.Listen(identity.TLSConfig(alpnProtocol), e.quicConfig())
	if err != nil {
		socket.Close()
		return nil, contract.WrapStep(contract.StepLink, address, err)
	}
	return e, nil
}

// Address returns the UDP address that the endpoint listens on.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// Handle registers the handler for requests of a kind of message.
// Handle must not be called after Serve.
func Handle[Req, Resp any](e *Endpoint, kind Kind, serve func(ctx context.Context, peer string, req Req) (Resp, error)) {
	e.handlers[kind] = func(ctx context.Context, peer string, body []byte) (any, error) {
		var req Req
		if err := Decode(body, &req); err != nil {
			return nil, fmt.Errorf("malformed message: %w", err)
		}
		return serve(ctx, peer, req)
	}
}

// Serve accepts connections and handles requests until ctx is done or the endpoint is
// closed.
func (e *Endpoint) Serve(ctx context.Context) error {
	for {
		conn, err := e.listener.Accept(ctx)
		if err != nil {
			return err
		}
		go e.serveConn(ctx, conn)
	}
}

// serveConn authenticates the peer of an accepted connection and handles its requests.
// With shared connections, calls to the peer use the connection too: every endpoint dials
// from the address on which it listens, so the remote address identifies the peer.
func (e *Endpoint) serveConn(ctx context.Context, conn *quic.Conn) {
	peer, err := e.peer(conn)
	if err != nil {
		_ = conn.CloseWithError(codeRefused, err.Error())
		return
	}
	verified(conn.Context())
	e.storeAccepted(conn)
	e.serveStreams(ctx, peer, conn)
}

// peer authenticates the peer of a connection and returns its name.
func (e *Endpoint) peer(conn *quic.Conn) (string, error) {
	var raw [][]byte
	for _, cert := range conn.ConnectionState().TLS.PeerCertificates {
		raw = append(raw, cert.Raw)
	}
	return e.identity.VerifyPeer(raw, conn.RemoteAddr())
}

// serveStreams handles the requests and one-way messages of an authenticated peer until the
// connection ends.
func (e *Endpoint) serveStreams(ctx context.Context, peer string, conn *quic.Conn) {
	go e.serveDatagrams(ctx, peer, conn)
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go e.serveStream(ctx, peer, conn.RemoteAddr().String(), stream)
	}
}

// serveStream handles the request on one stream and writes the response,
// or handles the messages if the stream carries a Stream.
func (e *Endpoint) serveStream(ctx context.Context, peer, remoteAddr string, stream *quic.Stream) {
	defer stream.Close()
	var first [1]byte
	if _, err := io.ReadFull(stream, first[:]); err != nil {
		stream.CancelWrite(quic.StreamErrorCode(codeRefused))
		return
	}
	if first[0] == streamMarker {
		e.serveMessages(ctx, peer, remoteAddr, stream)
		return
	}
	var req requestFrame
	if err := readFrame(io.MultiReader(bytes.NewReader(first[:]), stream), &req); err != nil {
		stream.CancelWrite(quic.StreamErrorCode(codeRefused))
		return
	}
	e.traffic.receivedBytes.Add(int64(len(req.Body)))
	raw, err := Encode(e.dispatch(ctx, peer, req))
	if err != nil {
		stream.CancelWrite(quic.StreamErrorCode(codeRefused))
		return
	}
	e.countSent(remoteAddr, req.Kind, len(raw))
	// The caller detects a lost response itself, so the write error is ignored.
	_, _ = stream.Write(raw)
}

// dispatch calls the handler for the kind of the request req.
// dispatch returns the handler's result, or the handler's error, as a response.
func (e *Endpoint) dispatch(ctx context.Context, peer string, req requestFrame) responseFrame {
	handle, ok := e.handlers[req.Kind]
	if !ok {
		return responseFrame{Error: fmt.Sprintf("kind %d is not answered here", req.Kind)}
	}
	resp, err := handle(ctx, peer, req.Body)
	if err != nil {
		return responseFrame{Error: err.Error()}
	}
	body, err := Encode(resp)
	if err != nil {
		return responseFrame{Error: err.Error()}
	}
	return responseFrame{Body: body}
}

// Close closes all connections of the endpoint and its socket without waiting for calls in
// progress.
func (e *Endpoint) Close() error {
	e.mu.Lock()
	e.closed = true
	for _, p := range e.conns {
		_ = p.conn.CloseWithError(codeNormal, "closed")
	}
	e.mu.Unlock()
	_ = e.listener.Close()
	err := e.transport.Close()
	_ = e.transport.Conn.Close()
	return err
}
