package relay

// Callers do not state the value of a request.
// The value is estimated from the cost of the most expensive model's answer,
// which grows with the number of tokens, and from the priority of the route.
// In the known deployments, the value of a generated answer is
// 9 to 21 times the cost of the most expensive model's answer at the first priority,
// 6 times this cost at the second priority,
// and 3 to 6 times this cost at the third priority.
const (
	// A prompt token costs a quarter of an output token.
	// Costs are configured per 1,000 output tokens.
	promptTokenWeight = 0.25
	costUnitTokens    = 1000.0
)

// requestValue returns the estimated value of a request,
// in the unit of the configured costs of models; 0 if no costs are configured.
// The caller holds mu.
func (r *Relay) requestValue(j *job) float64 {
	tokens := promptTokenWeight*float64(j.PromptTokens) + float64(j.OutputTokens)
	return r.highestModelCost(j) * tokens / costUnitTokens * r.opts.ValueCostRatio / float64(1+max(j.Route.Priority, 0))
}

// costToValue returns the cost of the most expensive model's answer
// as a fraction of the request's value.
func (r *Relay) costToValue(j *job) float64 {
	return float64(1+max(j.Route.Priority, 0)) / r.opts.ValueCostRatio
}
