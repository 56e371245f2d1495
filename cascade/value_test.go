package cascade

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woaddoor/contract"
)

// randomConfidence draws the confidence that a model reports for an answer, around 0.8 for
// good answers and 0.2 for poor ones as observed in production.
func randomConfidence(r *rand.Rand, good bool) float64 {
	mean := 0.2
	if good {
		mean = 0.8
	}
	return min(max(mean+0.25*r.NormFloat64(), 0), 1)
}

// trainedEstimator returns an estimator that is trained with answers of a small model, of
// which goodShare are good, and of the large model.
func trainedEstimator(seed uint64, goodShare float64, answers int) *ConfidenceEstimator {
	r := rand.New(rand.NewPCG(seed, 1))
	e := NewConfidenceEstimator()
	for range answers {
		good := r.Float64() < goodShare
		e.Observe("small", "large", randomConfidence(r, good))
		if !good {
			e.Observe("large", "large", randomConfidence(r, true))
		}
	}
	return e
}

// TestGoodShareIsEstimatedFromConfidence checks, with 50 seeds, that 250 answers suffice to
// estimate the share of good answers from confidences alone, for models of any quality.
func TestGoodShareIsEstimatedFromConfidence(t *testing.T) {
	for _, goodShare := range []float64{0.05, 0.3, 0.54, 0.8, 0.97} {
		for seed := range uint64(50) {
			e := trainedEstimator(seed, goodShare, 250)
			if got := e.GoodShare("small", "large"); math.Abs(got-goodShare) > 0.22 {
				t.Errorf("good share %.2f, seed %d: estimated %.2f", goodShare, seed, got)
			}
		}
	}
}

// TestExtremeConfidenceWithFewSamples guards against unstable estimates from few samples,
// which kept one in seven answers without any confidence. At any number of samples, an
// answer without confidence must count as poor and one with full confidence as good.
func TestExtremeConfidenceWithFewSamples(t *testing.T) {
	for answers := range 120 {
		for seed := range uint64(20) {
			e := trainedEstimator(seed, 0.54, answers)
			if got := e.GoodProbability("small", "large", 0.05); got > 0.15 {
				t.Fatalf("seed %d, after %d answers: probability %.2f of a good answer without confidence", seed, answers, got)
			}
			if got := e.GoodProbability("small", "large", 0.98); got < 0.85 {
				t.Fatalf("seed %d, after %d answers: probability %.2f of a good answer with full confidence", seed, answers, got)
			}
		}
	}
}

// TestGoodProbabilityBounds is a property test over random confidences: probabilities stay
// within bounds and never fall as the confidence rises.
func TestGoodProbabilityBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := NewConfidenceEstimator()
		models := []contract.ModelID{"small", "middle", "large"}
		for range rapid.IntRange(0, 80).Draw(t, "answers") {
			m := rapid.SampledFrom(models).Draw(t, "model")
			e.Observe(m, "large", rapid.Float64().Draw(t, "confidence"))
		}
		for _, m := range models {
			previous := 0.0
			for c := 0.0; c <= 1; c += 0.05 {
				got := e.GoodProbability(m, "large", c)
				if math.IsNaN(got) || got < previous-1e-9 || got > 1 {
					t.Fatalf("%s at %.2f: %v after %v", m, c, got, previous)
				}
				previous = got
			}
		}
	})
}

// TestEscalationDecision checks in which cases an answer is given up for an
// escalation to the larger model.
func TestEscalationDecision(t *testing.T) {
	small := ModelOption{GoodProbability: 0.5}
	for name, c := range map[string]struct {
		good     float64
		larger   ModelOption
		escalate bool
	}{
		"poor":                             {0.1, ModelOption{GoodProbability: 1, Cost: 0.1}, true},
		"good":                             {0.95, ModelOption{GoodProbability: 1, Cost: 0.1}, false},
		"larger model is late":             {0.4, ModelOption{GoodProbability: 1, Cost: 0.1, LateProbability: 1}, false},
		"poor, and larger model is late":   {0.05, ModelOption{GoodProbability: 1, Cost: 0.1, LateProbability: 1}, true},
		"larger model misses the deadline": {0.1, ModelOption{GoodProbability: 1, Cost: 0.1, MissesDeadline: true}, false},
		"engine time is expensive":         {0.4, ModelOption{GoodProbability: 1, Cost: 0.1, QueueCost: 0.6}, false},
		"larger model is no better":        {0.4, ModelOption{GoodProbability: 0.5, Cost: 0.01}, false},
		"larger model is somewhat better":  {0.1, ModelOption{GoodProbability: 0.75, Cost: 0.01}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(c.larger.ValueOfEscalation(small, c.good) > small.ValueKept(c.good), c.escalate)
		})
	}
}

// TestEscalationGainIsMonotonic is a property test: a better answer never has a
// higher gain from escalation than a worse one, and a higher queueing price of the
// larger model never raises the gain.
func TestEscalationGainIsMonotonic(t *testing.T) {
	fraction := rapid.Float64Range(0, 1)
	rapid.Check(t, func(t *rapid.T) {
		small := ModelOption{GoodProbability: fraction.Draw(t, "small")}
		larger := ModelOption{GoodProbability: fraction.Draw(t, "large"), Cost: fraction.Draw(t, "cost"), LateProbability: fraction.Draw(t, "late"), QueueCost: fraction.Draw(t, "price")}
		good := fraction.Draw(t, "good")
		gain := func(o ModelOption, good float64) float64 {
			return o.ValueOfEscalation(small, good) - small.ValueKept(good)
		}
		better := rapid.Float64Range(good, 1).Draw(t, "better")
		if gain(larger, better) > gain(larger, good)+1e-9 {
			t.Fatal("a better answer gains more from escalation than a worse one")
		}
		costlier := larger
		costlier.QueueCost += fraction.Draw(t, "surcharge")
		if gain(costlier, good) > gain(larger, good)+1e-9 {
			t.Fatal("a higher price raised the gain from escalation")
		}
	})
}

// TestFirstModelSelection checks which first model has the highest value. If engine time is
// free, that is the small model with an escalation; if it is expensive, the small model
// alone. A middle model wins if it is nearly as good as the large one, and the large model
// wins if the small one is useless.
func TestFirstModelSelection(t *testing.T) {
	best := func(options ...ModelOption) (first int, escalates bool) {
		highest := math.Inf(-1)
		for i, o := range options {
			if v := o.Value(); v > highest {
				first, escalates, highest = i, false, v
			}
			for _, larger := range options[i+1:] {
				if v := o.ValueWithEscalation(larger); v > highest {
					first, escalates, highest = i, true, v
				}
			}
		}
		return first, escalates
	}
	for name, c := range map[string]struct {
		options   []ModelOption
		first     int
		escalates bool
	}{
		"engine time is free":        {[]ModelOption{{GoodProbability: 0.54, Cost: 0.01}, {GoodProbability: 1, Cost: 0.13}}, 0, true},
		"engine time is expensive":   {[]ModelOption{{GoodProbability: 0.54, Cost: 0.01, QueueCost: 0.05}, {GoodProbability: 1, Cost: 0.13, QueueCost: 1.2}}, 0, false},
		"small model nearly as good": {[]ModelOption{{GoodProbability: 0.97, Cost: 0.01}, {GoodProbability: 1, Cost: 0.13}}, 0, true},
		"useful middle model":        {[]ModelOption{{GoodProbability: 0.3, Cost: 0.01, QueueCost: 0.1}, {GoodProbability: 0.97, Cost: 0.03, QueueCost: 0.1}, {GoodProbability: 1, Cost: 0.13, QueueCost: 0.6}}, 1, true},
		"small model useless":        {[]ModelOption{{GoodProbability: 0.02, Cost: 0.05, QueueCost: 0.05}, {GoodProbability: 1, Cost: 0.13, QueueCost: 0.05}}, 1, false},
		"larger model always late":   {[]ModelOption{{GoodProbability: 0.54, Cost: 0.01, LateProbability: 0.1}, {GoodProbability: 1, Cost: 0.13, LateProbability: 1, QueueCost: 0.5}}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first, escalates := best(c.options...)
			is.Equal(first, c.first)
			is.Equal(escalates, c.escalates)
		})
	}
}
