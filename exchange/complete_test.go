package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const undelimitedHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"

// racingConn is a connection whose upstream answers while the request is written. The test decides in which order the
// write and the read learn how the connection ended.
type racingConn struct {
	net.Conn
	answer     *bytes.Reader
	writeEnds  chan struct{} // closed when the write returns
	writeErr   error
	endSeen    chan struct{} // closed when a read has returned the end
	writeFirst bool          // the read returns the end only after the write
}

func (c *racingConn) Read(p []byte) (int, error) {
	if c.answer.Len() > 0 {
		return c.answer.Read(p)
	}
	if c.writeFirst {
		<-c.writeEnds
	}
	select {
	case <-c.endSeen:
	default:
		close(c.endSeen)
	}
	return 0, io.EOF
}

func (c *racingConn) Write(p []byte) (int, error) {
	if !c.writeFirst {
		<-c.endSeen
	}
	defer close(c.writeEnds)
	return len(p), c.writeErr
}

func (c *racingConn) Close() error                    { return nil }
func (c *racingConn) SetReadDeadline(time.Time) error { return nil }

// checkPart checks that a response is read as "part", and whether that is complete.
func checkPart(is *is.I, resp *Response, complete bool) {
	is.Helper()
	got, err := io.ReadAll(resp)
	is.Equal(string(got), "part")
	is.Equal(err == nil, complete)
	is.Equal(errors.Is(err, ErrIncomplete), !complete)
}

// TestUndelimitedAnswerIsCompleteOnlyWithItsRequest guards against taking an answer without a length for complete although
// its connection was reset, when the write of the request gets the error and the read gets the end, in either order.
func TestUndelimitedAnswerIsCompleteOnlyWithItsRequest(t *testing.T) {
	for name, c := range map[string]struct {
		writeErr   error
		writeFirst bool
		complete   bool
	}{
		"write fails, then end":   {syscall.ECONNRESET, true, false},
		"end, then write fails":   {syscall.ECONNRESET, false, false},
		"end, then broken pipe":   {syscall.EPIPE, false, false},
		"written, then end":       {nil, true, true},
		"end, then written whole": {nil, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn := &racingConn{
				answer: bytes.NewReader([]byte(undelimitedHead + "part")), writeErr: c.writeErr, writeFirst: c.writeFirst,
				writeEnds: make(chan struct{}), endSeen: make(chan struct{}),
			}
			pool := NewPool("upstream", 1)
			pool.Dial = func(context.Context, string) (net.Conn, error) { return conn, nil }
			resp, err := pool.Do(t.Context(), &Request{Method: "POST", URI: "/", Host: "a", Body: []byte("body")}, matchAny)
			is.NoErr(err)
			defer resp.Close()
			checkPart(is, resp, c.complete)
		})
	}
}

// earlyUpstream answers one request before it has read the body, ends its direction of the connection, and goes on as
// rest says once the end has arrived.
func earlyUpstream(t *testing.T, rest func(c *net.TCPConn)) (address string) {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10) })
	}}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		accepted, err := l.Accept()
		if err != nil {
			return
		}
		c := accepted.(*net.TCPConn)
		_, _ = io.WriteString(c, undelimitedHead+"part")
		_ = c.CloseWrite()
		time.Sleep(50 * time.Millisecond) // the end arrives
		rest(c)
		_ = c.Close()
	}()
	return l.Addr().String()
}

func readRequest(c *net.TCPConn) {
	if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// TestEndOfUnreadRequestIsNoCompleteAnswer guards against taking an answer without a length for complete because its end
// arrived before the reset: its request was handed to the system, but not read.
func TestEndOfUnreadRequestIsNoCompleteAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		size     int // of the body
		rest     func(c *net.TCPConn)
		complete bool
	}{
		"reset while the body is written": {64 << 20, func(c *net.TCPConn) { _ = c.SetLinger(0) }, false},
		"reset while the body is sent":    {1 << 20, func(c *net.TCPConn) { _ = c.SetLinger(0) }, false},
		"body is read after the answer":   {1 << 20, readRequest, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			pool := NewPool(earlyUpstream(t, c.rest), 1)
			pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
				conn, err := Dial(ctx, address)
				if err == nil {
					err = conn.(*net.TCPConn).SetWriteBuffer(2 << 20)
				}
				return conn, err
			}
			ctx, cancel := context.WithTimeout(t.Context(), hangTimeout)
			defer cancel()
			resp, err := pool.Do(ctx, &Request{Method: "POST", URI: "/", Host: "a", Body: make([]byte, c.size)}, matchAny)
			is.NoErr(err)
			defer resp.Close()
			checkPart(is, resp, c.complete)
		})
	}
}

// TestAbortEndsWaitForRequest guards against an aborted attempt that goes on waiting for an upstream to read the request
// after the end of its answer.
func TestAbortEndsWaitForRequest(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	pool := NewPool(earlyUpstream(t, func(*net.TCPConn) { <-release }), 1)
	defer close(release)
	resp, err := pool.Do(t.Context(), &Request{Method: "POST", URI: "/", Host: "a", Body: make([]byte, 64<<20)}, matchAny)
	is.NoErr(err)
	defer resp.Close()
	time.AfterFunc(100*time.Millisecond, resp.Abort)
	_, err = io.ReadAll(resp)
	is.True(err != nil)
}
