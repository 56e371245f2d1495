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

// readBuffer is the size of a connection's read buffer in bytes.
// The buffer is small because responses arrive in small pieces
// and a VM holds several hundred connections.
const readBuffer = 4 << 10

// connState is the state of a connection and of the current request on it.
type connState struct {
	// writeStarted is set before the first byte of the current request is written.
	writeStarted atomic.Bool
	// sending is the write of the current request.
	sending    *requestWrite
	closeAfter bool // the upstream closes the connection after this response
	reused     bool // an earlier request was answered on the connection
	keepAlive  time.Duration
	idleSince  time.Time
}

// Timeouts of connections.
const (
	// dialTimeout bounds the time to set up a connection.
	// Within a site, setting up a connection takes milliseconds.
	// A lost SYN packet is only sent again after a second;
	// by then another upstream would have responded.
	dialTimeout = 250 * time.Millisecond
	// ackTimeout is how long sent bytes may stay unacknowledged
	// before the connection counts as broken.
	// Without ackTimeout, an upstream that has lost power
	// or network would only be noticed at the caller's deadline.
	ackTimeout = 3 * time.Second
	// keepAliveShare is the fraction of the upstream's keep-alive timeout
	// within which an idle connection is reused.
	// The fraction is below 1, so that no request is sent while the upstream closes the connection.
	keepAliveShare = 0.7
)

// tcpUserTimeoutOption is the TCP_USER_TIMEOUT socket option of RFC 5482, in milliseconds.
const tcpUserTimeoutOption = 18

// IsConnectionRefused reports whether a connection error shows that the machine is reachable but
// accepts no connections on this port.
func IsConnectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// DialFunc opens a connection to an upstream.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Probe checks whether a connection to the address can be opened.
func Probe(ctx context.Context, dial DialFunc, address string) error {
	c, err := dial(ctx, address)
	if err != nil {
		return err
	}
	return c.Close()
}

// Dial opens a TCP connection with the timeouts of this package.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// The error is ignored: without the option a broken connection is still detected,
			// but only at the caller's deadline.
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, int(ackTimeout/time.Millisecond))
		})
	}}
	return d.DialContext(ctx, "tcp", address)
}

func newConn(c net.Conn) *conn {
	limited := &headReader{Reader: c}
	return &conn{Conn: c, head: limited, reader: bufio.NewReaderSize(limited, readBuffer), connState: connState{idleSince: time.Now()}}
}

// maxJoinedBody is the largest body that is copied, so that it is written together with the headers.
const maxJoinedBody = 16 << 10

// write writes a request. The headers and a small body fit into one packet.
func (c *conn) write(r *Request) error {
	joined := r.Body
	if len(joined) > maxJoinedBody {
		joined = nil
	}
	b := make([]byte, 0, 1024+len(joined))
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
	b = append(b, joined...)
	c.writeStarted.Store(true)
	_, err := c.Write(b)
	if err == nil && len(joined) < len(r.Body) {
		_, err = c.Write(r.Body)
	}
	return err
}

// cause returns the reason why a response could not be read.
// If the write of the request failed,
// the error of the write is a better explanation than the error of the read.
func (c *conn) cause(err error) error {
	if s := c.sending.state(); s.Err != nil {
		return s.Err
	}
	return err
}

// abort makes reads and writes on the connection fail at once.
func (c *conn) abort() { _ = c.Close() }

// writeResultWait is how long the end of a response waits for the result of writing the request.
// A fast upstream responds before the goroutine that has written the request runs again.
// A request that is longer than what the upstream has read is still being written then.
const writeResultWait = 10 * time.Millisecond

// reusable reports whether the connection can take the next request:
// the current request was written completely and no data followed the response.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	timeout := time.NewTimer(writeResultWait)
	defer timeout.Stop()
	select {
	case <-c.sending.done:
		return c.sending.err == nil
	case <-timeout.C:
		return false
	}
}

// healthy reports whether an idle connection is still open and has received no data.
// Data on an idle connection belongs to no request.
func (c *conn) healthy(now time.Time) bool {
	if c.keepAlive > 0 && now.Sub(c.idleSince) > time.Duration(keepAliveShare*float64(c.keepAlive)) {
		return false
	}
	return peek.Inspect(c.Conn) == peek.Idle
}
