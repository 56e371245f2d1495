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
