package cascade

// ModelOption is a model that could answer a request, with its expected quality,
// timeliness and costs. Values and costs are fractions of the value of a request that is answered
// well and in time.
type ModelOption struct {
	// GoodProbability is the probability that the answer is as good as the largest model's.
	GoodProbability float64
	// LateProbability is the probability that the answer begins later than its objective for a
	// timely start.
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
	// poorAnswerValue is the value of a poor answer,
	// which is "a small part" of the value of a good answer:
	// 0.05 on the data sheets of all known deployments.
	poorAnswerValue = 0.05
	// LatePenalty is the loss of value of an answer that begins after its objective.
	// A late answer has 0.3 of the value of a timely answer on the data sheets of all known
	// deployments.
	LatePenalty = 0.7
	// DefaultValueCostRatio is the default value of a request of the highest priority class.
	// The value is a multiple of the cost of an answer of the most expensive model.
	DefaultValueCostRatio = 15.0
)

// totalCost returns the cost of using the model option, whether its answer is good or poor.
func (o ModelOption) totalCost() float64 { return o.QueueCost + o.Cost }

// answerValue returns the value of an answer of the model option, given the probability that the
// answer is good.
func (o ModelOption) answerValue(good float64) float64 {
	if o.MissesDeadline {
		return 0
	}
	return (good + (1-good)*poorAnswerValue) * (1 - LatePenalty*o.LateProbability)
}

// Value returns the expected value of a request that the model option answers without escalation.
func (o ModelOption) Value() float64 { return o.answerValue(o.GoodProbability) - o.totalCost() }

// ValueKept returns the value of an answer that has begun,
// given the probability that the answer is good.
// The cost of the answer is not deducted, since that cost is already spent.
func (o ModelOption) ValueKept(good float64) float64 { return o.answerValue(good) }

// ValueOfEscalation returns the value of escalating to this option (a second send to a larger
// model). The answer of the smaller model is good with the given probability.
// This option turns poor answers of the smaller model into good answers only to the extent that
// this option is better.
func (o ModelOption) ValueOfEscalation(smaller ModelOption, good float64) float64 {
	improvedShare := 1.0
	if smaller.GoodProbability < 1 {
		improvedShare = max(o.GoodProbability-smaller.GoodProbability, 0) / (1 - smaller.GoodProbability)
	}
	return o.answerValue(good+(1-good)*improvedShare) - o.totalCost()
}

// ValueWithEscalation returns the expected value of a request that this option answers first.
// An escalation to a larger option follows if the answer is poor and the escalation has the higher
// value. The caller passes the larger option as it is expected to be at the time of the escalation.
func (o ModelOption) ValueWithEscalation(larger ModelOption) float64 {
	poorValue := max(o.ValueKept(0), larger.ValueOfEscalation(o, 0))
	return o.GoodProbability*o.ValueKept(1) + (1-o.GoodProbability)*poorValue - o.totalCost()
}
