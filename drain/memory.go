package drain

import (
	"context"
	"net"
	"time"

	"woaddoor/contract"
	"woaddoor/memory"
)

// Limits are what callers may make the process hold, beside the number of connections. The zero value means no limits.
type Limits struct {
	// Memory is the account from which heads, bodies and answers are taken.
	Memory *memory.Account
	// SendBuffer is the nominal size of the send buffer of a connection.
	SendBuffer contract.Bytes
	// StallAfter is the time without progress after which a connection is closed if another one needs its place.
	StallAfter time.Duration
	// WriteTimeout is how long a caller may take to receive writePiece bytes. Zero means without end.
	WriteTimeout time.Duration
}

// ConnContext adds a connection and its holder to the context of its requests. The server must use it as
// http.Server.ConnContext.
func (l *Listener) ConnContext(ctx context.Context, nc net.Conn) context.Context {
	c, ok := nc.(*conn)
	if !ok || c.holder == nil {
		return ctx
	}
	return context.WithValue(memory.NewContext(ctx, c.holder), connKey{}, c)
}

// beginRequest records that the first bytes of a request have arrived: its caller has received the last answer.
func (c *conn) beginRequest(now time.Time) {
	if c.inHead.Swap(true) {
		return
	}
	if c.holdsUnsent {
		c.holdsUnsent = false
		c.holder.End(now)
	}
	c.holder.Progress(now)
}

// endRequest gives back what the connection holds for a request that has ended, but for what its caller may not have
// received yet.
func (c *conn) endRequest(now time.Time) {
	c.headCost, c.headTaken = 0, 0
	c.inHead.Store(false)
	c.holder.End(now)
	c.holdUnsent(now)
}

// giveWay ends what the connection makes the process hold. A request whose body arrives is refused by its handler,
// whose read fails; anything else ends with the connection.
func (c *conn) giveWay(in memory.Phase) {
	if in == memory.Reading && !c.serverIdle.Load() {
		_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed already
		return
	}
	c.reset()
}

// reset closes the connection and discards what its caller has not received.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed already
	}
	_ = c.Close() // the client notices the close
}
