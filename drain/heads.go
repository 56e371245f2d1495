package drain

import (
	"bytes"
	"errors"
	"time"

	"woaddoor/contract"
)

const (
	// fieldCost is what a line of a head takes once it is parsed, beside its bytes: its entry in the map of fields,
	// its list of values and the copies of both.
	fieldCost contract.Bytes = 160
	// itemCost is what an item of a list in a head takes once it is parsed, such as a part of a prompt.
	itemCost contract.Bytes = 64
	// freeHead is the size of heads that are covered by the price of a connection.
	freeHead = 8 * contract.KiB
)

// errHeadDenied ends a connection whose head has no room. No answer is sent: the request has not been read.
var errHeadDenied = errors.New("no memory for the head of a request")

// holdHead takes what the bytes of a head take once they are parsed, and returns whether there is room. The caller may
// send the head in any number of pieces: memory is held for what has arrived.
func (c *conn) holdHead(p []byte, now time.Time) bool {
	if c.holder == nil {
		return true
	}
	c.headCost += contract.Bytes(len(p)) + fieldCost*contract.Bytes(bytes.Count(p, newline)) + itemCost*contract.Bytes(bytes.Count(p, comma))
	if c.headCost <= freeHead {
		return true
	}
	if !c.holder.Take(c.headCost-c.headTaken, now) {
		return false
	}
	c.headTaken = c.headCost
	return true
}

var newline, comma = []byte("\n"), []byte(",")
