package cascade

// Option is a model that could answer a request, with its expected quality, timeliness and
// costs. Values and costs are fractions of the value of the request when it is answered
// well and in time.
type Option struct {
	// Good is the probability that the answer is as good as the largest model's.
	Good float64
	// Late is the probability that the answer begins after its objective.
	Late float64
	// Never reports that the answer would begin after the deadline.
	Never bool
	// Price is the delay cost that processing the prompt imposes on the requests queued
	// behind it.
	Price float64
	// Cost is the cost of the answer itself.
	Cost float64
}

// Values of answers, as fractions of the value of a good answer in time.
const (
	// poorAnswerValue is the value of a poor answer: "a small part" of a good one, 0.05 on
	// the data sheets of all known deployments.
	poorAnswerValue = 0.05
	// LateLoss is the loss of value of an answer that begins after its objective. A late
	// answer is worth 0.3 of one in time on the data sheets of all known deployments.
	LateLoss = 0.7
	// DefaultWorthOfCost is the default value of a request of the highest priority class,
	// as a multiple of what the answer of the most expensive model costs.
	DefaultWorthOfCost = 15.0
)

// totalCost returns the cost of using the option, whatever its answer is like.
func (o Option) totalCost() float64 { return o.Price + o.Cost }

// answerValue returns the value of an answer of the option that is good with the given
// probability.
func (o Option) answerValue(good float64) float64 {
	if o.Never {
		return 0
	}
	return (good + (1-good)*poorAnswerValue) * (1 - LateLoss*o.Late)
}

// Alone returns the expected value of a request that is answered by the option without
// escalation.
func (o Option) Alone() float64 { return o.answerValue(o.Good) - o.totalCost() }

// Kept returns the value of an answer that has begun and is good with the given
// probability. Its cost is not deducted, since it is already spent.
func (o Option) Kept(good float64) float64 { return o.answerValue(good) }

// After returns the value of escalating to the option from an answer of a smaller one that
// is good with the given probability. The option turns the smaller one's poor answers into
// good ones only to the extent that it is better.
func (o Option) After(smaller Option, good float64) float64 {
	improvedShare := 1.0
	if smaller.Good < 1 {
		improvedShare = max(o.Good-smaller.Good, 0) / (1 - smaller.Good)
	}
	return o.answerValue(good+(1-good)*improvedShare) - o.totalCost()
}

// Then returns the expected value of a request that the option answers first, with an
// escalation to a larger option if the answer is poor and the escalation has the higher
// value. The caller passes the larger option as it is expected to be at that time.
func (o Option) Then(larger Option) float64 {
	poorValue := max(o.Kept(0), larger.After(o, 0))
	return o.Good*o.Kept(1) + (1-o.Good)*poorValue - o.totalCost()
}
