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
	// ID is the event id that the engine assigned. A stream can be resumed after the event with
	// a given id.
	ID string
	// Data is the raw data of the event. Data is valid until the next call of Next.
	Data []byte
	// Chunk is the decoded and checked data. Chunk is empty if End is set.
	Chunk Chunk
	// End is true for the event that marks the end of a complete stream.
	End bool
}

// Stream is a streamed response. The response is complete only if Next has returned an event with
// End set.
type Stream struct {
	call            Call
	open            *openResponse
	reader          *bufio.Reader
	completionID    string // the completion id of the first chunk
	usage           Usage
	sawFinishReason bool
	data            []byte
	sawFirstChunk   bool
}

// Sizes of a stream's buffers. A line longer than maxLineBytes, or an event with more data than maxEventBytes, fails the
// stream.
const (
	streamBufferBytes = 4 * contract.KiB
	maxLineBytes      = 256 * contract.KiB
	maxEventBytes     = contract.MiB
)

// Stream sends a chat request and returns the response as a stream.
func (c *Client) Stream(ctx context.Context, call Call) (*Stream, error) {
	open, callErr := c.send(ctx, call, http.MethodPost, PathChat)
	if callErr != nil {
		return nil, callErr
	}
	if open.resp.Header.Get(HeaderRequestID) == "" {
		open.close()
		return nil, &CallError{Outcome: contract.OutcomeRan, Err: contract.WrapStep(contract.StepAnswer, string(call.Upstream), ErrMismatchedResponse)}
	}
	return &Stream{call: call, open: open, reader: bufio.NewReaderSize(open.resp.Body, int(streamBufferBytes))}, nil
}

// Close stops reading the stream and frees its resources. If the response has not
// been read to its end, the engine sees the connection close.
func (s *Stream) Close() { s.open.close() }

// Usage returns the most recent token counts in the stream.
// The counts are zero until a chunk carries token counts.
func (s *Stream) Usage() Usage { return s.usage }

// Next returns the next event. It returns a *CallError if the stream ends early or is
// malformed, or if a chunk belongs to another completion or another model version.
func (s *Stream) Next() (Event, error) {
	e, err := s.readEvent()
	if err != nil {
		return Event{}, s.fail(errors.Join(ErrTruncated, err))
	}
	if string(e.Data) == StreamEndMarker {
		if !s.sawFinishReason {
			return Event{}, s.fail(ErrTruncated)
		}
		e.End = true
		return e, nil
	}
	if err := s.checkChunk(e.Data, &e.Chunk); err != nil {
		return Event{}, s.fail(err)
	}
	return e, nil
}

// fail wraps err as a *CallError of the stream.
func (s *Stream) fail(err error) error {
	return &CallError{Outcome: contract.OutcomeRan, Err: contract.WrapStep(contract.StepStream, string(s.call.Upstream), err)}
}

// readEvent reads the lines of one event. readEvent ignores fields other than "data" and "id".
func (s *Stream) readEvent() (Event, error) {
	e := Event{}
	s.data = s.data[:0]
	for {
		line, err := s.readLine()
		if err != nil {
			return Event{}, err
		}
		switch {
		case len(line) == 0 && len(s.data) > 0:
			e.Data = s.data
			return e, nil
		case bytes.HasPrefix(line, []byte("data:")):
			s.data = append(s.data, bytes.TrimPrefix(line[len("data:"):], []byte(" "))...)
			if contract.Bytes(len(s.data)) > maxEventBytes {
				return Event{}, io.ErrShortBuffer
			}
		case bytes.HasPrefix(line, []byte("id:")):
			e.ID = strings.TrimSpace(string(line[len("id:"):]))
		}
	}
}

// readLine returns the next line without its line ending. The slice is valid until the
// next read.
func (s *Stream) readLine() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return s.readLongLine(line)
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

// readLongLine reads the rest of a line that does not fit into the reader's buffer.
// start is the part of the line that was read already.
func (s *Stream) readLongLine(start []byte) ([]byte, error) {
	line := bytes.Clone(start)
	for {
		part, err := s.reader.ReadSlice('\n')
		line = append(line, part...)
		if err == nil {
			return bytes.TrimRight(line, "\r\n"), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		if contract.Bytes(len(line)) > maxLineBytes {
			return nil, io.ErrShortBuffer
		}
	}
}

// checkChunk decodes data into c, checks its model version against the call and its id
// against the first chunk, and records its usage and finish reason.
func (s *Stream) checkChunk(data []byte, c *Chunk) error {
	if err := json.Unmarshal(data, c); err != nil {
		return errors.Join(ErrMalformed, err)
	}
	if c.Model != string(s.call.Version) {
		return ErrWrongVersion
	}
	if !s.sawFirstChunk {
		s.sawFirstChunk, s.completionID = true, c.ID
	}
	if c.ID != s.completionID {
		return ErrMismatchedResponse
	}
	if c.Usage != nil {
		s.usage = *c.Usage
	}
	for _, choice := range c.Choices {
		if choice.FinishReason != nil && *choice.FinishReason != "" {
			s.sawFinishReason = true
		}
	}
	return nil
}
