package exchange

import (
	"errors"
	"io"
	"math"

	"woaddoor/contract"
	"woaddoor/memory"
)

// maxHeadBytes bounds the status line and the headers of a response, in bytes.
const maxHeadBytes = 64 << 10

// ErrHeadTooLong means that the head of a response is longer than maxHeadBytes. Its upstream may go on sending
// without end.
var ErrHeadTooLong = errors.New("head of the response is longer than 64 KiB")

// headReader bounds how much is read while the head of a response is read, and holds memory for it.
// Bytes that the connection's buffer holds already do not count.
type headReader struct {
	io.Reader
	left int64 // bytes that may still be read
	// hold is called for what the head takes beyond memory.FreeHead; nil if nothing is held.
	hold func(n contract.Bytes) error
	// cost is what the head takes that is being read, and held what is held for the heads of this request: those of
	// interim responses are dropped before the next one is read.
	cost, held contract.Bytes
}

// begin bounds what is read from now on, and end lifts the bound.
func (h *headReader) begin() { h.left, h.cost = maxHeadBytes, 0 }
func (h *headReader) end()   { h.left = math.MaxInt64 }

// reset begins a request, for whose heads memory is held by calling hold.
func (h *headReader) reset(hold func(n contract.Bytes) error) { h.hold, h.held = hold, memory.FreeHead }

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if h.left <= 0 {
		return 0, ErrHeadTooLong
	}
	inHead := h.left <= maxHeadBytes
	n, err := h.Reader.Read(p[:min(int64(len(p)), h.left)])
	h.left -= int64(n)
	if !inHead || h.hold == nil {
		return n, err
	}
	h.cost += memory.HeadCost(p[:n])
	if h.cost <= h.held {
		return n, err
	}
	if denied := h.hold(h.cost - h.held); denied != nil {
		return 0, denied
	}
	h.held = h.cost
	return n, err
}
