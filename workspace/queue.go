// Package workspace divides the capacity of a VM among workspaces.
// The package decides which requests run now, which requests wait, and which are rejected at once.
// The package is a pure state machine: the time and the random source are passed in.
//
// Capacity is divided by weight (start-time fair queueing).
// Any workspace may use capacity that no other workspace needs, except for a reserve.
// Only workspaces below their own share of the capacity may use the reserve.
// Without the reserve, the long requests of a busy workspace would make a quiet workspace wait
// until one of the long requests ends.
package workspace

import (
	"cmp"
	"math/rand/v2"
	"time"

	"woaddoor/contract"
)

// Class orders the requests within a workspace.
type Class uint8

// Request classes.
const (
	// Interactive requests have a user who waits for the response.
	Interactive Class = iota
	// Bulk requests start only when no interactive request of the workspace waits.
	Bulk
)

const classCount = 2

// Options configure a Queue.
type Options struct {
	// Capacity is how many requests may run at once. Zero means 64.
	Capacity int
	// MaxQueue is how many requests may wait. Zero means 1024.
	MaxQueue int
	// ReserveFraction is the fraction of the capacity that only workspaces below their share of the
	// capacity may use. Zero means 0.5.
	ReserveFraction float64
	// TotalWeight is the sum of the weights of all workspaces. Zero means 10.
	TotalWeight int
}

// Default values of Options.
const (
	defaultCapacity        = 64
	defaultMaxQueue        = 1024
	defaultReserveFraction = 0.5
	defaultTotalWeight     = 10
)

// ID identifies a request in the queue.
type ID uint64

// Request is a request that is offered to the queue.
type Request struct {
	ID        ID
	Workspace contract.WorkspaceID
	// Weight is the weight of the workspace. Zero means 1.
	Weight int
	Class  Class
	// Deadline is the time after which the response is no longer needed.
	Deadline time.Time
}

// Decision is the decision on an offered request.
type Decision uint8

// Decisions on an offered request.
const (
	// Admitted means that the request starts now.
	Admitted Decision = iota
	// Queued means that the request is queued until Done or Expire returns it.
	Queued
	// Rejected means that the request is rejected at once and will not run.
	Rejected
)

// Queue holds the waiting requests and counts the running requests.
// Queue is not safe for concurrent use.
type Queue struct {
	opts            Options
	flows           map[contract.WorkspaceID]*flow
	running         int
	waiting         int
	virtualTime     float64       // virtual start time of the request started last
	meanServiceTime time.Duration // mean time that a request occupies a slot
	// rejectionRate is the moving average of the fraction of offers that were rejected, 0 to 1.
	rejectionRate float64
}

// flow holds the state of one workspace in the queue.
type flow struct {
	id            contract.WorkspaceID
	weight        float64
	running       int
	waiting       [classCount][]Request
	virtualFinish float64 // virtual finish time of the request started last
}

// NewQueue returns an empty queue.
func NewQueue(opts Options) *Queue {
	opts.Capacity = cmp.Or(opts.Capacity, defaultCapacity)
	opts.MaxQueue = cmp.Or(opts.MaxQueue, defaultMaxQueue)
	opts.ReserveFraction = cmp.Or(opts.ReserveFraction, defaultReserveFraction)
	opts.TotalWeight = cmp.Or(opts.TotalWeight, defaultTotalWeight)
	return &Queue{opts: opts, flows: make(map[contract.WorkspaceID]*flow), meanServiceTime: initialServiceTime}
}

// initialServiceTime is used until the first request has ended.
const initialServiceTime = 100 * time.Millisecond

// SetCapacity sets how many requests may run at once, at least one.
func (q *Queue) SetCapacity(n int) { q.opts.Capacity = max(n, 1) }

// SetTotalWeight sets the sum of the weights of all workspaces, at least 1.
func (q *Queue) SetTotalWeight(n int) { q.opts.TotalWeight = max(n, 1) }

// Running returns the number of running requests.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.waiting }

// Offer asks to start a request. A rejected request gets the time after which to retry. The time is
// randomized, so that rejected callers do not all return at once.
func (q *Queue) Offer(item Request, now time.Time, random *rand.Rand) (Decision, time.Duration) {
	f := q.flowFor(item)
	if q.queuedAhead(f, item.Class) == 0 && q.canStart(f) {
		q.start(f)
		q.recordOffer(false)
		return Admitted, 0
	}
	wait := q.expectedWait(f, item.Class)
	if q.waiting >= q.opts.MaxQueue || now.Add(q.timeToFinish(wait)).After(item.Deadline) || q.overQueueShare(f) {
		q.recordOffer(true)
		return Rejected, q.retryAfter(wait, random)
	}
	q.recordOffer(false)
	f.waiting[item.Class] = append(f.waiting[item.Class], item)
	q.waiting++
	return Queued, 0
}

// flowFor returns the flow (the queue state) of the item's workspace.
// flowFor updates the weight of the flow, and creates the flow if necessary.
func (q *Queue) flowFor(item Request) *flow {
	f, ok := q.flows[item.Workspace]
	if !ok {
		f = &flow{id: item.Workspace}
		q.flows[item.Workspace] = f
	}
	f.weight = float64(max(item.Weight, 1))
	return f
}

// fairShare returns how many slots a flow (a workspace's queue state) is entitled to by its weight,
// among the flows that have running or waiting requests.
func (q *Queue) fairShare(f *flow) float64 {
	total := 0.0
	for _, other := range q.flows {
		if other == f || other.running > 0 || other.queued() > 0 {
			total += other.weight
		}
	}
	return float64(q.opts.Capacity) * f.weight / total
}

// queued returns how many requests of the flow are waiting.
func (f *flow) queued() int { return len(f.waiting[Interactive]) + len(f.waiting[Bulk]) }

// canStart reports whether a flow may start one more request now.
// Reserved slots are open only to a flow that stays within its guaranteed slots.
// Guaranteed slots are computed over all workspaces, idle workspaces included.
func (q *Queue) canStart(f *flow) bool {
	if q.running < q.opts.Capacity-q.reservedSlots() {
		return true
	}
	return q.running < q.opts.Capacity && float64(f.running+1) <= q.guaranteedSlots(f)
}

// guaranteedSlots returns the number of slots that a flow is entitled to by its weight among
// all workspaces, at least 1.
func (q *Queue) guaranteedSlots(f *flow) float64 {
	return max(float64(q.opts.Capacity)*f.weight/float64(q.opts.TotalWeight), 1)
}

// WithinShare reports whether a workspace runs no more requests than its guaranteed slots.
// Engines are asked to prefer requests of workspaces within their share.
// Otherwise the engines' own queues would make everyone wait behind a busy workspace.
func (q *Queue) WithinShare(w contract.WorkspaceID) bool {
	f, ok := q.flows[w]
	return !ok || float64(f.running) <= q.guaranteedSlots(f)
}

// reservedSlots returns the number of slots that are open only to flows within
// their guaranteed slots.
func (q *Queue) reservedSlots() int { return int(q.opts.ReserveFraction * float64(q.opts.Capacity)) }

// overQueueShare reports whether the queue is at least half full and a flow has used up its part of
// the queue. This check keeps one workspace from filling the queue.
func (q *Queue) overQueueShare(f *flow) bool {
	limit := float64(q.opts.MaxQueue) * q.fairShare(f) / float64(q.opts.Capacity)
	return q.waiting >= q.opts.MaxQueue/2 && float64(f.queued()) >= limit
}

// queuedAhead returns how many waiting requests of the flow start before a new request of class c.
func (q *Queue) queuedAhead(f *flow, c Class) int {
	n := len(f.waiting[Interactive])
	if c == Bulk {
		n += len(f.waiting[Bulk])
	}
	return n
}

// expectedWait estimates how long a new request of the flow would wait.
// The estimate is the position of the request among the waiting requests of the flow,
// divided by the rate at which the flow starts requests with its fair share of slots.
func (q *Queue) expectedWait(f *flow, c Class) time.Duration {
	slots := max(q.fairShare(f), 1)
	position := float64(q.queuedAhead(f, c) + 1)
	return time.Duration(position / slots * float64(q.meanServiceTime))
}

// serviceTimeMargin is how many mean service times must remain until the deadline.
// A request that starts later probably ends too late to be of use.
const serviceTimeMargin = 2

// timeToFinish returns the time until a request ends that first waits for the given time.
// The result includes a margin.
func (q *Queue) timeToFinish(wait time.Duration) time.Duration {
	return wait + serviceTimeMargin*q.meanServiceTime
}

// Bounds of Retry-After, and the weight of the newest offer in the rejection rate.
const (
	minRetryAfter       = time.Second
	maxRetryAfter       = time.Minute
	rejectionRateWeight = 0.02
)

// recordOffer adds the result of an offer to the rejection rate.
func (q *Queue) recordOffer(rejected bool) {
	sample := 0.0
	if rejected {
		sample = 1
	}
	q.rejectionRate += rejectionRateWeight * (sample - q.rejectionRate)
}

// retryAfter returns how long a rejected caller should wait before a retry.
// The wait grows with the rejection rate, since more callers compete for the free slots.
// The wait is spread over a factor of three, so that callers do not return together.
func (q *Queue) retryAfter(wait time.Duration, random *rand.Rand) time.Duration {
	mean := float64(max(wait, minRetryAfter)) / max(1-q.rejectionRate, float64(minRetryAfter)/float64(maxRetryAfter))
	after := time.Duration(mean * (1 + 2*random.Float64()))
	return min(after, maxRetryAfter)
}

// start records that a request of the flow has started, and advances the virtual time of the queue.
func (q *Queue) start(f *flow) {
	q.running++
	f.running++
	f.virtualFinish = max(q.virtualTime, f.virtualFinish) + 1/f.weight
	q.virtualTime = max(q.virtualTime, f.virtualFinish-1/f.weight)
}

// serviceTimeWeight is the weight of the newest sample in the mean service time.
const serviceTimeWeight = 0.05

// Done records that a request of the workspace has ended.
// The parameter took is how long the request ran.
// Done returns the waiting requests that start in place of the ended request.
func (q *Queue) Done(w contract.WorkspaceID, took time.Duration) []Request {
	f, ok := q.flows[w]
	if !ok || f.running == 0 {
		return nil
	}
	q.running--
	f.running--
	q.meanServiceTime += time.Duration(serviceTimeWeight * float64(took-q.meanServiceTime))
	started := q.StartWaiting()
	if f.running == 0 && f.queued() == 0 && f.virtualFinish <= q.virtualTime {
		delete(q.flows, w)
	}
	return started
}

// StartWaiting starts as many waiting requests as possible now and returns them.
func (q *Queue) StartWaiting() []Request {
	var started []Request
	for {
		f := q.nextFlow()
		if f == nil {
			return started
		}
		class := Interactive
		if len(f.waiting[Interactive]) == 0 {
			class = Bulk
		}
		item := f.waiting[class][0]
		f.waiting[class] = f.waiting[class][1:]
		q.waiting--
		q.start(f)
		started = append(started, item)
	}
}

// nextFlow returns the flow with the lowest virtual finish time among the flows that have waiting
// requests and may start a request. nextFlow returns nil if there is no such flow.
func (q *Queue) nextFlow() *flow {
	var best *flow
	for _, f := range q.flows {
		if f.queued() == 0 || !q.canStart(f) {
			continue
		}
		if best == nil || f.virtualFinish < best.virtualFinish || f.virtualFinish == best.virtualFinish && f.id < best.id {
			best = f
		}
	}
	return best
}

// Expire removes and returns the waiting requests that can no longer end by their
// deadline, so that their callers get a final response before the deadline.
func (q *Queue) Expire(now time.Time) []Request {
	earliestFinish := now.Add(q.timeToFinish(0))
	return q.remove(func(i Request) bool { return earliestFinish.After(i.Deadline) })
}

// Cancel removes a waiting request whose caller has disconnected.
// Cancel returns false if the request does not wait, because the request is running or has ended.
func (q *Queue) Cancel(id ID) bool {
	return len(q.remove(func(i Request) bool { return i.ID == id })) > 0
}

// remove takes all matching requests out of the queue and returns these requests.
func (q *Queue) remove(matches func(Request) bool) []Request {
	var removed []Request
	for _, f := range q.flows {
		for c := range f.waiting {
			kept := f.waiting[c][:0]
			for _, i := range f.waiting[c] {
				if matches(i) {
					removed = append(removed, i)
					continue
				}
				kept = append(kept, i)
			}
			f.waiting[c] = kept
		}
	}
	q.waiting -= len(removed)
	return removed
}
