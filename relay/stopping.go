package relay

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"woaddoor/contract"
)

// stopState is the planned stop of a relay.
type stopState struct {
	// end is when all work must have ended; nil unless a stop is planned.
	end atomic.Pointer[time.Time]
	// ended is cancelled at the end.
	ended  context.Context
	cancel context.CancelFunc
}

func newStopState() *stopState {
	s := &stopState{}
	s.ended, s.cancel = context.WithCancel(context.Background())
	return s
}

// errStopping is the cancellation cause of a request that has not ended when the process stops.
var errStopping = errors.New("this VM stops")

// StopBy makes the relay end all work by the given time. Until then, an attempt that is not expected to finish in time is
// not begun: its request is refused, and another VM may serve it. What runs at the end is answered then: a request that has
// not run is refused as such, any other fails.
func (r *Relay) StopBy(end time.Time) {
	r.stop.end.Store(&end)
	time.AfterFunc(end.Sub(r.opts.Now()), r.stop.cancel)
}

// Stopped returns a context that is done once all work must have ended because of a planned stop.
func (r *Relay) Stopped() context.Context { return r.stop.ended }

// untilStop returns a context that ends with ctx, or with errStopping once the process stops. The function release must be
// called when the request has ended.
func (r *Relay) untilStop(ctx context.Context) (until context.Context, release func()) {
	until, cancel := context.WithCancelCause(ctx)
	detach := context.AfterFunc(r.stop.ended, func() { cancel(errStopping) })
	return until, func() {
		detach()
		cancel(nil)
	}
}

// attemptDeadline returns when an attempt must have ended: at the deadline of its request, or when the process stops.
func (r *Relay) attemptDeadline(j *job) time.Time {
	if end := r.stop.end.Load(); end != nil && end.Before(j.Deadline) {
		return *end
	}
	return j.Deadline
}

// checkStop refuses a request if an attempt at an upstream, which this VM has chosen, is not expected to end before the
// process stops. The caller holds mu.
func (r *Relay) checkStop(j *job, id contract.UpstreamID, now time.Time) *contract.Refusal {
	end := r.stop.end.Load()
	if end == nil || !end.Before(j.Deadline) {
		return nil
	}
	left, expected := end.Sub(now), r.expectedDuration(j, id, now)
	if expected <= left {
		return nil
	}
	f := &contract.Refusal{
		Kind: contract.RefusedStopping, Outcome: j.outcome(), Step: contract.StepPick,
		Detail: fmt.Sprintf("this VM stops in %v, and the answer is expected in %v", left.Round(time.Millisecond), expected.Round(time.Millisecond)),
	}
	return f.WithRetryAfter(retryAfterStopping)
}

// retryAfterStopping is short: the next connection of the caller leads to another VM.
const retryAfterStopping = 10 * time.Millisecond

// expectedDuration returns in which time an attempt at an upstream has most likely ended: the whole answer to it, after
// the requests of this VM that use the upstream's slots. The caller holds mu.
func (r *Relay) expectedDuration(j *job, id contract.UpstreamID, now time.Time) time.Duration {
	duration := r.durationOf(j)
	typical, slow := duration.mean, duration.mean+slowDeviations*duration.deviation
	if duration.samples < minLatencySamples {
		typical, slow = j.Route.Objective.Seconds(), j.Route.Objective.Seconds()
	}
	rounds := r.table.RoomState(id, now).InFlight / max(r.entries[id].Slots, 1)
	return time.Duration((slow + float64(rounds)*typical) * float64(time.Second))
}

// slowDeviations is by how many deviations a slow answer takes longer than the mean.
const slowDeviations = 2

// durationOf returns the estimate of the time from a send to the end of the answer, for the job's route.
// The caller holds mu.
func (r *Relay) durationOf(j *job) *latencyStats {
	stats, ok := r.durations[j.Route.Name]
	if !ok {
		stats = &latencyStats{}
		r.durations[j.Route.Name] = stats
	}
	return stats
}

// observeDuration records the time from a send to the end of a complete answer.
func (r *Relay) observeDuration(j *job, a *attempt) {
	took := r.opts.Now().Sub(a.startedAt)
	r.withLock(func() { r.durationOf(j).observe(took) })
}

// refuseStopping refuses a request that has not ended when the process stops.
func refuseStopping(j *job) *contract.Refusal {
	f := &contract.Refusal{
		Kind: contract.RefusedStopping, Outcome: j.outcome(), Step: contract.StepAnswer, Peer: string(j.lastUpstream.ID),
		Detail: "this VM stops, and the answer has not arrived",
	}
	return f.WithRetryAfter(retryAfterStopping)
}
