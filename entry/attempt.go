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

// permitted checks, with what is known now, whether the job may start work.
func (s *Server) permitted(j *job) *contract.Refusal {
	v := s.view.Load()
	w, ok := v.know.Config.Workspaces[j.chat.workspace.ID]
	if !ok || w.KeyHash != j.chat.workspace.KeyHash {
		return refusal(contract.RefusedKey, contract.NotRun, contract.StepPermit, "the workspace was removed or its key changed")
	}
	return permit.Check(v.know, w, j.version, j.use, s.clock.Now())
}

// call returns the call of a job to its upstream. The permission is asked
// immediately before bytes go out, whatever was asked before.
func (s *Server) call(j *job, url string) engine.Call {
	return engine.Call{
		URL: url, Upstream: j.upstream, RequestID: j.chat.id, Version: j.version, Body: j.body,
		Permit: func() error {
			if refused := s.permitted(j); refused != nil {
				return refused
			}
			return nil
		},
		NotAfter: s.view.Load().know.NotAfter(j.version),
	}
}

// pick chooses an engine for a job and counts the request there.
func (s *Server) pick(j *job) (string, *contract.Refusal) {
	q := upstream.Query{
		Kind: config.EnginePool, DataCentre: s.opts.Settings.DataCentre,
		Version: j.version, Prefix: j.chat.prefix, Exclude: j.exclude,
	}
	anyOne := q
	anyOne.Exclude = nil // better one that failed once than none
	return s.choose(j, fmt.Sprintf("no upstream holds %s and answers", j.version), q, anyOne)
}

// choose picks the upstream by the first query that finds one, and counts the
// job's request there.
func (s *Server) choose(j *job, none string, queries ...upstream.Query) (string, *contract.Refusal) {
	url := ""
	err := upstream.ErrNone
	s.locked(func() {
		for _, q := range queries {
			if j.upstream, err = s.upstreams.Pick(q, s.clock.Now(), s.random); err == nil {
				s.upstreams.Sent(j.upstream)
				url = s.upstreams.URL(j.upstream)
				return
			}
		}
	})
	if err != nil {
		f := refusal(contract.RefusedNoUpstream, j.outcome, contract.StepPick, none)
		return "", f.WithRetryAfter(noUpstreamRetry)
	}
	return url, nil
}

// noUpstreamRetry is when a caller may come back when there is no upstream.
const noUpstreamRetry = 2 * time.Second

// ended tells the upstream's state how an attempt ended.
func (s *Server) ended(ctx context.Context, j *job, began time.Time, err error) {
	result := upstream.Good
	var refused *contract.Refusal
	rest := s.restAsked(j, err)
	switch {
	case err == nil:
	case errors.As(err, &refused), ctx.Err() != nil:
		result = upstream.Abandoned // our own doing or the caller's
	case rest > 0:
		result = upstream.TurnedAway // it is well, and says when it takes more
	default:
		result = upstream.Failed
	}
	now := s.clock.Now()
	s.locked(func() {
		s.upstreams.TakeWord(s.upstreams.Life(j.upstream), upstream.Said{Rest: rest}, now)
		s.upstreams.Done(j.upstream, result, now.Sub(began), now)
	})
	if errors.Is(err, engine.ErrWrongVersion) || errors.Is(err, engine.ErrCrossed) {
		s.metrics.wrongAnswers.Inc(1)
	}
}

// restAsked returns for how long an engine that has refused a job wants nothing more from
// this VM, and logs what of that cannot be understood.
func (s *Server) restAsked(j *job, err error) time.Duration {
	var ce *engine.CallError
	if !errors.As(err, &ce) {
		return 0
	}
	if ce.Unread != nil {
		s.log.Warn("word-not-understood", zap.String("upstream", string(j.upstream)), zap.String("request", string(j.chat.id)), zap.Error(ce.Unread))
	}
	rest := min(ce.RetryAfter, upstream.DefaultLongestRest)
	if rest > 0 {
		s.log.Info("upstream-rests", zap.String("upstream", string(j.upstream)), zap.String("request", string(j.chat.id)), zap.Duration("for", rest))
	}
	return rest
}

// attempts has the job answered whole, with retries.
func (s *Server) attempts(ctx context.Context, j *job) (*engine.Answer, *contract.Refusal) {
	s.locked(s.budget.First)
	for n := 1; ; n++ {
		if refused := s.permitted(j); refused != nil {
			refused.Outcome = j.outcome
			return nil, refused
		}
		url, refused := s.pick(j)
		if refused != nil {
			return nil, refused
		}
		began := s.clock.Now()
		a, err := s.engine.Chat(ctx, s.call(j, url))
		s.ended(ctx, j, began, err)
		s.observe(j, err)
		if err == nil {
			return a, nil
		}
		if ctx.Err() != nil {
			go s.cancelWork(url, j.chat.id)
		}
		if refused := s.again(ctx, j, n, err, s.clock.Now().Sub(began)); refused != nil {
			return nil, refused
		}
	}
}

// cancelTimeout bounds a word to an engine that nobody waits any more.
const cancelTimeout = time.Second

// cancelWork tells an engine that nobody waits for a request any more. It
// proves nothing, and when it is lost the engine has worked for nothing.
func (s *Server) cancelWork(url string, id contract.RequestID) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := s.engine.Cancel(ctx, url, id); err != nil {
		s.log.Debug("cancel-failed", logs.Failure(err)...)
	}
}

// again decides on another attempt after err, and waits out its pause. It
// returns the final answer when there is none.
func (s *Server) again(ctx context.Context, j *job, n int, err error, took time.Duration) *contract.Refusal {
	j.note(err)
	var d retry.Decision
	s.locked(func() {
		d = s.budget.Decide(retry.Attempt{
			Number: n, Outcome: j.outcome, Repeatable: j.chat.repeatable,
			Deadline: j.chat.deadline, Expected: took / 2,
		}, s.clock.Now(), s.random)
	})
	if !d.Again || ctx.Err() != nil {
		return s.gaveUp(j, err, d.Why)
	}
	s.metrics.retries.Inc(1)
	j.exclude = append(j.exclude, j.upstream)
	clock.Pause(ctx, d.Pause)
	return nil
}

// note takes the outcome of a failed attempt into that of the job.
func (j *job) note(err error) {
	outcome := contract.Unknown
	var ce *engine.CallError
	if errors.As(err, &ce) {
		outcome = ce.Outcome
	}
	if !j.tried {
		j.tried, j.outcome = true, outcome
		return
	}
	j.outcome = j.outcome.Worse(outcome)
}

// upstreamRetry is when a caller may come back after a failed upstream.
const upstreamRetry = time.Second

// gaveUp returns the final answer to a request whose attempts have failed.
func (s *Server) gaveUp(j *job, err error, why retry.Reason) *contract.Refusal {
	var refused *contract.Refusal
	if errors.As(err, &refused) {
		refused.Outcome = j.outcome
		return refused
	}
	f := refusal(contract.RefusedUpstream, j.outcome, contract.StepSend, fmt.Sprintf("%v; not tried again: %s", errText(err), why))
	f.Peer = string(j.upstream)
	if j.chat.repeatable || j.outcome == contract.NotRun {
		f.RetryAfter = upstreamRetry
	}
	return f
}

// errText returns the kind of an upstream's failure, without addresses.
func errText(err error) error {
	for _, known := range []error{engine.ErrCrossed, engine.ErrWrongVersion, engine.ErrTruncated, engine.ErrTooLarge, engine.ErrMalformed, context.DeadlineExceeded} {
		if errors.Is(err, known) {
			return known
		}
	}
	return errors.New("upstream failed")
}
