package engine_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"woaddoor/contract"
	"woaddoor/engine"
	standin "woaddoor/internal/standin/engine"
)

const testVersion = contract.VersionID("m@1")

const requestBody = `{"model":"m@1","messages":[{"role":"user","content":"hello"}],"max_tokens":4}`

// newTestEngine starts a stand-in engine that has two model versions loaded, and returns
// it with a chat call for the first one.
func newTestEngine(t *testing.T) (*standin.Engine, engine.Call) {
	e := standin.New(standin.Options{Versions: []contract.VersionID{testVersion, "m@2"}})
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	return e, engine.Call{URL: server.URL, Upstream: "a", RequestID: "r1", Version: testVersion, Body: []byte(requestBody)}
}

// outcomeOf returns the outcome in a *engine.CallError, or
// contract.OutcomeUnknown for any other error.
func outcomeOf(err error) contract.Outcome {
	var ce *engine.CallError
	if errors.As(err, &ce) {
		return ce.Outcome
	}
	return contract.OutcomeUnknown
}

// TestChatOutcomes makes calls fail in different ways, and checks the reported outcome
// against how often the engine really executed the request.
func TestChatOutcomes(t *testing.T) {
	errDenied := errors.New("denied")
	for name, c := range map[string]struct {
		faults      standin.Faults
		modify      func(*engine.Call)
		wantOutcome contract.Outcome
		wantErr     error
		wantRuns    int
	}{
		"connection dropped before the run": {standin.Faults{DropBeforeRead: 1}, nil, contract.OutcomeUnknown, nil, 0},
		"connection dropped after the run":  {standin.Faults{DropAfterRun: 1}, nil, contract.OutcomeUnknown, nil, 1},
		"refused by the engine":             {standin.Faults{Refuse: 1}, nil, contract.OutcomeNotRun, nil, 0},
		"truncated response":                {standin.Faults{TruncateAt: 1}, nil, contract.OutcomeRan, engine.ErrTruncated, 1},
		"response to another request":       {standin.Faults{WrongRequestID: true}, nil, contract.OutcomeUnknown, engine.ErrMismatchedResponse, 1},
		"response from another version":     {standin.Faults{RunsVersion: "m@2"}, nil, contract.OutcomeRan, engine.ErrWrongVersion, 1},
		"not permitted":                     {standin.Faults{}, func(c *engine.Call) { c.CheckPermission = func() error { return errDenied } }, contract.OutcomeNotRun, errDenied, 0},
		"connection refused":                {standin.Faults{}, func(c *engine.Call) { c.URL = "http://127.0.0.1:1" }, contract.OutcomeNotRun, nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, call := newTestEngine(t)
			e.SetFaults(c.faults)
			if c.modify != nil {
				c.modify(&call)
			}
			_, err := engine.NewClient().Chat(t.Context(), call)
			is.True(err != nil)
			is.Equal(outcomeOf(err), c.wantOutcome)
			if c.wantErr != nil {
				is.True(errors.Is(err, c.wantErr))
			}
			is.Equal(e.RunCount("r1"), c.wantRuns)
			if outcomeOf(err) == contract.OutcomeNotRun {
				is.Equal(e.RunCount("r1"), 0) // the engine must not have run a request that is reported as not run
			}
		})
	}
}

// TestRequestIsSentOnce checks that the client does not repeat a request whose reused
// connection closes after the request was sent. It first shows that net/http does repeat
// such a request if it carries an Idempotency-Key header.
func TestRequestIsSentOnce(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	var abortNext atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		if abortNext.Swap(false) {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
		_, _ = w.Write([]byte("{}"))
	}))
	t.Cleanup(server.Close)

	post := func() error {
		req, err := http.NewRequest(http.MethodPost, server.URL, strings.NewReader("{}"))
		is.NoErr(err)
		req.Header.Set("Idempotency-Key", "k")
		resp, err := server.Client().Do(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body) // so that the connection is reused
		return err
	}
	is.NoErr(post()) // opens the connection
	abortNext.Store(true)
	is.NoErr(post())
	is.Equal(runs.Load(), int32(3)) // net/http has sent the second request twice

	runs.Store(0)
	c := engine.NewClient()
	call := engine.Call{URL: server.URL, RequestID: "r", Body: []byte("{}")}
	_, err := c.CallPlain(t.Context(), call, http.MethodPost, "/")
	is.NoErr(err)
	abortNext.Store(true)
	_, err = c.CallPlain(t.Context(), call, http.MethodPost, "/")
	is.True(err != nil)
	is.Equal(outcomeOf(err), contract.OutcomeUnknown)
	is.Equal(runs.Load(), int32(2))
}

// TestPermissionExpiresDuringWrite checks that a call is cancelled if its permission
// expires while the request is written, as after a pause of the VM.
func TestPermissionExpiresDuringWrite(t *testing.T) {
	is := is.New(t)
	_, call := newTestEngine(t)
	checks := 0
	errExpired := errors.New("permission expired")
	call.CheckPermission = func() error {
		checks++
		if checks > 1 {
			return errExpired
		}
		return nil
	}
	_, err := engine.NewClient().Chat(t.Context(), call)
	is.True(errors.Is(err, errExpired))
	is.Equal(outcomeOf(err), contract.OutcomeUnknown) // the engine may have received the request
}

// countEvents reads the stream to its end or to an error, and returns the number of events
// before that.
func countEvents(t *testing.T, s *engine.Stream) (int, error) {
	t.Helper()
	defer s.Close()
	for n := 0; ; n++ {
		e, err := s.Next()
		if err != nil || e.End {
			return n, err
		}
	}
}

// TestStream checks that a stream is read to its end, that a truncated stream is detected,
// and that it can be resumed after the last event received.
func TestStream(t *testing.T) {
	is := is.New(t)
	e, call := newTestEngine(t)
	call.Body = []byte(strings.Replace(requestBody, `"max_tokens"`, `"stream":true,"max_tokens"`, 1))
	c := engine.NewClient()
	s, err := c.Stream(t.Context(), call)
	is.NoErr(err)
	n, err := countEvents(t, s)
	is.NoErr(err)
	is.Equal(n, 5) // four tokens and one chunk with the usage
	is.Equal(s.Usage().Completion, contract.Tokens(4))

	// The engine cuts off the stream after two tokens. It is resumed after the second.
	call.RequestID = "r2"
	e.SetFaults(standin.Faults{TruncateAt: 2})
	s, err = c.Stream(t.Context(), call)
	is.NoErr(err)
	n, err = countEvents(t, s)
	is.Equal(n, 2)
	is.True(errors.Is(err, engine.ErrTruncated))
	call.LastEventID = "2"
	s, err = c.Stream(t.Context(), call)
	is.NoErr(err)
	n, err = countEvents(t, s)
	is.NoErr(err)
	is.Equal(n, 3)
	is.Equal(e.RunCount("r2"), 1) // the engine has resumed the request instead of running it again
}

// FuzzStream checks that arbitrary bytes from an upstream neither make a stream panic nor
// are accepted as a complete stream without the end marker and a finish reason.
func FuzzStream(f *testing.F) {
	chunk := `{"id":"x","model":"m@1","choices":[{"delta":{"content":"a"},"finish_reason":"stop"}]}`
	f.Add("id: 1\ndata: " + chunk + "\n\ndata: [DONE]\n\n")
	f.Add("data: [DONE]\n\n")
	f.Add("data: {\n\n:\n\ndata:\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
			_, _ = w.Write([]byte(text))
		}))
		defer server.Close()
		s, err := engine.NewClient().Stream(context.Background(), engine.Call{URL: server.URL, RequestID: "r", Version: testVersion, Body: []byte("{}")})
		if err != nil {
			return
		}
		if _, err := countEvents(t, s); err == nil && (!strings.Contains(text, engine.StreamEndMarker) || !strings.Contains(text, "finish_reason")) {
			t.Fatalf("incomplete stream accepted as complete: %q", text)
		}
	})
}
