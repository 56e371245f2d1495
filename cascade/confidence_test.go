package cascade

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

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
