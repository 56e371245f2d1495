package exchange

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"woaddoor/peek"
)

// ErrIncomplete means that an answer without a marked end ended before its upstream had taken the whole request. The
// connection was reset, so the answer may lack its end.
var ErrIncomplete = errors.New("answer ended before the upstream had taken the whole request")

// acknowledgePoll is how often an acknowledgment is looked for.
const acknowledgePoll = time.Millisecond

// AwaitAcknowledged waits until the peer of c has acknowledged all that was written to c, or until stop is closed.
// It returns ErrIncomplete if the connection failed before.
//
// An answer without a marked end ends with its connection. A reset ends the connection as well, and the system reports it
// only once, to the read or to the write. A peer that closes with unread bytes resets the connection, and bytes that arrive
// after its close are never acknowledged, so the answer is complete only if all of the request was acknowledged.
func AwaitAcknowledged(c net.Conn, stop <-chan struct{}) error {
	for {
		left, err := peek.Unacknowledged(c)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrIncomplete, err)
		}
		if left == 0 {
			return nil
		}
		select {
		case <-stop:
			return os.ErrDeadlineExceeded
		case <-time.After(acknowledgePoll):
		}
	}
}

// Read reads the body of the response. It returns io.EOF only when the body is complete.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if errors.Is(err, io.EOF) && !r.Delimited {
		if failure := r.awaitRequestTaken(); failure != nil {
			return n, failure
		}
	}
	if errors.Is(err, io.EOF) {
		r.bodyRead = true
	}
	return n, err
}

// awaitRequestTaken waits until the upstream has taken the whole request, and returns an error if it never will.
func (r *Response) awaitRequestTaken() error {
	select {
	case <-r.conn.sending.done:
	case <-r.aborted:
		return os.ErrDeadlineExceeded
	}
	if err := r.conn.sending.err; err != nil {
		return fmt.Errorf("%w: %w", ErrIncomplete, err)
	}
	return AwaitAcknowledged(r.conn.Conn, r.aborted)
}
