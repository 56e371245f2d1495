package drain

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"woaddoor/memory"
)

// ErrBodyLate means that the body of a request was not complete at its deadline.
var ErrBodyLate = errors.New("body was incomplete at the deadline")

// refusedBodyTime is how long the rest of a body that is refused may still arrive, so that its caller sees the answer.
const refusedBodyTime = 500 * time.Millisecond

// AbandonBody gives what has not been read of the body of a request little time to arrive. It has to be called before a
// request is refused whose body is not read: net/http reads the rest of it without a deadline to use the connection again.
func AbandonBody(w http.ResponseWriter, r *http.Request, now time.Time) {
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(now.Add(refusedBodyTime)) // fails only if the connection is closed already
	}
}

// ReadBody reads the body of a request, at most limit bytes, until the deadline: a body that is read after it would
// hold memory and a connection although the caller no longer waits for an answer. What is read is held by the holder of
// the connection until the request ends. After an error the body has to be abandoned and the request to be refused; its
// connection closes. The error is memory.ErrNoRoom, memory.ErrTooLarge, ErrBodyLate or that of the connection.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time, now func() time.Time) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	c := http.NewResponseController(w)
	if err := c.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	holder := memory.FromContext(r.Context())
	reader := io.Reader(r.Body)
	if conn := connFrom(r.Context()); conn != nil {
		reader = &turnReader{body: r.Body, conn: conn}
	}
	body, err := memory.ReadAll(reader, limit, r.ContentLength, holder, now)
	if err == nil {
		err = c.SetReadDeadline(time.Time{}) // net/http detects a disconnect by reading
	}
	if err == nil {
		return body, nil
	}
	w.Header().Set("Connection", "close")
	if errors.Is(err, os.ErrDeadlineExceeded) && !holder.Evicted() {
		return nil, ErrBodyLate
	}
	return nil, err
}
