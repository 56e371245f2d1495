package relay

import (
	"context"
	"sync"
	"time"

	"woaddoor/retry"
)

// While an attempt is silent beyond its deadline,
// the VM checks every recheckInterval whether another upstream could answer.
// Upstreams that are skipped
// after failures become available again within a few hundred milliseconds.
const recheckInterval = 200 * time.Millisecond

// hungFactor is the multiple of its timeout after
// which a silent attempt counts as hung instead of slow.
// For a hung attempt, even an upstream that is suspected of being faulty is a better choice.
// When all upstreams are slow,
// moving a request from one queue to the end of another only adds work.
const hungFactor = 3

// silenceWatchdog ends an attempt
// that has been silent beyond its deadline once the next attempt is accepted.
// The next attempt is reserved first, and sent while the silent attempt goes on.
// silenceWatchdog never ends an attempt whose request may not be sent again:
// a slow answer is better than none. For such a request, it only notes that the upstream is silent.
type silenceWatchdog struct {
	relay *Relay
	ctx   context.Context // context of the request
	abort func()

	// mu guards the fields below.
	// The mutex mu is acquired before the relay's mutex, never after the relay's mutex.
	mu   sync.Mutex
	job  job  // copy from when data was last received
	sent bool // an upstream may have received the attempt
	// sending is the attempt if it was sent as the successor of the previous one.
	sending      *successor
	lastReceived time.Time // when the attempt last received data
	deadline     time.Time
	timer        *time.Timer
	done         bool
	// pending is the next attempt while it is being sent.
	// failed holds the successors that were rejected or dropped.
	pending *reservation
	failed  []failedSuccessor
	// reserved is the next attempt, set when the watchdog aborts the current one.
	reserved *reservation
	// keptFor is the last reason not to abort the silent attempt.
	keptFor retry.Reason
}

// mayResend reports whether a request may be sent again
// although the current attempt may have been executed.
func (j *job) mayResend() bool { return j.Route.Repeatable() && j.sends+1 < j.Route.MaxAttempts }

// watchSilence calls abort once an attempt has been silent beyond the deadline
// and the next attempt is accepted.
func (r *Relay) watchSilence(ctx context.Context, j *job, deadline time.Time, abort func()) *silenceWatchdog {
	w := &silenceWatchdog{relay: r, ctx: ctx, job: *j, sent: j.upstreamSeen, sending: j.successor, abort: abort, lastReceived: r.opts.Now(), deadline: deadline}
	w.job.successor = nil
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(deadline.Sub(r.opts.Now()), w.check)
	return w
}

// markSent records that an upstream may receive the attempt from now on.
// It returns errSilent if the watchdog has aborted the attempt, which must then not be sent.
func (w *silenceWatchdog) markSent() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reserved != nil {
		return errSilent
	}
	w.sent = true
	return nil
}

// extend records that the attempt of the job has received data, and sets the next deadline.
// A successor is dropped if the attempt is no longer silent.
func (w *silenceWatchdog) extend(j *job, deadline time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.relay.opts.Now()
	if !deadline.After(now) || w.done {
		return
	}
	w.dropPending()
	w.job, w.lastReceived, w.deadline, w.keptFor = *j, now, deadline, ""
	for _, f := range w.failed {
		w.job.recordFailedSuccessor(f)
	}
	w.timer.Reset(deadline.Sub(now))
}

// check ends the attempt, sends its successor or schedules the next check.
func (w *silenceWatchdog) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done {
		return
	}
	now := w.relay.opts.Now()
	if w.pending != nil {
		w.checkPending(now)
		return
	}
	if now.Before(w.deadline) { // data has arrived since the timer was set
		w.timer.Reset(w.deadline.Sub(now))
		return
	}
	w.relay.suspectPath(w.job.lastUpstream)
	if !w.job.mayResend() {
		return
	}
	sent := w.sent || w.sending != nil && w.sending.sent.Load()
	hung := now.Sub(w.lastReceived) >= hungFactor*w.deadline.Sub(w.lastReceived)
	reserved, reason := w.relay.reserveRetry(&w.job, sent, hung)
	if reserved == nil {
		w.logKept(reason, now)
		w.timer.Reset(recheckInterval)
		return
	}
	if !sent || reserved.forward { // no upstream works on the attempt, or its answer cannot arrive
		w.endAttempt(reserved)
		return
	}
	w.startSuccessor(reserved)
	w.timer.Reset(recheckInterval)
}

// logKept logs why the silent attempt goes on, once for each reason. The caller holds mu.
func (w *silenceWatchdog) logKept(reason retry.Reason, now time.Time) {
	if reason != w.keptFor {
		w.keptFor = reason
		w.relay.logSilence(&w.job, nil, reason, now.Sub(w.lastReceived), now.Sub(w.deadline))
	}
}

// endAttempt aborts the attempt in favor of the next one. The caller holds mu.
func (w *silenceWatchdog) endAttempt(next *reservation) {
	now := w.relay.opts.Now()
	w.relay.logSilence(&w.job, next, "", now.Sub(w.lastReceived), now.Sub(w.deadline))
	w.done, w.reserved, w.pending = true, next, nil
	if next.successor != nil {
		next.successor.taken = true
	}
	w.abort()
}

// stop stops the watchdog at the end of the attempt and returns the reserved next attempt, if any.
// The argument answered is set if the attempt has received an answer for the caller;
// a successor that is not accepted yet is then dropped, and otherwise it is the next attempt.
// Successors that were rejected or dropped are added to the state of the job.
func (w *silenceWatchdog) stop(j *job, answered bool) *reservation {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done = true
	w.timer.Stop()
	if answered {
		w.dropPending()
	}
	if w.pending != nil {
		w.reserved, w.pending = w.pending, nil
		w.reserved.currentFailed, w.reserved.successor.taken = true, true
	}
	for _, f := range w.failed {
		j.recordFailedSuccessor(f)
	}
	if w.reserved != nil && w.reserved.successor != nil {
		j.execution.begin()
	}
	return w.reserved
}

// firstAnswerTimeout returns how long an attempt may take to begin its answer.
// The expected queueing and prefill time of a prompt is added, because abandoning an attempt
// whose prompt is queued causes the prefill to be done twice, at a time of overload.
func (r *Relay) firstAnswerTimeout(j *job) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latencyOf(j).timeout(j.Route.Objective) + j.pending.estimate.TimeToFirstToken()
}
