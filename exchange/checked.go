package exchange

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// CheckedConn is a connection for clients that take the end of an answer without a length for its completion, such as
// net/http: its end is reported as ErrIncomplete, not as io.EOF, if its peer has not taken all that was written.
type CheckedConn struct {
	net.Conn
	writeErr  atomic.Pointer[error] // of the first write that failed
	closeOnce sync.Once
	closed    chan struct{}
}

// NewCheckedConn returns a CheckedConn around c.
func NewCheckedConn(c net.Conn) *CheckedConn {
	return &CheckedConn{Conn: c, closed: make(chan struct{})}
}

// Read reads from the connection.
func (c *CheckedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if failure := c.writeErr.Load(); failure != nil {
		return n, fmt.Errorf("%w: %w", ErrIncomplete, *failure)
	}
	if failure := AwaitAcknowledged(c.Conn, c.closed); failure != nil {
		return n, failure
	}
	return n, err
}

// Write writes to the connection.
func (c *CheckedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeErr.CompareAndSwap(nil, &err)
	}
	return n, err
}

// Close closes the connection.
func (c *CheckedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
