package site

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestSpaced checks that a burst is told at once and at the end of its period,
// and that nothing that was asked for is left untold.
func TestSpaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var told atomic.Int64
		s := newSpaced(100 * time.Millisecond)
		for range 50 {
			s.ask(func() { told.Add(1) })
			time.Sleep(time.Millisecond)
		}
		synctest.Wait()
		is.Equal(told.Load(), int64(1))
		time.Sleep(200 * time.Millisecond)
		is.Equal(told.Load(), int64(2))
		s.ask(func() { told.Add(1) })
		synctest.Wait()
		is.Equal(told.Load(), int64(3))
	})
}
