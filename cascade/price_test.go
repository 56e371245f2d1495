package cascade

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// requestClass is a kind of request with its quality and costs on a small and a large
// model, as fractions of the value of the request.
type requestClass struct {
	small, large ModelOption
}

// simulateBudget simulates requests of three classes for which the small model gives nearly
// half poor answers, with a limited escalation budget. It returns the share of poor answers
// that were delivered and the mean value of a request. The budget allows
// escalationsPerRequest escalations per request over a window of the last 100 requests.
func simulateBudget(escalationsPerRequest float64, price func(used float64) float64) (poorShare, meanValue float64) {
	const n, window = 20000, 100
	classes := []requestClass{
		{ModelOption{GoodProbability: 0.54, Cost: 0.003}, ModelOption{GoodProbability: 1, Cost: 0.035}}, // a chat
		{ModelOption{GoodProbability: 0.54, Cost: 0.012}, ModelOption{GoodProbability: 1, Cost: 0.17}},
		{ModelOption{GoodProbability: 0.54, Cost: 0.027}, ModelOption{GoodProbability: 1, Cost: 0.4}}, // a summary
	}
	r := rand.New(rand.NewPCG(1, 1))
	escalations := make([]float64, window)
	used := 0.0
	for i := range n {
		used -= escalations[i%window]
		escalations[i%window] = 0
		c := classes[r.IntN(len(classes))]
		priced := c.large
		priced.QueueCost += price(used / (escalationsPerRequest * window))
		if c.large.Value() >= c.small.ValueWithEscalation(priced) {
			meanValue += c.large.Value()
			continue
		}
		good := r.Float64() < c.small.GoodProbability
		meanValue += c.small.ValueKept(1) - c.small.totalCost()
		if good {
			continue
		}
		meanValue += c.small.ValueKept(0) - c.small.ValueKept(1)
		if priced.ValueOfEscalation(c.small, 0) <= c.small.ValueKept(0) || used+1 > escalationsPerRequest*window {
			poorShare++
			continue
		}
		used++
		escalations[i%window] = 1
		meanValue += c.large.Value() - c.small.ValueKept(0)
	}
	return poorShare / n, meanValue / n
}

// TestEscalationPriceImprovesBudgetUse simulates an escalation budget that is smaller than
// the number of poor answers. First come, first served, many poor answers are delivered.
// With a rising price there are few, and the mean value of a request is higher than without
// a price and than with a price only after the budget is used up. With an ample budget, the
// price makes no difference.
func TestEscalationPriceImprovesBudgetUse(t *testing.T) {
	is := is.New(t)
	noPrice := func(float64) float64 { return 0 }
	priceAtLimit := func(used float64) float64 { return EscalationPrice(used, 0) } // no price until the budget is used up
	risingPrice := func(used float64) float64 { return EscalationPrice(used, DefaultMaxEscalationPrice) }
	for _, escalationsPerRequest := range []float64{0.2, 0.3, 0.4} {
		poorNoPrice, valueNoPrice := simulateBudget(escalationsPerRequest, noPrice)
		poor, value := simulateBudget(escalationsPerRequest, risingPrice)
		_, valuePriceAtLimit := simulateBudget(escalationsPerRequest, priceAtLimit)
		is.True(value > valuePriceAtLimit+0.005)
		is.True(poorNoPrice > 0.05)
		is.True(poor < poorNoPrice/2)
		is.True(poor < 0.01)
		is.True(value > valueNoPrice)
	}
	poorNoPrice, _ := simulateBudget(0.2, noPrice)
	is.True(poorNoPrice > 0.2)
	poor, _ := simulateBudget(0.57, risingPrice)
	is.True(poor < 0.01)
	poor, value := simulateBudget(1, risingPrice)
	_, valueNoPrice := simulateBudget(1, noPrice)
	is.Equal(poor, 0.0)
	is.True(value > valueNoPrice-0.001)
}

// TestEscalationPriceIsMonotonic checks that the price is zero while much of the budget is
// left and never falls as more of it is used.
func TestEscalationPriceIsMonotonic(t *testing.T) {
	is.New(t).Equal(EscalationPrice(freeBudgetShare, 1), 0.0)
	is.New(t).True(math.IsInf(EscalationPrice(1, 1), 1))
	rapid.Check(t, func(t *rapid.T) {
		a, b := rapid.Float64Range(0, 0.999).Draw(t, "a"), rapid.Float64Range(0, 0.999).Draw(t, "b")
		if p, q := EscalationPrice(min(a, b), 1), EscalationPrice(max(a, b), 1); p > q || p < 0 || q > 1 {
			t.Fatalf("price %v at %v, price %v at %v", p, min(a, b), q, max(a, b))
		}
	})
}
