package stream

import (
	"bytes"
	"errors"
	"strconv"
)

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

// Errors of a series of events.
var (
	ErrEventTooLong = errors.New("event of a stream is longer than 1 MiB")
)

// Events cuts the bytes of a series of events, in the form of the standard of
// server-sent events, into whole events. It copies bytes as they came and reads
// only the ids. The zero value begins before the first event.
type Events struct {
	buf  []byte
	last int64
	seen bool
}

// After makes the series go on after the event with an id: events up to it are
// left out.
func (e *Events) After(id int64) { e.last, e.seen = id, true }

// Restart forgets a piece of an event, when another upstream goes on with the
// series.
func (e *Events) Restart() { e.buf = e.buf[:0] }

// Last returns the id of the newest whole event, if any had one.
func (e *Events) Last() (int64, bool) { return e.last, e.seen }

// Partial tells whether a piece of an event has come without its end.
func (e *Events) Partial() bool { return len(bytes.TrimSpace(e.buf)) > 0 }

// Feed takes in bytes and returns those of the events that are now whole, and
// how many these are. The bytes are valid until the next call.
func (e *Events) Feed(p []byte) (whole []byte, n int, err error) {
	e.buf = append(e.buf, p...)
	end := 0
	var out []byte
	for {
		at, size := blankLine(e.buf[end:])
		if at < 0 {
			break
		}
		event := e.buf[end : end+at+size]
		end += at + size
		keep, err := e.take(event)
		if err != nil {
			return nil, 0, err
		}
		if keep {
			out = append(out, event...)
			n++
		}
	}
	e.buf = e.buf[:copy(e.buf, e.buf[end:])]
	if len(e.buf) > maxEvent {
		return nil, 0, ErrEventTooLong
	}
	return out, n, nil
}

// blankLine returns where the first event of b ends and the size of its end, or
// -1.
func blankLine(b []byte) (at, size int) {
	lf := bytes.Index(b, []byte("\n\n"))
	crlf := bytes.Index(b, []byte("\r\n\r\n"))
	if crlf >= 0 && (lf < 0 || crlf < lf) {
		return crlf, len("\r\n\r\n")
	}
	return lf, len("\n\n")
}

// take notes the id of an event and tells whether it belongs to the series: an
// event that was delivered already does not.
func (e *Events) take(event []byte) (bool, error) {
	id, ok := eventID(event)
	if !ok {
		return true, nil
	}
	if e.seen && id <= e.last {
		return false, nil
	}
	e.last, e.seen = id, true
	return true, nil
}

// eventID returns the id line of an event.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}
