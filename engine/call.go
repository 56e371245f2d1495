package engine

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"woaddoor/contract"
	"woaddoor/exchange"
)

// Call is one request to one upstream.
type Call struct {
	URL       string
	Upstream  contract.UpstreamID
	RequestID contract.RequestID
	// Version is the version that the body names, and that the answer has to.
	Version contract.VersionID
	Body    []byte
	// ContentType of the body. Empty means JSON.
	ContentType string
	// AnyStatus takes an answer of any status for the upstream's own answer.
	AnyStatus bool
	// Permit is asked immediately before the first byte of the body is given
	// out, and again after the last. An error stops the call. Nil permits.
	Permit func() error
	// NotAfter is carried to the upstream. Zero means none.
	NotAfter time.Time
	// LastEvent, when not empty, resumes the stream after that event.
	LastEvent string
}

// CallError is a call that gave no whole answer, with what is known of it.
type CallError struct {
	Outcome contract.Outcome
	Err     error
	// RetryAfter is when the upstream asked to come back; zero for no word. Unread says why
	// such a word could not be understood.
	RetryAfter time.Duration
	Unread     error
}

// Error returns the cause.
func (e *CallError) Error() string { return fmt.Sprintf("%v (%s)", e.Err, e.Outcome) }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// The ways in which an answer is not the one asked for.
var (
	ErrCrossed      = errors.New("answer belongs to another request")
	ErrWrongVersion = errors.New("answer comes from another version")
	ErrTruncated    = errors.New("answer ends early")
	ErrTooLarge     = errors.New("answer is larger than the limit")
	ErrMalformed    = errors.New("answer is malformed")
)

// maxAnswer bounds a whole answer.
const maxAnswer = 8 * contract.MiB

// Client calls upstreams.
type Client struct{ http *http.Client }

// Connection limits of a Client.
const (
	dialTimeout  = 2 * time.Second
	idlePerHost  = 64
	idleConnLife = 90 * time.Second
)

// NewClient returns a client. Its transport opens connections as needed.
//
// A request never carries an idempotency key to an upstream: with one, the
// transport would take the request as safe to send again by itself.
func NewClient() *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleConnLife,
		DisableCompression:  true,
	}
	return &Client{http: &http.Client{Transport: transport, CheckRedirect: refuseRedirect}}
}

// refuseRedirect keeps a request where it was routed to.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// gatedBody gives out a body once, and only while it is permitted. The HTTP
// library sends no complete request before it has read the body, so a body of
// which no byte was given out proves that the request did not run.
type gatedBody struct {
	permit func() error
	rest   *bytes.Reader
	given  atomic.Bool
	denied atomic.Pointer[error]
}

func (b *gatedBody) Read(p []byte) (int, error) {
	if b.permit != nil && !b.given.Load() {
		if err := b.permit(); err != nil {
			b.denied.Store(&err)
			return 0, err
		}
	}
	b.given.Store(true)
	return b.rest.Read(p)
}

func (b *gatedBody) Close() error { return nil }

// outcome returns what is known when no answer came.
func (b *gatedBody) outcome() contract.Outcome {
	if b.given.Load() {
		return contract.Unknown
	}
	return contract.NotRun
}

// begun is an answer that has begun. Its end frees what the call holds.
type begun struct {
	resp   *http.Response
	cancel context.CancelCauseFunc
}

func (x *begun) close() {
	x.resp.Body.Close()
	x.cancel(nil)
}

// send sends the call and returns the head of the answer.
func (c *Client) send(ctx context.Context, call Call, method, path string) (*begun, *CallError) {
	ctx, cancel := context.WithCancelCause(ctx)
	body := &gatedBody{permit: call.Permit, rest: bytes.NewReader(call.Body)}
	wrote := make(chan error, 1)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) {
		// A VM that was paused between the check and the write finds out here.
		var err error
		if call.Permit != nil {
			err = call.Permit()
		}
		if err != nil {
			cancel(err)
		}
		select {
		case wrote <- err:
		default: // a connection was tried anew
		}
	}})
	x, failed := c.do(ctx, call, body, method, path)
	if failed != nil {
		cancel(nil)
		return nil, failed
	}
	// The answer may come before the check after the write has run; it is not
	// used until it has.
	select {
	case err := <-wrote:
		if err == nil {
			return &begun{x, cancel}, nil
		}
	case <-ctx.Done():
	}
	x.Body.Close()
	cancel(nil)
	return nil, &CallError{Outcome: contract.Unknown, Err: contract.Fail(contract.StepSend, string(call.Upstream), context.Cause(ctx))}
}

func (c *Client) do(ctx context.Context, call Call, body *gatedBody, method, path string) (*http.Response, *CallError) {
	req, err := http.NewRequestWithContext(ctx, method, call.URL+path, body)
	if err != nil {
		return nil, &CallError{Outcome: contract.NotRun, Err: err}
	}
	req.ContentLength = int64(len(call.Body))
	if len(call.Body) == 0 {
		// A call without a body is complete with its head: ask before that.
		req.Body = nil
		if _, err := body.Read(nil); err != nil && err != io.EOF {
			return nil, &CallError{Outcome: contract.NotRun, Err: err}
		}
	}
	setHeaders(req, call)
	resp, err := c.http.Do(req)
	if err != nil {
		if denied := body.denied.Load(); denied != nil {
			err = *denied
		} else if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &CallError{Outcome: body.outcome(), Err: contract.Fail(contract.StepSend, string(call.Upstream), err)}
	}
	if failed := checkHead(call, resp); failed != nil {
		resp.Body.Close()
		return nil, failed
	}
	return resp, nil
}

func setHeaders(req *http.Request, call Call) {
	req.Header.Set("Content-Type", cmp.Or(call.ContentType, "application/json"))
	req.Header.Set(HeaderRequest, string(call.RequestID))
	if !call.NotAfter.IsZero() {
		req.Header.Set(HeaderNotAfter, call.NotAfter.UTC().Format(time.RFC3339Nano))
	}
	if call.LastEvent != "" {
		req.Header.Set(HeaderLastEvent, call.LastEvent)
	}
}

// checkHead checks the status and that the answer is to this request.
//
// 429 and 503 are an engine's words for "refused before it was queued", by its
// protocol, so they prove that nothing ran. Every other error proves nothing.
func checkHead(call Call, resp *http.Response) *CallError {
	fail := func(o contract.Outcome, err error) *CallError {
		after, unread := exchange.RetryAfter(resp.Header, time.Now())
		return &CallError{Outcome: o, Err: contract.Fail(contract.StepAnswer, string(call.Upstream), err), RetryAfter: after, Unread: unread}
	}
	if got := resp.Header.Get(HeaderRequest); got != "" && got != string(call.RequestID) {
		return fail(contract.Unknown, ErrCrossed)
	}
	if call.AnyStatus {
		return nil
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return fail(contract.NotRun, fmt.Errorf("upstream refused with status %d", resp.StatusCode))
	case http.StatusNotFound, http.StatusBadRequest:
		return fail(contract.NotRun, fmt.Errorf("upstream refused with status %d", resp.StatusCode))
	}
	return fail(contract.Unknown, fmt.Errorf("upstream answered with status %d", resp.StatusCode))
}

// Answer is a whole answer, as it came and as far as it is read.
type Answer struct {
	Body       []byte
	Completion Completion
}

// Chat sends a chat request and returns its whole answer. The answer is
// checked: its length, that it belongs to the call, and its version.
func (c *Client) Chat(ctx context.Context, call Call) (*Answer, error) {
	x, failed := c.send(ctx, call, http.MethodPost, PathChat)
	if failed != nil {
		return nil, failed
	}
	defer x.close()
	resp := x.resp
	fail := func(o contract.Outcome, err error) error {
		return &CallError{Outcome: o, Err: contract.Fail(contract.StepAnswer, string(call.Upstream), err)}
	}
	if resp.Header.Get(HeaderRequest) == "" {
		return nil, fail(contract.Ran, ErrCrossed)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(maxAnswer)+1))
	if err != nil {
		return nil, fail(contract.Ran, errors.Join(ErrTruncated, err))
	}
	if contract.Bytes(len(body)) > maxAnswer {
		return nil, fail(contract.Ran, ErrTooLarge)
	}
	a := &Answer{Body: body}
	if err := json.Unmarshal(body, &a.Completion); err != nil {
		return nil, fail(contract.Ran, errors.Join(ErrMalformed, err))
	}
	if a.Completion.Model != string(call.Version) {
		return nil, fail(contract.Ran, ErrWrongVersion)
	}
	if len(a.Completion.Choices) == 0 || a.Completion.Choices[0].FinishReason == "" {
		return nil, fail(contract.Ran, ErrTruncated)
	}
	return a, nil
}
