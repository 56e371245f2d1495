package relay

// What a request is worth to its caller is not told. It is taken from what the
// dearest model's answer would cost, which grows with what is read and made, and
// from the rank of its route: on the sheets of all deployments known so far a
// generation is worth 9 to 21 times that cost at the first rank, 6 at the second
// and 3 to 6 at the third.
const (
	// A token read costs a quarter of one made; costs are told for 1,000 tokens.
	readToken  = 0.25
	costTokens = 1000.0
)

// worth returns what a request is taken to be worth, in the unit of costs; 0
// where no cost is told. The caller holds mu.
func (r *Relay) worth(j *job) float64 {
	tokens := readToken*float64(j.PromptTokens) + float64(j.OutputTokens)
	return r.dearest(j) * tokens / costTokens * r.opts.WorthOfCost / float64(1+max(j.Route.Priority, 0))
}

// dearestPart returns what the dearest model's answer costs, in parts of what the
// request is worth.
func (r *Relay) dearestPart(j *job) float64 {
	return float64(1+max(j.Route.Priority, 0)) / r.opts.WorthOfCost
}
