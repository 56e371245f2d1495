// Package workspace shares a VM's capacity among workspaces: who runs now, who
// waits, and who is refused at once. It is a pure state machine; the time and
// the random source are given.
//
// Capacity is shared by weight (start-time fair queueing). What nobody else
// needs may be used by anyone, but for a small reserve that only workspaces
// below their own share may take, so that a large neighbour's long requests do
// not make a quiet workspace wait for one of them to end.
package workspace

import (
	"cmp"
	"math/rand/v2"
	"time"

	"woaddoor/contract"
)

// Class orders the requests of one workspace.
type Class uint8

// The classes.
const (
	// Interactive requests have someone waiting.
	Interactive Class = iota
	// Bulk requests run when no interactive one of the workspace waits.
	Bulk
)

const classes = 2

// Options tune a Queue.
type Options struct {
	// Capacity is how many requests run at once. Zero means 64.
	Capacity int
	// MaxQueue bounds the requests that wait. Zero means 1024.
	MaxQueue int
	// Reserve is the part of the capacity that is kept for workspaces below
	// their share. Zero means 0.5.
	Reserve float64
	// TotalShare is the sum of the weights of all workspaces. Zero means 10.
	TotalShare int
}

// Defaults of Options.
const (
	defaultCapacity = 64
	defaultMaxQueue = 1024
	defaultReserve  = 0.5
	defaultTotal    = 10
)

// ID names a request in the queue.
type ID uint64

// Item is a request that asks to run.
type Item struct {
	ID        ID
	Workspace contract.WorkspaceID
	// Share is the workspace's weight. Zero means 1.
	Share int
	Class Class
	// Deadline is when its answer is no longer wanted.
	Deadline time.Time
}

// Verdict is the answer to an offered request.
type Verdict uint8

// The verdicts.
const (
	// Run means that the request runs now.
	Run Verdict = iota
	// Wait means that it waits, and that Done or Expire will name it.
	Wait
	// Refuse means that it does not run; the caller is told at once.
	Refuse
)

// Queue is the state. Its owner locks it.
type Queue struct {
	opts    Options
	flows   map[contract.WorkspaceID]*flow
	running int
	waiting int
	virtual float64
	service time.Duration // mean time that a request holds its place
	// refused is the part of late offers that was refused, 0 to 1.
	refused float64
}

// flow is one workspace's part of the queue.
type flow struct {
	id      contract.WorkspaceID
	share   float64
	running int
	waiting [classes][]Item
	finish  float64 // virtual time at which its last admitted request ends
}

// NewQueue returns an empty queue.
func NewQueue(opts Options) *Queue {
	opts.Capacity = cmp.Or(opts.Capacity, defaultCapacity)
	opts.MaxQueue = cmp.Or(opts.MaxQueue, defaultMaxQueue)
	opts.Reserve = cmp.Or(opts.Reserve, defaultReserve)
	opts.TotalShare = cmp.Or(opts.TotalShare, defaultTotal)
	return &Queue{opts: opts, flows: make(map[contract.WorkspaceID]*flow), service: initialService}
}

// initialService stands in for a mean that was never seen.
const initialService = 100 * time.Millisecond

// SetCapacity changes how many requests run at once, at least one.
func (q *Queue) SetCapacity(n int) { q.opts.Capacity = max(n, 1) }

// SetTotalShare changes the sum of the weights of all workspaces.
func (q *Queue) SetTotalShare(n int) { q.opts.TotalShare = max(n, 1) }

// Running returns how many requests run.
func (q *Queue) Running() int { return q.running }

// Waiting returns how many requests wait.
func (q *Queue) Waiting() int { return q.waiting }

// Offer asks for a request to run. A refusal comes with the time after which
// another try makes sense, spread at random so that not all return at once.
func (q *Queue) Offer(item Item, now time.Time, random *rand.Rand) (Verdict, time.Duration) {
	f := q.flow(item)
	if q.waitingAhead(f, item.Class) == 0 && q.fits(f) {
		q.start(f)
		q.pressure(false)
		return Run, 0
	}
	wait := q.expectedWait(f, item.Class)
	if q.waiting >= q.opts.MaxQueue || now.Add(q.latest(wait)).After(item.Deadline) || q.overQueueShare(f) {
		q.pressure(true)
		return Refuse, q.retryAfter(wait, random)
	}
	q.pressure(false)
	f.waiting[item.Class] = append(f.waiting[item.Class], item)
	q.waiting++
	return Wait, 0
}

func (q *Queue) flow(item Item) *flow {
	f, ok := q.flows[item.Workspace]
	if !ok {
		f = &flow{id: item.Workspace}
		q.flows[item.Workspace] = f
	}
	f.share = float64(max(item.Share, 1))
	return f
}

// shareOf returns how many places a flow's weight gives it among the flows
// that run or wait now.
func (q *Queue) shareOf(f *flow) float64 {
	total := 0.0
	for _, other := range q.flows {
		if other == f || other.running > 0 || other.queued() > 0 {
			total += other.share
		}
	}
	return float64(q.opts.Capacity) * f.share / total
}

func (f *flow) queued() int { return len(f.waiting[Interactive]) + len(f.waiting[Bulk]) }

// fits tells whether a flow may start one more request now. The reserve is
// open only to a flow that runs less than its part among all workspaces, those
// that are quiet now included.
func (q *Queue) fits(f *flow) bool {
	if q.running < q.opts.Capacity-q.reserve() {
		return true
	}
	return q.running < q.opts.Capacity && float64(f.running+1) <= q.floor(f)
}

// floor returns a flow's part of the capacity among all workspaces, at least
// one place.
func (q *Queue) floor(f *flow) float64 {
	return max(float64(q.opts.Capacity)*f.share/float64(q.opts.TotalShare), 1)
}

// Within tells whether a workspace runs no more than its part among all
// workspaces. Engines are asked to prefer the requests of those that do: their
// own queues would otherwise make everyone wait behind a large neighbour.
func (q *Queue) Within(w contract.WorkspaceID) bool {
	f, ok := q.flows[w]
	return !ok || float64(f.running) <= q.floor(f)
}

func (q *Queue) reserve() int { return int(q.opts.Reserve * float64(q.opts.Capacity)) }

// overQueueShare tells whether a flow holds its part of the waiting places, so
// that one workspace cannot fill the queue against the others.
func (q *Queue) overQueueShare(f *flow) bool {
	part := float64(q.opts.MaxQueue) * q.shareOf(f) / float64(q.opts.Capacity)
	return q.waiting >= q.opts.MaxQueue/2 && float64(f.queued()) >= part
}

// waitingAhead returns how many of the flow's own requests go before one of
// this class.
func (q *Queue) waitingAhead(f *flow, c Class) int {
	n := len(f.waiting[Interactive])
	if c == Bulk {
		n += len(f.waiting[Bulk])
	}
	return n
}

// expectedWait returns how long a request of the flow would wait: its own line
// at the rate that its share gives it.
func (q *Queue) expectedWait(f *flow, c Class) time.Duration {
	places := max(q.shareOf(f), 1)
	line := float64(q.waitingAhead(f, c) + 1)
	return time.Duration(line / places * float64(q.service))
}

// serviceMargin is how many mean times a request is given to run in: one that
// starts with less left is likely to be work for nothing.
const serviceMargin = 2

// latest returns by when, from now, a request that waits for wait has ended.
func (q *Queue) latest(wait time.Duration) time.Duration { return wait + serviceMargin*q.service }

// Bounds of Retry-After, and how quickly the part refused is followed.
const (
	minRetryAfter  = time.Second
	maxRetryAfter  = time.Minute
	pressureWeight = 0.02
)

// pressure takes an offer into the part refused of late.
func (q *Queue) pressure(refused bool) {
	target := 0.0
	if refused {
		target = 1
	}
	q.refused += pressureWeight * (target - q.refused)
}

// retryAfter returns when a refused caller may come back: the longer, the
// larger the part refused, since that many have to share what is free. It is
// spread over a factor of three, so that they do not come back together.
func (q *Queue) retryAfter(wait time.Duration, random *rand.Rand) time.Duration {
	mean := float64(max(wait, minRetryAfter)) / max(1-q.refused, float64(minRetryAfter)/float64(maxRetryAfter))
	after := time.Duration(mean * (1 + 2*random.Float64()))
	return min(after, maxRetryAfter)
}

// start notes that a request of the flow runs.
func (q *Queue) start(f *flow) {
	q.running++
	f.running++
	f.finish = max(q.virtual, f.finish) + 1/f.share
	q.virtual = max(q.virtual, f.finish-1/f.share)
}

// serviceWeight is the weight of the newest sample in the mean.
const serviceWeight = 0.05

// Done notes that a request has ended after took, and returns those that run
// in its place.
func (q *Queue) Done(w contract.WorkspaceID, took time.Duration) []Item {
	f, ok := q.flows[w]
	if !ok || f.running == 0 {
		return nil
	}
	q.running--
	f.running--
	q.service += time.Duration(serviceWeight * float64(took-q.service))
	started := q.Next()
	if f.running == 0 && f.queued() == 0 && f.finish <= q.virtual {
		delete(q.flows, w)
	}
	return started
}

// Next starts as many waiting requests as now fit, and returns them.
func (q *Queue) Next() []Item {
	var started []Item
	for {
		f := q.first()
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

// first returns the waiting flow that is next by virtual time and fits.
func (q *Queue) first() *flow {
	var best *flow
	for _, f := range q.flows {
		if f.queued() == 0 || !q.fits(f) {
			continue
		}
		if best == nil || f.finish < best.finish || f.finish == best.finish && f.id < best.id {
			best = f
		}
	}
	return best
}

// Expire takes out the requests that can no longer end by their deadline, and
// returns them: they get their final answer now and not at the deadline.
func (q *Queue) Expire(now time.Time) []Item {
	latest := now.Add(q.latest(0))
	return q.remove(func(i Item) bool { return latest.After(i.Deadline) })
}

// Abandon takes out a waiting request whose caller is gone. It returns false
// when the request does not wait, and so runs or is done.
func (q *Queue) Abandon(id ID) bool {
	return len(q.remove(func(i Item) bool { return i.ID == id })) > 0
}

func (q *Queue) remove(out func(Item) bool) []Item {
	var removed []Item
	for _, f := range q.flows {
		for c := range f.waiting {
			kept := f.waiting[c][:0]
			for _, i := range f.waiting[c] {
				if out(i) {
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
