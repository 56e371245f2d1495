package stream

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestStallThresholdAdaptsToStream checks that the threshold fits a fast and a slow stream. A fixed
// timeout is either too long for the fast one or interrupts the slow one.
func TestStallThresholdAdaptsToStream(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	fast, slow := NewStallDetector(StallOptions{}, start), NewStallDetector(StallOptions{}, start)
	now := start
	for range 50 {
		now = now.Add(30 * time.Millisecond)
		fast.RecordChunk(now)
	}
	is.True(fast.Deadline().Sub(now) <= time.Second)
	now = start
	for range 50 {
		now = now.Add(1500 * time.Millisecond)
		slow.RecordChunk(now)
	}
	is.True(slow.Deadline().Sub(now) > 3*time.Second) // a fixed timeout of one second would interrupt it
}

// TestIrregularStreamIsNotStalled checks that slow but healthy streams, with gaps
// that vary by half, never count as stalled.
func TestIrregularStreamIsNotStalled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		gap := rapid.IntRange(5, 2000).Draw(t, "gap ms")
		now := time.Unix(0, 0)
		d := NewStallDetector(StallOptions{}, now)
		for i := range 300 {
			next := now.Add(time.Duration(float64(gap)*(0.5+r.Float64())) * time.Millisecond)
			if !next.Before(d.Deadline()) {
				t.Fatalf("chunk %d counts as stalled: gap %v, threshold %v", i, next.Sub(now), d.Deadline().Sub(now))
			}
			d.RecordChunk(next)
			now = next
		}
	})
}

// TestNextAction draws states of a broken stream. A request that must not be repeated,
// or whose version is no longer permitted, must not be sent again, and a stream
// must not restart after a chunk was delivered.
func TestNextAction(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		b := Interruption{
			DeliveredChunks: rapid.IntRange(0, 3).Draw(t, "delivered"), ResumeAttempts: rapid.IntRange(0, 2).Draw(t, "resume attempts"),
			Recoveries: rapid.IntRange(0, 6).Draw(t, "recoveries"), Permitted: rapid.Bool().Draw(t, "permitted"),
			Repeatable: rapid.Bool().Draw(t, "repeatable"), SingleText: rapid.Bool().Draw(t, "single text"),
			Deadline: now.Add(time.Duration(rapid.IntRange(-1, 1).Draw(t, "time left")) * time.Second),
		}
		switch a := NextAction(b, now); a {
		case Restart, Continue:
			if !b.Permitted || !b.Repeatable || (a == Restart) != (b.DeliveredChunks == 0) {
				t.Fatalf("action %v for %+v", a, b)
			}
		case Resume:
			if b.DeliveredChunks == 0 {
				t.Fatalf("resumed although no chunk was delivered: %+v", b)
			}
		}
		if !now.Before(b.Deadline) && NextAction(b, now) != GiveUp {
			t.Fatal("did not give up at the deadline")
		}
	})
}
