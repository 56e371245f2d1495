package relay

import (
	"sync"
	"time"
)

// lookAgain is how often an attempt that has been silent for too long looks
// whether another upstream could answer in its place: those that are passed over
// after failures come back within some hundred milliseconds.
const lookAgain = 200 * time.Millisecond

// hungAfter is after how many times its limit a silent attempt counts as hung and
// not as slow, so that one at a suspected upstream is better. Where all are slow,
// going from one queue to the end of another only adds work.
const hungAfter = 3

// alarm ends an attempt that is silent for too long, once another upstream could
// answer in its place: until then silence is waited out. An attempt whose request
// may not move on is never ended by it.
type alarm struct {
	relay *Relay
	job   job // as it was when the attempt began; it is only read
	end   func()

	// mu guards the fields below. It is taken before the relay's, never after.
	mu    sync.Mutex
	since time.Time // when it last said something
	due   time.Time
	timer *time.Timer // nil when the request may not move on
	done  bool
	fired bool
}

// mayMove tells whether a request may be sent once more while the present attempt
// may have run.
func (j *job) mayMove() bool { return j.Route.Repeatable() && j.sends+1 < j.Route.MaxAttempts }

// watch has end called once an attempt has been silent beyond due.
func (r *Relay) watch(j *job, due time.Time, end func()) *alarm {
	a := &alarm{relay: r, job: *j, end: end, since: r.opts.Now(), due: due}
	if j.mayMove() {
		a.mu.Lock()
		a.timer = time.AfterFunc(due.Sub(r.opts.Now()), a.ring)
		a.mu.Unlock()
	}
	return a
}

// heard notes that the attempt has said something, and by when it has to again.
func (a *alarm) heard(due time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.since, a.due = a.relay.opts.Now(), due
	if a.timer != nil && !a.done {
		a.timer.Reset(due.Sub(a.since))
	}
}

// ring ends the attempt, or looks again later.
func (a *alarm) ring() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done {
		return
	}
	now := a.relay.opts.Now()
	if now.Before(a.due) { // it has said something meanwhile
		a.timer.Reset(a.due.Sub(now))
		return
	}
	hung := now.Sub(a.since) >= hungAfter*a.due.Sub(a.since)
	if !a.relay.another(&a.job, hung) {
		a.timer.Reset(lookAgain)
		return
	}
	a.done, a.fired = true, true
	a.end()
}

// stop ends the watch and tells whether it has ended the attempt.
func (a *alarm) stop() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.done = true
	if a.timer != nil {
		a.timer.Stop()
	}
	return a.fired
}

// silentIn returns how long an attempt may be silent before its first answer. A
// prompt gets the time that it is expected to take besides: an attempt that is
// given up while its prompt waits is work done twice, just when there is too much.
func (r *Relay) silentIn(j *job) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pace(j).limit(j.Route.Objective) + j.waits.expected.First()
}
