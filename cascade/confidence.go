package cascade

import (
	"math"

	"woaddoor/contract"
)

// ConfidenceEstimator estimates the quality of models from the confidence that they report for
// their own answers, without any external ratings. An answer counts as good when it is as good as
// the largest model's answer. The confidences of the largest model show what good answers look
// like. The confidences of a smaller model are a mixture: some belong to good answers and some to
// poor answers.
//
// ConfidenceEstimator is not safe for concurrent use; the caller holds a lock.
type ConfidenceEstimator struct {
	models map[contract.ModelID]*confidenceStats
}

// confidenceStats holds the mean confidence of a model over all its answers,
// and the mean over its probably poor answers: their confidence is closer to that of poor answers
// than to that of good answers.
type confidenceStats struct {
	mean, lowMean       float64
	samples, lowSamples int
}

// Priors and weights of a ConfidenceEstimator.
const (
	// priorGoodConfidence and priorPoorConfidence are the prior mean
	// confidences of good and of poor answers.
	priorGoodConfidence = 0.8
	priorPoorConfidence = 0.2
	// confidenceStdDev is the standard deviation of the confidence among good answers
	// and among poor answers.
	// Observed standard deviations were about 0.19.
	confidenceStdDev = 0.2
	// priorGoodShare is the assumed fraction of good answers of a smaller model before any samples.
	priorGoodShare = 0.5
	// priorSamples is the number of answers that the priors count for.
	priorSamples = 15
	// minSampleWeight is the weight of a new sample after many samples.
	minSampleWeight = 0.005
	// minSeparation keeps the mean confidences of good and poor answers apart
	// while there are few samples.
	// minShare keeps both good and poor answers possible while there are few samples.
	minSeparation = 0.2
	minShare      = 0.02
)

// NewConfidenceEstimator returns an estimator that holds only the priors.
func NewConfidenceEstimator() *ConfidenceEstimator {
	return &ConfidenceEstimator{models: make(map[contract.ModelID]*confidenceStats)}
}

// Observe records the confidence, from 0 to 1, that a model reported for one of its answers.
// The parameter largest is the model whose answers define good answers.
func (e *ConfidenceEstimator) Observe(m, largest contract.ModelID, confidence float64) {
	if !(confidence >= 0 && confidence <= 1) { // Also rejects NaN: the values come from other VMs and are not validated.
		return
	}
	s := e.statsOf(m, largest)
	good := e.statsOf(largest, largest).mean
	s.samples++
	s.mean += sampleWeight(s.samples) * (confidence - s.mean)
	if m != largest && confidence < (good+s.lowMean)/2 {
		s.lowSamples++
		s.lowMean += sampleWeight(s.lowSamples) * (confidence - s.lowMean)
	}
}

// sampleWeight returns the weight of the newest of a number of samples.
func sampleWeight(samples int) float64 { return max(1/float64(samples+priorSamples), minSampleWeight) }

// statsOf returns the statistics of a model, initialized with the priors.
func (e *ConfidenceEstimator) statsOf(m, largest contract.ModelID) *confidenceStats {
	s, ok := e.models[m]
	if !ok {
		s = &confidenceStats{mean: priorGoodConfidence, lowMean: priorPoorConfidence}
		if m != largest {
			s.mean = priorGoodShare*priorGoodConfidence + (1-priorGoodShare)*priorPoorConfidence
		}
		e.models[m] = s
	}
	return s
}

// Samples returns the number of confidences recorded for a model.
func (e *ConfidenceEstimator) Samples(m contract.ModelID) int {
	if s, ok := e.models[m]; ok {
		return s.samples
	}
	return 0
}

// meanConfidences returns the mean confidences of a model's good and poor answers.
func (e *ConfidenceEstimator) meanConfidences(m, largest contract.ModelID) (good, poor float64) {
	good = e.statsOf(largest, largest).mean
	return good, min(e.statsOf(m, largest).lowMean, good-minSeparation)
}

// GoodShare returns the fraction of a model's answers that are as good as
// the largest model's answers.
func (e *ConfidenceEstimator) GoodShare(m, largest contract.ModelID) float64 {
	if m == largest {
		return 1
	}
	good, poor := e.meanConfidences(m, largest)
	return min(max((e.statsOf(m, largest).mean-poor)/(good-poor), 0), 1)
}

// GoodProbability returns the probability that an answer of a model is good,
// given the answer's confidence.
// The confidences of good answers and of poor answers are assumed to have the same variance (linear
// discriminant analysis).
func (e *ConfidenceEstimator) GoodProbability(m, largest contract.ModelID, confidence float64) float64 {
	goodShare := e.GoodShare(m, largest)
	if confidence < 0 || m == largest {
		return goodShare
	}
	goodShare = min(max(goodShare, minShare), 1-minShare)
	good, poor := e.meanConfidences(m, largest)
	logOdds := math.Log(goodShare/(1-goodShare)) + (good-poor)/(confidenceStdDev*confidenceStdDev)*(confidence-(good+poor)/2)
	return 1 / (1 + math.Exp(-logOdds))
}
