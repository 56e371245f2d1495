package site

import (
	"sync"
	"time"
)

// spaced runs what is asked of it at once, but no more often than once a
// period: what is asked meanwhile is run once, at the end of the period.
type spaced struct {
	period time.Duration

	// mu guards the fields below.
	mu      sync.Mutex
	last    time.Time
	waiting bool
}

func newSpaced(period time.Duration) *spaced { return &spaced{period: period} }

// ask runs f now or at the end of the period.
func (s *spaced) ask(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting {
		return
	}
	now := time.Now()
	if wait := s.period - now.Sub(s.last); wait > 0 {
		s.waiting = true
		time.AfterFunc(wait, func() {
			s.mu.Lock()
			s.waiting, s.last = false, time.Now()
			s.mu.Unlock()
			f()
		})
		return
	}
	s.last = now
	go f()
}
