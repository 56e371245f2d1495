// Package model is a small queue model of engines and callers, in simulated
// time, for measuring the decision packages. It is a helper for measurements:
// its engines batch continuously, queue, cache prefixes in limited memory and
// report their load late, and nothing more.
package model

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"woaddoor/contract"
)

// Clock runs events in the order of their time.
type Clock struct {
	now    time.Time
	events events
	seq    int
}

// NewClock returns a clock that stands at a fixed time.
func NewClock() *Clock { return &Clock{now: time.Unix(1_000_000, 0)} }

// Now returns the simulated time.
func (c *Clock) Now() time.Time { return c.now }

// After runs do in d.
func (c *Clock) After(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.events, event{c.now.Add(d), c.seq, do})
}

// Every runs do every d, while it returns true.
func (c *Clock) Every(d time.Duration, do func() bool) {
	c.After(d, func() {
		if do() {
			c.Every(d, do)
		}
	})
}

// Run runs all events up to d from now.
func (c *Clock) Run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
	c.now = end
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}

// Push adds an event; it is called by container/heap.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event; it is called by container/heap.
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// Request is what a request asks of an engine.
type Request struct {
	Prefix uint64
	Tokens int
	// Priority orders the queue: lower goes first.
	Priority int
	// Abandoned tells, when the work's turn comes, that nobody waits for it any more.
	// Nil means that the engine is never told.
	Abandoned func() bool
}

// Result says how an engine dealt with a work.
type Result struct {
	FirstToken, Done time.Time
	Cached           bool
	Failed           bool
}

// EngineOptions set up an Engine.
type EngineOptions struct {
	Slots                            int
	PerToken, Prefill, CachedPrefill time.Duration
	CacheCapacity                    int
	// Slowdown divides the engine's speed: 10 makes it ten times as slow.
	Slowdown int
}

// Engine is one model of an engine.
type Engine struct {
	clock    *Clock
	opts     EngineOptions
	running  int
	queue    []pendingRequest
	prefixes []uint64
	history  []loadSample
	// Down makes every work fail after a short while.
	Down bool
	// MaxQueue is the longest queue so far; Hits counts cached prefixes.
	MaxQueue, CacheHits, Requests int
}

type pendingRequest struct {
	request Request
	done    func(Result)
}

type loadSample struct {
	at               time.Time
	running, waiting int
}

// NewEngine returns an idle engine.
func NewEngine(c *Clock, opts EngineOptions) *Engine {
	return &Engine{clock: c, opts: opts}
}

// failureDelay is how long a failing engine takes to fail.
const failureDelay = 20 * time.Millisecond

// Submit works on w, or queues it, and calls done at the end.
func (e *Engine) Submit(w Request, done func(Result)) {
	e.Requests++
	if e.Down {
		e.clock.After(failureDelay, func() { done(Result{Failed: true, Done: e.clock.Now()}) })
		return
	}
	if e.running < e.opts.Slots {
		e.start(pendingRequest{w, done})
	} else {
		e.queue = append(e.queue, pendingRequest{w, done})
		e.MaxQueue = max(e.MaxQueue, len(e.queue))
	}
	e.recordLoad()
}

func (e *Engine) start(p pendingRequest) {
	e.running++
	cached := e.touchPrefix(p.request.Prefix)
	prefill := e.opts.Prefill
	if cached {
		prefill = e.opts.CachedPrefill
		e.CacheHits++
	}
	speed := time.Duration(max(e.opts.Slowdown, 1))
	first := prefill * speed
	total := first + time.Duration(p.request.Tokens)*e.opts.PerToken*speed
	a := Result{FirstToken: e.clock.Now().Add(first), Cached: cached}
	e.clock.After(total, func() {
		a.Done = e.clock.Now()
		e.running--
		if next, ok := e.dequeue(); ok {
			e.start(next)
		}
		e.recordLoad()
		p.done(a)
	})
}

// dequeue takes the first of the lowest priority out of the queue, and drops the
// works that nobody waits for.
func (e *Engine) dequeue() (pendingRequest, bool) {
	e.queue = slices.DeleteFunc(e.queue, func(p pendingRequest) bool { return p.request.Abandoned != nil && p.request.Abandoned() })
	if len(e.queue) == 0 {
		return pendingRequest{}, false
	}
	best := 0
	for i, p := range e.queue {
		if p.request.Priority < e.queue[best].request.Priority {
			best = i
		}
	}
	p := e.queue[best]
	e.queue = slices.Delete(e.queue, best, best+1)
	return p, true
}

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

// maxHistory bounds the samples kept for late reports.
const maxHistory = 20_000

func (e *Engine) recordLoad() {
	e.history = append(e.history, loadSample{e.clock.Now(), e.running, len(e.queue)})
	if len(e.history) > maxHistory {
		e.history = slices.Clone(e.history[maxHistory/2:])
	}
}

// Load returns the load as it was lag ago.
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

// InSystem returns how many works run and wait now.
func (e *Engine) InSystem() int { return e.running + len(e.queue) }

// Arrivals calls do at the times of a Poisson process of rate a second, for d.
func Arrivals(c *Clock, r *rand.Rand, rate float64, d time.Duration, do func()) {
	end := c.Now().Add(d)
	var next func()
	next = func() {
		if c.Now().After(end) {
			return
		}
		do()
		c.After(interarrival(r, rate), next)
	}
	c.After(interarrival(r, rate), next)
}

func interarrival(r *rand.Rand, rate float64) time.Duration {
	return time.Duration(r.ExpFloat64() / rate * float64(time.Second))
}

// Quantiles of a sample, in milliseconds.
type Quantiles struct{ P50, P95, P99 float64 }

// QuantilesOf sorts the sample and returns its quantiles.
func QuantilesOf(sample []time.Duration) Quantiles {
	if len(sample) == 0 {
		return Quantiles{}
	}
	slices.Sort(sample)
	at := func(p float64) float64 {
		i := min(int(p*float64(len(sample))), len(sample)-1)
		return float64(sample[i]) / float64(time.Millisecond)
	}
	return Quantiles{at(0.50), at(0.95), at(0.99)}
}

// UpstreamID returns the id of the i-th engine.
func UpstreamID(i int) contract.UpstreamID {
	return contract.UpstreamID("e" + string(rune('0'+i/100)) + string(rune('0'+i/10%10)) + string(rune('0'+i%10)))
}

// SetSlowdown divides the engine's speed by factor from now on.
func (e *Engine) SetSlowdown(factor int) { e.opts.Slowdown = factor }
