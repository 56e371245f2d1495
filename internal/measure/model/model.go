// Package model simulates engines and callers as a queueing model in simulated
// time, to measure the decision packages. Its engines use continuous batching,
// queue requests, cache prefixes up to a limit and report their load with a
// delay. The package models nothing else of an engine.
package model

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"woaddoor/contract"
)

// Clock is a simulated clock that runs scheduled events in order of time.
type Clock struct {
	now    time.Time
	events events
	seq    int // sequence number of the event scheduled last
}

// NewClock returns a clock set to a fixed start time.
func NewClock() *Clock { return &Clock{now: time.Unix(1_000_000, 0)} }

// Now returns the simulated time.
func (c *Clock) Now() time.Time { return c.now }

// After schedules do to run after d.
func (c *Clock) After(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.events, event{c.now.Add(d), c.seq, do})
}

// Every runs do every d until it returns false.
func (c *Clock) Every(d time.Duration, do func() bool) {
	c.After(d, func() {
		if do() {
			c.Every(d, do)
		}
	})
}

// Run executes all events due within d and advances the clock by d.
func (c *Clock) Run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
	c.now = end
}

// event is a scheduled function. Events due at the same time run in the order of seq.
type event struct {
	at  time.Time
	seq int
	do  func()
}

// events is a heap of events that implements heap.Interface.
type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// Request describes one request to an engine: the prefix of its prompt and the
// number of tokens to generate.
type Request struct {
	Prefix uint64
	Tokens int
	// Priority orders the queue: requests with a lower value run first.
	Priority int
	// Abandoned reports whether the caller has stopped waiting. The engine calls Abandoned
	// before the engine takes the request from its queue. A nil Abandoned means that the
	// engine is not notified of cancellations.
	Abandoned func() bool
}

// Result describes how an engine completed a request.
type Result struct {
	FirstToken, Done time.Time
	Cached           bool
	Failed           bool
}

// EngineOptions configure an Engine.
type EngineOptions struct {
	// Slots is how many requests run at once, PerToken the time to generate a token.
	// Prefill is the time to the first token, and CachedPrefill the time to the first token
	// of a request whose prefix is cached. CacheCapacity is the number of cached prefixes.
	Slots                            int
	PerToken, Prefill, CachedPrefill time.Duration
	CacheCapacity                    int
	// Slowdown divides the engine's speed: 10 makes it ten times as slow.
	Slowdown int
}

// Engine models an inference engine.
type Engine struct {
	clock    *Clock
	opts     EngineOptions
	running  int
	queue    []pendingRequest
	prefixes []uint64     // cached prefixes, the most recently used last
	history  []loadSample // oldest first
	// Down makes every request fail after failureDelay.
	Down bool
	// MaxQueue is the longest queue so far. CacheHits counts the requests whose
	// prefix was cached, Requests all requests.
	MaxQueue, CacheHits, Requests int
}

// pendingRequest is a submitted request and the function to call with its result.
type pendingRequest struct {
	request Request
	done    func(Result)
}

// loadSample is the load of an engine at one time.
type loadSample struct {
	at               time.Time
	running, waiting int
}

// NewEngine returns an idle engine.
func NewEngine(clock *Clock, opts EngineOptions) *Engine {
	return &Engine{clock: clock, opts: opts}
}

// failureDelay is the time until a request to a failed engine returns its error.
const failureDelay = 20 * time.Millisecond

// Submit starts r or queues it, and calls done when it completes or fails.
func (e *Engine) Submit(r Request, done func(Result)) {
	e.Requests++
	if e.Down {
		e.clock.After(failureDelay, func() { done(Result{Failed: true, Done: e.clock.Now()}) })
		return
	}
	if e.running < e.opts.Slots {
		e.start(pendingRequest{r, done})
	} else {
		e.queue = append(e.queue, pendingRequest{r, done})
		e.MaxQueue = max(e.MaxQueue, len(e.queue))
	}
	e.recordLoad()
}

// start runs a request in a free slot. When it ends, the next queued request starts.
func (e *Engine) start(pending pendingRequest) {
	e.running++
	cached := e.touchPrefix(pending.request.Prefix)
	prefill := e.opts.Prefill
	if cached {
		prefill = e.opts.CachedPrefill
		e.CacheHits++
	}
	speed := time.Duration(max(e.opts.Slowdown, 1))
	first := prefill * speed
	total := first + time.Duration(pending.request.Tokens)*e.opts.PerToken*speed
	result := Result{FirstToken: e.clock.Now().Add(first), Cached: cached}
	e.clock.After(total, func() {
		result.Done = e.clock.Now()
		e.running--
		if next, ok := e.dequeue(); ok {
			e.start(next)
		}
		e.recordLoad()
		pending.done(result)
	})
}

// dequeue removes and returns the oldest request of the lowest Priority value. Before that,
// dequeue drops the requests that are abandoned.
func (e *Engine) dequeue() (pendingRequest, bool) {
	e.queue = slices.DeleteFunc(e.queue, func(pending pendingRequest) bool {
		return pending.request.Abandoned != nil && pending.request.Abandoned()
	})
	if len(e.queue) == 0 {
		return pendingRequest{}, false
	}
	first := 0
	for i, pending := range e.queue {
		if pending.request.Priority < e.queue[first].request.Priority {
			first = i
		}
	}
	pending := e.queue[first]
	e.queue = slices.Delete(e.queue, first, first+1)
	return pending, true
}

// touchPrefix reports whether prefix is cached,
// and makes it the most recently used entry of the cache.
func (e *Engine) touchPrefix(prefix uint64) bool {
	if i := slices.Index(e.prefixes, prefix); i >= 0 {
		e.prefixes = append(slices.Delete(e.prefixes, i, i+1), prefix)
		return true
	}
	if len(e.prefixes) >= e.opts.CacheCapacity {
		e.prefixes = e.prefixes[1:]
	}
	e.prefixes = append(e.prefixes, prefix)
	return false
}

// maxHistory bounds the number of load samples that an engine keeps for delayed reports.
const maxHistory = 20_000

// recordLoad appends the current load to the history.
func (e *Engine) recordLoad() {
	e.history = append(e.history, loadSample{e.clock.Now(), e.running, len(e.queue)})
	if len(e.history) > maxHistory {
		e.history = slices.Clone(e.history[maxHistory/2:])
	}
}

// Load returns the numbers of running and waiting requests as they were lag ago.
func (e *Engine) Load(lag time.Duration) (running, waiting int) {
	cutoff := e.clock.Now().Add(-lag)
	i, _ := slices.BinarySearchFunc(e.history, cutoff, func(l loadSample, t time.Time) int {
		if l.at.After(t) {
			return 1
		}
		return -1
	})
	if i == 0 {
		return 0, 0
	}
	return e.history[i-1].running, e.history[i-1].waiting
}

// InSystem returns the number of requests that run or wait now.
func (e *Engine) InSystem() int { return e.running + len(e.queue) }

// Arrivals calls do at the times of a Poisson process with rate events per second, for d.
func Arrivals(clock *Clock, random *rand.Rand, rate float64, d time.Duration, do func()) {
	end := clock.Now().Add(d)
	var next func()
	next = func() {
		if clock.Now().After(end) {
			return
		}
		do()
		clock.After(interarrival(random, rate), next)
	}
	clock.After(interarrival(random, rate), next)
}

// interarrival returns an exponentially distributed time between two arrivals.
func interarrival(random *rand.Rand, rate float64) time.Duration {
	return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
}

// Quantiles holds the 50th, 95th and 99th percentile of a sample, in milliseconds.
type Quantiles struct{ P50, P95, P99 float64 }

// QuantilesOf sorts the sample and returns its quantiles.
func QuantilesOf(sample []time.Duration) Quantiles {
	if len(sample) == 0 {
		return Quantiles{}
	}
	slices.Sort(sample)
	quantile := func(p float64) float64 {
		i := min(int(p*float64(len(sample))), len(sample)-1)
		return float64(sample[i]) / float64(time.Millisecond)
	}
	return Quantiles{quantile(0.50), quantile(0.95), quantile(0.99)}
}

// UpstreamID returns the ID of the i-th engine.
func UpstreamID(i int) contract.UpstreamID {
	return contract.UpstreamID("e" + string(rune('0'+i/100)) + string(rune('0'+i/10%10)) + string(rune('0'+i%10)))
}

// SetSlowdown makes the engine slower by factor from now on.
func (e *Engine) SetSlowdown(factor int) { e.opts.Slowdown = factor }
