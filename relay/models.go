package relay

import (
	"math"
	"time"

	"go.uber.org/zap"

	"woaddoor/cascade"
	"woaddoor/contract"
	"woaddoor/retry"
	"woaddoor/upstream"
)

// Parameters of the choice of a model.
const (
	// tryShare is the part of the requests that a model answers first which is
	// neither the smallest nor the largest and of which less than triedEnough
	// answers are known: what it is worth cannot be learnt otherwise.
	tryShare    = 0.03
	triedEnough = 25
)

// choice is a model that could answer a job, and what is expected of it.
type choice struct {
	model contract.ModelID
	cascade.Option
	// first is when its answer is expected to begin, from its send on, and wait
	// the part of that for which its prompt waits for others.
	first, wait time.Duration
	// could tells whether an upstream would take a request for it now.
	could bool
}

// chooseModel names the model that answers first. For a request that is not worth a
// try it returns when it may come back, and true. The caller holds mu.
func (r *Relay) chooseModel(j *job) (after time.Duration, hopeless bool) {
	models := j.Route.Models
	if !j.ChooseModel || len(models) == 0 {
		return 0, false
	}
	now := r.opts.Now()
	choices := r.choices(j, now)
	if m, ok := r.untried(j, models); ok {
		j.model, j.why = m, whyUntried
	} else {
		j.model, j.why = r.best(j, choices, now)
	}
	return r.hopeless(j, choices, now)
}

// Reasons for the model that answers first.
const (
	whyAlone   = "best alone"
	whyThen    = "best with a larger one after it"
	whyUntried = "little known"
	whyPoor    = "poor answer given up"
)

// untried returns now and then a model of which little is known.
func (r *Relay) untried(j *job, models []contract.ModelID) (contract.ModelID, bool) {
	if len(models) < 3 || !r.opts.Policy.Has(upstream.Untried) || r.random.Float64() >= tryShare {
		return "", false
	}
	largest := models[len(models)-1]
	for _, m := range models[1 : len(models)-1] {
		if r.opinions.Seen(m) < triedEnough && r.opinions.Seen(largest) >= triedEnough {
			return m, true
		}
	}
	return "", false
}

// best returns the model that is worth most as the first to answer. The caller
// holds mu.
func (r *Relay) best(j *job, choices []choice, now time.Time) (contract.ModelID, string) {
	giveUp := j.mayGiveUp() && r.opts.Policy.Has(upstream.Escalation) // else an answer could not be given up for another
	repeat := r.repeatPrice(j, now)
	model, why, most := choices[0].model, whyAlone, choices[0].Alone()
	for i, c := range choices {
		first := i < len(choices)-1 || !giveUp || r.opts.Policy.Has(upstream.LargestAlone)
		if v := c.Alone(); v > most && first {
			model, why, most = c.model, whyAlone, v
		}
		if !giveUp || i == len(choices)-1 {
			continue
		}
		for _, larger := range choices[i+1:] {
			second := larger.after(j, c.first, now)
			second.Price += repeat
			if v := c.Then(second); v > most {
				model, why, most = c.model, whyThen, v
			}
		}
	}
	return model, why
}

// repeatPrice returns what one more send of the job's service costs the requests that
// will want one: where callers are told to come back since upstreams have all that they
// take, it is sent in the place of one of theirs. The caller holds mu.
func (r *Relay) repeatPrice(j *job, now time.Time) float64 {
	if r.table.CountLimited() > 0 && r.returnsOf(j.service).Awaited(now) {
		return 1 / j.weight
	}
	return cascade.RepeatPrice(r.budget(j.service).Used(retry.ForEscalation, r.opts.VMs(), now), r.opts.RepeatPrice)
}

// mayGiveUp tells whether an answer to a request could be given up for another.
func (j *job) mayGiveUp() bool { return j.Route.Repeatable() && j.Route.MaxAttempts > 1 }

// hopeless returns when a request may come back whose prompt no engine would begin
// to read before its deadline, and whether that is so: waiting would be in vain.
// Only queues count: where none is, a try corrects a time that is wrong. Those that
// are turned away together come back over as long as the queue takes. The caller
// holds mu.
func (r *Relay) hopeless(j *job, choices []choice, now time.Time) (after time.Duration, hopeless bool) {
	if !r.opts.Policy.Has(upstream.EarlyRefusal) {
		return 0, false
	}
	soonest := time.Duration(math.MaxInt64)
	for _, c := range choices {
		if !now.Add(c.wait).After(j.Deadline) {
			return 0, false
		}
		soonest = min(soonest, c.wait)
	}
	over := now.Add(soonest).Sub(j.Deadline)
	after = over + time.Duration(r.random.Float64()*float64(soonest))
	if o := r.outlook(j, now); o.AtLimit > 0 { // one of those takes it sooner than the queues are read
		after = min(after, r.backAtLimit(j.service, o, now))
	}
	return after, true
}

// choices returns the models of a job, smallest first, and what is expected of
// each when it is asked now. The caller holds mu.
func (r *Relay) choices(j *job, now time.Time) []choice {
	models := j.Route.Models
	largest := models[len(models)-1]
	out := make([]choice, len(models))
	for i, m := range models {
		c := choice{model: m, Option: cascade.Option{Good: r.opinions.Good(m, largest), Cost: r.dearestPart(j) * r.costPart(j, i)}}
		if e, ok := r.estimate(j, m, now); ok {
			c.first, c.wait, c.Price, c.could = e.First(), e.Wait, r.table.Price(e)/j.weight, true
		}
		c.Option = c.after(j, 0, now)
		out[i] = c
	}
	return out
}

// after returns what is expected of a model when it is asked after a delay.
func (c choice) after(j *job, delay time.Duration, now time.Time) cascade.Option {
	begins := now.Add(delay + c.first)
	o := c.Option
	o.Never = begins.After(j.Deadline)
	o.Late = upstream.LateRisk(upstream.ObjectivePart(begins.Sub(j.Arrived), j.Route.Objective))
	return o
}

// costPart returns what a model of a job costs against the dearest; where costs
// are not told, by its place among the models, which are in order of size.
func (r *Relay) costPart(j *job, place int) float64 {
	models := j.Route.Models
	if c, ok := r.costs[j.service][models[place]]; ok {
		return c / r.dearest(j)
	}
	return math.Pow(costStep, float64(len(models)-1-place))
}

// costStep is what a model costs against the next larger one where costs are not
// told: 0.13 and 0.5 on the sheets.
const costStep = 0.25

// dearest returns what the dearest model of the job's service costs; 1 where
// costs are not told.
func (r *Relay) dearest(j *job) float64 {
	most := 0.0
	for _, c := range r.costs[j.service] {
		most = max(most, c)
	}
	if most == 0 {
		return 1
	}
	return most
}

// estimate returns what is expected of a model at the upstream that the job would
// go to. The caller holds mu.
func (r *Relay) estimate(j *job, m contract.ModelID, now time.Time) (upstream.Estimate, bool) {
	with := *j
	with.model = m
	for _, pools := range r.eligible(&with, now) {
		if e, ok := r.table.Best(r.query(&with, pools, now), now, r.random); ok {
			return e, true
		}
	}
	return upstream.Estimate{}, false
}

// escalates decides whether the answer that begins with a head is given up for
// one of a larger model, which it returns, and takes that send out of the
// budget.
func (r *Relay) escalates(j *job, h *Head) (contract.ModelID, bool) {
	models := j.Route.Models
	if !j.ChooseModel || len(models) == 0 {
		return "", false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if j.release == "" || !r.onTrial(j) {
		r.opinion(j.model, models[len(models)-1], h.Confidence)
	}
	if j.began || !r.opts.Policy.Has(upstream.Escalation) || !j.mayGiveUp() || j.model == models[len(models)-1] || j.sends+1 >= j.Route.MaxAttempts {
		return "", false
	}
	now := r.opts.Now()
	larger := r.larger(j, h, now)
	if larger == "" || !r.budget(j.service).Take(retry.ForEscalation, r.opts.VMs(), now) {
		return "", false
	}
	return larger, true
}

// onTrial tells whether the job's release is on trial: nothing is learnt of its
// answers but whether it is bad. The caller holds mu.
func (r *Relay) onTrial(j *job) bool {
	c := r.canaries[j.service]
	return c != nil && c.Order().Release == j.release
}

// larger returns the larger model for which an answer is worth giving up, or "".
// The caller holds mu.
func (r *Relay) larger(j *job, h *Head, now time.Time) contract.ModelID {
	choices := r.choices(j, now)
	own := 0
	for i, c := range choices {
		if c.model == j.model {
			own = i
		}
	}
	largest := choices[len(choices)-1].model
	good := r.opinions.GoodAt(j.model, largest, h.Confidence)
	answer := choices[own].Option
	answer.Late = 0
	if now.Sub(j.Arrived) > j.Route.Objective {
		answer.Late = 1
	}
	model, most := contract.ModelID(""), answer.Kept(good)
	repeat := r.repeatPrice(j, now)
	for _, c := range choices[own+1:] {
		if !c.could {
			continue // a ready answer is not given up for none
		}
		c.Price += repeat
		if v := c.After(answer, good); v > most {
			model, most = c.model, v
		}
	}
	return model
}

// escalated moves the job to a larger model.
func (r *Relay) escalated(j *job, a *attempt, to contract.ModelID) {
	r.Metrics.escalations.Inc(1)
	r.ended(j, a.entry, upstream.Abandoned, 0)
	r.observe(j, a, false)
	j.sends++
	j.outcome = contract.Ran
	j.model, j.why = to, whyPoor
	j.escalated, j.givenUp = true, a.head.Confidence
	r.log.Info("given-up", zap.String("request", string(j.ID)), zap.String("upstream", string(a.entry.ID)), zap.String("for", string(to)),
		zap.Float64("confidence", a.head.Confidence))
}
