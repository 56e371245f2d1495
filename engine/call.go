package engine

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"woaddoor/contract"
	"woaddoor/exchange"
	"woaddoor/memory"
)

// Call describes one request to one upstream.
type Call struct {
	URL       string
	Upstream  contract.UpstreamID
	RequestID contract.RequestID
	// Version is the model version that the body requests. The response must name
	// the same version.
	Version contract.VersionID
	Body    []byte
	// ContentType is the media type of the body. Empty means application/json.
	ContentType string
	// AcceptAnyStatus makes a response with any status count as the upstream's own response.
	// Otherwise a status other than 200 fails the call. CallPlain sets AcceptAnyStatus.
	AcceptAnyStatus bool
	// CheckPermission is called immediately before the first byte of the body is sent, and
	// again after the last byte was written. An error cancels the call. A nil
	// function permits every call.
	CheckPermission func() error
	// NotAfter is the time until which the upstream may start the request.
	// NotAfter is sent as a header. If NotAfter is zero, no such header is sent.
	NotAfter time.Time
	// LastEventID is the id of the event after which the stream is resumed.
	// An empty id starts a new stream.
	LastEventID string
}

// CallError reports that a call returned no complete and valid response, and what
// is known about whether the upstream executed the request.
type CallError struct {
	Outcome contract.Outcome
	Err     error
	// RetryAfter is how long the upstream asked clients to wait before the next request.
	// Zero means that the upstream did not ask for a pause.
	RetryAfter time.Duration
	// RetryAfterErr is the error if the Retry-After header could not be parsed.
	RetryAfterErr error
}

// Error formats the wrapped error and the outcome.
func (e *CallError) Error() string { return fmt.Sprintf("%v (%s)", e.Err, e.Outcome) }

// Unwrap returns the wrapped error.
func (e *CallError) Unwrap() error { return e.Err }

// Reasons for rejecting a response. Clients see these texts in problem documents.
var (
	ErrMismatchedResponse = errors.New("answer belongs to another request")
	ErrWrongVersion       = errors.New("answer comes from another version")
	ErrTruncated          = errors.New("answer ends early")
	ErrTooLarge           = errors.New("answer is larger than the limit")
	ErrMalformed          = errors.New("answer is malformed")
)

// maxResponseBytes limits the size of a response that is not streamed.
const maxResponseBytes = 8 * contract.MiB

// Client sends requests to upstreams over pooled connections.
type Client struct{ http *http.Client }

// Limits and timeouts of the connection pool of a Client.
const (
	dialTimeout         = 2 * time.Second
	maxIdleConnsPerHost = 64
	idleConnTimeout     = 90 * time.Second
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 64 * contract.KiB
)

// NewClient returns a client with a connection pool of its own.
//
// The client never sends an Idempotency-Key header to an upstream:
// net/http treats a request with that header as safe to repeat and may send the request twice.
func NewClient() *Client {
	transport := &http.Transport{
		DialContext:            dial,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: int64(maxHeadBytes),
	}
	return &Client{http: &http.Client{Transport: transport, CheckRedirect: stopAtRedirect}}
}

// dial opens a connection on which a response that was cut by a reset does not look complete.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return exchange.NewCheckedConn(c), nil
}

// stopAtRedirect returns a redirect as the response instead of following it, because
// a request must not leave the upstream that was selected for it.
func stopAtRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// permittedBody is a request body that can be read once, and only if checkPermission allows it.
// net/http cannot send a complete request before it has read the body,
// so the request provably did not run if no byte of the body was read.
type permittedBody struct {
	checkPermission func() error
	reader          *bytes.Reader
	started         atomic.Bool
	denial          atomic.Pointer[error]
}

func (b *permittedBody) Read(p []byte) (int, error) {
	if b.checkPermission != nil && !b.started.Load() {
		if err := b.checkPermission(); err != nil {
			b.denial.Store(&err)
			return 0, err
		}
	}
	b.started.Store(true)
	return b.reader.Read(p)
}

func (b *permittedBody) Close() error { return nil }

// outcome returns the outcome of a call that got no response.
func (b *permittedBody) outcome() contract.Outcome {
	if b.started.Load() {
		return contract.OutcomeUnknown
	}
	return contract.OutcomeNotRun
}

// openResponse is a response whose headers have arrived. close closes its body and
// cancels the context of the call.
type openResponse struct {
	resp   *http.Response
	cancel context.CancelCauseFunc
}

func (r *openResponse) close() {
	r.resp.Body.Close()
	r.cancel(nil)
}

// send sends the call and returns the response once its headers have arrived and the
// permission was checked again after the request was written.
func (c *Client) send(ctx context.Context, call Call, method, path string) (*openResponse, *CallError) {
	ctx, cancel := context.WithCancelCause(ctx)
	body := &permittedBody{checkPermission: call.CheckPermission, reader: bytes.NewReader(call.Body)}
	writeChecked := make(chan error, 1)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) {
		// The VM may have been paused between the first check and the write, so the
		// permission is checked again.
		var err error
		if call.CheckPermission != nil {
			err = call.CheckPermission()
		}
		if err != nil {
			cancel(err)
		}
		select {
		case writeChecked <- err:
		default: // net/http has retried the request on a new connection
		}
	}})
	resp, callErr := c.roundTrip(ctx, call, body, method, path)
	if callErr != nil {
		cancel(nil)
		return nil, callErr
	}
	// The response may arrive before WroteRequest has run.
	// Wait for the permission check in WroteRequest before using the response.
	select {
	case err := <-writeChecked:
		if err == nil {
			return &openResponse{resp, cancel}, nil
		}
	case <-ctx.Done():
	}
	resp.Body.Close()
	cancel(nil)
	return nil, &CallError{Outcome: contract.OutcomeUnknown, Err: contract.WrapStep(contract.StepSend, string(call.Upstream), context.Cause(ctx))}
}

// roundTrip sends the request, reads the headers of the response and checks them.
func (c *Client) roundTrip(ctx context.Context, call Call, body *permittedBody, method, path string) (*http.Response, *CallError) {
	req, err := http.NewRequestWithContext(ctx, method, call.URL+path, body)
	if err != nil {
		return nil, &CallError{Outcome: contract.OutcomeNotRun, Err: err}
	}
	req.ContentLength = int64(len(call.Body))
	if len(call.Body) == 0 {
		// A request without a body is complete once its headers are sent,
		// so the permission is checked before the headers are sent.
		req.Body = nil
		if _, err := body.Read(nil); err != nil && err != io.EOF {
			return nil, &CallError{Outcome: contract.OutcomeNotRun, Err: err}
		}
	}
	setHeaders(req, call)
	resp, err := c.http.Do(req)
	if err != nil {
		if denial := body.denial.Load(); denial != nil {
			err = *denial
		} else if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &CallError{Outcome: body.outcome(), Err: contract.WrapStep(contract.StepSend, string(call.Upstream), err)}
	}
	if callErr := checkResponseHead(call, resp); callErr != nil {
		resp.Body.Close()
		return nil, callErr
	}
	return resp, nil
}

func setHeaders(req *http.Request, call Call) {
	req.Header.Set("Content-Type", cmp.Or(call.ContentType, "application/json"))
	req.Header.Set(HeaderRequestID, string(call.RequestID))
	if !call.NotAfter.IsZero() {
		req.Header.Set(HeaderNotAfter, call.NotAfter.UTC().Format(time.RFC3339Nano))
	}
	if call.LastEventID != "" {
		req.Header.Set(HeaderLastEventID, call.LastEventID)
	}
}

// checkResponseHead checks the status of the response, and checks that the response belongs to the
// request of this call.
//
// By the engine protocol, 429 and 503 mean that the engine refused the request before it was
// queued, so these statuses prove that the request did not run.
// The statuses 404 and 400 prove the same. Any other error status proves nothing about whether the
// request ran.
func checkResponseHead(call Call, resp *http.Response) *CallError {
	fail := func(o contract.Outcome, err error) *CallError {
		retryAfter, parseErr := exchange.RetryAfter(resp.Header, time.Now())
		return &CallError{Outcome: o, Err: contract.WrapStep(contract.StepAnswer, string(call.Upstream), err), RetryAfter: retryAfter, RetryAfterErr: parseErr}
	}
	if echoed := resp.Header.Get(HeaderRequestID); echoed != "" && echoed != string(call.RequestID) {
		return fail(contract.OutcomeUnknown, ErrMismatchedResponse)
	}
	if err := exchange.CheckStatus(resp.StatusCode); err != nil {
		return fail(contract.OutcomeUnknown, err)
	}
	if call.AcceptAnyStatus {
		return nil
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return fail(contract.OutcomeNotRun, fmt.Errorf("upstream refused with status %d", resp.StatusCode))
	case http.StatusNotFound, http.StatusBadRequest:
		return fail(contract.OutcomeNotRun, fmt.Errorf("upstream refused with status %d", resp.StatusCode))
	}
	return fail(contract.OutcomeUnknown, fmt.Errorf("upstream answered with status %d", resp.StatusCode))
}

// ChatResponse is a complete chat response: its body as received, and the decoded fields.
type ChatResponse struct {
	Body       []byte
	Completion ChatCompletion
}

// Chat sends a chat request and returns the complete response. It rejects a response
// that is too large, malformed or truncated, that belongs to another request, or that
// comes from another model version.
func (c *Client) Chat(ctx context.Context, call Call) (*ChatResponse, error) {
	open, callErr := c.send(ctx, call, http.MethodPost, PathChat)
	if callErr != nil {
		return nil, callErr
	}
	defer open.close()
	resp := open.resp
	fail := func(o contract.Outcome, err error) error {
		return &CallError{Outcome: o, Err: contract.WrapStep(contract.StepAnswer, string(call.Upstream), err)}
	}
	if resp.Header.Get(HeaderRequestID) == "" {
		return nil, fail(contract.OutcomeRan, ErrMismatchedResponse)
	}
	body, err := readResponse(ctx, resp)
	if err != nil {
		return nil, fail(contract.OutcomeRan, err)
	}
	answer := &ChatResponse{Body: body}
	if err := json.Unmarshal(body, &answer.Completion); err != nil {
		return nil, fail(contract.OutcomeRan, errors.Join(ErrMalformed, err))
	}
	if answer.Completion.Model != string(call.Version) {
		return nil, fail(contract.OutcomeRan, ErrWrongVersion)
	}
	if len(answer.Completion.Choices) == 0 || answer.Completion.Choices[0].FinishReason == "" {
		return nil, fail(contract.OutcomeRan, ErrTruncated)
	}
	return answer, nil
}

// readResponse reads a response that is not streamed, into memory that the request in ctx holds.
func readResponse(ctx context.Context, resp *http.Response) ([]byte, error) {
	body, err := memory.ReadAll(resp.Body, int64(maxResponseBytes), resp.ContentLength, memory.FromContext(ctx), time.Now)
	switch {
	case errors.Is(err, memory.ErrTooLarge):
		return nil, ErrTooLarge
	case errors.Is(err, memory.ErrNoRoom):
		return nil, err
	case err != nil:
		return nil, errors.Join(ErrTruncated, err)
	}
	return body, nil
}
