package engine_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/contract"
	"woaddoor/engine"
	"woaddoor/exchange"
)

// TestPlainAnswerCutByResetIsNotComplete guards against the part of an answer without a length being taken for the whole
// answer, although its service has reset the connection without having read the request. An answer is whole if the request
// is read after it.
func TestPlainAnswerCutByResetIsNotComplete(t *testing.T) {
	const bodySize = 256 << 10
	for name, c := range map[string]struct {
		rest     func(c *net.TCPConn, r *http.Request)
		complete bool
	}{
		"reset":                            {func(c *net.TCPConn, _ *http.Request) { _ = c.SetLinger(0) }, false},
		"request is read after the answer": {func(_ *net.TCPConn, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			small := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
				return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10) })
			}}
			l, err := small.Listen(t.Context(), "tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			go func() {
				accepted, err := l.Accept()
				if err != nil {
					return
				}
				conn := accepted.(*net.TCPConn)
				defer conn.Close()
				r, err := http.ReadRequest(bufio.NewReader(conn)) // its head: net/http accepts no answer before
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
				_ = conn.CloseWrite()
				time.Sleep(50 * time.Millisecond) // the end arrives
				c.rest(conn, r)
			}()
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			call := engine.Call{URL: "http://" + l.Addr().String(), Upstream: "a", RequestID: "r1", Body: make([]byte, bodySize)}
			answer, err := engine.NewClient().CallPlain(ctx, call, http.MethodPost, "/")
			is.Equal(err == nil, c.complete)
			if c.complete {
				is.Equal(string(answer.Body), "part")
				return
			}
			is.True(errors.Is(err, exchange.ErrIncomplete))
			is.Equal(outcomeOf(err), contract.OutcomeRan)
		})
	}
}
