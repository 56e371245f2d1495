package relay

import (
	"context"
	"errors"
	"net/http"

	"woaddoor/contract"
	"woaddoor/memory"
	"woaddoor/upstream"
)

// maxBufferedAnswer is the largest answer that is buffered before it is delivered, in bytes.
const maxBufferedAnswer = 8 << 20

// Errors of answers that are not buffered to their end.
var (
	// errAnswerTooLong means that an answer exceeds maxBufferedAnswer.
	errAnswerTooLong = errors.New("answer is longer than 8 MiB")
	// errNoMemory means that there is no room for an answer beside what other requests hold.
	errNoMemory = errors.New("no memory for the answer")
)

// serveBuffered answers a request with one complete answer.
// The answer is buffered to its end,
// so that a broken answer can be retried or reported as an error.
func (r *Relay) serveBuffered(ctx context.Context, j *job, c Caller) (RequestEnd, *contract.Refusal) {
	var failure *ResponseHead // most recent answer with an error status
	var failureBody []byte
	for {
		e, refused := r.selectUpstream(j)
		if refused != nil && failure != nil {
			return r.deliver(j, c, failure, failureBody)
		}
		if refused != nil {
			return Refused, refused
		}
		head, body, err := r.attemptBuffered(ctx, j, e)
		if err == nil && !head.NotRun {
			j.giveAnswer(failureBody)
			failure, failureBody = head, body
		}
		if err == nil && head.isFinal(j) {
			return r.deliver(j, c, head, body)
		}
		if ctx.Err() != nil {
			return r.contextEnd(ctx, j)
		}
		if reason := r.checkRetry(j, j.Route.Repeatable()); reason != "" {
			if failure != nil {
				return r.deliver(j, c, failure, failureBody)
			}
			return Refused, r.refuseAfterFailures(j, reason, err)
		}
		r.recordRetry(j, err)
	}
}

// isFinal reports whether an answer goes to the caller even if the request could be sent again.
func (h *ResponseHead) isFinal(j *job) bool {
	return !h.NotRun && (!h.isFailure() || !j.Route.Repeatable())
}

// isSuccess reports whether the answer is a successful one.
func (h *ResponseHead) isSuccess() bool {
	return h.Status >= http.StatusOK && h.Status < http.StatusMultipleChoices
}

// deliver sends a complete answer of an upstream to the caller, or refuses the request if the status of the answer would
// promise that the request has not run.
func (r *Relay) deliver(j *job, c Caller, h *ResponseHead, body []byte) (RequestEnd, *contract.Refusal) {
	if h.promisesNotRun() {
		return Refused, refuseUnprovenPromise(j, h)
	}
	j.status = h.Status
	if err := c.SendResponse(h, body); err != nil {
		return CallerGone, nil
	}
	return Delivered, nil
}

// contextEnd returns how a request ends after its context was canceled,
// because the caller disconnected, the deadline passed or this VM stops.
func (r *Relay) contextEnd(ctx context.Context, j *job) (RequestEnd, *contract.Refusal) {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errDeadline):
		return Refused, refuseDeadline(j)
	case errors.Is(cause, errStopping):
		return Refused, refuseStopping(j)
	}
	return CallerGone, nil
}

// errUnsigned means that a successful answer lacks the upstream's signature.
var errUnsigned = errors.New("answer lacks the upstream's signature")

// Limits of the account of a relay that is given none, in bytes: all answers that are buffered at a time, and the part
// of each that does not count.
const (
	maxBufferedTotal   = 32 << 20
	freeBufferedAnswer = 64 << 10
)

// OpenHolder returns a holder for a request that did not come on a connection of a caller. It does not give way before
// it writes an answer that its receiver does not take.
func (r *Relay) OpenHolder() *memory.Holder {
	now := r.opts.Now()
	h := r.opts.Memory.Open(func(memory.Phase) {}, now)
	h.Enter(memory.Running, now)
	return h
}

// giveAnswer gives back the memory of an answer that is not delivered.
func (j *job) giveAnswer(body []byte) { j.Memory.Give(contract.Bytes(cap(body))) }

// readAnswer reads an answer to its end, into memory that the request holds until it ends. It returns
// errAnswerTooLong or errNoMemory if the answer is not read to its end.
func (r *Relay) readAnswer(a *attempt, held *memory.Holder) ([]byte, error) {
	body, err := memory.ReadAll(a.answer, maxBufferedAnswer, memory.UnknownLength, held, r.opts.Now)
	switch {
	case errors.Is(err, memory.ErrTooLarge):
		return nil, errAnswerTooLong
	case errors.Is(err, memory.ErrNoRoom):
		return nil, errNoMemory
	}
	return body, err
}

// errNotRun means that the upstream rejected the request without executing it.
var errNotRun = errors.New("upstream did not run the request")

// attemptBuffered makes one attempt and reads the answer to its end.
func (r *Relay) attemptBuffered(ctx context.Context, j *job, e upstream.Entry) (*ResponseHead, []byte, error) {
	began := r.opts.Now()
	a, err := r.send(ctx, j, e, r.firstAnswerTimeout(j))
	if err != nil {
		r.recordSendFailure(j, err, began)
		return nil, nil, err
	}
	defer r.closeAttempt(j, a)
	body, err := r.readAnswer(a, j.Memory)
	return a.head, body, r.recordAnswer(j, a, err)
}

// recordAnswer records the end of an attempt whose answer is not an event stream.
func (r *Relay) recordAnswer(j *job, a *attempt, err error) error {
	took := r.opts.Now().Sub(a.startedAt)
	h := a.head
	result := upstream.Failed
	switch {
	case errors.Is(err, errAnswerTooLong):
	case errors.Is(err, errNoMemory): // no fault of the upstream
		result = upstream.Abandoned
	case err != nil:
		result = upstream.Broken
	case h.NotRun:
		r.recordAttemptEnd(j, a.entry, upstream.Rejected, took)
		j.recordFailure(contract.OutcomeNotRun, true)
		return nil
	case h.Status < http.StatusMultipleChoices && !h.Signed:
		err = errUnsigned
	case h.isFailure():
		r.recordAttemptEnd(j, a.entry, upstream.Failed, took)
		j.recordFailure(contract.OutcomeRan, true)
		return nil
	default:
		r.observeFirstAnswer(j)
		r.observeLatency(j, took)
		r.observeDuration(j, a)
		j.firstAnswerAt = r.opts.Now()
		j.recordExecution()
		r.recordAttemptEnd(j, a.entry, upstream.Succeeded, took)
		r.recordSurvival(j, a)
		return nil
	}
	r.recordAttemptEnd(j, a.entry, result, took)
	j.recordFailure(contract.OutcomeRan, true)
	return err
}

// recordRetry counts a retry and logs the reason for it.
func (r *Relay) recordRetry(j *job, err error) {
	r.Metrics.retries.Inc(1)
	r.logRetry(j, err)
}
