package drain

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestTurnsAreTakenOneByOne checks that a body waits for its turn, and that one whose caller stops within a turn does
// not keep the others waiting.
func TestTurnsAreTakenOneByOne(t *testing.T) {
	is := is.New(t)
	turns := &turns{free: make(chan struct{}, 1)}
	is.True(turns.take())
	second := make(chan bool)
	go func() { second <- turns.take() }()
	turns.end(0, false)
	is.True(<-second)
	is.True(!turns.take()) // the second turn does not end
	turns.end(time.Second, false)
	is.Equal(turns.owed.Load(), int64(0))
	is.True(turns.take())
	began := time.Now()
	turns.end(time.Hour, true) // the process was suspended
	is.True(time.Since(began) < time.Minute)
}
