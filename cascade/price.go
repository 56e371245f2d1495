package cascade

import "math"

// Parameters of EscalationPrice.
const (
	// freeBudgetShare is the used fraction of the resend budget up to which an escalation (a second
	// send to a larger model) has no price.
	freeBudgetShare = 0.5
	// DefaultMaxEscalationPrice is the price of an escalation when the resend budget is almost used
	// up, as a fraction of the value of a request. Sending a request to the largest model first
	// costs 0.03 to 0.1 more than escalating after a poor answer.
	// With this price, the requests for which that difference is smallest start with the largest
	// model.
	DefaultMaxEscalationPrice = 0.15
)

// EscalationPrice returns what an escalation (a second send to a larger model) costs the later
// requests that compete for the same resend budget.
// The parameter used is the used fraction of the budget, and maxPrice is the price just before the
// budget is used up. The price of an escalation beyond the budget is infinite,
// since the poor answer would have to be delivered.
//
// Without a price for escalations, the budget ran out, and 6% of all answers were poor and could
// not be replaced. With a price, the escalations go to the requests that gain most.
// For a chat, the largest model costs little, so a chat goes to that model at once.
// The escalation budget is left to requests such as summaries, for which the largest model costs a
// third of the value.
func EscalationPrice(used, maxPrice float64) float64 {
	if used >= 1 {
		return math.Inf(1)
	}
	return maxPrice * max(0, used-freeBudgetShare) / (1 - freeBudgetShare)
}
