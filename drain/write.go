package drain

import (
	"time"

	"woaddoor/contract"
	"woaddoor/memory"
)

const (
	// writePiece is how many bytes are written at a time, so that progress is seen.
	writePiece = 32 << 10
	// freeAnswer is the size of answers that are covered by the price of a connection while their callers have not
	// received them.
	freeAnswer = 16 * contract.KiB
	// sendBufferFactor is how many times its nominal size a send buffer holds at most.
	sendBufferFactor = 2.25
)

// Write writes to the connection in pieces, each of which the caller has to receive in time, and counts the bytes.
func (c *conn) Write(p []byte) (int, error) {
	phase := memory.Running
	if c.holder != nil {
		phase = c.holder.Phase()
	}
	written := 0
	for {
		now := time.Now()
		c.holder.Enter(memory.Writing, now)
		if timeout := c.listener.Limits.WriteTimeout; timeout > 0 {
			if err := c.SetWriteDeadline(now.Add(timeout)); err != nil {
				return written, err
			}
		}
		n, err := c.Conn.Write(p[written:min(written+writePiece, len(p))])
		written += n
		c.written += contract.Bytes(n)
		c.listener.Bytes.Add(int64(n))
		if err != nil || written == len(p) {
			c.holder.Enter(phase, now)
			return written, err
		}
	}
}

// holdUnsent holds what may lie in the send buffer after the answer to a request has been written, until the caller
// sends its next request or closes the connection. Without room for it, the connection is reset.
func (c *conn) holdUnsent(now time.Time) {
	unsent := min(c.written, contract.Bytes(sendBufferFactor*float64(c.listener.Limits.SendBuffer)))
	c.written = 0
	if c.holder == nil || unsent <= freeAnswer {
		return
	}
	c.holder.Enter(memory.Writing, now)
	if c.holdsUnsent = c.holder.Take(unsent, now); !c.holdsUnsent {
		c.reset()
	}
}
