// Package engine is a stand-in for a model engine. It runs a bounded number of requests at once,
// queues the rest by priority, caches prompt prefixes in limited memory, streams, resumes and
// cancels answers, reports its load with a lag, and accepts orders to load and unload versions.
// Tests set the faults, which occur at fixed points and not at random.
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

// Options configures an engine.
type Options struct {
	Versions []contract.VersionID
	// Slots is how many requests run at once. Zero means 8.
	Slots int
	// TokenTime is the time to generate one token, and PrefillTime the time to process a prompt
	// whose prefix is not cached. Zero means none.
	TokenTime, PrefillTime time.Duration
	// PrefixCacheSize is how many prompt prefixes are cached. Zero means 32.
	PrefixCacheSize int
	// ReportLag is how old the reported load is. Zero means no lag.
	ReportLag time.Duration
	// IgnoreFencing makes the engine accept orders with an outdated fencing token.
	IgnoreFencing bool
}

// Faults are the faults of the engine. Some faults apply to a number of requests and count down,
// the other faults apply until they are replaced.
type Faults struct {
	// DropBeforeRead is how many of the next connections are closed before the request is read.
	DropBeforeRead int
	// DropAfterRun is how many of the next requests run but get no answer,
	// because the connection is closed.
	DropAfterRun int
	// TruncateAt is the number of tokens after which the connection of each stream is closed. If
	// TruncateAt is not zero, any answer other than a stream ends half-way.
	TruncateAt int
	// StallAt is the number of tokens after which each stream stalls
	// until the caller disconnects. Zero means never.
	StallAt int
	// Refuse is how many of the next requests are answered with 503.
	Refuse int
	// WrongRequestID makes answers carry the id of another request.
	WrongRequestID bool
	// RunsVersion is the version that runs, whichever version a request names.
	RunsVersion contract.VersionID
	// DropLoadCalls makes the engine close calls for its load without an answer.
	DropLoadCalls bool
	// SlowFactor multiplies TokenTime and PrefillTime. Zero means 1.
	SlowFactor int
}

// Engine is the stand-in.
type Engine struct {
	opts        Options
	incarnation contract.Incarnation

	// mu guards the fields below.
	mu             sync.Mutex
	faults         Faults
	loadedVersions map[contract.VersionID]bool
	fencing        contract.FencingToken
	draining       bool
	running        int
	queue          waitQueue
	lastArrival    int
	prefixes       []uint64 // least recently used first
	cacheEvents    []engine.CacheEvent
	generations    map[string]*generation
	runs           map[contract.RequestID]int
	runsByVersion  map[contract.VersionID]int
	prefixHits     int
	samples        []loadSample
}

// loadSample is the load at a point in time, kept so that reports can lag.
type loadSample struct {
	at               time.Time
	running, waiting int
}

// New returns an engine that has loaded the versions of opts.
func New(opts Options) *Engine {
	if opts.Slots == 0 {
		opts.Slots = 8
	}
	if opts.PrefixCacheSize == 0 {
		opts.PrefixCacheSize = 32
	}
	e := &Engine{
		opts: opts, incarnation: contract.NewIncarnation(time.Now()),
		loadedVersions: make(map[contract.VersionID]bool), generations: make(map[string]*generation),
		runs: make(map[contract.RequestID]int), runsByVersion: make(map[contract.VersionID]int),
	}
	for _, v := range opts.Versions {
		e.loadedVersions[v] = true
	}
	return e
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Drain makes the engine report that it is draining and refuse new requests.
func (e *Engine) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// RunCount returns how often a request was run.
func (e *Engine) RunCount(id contract.RequestID) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// TotalRunCount returns how often requests were run in all.
func (e *Engine) TotalRunCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	total := 0
	for _, count := range e.runs {
		total += count
	}
	return total
}

// DropGenerations forgets all runs, so that no stream can be resumed.
func (e *Engine) DropGenerations() {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.generations)
}

// RunCountOfVersion returns how often requests were run on a version.
func (e *Engine) RunCountOfVersion(v contract.VersionID) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runsByVersion[v]
}

// PrefixHits returns how many requests found their prefix cached.
func (e *Engine) PrefixHits() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.prefixHits
}

// countDown decrements the counter of a fault and returns whether the fault occurs.
// The caller holds mu.
func countDown(n *int) bool {
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// waiter is a request that waits in the queue for a slot.
type waiter struct {
	priority, arrival int
	ready             chan struct{}
}

// waitQueue is a heap ordered by priority, then by arrival.
type waitQueue []*waiter

func (q waitQueue) Len() int      { return len(q) }
func (q waitQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q waitQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

// Push implements heap.Interface.
func (q *waitQueue) Push(waiterValue any) { *q = append(*q, waiterValue.(*waiter)) }

// Pop implements heap.Interface.
func (q *waitQueue) Pop() any {
	queue := *q
	last := queue[len(queue)-1]
	*q = queue[:len(queue)-1]
	return last
}

// acquireSlot waits until a slot is free or ctx ends.
func (e *Engine) acquireSlot(ctx context.Context, priority int) error {
	e.mu.Lock()
	if e.running < e.opts.Slots {
		e.running++
		e.recordLoad()
		e.mu.Unlock()
		return nil
	}
	e.lastArrival++
	waiting := &waiter{priority: priority, arrival: e.lastArrival, ready: make(chan struct{})}
	heap.Push(&e.queue, waiting)
	e.recordLoad()
	e.mu.Unlock()
	select {
	case <-waiting.ready:
		return nil
	case <-ctx.Done():
		e.cancelWait(waiting)
		return ctx.Err()
	}
}

// cancelWait removes a waiter from the queue.
// If the waiter has just been given a slot, it releases that slot.
func (e *Engine) cancelWait(waiting *waiter) {
	e.mu.Lock()
	i := slices.Index(e.queue, waiting)
	if i >= 0 {
		heap.Remove(&e.queue, i)
	}
	e.mu.Unlock()
	if i < 0 {
		e.releaseSlot()
	}
}

// releaseSlot gives a slot to the next waiter in the queue, or frees it if the queue is empty.
func (e *Engine) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.queue) > 0 {
		close(heap.Pop(&e.queue).(*waiter).ready)
	} else {
		e.running--
	}
	e.recordLoad()
}

// maxSamples bounds the samples kept for lagged load reports.
const maxSamples = 4096

// recordLoad adds a sample of the current load. The caller holds mu.
func (e *Engine) recordLoad() {
	e.samples = append(e.samples, loadSample{time.Now(), e.running, len(e.queue)})
	if len(e.samples) > maxSamples {
		e.samples = slices.Delete(e.samples, 0, maxSamples/2)
	}
}

// laggedLoad returns the load as it was ReportLag ago. The caller holds mu.
func (e *Engine) laggedLoad() contract.LoadReport {
	load := contract.LoadReport{Incarnation: e.incarnation, Draining: e.draining, AgeMillis: e.opts.ReportLag.Milliseconds()}
	for v := range e.loadedVersions {
		load.Versions = append(load.Versions, v)
	}
	slices.Sort(load.Versions)
	cutoff := time.Now().Add(-e.opts.ReportLag)
	for _, s := range e.samples {
		if s.at.After(cutoff) {
			break
		}
		load.Running, load.Waiting = s.running, s.waiting
	}
	return load
}

// prefixHash returns the cache key of a prompt, which is the hash of its first message.
func prefixHash(messages []engine.Message) uint64 {
	h := fnv.New64a()
	if len(messages) > 0 {
		_, _ = h.Write(messages[0].Content)
	}
	return h.Sum64()
}

// usePrefix marks a prefix as the most recently used, adds it to the cache if needed,
// and returns whether it was cached.
func (e *Engine) usePrefix(hash uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if i := slices.Index(e.prefixes, hash); i >= 0 {
		e.prefixes = append(slices.Delete(e.prefixes, i, i+1), hash)
		e.prefixHits++
		return true
	}
	if len(e.prefixes) == e.opts.PrefixCacheSize {
		e.addCacheEvent(e.prefixes[0], false)
		e.prefixes = slices.Delete(e.prefixes, 0, 1)
	}
	e.prefixes = append(e.prefixes, hash)
	e.addCacheEvent(hash, true)
	return false
}

// addCacheEvent adds an event that a prefix was cached or evicted. The caller holds mu.
func (e *Engine) addCacheEvent(hash uint64, cached bool) {
	e.cacheEvents = append(e.cacheEvents, engine.CacheEvent{Seq: uint64(len(e.cacheEvents) + 1), Prefix: hash, Cached: cached})
}

// sleep waits for the duration times SlowFactor, or until ctx ends.
func (e *Engine) sleep(ctx context.Context, duration time.Duration) {
	e.mu.Lock()
	if e.faults.SlowFactor > 1 {
		duration *= time.Duration(e.faults.SlowFactor)
	}
	e.mu.Unlock()
	if duration == 0 {
		return
	}
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}

// applyOrder loads or unloads a version. It returns false if the order's fencing token is outdated.
func (e *Engine) applyOrder(order engine.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Fencing < e.fencing && !e.opts.IgnoreFencing {
		return false
	}
	e.fencing = max(e.fencing, order.Fencing)
	if order.Kind == engine.OrderUnload {
		delete(e.loadedVersions, order.Version)
	} else {
		e.loadedVersions[order.Version] = true
	}
	return true
}

// answerTokens returns the first n tokens of the answer to a prompt.
// They depend only on the prompt and n.
func answerTokens(messages []engine.Message, n int) []string {
	raw, _ := json.Marshal(messages)
	h := fnv.New32a()
	_, _ = h.Write(raw)
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = "w" + strconv.Itoa(int(h.Sum32()%1000)+i) + " "
	}
	return tokens
}
