package cascade

// Option is a model that could answer a request, with what is expected of it.
// Worth is measured in parts of what the request is worth when it is answered
// well and in time.
type Option struct {
	// Good is how likely its answer is as good as the largest model's.
	Good float64
	// Late is how likely its answer begins too late.
	Late float64
	// Never tells that its answer would begin after the deadline.
	Never bool
	// Price is what its reading costs the requests behind it.
	Price float64
	// Cost is what its answer costs.
	Cost float64
}

// Worth of answers, in parts of a good one in time.
const (
	// poorWorth is what a poor answer is worth: "a small part", 0.05 on the
	// sheets of all deployments known so far.
	poorWorth = 0.05
	// LateLoss is what an answer loses that begins after its objective: on the
	// sheets of all deployments known so far a late one is worth 0.3 of one in time.
	LateLoss = 0.7
	// DefaultWorthOfCost is what a request of the first rank is taken to be worth, in
	// what the dearest model's answer to it costs.
	DefaultWorthOfCost = 15.0
)

// spent is what an option costs, whatever comes of it.
func (o Option) spent() float64 { return o.Price + o.Cost }

// answer is what an answer of the option is worth that is good with a
// probability.
func (o Option) answer(good float64) float64 {
	if o.Never {
		return 0
	}
	return (good + (1-good)*poorWorth) * (1 - LateLoss*o.Late)
}

// Alone returns what a request is worth that the option answers for good.
func (o Option) Alone() float64 { return o.answer(o.Good) - o.spent() }

// Kept returns what an answer is worth that has begun, and is good with a
// probability; its cost is spent already.
func (o Option) Kept(good float64) float64 { return o.answer(good) }

// After returns what it is worth to give up an answer that is good with a
// probability for one of a larger option: poor ones of the smaller one are good
// in part, as far as the larger model is better.
func (o Option) After(smaller Option, good float64) float64 {
	better := 1.0
	if smaller.Good < 1 {
		better = max(o.Good-smaller.Good, 0) / (1 - smaller.Good)
	}
	return o.answer(good+(1-good)*better) - o.spent()
}

// Then returns what a request is worth that the option answers first, when a poor
// answer is given up for one of the larger option where that is worth more. The
// larger one is to be what is expected of it by then.
func (o Option) Then(larger Option) float64 {
	poor := max(o.Kept(0), larger.After(o, 0))
	return o.Good*o.Kept(1) + (1-o.Good)*poor - o.spent()
}
