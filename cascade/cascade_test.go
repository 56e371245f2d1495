package cascade

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woaddoor/contract"
)

var models = []Model{{ID: "small", Cost: 1}, {ID: "large", Cost: 10}}

// query returns a query about the two test models with a target share of good answers.
func query(target float64) Query {
	return Query{Workspace: "w", Models: models, CheckCost: 0.2, Target: target}
}

// simulate runs n requests with the given true shares of good answers, of which one in ten
// is rated, and returns the mean quality and cost over the second half.
func simulate(l *Learner, q Query, small, large float64, n int, r *rand.Rand) (quality, cost float64) {
	goodShare := map[contract.ModelID]float64{"small": small, "large": large}
	price := map[contract.ModelID]float64{"small": 1, "large": 10}
	for i := range n {
		p := l.Decide(q, r)
		good := r.Float64() < goodShare[p.First]
		paid := price[p.First]
		delivered := p.First
		if p.Check {
			paid += q.CheckCost
			l.RecordRating(Arm{q.Workspace, p.First, q.Class}, good)
			if !good {
				good = r.Float64() < goodShare[p.Fallback]
				paid += price[p.Fallback]
				delivered = p.Fallback
			}
		}
		if (!p.Check || delivered == p.Fallback) && r.Float64() < 0.1 {
			l.RecordRating(Arm{q.Workspace, delivered, q.Class}, good)
		}
		if i >= n/2 {
			cost += paid
			if good {
				quality++
			}
		}
	}
	return quality / float64(n-n/2), cost / float64(n-n/2)
}

// TestCheapModelIsUsedWhereItSavesCost simulates cheap models that are good enough alone,
// useful with a check, and useless, and a workspace that accepts any quality.
func TestCheapModelIsUsedWhereItSavesCost(t *testing.T) {
	for name, c := range map[string]struct{ small, target, maxCost, minQuality float64 }{
		"good enough":          {0.97, 0.9, 1.5, 0.95},
		"good with a check":    {0.7, 0.9, 5, 0.93},
		"useless":              {0.02, 0.9, 10.5, 0.93},
		"any quality accepted": {0.5, 0, 1.3, 0.45},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := rand.New(rand.NewPCG(1, 1))
			quality, cost := simulate(NewLearner(Options{}), query(c.target), c.small, 0.95, 4000, r)
			is.True(cost <= c.maxCost)
			is.True(quality >= c.minQuality)
		})
	}
}

// TestPlanFollowsQualityDrift checks that the plan changes after a cheap model becomes bad.
func TestPlanFollowsQualityDrift(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 1))
	l := NewLearner(Options{})
	_, costBefore := simulate(l, query(0.9), 0.97, 0.95, 4000, r)
	quality, costAfter := simulate(l, query(0.9), 0.3, 0.95, 8000, r)
	is.True(costBefore < 2)
	is.True(costAfter > 5)
	is.True(quality > 0.9)
}

// TestEveryQueryGetsAValidPlan is a property test: any query gets a plan
// that uses only its own models.
func TestEveryQueryGetsAValidPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLearner(Options{MaxArms: 2})
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for range rapid.IntRange(1, 30).Draw(t, "n") {
			q := query(rapid.Float64Range(0, 1).Draw(t, "target"))
			q.Class = ClassOf(rapid.IntRange(0, 1<<20).Draw(t, "bytes"))
			p := l.Decide(q, r)
			if p.First != "small" && p.First != "large" || p.Check && p.Fallback != "large" {
				t.Fatalf("invalid plan %+v", p)
			}
			l.RecordRating(Arm{"w", p.First, q.Class}, rapid.Bool().Draw(t, "good"))
		}
	})
}
