package clock

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestSuspendedVM shows that a suspension, through which the monotonic clock
// stands still, is seen, and that a wall clock set back is not.
func TestSuspendedVM(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	wall, mono := start, start
	c := newSystem(func() (time.Time, time.Time) { return wall, mono })

	wall = wall.Add(time.Hour) // suspended: only the wall clock moved
	is.Equal(c.Now().Sub(start), time.Hour)

	wall = wall.Add(-time.Hour) // set back by an operator
	mono = mono.Add(time.Second)
	is.Equal(c.Now().Sub(start), time.Hour+time.Second)

	wall = wall.Add(time.Second) // goes on from there: time does not freeze
	mono = mono.Add(time.Second)
	is.Equal(c.Now().Sub(start), time.Hour+2*time.Second)
}

// TestTimeOfDaySetForward shows that a clock which counts suspensions does not follow the
// time of day: a VM that waits until another's lease has ended would else take it early.
func TestTimeOfDaySetForward(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	sinceBoot := 5 * time.Second
	c := newBoot(start, func() time.Duration { return sinceBoot })
	is.Equal(c.Now(), start)

	sinceBoot += 2 * time.Second // the time of day has been set forward by an hour meanwhile
	is.Equal(c.Now().Sub(start), 2*time.Second)
}

// TestSystemRuns reads the clock of this machine.
func TestSystemRuns(t *testing.T) {
	is := is.New(t)
	c := NewSystem()
	before := c.Now()
	is.True(time.Until(before).Abs() < time.Minute) // it starts at the time of day
	time.Sleep(5 * time.Millisecond)
	is.True(c.Now().Sub(before) >= 5*time.Millisecond)
}

// TestNeverSlow checks that the clock never runs slower than either source.
func TestNeverSlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		wall, mono := start, start
		c := newSystem(func() (time.Time, time.Time) { return wall, mono })
		before := c.Now()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			dw := time.Duration(rapid.Int64Range(-1e12, 1e12).Draw(t, "wall"))
			dm := time.Duration(rapid.Int64Range(0, 1e12).Draw(t, "mono"))
			wall, mono = wall.Add(dw), mono.Add(dm)
			now := c.Now()
			if passed := now.Sub(before); passed < dm || passed < dw {
				t.Fatalf("clock ran slow: %v passed, wall %v, mono %v", passed, dw, dm)
			}
			before = now
		}
	})
}
