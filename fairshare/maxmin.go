package fairshare

import (
	"cmp"
	"slices"
)

// Claim is the work that one participant demands, and its weight.
type Claim struct{ Demand, Weight float64 }

// MaxMin divides a capacity among claims by weighted max-min fairness, in the order of the claims.
// No claim gets more than it demands. A claim that gets less than it demands gets, relative to its
// weight, at least as much as any other claim. The capacity is used up unless all demands are met.
func MaxMin(claims []Claim, capacity float64) []float64 {
	order := make([]int, len(claims))
	for i := range claims {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(claims[a].Demand*claims[b].Weight, claims[b].Demand*claims[a].Weight)
	})
	// weightsFrom holds the sum of the weights from each position of the order on. Subtracting the
	// weights from their total instead would leave 0 beside a weight that is lost in rounding.
	weightsFrom := make([]float64, len(claims))
	weights := 0.0
	for n, i := range slices.Backward(order) {
		weights += claims[i].Weight
		weightsFrom[n] = weights
	}
	shares := make([]float64, len(claims))
	for n, i := range order {
		claim, weights := claims[i], weightsFrom[n]
		shares[i] = min(claim.Demand, max(capacity, 0)*claim.Weight/weights)
		capacity -= shares[i]
	}
	return shares
}

// minPriorityShare is the part of a workspace's share that each less urgent priority with demand
// gets, so that urgent requests do not suppress the others completely.
const minPriorityShare = 0.1

// priorityFractions returns the fraction of the demand that is admitted for each priority of a
// workspace. demands are sorted by priority, the most urgent first.
// The share goes to the more urgent priorities first, after the minimum of the others.
// No fraction is lower than the fraction of a less urgent priority; this rule takes precedence
// over the minimum.
func priorityFractions(demands []float64, share float64) []float64 {
	admitted := make([]float64, len(demands))
	left := share
	for i := 1; i < len(demands); i++ {
		admitted[i] = min(demands[i], minPriorityShare*share, left)
		left -= admitted[i]
	}
	for i, demand := range demands {
		more := min(demand-admitted[i], left)
		admitted[i] += more
		left -= more
	}
	return nonIncreasing(admitted, demands)
}

// block is a run of priorities that are admitted at the same fraction.
type block struct {
	admitted, demand float64
	priorities       int
}

// fraction returns the admitted fraction of a block.
func (b block) fraction() float64 {
	if b.demand <= 0 {
		return 1
	}
	return min(b.admitted/b.demand, 1)
}

// nonIncreasing returns the admitted fractions of the demands. Neighbours whose fractions would
// increase are pooled, which leaves the sum of the admitted work as it is.
func nonIncreasing(admitted, demands []float64) []float64 {
	var blocks []block
	for i := range demands {
		blocks = append(blocks, block{admitted[i], demands[i], 1})
		for n := len(blocks); n > 1 && blocks[n-1].fraction() > blocks[n-2].fraction(); n-- {
			last := blocks[n-1]
			blocks = blocks[:n-1]
			blocks[n-2].admitted += last.admitted
			blocks[n-2].demand += last.demand
			blocks[n-2].priorities += last.priorities
		}
	}
	fractions := make([]float64, 0, len(demands))
	for _, b := range blocks {
		for range b.priorities {
			fractions = append(fractions, b.fraction())
		}
	}
	return fractions
}
