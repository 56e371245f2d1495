package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"woaddoor/clock"
	"woaddoor/config"
	"woaddoor/contract"
	"woaddoor/engine"
	"woaddoor/logs"
	"woaddoor/permit"
	"woaddoor/retry"
	"woaddoor/upstream"
)

// checkPermit checks against the current configuration whether the job may start work.
// checkPermit returns nil when the job may start.
func (s *Server) checkPermit(j *job) *contract.Refusal {
	v := s.view.Load()
	w, ok := v.snapshot.Config.Workspaces[j.chat.workspace.ID]
	if !ok || w.KeyHash != j.chat.workspace.KeyHash {
		return newRefusal(contract.RefusedUnknownKey, contract.OutcomeNotRun, contract.StepPermit, "the workspace was removed or its key changed")
	}
	return permit.Check(v.snapshot, w, j.version, j.kind, s.clock.Now())
}

// engineCall builds the call that sends a job to its upstream. The engine client calls CheckPermission
// immediately before it writes to the connection, even if the permission was checked earlier.
func (s *Server) engineCall(j *job, url string) engine.Call {
	return engine.Call{
		URL: url, Upstream: j.upstream, RequestID: j.chat.id, Version: j.version, Body: j.body,
		CheckPermission: func() error {
			if refused := s.checkPermit(j); refused != nil {
				return refused
			}
			return nil
		},
		NotAfter: s.view.Load().snapshot.NotAfter(j.version),
	}
}

// pickEngine selects an engine for a job, counts the request as sent to it and returns its URL.
func (s *Server) pickEngine(j *job) (string, *contract.Refusal) {
	q := upstream.Query{
		Kind: config.EnginePool, DataCentre: s.opts.Settings.DataCentre,
		Version: j.version, Prefix: j.chat.prefix, Exclude: j.excluded,
	}
	withFailed := q
	withFailed.Exclude = nil // an engine that failed an earlier attempt is better than no engine
	return s.pickUpstream(j, fmt.Sprintf("no upstream holds %s and answers", j.version), q, withFailed)
}

// pickUpstream tries the queries in order, selects the first upstream found and counts the job's request
// as sent to that upstream. If no upstream is found,
// pickUpstream returns a refusal with the given detail.
func (s *Server) pickUpstream(j *job, detail string, queries ...upstream.Query) (string, *contract.Refusal) {
	url := ""
	err := upstream.ErrNone
	s.locked(func() {
		for _, q := range queries {
			if j.upstream, err = s.upstreams.Pick(q, s.clock.Now(), s.random); err == nil {
				s.upstreams.RecordSent(j.upstream)
				url = s.upstreams.URL(j.upstream)
				return
			}
		}
	})
	if err != nil {
		r := newRefusal(contract.RefusedNoUpstream, j.outcome, contract.StepPick, detail)
		return "", r.WithRetryAfter(noUpstreamRetryAfter)
	}
	return url, nil
}

// noUpstreamRetryAfter is the Retry-After sent when no upstream is available.
const noUpstreamRetryAfter = 2 * time.Second

// recordAttemptEnd updates the upstream's state with the result of an attempt that began at startedAt.
func (s *Server) recordAttemptEnd(ctx context.Context, j *job, startedAt time.Time, err error) {
	result := upstream.Succeeded
	var refused *contract.Refusal
	backoff := s.requestedBackoff(j, err)
	switch {
	case err == nil:
	case errors.As(err, &refused), ctx.Err() != nil:
		result = upstream.Abandoned // the router or the caller ended the attempt: not a fault of the upstream
	case backoff > 0:
		result = upstream.Rejected // the upstream is healthy and has sent a Retry-After
	default:
		result = upstream.Failed
	}
	now := s.clock.Now()
	s.locked(func() {
		s.upstreams.ApplyNotices(s.upstreams.Instance(j.upstream), upstream.Notices{Backoff: backoff}, now)
		s.upstreams.RecordDone(j.upstream, result, now.Sub(startedAt), now)
	})
	if errors.Is(err, engine.ErrWrongVersion) || errors.Is(err, engine.ErrMismatchedResponse) {
		s.metrics.wrongAnswers.Inc(1)
	}
}

// requestedBackoff returns how long an engine that refused a job asks this VM to send it no
// requests. The back-off is zero if the engine does not ask for one.
// A response header that cannot be parsed is logged.
func (s *Server) requestedBackoff(j *job, err error) time.Duration {
	var ce *engine.CallError
	if !errors.As(err, &ce) {
		return 0
	}
	if ce.RetryAfterErr != nil {
		s.log.Warn("word-not-understood", zap.String("upstream", string(j.upstream)), zap.String("request", string(j.chat.id)), zap.Error(ce.RetryAfterErr))
	}
	backoff := min(ce.RetryAfter, upstream.DefaultMaxBackoff)
	if backoff > 0 {
		s.log.Info("upstream-rests", zap.String("upstream", string(j.upstream)), zap.String("request", string(j.chat.id)), zap.Duration("for", backoff))
	}
	return backoff
}

// answerWithRetries sends the job to engines until one returns a complete answer or no retry is allowed.
func (s *Server) answerWithRetries(ctx context.Context, j *job) (*engine.ChatResponse, *contract.Refusal) {
	s.locked(s.retryBudget.RecordFirstAttempt)
	for attempt := 1; ; attempt++ {
		if refused := s.checkPermit(j); refused != nil {
			refused.Outcome = j.outcome
			return nil, refused
		}
		url, refused := s.pickEngine(j)
		if refused != nil {
			return nil, refused
		}
		startedAt := s.clock.Now()
		a, err := s.engine.Chat(ctx, s.engineCall(j, url))
		s.recordAttemptEnd(ctx, j, startedAt, err)
		s.recordFailure(j, err)
		if err == nil {
			return a, nil
		}
		if ctx.Err() != nil {
			go s.cancelAtEngine(url, j.chat.id)
		}
		if refused := s.prepareRetry(ctx, j, attempt, err, s.clock.Now().Sub(startedAt)); refused != nil {
			return nil, refused
		}
	}
}

// cancelTimeout bounds the call that asks an engine to cancel an abandoned request.
const cancelTimeout = time.Second

// cancelAtEngine asks an engine to stop working on a request that its caller has abandoned.
// The call is best effort: the request may have run already, and if the call is lost,
// the engine only wastes work.
func (s *Server) cancelAtEngine(url string, id contract.RequestID) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := s.engine.Cancel(ctx, url, id); err != nil {
		s.log.Debug("cancel-failed", logs.ErrorFields(err)...)
	}
}

// prepareRetry decides whether to retry a job after err.
// If the job may be attempted again, prepareRetry returns nil after the backoff pause.
// Otherwise it returns the final refusal for the caller.
func (s *Server) prepareRetry(ctx context.Context, j *job, attempt int, err error, elapsed time.Duration) *contract.Refusal {
	j.mergeOutcome(err)
	var decision retry.Decision
	s.locked(func() {
		decision = s.retryBudget.TryRetry(retry.Attempt{
			Number: attempt, Outcome: j.outcome, Repeatable: j.chat.repeatable,
			Deadline: j.chat.deadline, ExpectedDuration: elapsed / 2,
		}, s.clock.Now(), s.random)
	})
	if !decision.Retry || ctx.Err() != nil {
		return s.finalRefusal(j, err, decision.Reason)
	}
	s.metrics.retries.Inc(1)
	j.excluded = append(j.excluded, j.upstream)
	clock.Sleep(ctx, decision.Pause)
	return nil
}

// mergeOutcome combines the outcome of a failed attempt with the outcome of the job so far.
func (j *job) mergeOutcome(err error) {
	outcome := contract.OutcomeUnknown
	var ce *engine.CallError
	if errors.As(err, &ce) {
		outcome = ce.Outcome
	}
	if !j.attempted {
		j.attempted, j.outcome = true, outcome
		return
	}
	j.outcome = j.outcome.Combine(outcome)
}

// upstreamRetryAfter is the Retry-After sent when an upstream failed and the request may be sent again.
const upstreamRetryAfter = time.Second

// finalRefusal returns the refusal for a request whose attempts have all failed.
func (s *Server) finalRefusal(j *job, err error, why retry.Reason) *contract.Refusal {
	var refused *contract.Refusal
	if errors.As(err, &refused) {
		refused.Outcome = j.outcome
		return refused
	}
	r := newRefusal(contract.RefusedUpstreamFailed, j.outcome, contract.StepSend, fmt.Sprintf("%v; not tried again: %s", publicError(err), why))
	r.Peer = string(j.upstream)
	if j.chat.repeatable || j.outcome == contract.OutcomeNotRun {
		r.RetryAfter = upstreamRetryAfter
	}
	return r
}

// publicError reduces an upstream's failure to the kind of failure,
// so that callers see no internal addresses.
func publicError(err error) error {
	for _, known := range []error{engine.ErrMismatchedResponse, engine.ErrWrongVersion, engine.ErrTruncated, engine.ErrTooLarge, engine.ErrMalformed, context.DeadlineExceeded} {
		if errors.Is(err, known) {
			return known
		}
	}
	return errors.New("upstream failed")
}
