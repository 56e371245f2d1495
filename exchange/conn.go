package exchange

import (
	"bufio"
	"context"
	"errors"
	"net"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"woaddoor/peek"
)

// Sizes of the buffers of a connection: answers are read in small pieces, and
// a VM holds several hundred connections.
const readBuffer = 4 << 10

// connState is what is known of a connection.
type connState struct {
	// wrote is set before the first byte of the present request is written.
	wrote atomic.Bool
	// sent gets the result of writing the present request.
	sent    chan error
	closing bool // the upstream closes it after this answer
	reused  bool // it has answered an earlier request
	keep    time.Duration
	idleAt  time.Time
}

// Timings of connections.
const (
	// dialTimeout bounds the set-up of a connection: links within a site take
	// milliseconds, and a lost opening packet is sent again only after a second,
	// by when another upstream has answered.
	dialTimeout = 250 * time.Millisecond
	// silence is how long written bytes may stay unacknowledged before the
	// connection counts as broken: a dark upstream says nothing.
	silence = 3 * time.Second
	// keepShare is the part of the upstream's stated time that an idle
	// connection is used again within, so that its end is not met half-way.
	keepShare = 0.7
)

// tcpUserTimeout is the option of RFC 5482, in milliseconds.
const tcpUserTimeout = 18

// NothingListens tells whether an address answered that no connection is taken
// there: its machine could be reached.
func NothingListens(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// Reach tells whether a connection to an address comes up.
func Reach(ctx context.Context, address string) error {
	c, err := dial(ctx, address)
	if err != nil {
		return err
	}
	return c.Close()
}

func dial(ctx context.Context, address string) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// Without the option a dead connection is found by the caller's
			// deadline, only later.
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silence/time.Millisecond))
		})
	}}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, reader: bufio.NewReaderSize(nc, readBuffer), connState: connState{idleAt: time.Now()}}, nil
}

// write writes a request. The head and a small body leave in one packet.
func (c *conn) write(r *Request) error {
	b := make([]byte, 0, 1024+len(r.Body))
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || r.Method == "POST" || r.Method == "PUT" || r.Method == "PATCH" {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	b = append(b, r.Body...)
	c.wrote.Store(true)
	_, err := c.Write(b)
	return err
}

// cause returns why an answer could not be read: a failed write explains it
// better than the end of the connection.
func (c *conn) cause(err error) error {
	select {
	case werr := <-c.sent:
		if werr != nil {
			return werr
		}
	default:
	}
	return err
}

// abort makes reads and writes on the connection fail at once.
func (c *conn) abort() { _ = c.Close() }

// quiet tells whether a connection may take the next request: its request was
// written whole and nothing came after the answer.
func (c *conn) quiet() bool {
	select {
	case err := <-c.sent:
		return err == nil && c.reader.Buffered() == 0
	default:
		return false
	}
}

// healthy tells whether an idle connection is still open and silent. Bytes on
// an idle connection belong to no request.
func (c *conn) healthy(now time.Time) bool {
	if c.keep > 0 && now.Sub(c.idleAt) > time.Duration(keepShare*float64(c.keep)) {
		return false
	}
	return peek.Look(c.Conn) == peek.Quiet
}
