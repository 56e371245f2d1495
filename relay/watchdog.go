package relay

import (
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

// silenceWatchdog aborts an attempt
// that has been silent beyond its deadline once the next attempt is reserved.
// silenceWatchdog never aborts an attempt whose request may not be sent again:
// a slow answer is better than none.
type silenceWatchdog struct {
	relay *Relay
	abort func()

	// mu guards the fields below.
	// The mutex mu is acquired before the relay's mutex, never after the relay's mutex.
	mu           sync.Mutex
	job          job       // copy from when data was last received
	sent         bool      // an upstream may have received the attempt
	lastReceived time.Time // when the attempt last received data
	deadline     time.Time
	timer        *time.Timer // nil if the request may not be sent again
	done         bool
	// reserved is the next attempt, set when the watchdog aborts the current one.
	reserved *reservation
	// keptFor is the last reason not to abort the silent attempt.
	keptFor retry.Reason
}

// mayResend reports whether a request may be sent again
// although the current attempt may have been executed.
func (j *job) mayResend() bool { return j.Route.Repeatable() && j.sends+1 < j.Route.MaxAttempts }

// watchSilence calls abort once an attempt has been silent beyond the deadline
// and the next attempt is reserved.
func (r *Relay) watchSilence(j *job, deadline time.Time, abort func()) *silenceWatchdog {
	w := &silenceWatchdog{relay: r, job: *j, sent: j.upstreamSeen, abort: abort, lastReceived: r.opts.Now(), deadline: deadline}
	if j.mayResend() {
		w.mu.Lock()
		w.timer = time.AfterFunc(deadline.Sub(r.opts.Now()), w.check)
		w.mu.Unlock()
	}
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
func (w *silenceWatchdog) extend(j *job, deadline time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.job = *j
	w.lastReceived, w.deadline, w.keptFor = w.relay.opts.Now(), deadline, ""
	if w.timer != nil && !w.done {
		w.timer.Reset(deadline.Sub(w.lastReceived))
	}
}

// check aborts the attempt or schedules the next check.
func (w *silenceWatchdog) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done {
		return
	}
	now := w.relay.opts.Now()
	if now.Before(w.deadline) { // data has arrived since the timer was set
		w.timer.Reset(w.deadline.Sub(now))
		return
	}
	late := now.Sub(w.deadline)
	hung := now.Sub(w.lastReceived) >= hungFactor*w.deadline.Sub(w.lastReceived)
	reserved, reason := w.relay.reserveRetry(&w.job, w.sent, hung)
	if reason != w.keptFor || reserved != nil {
		w.keptFor = reason
		w.relay.logSilence(&w.job, reserved, reason, now.Sub(w.lastReceived), late)
	}
	if reserved == nil {
		w.timer.Reset(recheckInterval)
		return
	}
	w.done, w.reserved = true, reserved
	w.abort()
}

// stop stops the watchdog and returns the reserved next attempt,
// or nil if the watchdog has not aborted the current attempt.
func (w *silenceWatchdog) stop() *reservation {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done = true
	if w.timer != nil {
		w.timer.Stop()
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
