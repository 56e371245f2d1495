// Package cascade decides when a cheaper model answers first. It is pure: the
// random source is given.
//
// It learns, per workspace and kind of request, how often a model's answers
// are rated good, from ratings that come late and for few answers, forgets
// slowly so that drift is followed, and takes the plan with the least expected
// cost among those that reach the workspace's quality with confidence.
package cascade

import (
	"cmp"
	"math"
	"math/rand/v2"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"woaddoor/contract"
)

// Options tune a Learner.
type Options struct {
	// Explore is the part of requests that try the cheaper model under check,
	// though another plan seems better. Zero means 0.02.
	Explore float64
	// Memory is how many ratings an estimate rests on at most. Zero means 400.
	Memory float64
	// Confidence is how many standard errors an estimate is lowered by before
	// it counts as reaching the target. Zero means 1.64 (95%).
	Confidence float64
	// MaxArms bounds the estimates kept. Zero means 4096.
	MaxArms int
}

// Defaults of Options.
const (
	defaultExplore    = 0.02
	defaultMemory     = 400.0
	defaultConfidence = 1.64
	defaultMaxArms    = 4096
)

// Class is a kind of request, by the size of its prompt.
type Class uint8

// classBits is the number of bits of prompt length that make one class.
const classBits = 2

// ClassOf returns the class of a prompt of n bytes.
func ClassOf(n int) Class { return Class(math.Log2(float64(max(n, 1))) / classBits) }

// Arm names one estimate.
type Arm struct {
	Workspace contract.WorkspaceID
	Model     contract.ModelID
	Class     Class
}

// Model is one model of a cascade, with what a request at it is likely to cost.
type Model struct {
	ID   contract.ModelID
	Cost float64
}

// Query asks for the plan of a request.
type Query struct {
	Workspace contract.WorkspaceID
	Class     Class
	// Models are in the order of the cascade, cheapest first.
	Models []Model
	// CheckCost is what one check by the rating service costs.
	CheckCost float64
	// Target is the least share of good answers. Zero takes any.
	Target float64
}

// Plan says which model answers first, and whether its answer is checked and,
// if it is not good, given up for the last model's.
type Plan struct {
	First contract.ModelID
	Check bool
	// Then is the model that answers after a failed check.
	Then contract.ModelID
}

// Learner keeps the estimates. Its owner locks it.
type Learner struct {
	opts Options
	arms *simplelru.LRU[Arm, *estimate]
}

// NewLearner returns a learner that knows nothing.
func NewLearner(opts Options) *Learner {
	opts.Explore = cmp.Or(opts.Explore, defaultExplore)
	opts.Memory = cmp.Or(opts.Memory, defaultMemory)
	opts.Confidence = cmp.Or(opts.Confidence, defaultConfidence)
	opts.MaxArms = cmp.Or(opts.MaxArms, defaultMaxArms)
	arms, err := simplelru.NewLRU[Arm, *estimate](opts.MaxArms, nil)
	if err != nil {
		panic(err) // only for a size below 1, which the default rules out
	}
	return &Learner{opts: opts, arms: arms}
}

// estimate is a Beta distribution of the share of good answers.
type estimate struct{ good, bad float64 }

// Priors: nothing is known of a cheaper model; the last one, which operators
// put there as good enough, is taken to be good.
var (
	priorAny  = estimate{1, 1}
	priorLast = estimate{9, 1}
)

func (e estimate) mean() float64 { return e.good / (e.good + e.bad) }

func (e estimate) deviation() float64 {
	n := e.good + e.bad
	return math.Sqrt(e.good * e.bad / (n * n * (n + 1)))
}

func (l *Learner) estimate(a Arm, prior estimate) estimate {
	if e, ok := l.arms.Get(a); ok {
		return estimate{e.good + prior.good, e.bad + prior.bad}
	}
	return prior
}

// Rated takes in the rating of an answer. It may come late; each one counts
// once, and old ones fade as new ones come.
func (l *Learner) Rated(a Arm, good bool) {
	e, ok := l.arms.Get(a)
	if !ok {
		e = &estimate{}
		l.arms.Add(a, e)
	}
	fade := 1 - 1/l.opts.Memory
	e.good *= fade
	e.bad *= fade
	if good {
		e.good++
	} else {
		e.bad++
	}
}

// candidate is a plan with what is expected of it.
type candidate struct {
	plan          Plan
	cost          float64
	quality, sure float64 // expected, and with confidence
}

// Decide returns the plan for a request.
func (l *Learner) Decide(q Query, random *rand.Rand) Plan {
	candidates := l.candidates(q)
	if random.Float64() < l.opts.Explore {
		return candidates[1].plan // the cheapest under check: safe to try
	}
	best := candidates[0]
	for _, c := range candidates[1:] {
		if better(c, best, q.Target) {
			best = c
		}
	}
	return best.plan
}

// better tells whether a goes before b: what reaches the target before what
// does not, then the cheaper, or where neither reaches it the better.
func better(a, b candidate, target float64) bool {
	reachesA, reachesB := a.sure >= target, b.sure >= target
	if reachesA != reachesB {
		return reachesA
	}
	if reachesA {
		return a.cost < b.cost
	}
	return a.quality > b.quality
}

// candidates returns the last model alone, then for each cheaper one itself
// under check and itself alone.
func (l *Learner) candidates(q Query) []candidate {
	last := q.Models[len(q.Models)-1]
	lastEstimate := l.estimate(Arm{q.Workspace, last.ID, q.Class}, priorLast)
	out := []candidate{{
		plan: Plan{First: last.ID}, cost: last.Cost,
		quality: lastEstimate.mean(), sure: lastEstimate.mean(),
	}}
	for _, m := range q.Models[:len(q.Models)-1] {
		e := l.estimate(Arm{q.Workspace, m.ID, q.Class}, priorAny)
		miss := 1 - e.mean()
		// Under check a bad answer is replaced, so the quality is that of the
		// last model at least; what it costs depends on how often.
		checked := e.mean() + miss*lastEstimate.mean()
		out = append(out, candidate{
			plan: Plan{First: m.ID, Check: true, Then: last.ID},
			cost: m.Cost + q.CheckCost + miss*last.Cost, quality: checked, sure: checked,
		}, candidate{
			plan: Plan{First: m.ID}, cost: m.Cost,
			quality: e.mean(), sure: e.mean() - l.opts.Confidence*e.deviation(),
		})
	}
	return out
}
