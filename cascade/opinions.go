package cascade

import (
	"math"

	"woaddoor/contract"
)

// Opinions learns what a model's opinion of its own answer is worth, from the
// opinions alone: nobody rates answers here. An answer is good when it is as
// good as the largest model's. The largest model's opinions show what good
// answers look like; a smaller model's are a mixture of those and of poor ones.
// Its owner locks it.
type Opinions struct {
	models map[contract.ModelID]*moments
}

// moments are the means of a model's opinions: of all, and of those that are
// nearer to poor answers' than to good ones'.
type moments struct {
	mean, low     float64
	seen, seenLow int
}

// Priors and weights of Opinions.
const (
	// priorGood and priorPoor are the mean opinions of good and of poor answers
	// before any was seen.
	priorGood = 0.8
	priorPoor = 0.2
	// opinionSpread is how far the opinions of either kind spread around their
	// mean: 0.19 where it was seen.
	opinionSpread = 0.2
	// priorSmall is the part of a smaller model's answers that are good before
	// any was seen.
	priorSmall = 0.5
	// priorWeight is how many answers the priors count as.
	priorWeight = 15
	// opinionWeight is the weight of the newest opinion, once many were seen.
	opinionWeight = 0.005
	// leastApart keeps good and poor answers apart, and leastPart either kind
	// possible, when few were seen.
	leastApart = 0.2
	leastPart  = 0.02
)

// NewOpinions returns what is believed before any answer.
func NewOpinions() *Opinions { return &Opinions{models: make(map[contract.ModelID]*moments)} }

// Observe takes in a model's opinion of one of its answers, 0 to 1; largest is
// the model that good answers are measured by.
func (o *Opinions) Observe(m, largest contract.ModelID, opinion float64) {
	if !(opinion >= 0 && opinion <= 1) { // also not a number: another VM may tell anything
		return
	}
	x := o.of(m, largest)
	good := o.of(largest, largest).mean
	x.seen++
	x.mean += weightOf(x.seen) * (opinion - x.mean)
	if m != largest && opinion < (good+x.low)/2 {
		x.seenLow++
		x.low += weightOf(x.seenLow) * (opinion - x.low)
	}
}

func weightOf(seen int) float64 { return max(1/float64(seen+priorWeight), opinionWeight) }

// of returns what is known of a model, from its prior on.
func (o *Opinions) of(m, largest contract.ModelID) *moments {
	x, ok := o.models[m]
	if !ok {
		x = &moments{mean: priorGood, low: priorPoor}
		if m != largest {
			x.mean = priorSmall*priorGood + (1-priorSmall)*priorPoor
		}
		o.models[m] = x
	}
	return x
}

// Seen returns how many opinions of a model were taken in.
func (o *Opinions) Seen(m contract.ModelID) int {
	if x, ok := o.models[m]; ok {
		return x.seen
	}
	return 0
}

// means returns the mean opinions of a model's good and poor answers.
func (o *Opinions) means(m, largest contract.ModelID) (good, poor float64) {
	good = o.of(largest, largest).mean
	return good, min(o.of(m, largest).low, good-leastApart)
}

// Good returns which part of a model's answers is as good as the largest one's.
func (o *Opinions) Good(m, largest contract.ModelID) float64 {
	if m == largest {
		return 1
	}
	good, poor := o.means(m, largest)
	return min(max((o.of(m, largest).mean-poor)/(good-poor), 0), 1)
}

// GoodAt returns how likely an answer of a model is good at its opinion: the two
// kinds of answers are taken to spread alike around their means (linear
// discriminant analysis).
func (o *Opinions) GoodAt(m, largest contract.ModelID, opinion float64) float64 {
	part := o.Good(m, largest)
	if opinion < 0 || m == largest {
		return part
	}
	part = min(max(part, leastPart), 1-leastPart)
	good, poor := o.means(m, largest)
	odds := math.Log(part/(1-part)) + (good-poor)/(opinionSpread*opinionSpread)*(opinion-(good+poor)/2)
	return 1 / (1 + math.Exp(-odds))
}
