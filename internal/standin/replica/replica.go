// Package replica is a stand-in for an upstream of the users' platform, by its
// published protocol. It speaks raw TCP, so that it can also do what no HTTP
// library lets a server do. A test sets what it does with each request.
package replica

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Request is a request as it came.
type Request struct {
	*http.Request
	Payload []byte
}

// Conn is the connection that a request came on.
type Conn struct {
	net.Conn
	replica *Replica
}

// Handler answers one request; it returns whether the connection is kept.
type Handler func(c *Conn, r *Request) bool

// Replica is the stand-in.
type Replica struct {
	ID       string
	listener net.Listener

	mu       sync.Mutex
	handler  Handler
	requests []*Request
	conns    []net.Conn
}

// Start starts a replica on loopback.
func Start(id string, h Handler) (*Replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Replica{ID: id, listener: l, handler: h}
	go r.accept()
	return r, nil
}

// Address returns where the replica listens.
func (r *Replica) Address() string { return r.listener.Addr().String() }

// Close ends the replica at once.
func (r *Replica) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
}

// Deafen has new connections refused; those that are open go on.
func (r *Replica) Deafen() { _ = r.listener.Close() }

// Handle replaces what the replica does.
func (r *Replica) Handle(h Handler) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handler = h
}

// Requests returns the requests that came so far for this replica. Those for another one,
// which had its address before, are refused and not counted: a port of loopback may have
// been that of another test's, or of another program's.
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
	reader := bufio.NewReader(c)
	for {
		got, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(got.Body)
		if err != nil {
			return
		}
		req := &Request{got, body}
		if expected := got.Header.Get("X-Expected-Instance"); expected != "" && expected != r.ID {
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

// Signature is the seal of a replica on its answers.
func (c *Conn) Signature() string { return "seal-" + c.replica.ID }

// Whole answers with a body of known length, for the request with an id.
func (c *Conn) Whole(status int, id, body string, headers ...string) {
	fmt.Fprintf(c, "HTTP/1.1 %d S\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s\r\nX-Instance-Load: 1,0,4\r\n", status, id, c.Signature())
	for _, h := range headers {
		fmt.Fprintf(c, "%s\r\n", h)
	}
	fmt.Fprintf(c, "Content-Length: %d\r\n\r\n%s", len(body), body)
}

// Shed refuses a request without running it.
func (c *Conn) Shed(id string, headers ...string) {
	fmt.Fprintf(c, "HTTP/1.1 503 S\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\n", id)
	for _, h := range headers {
		fmt.Fprintf(c, "%s\r\n", h)
	}
	fmt.Fprint(c, "Content-Length: 0\r\n\r\n")
}

// Leaving is the header by which an upstream says in an answer that it ends soon.
const Leaving = "Server-Leaving: 1"

// Rest is the header by which an upstream that refuses asks for a time of rest.
func Rest(d time.Duration) string { return fmt.Sprintf("Retry-After: %g", d.Seconds()) }

// Limit is the header by which an upstream names how many requests a second it takes from
// all VMs together.
func Limit(perSecond float64) string { return fmt.Sprintf("Server-Limit: %g", perSecond) }

// BeginStream writes the head of a stream in chunks.
func (c *Conn) BeginStream(id string, headers ...string) {
	fmt.Fprintf(c, "HTTP/1.1 200 S\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n", id, c.Signature())
	for _, h := range headers {
		fmt.Fprintf(c, "%s\r\n", h)
	}
	fmt.Fprint(c, "\r\n")
}

// Event writes one event of a stream.
func (c *Conn) Event(id int, data string) { c.Chunk(fmt.Sprintf("id: %d\ndata: %s\n\n", id, data)) }

// Chunk writes bytes of a stream as they are.
func (c *Conn) Chunk(text string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

// EndStream writes the end of a stream.
func (c *Conn) EndStream() { fmt.Fprint(c, "0\r\n\r\n") }

// WaitGone returns once the peer has closed the connection, or after a bound.
func (c *Conn) WaitGone(bound time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(bound))
	var one [1]byte
	_, err := c.Read(one[:])
	ne, timeout := err.(net.Error)
	return err != nil && !(timeout && ne.Timeout())
}
