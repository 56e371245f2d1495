package reading

import (
	"math"
	"time"

	"woaddoor/contract"
)

// Rates are how long engines take to read, by model, learnt from the times at
// which answers begin. Its owner locks it.
type Rates struct {
	models map[contract.ModelID]*rate
	// costs are the models' prices, which stand in for times that are not known.
	costs map[contract.ModelID]float64
}

// rate is how long a model takes to read, as the logarithm of seconds a token.
type rate struct {
	log float64
	// seconds a token, kept beside its logarithm since it is read far more often.
	seconds float64
	seen    int
}

// set sets the time within bounds that no engine leaves.
func (r *rate) set(log float64) {
	r.log = min(max(log, math.Log(leastToken)), math.Log(mostToken))
	r.seconds = math.Exp(r.log)
}

// Parameters of Rates.
const (
	// priorRate is seconds a token of the dearest model before any was seen; the
	// first answers correct it.
	priorRate = 50e-6
	// costPower is how times follow prices between models: a model that costs
	// fifteen times as much was seen to read six to ten times as long.
	costPower = 0.75
	// leastRead is how long a prompt is at least that tells a rate, in tokens:
	// below, the link and the first step take as long as the reading.
	leastRead = 1000
	// rateWeight is the weight of the newest time, once many were seen, and
	// rateStep bounds, as a logarithm, what one time tells: a wait that was not
	// known of, or a part that was kept, must not move it far.
	rateWeight = 0.03
	rateStep   = 0.4
	// boundWeight is the weight of a bound: some come from parts that were kept
	// without being known of.
	boundWeight = 0.03
	// firstSteps is the same bound for the first times, falling with their number:
	// the prior may be several times off.
	firstSteps = 1.5
	// leastToken and mostToken bound seconds a token, ten times beyond the fastest
	// and the slowest that were seen.
	leastToken = 0.2e-6
	mostToken  = 2e-3
	// Base is what an answer takes beside the reading of its prompt: the links
	// and the first step.
	Base = 20 * time.Millisecond
)

// NewRates returns rates that nothing was learnt of.
func NewRates(costs map[contract.ModelID]float64) *Rates {
	return &Rates{models: make(map[contract.ModelID]*rate), costs: costs}
}

// SetCosts takes in the models' prices.
func (r *Rates) SetCosts(costs map[contract.ModelID]float64) { r.costs = costs }

// Reading returns how long a model takes to read tokens.
func (r *Rates) Reading(m contract.ModelID, tokens int) time.Duration {
	return time.Duration(r.perToken(m) * float64(tokens) * float64(time.Second))
}

// perToken returns seconds a token.
func (r *Rates) perToken(m contract.ModelID) float64 {
	if x, ok := r.models[m]; ok {
		return x.seconds
	}
	return r.prior(m)
}

// prior returns seconds a token of a model that has not answered yet: by its
// price against that of the model that was seen most, or of the dearest.
func (r *Rates) prior(m contract.ModelID) float64 {
	own := r.costs[m]
	if own <= 0 {
		return priorRate
	}
	most, dearest := 0, 0.0
	from, rate := 0.0, priorRate
	for id, cost := range r.costs {
		dearest = max(dearest, cost)
		if x, ok := r.models[id]; ok && x.seen > most && cost > 0 {
			most, from, rate = x.seen, cost, x.seconds
		}
	}
	if most == 0 {
		from = dearest
	}
	return rate * math.Pow(own/from, costPower)
}

// Observe takes in how long the answer to a prompt took to begin, and how many of
// its tokens were expected to be read. One that was expected to be read at once
// and whole tells a time. Any other tells at least a bound: reading takes no
// longer than the answer took to begin.
func (r *Rates) Observe(m contract.ModelID, unread int, took time.Duration, whole bool) {
	if unread < leastRead || took <= Base {
		return
	}
	seen := math.Log((took - Base).Seconds() / float64(unread))
	x := r.known(m)
	if !whole {
		if seen < x.log {
			x.set(x.log + boundWeight*max(seen-x.log, -rateStep))
		}
		return
	}
	x.seen++
	step := max(firstSteps/float64(x.seen), rateStep)
	x.set(x.log + max(1/float64(x.seen+1), rateWeight)*min(max(seen-x.log, -step), step))
}

// Scale takes in how long a reading took against what was expected of it, while
// the engine had more to read all the time: the only times that are there when no
// engine is ever idle.
func (r *Rates) Scale(m contract.ModelID, ratio float64) {
	if ratio <= 0 {
		return
	}
	x := r.known(m)
	x.seen++
	step := max(firstSteps/float64(x.seen), rateStep)
	x.set(x.log + max(1/float64(x.seen+1), rateWeight)*min(max(math.Log(ratio), -step), step))
}

// known returns what is known of a model, from its prior on.
func (r *Rates) known(m contract.ModelID) *rate {
	x, ok := r.models[m]
	if !ok {
		x = &rate{}
		x.set(math.Log(r.prior(m)))
		r.models[m] = x
	}
	return x
}

// Known returns how long a model takes to read a token, if enough own times tell
// it. What was told by others is not passed on, or VMs would believe each other's
// echo.
func (r *Rates) Known(m contract.ModelID) (time.Duration, bool) {
	x, ok := r.models[m]
	if !ok || x.seen < fewSeen {
		return 0, false
	}
	return time.Duration(x.seconds * float64(time.Second)), true
}

// Told takes in how long a model takes to read a token by another VM's own times.
// It stands in for own ones until there are some.
func (r *Rates) Told(m contract.ModelID, token time.Duration) {
	if x := r.known(m); x.seen < fewSeen && token > 0 {
		x.set(math.Log(token.Seconds()))
	}
}

// fewSeen is how many own times are more to be believed than another VM's word.
const fewSeen = 5
