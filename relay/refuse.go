package relay

import (
	"fmt"
	"time"

	"woaddoor/contract"
	"woaddoor/quarantine"
	"woaddoor/retry"
	"woaddoor/upstream"
)

// Times after which another try by the caller makes sense.
const (
	// retrySoon is about the time in which a place at an upstream becomes free.
	retrySoon = 250 * time.Millisecond
	// retryListed is about the time in which a list of upstreams is read.
	retryListed = 600 * time.Millisecond
)

// held is the final answer to a request whose content ends the upstreams that run it.
func held(j *job, c *quarantine.Case) *contract.Refusal {
	f := &contract.Refusal{
		Kind: contract.RefusedHeld, Outcome: j.outcome, Step: contract.StepPick,
		Detail: fmt.Sprintf("requests of this content (%s) have ended %d upstreams one after the other; it is sent to no other", c.Print, max(len(c.Ends), quarantine.Limit)),
	}
	return f.WithRetryAfter(quarantine.ComeBack)
}

// backRetry is about the time in which an upstream that ended is back.
const backRetry = 2 * time.Second

// lastOne is the final answer to a request that could end the last upstream of its
// service.
func lastOne(j *job) *contract.Refusal {
	f := &contract.Refusal{
		Kind: contract.RefusedHeld, Outcome: j.outcome, Step: contract.StepPick,
		Detail: "requests of this content have ended upstreams, and one alone is left that takes requests",
	}
	return f.WithRetryAfter(backRetry)
}

// unlisted is the final answer to a request of whose service no upstream is known.
func unlisted(j *job) *contract.Refusal {
	f := &contract.Refusal{
		Kind: contract.RefusedNoUpstream, Outcome: j.outcome, Step: contract.StepPick, Detail: "no upstream of the service is listed",
	}
	return f.WithRetryAfter(retryListed)
}

// notInRegion refuses a request whose service has no upstream where it may be. Only a change of
// the configuration or of what stands there would change that.
func notInRegion(j *job) *contract.Refusal {
	f := &contract.Refusal{
		Kind: contract.RefusedRegion, Outcome: j.outcome, Step: contract.StepPick,
		Detail: fmt.Sprintf("the service has no upstream in the regions that are allowed: route %v, workspace %v", j.Route.Regions, j.Regions),
	}
	return f.WithRetryAfter(retryElsewhere)
}

// retryElsewhere is when a caller may come back whose service does not stand where its requests
// may be.
const retryElsewhere = time.Minute

// noUpstream is the final answer to a request that no upstream can take now. The caller
// holds mu.
func (r *Relay) noUpstream(j *job, now time.Time) *contract.Refusal {
	if r.outside(j) {
		return notInRegion(j)
	}
	o := r.outlook(j, now)
	if o.Listed == 0 {
		return unlisted(j)
	}
	f := &contract.Refusal{
		Kind: contract.RefusedNoUpstream, Outcome: j.outcome, Step: contract.StepPick,
		Detail: fmt.Sprintf("none of %d upstreams of the service can take the request now: %d rest, %d leave, %d have all that they take (%.1f a second)",
			o.Listed, o.Resting, o.Leaving, o.AtLimit, o.PerSecond),
	}
	switch {
	case o.Closed() && o.AtLimit > 0:
		f.Kind = contract.RefusedAtLimit
	case o.Closed():
		f.Kind = contract.RefusedResting
		f.Detail += fmt.Sprintf(", the first is back in %v", o.In.Round(time.Millisecond))
	}
	return f.WithRetryAfter(r.backIn(j.service, o, retryListed, now))
}

// backIn returns when a caller may come back: usually after a time, and where all upstreams
// rest not before the first of them takes requests again. Those that were turned away
// meanwhile return over as long as that has lasted, so that they are no more at a time than
// come by themselves. The caller holds mu.
func (r *Relay) backIn(s contract.ServiceID, o upstream.Outlook, usually time.Duration, now time.Time) time.Duration {
	if !o.Closed() {
		return usually
	}
	if o.AtLimit > 0 {
		return r.backAtLimit(s, o, now)
	}
	return o.In + time.Duration(r.random.Float64()*float64(min(o.Rest, mostSpread)))
}

// backAtLimit returns when a caller may come back that upstreams at their limits are to serve:
// as they do, each VM promising its part. The caller holds mu.
func (r *Relay) backAtLimit(s contract.ServiceID, o upstream.Outlook, now time.Time) time.Duration {
	return r.returnsOf(s).Next(o.PerSecond/float64(max(r.opts.VMs(), 1)), mostSpread, r.random.Float64(), now)
}

// mostSpread bounds over how long callers return after a rest: beyond, they wait longer
// than most of them have.
const mostSpread = 5 * time.Second

// returnsOf returns when refused callers of a service may come back. The caller holds mu.
func (r *Relay) returnsOf(s contract.ServiceID) *retry.Returns {
	x, ok := r.returns[s]
	if !ok {
		x = &retry.Returns{}
		r.returns[s] = x
	}
	return x
}

// noRoom is the final answer to a request that could not be answered before its
// deadline, whatever is tried.
func noRoom(j *job, after time.Duration) *contract.Refusal {
	f := &contract.Refusal{
		Kind: contract.RefusedLimit, Outcome: contract.NotRun, Step: contract.StepPick,
		Detail: "no model could begin an answer before the deadline: engines have more to read than that",
	}
	return f.WithRetryAfter(max(after, retrySoon))
}

// gaveUp is the final answer to a request whose attempts have failed.
func (r *Relay) gaveUp(j *job, why retry.Reason, err error) *contract.Refusal {
	f := &contract.Refusal{
		Kind: contract.RefusedUpstream, Outcome: j.outcome, Step: contract.StepSend, Peer: string(j.last.ID),
		Detail: fmt.Sprintf("%v; not tried again: %s", err, why),
	}
	if j.outcome == contract.NotRun {
		f.Kind = contract.RefusedLimit
	}
	r.locked(func() {
		now := r.opts.Now()
		f.RetryAfter = r.backIn(j.service, r.outlook(j, now), retrySoon, now)
	})
	return f
}

// tooLate is the final answer to a request whose time is up.
func tooLate(j *job) *contract.Refusal {
	return &contract.Refusal{
		Kind: contract.RefusedDeadline, Outcome: j.outcome, Step: contract.StepAnswer, Peer: string(j.last.ID),
		Detail: "the deadline, or the timeout of the route, came before the answer",
	}
}
