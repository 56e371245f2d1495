package site

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestCoalescer checks that a burst of calls runs the function once immediately and once
// at the end of the interval, and that the last call of a burst is never lost.
func TestCoalescer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var runs atomic.Int64
		s := newCoalescer(100 * time.Millisecond)
		for range 50 {
			s.run(func() { runs.Add(1) })
			time.Sleep(time.Millisecond)
		}
		synctest.Wait()
		is.Equal(runs.Load(), int64(1))
		time.Sleep(200 * time.Millisecond)
		is.Equal(runs.Load(), int64(2))
		s.run(func() { runs.Add(1) })
		synctest.Wait()
		is.Equal(runs.Load(), int64(3))
	})
}
