package peek

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// TestInspectDoesNotConsume checks the state of a connection before and after a byte arrives
// and after either side closes it, and that Inspect leaves the byte to be read.
func TestInspectDoesNotConsume(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	remote, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	c, err := l.Accept()
	is.NoErr(err)
	is.Equal(Inspect(c), Idle)
	_, err = io.WriteString(remote, "x")
	is.NoErr(err)
	for Inspect(c) == Idle { // busy-wait: loopback delivers almost at once
	}
	is.Equal(Inspect(c), Readable)
	got := make([]byte, 1)
	_, err = io.ReadFull(c, got)
	is.NoErr(err)
	is.Equal(got, []byte("x"))
	is.NoErr(remote.Close())
	for Inspect(c) == Idle { // busy-wait: loopback delivers almost at once
	}
	is.Equal(Inspect(c), Closed)
	is.NoErr(c.Close())
	is.Equal(Inspect(c), Closed)
}
