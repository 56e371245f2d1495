package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woaddoor/contract"
)

// TestRetryLimits is a property test over random attempts. It checks that a request that may have
// been executed is only retried if it is repeatable, that no retry starts that cannot finish before
// its deadline, and that the number of retries stays within the burst plus the ratio. A fixed limit
// of three attempts per request must exceed that number in at least one run.
func TestRetryLimits(t *testing.T) {
	baselineViolations := 0
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(Options{})
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		now := time.Unix(0, 0)
		firstAttempts, retries, baseline := 0, 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			b.RecordFirstAttempt()
			firstAttempts++
			for n := 1; ; n++ {
				a := Attempt{
					Number: n, Outcome: contract.Outcome(rapid.IntRange(0, 2).Draw(t, "outcome")),
					Repeatable:       rapid.Bool().Draw(t, "repeatable"),
					Deadline:         now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond),
					ExpectedDuration: 100 * time.Millisecond,
				}
				if n <= 3 {
					baseline++
				}
				d := b.TryRetry(a, now, r)
				if !d.Retry {
					break
				}
				retries++
				if !a.Repeatable && a.Outcome != contract.OutcomeNotRun {
					t.Fatal("retried a request that may have been executed")
				}
				if now.Add(d.Pause + a.ExpectedDuration).After(a.Deadline) {
					t.Fatal("retried although the deadline is too close")
				}
			}
		}
		limit := defaultBurst + defaultRatio*float64(firstAttempts)
		if float64(retries) > limit {
			t.Fatalf("%d retries for %d first attempts", retries, firstAttempts)
		}
		if float64(baseline) > limit {
			baselineViolations++
		}
	})
	is.New(t).True(baselineViolations > 0)
}
