// Package clock provides a time that is safe for checking the expiry of leases.
//
// A VM can be suspended and resumed. The monotonic clock of the operating system
// stops during a suspension and the wall clock can be set, so neither clock alone
// measures how long a lease has been held. On Linux, System uses CLOCK_BOOTTIME if the
// kernel provides it: CLOCK_BOOTTIME includes suspensions and is never set. Elsewhere System
// advances between two readings by the larger of the advances of the monotonic and the
// wall clock. System may then run fast, which ends a lease early, but never runs slow.
package clock

import (
	"context"
	"sync"
	"time"
)

// Clock provides the current time. Successive readings never decrease.
type Clock interface {
	Now() time.Time
}

// System is the clock of this VM. Use NewSystem to create one.
type System struct {
	readClocks func() (wall, mono time.Time)

	// mu guards the fields below.
	mu       sync.Mutex
	lastWall time.Time
	lastMono time.Time
	now      time.Time
}

// NewSystem returns the clock of this VM. Its first reading is the wall-clock time.
func NewSystem() *System {
	if _, ok := sinceBoot(); ok {
		return newBootClock(time.Now().Round(0), func() time.Duration {
			d, _ := sinceBoot() // cannot fail: the call above succeeded
			return d
		})
	}
	return newTwoClockSystem(func() (time.Time, time.Time) {
		t := time.Now()
		return t.Round(0), t
	})
}

// newBootClock returns a clock that reads start at first and then advances with read,
// which returns the time since boot.
func newBootClock(start time.Time, read func() time.Duration) *System {
	readAtStart := read()
	return newTwoClockSystem(func() (time.Time, time.Time) {
		t := start.Add(read() - readAtStart)
		return t, t
	})
}

// newTwoClockSystem returns a clock that advances with the faster
// of the two clocks that readClocks reads.
func newTwoClockSystem(read func() (wall, mono time.Time)) *System {
	wall, mono := read()
	return &System{readClocks: read, lastWall: wall, lastMono: mono, now: wall}
}

// Now returns the current time, without a monotonic clock reading.
func (s *System) Now() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	// Read the clocks under the lock, so that a concurrent call cannot apply an older
	// reading after a newer reading.
	wall, mono := s.readClocks()
	elapsed := max(mono.Sub(s.lastMono), wall.Sub(s.lastWall), 0)
	s.lastWall, s.lastMono = wall, mono
	s.now = s.now.Add(elapsed)
	return s.now
}

// Fake is a clock for tests that only moves when Advance is called. It is safe for concurrent use.
type Fake struct {
	mu  sync.Mutex
	now time.Time
}

// NewFake returns a fake clock set to start.
func NewFake(start time.Time) *Fake { return &Fake{now: start} }

// Now returns the current time of the fake clock.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Advance moves the clock forward by d.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
}

// Sleep waits for d or until ctx is done.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
