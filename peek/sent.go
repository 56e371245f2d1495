package peek

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Unacknowledged returns how many bytes that were written to c its peer has not acknowledged yet. The error is that of
// the connection, such as a reset that neither a read nor a write has reported. A connection that cannot be inspected
// counts as acknowledged.
func Unacknowledged(c net.Conn) (int, error) {
	syscallConn, ok := c.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return 0, err
	}
	var n int
	var failure error
	err = raw.Control(func(fd uintptr) {
		code, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		if err == nil && code != 0 {
			failure = syscall.Errno(code)
			return
		}
		if n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err != nil {
			n = 0 // the system does not tell
		}
	})
	if err != nil {
		return 0, err
	}
	return n, failure
}
