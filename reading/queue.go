package reading

import (
	"slices"
	"time"
)

// Queue is what one engine is believed to read, in the order in which it came.
// Its owner locks it.
type Queue struct {
	reads []read
	next  Ticket
	// began is when the newest answer to an own read began.
	began time.Time
}

// Ticket names one read in a Queue. The zero value names none.
type Ticket uint64

// read is one prompt that is being read, or waits for its turn.
type read struct {
	ticket Ticket
	takes  time.Duration
	added  time.Time
	// due is when it is expected to be read.
	due time.Time
	// own tells that this VM sent it, so that its end will be seen.
	own bool
}

// Add notes a prompt that was sent, and how long its reading takes.
func (q *Queue) Add(takes time.Duration, own bool, now time.Time) Ticket {
	q.expire(now)
	q.next++
	q.reads = append(q.reads, read{ticket: q.next, takes: takes, added: now, due: q.free(now).Add(takes), own: own})
	return q.next
}

// expire forgets reads of other VMs that are due: their ends are not seen. Those
// behind an own one are kept until that has begun, which tells of them.
func (q *Queue) expire(now time.Time) {
	n := 0
	for n < len(q.reads) && !q.reads[n].own && !q.reads[n].due.After(now) {
		n++
	}
	q.reads = slices.Delete(q.reads, 0, n)
}

// free returns when all that is known will have been read.
func (q *Queue) free(now time.Time) time.Time {
	if n := len(q.reads); n > 0 && q.reads[n-1].due.After(now) {
		return q.reads[n-1].due
	}
	return now
}

// Wait returns how long a prompt that came now would wait for its turn. A read
// that is overdue shows that the engine has more to do than is known: as much
// again is expected.
func (q *Queue) Wait(now time.Time) time.Duration {
	wait := q.free(now).Sub(now)
	for _, r := range q.reads {
		if !now.After(r.due) {
			break // those behind it are due later
		}
		if r.own {
			return wait + min(now.Sub(r.due), mostOverdue)
		}
	}
	return wait
}

// mostOverdue bounds what an overdue read adds to the wait: an engine that is
// silent for longer is left to the judgement on silence.
const mostOverdue = 2 * time.Second

// Span is a time in which an engine did nothing but read what is known of. The
// zero value is none.
type Span struct {
	// Took is how long it took, Planned how long it was expected to take, and Own
	// the part of that which the newest read was expected to take.
	Took, Planned, Own time.Duration
}

// Began notes that the answer to a read has begun: it has been read, and so has
// all that came before it. Where it was sent before the answer before it began,
// the engine has read all the time between them.
func (q *Queue) Began(t Ticket, now time.Time) Span {
	i := q.index(t)
	if i < 0 {
		return Span{}
	}
	var span Span
	if r := q.reads[i]; !q.began.IsZero() && !r.added.After(q.began) {
		span = Span{Took: now.Sub(q.began), Own: r.takes}
		for _, before := range q.reads[:i+1] {
			span.Planned += before.takes
		}
	}
	q.began = now
	q.reads = slices.Delete(q.reads, 0, i+1)
	q.chain(0, now)
	return span
}

// Drop notes that a read will not be finished: its request has ended.
func (q *Queue) Drop(t Ticket, now time.Time) {
	i := q.index(t)
	if i < 0 {
		return
	}
	q.reads = slices.Delete(q.reads, i, i+1)
	from := now
	if i > 0 && q.reads[i-1].due.After(now) {
		from = q.reads[i-1].due
	}
	q.chain(i, from)
}

func (q *Queue) index(t Ticket) int {
	return slices.IndexFunc(q.reads, func(r read) bool { return r.ticket == t })
}

// chain sets anew when the reads from one on are due, which follow each other
// from a time on.
func (q *Queue) chain(first int, from time.Time) {
	for i := first; i < len(q.reads); i++ {
		from = from.Add(q.reads[i].takes)
		q.reads[i].due = from
	}
}
