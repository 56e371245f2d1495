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

const v1 = contract.VersionID("m@1")

const body = `{"model":"m@1","messages":[{"role":"user","content":"hello"}],"max_tokens":4}`

func setup(t *testing.T) (*standin.Engine, engine.Call) {
	e := standin.New(standin.Options{Versions: []contract.VersionID{v1, "m@2"}})
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	return e, engine.Call{URL: server.URL, Upstream: "a", RequestID: "r1", Version: v1, Body: []byte(body)}
}

func outcome(err error) contract.Outcome {
	var ce *engine.CallError
	if errors.As(err, &ce) {
		return ce.Outcome
	}
	return contract.Unknown
}

// TestChatOutcomes runs each way in which a call can fail, and checks both what
// is said of it and what really happened at the engine.
func TestChatOutcomes(t *testing.T) {
	denied := errors.New("denied")
	for name, c := range map[string]struct {
		faults  standin.Faults
		change  func(*engine.Call)
		want    contract.Outcome
		because error
		runs    int
	}{
		"dies before":    {standin.Faults{DropBefore: 1}, nil, contract.Unknown, nil, 0},
		"dies after":     {standin.Faults{DropAfter: 1}, nil, contract.Unknown, nil, 1},
		"refused":        {standin.Faults{Refuse: 1}, nil, contract.NotRun, nil, 0},
		"truncated":      {standin.Faults{TruncateAt: 1}, nil, contract.Ran, engine.ErrTruncated, 1},
		"crossed":        {standin.Faults{Crossed: true}, nil, contract.Unknown, engine.ErrCrossed, 1},
		"other version":  {standin.Faults{HeldVersion: "m@2"}, nil, contract.Ran, engine.ErrWrongVersion, 1},
		"not permitted":  {standin.Faults{}, func(c *engine.Call) { c.Permit = func() error { return denied } }, contract.NotRun, denied, 0},
		"nobody listens": {standin.Faults{}, func(c *engine.Call) { c.URL = "http://127.0.0.1:1" }, contract.NotRun, nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, call := setup(t)
			e.SetFaults(c.faults)
			if c.change != nil {
				c.change(&call)
			}
			_, err := engine.NewClient().Chat(t.Context(), call)
			is.True(err != nil)
			is.Equal(outcome(err), c.want)
			if c.because != nil {
				is.True(errors.Is(err, c.because))
			}
			is.Equal(e.Runs("r1"), c.runs)
			if outcome(err) == contract.NotRun {
				is.Equal(e.Runs("r1"), 0) // "not run" is true
			}
		})
	}
}

// TestTransportRepeats shows the naive way: with an idempotency key the HTTP
// library sends a request a second time by itself when a kept connection dies
// after the request was sent. The client's requests are sent once.
func TestTransportRepeats(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	var dying atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		if dying.Swap(false) {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(engine.HeaderRequest, r.Header.Get(engine.HeaderRequest))
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
		_, err = io.Copy(io.Discard, resp.Body) // so that the connection is kept
		return err
	}
	is.NoErr(post()) // opens the connection
	dying.Store(true)
	is.NoErr(post())
	is.Equal(runs.Load(), int32(3)) // the second request ran twice

	runs.Store(0)
	c := engine.NewClient()
	call := engine.Call{URL: server.URL, RequestID: "r", Body: []byte("{}")}
	_, err := c.Plain(t.Context(), call, http.MethodPost, "/")
	is.NoErr(err)
	dying.Store(true)
	_, err = c.Plain(t.Context(), call, http.MethodPost, "/")
	is.True(err != nil)
	is.Equal(outcome(err), contract.Unknown)
	is.Equal(runs.Load(), int32(2))
}

// TestPausedBetweenCheckAndWrite shows that a permission which lapses while
// the request is being written cancels it.
func TestPausedBetweenCheckAndWrite(t *testing.T) {
	is := is.New(t)
	_, call := setup(t)
	asked := 0
	lapsed := errors.New("lapsed")
	call.Permit = func() error {
		asked++
		if asked > 1 {
			return lapsed
		}
		return nil
	}
	_, err := engine.NewClient().Chat(t.Context(), call)
	is.True(errors.Is(err, lapsed))
	is.Equal(outcome(err), contract.Unknown) // it may have been received
}

func read(t *testing.T, s *engine.Stream) (int, error) {
	t.Helper()
	defer s.Close()
	for n := 0; ; n++ {
		e, err := s.Next()
		if err != nil || e.End {
			return n, err
		}
	}
}

func TestStream(t *testing.T) {
	is := is.New(t)
	e, call := setup(t)
	call.Body = []byte(strings.Replace(body, `"max_tokens"`, `"stream":true,"max_tokens"`, 1))
	c := engine.NewClient()
	s, err := c.Stream(t.Context(), call)
	is.NoErr(err)
	n, err := read(t, s)
	is.NoErr(err)
	is.Equal(n, 5) // four tokens and the usage
	is.Equal(s.Usage().Completion, contract.Tokens(4))

	// Cut off after two tokens: not whole, and resumed from there.
	call.RequestID = "r2"
	e.SetFaults(standin.Faults{TruncateAt: 2})
	s, err = c.Stream(t.Context(), call)
	is.NoErr(err)
	n, err = read(t, s)
	is.Equal(n, 2)
	is.True(errors.Is(err, engine.ErrTruncated))
	call.LastEvent = "2"
	s, err = c.Stream(t.Context(), call)
	is.NoErr(err)
	n, err = read(t, s)
	is.NoErr(err)
	is.Equal(n, 3)
	is.Equal(e.Runs("r2"), 1) // resumed, not run anew
}

// FuzzStream checks that no bytes of an upstream make a stream panic, or count
// as whole without the end marker and a finish reason.
func FuzzStream(f *testing.F) {
	chunk := `{"id":"x","model":"m@1","choices":[{"delta":{"content":"a"},"finish_reason":"stop"}]}`
	f.Add("id: 1\ndata: " + chunk + "\n\ndata: [DONE]\n\n")
	f.Add("data: [DONE]\n\n")
	f.Add("data: {\n\n:\n\ndata:\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(engine.HeaderRequest, r.Header.Get(engine.HeaderRequest))
			_, _ = w.Write([]byte(text))
		}))
		defer server.Close()
		s, err := engine.NewClient().Stream(context.Background(), engine.Call{URL: server.URL, RequestID: "r", Version: v1, Body: []byte("{}")})
		if err != nil {
			return
		}
		if _, err := read(t, s); err == nil && (!strings.Contains(text, engine.StreamEnd) || !strings.Contains(text, "finish_reason")) {
			t.Fatalf("taken for whole: %q", text)
		}
	})
}
