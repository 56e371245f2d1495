package site

import (
	"sync"
	"time"
)

// coalescer runs a function at once, but at most once per interval.
// Further calls during an interval lead to a single run at the end of the interval.
type coalescer struct {
	interval time.Duration

	// mu guards the fields below.
	mu        sync.Mutex
	lastRun   time.Time
	scheduled bool
}

func newCoalescer(interval time.Duration) *coalescer { return &coalescer{interval: interval} }

// run runs f now or at the end of the interval.
func (c *coalescer) run(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.scheduled {
		return
	}
	now := time.Now()
	if wait := c.interval - now.Sub(c.lastRun); wait > 0 {
		c.scheduled = true
		time.AfterFunc(wait, func() {
			c.mu.Lock()
			c.scheduled, c.lastRun = false, time.Now()
			c.mu.Unlock()
			f()
		})
		return
	}
	c.lastRun = now
	go f()
}

// recipients is a set of VMs to which gossip is sent.
type recipients uint8

const (
	// toHubs stands for the other hubs of this data centre, and toLeaves for the leaves of this VM.
	toHubs recipients = 1 << iota
	toLeaves
	// toRegion stands for one VM of each other data centre of this region,
	// and toAllDataCentres for one VM of each other data centre.
	toRegion
	toAllDataCentres
)

// rounds sends rounds of messages at a limited rate.
// Requests during an interval lead to one round that goes to the recipients of all of them.
type rounds struct {
	coalescer *coalescer
	send      func(to recipients)

	// mu guards pending, the recipients of the next round.
	mu      sync.Mutex
	pending recipients
}

func newRounds(interval time.Duration, send func(to recipients)) *rounds {
	return &rounds{coalescer: newCoalescer(interval), send: send}
}

// request sends a round to the given recipients now or at the end of the interval.
func (r *rounds) request(to recipients) {
	r.mu.Lock()
	r.pending |= to
	r.mu.Unlock()
	r.coalescer.run(r.sendPending)
}

func (r *rounds) sendPending() {
	r.mu.Lock()
	to := r.pending
	r.pending = 0
	r.mu.Unlock()
	r.send(to)
}
