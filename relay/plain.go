package relay

import (
	"context"
	"errors"
	"io"
	"net/http"

	"woaddoor/contract"
	"woaddoor/upstream"
)

// maxWhole bounds an answer that is held whole before it is delivered.
const maxWhole = 8 << 20

// errTooLong means that an answer is over maxWhole.
var errTooLong = errors.New("answer is longer than 8 MiB")

// plain has a request answered whole: the answer is held until its end, so that
// one that is broken off can be made good or told of.
func (r *Relay) plain(ctx context.Context, j *job, c Caller) (End, *contract.Refusal) {
	var failure *Head // the newest that an upstream answered with
	var failed []byte
	for {
		e, refused := r.pick(j)
		if refused != nil && failure != nil {
			return r.deliver(j, c, failure, failed)
		}
		if refused != nil {
			return Refused, refused
		}
		h, body, err := r.whole(ctx, j, e)
		if err == nil && !h.NotRun {
			failure, failed = h, body
		}
		if err == nil && h.final(j) {
			return r.deliver(j, c, h, body)
		}
		if ctx.Err() != nil {
			return r.over(ctx, j)
		}
		if why := r.again(j, j.Route.Repeatable()); why != "" {
			if failure != nil {
				return r.deliver(j, c, failure, failed)
			}
			return Refused, r.gaveUp(j, why, err)
		}
		r.retried(j, err)
	}
}

// final tells whether an answer is passed on whatever else could be tried.
func (h *Head) final(j *job) bool {
	return !h.NotRun && (h.Status < http.StatusInternalServerError || !j.Route.Repeatable())
}

func (r *Relay) deliver(j *job, c Caller, h *Head, body []byte) (End, *contract.Refusal) {
	j.outcome, j.status = contract.Ran, h.Status
	if err := c.Whole(h, body); err != nil {
		return Gone, nil
	}
	return Delivered, nil
}

// over returns the end of a request whose caller left or whose time is up.
func (r *Relay) over(ctx context.Context, j *job) (End, *contract.Refusal) {
	if errors.Is(context.Cause(ctx), errDeadline) {
		return Refused, tooLate(j)
	}
	return Gone, nil
}

// errUnsealed means that a success came without the upstream's signature.
var errUnsealed = errors.New("answer without a signature")

// errNotRun means that the upstream refused the request without running it.
var errNotRun = errors.New("upstream did not run the request")

// whole makes one attempt and reads its answer to the end.
func (r *Relay) whole(ctx context.Context, j *job, e upstream.Entry) (*Head, []byte, error) {
	began := r.opts.Now()
	a, err := r.send(ctx, j, e, nil, r.silentIn(j))
	if err != nil {
		r.failed(j, err, began)
		return nil, nil, err
	}
	defer a.close()
	body, err := io.ReadAll(io.LimitReader(a.answer, maxWhole+1))
	if err == nil && len(body) > maxWhole {
		err = errTooLong
	}
	return a.head, body, r.judge(j, a, err)
}

// judge notes how an attempt at a whole answer ended.
func (r *Relay) judge(j *job, a *attempt, err error) error {
	took := r.opts.Now().Sub(a.began)
	h := a.head
	result := upstream.Failed
	switch {
	case errors.Is(err, errTooLong):
	case err != nil:
		result = upstream.Broken
	case h.NotRun:
		r.ended(j, a.entry, upstream.TurnedAway, took)
		j.note(contract.NotRun, true)
		return nil
	case h.Status < http.StatusMultipleChoices && !h.Sealed:
		err = errUnsealed
	case h.Status >= http.StatusInternalServerError:
		r.observe(j, a, true)
		r.ended(j, a.entry, upstream.Failed, took)
		j.note(contract.Ran, true)
		return nil
	default:
		a.took(j, kindFirst, took)
		r.observe(j, a, false)
		r.paced(j, took)
		j.firstAt = r.opts.Now()
		j.sends++
		r.ended(j, a.entry, upstream.Good, took)
		r.answeredWhole(j)
		return nil
	}
	r.ended(j, a.entry, result, took)
	j.note(contract.Ran, true)
	return err
}

// retried counts a retry and says why it is made.
func (r *Relay) retried(j *job, err error) {
	r.Metrics.retries.Inc(1)
	r.logRetry(j, err)
}
