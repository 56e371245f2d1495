// Package peek checks whether unread bytes have arrived on a connection, without consuming them, and whether its peer has
// acknowledged what was sent.
package peek

import (
	"net"
	"syscall"
)

// State is the state of a connection as seen by Inspect.
type State uint8

// The states of a connection.
const (
	// Idle means that the connection is open and has no unread bytes. A connection
	// that cannot be inspected counts as Idle too.
	Idle State = iota
	// Readable means that bytes have arrived and have not been read yet.
	Readable
	// Closed means that either side has closed the connection.
	Closed
)

// Inspect returns the state of c. It may be called while another goroutine reads from c.
func Inspect(c net.Conn) State {
	syscallConn, ok := c.(syscall.Conn)
	if !ok {
		return Idle
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
			state = Idle
		case err == nil && n > 0:
			state = Readable
		}
	})
	if err != nil {
		return Closed
	}
	return state
}
