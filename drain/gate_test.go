package drain

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newGatedListener returns a listener with a gate.
func newGatedListener(t *testing.T) *Listener {
	t.Helper()
	gate, err := NewGate("127.0.0.1:0", Buffers{})
	is.New(t).NoErr(err)
	l := NewListener(gate, 0)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// dialListener opens a connection, and accepts it unless the gate is shut.
func dialListener(t *testing.T, l *Listener) (server, caller net.Conn) {
	t.Helper()
	is := is.New(t)
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = caller.Close() })
	server, err = l.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _ = server.Close() })
	return server, caller
}

// isRefused reports whether no connection can be established.
func isRefused(l *Listener) bool {
	c, err := net.Dial("tcp", l.Addr().String())
	if err == nil {
		_ = c.Close()
	}
	return err != nil
}

// TestShutGateRefusesConnections guards against a VM at its limit that takes connections and reads them late: new
// ones are refused, one that waits to be accepted is reset with its request unread, and those that are
// open stay. Once it is open again, the gate accepts connections on the same address.
func TestShutGateRefusesConnections(t *testing.T) {
	is := is.New(t)
	l := newGatedListener(t)
	server, caller := dialListener(t, l)
	waiting, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer waiting.Close()
	l.gate.Shut()
	is.True(isRefused(l))
	_, err = waiting.Read(make([]byte, 1))
	is.True(err != nil && !errors.Is(err, io.EOF))
	go func() { _, _ = io.WriteString(caller, "x") }()
	_, err = io.ReadFull(server, make([]byte, 1))
	is.NoErr(err)
	is.NoErr(l.gate.Open())
	dialListener(t, l)
	shuts, total := l.ShutTotals()
	is.Equal(shuts, 1)
	is.True(total > 0)
	is.NoErr(l.Close())
	_, err = l.Accept()
	is.True(errors.Is(err, net.ErrClosed))
}

// TestBusyConnectionsAreLimited checks that a listener refuses connections while as many as allowed are busy,
// accepts them again once there is room, and asks callers to close theirs meanwhile.
func TestBusyConnectionsAreLimited(t *testing.T) {
	is := is.New(t)
	l := newGatedListener(t)
	is.True(!l.Limited())
	l.SetLimit(2, 0)
	first, _ := dialListener(t, l)
	is.True(!l.Limited())
	second, _ := dialListener(t, l)
	is.Equal(l.BusyConns(), 2)
	is.True(isRefused(l))
	is.True(l.Limited())
	l.ConnState(first, http.StateActive)
	is.True(isRefused(l))
	l.ConnState(first, http.StateIdle)
	is.Equal(l.BusyConns(), 1)
	third, _ := dialListener(t, l)
	is.True(isRefused(l))
	is.NoErr(second.Close())
	is.NoErr(third.Close())
	is.True(!isRefused(l))
	l.SetLimit(0, 0)
	is.Equal(l.BusyConns(), 0)
}

// TestFullListenerAcceptsSomeConnections guards against a VM that says that it is ready and accepts no connection
// for seconds, since all that it has are busy.
func TestFullListenerAcceptsSomeConnections(t *testing.T) {
	is := is.New(t)
	l := newGatedListener(t)
	l.SetLimit(1, 0)
	dialListener(t, l)
	is.True(isRefused(l))
	time.Sleep(maxShut)
	l.SetLimit(1, 0)
	dialListener(t, l)
	is.Equal(l.BusyConns(), 2)
	is.True(isRefused(l))
}

// TestStaleLimitHoldsAfterSuspension guards against a VM that takes in, after a suspension, all connections that have
// arrived meanwhile: until a limit is set anew, the one for that time holds.
func TestStaleLimitHoldsAfterSuspension(t *testing.T) {
	is := is.New(t)
	l := newGatedListener(t)
	l.SetLimit(0, 2)
	dialListener(t, l)
	dialListener(t, l)
	is.True(!l.Limited())
	time.Sleep(maxLimitAge + 10*time.Millisecond)
	dialListener(t, l)
	is.True(isRefused(l))
	l.SetLimit(0, 2)
	is.True(!isRefused(l))
}

// TestListenerWithoutGateIsNotLimited checks that a limit does nothing without a gate.
func TestListenerWithoutGateIsNotLimited(t *testing.T) {
	is := is.New(t)
	l, _, _ := newConnPair(t)
	l.SetLimit(1, 0)
	dialListener(t, l)
	is.True(!l.Limited())
}
