package drain

import (
	"context"
	"net"
	"syscall"

	"woaddoor/contract"
)

// Buffers are the sizes of the socket buffers of a caller's connection. The kernel otherwise lets them grow to
// megabytes while a caller sends more than is read, or does not read. Zero leaves the kernel's default.
type Buffers struct{ Receive, Send contract.Bytes }

// maxBacklog is how many connections may wait to be accepted. What their callers send lies in their buffers meanwhile.
const maxBacklog = 256

// Listen listens on a TCP address. Connections that it accepts have the given buffers.
func Listen(address string, b Buffers) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			b.set(int(fd))
		})
	}}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	limitBacklog(l)
	return l, nil
}

// limitBacklog lowers the number of connections that wait to be accepted, for which package net takes the largest that
// the system allows. An error is ignored, as in set.
func limitBacklog(l net.Listener) {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return
	}
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), maxBacklog) })
	}
}

// set sets the buffers of a listening socket, which accepted connections inherit. An error is ignored: a system that
// does not know the option bounds its buffers itself.
func (b Buffers) set(fd int) {
	for option, size := range map[int]contract.Bytes{syscall.SO_RCVBUF: b.Receive, syscall.SO_SNDBUF: b.Send} {
		if size > 0 {
			_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, option, int(size))
		}
	}
}
