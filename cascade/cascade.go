// Package cascade chooses the model that answers a request first, and whether a larger model
// answers after it. The package creates no random numbers: its callers pass in the source.
//
// Learner estimates, per workspace and request class, how often the answers of a model are rated
// good. Ratings arrive late and for few answers. Old ratings lose weight,
// so that the estimates follow drift. Among the plans that reach the quality target of the
// workspace with confidence, Learner selects the plan with the lowest expected cost.
package cascade

import (
	"cmp"
	"math"
	"math/rand/v2"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"woaddoor/contract"
)

// Options configures a Learner.
type Options struct {
	// ExplorationRate is the fraction of requests that try the cheapest model with a check of its
	// answer, even if another plan looks better. Zero means 0.02.
	ExplorationRate float64
	// MaxSamples is the maximum effective number of ratings behind an estimate. Zero means 400.
	MaxSamples float64
	// StandardErrors is the number of standard errors by which a quality estimate is lowered before
	// the estimate is compared with the quality target. Zero means 1.64 (95%).
	StandardErrors float64
	// MaxArms bounds the number of quality estimates kept. Zero means 4096.
	MaxArms int
}

// Defaults of Options.
const (
	defaultExplorationRate = 0.02
	defaultMaxSamples      = 400.0
	defaultStandardErrors  = 1.64
	defaultMaxArms         = 4096
)

// Class groups requests by the size of their prompts.
type Class uint8

// bitsPerClass is the width of a class of requests: the lengths of two prompts of one class differ
// by at most a factor of 2^bitsPerClass.
const bitsPerClass = 2

// ClassOf returns the class of a prompt of n bytes.
func ClassOf(n int) Class { return Class(math.Log2(float64(max(n, 1))) / bitsPerClass) }

// Arm identifies one quality estimate: that of a workspace, a model and a request class.
type Arm struct {
	Workspace contract.WorkspaceID
	Model     contract.ModelID
	Class     Class
}

// Model is one model of a cascade and the expected cost of a request to it.
type Model struct {
	ID   contract.ModelID
	Cost float64
}

// Query asks for the plan of a request.
type Query struct {
	Workspace contract.WorkspaceID
	Class     Class
	// Models are the models of the cascade, cheapest first.
	Models []Model
	// CheckCost is the cost of one check by the rating service.
	CheckCost float64
	// Target is the minimum fraction of good answers. Zero accepts any quality.
	Target float64
}

// Plan says which model answers first and whether its answer is checked. An answer that
// fails the check is replaced by an answer of the last model.
type Plan struct {
	First contract.ModelID
	Check bool
	// Fallback is the model that answers after a failed check.
	Fallback contract.ModelID
}

// Learner maintains the quality estimates and selects plans.
// Learner is not safe for concurrent use; the caller holds a lock.
type Learner struct {
	opts Options
	arms *simplelru.LRU[Arm, *estimate]
}

// NewLearner returns a learner without any ratings.
func NewLearner(opts Options) *Learner {
	opts.ExplorationRate = cmp.Or(opts.ExplorationRate, defaultExplorationRate)
	opts.MaxSamples = cmp.Or(opts.MaxSamples, defaultMaxSamples)
	opts.StandardErrors = cmp.Or(opts.StandardErrors, defaultStandardErrors)
	opts.MaxArms = cmp.Or(opts.MaxArms, defaultMaxArms)
	arms, err := simplelru.NewLRU[Arm, *estimate](opts.MaxArms, nil)
	if err != nil {
		panic(err) // NewLRU fails only for a size below 1, which the default rules out
	}
	return &Learner{opts: opts, arms: arms}
}

// estimate is a Beta distribution over the fraction of good answers of a model.
type estimate struct{ good, bad float64 }

// Priors of the quality estimates. Nothing is assumed about a cheaper model.
// The last model is assumed to be good, since operators put a model that is good enough at the end
// of a cascade.
var (
	priorCheaper = estimate{1, 1}
	priorLast    = estimate{9, 1}
)

// mean returns the expected fraction of good answers of a model.
func (e estimate) mean() float64 { return e.good / (e.good + e.bad) }

// stdDev returns the standard deviation of the estimated fraction of good answers.
func (e estimate) stdDev() float64 {
	n := e.good + e.bad
	return math.Sqrt(e.good * e.bad / (n * n * (n + 1)))
}

// estimateOf returns the quality estimate of an arm: the ratings of the arm added to the prior.
func (l *Learner) estimateOf(a Arm, prior estimate) estimate {
	if e, ok := l.arms.Get(a); ok {
		return estimate{e.good + prior.good, e.bad + prior.bad}
	}
	return prior
}

// RecordRating records the rating of an answer. The rating may arrive late.
// The weight of a rating decays with each newer rating.
func (l *Learner) RecordRating(a Arm, good bool) {
	e, ok := l.arms.Get(a)
	if !ok {
		e = &estimate{}
		l.arms.Add(a, e)
	}
	decay := 1 - 1/l.opts.MaxSamples
	e.good *= decay
	e.bad *= decay
	if good {
		e.good++
	} else {
		e.bad++
	}
}

// candidate is a possible plan with its expected cost and quality.
type candidate struct {
	plan                       Plan
	cost                       float64
	quality, qualityLowerBound float64 // expected share of good answers, and its lower confidence bound
}

// Decide returns the plan for a request. A small share of requests explores:
// such a request gets the cheapest model with a check of its answer.
func (l *Learner) Decide(q Query, random *rand.Rand) Plan {
	candidates := l.candidates(q)
	if random.Float64() < l.opts.ExplorationRate {
		return candidates[1].plan // the cheapest model with a check: a bad answer is replaced
	}
	best := candidates[0]
	for _, c := range candidates[1:] {
		if preferred(c, best, q.Target) {
			best = c
		}
	}
	return best.plan
}

// preferred reports whether candidate a is better than candidate b.
// Plans that reach the quality target come first, the cheapest of them foremost.
// If neither plan reaches the target, the plan with the higher quality wins.
func preferred(a, b candidate, target float64) bool {
	reachesA, reachesB := a.qualityLowerBound >= target, b.qualityLowerBound >= target
	if reachesA != reachesB {
		return reachesA
	}
	if reachesA {
		return a.cost < b.cost
	}
	return a.quality > b.quality
}

// candidates returns the plan with the last model alone.
// Two plans for each cheaper model follow: a plan with a check of the answer and a plan without a
// check.
func (l *Learner) candidates(q Query) []candidate {
	last := q.Models[len(q.Models)-1]
	lastEstimate := l.estimateOf(Arm{q.Workspace, last.ID, q.Class}, priorLast)
	out := []candidate{{
		plan: Plan{First: last.ID}, cost: last.Cost,
		quality: lastEstimate.mean(), qualityLowerBound: lastEstimate.mean(),
	}}
	for _, m := range q.Models[:len(q.Models)-1] {
		e := l.estimateOf(Arm{q.Workspace, m.ID, q.Class}, priorCheaper)
		badShare := 1 - e.mean()
		// The check replaces bad answers with answers of the last model, so the quality is at least
		// that of the last model. The cost depends on how often an answer is replaced.
		checkedQuality := e.mean() + badShare*lastEstimate.mean()
		out = append(out, candidate{
			plan: Plan{First: m.ID, Check: true, Fallback: last.ID},
			cost: m.Cost + q.CheckCost + badShare*last.Cost, quality: checkedQuality, qualityLowerBound: checkedQuality,
		}, candidate{
			plan: Plan{First: m.ID}, cost: m.Cost,
			quality: e.mean(), qualityLowerBound: e.mean() - l.opts.StandardErrors*e.stdDev(),
		})
	}
	return out
}
