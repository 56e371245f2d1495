package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"woaddoor/cascade"
	"woaddoor/contract"
	"woaddoor/internal/measure/model"
)

// Parameters of the cascade measurement. Costs are in units of one answer of the small model.
const (
	cascadeRequests   = 40_000
	costSmall         = 1.0
	costLarge         = 10.0
	costCheck         = 0.2 // of rating the small model's answer before it is delivered
	latencySmall      = 400 * time.Millisecond
	latencyLarge      = 1500 * time.Millisecond
	latencyCheck      = 80 * time.Millisecond
	largeGoodRate     = 0.96 // share of good answers of the large model
	qualityTarget     = 0.93 // minimum share of good answers
	requestsPerRating = 10   // one delivered answer in this many is rated
	ratingLag         = 200  // number of requests after which a rating arrives
)

// workload gives the probability that the small model's answer is good, by
// prompt class and request number.
type workload struct {
	name          string
	smallGoodRate func(class, i int) float64
}

// promptClasses is the number of prompt classes; class 0 has the shortest prompts.
const promptClasses = 3

// workloads are the workloads under which the policies are compared.
var workloads = []workload{
	{"easy: small good enough for all", func(int, int) float64 { return 0.95 }},
	{"mixed: good for short prompts only", func(c, _ int) float64 { return []float64{0.97, 0.75, 0.25}[c] }},
	{"hard: small of no use", func(int, int) float64 { return 0.1 }},
	{"drift: easy, then hard from the middle on", func(_, i int) float64 {
		if i < cascadeRequests/2 {
			return 0.95
		}
		return 0.3
	}},
}

// policy decides which models answer a request, and learns from ratings.
type policy interface {
	plan(class int, r *rand.Rand) cascade.Plan
	recordRating(class int, m contract.ModelID, good bool)
}

// fixedPolicy uses the same plan for every request of a class.
type fixedPolicy struct{ planFor func(class int) cascade.Plan }

func (f fixedPolicy) plan(class int, _ *rand.Rand) cascade.Plan { return f.planFor(class) }
func (fixedPolicy) recordRating(int, contract.ModelID, bool)    {}

// learnedPolicy decides with the product's cascade.Learner.
type learnedPolicy struct{ learner *cascade.Learner }

func (p learnedPolicy) plan(class int, r *rand.Rand) cascade.Plan {
	return p.learner.Decide(cascade.Query{
		Workspace: "w", Class: cascade.Class(class), CheckCost: costCheck, Target: qualityTarget,
		Models: []cascade.Model{{ID: "small", Cost: costSmall}, {ID: "large", Cost: costLarge}},
	}, r)
}

func (p learnedPolicy) recordRating(class int, m contract.ModelID, good bool) {
	p.learner.RecordRating(cascade.Arm{Workspace: "w", Model: m, Class: cascade.Class(class)}, good)
}

// Plans of the policies: only one model, or the small model with a check of its answer and
// the large model after a bad answer.
var (
	planLarge   = cascade.Plan{First: "large"}
	planSmall   = cascade.Plan{First: "small"}
	planCascade = cascade.Plan{First: "small", Check: true, Fallback: "large"}
)

// delayedRating is a rating of an answer that arrives just before request number dueAt is sent.
type delayedRating struct {
	dueAt int
	class int
	model contract.ModelID
	good  bool
}

// runCascade runs one workload under policy p. It returns the share of good answers,
// the mean cost of a request, and the latencies.
func runCascade(seed uint64, load workload, p policy) (quality, cost float64, latencies []time.Duration) {
	r := rand.New(rand.NewPCG(seed, 80))
	var ratings []delayedRating
	for i := range cascadeRequests {
		for len(ratings) > 0 && ratings[0].dueAt <= i {
			p.recordRating(ratings[0].class, ratings[0].model, ratings[0].good)
			ratings = ratings[1:]
		}
		class := r.IntN(promptClasses)
		smallGood, largeGood := r.Float64() < load.smallGoodRate(class, i), r.Float64() < largeGoodRate
		plan := p.plan(class, r)
		good, paid, latency := largeGood, costLarge, jitter(r, latencyLarge)
		answeredBy := plan.First
		if plan.First == "small" {
			good, paid, latency = smallGood, costSmall, jitter(r, latencySmall)
		}
		if plan.Check {
			paid, latency = paid+costCheck, latency+latencyCheck
			p.recordRating(class, "small", smallGood)
			if !smallGood {
				good, answeredBy = largeGood, "large"
				paid, latency = paid+costLarge, latency+jitter(r, latencyLarge)
			}
		}
		if r.IntN(requestsPerRating) == 0 && !(plan.Check && answeredBy == "small") {
			ratings = append(ratings, delayedRating{i + ratingLag, class, answeredBy, good})
		}
		if good {
			quality++
		}
		cost += paid
		latencies = append(latencies, latency)
	}
	return quality / cascadeRequests, cost / cascadeRequests, latencies
}

// jitter returns a duration that is uniformly distributed from 0.5 to 1.5 times the mean.
func jitter(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.5 + r.Float64()))
}

// cascades compares policies that plan which models of a cascade answer a request.
func cascades(seed uint64) []*table {
	policies := []struct {
		name     string
		make     func() policy
		baseline bool // regret is relative to the cheapest baseline that reaches the target
	}{
		{"always large", func() policy { return fixedPolicy{func(int) cascade.Plan { return planLarge }} }, true},
		{"always small", func() policy { return fixedPolicy{func(int) cascade.Plan { return planSmall }} }, true},
		{"always cascade", func() policy { return fixedPolicy{func(int) cascade.Plan { return planCascade }} }, true},
		{"small for short prompts, else large", func() policy {
			return fixedPolicy{func(c int) cascade.Plan {
				if c == 0 {
					return planSmall
				}
				return planLarge
			}}
		}, true},
		{"woaddoor", func() policy { return learnedPolicy{cascade.NewLearner(cascade.Options{})} }, false},
	}
	var tables []*table
	for _, w := range workloads {
		t := &table{
			title:       "Cascade: " + w.name,
			description: fmt.Sprintf("%d requests in %d classes, target %.2f, large good for %.2f, one answer in %d rated, %d requests late; cost in small answers; seed %d.", cascadeRequests, promptClasses, qualityTarget, largeGoodRate, requestsPerRating, ratingLag, seed),
			columns:     []string{"way", "good answers", "reaches the target", "cost a request", "p95 ms", "regret a request"},
		}
		cheapest := -1.0
		type result struct {
			quality, cost, p95 float64
		}
		var results []result
		for _, p := range policies {
			quality, cost, latencies := runCascade(seed, w, p.make())
			results = append(results, result{quality, cost, model.QuantilesOf(latencies).P95})
			if p.baseline && quality >= qualityTarget && (cheapest < 0 || cost < cheapest) {
				cheapest = cost
			}
		}
		for i, p := range policies {
			r := results[i]
			reaches := map[bool]string{true: "yes", false: "no"}[r.quality >= qualityTarget]
			t.addRow(p.name, fmt.Sprintf("%.3f", r.quality), reaches, r.cost, r.p95, fmt.Sprintf("%+.2f", r.cost-cheapest))
		}
		tables = append(tables, t)
	}
	return tables
}
