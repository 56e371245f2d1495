package relay

import (
	"sync"
	"time"
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
// that has been silent beyond its deadline as soon as another upstream could answer.
// silenceWatchdog never aborts an attempt whose request may not be sent again.
type silenceWatchdog struct {
	relay *Relay
	job   job // copy from the start of the attempt, never modified
	abort func()

	// mu guards the fields below.
	// The mutex mu is acquired before the relay's mutex, never after the relay's mutex.
	mu           sync.Mutex
	lastReceived time.Time // when the attempt last received data
	deadline     time.Time
	timer        *time.Timer // nil if the request may not be sent again
	done         bool
	fired        bool
}

// mayResend reports whether a request may be sent again
// although the current attempt may have been executed.
func (j *job) mayResend() bool { return j.Route.Repeatable() && j.sends+1 < j.Route.MaxAttempts }

// watchSilence calls abort once an attempt has been silent beyond the deadline
// and another upstream could answer.
func (r *Relay) watchSilence(j *job, deadline time.Time, abort func()) *silenceWatchdog {
	w := &silenceWatchdog{relay: r, job: *j, abort: abort, lastReceived: r.opts.Now(), deadline: deadline}
	if j.mayResend() {
		w.mu.Lock()
		w.timer = time.AfterFunc(deadline.Sub(r.opts.Now()), w.check)
		w.mu.Unlock()
	}
	return w
}

// extend records that the attempt has received data, and sets the next deadline.
func (w *silenceWatchdog) extend(deadline time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastReceived, w.deadline = w.relay.opts.Now(), deadline
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
	hung := now.Sub(w.lastReceived) >= hungFactor*w.deadline.Sub(w.lastReceived)
	if !w.relay.hasAlternative(&w.job, hung) {
		w.timer.Reset(recheckInterval)
		return
	}
	w.done, w.fired = true, true
	w.abort()
}

// stop stops the watchdog and reports whether it has aborted the attempt.
func (w *silenceWatchdog) stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done = true
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.fired
}

// firstAnswerTimeout returns how long an attempt may take to begin its answer.
// The expected queueing and prefill time of a prompt is added, because abandoning an attempt
// whose prompt is queued causes the prefill to be done twice, at a time of overload.
func (r *Relay) firstAnswerTimeout(j *job) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latencyOf(j).timeout(j.Route.Objective) + j.pending.estimate.TimeToFirstToken()
}
