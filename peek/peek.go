// Package peek looks at what has arrived on a connection without taking it.
package peek

import (
	"net"
	"syscall"
)

// State is what a look at a connection shows.
type State uint8

// The states.
const (
	// Quiet means that the connection is open and nothing waits to be read. So
	// does one that cannot be looked at.
	Quiet State = iota
	// Waiting means that bytes have arrived that were not read yet.
	Waiting
	// Ended means that the connection has been closed, by either side.
	Ended
)

// Look returns the state of a connection. It may be called while another goroutine
// reads from it.
func Look(c net.Conn) State {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Quiet
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Ended
	}
	state := Ended
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
			state = Quiet
		case err == nil && n > 0:
			state = Waiting
		}
	})
	if err != nil {
		return Ended
	}
	return state
}
