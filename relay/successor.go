package relay

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/exchange"
	"woaddoor/upstream"
)

// maxOverlap limits how long two upstreams work on the same request:
// it is the time from sending the next attempt until the silent attempt is ended.
// An upstream that rejects a request does so within the network delay.
const maxOverlap = 200 * time.Millisecond

// outgoing is the exchange of one attempt with its upstream, up to the head of the answer.
type outgoing struct {
	ctx       context.Context
	cancel    context.CancelCauseFunc
	pool      *exchange.Pool
	request   *exchange.Request
	startedAt time.Time

	// held is what the request holds for the head of the answer.
	held contract.Bytes

	// The fields below are set by exchange.
	answer *exchange.Response
	head   *ResponseHead
	err    error
}

// newOutgoing prepares the attempt of a job at an upstream.
func (r *Relay) newOutgoing(ctx context.Context, j *job, e upstream.Entry) *outgoing {
	now := r.opts.Now()
	send := Send{Upstream: e, Model: j.model, Remaining: r.attemptDeadline(j).Sub(now)}
	if j.resumes {
		last := j.lastEvent
		send.LastEvent, send.WeightsVersion = &last, j.weightsVersion
	}
	request := r.opts.Protocol.Encode(j.Request, send)
	if !j.Route.Repeatable() {
		request.MaxIdle = maxIdleUnrepeatable
	}
	ctx, cancel := context.WithCancelCause(ctx)
	return &outgoing{ctx: ctx, cancel: cancel, pool: r.connectionPool(e), request: request, startedAt: now}
}

// exchange sends the request and waits for the head of the answer.
// The function markSent is called before the first byte is sent, and its error prevents the send.
func (o *outgoing) exchange(r *Relay, j *job, e upstream.Entry, markSent func() error) {
	o.request.BeforeSend = func() error {
		if err := r.checkStillAvailable(j, e); err != nil {
			return err
		}
		return markSent()
	}
	o.request.HoldHead = func(n contract.Bytes) error {
		if !j.Memory.Take(n, r.opts.Now()) {
			return errNoMemory
		}
		o.held += n
		return nil
	}
	o.answer, o.err = o.pool.Do(o.ctx, o.request, func(h http.Header) bool { return r.opts.Protocol.Matches(j.Request, h) })
	if o.err != nil {
		j.Memory.Give(o.held)
		return
	}
	o.head = r.opts.Protocol.Decode(o.answer.Status, o.answer.Header)
}

// answers reports whether the attempt has received an answer that can be forwarded to the caller.
// The argument resumes is set if the attempt resumes a stream.
func (o *outgoing) answers(resumes bool) bool {
	if o.err != nil || o.head.NotRun || o.head.isFailure() {
		return false
	}
	signed := o.head.Signed || o.head.Status >= http.StatusMultipleChoices
	return signed && (!resumes || o.head.Status == http.StatusOK)
}

// successor is the next attempt of a request, sent while the current attempt is silent.
// The current attempt is ended once the successor is accepted or maxOverlap has passed.
// Until then a rejected successor leaves the current attempt as it is,
// so that the caller does not lose an answer on which an upstream still works.
type successor struct {
	outgoing
	// job is the state of the request during the attempt.
	// Until done is closed, only the attempt's goroutine uses it.
	job  job
	done chan struct{} // closed once the exchange has ended
	// sent is set once an upstream may have received the attempt.
	sent atomic.Bool

	// The fields below are guarded by the watchdog's mutex.
	sentAt time.Time
	// taken is set once the attempt is the next attempt of the request in any case.
	// dropped is set once the attempt is not wanted.
	taken, dropped bool
}

// failedSuccessor is a successor that was rejected or dropped.
type failedSuccessor struct {
	upstream contract.UpstreamID
	outcome  contract.Outcome
	sent     bool // an upstream may have received the attempt
}

// startSuccessor sends the reserved attempt while the current one goes on. The caller holds mu.
func (w *silenceWatchdog) startSuccessor(next *reservation) {
	s := &successor{job: w.job, done: make(chan struct{})}
	s.job.selection, s.job.resendTaken, s.job.reserved, s.job.attempts, s.job.unsettled = next.selection, next.resend, nil, nil, nil
	s.outgoing = *w.relay.newOutgoing(w.ctx, &s.job, next.lastUpstream)
	next.successor, w.pending = s, next
	w.job.spareResend = false
	go func() {
		s.exchange(w.relay, &s.job, s.job.lastUpstream, func() error { return w.markSuccessorSent(s) })
		close(s.done)
		w.settle(s)
	}()
}

// markSuccessorSent records that an upstream may receive the successor from now on.
func (w *silenceWatchdog) markSuccessorSent(s *successor) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.ctx.Err() != nil {
		return errSilent
	}
	s.sent.Store(true)
	s.sentAt = w.relay.opts.Now()
	if !w.done {
		w.timer.Reset(maxOverlap)
	}
	return nil
}

// settle ends the current attempt if its successor has been accepted, and keeps it otherwise.
func (w *silenceWatchdog) settle(s *successor) {
	w.mu.Lock()
	switch {
	case s.dropped:
		w.mu.Unlock()
		w.relay.abandonSuccessor(s)
		return
	case s.taken:
		w.mu.Unlock()
		return
	case s.answers(s.job.resumes):
		w.endAttempt(w.pending)
		w.mu.Unlock()
		return
	}
	sent, outcome := s.sent.Load(), contract.OutcomeUnknown
	if !sent || s.head != nil && s.head.NotRun {
		outcome = contract.OutcomeNotRun
	}
	w.recordFailed(failedSuccessor{w.pending.lastUpstream.ID, outcome, sent})
	w.job.spareResend = w.pending.resend && !sent
	w.pending = nil
	w.timer.Reset(recheckInterval)
	w.mu.Unlock()
	w.relay.recordRejectedSuccessor(s)
}

// recordFailed records a successor that is not the next attempt of the request.
// The caller holds mu.
func (w *silenceWatchdog) recordFailed(f failedSuccessor) {
	w.failed = append(w.failed, f)
	w.job.recordFailedSuccessor(f)
}

// checkPending ends the current attempt once its successor was sent maxOverlap ago.
// The caller holds mu.
func (w *silenceWatchdog) checkPending(now time.Time) {
	s := w.pending.successor
	if s.sentAt.IsZero() {
		w.timer.Reset(recheckInterval) // the connection attempt has a time limit of its own
		return
	}
	if wait := maxOverlap - now.Sub(s.sentAt); wait > 0 {
		w.timer.Reset(wait)
		return
	}
	w.endAttempt(w.pending)
}

// dropPending cancels a successor that is not needed because the current attempt goes on.
// The caller holds mu.
func (w *silenceWatchdog) dropPending() {
	if w.pending == nil {
		return
	}
	w.recordFailed(failedSuccessor{w.pending.lastUpstream.ID, contract.OutcomeUnknown, true})
	w.pending.successor.dropped = true
	w.pending.successor.cancel(context.Canceled)
	w.pending = nil
}

// recordFailedSuccessor adds a successor that was rejected or dropped to the state of the request.
func (j *job) recordFailedSuccessor(f failedSuccessor) {
	j.failures++
	if f.sent {
		j.sends++
	}
	j.execution.add(f.outcome)
	j.attempts = append(slices.Clip(j.attempts), endedAttempt{f.upstream, endNotAccepted})
	j.exclude = append(slices.Clip(j.exclude), f.upstream)
}

// recordRejectedSuccessor records the end of a successor that was rejected.
func (r *Relay) recordRejectedSuccessor(s *successor) {
	defer s.cancel(nil)
	defer r.settleTrial(&s.job)
	r.Metrics.successorsRejected.Inc(1)
	r.logRejectedSuccessor(s)
	if s.err != nil {
		r.recordSendFailure(&s.job, s.err, s.startedAt)
		return
	}
	a := r.acceptHead(&s.job, &s.outgoing, s.job.lastUpstream)
	defer a.close()
	switch {
	case !s.head.NotRun && s.head.Status < http.StatusMultipleChoices && !s.head.Signed:
		r.recordAttemptEnd(&s.job, a.entry, upstream.Failed, 0)
		return
	case !s.head.NotRun && !s.head.isFailure(): // no stream
		r.recordAttemptEnd(&s.job, a.entry, upstream.Rejected, 0)
		return
	}
	_, err := io.Copy(io.Discard, io.LimitReader(a.answer, maxBufferedAnswer)) // the connection can be reused
	if err = r.recordAnswer(&s.job, a, err); err != nil {
		r.log.Debug("rejection-not-read", zap.String("request", string(s.job.ID)), zap.Error(err))
	}
}

// abandonSuccessor releases a successor that was cancelled, after the end of its exchange.
func (r *Relay) abandonSuccessor(s *successor) {
	s.cancel(context.Canceled)
	<-s.done
	if s.answer != nil {
		s.answer.Close()
	}
	if !s.sent.Load() {
		r.releaseLimitClaim(&s.job)
		r.discardTrialAttempt(&s.job)
	}
	r.recordAttemptEnd(&s.job, s.job.lastUpstream, upstream.Abandoned, 0)
}
