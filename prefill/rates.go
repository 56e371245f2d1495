package prefill

import (
	"math"
	"time"

	"woaddoor/contract"
)

// Rates estimates the prefill time per prompt token
// of each model from the times at which answers begin.
// Rates is not safe for concurrent use; the caller holds a lock.
type Rates struct {
	models map[contract.ModelID]*modelRate
	// costs holds the prices of the models, from which unknown prefill rates are derived.
	costs map[contract.ModelID]float64
}

// modelRate is the estimated prefill rate of a model, as the logarithm of seconds per token.
type modelRate struct {
	logSecondsPerToken float64
	// secondsPerToken caches the exponential of logSecondsPerToken,
	// since the rate is read far more often than the rate changes.
	secondsPerToken float64
	samples         int
}

// setLog sets the prefill rate, clamped to plausible bounds.
func (r *modelRate) setLog(logSecondsPerToken float64) {
	r.logSecondsPerToken = min(max(logSecondsPerToken, math.Log(minSecondsPerToken)), math.Log(maxSecondsPerToken))
	r.secondsPerToken = math.Exp(r.logSecondsPerToken)
}

// Parameters of Rates.
const (
	// priorSecondsPerToken is the initial prefill rate of the most expensive model.
	// The first answers correct this rate.
	priorSecondsPerToken = 50e-6
	// costExponent relates prefill times to prices.
	// The prefill of a model that costs fifteen times as much takes six to ten times as long.
	costExponent = 0.75
	// minObservedTokens is the shortest prefill from which a prefill rate is learned, in tokens.
	// Below 1,000 tokens, the network
	// and the first computation step of the engine take as long as the prefill.
	minObservedTokens = 1000
	// minSampleWeight is the weight of a new sample after many samples.
	// maxLogStep limits the effect of one sample on the logarithm of the rate,
	// because an unknown queue or an unexpected cache hit distorts single samples.
	minSampleWeight = 0.03
	maxLogStep      = 0.4
	// upperBoundWeight is the weight of a sample
	// that only gives an upper bound of the prefill rate.
	// Some of these samples come from unexpected cache hits.
	upperBoundWeight = 0.03
	// initialLogStep replaces maxLogStep for the first samples.
	// initialLogStep shrinks with the number of samples,
	// since the initial rate may be several times too high or too low.
	initialLogStep = 1.5
	// minSecondsPerToken and maxSecondsPerToken bound the prefill time per token.
	// The bounds are a tenth of the shortest
	// and ten times the longest observed prefill time per token.
	minSecondsPerToken = 0.2e-6
	maxSecondsPerToken = 2e-3
	// BaseLatency is the time to the first token apart from prefill:
	// the time of the network and of the first computation step of the engine.
	BaseLatency = 20 * time.Millisecond
)

// NewRates returns rates without any samples.
func NewRates(costs map[contract.ModelID]float64) *Rates {
	return &Rates{models: make(map[contract.ModelID]*modelRate), costs: costs}
}

// SetCosts sets the prices of the models.
func (r *Rates) SetCosts(costs map[contract.ModelID]float64) { r.costs = costs }

// PrefillTime returns the expected prefill time of a number of tokens.
func (r *Rates) PrefillTime(model contract.ModelID, tokens int) time.Duration {
	return time.Duration(r.perToken(model) * float64(tokens) * float64(time.Second))
}

// LongestPrefillTime returns the expected prefill time of a number of tokens at the slowest model.
func (r *Rates) LongestPrefillTime(tokens int) time.Duration {
	slowest := 0.0
	for m := range r.costs {
		slowest = max(slowest, r.perToken(m))
	}
	return time.Duration(slowest * float64(tokens) * float64(time.Second))
}

// attentionParity is the context in tokens at which attention takes as long as the rest of the
// prefill of a token. A model of 70 billion parameters in 80 layers of width 8,192 takes
// 2 x 70e9 operations for a token's weights and 4 x 80 x 8,192 for each token of its context.
const attentionParity = 53_000

// EquivalentTokens returns the number of prompt tokens without context whose prefill takes as long
// as that of uncached tokens which follow a number of cached tokens.
func EquivalentTokens(uncached, cached int) int {
	meanContext := float64(cached) + float64(uncached)/2
	return int(float64(uncached) * (1 + meanContext/attentionParity))
}

// perToken returns the expected prefill time per token in seconds.
func (r *Rates) perToken(m contract.ModelID) float64 {
	if rate, ok := r.models[m]; ok {
		return rate.secondsPerToken
	}
	return r.priorOf(m)
}

// priorOf returns the initial prefill rate of a model without samples.
// priorOf scales the rate of the model with the most samples by the ratio
// of the prices of the two models, raised to costExponent.
// If no model has samples, priorOf scales priorSecondsPerToken
// by the ratio to the price of the most expensive model.
func (r *Rates) priorOf(m contract.ModelID) float64 {
	cost := r.costs[m]
	if cost <= 0 {
		return priorSecondsPerToken
	}
	mostSamples, maxCost := 0, 0.0
	refCost, refSecondsPerToken := 0.0, priorSecondsPerToken
	for id, c := range r.costs {
		maxCost = max(maxCost, c)
		if other, ok := r.models[id]; ok && other.samples > mostSamples && c > 0 {
			mostSamples, refCost, refSecondsPerToken = other.samples, c, other.secondsPerToken
		}
	}
	if mostSamples == 0 {
		refCost = maxCost
	}
	return refSecondsPerToken * math.Pow(cost/refCost, costExponent)
}

// RecordSample records the time from a send to the beginning of the answer,
// and the number of prompt tokens that were expected not to be cached.
// If exact is true, neither a queue nor cached parts were expected,
// so the time is a sample of the prefill rate.
// If exact is false, the time is only an upper bound:
// the prefill took no longer than the answer took to begin.
func (r *Rates) RecordSample(m contract.ModelID, uncachedTokens int, elapsed time.Duration, exact bool) {
	if uncachedTokens < minObservedTokens || elapsed <= BaseLatency {
		return
	}
	observed := math.Log((elapsed - BaseLatency).Seconds() / float64(uncachedTokens))
	rate := r.rateOf(m)
	if !exact {
		if observed < rate.logSecondsPerToken {
			rate.setLog(rate.logSecondsPerToken + upperBoundWeight*max(observed-rate.logSecondsPerToken, -maxLogStep))
		}
		return
	}
	rate.samples++
	step := max(initialLogStep/float64(rate.samples), maxLogStep)
	rate.setLog(rate.logSecondsPerToken + max(1/float64(rate.samples+1), minSampleWeight)*min(max(observed-rate.logSecondsPerToken, -step), step))
}

// RecordRatio records the ratio of the actual
// to the expected duration of a busy interval of an engine.
// If no engine is ever idle, these ratios are the only available samples.
func (r *Rates) RecordRatio(m contract.ModelID, ratio float64) {
	if ratio <= 0 {
		return
	}
	rate := r.rateOf(m)
	rate.samples++
	step := max(initialLogStep/float64(rate.samples), maxLogStep)
	rate.setLog(rate.logSecondsPerToken + max(1/float64(rate.samples+1), minSampleWeight)*min(max(math.Log(ratio), -step), step))
}

// rateOf returns the prefill rate of a model.
// A model without samples gets the initial rate that priorOf returns.
func (r *Rates) rateOf(m contract.ModelID) *modelRate {
	rate, ok := r.models[m]
	if !ok {
		rate = &modelRate{}
		rate.setLog(math.Log(r.priorOf(m)))
		r.models[m] = rate
	}
	return rate
}

// OwnRate returns the prefill time per token if this VM has enough samples of its own.
// Rates received from other VMs are not passed on,
// since VMs would otherwise confirm each other's estimates.
func (r *Rates) OwnRate(m contract.ModelID) (time.Duration, bool) {
	rate, ok := r.models[m]
	if !ok || rate.samples < minOwnSamples {
		return 0, false
	}
	return time.Duration(rate.secondsPerToken * float64(time.Second)), true
}

// SetRemoteRate records a prefill time per token that another VM measured.
// The measured time of the other VM is used until this VM has enough samples of its own.
func (r *Rates) SetRemoteRate(m contract.ModelID, perToken time.Duration) {
	if rate := r.rateOf(m); rate.samples < minOwnSamples && perToken > 0 {
		rate.setLog(math.Log(perToken.Seconds()))
	}
}

// minOwnSamples is the number of samples of this VM
// from which on rates received from other VMs are ignored.
const minOwnSamples = 5
