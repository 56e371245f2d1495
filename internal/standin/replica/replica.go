// Package replica is a stand-in for an upstream of the users' platform, with its published
// protocol. It writes raw TCP, so that it can also violate HTTP in ways that no HTTP server
// library allows. Tests set how it handles each request.
package replica

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Request is a received request with its body.
type Request struct {
	*http.Request
	BodyBytes []byte
}

// Conn is the connection on which a request was received.
type Conn struct {
	net.Conn
	replica *Replica
}

// Handler handles one request and returns whether the connection stays open.
type Handler func(c *Conn, r *Request) bool

// Hooks are what a replica calls.
type Hooks struct {
	Serve Handler
	// Connected is called with each new connection before its first request is read. It may be nil.
	Connected func()
	// Early is called with each request before its body is read. If it returns true, it has answered the request, and
	// the connection is closed. It may be nil.
	Early func(c *Conn, r *http.Request) bool
	// ReadBuffer is the size of the receive buffer of its connections in bytes. Zero leaves the system's default.
	ReadBuffer int
}

// Replica is the stand-in.
type Replica struct {
	ID       string
	listener net.Listener
	// connected is called with each new connection, and early with each request before its body is read; nil for none.
	connected func()
	early     func(c *Conn, r *http.Request) bool

	mu       sync.Mutex
	handler  Handler
	requests []*Request
	conns    []net.Conn
}

// Start starts a replica on a free loopback port.
func Start(id string, h Handler) (*Replica, error) { return StartWith(id, Hooks{Serve: h}) }

// StartWith starts a replica with the given hooks on a free loopback port.
func StartWith(id string, h Hooks) (*Replica, error) {
	l, err := listen(h.ReadBuffer)
	if err != nil {
		return nil, err
	}
	r := &Replica{ID: id, listener: l, handler: h.Serve, connected: h.Connected, early: h.Early}
	go r.accept()
	return r, nil
}

// listen listens on a free loopback port. Connections get the receive buffer of the listening socket.
func listen(readBuffer int) (net.Listener, error) {
	config := net.ListenConfig{}
	if readBuffer > 0 {
		config.Control = func(_, _ string, raw syscall.RawConn) error {
			var failure error
			err := raw.Control(func(fd uintptr) {
				failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, readBuffer)
			})
			return cmp.Or(err, failure)
		}
	}
	return config.Listen(context.Background(), "tcp", "127.0.0.1:0")
}

// Address returns the address on which the replica listens.
func (r *Replica) Address() string { return r.listener.Addr().String() }

// Close closes the replica's listener and all its connections.
func (r *Replica) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
}

// CloseListener closes the listener, so that new connections are refused.
// Open connections stay open.
func (r *Replica) CloseListener() { _ = r.listener.Close() }

// SetHandler replaces the handler.
func (r *Replica) SetHandler(h Handler) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handler = h
}

// Requests returns the requests for this replica that it has received so far. Requests for another
// replica that had the same address before are refused and not included. The reason is that a
// loopback port may have belonged to another test or program before.
func (r *Replica) Requests() []*Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*Request(nil), r.requests...)
}

func (r *Replica) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns = append(r.conns, c)
		r.mu.Unlock()
		go r.serve(&Conn{Conn: c, replica: r})
	}
}

func (r *Replica) serve(c *Conn) {
	defer c.Close()
	if r.connected != nil {
		r.connected()
	}
	reader := bufio.NewReader(c)
	for {
		httpRequest, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.early != nil && r.early(c, httpRequest) {
			return
		}
		body, err := io.ReadAll(httpRequest.Body)
		if err != nil {
			return
		}
		req := &Request{httpRequest, body}
		if expected := httpRequest.Header.Get("X-Expected-Instance"); expected != "" && expected != r.ID {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", r.ID)
			continue
		}
		r.mu.Lock()
		r.requests = append(r.requests, req)
		h := r.handler
		r.mu.Unlock()
		if !h(c, req) {
			return
		}
	}
}

// Signature returns the signature that the replica puts on its answers.
func (c *Conn) Signature() string { return "seal-" + c.replica.ID }

// Respond sends a complete answer with a Content-Length, to the request with the given id.
func (c *Conn) Respond(status int, id, body string, headers ...string) {
	fmt.Fprintf(c, "HTTP/1.1 %d S\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s\r\n", status, id, c.Signature())
	if !slices.ContainsFunc(headers, func(h string) bool { return strings.HasPrefix(h, loadHeader) }) {
		fmt.Fprintf(c, "%s\r\n", LoadHeader(1, 0, 4))
	}
	for _, h := range headers {
		fmt.Fprintf(c, "%s\r\n", h)
	}
	fmt.Fprintf(c, "Content-Length: %d\r\n\r\n%s", len(body), body)
}

// RejectNotRun rejects a request with 503 and states that it has not run.
func (c *Conn) RejectNotRun(id string, headers ...string) {
	fmt.Fprintf(c, "HTTP/1.1 503 S\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\n", id)
	for _, h := range headers {
		fmt.Fprintf(c, "%s\r\n", h)
	}
	fmt.Fprint(c, "Content-Length: 0\r\n\r\n")
}

// loadHeader is the name of the header with the requests running and waiting, and the slots.
const loadHeader = "X-Instance-Load"

// LoadHeader returns the header line that states how many requests run and wait at an upstream, and its slots.
func LoadHeader(running, waiting, slots int) string {
	return fmt.Sprintf("%s: %d,%d,%d", loadHeader, running, waiting, slots)
}

// LeavingHeader is the header line by which an upstream announces that it will end soon.
const LeavingHeader = "Server-Leaving: 1"

// RetryAfterHeader returns the header line by which an upstream
// that rejects a request asks for a back-off.
func RetryAfterHeader(d time.Duration) string { return fmt.Sprintf("Retry-After: %g", d.Seconds()) }

// LimitHeader returns the header line by which an upstream advertises how many requests per second
// the upstream accepts from all VMs together.
func LimitHeader(perSecond float64) string { return fmt.Sprintf("Server-Limit: %g", perSecond) }

// BrittleHeader returns the header line by which an upstream states that it fails if it rejects more
// requests per second, of all VMs together, for want of room.
func BrittleHeader(perSecond float64) string { return fmt.Sprintf("Server-Brittle: %g", perSecond) }

// BeginStream sends the status line and headers of a chunked event stream.
func (c *Conn) BeginStream(id string, headers ...string) {
	fmt.Fprintf(c, "HTTP/1.1 200 S\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n", id, c.Signature())
	for _, h := range headers {
		fmt.Fprintf(c, "%s\r\n", h)
	}
	fmt.Fprint(c, "\r\n")
}

// BeginUndelimited sends the status line and headers of an answer with neither a length nor chunks:
// it ends when the handler closes the connection.
func (c *Conn) BeginUndelimited(id string, headers ...string) {
	fmt.Fprint(c, c.HeadText(id))
	for _, h := range headers {
		fmt.Fprintf(c, "%s\r\n", h)
	}
	fmt.Fprint(c, "\r\n")
}

// HeadText returns the status line and the headers of a signed answer, without the empty line that ends its head.
func (c *Conn) HeadText(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 S\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s\r\n", id, c.Signature())
}

// Reset makes the end of the connection a reset.
func (c *Conn) Reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // a connection that is closed already needs no reset
	}
}

// EndAnswer ends the answer, and with it the upstream's direction of the connection.
func (c *Conn) EndAnswer() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // a connection that is closed already needs no end
	}
}

// EventText returns one event of a stream as it is sent.
func EventText(id int, data string) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", id, data) }

// Event sends one event of a stream.
func (c *Conn) Event(id int, data string) { c.Chunk(EventText(id, data)) }

// Chunk sends text as one chunk of a stream.
func (c *Conn) Chunk(text string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

// EndStream sends the final chunk of a stream.
func (c *Conn) EndStream() { fmt.Fprint(c, "0\r\n\r\n") }

// WaitClosed waits for at most bound until the peer closes the connection,
// and returns whether the peer closed it.
func (c *Conn) WaitClosed(bound time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(bound))
	var buf [1]byte
	_, err := c.Read(buf[:])
	ne, timeout := err.(net.Error)
	return err != nil && !(timeout && ne.Timeout())
}
