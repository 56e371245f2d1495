// Package engine is a stand-in for a model engine: it batches a bounded number
// of requests, queues the rest by priority, caches prompt prefixes in limited
// memory, streams, resumes and cancels, reports its load late, and takes
// orders. Faults are set by the test and happen at a stated place, not by chance.
package engine

import (
	"container/heap"
	"context"
	"encoding/json"
	"hash/fnv"
	"slices"
	"strconv"
	"sync"
	"time"

	"woaddoor/contract"
	"woaddoor/engine"
)

// Options set up an engine.
type Options struct {
	Versions []contract.VersionID
	// Slots is how many requests are worked on at once. Zero means 8.
	Slots int
	// PerToken is the time a token takes; Prefill that of a prompt which is
	// not cached. Zero means none.
	PerToken, Prefill time.Duration
	// Prefixes is how many prompt prefixes are cached. Zero means 32.
	Prefixes int
	// ReportLag is how old the load in a report is. Zero means none.
	ReportLag time.Duration
	// IgnoreFencing makes the engine take orders with an old number.
	IgnoreFencing bool
}

// Faults are what the engine does wrong. Each counts down or stays until it is
// set anew, as its comment says.
type Faults struct {
	// DropBefore closes that many connections before the request is read.
	DropBefore int
	// DropAfter runs that many requests and closes the connection unanswered.
	DropAfter int
	// TruncateAt ends each stream or answer after so many tokens; zero: never.
	TruncateAt int
	// StallAt stops each stream after so many tokens until the caller goes.
	StallAt int
	// Refuse answers that many requests with 503.
	Refuse int
	// Crossed answers with the id of another request.
	Crossed bool
	// HeldVersion is what the engine really runs, whatever it is asked for.
	HeldVersion contract.VersionID
	// Silent keeps it from answering load reports.
	Silent bool
	// SlowFactor multiplies every time. Zero means 1.
	SlowFactor int
}

// Engine is the stand-in.
type Engine struct {
	opts        Options
	incarnation contract.Incarnation

	// mu guards the fields below.
	mu       sync.Mutex
	faults   Faults
	held     map[contract.VersionID]bool
	fencing  contract.FencingNumber
	draining bool
	running  int
	queue    waitQueue
	arrivals int
	prefixes []uint64 // least recently used first
	events   []engine.CacheEvent
	streams  map[string]*generation
	runs     map[contract.RequestID]int
	runsOf   map[contract.VersionID]int
	hits     int
	history  []sample
}

// sample is the load at a time, kept so that reports can lag.
type sample struct {
	at               time.Time
	running, waiting int
}

// New returns an engine.
func New(opts Options) *Engine {
	if opts.Slots == 0 {
		opts.Slots = 8
	}
	if opts.Prefixes == 0 {
		opts.Prefixes = 32
	}
	e := &Engine{
		opts: opts, incarnation: contract.NewIncarnation(time.Now()),
		held: make(map[contract.VersionID]bool), streams: make(map[string]*generation),
		runs: make(map[contract.RequestID]int), runsOf: make(map[contract.VersionID]int),
	}
	for _, v := range opts.Versions {
		e.held[v] = true
	}
	return e
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Drain makes the engine say that it is leaving.
func (e *Engine) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// Runs returns how many times a request was run.
func (e *Engine) Runs(id contract.RequestID) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// TotalRuns returns how many runs there were in all.
func (e *Engine) TotalRuns() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, r := range e.runs {
		n += r
	}
	return n
}

// Forget drops every generation, so that no stream can be resumed.
func (e *Engine) Forget() {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.streams)
}

// RunsOf returns how many runs there were on a version.
func (e *Engine) RunsOf(v contract.VersionID) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runsOf[v]
}

// PrefixHits returns how many requests found their prefix cached.
func (e *Engine) PrefixHits() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.hits
}

// take counts a fault down and tells whether it happens. The caller holds mu.
func take(n *int) bool {
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// waiter is a request in the queue.
type waiter struct {
	priority, arrival int
	ready             chan struct{}
}

// waitQueue is a heap by priority, then arrival.
type waitQueue []*waiter

func (q waitQueue) Len() int      { return len(q) }
func (q waitQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q waitQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

// Push adds a waiter; it is called by container/heap.
func (q *waitQueue) Push(w any) { *q = append(*q, w.(*waiter)) }

// Pop removes the last waiter; it is called by container/heap.
func (q *waitQueue) Pop() any {
	old := *q
	w := old[len(old)-1]
	*q = old[:len(old)-1]
	return w
}

// enter waits for a slot.
func (e *Engine) enter(ctx context.Context, priority int) error {
	e.mu.Lock()
	if e.running < e.opts.Slots {
		e.running++
		e.note()
		e.mu.Unlock()
		return nil
	}
	e.arrivals++
	w := &waiter{priority: priority, arrival: e.arrivals, ready: make(chan struct{})}
	heap.Push(&e.queue, w)
	e.note()
	e.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		e.abandon(w)
		return ctx.Err()
	}
}

// abandon takes a waiter out, or gives its slot on when it just got one.
func (e *Engine) abandon(w *waiter) {
	e.mu.Lock()
	i := slices.Index(e.queue, w)
	if i >= 0 {
		heap.Remove(&e.queue, i)
	}
	e.mu.Unlock()
	if i < 0 {
		e.leave()
	}
}

// leave frees a slot or hands it to the next in the queue.
func (e *Engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.queue) > 0 {
		close(heap.Pop(&e.queue).(*waiter).ready)
	} else {
		e.running--
	}
	e.note()
}

// maxHistory bounds the samples kept for late reports.
const maxHistory = 4096

// note keeps a sample of the load. The caller holds mu.
func (e *Engine) note() {
	e.history = append(e.history, sample{time.Now(), e.running, len(e.queue)})
	if len(e.history) > maxHistory {
		e.history = slices.Delete(e.history, 0, maxHistory/2)
	}
}

// report returns the load as it was ReportLag ago. The caller holds mu.
func (e *Engine) report() contract.Load {
	l := contract.Load{Incarnation: e.incarnation, Draining: e.draining, AgeMillis: e.opts.ReportLag.Milliseconds()}
	for v := range e.held {
		l.Versions = append(l.Versions, v)
	}
	slices.Sort(l.Versions)
	cutoff := time.Now().Add(-e.opts.ReportLag)
	for _, s := range e.history {
		if s.at.After(cutoff) {
			break
		}
		l.Running, l.Waiting = s.running, s.waiting
	}
	return l
}

// prefixOf returns the key of the part of a prompt that is cached.
func prefixOf(messages []engine.Message) uint64 {
	h := fnv.New64a()
	if len(messages) > 0 {
		_, _ = h.Write(messages[0].Content)
	}
	return h.Sum64()
}

// cached notes the use of a prefix and tells whether it was cached.
func (e *Engine) cached(prefix uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if i := slices.Index(e.prefixes, prefix); i >= 0 {
		e.prefixes = append(slices.Delete(e.prefixes, i, i+1), prefix)
		e.hits++
		return true
	}
	if len(e.prefixes) == e.opts.Prefixes {
		e.event(e.prefixes[0], false)
		e.prefixes = slices.Delete(e.prefixes, 0, 1)
	}
	e.prefixes = append(e.prefixes, prefix)
	e.event(prefix, true)
	return false
}

// event publishes a cache event. The caller holds mu.
func (e *Engine) event(prefix uint64, held bool) {
	e.events = append(e.events, engine.CacheEvent{Seq: uint64(len(e.events) + 1), Prefix: prefix, Held: held})
}

// pace sleeps for d times the slow factor.
func (e *Engine) pace(ctx context.Context, d time.Duration) {
	e.mu.Lock()
	if e.faults.SlowFactor > 1 {
		d *= time.Duration(e.faults.SlowFactor)
	}
	e.mu.Unlock()
	if d == 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// order takes an order, and tells whether its number was refused.
func (e *Engine) order(o engine.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fencing < e.fencing && !e.opts.IgnoreFencing {
		return false
	}
	e.fencing = max(e.fencing, o.Fencing)
	if o.Kind == engine.OrderUnload {
		delete(e.held, o.Version)
	} else {
		e.held[o.Version] = true
	}
	return true
}

// words returns the answer to a prompt: always the same for the same prompt.
func words(messages []engine.Message, n int) []string {
	raw, _ := json.Marshal(messages)
	h := fnv.New32a()
	_, _ = h.Write(raw)
	out := make([]string, n)
	for i := range out {
		out[i] = "w" + strconv.Itoa(int(h.Sum32()%1000)+i) + " "
	}
	return out
}
