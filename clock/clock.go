// Package clock gives a time that is safe to end leases by.
//
// A VM can be suspended and woken. The monotonic clock of the system stands
// still through a suspension and the wall clock can be set, so neither alone
// tells how long a lease has been held. Where the system has a clock that counts
// suspensions and is never set, a Clock follows that one. Elsewhere it adds up,
// between two readings, the larger of what the two other clocks say has passed:
// it may run fast, which ends a lease early, and never runs slow.
package clock

import (
	"context"
	"sync"
	"time"
)

// Clock tells the time. Readings never go back.
type Clock interface {
	Now() time.Time
}

// System is the clock of this VM. The zero value is not usable: see NewSystem.
type System struct {
	read func() (wall, mono time.Time)

	// mu guards the fields below.
	mu       sync.Mutex
	lastWall time.Time
	lastMono time.Time
	now      time.Time
}

// NewSystem returns the clock of this VM. It starts at the time of day.
func NewSystem() *System {
	if _, ok := sinceBoot(); ok {
		return newBoot(time.Now().Round(0), func() time.Duration {
			d, _ := sinceBoot() // a clock that was there once stays
			return d
		})
	}
	return newSystem(func() (time.Time, time.Time) {
		t := time.Now()
		return t.Round(0), t
	})
}

// newBoot returns a clock that begins at start and follows one that counts suspensions.
func newBoot(start time.Time, read func() time.Duration) *System {
	first := read()
	return newSystem(func() (time.Time, time.Time) {
		t := start.Add(read() - first)
		return t, t
	})
}

func newSystem(read func() (wall, mono time.Time)) *System {
	wall, mono := read()
	return &System{read: read, lastWall: wall, lastMono: mono, now: wall}
}

// Now returns the time, without a monotonic part.
func (s *System) Now() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The reading is taken under the lock: outside it, an older reading could
	// be added after a newer one.
	wall, mono := s.read()
	passed := max(mono.Sub(s.lastMono), wall.Sub(s.lastWall), 0)
	s.lastWall, s.lastMono = wall, mono
	s.now = s.now.Add(passed)
	return s.now
}

// Fake is a clock that a test sets. It is safe for concurrent use.
type Fake struct {
	mu  sync.Mutex
	now time.Time
}

// NewFake returns a fake clock that stands at start.
func NewFake(start time.Time) *Fake { return &Fake{now: start} }

// Now returns the time that was set last.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Advance moves the clock on by d.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
}

// Pause waits for d, or until ctx ends.
func Pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
