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
	// explorationShare is the fraction of requests that try a medium model (neither the smallest
	// nor the largest) first, while fewer than explorationSamples answers of that model are known.
	// Without such requests the quality of the answers of medium models could not be learned.
	explorationShare   = 0.03
	explorationSamples = 25
)

// modelOption is a model that could answer a request,
// with the expected cost, quality and latency of the answer.
type modelOption struct {
	model contract.ModelID
	cascade.ModelOption
	// timeToFirst is the expected time from the send to the first part of the answer.
	// queueWait is the part of timeToFirst for which the prompt waits in the queue of the engine.
	timeToFirst, queueWait time.Duration
	// available is set if an upstream would now accept a request for the model.
	available bool
}

// chooseModel selects the model that answers first.
// If no model can begin an answer before the deadline,
// chooseModel returns true and the delay after which the caller may retry.
// The caller holds mu.
func (r *Relay) chooseModel(j *job) (retryAfter time.Duration, unreachable bool) {
	models := j.Route.Models
	if !j.ChooseModel || len(models) == 0 {
		return 0, false
	}
	now := r.opts.Now()
	options := r.modelOptions(j, now)
	if m, ok := r.explorationModel(j, models); ok {
		j.model, j.modelReason = m, reasonExploration
	} else {
		j.model, j.modelReason = r.bestFirstModel(j, options, now)
	}
	return r.deadlineUnreachable(j, options, now)
}

// Reasons for the choice of the model.
const (
	reasonAlone       = "highest value without escalation"
	reasonThenLarger  = "highest value with escalation"
	reasonExploration = "exploration"
	reasonEscalation  = "escalation"
)

// explorationModel occasionally returns a model of which few answers are known,
// so that the quality of its answers is learned.
func (r *Relay) explorationModel(j *job, models []contract.ModelID) (contract.ModelID, bool) {
	if len(models) < 3 || !r.opts.Policy.Has(upstream.Exploration) || r.random.Float64() >= explorationShare {
		return "", false
	}
	largest := models[len(models)-1]
	for _, m := range models[1 : len(models)-1] {
		if r.confidences.Samples(m) < explorationSamples && r.confidences.Samples(largest) >= explorationSamples {
			return m, true
		}
	}
	return "", false
}

// bestFirstModel returns the model with the highest expected value as the first to answer,
// and the reason.
// The caller holds mu.
func (r *Relay) bestFirstModel(j *job, options []modelOption, now time.Time) (contract.ModelID, string) {
	mayEscalate := j.mayDiscardAnswer() && r.opts.Policy.Has(upstream.Escalation) // an answer can be replaced by the answer of a larger model
	resendPrice := r.resendPrice(j, now)
	model, reason, bestValue := options[0].model, reasonAlone, options[0].Value()
	for i, option := range options {
		mayAnswerAlone := i < len(options)-1 || !mayEscalate || r.opts.Policy.Has(upstream.LargestAlone)
		if value := option.Value(); value > bestValue && mayAnswerAlone {
			model, reason, bestValue = option.model, reasonAlone, value
		}
		if !mayEscalate || i == len(options)-1 {
			continue
		}
		for _, larger := range options[i+1:] {
			second := larger.afterDelay(j, option.timeToFirst, now)
			second.QueueCost += resendPrice
			if value := option.ValueWithEscalation(second); value > bestValue {
				model, reason, bestValue = option.model, reasonThenLarger, value
			}
		}
	}
	return model, reason
}

// resendPrice returns the price of sending a request to the job's service once more.
// One more send has a price because the retry budget
// may then not allow a later request to be sent again.
// While callers that were refused because of the upstreams' rate limits wait to retry,
// one more send displaces a request of these callers.
// The caller holds mu.
func (r *Relay) resendPrice(j *job, now time.Time) float64 {
	if r.table.CountLimited() > 0 && r.retrySchedule(j.service).Pending(now) {
		return 1 / j.relativeValue
	}
	return cascade.EscalationPrice(r.retryBudget(j.service).UsedShare(retry.ForEscalation, r.slackVMs(), now), r.opts.MaxEscalationPrice)
}

// mayDiscardAnswer reports whether an answer to the request may be discarded in favor of another.
func (j *job) mayDiscardAnswer() bool { return j.Route.Repeatable() && j.Route.MaxAttempts > 1 }

// deadlineUnreachable reports whether no engine could begin to prefill the request's prompt
// before the deadline, and returns the delay after which the caller may retry.
// Only the queueing time counts: if there is no queue, the request is sent even if the estimate
// of its prefill time is too long, so that the answer corrects a wrong estimate.
// The retry times of callers that are refused together are spread over the length of the queue.
// The caller holds mu.
func (r *Relay) deadlineUnreachable(j *job, options []modelOption, now time.Time) (retryAfter time.Duration, unreachable bool) {
	if !r.opts.Policy.Has(upstream.EarlyRefusal) {
		return 0, false
	}
	soonest := time.Duration(math.MaxInt64)
	for _, option := range options {
		if !now.Add(option.queueWait).After(j.Deadline) {
			return 0, false
		}
		soonest = min(soonest, option.queueWait)
	}
	overdue := now.Add(soonest).Sub(j.Deadline)
	retryAfter = overdue + time.Duration(r.random.Float64()*float64(soonest))
	if o := r.outlook(j, now); o.AtLimit > 0 { // an upstream at its limit accepts the request before the queues are empty
		retryAfter = min(retryAfter, r.retryAfterAtLimit(j.service, o, now))
	}
	return retryAfter, true
}

// modelOptions returns the models of a job, smallest first,
// with the expected cost, quality and latency of each model if the request is sent now.
// The caller holds mu.
func (r *Relay) modelOptions(j *job, now time.Time) []modelOption {
	models := j.Route.Models
	largest := models[len(models)-1]
	out := make([]modelOption, len(models))
	for i, m := range models {
		option := modelOption{model: m, ModelOption: cascade.ModelOption{GoodProbability: r.confidences.GoodShare(m, largest), Cost: r.costToValue(j) * r.relativeCost(j, i)}}
		if estimate, ok := r.estimateModel(j, m, now); ok {
			option.timeToFirst, option.queueWait, option.QueueCost, option.available = estimate.TimeToFirstToken(), estimate.Wait, (r.table.PrefillPrice(estimate)+estimate.PauseCost)/j.relativeValue, true
		}
		option.ModelOption = option.afterDelay(j, 0, now)
		out[i] = option
	}
	return out
}

// afterDelay returns the expected cost, quality
// and latency of a model if the request is sent after a delay.
func (o modelOption) afterDelay(j *job, delay time.Duration, now time.Time) cascade.ModelOption {
	begins := now.Add(delay + o.timeToFirst)
	expected := o.ModelOption
	expected.MissesDeadline = begins.After(j.Deadline)
	expected.LateProbability = upstream.LateRisk(upstream.ObjectiveFraction(begins.Sub(j.Arrived), j.Route.Objective))
	return expected
}

// relativeCost returns the cost of a model relative to the most expensive one.
// Without configured costs the relative cost is derived
// from the position among the models, which are ordered by size.
func (r *Relay) relativeCost(j *job, index int) float64 {
	models := j.Route.Models
	if c, ok := r.modelCosts[j.service][models[index]]; ok {
		return c / r.highestModelCost(j)
	}
	return math.Pow(defaultCostStep, float64(len(models)-1-index))
}

// defaultCostStep is the cost of a model relative
// to the next larger one if no costs are configured.
// In known deployments, a model costs 0.13 or 0.5 times as much as the next larger model.
const defaultCostStep = 0.25

// highestModelCost returns the cost of the most expensive model of the job's service,
// or 1 if no costs are configured.
func (r *Relay) highestModelCost(j *job) float64 {
	highest := 0.0
	for _, c := range r.modelCosts[j.service] {
		highest = max(highest, c)
	}
	if highest == 0 {
		return 1
	}
	return highest
}

// estimateModel returns the estimate for a model at the upstream that would be chosen for the job.
// The caller holds mu.
func (r *Relay) estimateModel(j *job, m contract.ModelID, now time.Time) (upstream.Estimate, bool) {
	candidate := *j
	candidate.model = m
	for _, pools := range r.eligiblePools(&candidate, now) {
		if e, ok := r.table.EstimateBest(r.upstreamQuery(&candidate, pools, now), now, r.random); ok {
			return e, true
		}
	}
	return upstream.Estimate{}, false
}

// decideEscalation decides whether to discard the answer
// that begins with a head and to ask a larger model instead.
// decideEscalation returns the larger model, and reserves its attempt.
func (r *Relay) decideEscalation(j *job, h *ResponseHead) (contract.ModelID, bool) {
	models := j.Route.Models
	if !j.ChooseModel || len(models) == 0 {
		return "", false
	}
	r.prepareFingerprint(j)
	r.mu.Lock()
	defer r.mu.Unlock()
	if j.release == "" || !r.onTrial(j) {
		r.recordConfidence(j.model, models[len(models)-1], h.Confidence)
	}
	if j.headSent || !r.opts.Policy.Has(upstream.Escalation) || !j.mayDiscardAnswer() || j.model == models[len(models)-1] || j.sends+1 >= j.Route.MaxAttempts {
		return "", false
	}
	now := r.opts.Now()
	larger := r.escalationModel(j, h, now)
	if larger == "" || !r.reserveEscalation(j, larger, now) {
		return "", false
	}
	return larger, true
}

// onTrial reports whether the job runs on a canary release.
// Answers of a canary release are used only to judge the release. The caller holds mu.
func (r *Relay) onTrial(j *job) bool {
	c := r.canaries[j.service]
	return c != nil && c.Order().Release == j.release
}

// escalationModel returns the larger model for which it is worth discarding the answer,
// or "" if there is none.
// The caller holds mu.
func (r *Relay) escalationModel(j *job, h *ResponseHead, now time.Time) contract.ModelID {
	options := r.modelOptions(j, now)
	current := 0
	for i, option := range options {
		if option.model == j.model {
			current = i
		}
	}
	largest := options[len(options)-1].model
	good := r.confidences.GoodProbability(j.model, largest, h.Confidence)
	answer := options[current].ModelOption
	answer.LateProbability = 0
	if now.Sub(j.Arrived) > j.Route.Objective {
		answer.LateProbability = 1
	}
	model, bestValue := contract.ModelID(""), answer.ValueKept(good)
	resendPrice := r.resendPrice(j, now)
	for _, option := range options[current+1:] {
		if !option.available {
			continue // keep the answer if no upstream accepts a request for the larger model
		}
		option.QueueCost += resendPrice
		if value := option.ValueOfEscalation(answer, good); value > bestValue {
			model, bestValue = option.model, value
		}
	}
	return model
}

// recordEscalation switches the job to a larger model.
func (r *Relay) recordEscalation(j *job, a *attempt, larger contract.ModelID) {
	r.Metrics.escalations.Inc(1)
	r.observeFirstAnswer(j)
	r.discardTrialAttempt(j)
	r.recordAttemptEnd(j, a.entry, upstream.Abandoned, 0)
	j.recordExecution()
	j.model, j.modelReason = larger, reasonEscalation
	j.escalated, j.discardedConfidence = true, a.head.Confidence
	r.log.Info("given-up", zap.String("request", string(j.ID)), zap.String("upstream", string(a.entry.ID)), zap.String("for", string(larger)),
		zap.Float64("confidence", a.head.Confidence))
}
