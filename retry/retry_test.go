package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woaddoor/contract"
)

// TestDecide checks the three bounds over drawn attempts: what may have run is
// not repeated unless it may be, nothing is tried that cannot end in time, and
// retries stay within the burst and the ratio. The naive "three times" is over
// that in the same draw.
func TestDecide(t *testing.T) {
	naiveOver := 0
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(Options{})
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		now := time.Unix(0, 0)
		firsts, retries, naive := 0, 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			b.First()
			firsts++
			for n := 1; ; n++ {
				a := Attempt{
					Number: n, Outcome: contract.Outcome(rapid.IntRange(0, 2).Draw(t, "outcome")),
					Repeatable: rapid.Bool().Draw(t, "repeatable"),
					Deadline:   now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond),
					Expected:   100 * time.Millisecond,
				}
				if n <= 3 {
					naive++
				}
				d := b.Decide(a, now, r)
				if !d.Again {
					break
				}
				retries++
				if !a.Repeatable && a.Outcome != contract.NotRun {
					t.Fatal("repeated what may have run")
				}
				if now.Add(d.Pause + a.Expected).After(a.Deadline) {
					t.Fatal("tried what cannot end in time")
				}
			}
		}
		limit := defaultBurst + defaultRatio*float64(firsts)
		if float64(retries) > limit {
			t.Fatalf("%d retries for %d requests", retries, firsts)
		}
		if float64(naive) > limit {
			naiveOver++
		}
	})
	is.New(t).True(naiveOver > 0)
}
