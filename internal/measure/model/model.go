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

// Work is what a request asks of an engine.
type Work struct {
	Prefix uint64
	Tokens int
	// Priority orders the queue: lower goes first.
	Priority int
	// Gone tells, when the work's turn comes, that nobody waits for it any more.
	// Nil means that the engine is never told.
	Gone func() bool
}

// Answer says how an engine dealt with a work.
type Answer struct {
	FirstToken, Done time.Time
	Cached           bool
	Failed           bool
}

// EngineOptions set up an Engine.
type EngineOptions struct {
	Slots                     int
	PerToken, Prefill, Cached time.Duration
	Prefixes                  int
	// Speed divides the engine's speed: 10 makes it ten times as slow.
	Speed int
}

// Engine is one model of an engine.
type Engine struct {
	clock    *Clock
	opts     EngineOptions
	running  int
	queue    []pending
	prefixes []uint64
	history  []load
	// Down makes every work fail after a short while.
	Down bool
	// Worst is the longest queue so far; Hits counts cached prefixes.
	Worst, Hits, Count int
}

type pending struct {
	work Work
	done func(Answer)
}

type load struct {
	at               time.Time
	running, waiting int
}

// NewEngine returns an idle engine.
func NewEngine(c *Clock, opts EngineOptions) *Engine {
	return &Engine{clock: c, opts: opts}
}

// failAfter is how long a failing engine takes to fail.
const failAfter = 20 * time.Millisecond

// Do works on w, or queues it, and calls done at the end.
func (e *Engine) Do(w Work, done func(Answer)) {
	e.Count++
	if e.Down {
		e.clock.After(failAfter, func() { done(Answer{Failed: true, Done: e.clock.Now()}) })
		return
	}
	if e.running < e.opts.Slots {
		e.start(pending{w, done})
	} else {
		e.queue = append(e.queue, pending{w, done})
		e.Worst = max(e.Worst, len(e.queue))
	}
	e.note()
}

func (e *Engine) start(p pending) {
	e.running++
	cached := e.cached(p.work.Prefix)
	prefill := e.opts.Prefill
	if cached {
		prefill = e.opts.Cached
		e.Hits++
	}
	speed := time.Duration(max(e.opts.Speed, 1))
	first := prefill * speed
	total := first + time.Duration(p.work.Tokens)*e.opts.PerToken*speed
	a := Answer{FirstToken: e.clock.Now().Add(first), Cached: cached}
	e.clock.After(total, func() {
		a.Done = e.clock.Now()
		e.running--
		if next, ok := e.next(); ok {
			e.start(next)
		}
		e.note()
		p.done(a)
	})
}

// next takes the first of the lowest priority out of the queue, and drops the
// works that nobody waits for.
func (e *Engine) next() (pending, bool) {
	e.queue = slices.DeleteFunc(e.queue, func(p pending) bool { return p.work.Gone != nil && p.work.Gone() })
	if len(e.queue) == 0 {
		return pending{}, false
	}
	best := 0
	for i, p := range e.queue {
		if p.work.Priority < e.queue[best].work.Priority {
			best = i
		}
	}
	p := e.queue[best]
	e.queue = slices.Delete(e.queue, best, best+1)
	return p, true
}

func (e *Engine) cached(prefix uint64) bool {
	if i := slices.Index(e.prefixes, prefix); i >= 0 {
		e.prefixes = append(slices.Delete(e.prefixes, i, i+1), prefix)
		return true
	}
	if len(e.prefixes) >= e.opts.Prefixes {
		e.prefixes = e.prefixes[1:]
	}
	e.prefixes = append(e.prefixes, prefix)
	return false
}

// maxHistory bounds the samples kept for late reports.
const maxHistory = 20_000

func (e *Engine) note() {
	e.history = append(e.history, load{e.clock.Now(), e.running, len(e.queue)})
	if len(e.history) > maxHistory {
		e.history = slices.Clone(e.history[maxHistory/2:])
	}
}

// Load returns the load as it was lag ago.
func (e *Engine) Load(lag time.Duration) (running, waiting int) {
	cutoff := e.clock.Now().Add(-lag)
	i, _ := slices.BinarySearchFunc(e.history, cutoff, func(l load, t time.Time) int {
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

// Line returns how many works run and wait now.
func (e *Engine) Line() int { return e.running + len(e.queue) }

// Arrivals calls do at the times of a Poisson process of rate a second, for d.
func Arrivals(c *Clock, r *rand.Rand, rate float64, d time.Duration, do func()) {
	end := c.Now().Add(d)
	var next func()
	next = func() {
		if c.Now().After(end) {
			return
		}
		do()
		c.After(gap(r, rate), next)
	}
	c.After(gap(r, rate), next)
}

func gap(r *rand.Rand, rate float64) time.Duration {
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

// UpstreamName returns the id of the i-th engine.
func UpstreamName(i int) contract.UpstreamID {
	return contract.UpstreamID("e" + string(rune('0'+i/100)) + string(rune('0'+i/10%10)) + string(rune('0'+i%10)))
}

// SetSpeed divides the engine's speed by factor from now on.
func (e *Engine) SetSpeed(factor int) { e.opts.Speed = factor }
