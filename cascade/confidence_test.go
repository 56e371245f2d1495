package cascade

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestBar checks what moves the bar.
func TestBar(t *testing.T) {
	b := Bar{At: 0.6, PerRank: 0.1}
	for name, c := range map[string]struct {
		a      Answer
		giveUp bool
	}{
		"poor":                  {Answer{Confidence: 0.5}, true},
		"good":                  {Answer{Confidence: 0.7}, false},
		"tells nothing":         {Answer{Confidence: -1}, false},
		"less urgent":           {Answer{Confidence: 0.5, Priority: 2}, false},
		"larger one comes late": {Answer{Confidence: 0.5, Expected: 0.8}, false},
		"poor, and late":        {Answer{Confidence: 0.1, Expected: 0.8}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(b.GiveUp(c.a), c.giveUp)
		})
	}
}

// TestBarNeverRises checks that a better opinion never makes an answer be given
// up that a worse one would not.
func TestBarNeverRises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Bar{At: 0.6, PerRank: 0.1}
		a := Answer{
			Confidence: rapid.Float64Range(0, 1).Draw(t, "confidence"), Priority: rapid.IntRange(0, 9).Draw(t, "rank"),
			Expected: rapid.Float64Range(0, 3).Draw(t, "expected"),
		}
		better := a
		better.Confidence = rapid.Float64Range(a.Confidence, 1).Draw(t, "better")
		if b.GiveUp(better) && !b.GiveUp(a) {
			t.Fatalf("%+v given up, %+v not", better, a)
		}
	})
}

// TestSmallBudget plays requests of which the smaller model answers near half
// poorly, with a budget of escalations for one in five. The naive way, always
// smallest first, leaves poor answers standing; as many as the budget pays for
// leaves few. With budget enough both are the same.
func TestSmallBudget(t *testing.T) {
	is := is.New(t)
	stand := func(choose func(allowed, wanted float64) float64, allowed float64) float64 {
		r := rand.New(rand.NewPCG(1, 1))
		var wanted Wanted
		saved, left := 0.0, 0
		const n = 20000
		for range n {
			saved = min(saved+allowed, 50)
			if r.Float64() < choose(allowed, wanted.Rate()) {
				continue
			}
			poor := r.Float64() < 0.46
			wanted.Observe(poor)
			if poor && saved < 1 {
				left++
			} else if poor {
				saved--
			}
		}
		return float64(left) / n
	}
	naive := func(float64, float64) float64 { return 0 }
	is.True(stand(naive, 0.2) > 0.2)
	is.True(stand(LargestFirst, 0.2) < 0.05)
	is.True(stand(LargestFirst, 0.57) < 0.01)
}
