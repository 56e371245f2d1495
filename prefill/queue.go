package prefill

import (
	"slices"
	"time"
)

// Queue estimates the prefill queue of one engine, in the order of arrival.
// Queue is not safe for concurrent use; the caller holds a lock.
type Queue struct {
	prompts []queuedPrompt
	lastID  QueueID
	// lastBegan is when the newest answer to a prompt of this VM began.
	lastBegan time.Time
}

// QueueID identifies a prompt in a Queue. The zero value identifies none.
type QueueID uint64

// queuedPrompt is a prompt that is in prefill or waits for it.
type queuedPrompt struct {
	id       QueueID
	duration time.Duration
	addedAt  time.Time
	// doneAt is the expected end of the prompt's prefill.
	doneAt time.Time
	// sentByThisVM reports whether this VM sent the prompt and will therefore see its answer begin.
	sentByThisVM bool
}

// Add records a prompt that was sent to the engine and the expected duration of its prefill.
func (q *Queue) Add(duration time.Duration, sentByThisVM bool, now time.Time) QueueID {
	q.expire(now)
	q.lastID++
	q.prompts = append(q.prompts, queuedPrompt{id: q.lastID, duration: duration, addedAt: now, doneAt: q.idleAt(now).Add(duration), sentByThisVM: sentByThisVM})
	return q.lastID
}

// expire removes prompts of other VMs whose prefill should be done,
// since this VM does not see the answers to prompts of other VMs.
// Prompts behind a prompt of this VM stay until the answer to this VM's prompt begins,
// because that answer shows how far the engine has got.
func (q *Queue) expire(now time.Time) {
	n := 0
	for n < len(q.prompts) && !q.prompts[n].sentByThisVM && !q.prompts[n].doneAt.After(now) {
		n++
	}
	q.prompts = slices.Delete(q.prompts, 0, n)
}

// idleAt returns when the prefill of all known prompts is expected to end,
// or now if the queue is empty.
func (q *Queue) idleAt(now time.Time) time.Time {
	if n := len(q.prompts); n > 0 && q.prompts[n-1].doneAt.After(now) {
		return q.prompts[n-1].doneAt
	}
	return now
}

// Wait returns how long a prompt that arrives now would wait for its prefill.
// An overdue prompt of this VM shows that the engine has more work than this VM knows of.
// The wait then grows by the time by which the prompt is overdue.
func (q *Queue) Wait(now time.Time) time.Duration {
	wait := q.idleAt(now).Sub(now)
	for _, p := range q.prompts {
		if !now.After(p.doneAt) {
			break // the following prompts in the queue are due later
		}
		if p.sentByThisVM {
			return wait + min(now.Sub(p.doneAt), maxOverdue)
		}
	}
	return wait
}

// maxOverdue bounds how much an overdue prompt adds to the wait.
// Engines that stay silent for longer than maxOverdue
// are handled by the detection of silent upstreams.
const maxOverdue = 2 * time.Second

// BusyInterval is a period in which an engine did nothing but process known prompts.
// The zero BusyInterval means that there is no such period.
type BusyInterval struct {
	// Actual is the actual and Expected the expected duration of the busy interval.
	// Newest is the part of Expected that belongs to the newest prompt.
	Actual, Expected, Newest time.Duration
}

// AnswerBegan records that the answer to a prompt has begun,
// so the prefill of that prompt and of all earlier prompts is done.
// If the prompt was already queued when the previous answer began,
// the engine was busy between the beginnings of the two answers.
// AnswerBegan then returns that busy interval.
func (q *Queue) AnswerBegan(id QueueID, now time.Time) BusyInterval {
	i := q.indexOf(id)
	if i < 0 {
		return BusyInterval{}
	}
	var interval BusyInterval
	if p := q.prompts[i]; !q.lastBegan.IsZero() && !p.addedAt.After(q.lastBegan) {
		interval = BusyInterval{Actual: now.Sub(q.lastBegan), Newest: p.duration}
		for _, earlier := range q.prompts[:i+1] {
			interval.Expected += earlier.duration
		}
	}
	q.lastBegan = now
	q.prompts = slices.Delete(q.prompts, 0, i+1)
	q.reschedule(0, now)
	return interval
}

// Drop removes a prompt whose request ended before its answer began.
func (q *Queue) Drop(id QueueID, now time.Time) {
	i := q.indexOf(id)
	if i < 0 {
		return
	}
	q.prompts = slices.Delete(q.prompts, i, i+1)
	from := now
	if i > 0 && q.prompts[i-1].doneAt.After(now) {
		from = q.prompts[i-1].doneAt
	}
	q.reschedule(i, from)
}

// indexOf returns the position of a prompt in the queue, or -1.
func (q *Queue) indexOf(id QueueID) int {
	return slices.IndexFunc(q.prompts, func(p queuedPrompt) bool { return p.id == id })
}

// reschedule recalculates the expected ends of the prefills of the prompts in the queue,
// beginning with the prompt at index first.
// The prefill of that prompt starts at the time from.
func (q *Queue) reschedule(first int, from time.Time) {
	for i := first; i < len(q.prompts); i++ {
		from = from.Add(q.prompts[i].duration)
		q.prompts[i].doneAt = from
	}
}
