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
