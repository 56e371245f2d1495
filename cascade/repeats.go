package cascade

import "math"

// Parameters of RepeatPrice.
const (
	// repeatFree is the part of the budget up to which a repeat is free.
	repeatFree = 0.5
	// DefaultRepeatPrice is the price at which no more of the budget is left, in parts
	// of what a request is worth: a largest model's answer at once costs 0.03 to 0.1
	// more than one after a poor answer, so it is enough to turn the cheapest of them.
	DefaultRepeatPrice = 0.15
)

// RepeatPrice returns what giving an answer up for another costs the requests that will
// want the same, by the part of the budget of repeats that is used; most is the price
// just before it is used up. Then it is without end: the answer that is given up would
// have to stand.
//
// Where all poor answers were given up until the budget had run out, 6% of all answers
// were poor and stood. By its price the repeats go to the requests that gain most: a chat,
// for which the largest model costs little, has it answer at once, and leaves its repeat
// to a summary, for which that costs a third of its worth.
func RepeatPrice(used, most float64) float64 {
	if used >= 1 {
		return math.Inf(1)
	}
	return most * max(0, used-repeatFree) / (1 - repeatFree)
}
