package site

import (
	"sync"
	"time"
)

// coalescer runs a function at once, but at most once per interval. Further calls during
// an interval lead to a single run at its end.
type coalescer struct {
	interval time.Duration

	// mu guards the fields below.
	mu        sync.Mutex
	lastRun   time.Time
	scheduled bool
}

func newCoalescer(period time.Duration) *coalescer { return &coalescer{interval: period} }

// run runs f now or at the end of the interval.
func (s *coalescer) run(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduled {
		return
	}
	now := time.Now()
	if wait := s.interval - now.Sub(s.lastRun); wait > 0 {
		s.scheduled = true
		time.AfterFunc(wait, func() {
			s.mu.Lock()
			s.scheduled, s.lastRun = false, time.Now()
			s.mu.Unlock()
			f()
		})
		return
	}
	s.lastRun = now
	go f()
}
