package clock

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestSuspensionAdvancesClock checks that the clock advances over a suspension, during
// which the monotonic clock stops, and that it does not follow a wall clock that is set
// back.
func TestSuspensionAdvancesClock(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	wall, mono := start, start
	c := newTwoClockSystem(func() (time.Time, time.Time) { return wall, mono })

	wall = wall.Add(time.Hour) // suspended: only the wall clock moved
	is.Equal(c.Now().Sub(start), time.Hour)

	wall = wall.Add(-time.Hour) // set back by an operator
	mono = mono.Add(time.Second)
	is.Equal(c.Now().Sub(start), time.Hour+time.Second)

	wall = wall.Add(time.Second) // the clock keeps advancing after that
	mono = mono.Add(time.Second)
	is.Equal(c.Now().Sub(start), time.Hour+2*time.Second)
}

// TestBootClockIgnoresWallClock checks that a boot clock ignores changes of the wall clock.
// If it followed a wall clock that is set forward, a VM that waits for another VM's lease
// to expire would acquire the lease too early.
func TestBootClockIgnoresWallClock(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	sinceBoot := 5 * time.Second
	c := newBootClock(start, func() time.Duration { return sinceBoot })
	is.Equal(c.Now(), start)

	sinceBoot += 2 * time.Second // meanwhile the wall clock was set forward by an hour
	is.Equal(c.Now().Sub(start), 2*time.Second)
}

// TestSystemClockAdvances checks that the real clock starts at the wall-clock time and
// advances at least as far as a sleep takes.
func TestSystemClockAdvances(t *testing.T) {
	is := is.New(t)
	c := NewSystem()
	before := c.Now()
	is.True(time.Until(before).Abs() < time.Minute) // it starts at the wall-clock time
	time.Sleep(5 * time.Millisecond)
	is.True(c.Now().Sub(before) >= 5*time.Millisecond)
}

// TestClockNeverRunsSlow checks that between two readings the clock advances at least as far
// as the wall clock and the monotonic clock do, for random steps of both.
func TestClockNeverRunsSlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		wall, mono := start, start
		c := newTwoClockSystem(func() (time.Time, time.Time) { return wall, mono })
		before := c.Now()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			wallStep := time.Duration(rapid.Int64Range(-1e12, 1e12).Draw(t, "wall"))
			monoStep := time.Duration(rapid.Int64Range(0, 1e12).Draw(t, "mono"))
			wall, mono = wall.Add(wallStep), mono.Add(monoStep)
			now := c.Now()
			if elapsed := now.Sub(before); elapsed < monoStep || elapsed < wallStep {
				t.Fatalf("clock advanced by %v, less than the wall clock (%v) or the monotonic clock (%v)", elapsed, wallStep, monoStep)
			}
			before = now
		}
	})
}
