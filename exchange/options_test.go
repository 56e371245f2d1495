package exchange

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestNoKeepAliveBesideUserTimeout checks the socket options of a connection to an upstream: with
// TCP_USER_TIMEOUT set, keep-alive probes would end an idle connection after that time, whatever
// their count, although its upstream may only pause.
func TestNoKeepAliveBesideUserTimeout(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	c, err := Dial(t.Context(), l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	raw, err := c.(syscall.Conn).SyscallConn()
	is.NoErr(err)
	var keepAlive, userTimeout int
	is.NoErr(raw.Control(func(fd uintptr) {
		keepAlive, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_KEEPALIVE)
		userTimeout, _ = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption)
	}))
	is.Equal(keepAlive, 0)
	is.Equal(time.Duration(userTimeout)*time.Millisecond, ackTimeout)
}
