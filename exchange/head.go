package exchange

import (
	"errors"
	"io"
	"math"
)

// maxHeadBytes bounds the status line and the headers of a response, in bytes.
const maxHeadBytes = 64 << 10

// ErrHeadTooLong means that the head of a response is longer than maxHeadBytes. Its upstream may go on sending
// without end.
var ErrHeadTooLong = errors.New("head of the response is longer than 64 KiB")

// headReader bounds how much is read while the head of a response is read.
// Bytes that the connection's buffer holds already do not count.
type headReader struct {
	io.Reader
	left int64 // bytes that may still be read
}

// begin bounds what is read from now on, and end lifts the bound.
func (h *headReader) begin() { h.left = maxHeadBytes }
func (h *headReader) end()   { h.left = math.MaxInt64 }

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if h.left <= 0 {
		return 0, ErrHeadTooLong
	}
	n, err := h.Reader.Read(p[:min(int64(len(p)), h.left)])
	h.left -= int64(n)
	return n, err
}
