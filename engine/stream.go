package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"woaddoor/contract"
)

// Event is one event of a stream.
type Event struct {
	// ID is the place in the stream, as the engine numbers it.
	ID string
	// Data is the event's data. It is valid until the next call of Next.
	Data []byte
	// Chunk is the data as it was read and checked.
	Chunk Chunk
	// End is true for the event that ends a whole stream.
	End bool
}

// Stream is a streamed answer. It is whole only when Next has returned an
// event with End set.
type Stream struct {
	call     Call
	exchange *begun
	reader   *bufio.Reader
	checked  string // the id that every chunk carries
	usage    Usage
	finished bool
	data     []byte
	first    bool
}

// Sizes of a stream's buffers. A line longer than maxLine ends the stream.
const (
	streamBuffer = 4 * contract.KiB
	maxLine      = 256 * contract.KiB
)

// Stream sends a chat request and returns its answer as a stream.
func (c *Client) Stream(ctx context.Context, call Call) (*Stream, error) {
	x, failed := c.send(ctx, call, http.MethodPost, PathChat)
	if failed != nil {
		return nil, failed
	}
	if x.resp.Header.Get(HeaderRequest) == "" {
		x.close()
		return nil, &CallError{Outcome: contract.Ran, Err: contract.Fail(contract.StepAnswer, string(call.Upstream), ErrCrossed)}
	}
	return &Stream{call: call, exchange: x, reader: bufio.NewReaderSize(x.resp.Body, int(streamBuffer))}, nil
}

// Close ends the stream; the engine sees the connection go.
func (s *Stream) Close() { s.exchange.close() }

// Usage returns the tokens that the stream has told of so far.
func (s *Stream) Usage() Usage { return s.usage }

// Next returns the next event. It fails with a *CallError when the stream ends
// early, belongs to another request or comes from another version.
func (s *Stream) Next() (Event, error) {
	e, err := s.read()
	if err != nil {
		return Event{}, s.fail(errors.Join(ErrTruncated, err))
	}
	if string(e.Data) == StreamEnd {
		if !s.finished {
			return Event{}, s.fail(ErrTruncated)
		}
		e.End = true
		return e, nil
	}
	if err := s.check(e.Data, &e.Chunk); err != nil {
		return Event{}, s.fail(err)
	}
	return e, nil
}

func (s *Stream) fail(err error) error {
	return &CallError{Outcome: contract.Ran, Err: contract.Fail(contract.StepStream, string(s.call.Upstream), err)}
}

// read reads the lines of one event.
func (s *Stream) read() (Event, error) {
	e := Event{}
	s.data = s.data[:0]
	for {
		line, err := s.line()
		if err != nil {
			return Event{}, err
		}
		switch {
		case len(line) == 0 && len(s.data) > 0:
			e.Data = s.data
			return e, nil
		case bytes.HasPrefix(line, []byte("data:")):
			s.data = append(s.data, bytes.TrimPrefix(line[len("data:"):], []byte(" "))...)
		case bytes.HasPrefix(line, []byte("id:")):
			e.ID = strings.TrimSpace(string(line[len("id:"):]))
		}
	}
}

func (s *Stream) line() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return s.longLine(line)
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

// longLine reads a line that does not fit into the buffer.
func (s *Stream) longLine(start []byte) ([]byte, error) {
	whole := bytes.Clone(start)
	for {
		more, err := s.reader.ReadSlice('\n')
		whole = append(whole, more...)
		if err == nil {
			return bytes.TrimRight(whole, "\r\n"), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		if contract.Bytes(len(whole)) > maxLine {
			return nil, io.ErrShortBuffer
		}
	}
}

// check reads a chunk and compares it with the call and with the first chunk.
func (s *Stream) check(data []byte, c *Chunk) error {
	if err := json.Unmarshal(data, c); err != nil {
		return errors.Join(ErrMalformed, err)
	}
	if c.Model != string(s.call.Version) {
		return ErrWrongVersion
	}
	if !s.first {
		s.first, s.checked = true, c.ID
	}
	if c.ID != s.checked {
		return ErrCrossed
	}
	if c.Usage != nil {
		s.usage = *c.Usage
	}
	for _, choice := range c.Choices {
		if choice.FinishReason != nil && *choice.FinishReason != "" {
			s.finished = true
		}
	}
	return nil
}
