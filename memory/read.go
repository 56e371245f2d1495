package memory

import (
	"errors"
	"io"
	"time"

	"woaddoor/contract"
)

// Errors of ReadAll.
var (
	// ErrTooLarge means that there is more to read than the limit allows.
	ErrTooLarge = errors.New("larger than the limit")
	// ErrNoRoom means that the account has no room for what is read.
	ErrNoRoom = errors.New("memory for callers is used up")
)

const (
	// firstBuffer is the size of the buffer with which ReadAll begins.
	firstBuffer = 4 << 10
	// progressStep is how much has to arrive to count as progress: a caller that sends single bytes makes none.
	progressStep = 16 << 10
)

// UnknownLength is the length of what ends by itself.
const UnknownLength = -1

// ReadAll reads r to its end, at most limit bytes, into memory that h holds. The holder goes on holding it. The
// argument length is the length if it is known, and UnknownLength otherwise. Memory is taken as bytes arrive, whatever
// length was declared. The holder holds the capacity of the returned slice, and nothing after an error.
func ReadAll(r io.Reader, limit, length int64, h *Holder, now func() time.Time) (read []byte, err error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	if length == 0 {
		return nil, nil
	}
	most := limit + 1 // to see that there is more than the limit
	if length > 0 {
		most = length + 1 // to see the end
	}
	buf := buffer{holder: h, now: now}
	defer func() {
		if err != nil {
			h.Give(contract.Bytes(len(buf.bytes)))
		}
	}()
	if !buf.grow(min(firstBuffer, most)) {
		return nil, ErrNoRoom
	}
	for progress := 0; ; {
		n, err := r.Read(buf.free())
		buf.length += n
		if progress += n; progress >= progressStep {
			h.Progress(now())
			progress = 0
		}
		switch {
		case int64(buf.length) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return buf.bytes[:buf.length], nil
		case h.Evicted():
			return nil, ErrNoRoom
		case err != nil:
			return nil, err
		}
		if len(buf.free()) == 0 && !buf.grow(min(2*int64(len(buf.bytes)), most)) {
			return nil, ErrNoRoom
		}
	}
}

// buffer is a buffer whose size its holder holds.
type buffer struct {
	bytes  []byte
	length int
	holder *Holder
	now    func() time.Time
}

func (b *buffer) free() []byte { return b.bytes[b.length:] }

// grow makes the buffer size bytes long, and returns whether there was room for it.
func (b *buffer) grow(size int64) bool {
	if !b.holder.Take(contract.Bytes(size), b.now()) { // both buffers are held while one is copied
		return false
	}
	larger := make([]byte, size)
	copy(larger, b.bytes[:b.length])
	b.holder.Give(contract.Bytes(len(b.bytes)))
	b.bytes = larger
	return true
}
