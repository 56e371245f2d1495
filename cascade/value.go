package cascade

// ModelOption is a model that could answer a request, with its expected quality,
// timeliness and costs. Values and costs are fractions of the value of the request when
// it is answered well and in time.
type ModelOption struct {
	// GoodProbability is the probability that the answer is as good as the largest model's.
	GoodProbability float64
	// LateProbability is the probability that the answer begins after its objective.
	LateProbability float64
	// MissesDeadline reports that the answer would begin after the deadline.
	MissesDeadline bool
	// QueueCost is the delay cost that processing the prompt imposes on
	// the requests queued behind it.
	QueueCost float64
	// Cost is the cost of the answer itself.
	Cost float64
}

// Values of answers, as fractions of the value of a good answer in time.
const (
	// poorAnswerValue is the value of a poor answer, which is "a small part" of that of a good
	// one: 0.05 on the data sheets of all known deployments.
	poorAnswerValue = 0.05
	// LatePenalty is the loss of value of an answer that begins after its objective. A late
	// answer is worth 0.3 of one in time on the data sheets of all known deployments.
	LatePenalty = 0.7
	// DefaultValueCostRatio is the default value of a request of the highest priority class,
	// as a multiple of what the answer of the most expensive model costs.
	DefaultValueCostRatio = 15.0
)

// totalCost returns the cost of using the option, whatever its answer is like.
func (o ModelOption) totalCost() float64 { return o.QueueCost + o.Cost }

// answerValue returns the value of an answer of the option that is good with the given probability.
func (o ModelOption) answerValue(good float64) float64 {
	if o.MissesDeadline {
		return 0
	}
	return (good + (1-good)*poorAnswerValue) * (1 - LatePenalty*o.LateProbability)
}

// Value returns the expected value of a request that is answered by the option without escalation.
func (o ModelOption) Value() float64 { return o.answerValue(o.GoodProbability) - o.totalCost() }

// ValueKept returns the value of an answer that has begun and is good with the given
// probability. Its cost is not deducted, since it is already spent.
func (o ModelOption) ValueKept(good float64) float64 { return o.answerValue(good) }

// ValueOfEscalation returns the value of escalating to the option from an answer of a smaller
// one that is good with the given probability. The option turns the smaller one's poor answers
// into good ones only to the extent that it is better.
func (o ModelOption) ValueOfEscalation(smaller ModelOption, good float64) float64 {
	improvedShare := 1.0
	if smaller.GoodProbability < 1 {
		improvedShare = max(o.GoodProbability-smaller.GoodProbability, 0) / (1 - smaller.GoodProbability)
	}
	return o.answerValue(good+(1-good)*improvedShare) - o.totalCost()
}

// ValueWithEscalation returns the expected value of a request that the option answers first, with an
// escalation to a larger option if the answer is poor and the escalation has the higher
// value. The caller passes the larger option as it is expected to be at that time.
func (o ModelOption) ValueWithEscalation(larger ModelOption) float64 {
	poorValue := max(o.ValueKept(0), larger.ValueOfEscalation(o, 0))
	return o.GoodProbability*o.ValueKept(1) + (1-o.GoodProbability)*poorValue - o.totalCost()
}
