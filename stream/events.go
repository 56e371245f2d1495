package stream

import (
	"bytes"
	"errors"
	"strconv"
)

// maxEventBytes is the maximum size of one event.
const maxEventBytes = 1 << 20

var (
	// ErrEventTooLong means that a server-sent event is longer than maxEventBytes.
	ErrEventTooLong = errors.New("event of a stream is longer than 1 MiB")
)

// EventSplitter splits the bytes of a server-sent event stream into whole events.
// EventSplitter leaves the bytes unchanged and parses only the event ids.
// The zero value starts before the first event.
type EventSplitter struct {
	buf    []byte
	lastID int64
	hasID  bool
}

// SkipThrough continues the event stream after the event with the given id.
// Feed then drops all events up to the given id.
func (e *EventSplitter) SkipThrough(id int64) { e.lastID, e.hasID = id, true }

// DiscardPartial discards an incomplete event, because another upstream continues the event stream.
func (e *EventSplitter) DiscardPartial() { e.buf = e.buf[:0] }

// LastID returns the id of the newest whole event, or false if no event has had an id.
func (e *EventSplitter) LastID() (int64, bool) { return e.lastID, e.hasID }

// Size returns how many bytes the splitter takes for an event that has not ended.
func (e *EventSplitter) Size() int { return cap(e.buf) }

// HasPartial reports whether an event has begun but not ended.
func (e *EventSplitter) HasPartial() bool { return len(bytes.TrimSpace(e.buf)) > 0 }

// Feed adds received bytes of the event stream.
// Feed returns the bytes of the events that are now whole, and the number of these events.
// The returned bytes are valid until the next call of Feed.
func (e *EventSplitter) Feed(p []byte) (whole []byte, n int, err error) {
	search := max(len(e.buf)-maxBlankLine+1, 0) // what lies before was searched already
	e.buf = append(e.buf, p...)
	end := 0
	var out []byte
	for {
		at, size := findEventEnd(e.buf[search:])
		if at < 0 {
			break
		}
		event := e.buf[end : search+at+size]
		end = search + at + size
		search = end
		keep, err := e.accept(event)
		if err != nil {
			return nil, 0, err
		}
		if keep {
			out = append(out, event...)
			n++
		}
	}
	e.buf = e.buf[:copy(e.buf, e.buf[end:])]
	if len(e.buf) > maxEventBytes {
		return nil, 0, ErrEventTooLong
	}
	return out, n, nil
}

// maxBlankLine is the length of the longest blank line.
const maxBlankLine = len("\r\n\r\n")

// findEventEnd returns the offset and the length of the first blank line in b, which ends an event.
// The offset is -1 if b has no blank line.
func findEventEnd(b []byte) (at, size int) {
	lf := bytes.Index(b, []byte("\n\n"))
	crlf := bytes.Index(b, []byte("\r\n\r\n"))
	if crlf >= 0 && (lf < 0 || crlf < lf) {
		return crlf, len("\r\n\r\n")
	}
	return lf, len("\n\n")
}

// accept records the id of an event and reports whether to pass the event on.
// An event that was already delivered is dropped.
func (e *EventSplitter) accept(event []byte) (bool, error) {
	id, ok := eventID(event)
	if !ok {
		return true, nil
	}
	if e.hasID && id <= e.lastID {
		return false, nil
	}
	e.lastID, e.hasID = id, true
	return true, nil
}

// eventID returns the id of an event, or false if the event has no valid id.
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
