package drain

import (
	"errors"
	"time"

	"woaddoor/memory"
)

// errHeadDenied ends a connection whose head has no room. No answer is sent: the request has not been read.
var errHeadDenied = errors.New("no memory for the head of a request")

// holdHead takes what the bytes of a head take once they are parsed, and returns whether there is room. The caller may
// send the head in any number of pieces: memory is held for what has arrived.
func (c *conn) holdHead(p []byte, now time.Time) bool {
	if c.holder == nil {
		return true
	}
	c.headCost += memory.HeadCost(p)
	if c.headCost <= memory.FreeHead {
		return true
	}
	if !c.holder.Take(c.headCost-c.headTaken, now) {
		return false
	}
	c.headTaken = c.headCost
	return true
}
