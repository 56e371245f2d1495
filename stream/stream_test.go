package stream

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestStallAgainstOwnPace shows a fixed timeout that is either too long for a
// quick stream or breaks a slow one, and a pace that is neither.
func TestStallAgainstOwnPace(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	quick, slow := NewPace(PaceOptions{}, start), NewPace(PaceOptions{}, start)
	now := start
	for range 50 {
		now = now.Add(30 * time.Millisecond)
		quick.Chunk(now)
	}
	is.True(quick.Due().Sub(now) <= time.Second)
	now = start
	for range 50 {
		now = now.Add(1500 * time.Millisecond)
		slow.Chunk(now)
	}
	is.True(slow.Due().Sub(now) > 3*time.Second) // a fixed second would break it
}

// TestNoFalseAlarm checks that slow but healthy streams, with gaps that vary
// by half, are never taken for stalled.
func TestNoFalseAlarm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		gap := rapid.IntRange(5, 2000).Draw(t, "gap ms")
		now := time.Unix(0, 0)
		p := NewPace(PaceOptions{}, now)
		for i := range 300 {
			next := now.Add(time.Duration(float64(gap)*(0.5+r.Float64())) * time.Millisecond)
			if !next.Before(p.Due()) {
				t.Fatalf("false alarm at chunk %d: gap %v, due after %v", i, next.Sub(now), p.Due().Sub(now))
			}
			p.Chunk(next)
			now = next
		}
	})
}

// TestDecide checks that no drawn state continues what may not be repeated or
// is no longer permitted, and none restarts after something was delivered.
func TestDecide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		b := Broken{
			Delivered: rapid.IntRange(0, 3).Draw(t, "delivered"), Resumed: rapid.IntRange(0, 2).Draw(t, "resumed"),
			Recovered: rapid.IntRange(0, 6).Draw(t, "recovered"), Permitted: rapid.Bool().Draw(t, "permitted"),
			Repeatable: rapid.Bool().Draw(t, "repeatable"), Plain: rapid.Bool().Draw(t, "plain"),
			Deadline: now.Add(time.Duration(rapid.IntRange(-1, 1).Draw(t, "left")) * time.Second),
		}
		switch a := Decide(b, now); a {
		case Restart, Continue:
			if !b.Permitted || !b.Repeatable || (a == Restart) != (b.Delivered == 0) {
				t.Fatalf("%v for %+v", a, b)
			}
		case Resume:
			if b.Delivered == 0 {
				t.Fatalf("resumed nothing: %+v", b)
			}
		}
		if !now.Before(b.Deadline) && Decide(b, now) != GiveUp {
			t.Fatal("went on past the deadline")
		}
	})
}
