package peek

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// TestLook shows what a look tells before and after bytes and the end arrive, and
// that it takes nothing.
func TestLook(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	other, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	c, err := l.Accept()
	is.NoErr(err)
	is.Equal(Look(c), Quiet)
	_, err = io.WriteString(other, "x")
	is.NoErr(err)
	for Look(c) == Quiet { // loopback delivers at once
	}
	is.Equal(Look(c), Waiting)
	got := make([]byte, 1)
	_, err = io.ReadFull(c, got)
	is.NoErr(err)
	is.Equal(got, []byte("x"))
	is.NoErr(other.Close())
	for Look(c) == Quiet { // loopback delivers at once
	}
	is.Equal(Look(c), Ended)
	is.NoErr(c.Close())
	is.Equal(Look(c), Ended)
}
