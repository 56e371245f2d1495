// Package exchange sends HTTP/1.1 requests to upstreams over persistent connections,
// one request at a time on each connection.
// If there is no response, the package reports whether the request may have been sent.
//
// The package does not use http.Transport, which repeats some requests on its own
// and does not report whether any byte was written.
// Moreover, http.Transport cannot skip a response that belongs to another request
// and read the next response on the same connection.
package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"woaddoor/contract"
)

// Request is a request to an upstream.
type Request struct {
	Method string
	// URI is the path and query exactly as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdle bounds how long a connection may have been idle to be used for the request.
	// A zero MaxIdle means no bound.
	MaxIdle time.Duration
	// BeforeSend is called when a connection is available, just before the first byte is written.
	// If it returns an error, the request is not sent. Nil means that the request is always sent.
	BeforeSend func() error
	// HoldHead is called before more of the head of a response is kept than any request may have. It holds memory for n
	// bytes, or returns an error, with which the request fails. Nil means that no memory is held.
	HoldHead func(n contract.Bytes) error
}

// Response is a response whose body has not been read yet. The caller of Do must close it.
type Response struct {
	Status int
	Header http.Header
	// Delimited reports whether the end of the body is marked.
	// An unmarked body ends when the connection is closed.
	Delimited bool

	body      io.ReadCloser
	conn      *conn
	pool      *Pool
	stopAbort func() bool
	bodyRead  bool // the body was read to its end
	abortOnce sync.Once
	aborted   chan struct{} // closed by Abort
}

// Error is returned for a request without a response.
type Error struct {
	// Sent reports whether any byte of the request may have reached the upstream.
	// If Sent is false, the request has not run.
	Sent bool
	// NewConnection reports whether the connection was opened for this request,
	// which means that the upstream was reachable when the request was sent.
	NewConnection bool
	Err           error
}

// Error returns the error message.
func (e *Error) Error() string {
	if e.Sent {
		return "no response: " + e.Err.Error()
	}
	return "not sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Outcome returns whether the request is known not to have run.
func (e *Error) Outcome() contract.Outcome {
	if e.Sent {
		return contract.OutcomeUnknown
	}
	return contract.OutcomeNotRun
}

// Errors returned by Do.
var (
	// ErrPoolExhausted means that all connections allowed by the pool's limit are in use.
	ErrPoolExhausted = errors.New("all connections to the upstream are in use")
	// ErrMismatchedResponse means that only responses to other requests were received.
	ErrMismatchedResponse = errors.New("response belongs to another request")
)

// maxMismatched is how many responses to other requests
// are skipped on a connection before it is closed.
const maxMismatched = 2

// maxMismatchedBody bounds the body of a skipped response, in bytes.
const maxMismatchedBody = 1 << 20

// MatchFunc reports whether a response belongs to the request.
type MatchFunc func(header http.Header) bool

// Do sends a request and returns the response with its headers.
// The body can be read until ctx ends.
// When ctx ends, the connection is closed,
// which tells the upstream that no one waits for the response.
func (p *Pool) Do(ctx context.Context, r *Request, match MatchFunc) (*Response, error) {
	c, err := p.acquire(ctx, r.MaxIdle)
	if err != nil {
		return nil, &Error{Err: err}
	}
	if r.BeforeSend != nil {
		if err := r.BeforeSend(); err != nil {
			p.putIdle(c)
			return nil, &Error{Err: err}
		}
	}
	stop := context.AfterFunc(ctx, c.abort)
	resp, err := p.roundTrip(c, r, match)
	if err != nil {
		stop()
		p.discard(c)
		if c.reused && timedOut(ctx, err) {
			p.discardIdle()
		}
		if ctx.Err() != nil {
			err = fmt.Errorf("%w: %w", context.Cause(ctx), err)
		}
		return nil, &Error{Sent: c.writeStarted.Load(), NewConnection: !c.reused, Err: err}
	}
	resp.stopAbort = stop
	return resp, nil
}

// timedOut reports whether a request failed because the upstream did not respond in time,
// and not because its caller left or the connection was closed.
func timedOut(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return !errors.Is(context.Cause(ctx), context.Canceled)
	}
	return errors.Is(err, syscall.ETIMEDOUT)
}

func (p *Pool) roundTrip(c *conn, r *Request, match MatchFunc) (*Response, error) {
	c.sending = startWrite(func() error { return c.write(r) })
	c.head.reset(r.HoldHead)
	for range maxMismatched + 1 {
		c.head.begin()
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		c.head.end()
		if err != nil {
			return nil, c.cause(err)
		}
		if err := CheckStatus(resp.StatusCode); err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue // an interim response (1xx)
		}
		if match(resp.Header) {
			return p.newResponse(c, resp), nil
		}
		// A late response to an earlier request on this connection.
		if n, err := io.CopyN(io.Discard, resp.Body, maxMismatchedBody); err == nil || !errors.Is(err, io.EOF) || resp.Close {
			return nil, fmt.Errorf("%w (%d bytes)", ErrMismatchedResponse, n)
		}
	}
	return nil, ErrMismatchedResponse
}

func (p *Pool) newResponse(c *conn, resp *http.Response) *Response {
	c.closeAfter = resp.Close
	c.keepAlive = parseKeepAlive(resp.Header)
	delimited := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return &Response{Status: resp.StatusCode, Header: resp.Header, Delimited: delimited, body: resp.Body, conn: c, pool: p, aborted: make(chan struct{})}
}

// maxKeepAlive is the longest keep-alive timeout of an upstream that is accepted as valid.
const maxKeepAlive = 24 * time.Hour

// parseKeepAlive returns how long the upstream keeps an idle connection open,
// or zero if the upstream does not announce how long.
// The header may contain other parameters, such as in "timeout=5, max=100".
func parseKeepAlive(h http.Header) time.Duration {
	for _, parameter := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil && seconds > 0 && seconds <= int(maxKeepAlive/time.Second) {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// Abort makes current and further reads of the body fail with os.ErrDeadlineExceeded.
// Abort may be called concurrently with Read, and more than once.
func (r *Response) Abort() {
	r.abortOnce.Do(func() { close(r.aborted) })
	_ = r.conn.SetReadDeadline(time.Unix(1, 0))
}

// Close ends the exchange. The connection is kept for reuse only if the response was read
// completely and no data followed it.
func (r *Response) Close() {
	stopped := r.stopAbort()
	if !r.bodyRead || !stopped || r.conn.closeAfter || !r.Delimited || !r.conn.reusable() {
		r.pool.discard(r.conn)
		return
	}
	_ = r.conn.SetReadDeadline(time.Time{})
	r.pool.release(r.conn)
}

// conn is a connection to an upstream.
type conn struct {
	net.Conn
	reader *bufio.Reader // reads from head
	head   *headReader
	connState
}
