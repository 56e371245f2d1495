// Package exchange sends HTTP/1.1 requests to upstreams over kept connections,
// one request at a time on each, and tells what is known of a request that got
// no answer.
//
// It does without http.Transport because that sends some requests a second
// time by itself, does not say whether any byte was written, and cannot go on
// to the next answer on a connection when one that belongs to another request
// comes first.
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
	"syscall"
	"time"

	"woaddoor/contract"
)

// Request is a request as it is written.
type Request struct {
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdle bounds how long a kept connection may have been idle to be used
	// for the request. Zero means any time.
	MaxIdle time.Duration
	// Barred is asked once a connection is there, right before the first byte is
	// written: an error keeps the request from being sent. Nil bars nothing.
	Barred func() error
}

// Answer is an answer whose body is still to be read. It is closed by whoever
// got it.
type Answer struct {
	Status int
	Header http.Header
	// Framed tells whether the end of the body is marked; otherwise it ends
	// with its connection.
	Framed bool

	body io.ReadCloser
	conn *conn
	pool *Pool
	stop func() bool
	done bool // the body was read to its end
}

// Error is a request that got no answer.
type Error struct {
	// Sent tells whether any byte of the request may have reached the
	// upstream. Where it is false the request has not run.
	Sent bool
	// Fresh tells that the connection came up for this request: the upstream was there
	// when it was sent.
	Fresh bool
	Err   error
}

// Error returns what failed.
func (e *Error) Error() string {
	if e.Sent {
		return "no answer: " + e.Err.Error()
	}
	return "not sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Outcome returns what is known of whether the request ran.
func (e *Error) Outcome() contract.Outcome {
	if e.Sent {
		return contract.Unknown
	}
	return contract.NotRun
}

// Errors of exchanges.
var (
	// ErrBusy means that the pool's bound of connections is reached.
	ErrBusy = errors.New("all connections to the upstream are taken")
	// ErrCrossed means that only answers to other requests came.
	ErrCrossed = errors.New("answer belongs to another request")
)

// maxCrossed is how many answers of other requests are passed over on one
// connection before it is given up.
const maxCrossed = 2

// maxCrossedBody bounds the body of an answer that is passed over.
const maxCrossedBody = 1 << 20

// Match tells whether an answer belongs to the request.
type Match func(header http.Header) bool

// Do sends a request and returns the head of its answer. While ctx lasts the
// answer's body can be read; when ctx ends the connection is closed, which is
// what tells an upstream that nobody waits.
func (p *Pool) Do(ctx context.Context, r *Request, match Match) (*Answer, error) {
	c, err := p.take(ctx, r.MaxIdle)
	if err != nil {
		return nil, &Error{Err: err}
	}
	if r.Barred != nil {
		if err := r.Barred(); err != nil {
			p.put(c)
			return nil, &Error{Err: err}
		}
	}
	stop := context.AfterFunc(ctx, c.abort)
	a, err := p.roundTrip(c, r, match)
	if err != nil {
		stop()
		p.drop(c)
		if c.reused && silent(ctx, err) {
			p.distrust()
		}
		if ctx.Err() != nil {
			err = fmt.Errorf("%w: %w", context.Cause(ctx), err)
		}
		return nil, &Error{Sent: c.wrote.Load(), Fresh: !c.reused, Err: err}
	}
	a.stop = stop
	return a, nil
}

// silent tells whether a request ended because nothing came, and not because its
// caller left or the connection was closed.
func silent(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return !errors.Is(context.Cause(ctx), context.Canceled)
	}
	return errors.Is(err, syscall.ETIMEDOUT)
}

func (p *Pool) roundTrip(c *conn, r *Request, match Match) (*Answer, error) {
	c.sent = make(chan error, 1)
	go func() { c.sent <- c.write(r) }()
	for range maxCrossed + 1 {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, c.cause(err)
		}
		if resp.StatusCode < http.StatusOK {
			continue // an interim answer
		}
		if match(resp.Header) {
			return p.answer(c, resp), nil
		}
		// An answer that came late, in the place of this one.
		if n, err := io.CopyN(io.Discard, resp.Body, maxCrossedBody); err == nil || !errors.Is(err, io.EOF) || resp.Close {
			return nil, fmt.Errorf("%w (%d bytes)", ErrCrossed, n)
		}
	}
	return nil, ErrCrossed
}

func (p *Pool) answer(c *conn, resp *http.Response) *Answer {
	c.closing = resp.Close
	c.keep = keepAlive(resp.Header)
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return &Answer{Status: resp.StatusCode, Header: resp.Header, Framed: framed, body: resp.Body, conn: c, pool: p}
}

// mostKept bounds for how long an upstream is believed to keep an idle connection.
const mostKept = 24 * time.Hour

// keepAlive returns how long the upstream keeps an idle connection; zero when it does not
// say. Other parameters may stand beside the time, such as "timeout=5, max=100".
func keepAlive(h http.Header) time.Duration {
	for _, parameter := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil && seconds > 0 && seconds <= int(mostKept/time.Second) {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// Read reads the body. io.EOF means that it is whole.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if errors.Is(err, io.EOF) {
		a.done = true
	}
	return n, err
}

// Abort makes the present and any further read of the body fail with
// os.ErrDeadlineExceeded. It may be called by another goroutine than reads.
func (a *Answer) Abort() { _ = a.conn.SetReadDeadline(time.Unix(1, 0)) }

// Close ends the exchange. A connection whose answer was read whole, with
// nothing after it, is kept; any other is closed.
func (a *Answer) Close() {
	stopped := a.stop()
	if !a.done || !stopped || a.conn.closing || !a.Framed || !a.conn.quiet() {
		a.pool.drop(a.conn)
		return
	}
	_ = a.conn.SetReadDeadline(time.Time{})
	a.pool.give(a.conn)
}

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	reader *bufio.Reader
	connState
}
