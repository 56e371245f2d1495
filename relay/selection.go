package relay

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"woaddoor/config"
	"woaddoor/contract"
	"woaddoor/exchange"
	"woaddoor/prefill"
	"woaddoor/retry"
	"woaddoor/rollout"
	"woaddoor/route"
	"woaddoor/upstream"
)

// isStream reports whether a request is answered with a stream of events.
func isStream(r *Request) bool { return r.Route.Kind == route.Stream }

// selectUpstream returns the reserved upstream of the next attempt.
// If none is reserved, selectUpstream chooses one and counts the request at that upstream.
func (r *Relay) selectUpstream(j *job) (upstream.Entry, *contract.Refusal) {
	if next := j.reserved; next != nil {
		j.reserved, j.resendTaken = nil, next.resend
		if !next.forward { // otherwise the path may be open again
			j.selection, j.successor = next.selection, next.successor
			return j.lastUpstream, nil
		}
	}
	r.prepareFingerprint(j)
	r.awaitVerdict(j)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pickUpstream(j, r.opts.Now())
}

// pickUpstream chooses the upstream of the next attempt and counts the request at that upstream.
// The caller holds mu.
func (r *Relay) pickUpstream(j *job, now time.Time) (upstream.Entry, *contract.Refusal) {
	if refused := r.checkQuarantine(j, now); refused != nil {
		return upstream.Entry{}, refused
	}
	if refused := r.checkSuspectRunning(j); refused != nil {
		return upstream.Entry{}, refused
	}
	if r.otherUpstreamsWouldFail(j, now) {
		return upstream.Entry{}, r.refuseNoPath(j, now)
	}
	for _, pools := range r.eligiblePools(j, now) {
		id, err := r.table.Pick(r.upstreamQuery(j, pools, now), now, r.random)
		if err != nil {
			continue
		}
		if r.risksLastUpstream(j, id, pools, now) {
			return upstream.Entry{}, refuseLastUpstream(j)
		}
		if refused := r.checkStop(j, id, now); refused != nil {
			return upstream.Entry{}, refused
		}
		r.countUnwantedSend(id, now)
		r.recordLimitClaim(j, r.entries[id].Instance())
		j.room = r.table.RoomState(id, now)
		r.table.RecordSent(id)
		r.beginAttempt(j)
		r.recordPendingPrompt(j, id, now)
		j.release = pools.release
		if j.release == "" {
			j.release = r.entries[id].Release
		}
		j.lastUpstream, j.sentAt, j.upstreamSeen, j.answerBeganAt = r.entries[id], now, false, time.Time{}
		r.beginTrialAttempt(j, now)
		r.logSuspectSend(j)
		return j.lastUpstream, nil
	}
	return upstream.Entry{}, r.refuseNoUpstream(j, now)
}

// hasCandidate reports whether any upstream could be chosen for the next attempt.
// The caller holds mu.
func (r *Relay) hasCandidate(j *job, now time.Time) bool {
	return slices.ContainsFunc(r.eligiblePools(j, now), func(c candidatePools) bool {
		return r.table.CanPick(r.poolQuery(c, j.exclude), now)
	})
}

// outlook summarizes when the upstreams that a request may use accept requests again.
// The caller holds mu.
func (r *Relay) outlook(j *job, now time.Time) upstream.Outlook {
	var pools []contract.PoolID
	for _, c := range r.eligiblePools(j, now) {
		pools = append(pools, c.pools...)
	}
	if len(pools) == 0 {
		return upstream.Outlook{} // an empty pool list would mean all pools
	}
	return r.table.Outlook(upstream.Query{Kind: config.EnginePool, Pools: pools}, now)
}

// hasAlternative reports whether an upstream that has not been tried could accept the request.
// Upstreams that are suspected of being faulty count only if the argument suspected is set.
// The caller holds mu.
func (r *Relay) hasAlternative(j *job, suspected bool, now time.Time) bool {
	return slices.ContainsFunc(r.eligiblePools(j, now), func(c candidatePools) bool {
		return r.table.HasAlternative(r.poolQuery(c, j.exclude), suspected, now)
	})
}

// candidatePools are pools of upstreams to choose from.
// The field release is empty if the pools may belong to several releases.
type candidatePools struct {
	release string
	pools   []contract.PoolID
	// fraction restricts the choice to that fraction of each pool; zero means all of it.
	fraction float64
	// concentration restricts the choice across the pools.
	concentration upstream.Concentration
}

// eligiblePools returns the pools that may receive the request,
// in the order in which they are tried.
// The caller holds mu.
func (r *Relay) eligiblePools(j *job, now time.Time) []candidatePools {
	byRelease := r.poolsByRelease[j.service]
	canary := r.canaries[j.service]
	if canary == nil {
		return r.filterPools(j, []candidatePools{{pools: poolsExcept(byRelease, nil)}}, now)
	}
	target := canary.Order().Release
	canaryPools := candidatePools{release: target, pools: byRelease[target]}
	excluded := maps.Clone(r.rolledBack[j.service])
	excluded[target] = true
	var others []candidatePools
	if completed := r.completedReleases[j.service]; completed != "" && !excluded[completed] {
		others = append(others, candidatePools{pools: byRelease[completed]})
	}
	others = append(others, candidatePools{pools: poolsExcept(byRelease, excluded)})
	order := others
	share := r.canaryShare(canary, j, now)
	switch {
	case !j.headSent && j.failures > 0 && j.release == target && (canary.IsSuspect() || j.independent() && canary.Order().State == rollout.OrderOpen):
		order = append(others, canaryPools)
	case j.headSent && j.release == target: // a stream stays on its release
		order = append([]candidatePools{canaryPools}, others...)
	case !j.headSent && canary.UsesRelease(j.Session, share):
		order = append([]candidatePools{r.trialPools(j, canaryPools, share), canaryPools}, others...)
	case canary.PastTrial(now):
		order = append(others, canaryPools)
	}
	return r.filterPools(j, order, now)
}

// poolsExcept returns the pools of all releases that are not excluded.
func poolsExcept(byRelease map[string][]contract.PoolID, excluded map[string]bool) []contract.PoolID {
	var ids []contract.PoolID
	for release, pools := range byRelease {
		if !excluded[release] {
			ids = append(ids, pools...)
		}
	}
	return ids
}

// recordAttemptEnd records how an attempt ended.
// The argument timeToFirst is the time until the answer to the attempt began.
func (r *Relay) recordAttemptEnd(j *job, e upstream.Entry, result upstream.Result, timeToFirst time.Duration) {
	j.logAttemptEnd(e, result)
	r.withLock(func() {
		r.endAttempt(j)
		r.endTrialAttempt(j, e, result)
		r.recordPromptDropped(j)
		if r.isCurrent(e.ID, e.Incarnation) {
			r.recordSlotUse(j, e, result, r.opts.Now())
			r.table.RecordDone(e.ID, result, timeToFirst, r.opts.Now())
			r.logColdUpstreams()
		}
		if result == upstream.Broken && !j.endedForSuccessor() { // an attempt that this VM has ended did not break
			r.recordBrokenConnection(j, e)
		}
	})
}

// recordSlotUse records how long an attempt used a slot of its upstream, or that it may still use it.
// The caller holds mu.
func (r *Relay) recordSlotUse(j *job, e upstream.Entry, result upstream.Result, now time.Time) {
	switch result {
	case upstream.Succeeded:
		r.table.RecordWorkTime(e.ID, now.Sub(j.sentAt))
	case upstream.Abandoned, upstream.Broken:
		r.table.RecordOrphan(e.ID, j.sentAt, j.Deadline, now)
	}
}

// upstreamQuery returns the query for an upstream in the candidate pools that fits the job.
// The caller holds mu.
func (r *Relay) upstreamQuery(j *job, c candidatePools, now time.Time) upstream.Query {
	q := r.poolQuery(c, j.exclude)
	q.Prefix, q.Work, q.Fraction, q.Concentration = j.SharedPromptKey, r.promptWork(j, now), c.fraction, c.concentration
	return q
}

// poolQuery returns a query for any upstream in the candidate pools that is not excluded.
func (r *Relay) poolQuery(c candidatePools, excluded []contract.UpstreamID) upstream.Query {
	return upstream.Query{Kind: config.EnginePool, Pools: c.pools, DataCentre: r.opts.DataCentre, Exclude: excluded}
}

// promptWork describes the work that a request with the job's model causes at an upstream.
// The caller holds mu.
func (r *Relay) promptWork(j *job, now time.Time) upstream.Work {
	return upstream.Work{
		Prompt:    prefill.Prompt{Model: j.model, Tokens: j.PromptTokens, Parts: j.PromptParts},
		Objective: j.Route.Objective, Elapsed: now.Sub(j.Arrived), PauseTarget: j.Route.TargetGap,
	}
}

// recordPendingPrompt records the prefill work that an attempt adds to an upstream,
// and reports the prompt to other VMs if the prefill is long.
// The caller holds mu.
func (r *Relay) recordPendingPrompt(j *job, id contract.UpstreamID, now time.Time) {
	j.pending = pendingPrompt{}
	if j.PromptTokens == 0 {
		return // a request to a plain service has no prompt
	}
	j.pending = pendingPrompt{upstream: id, incarnation: r.entries[id].Incarnation, work: r.promptWork(j, now), sentAt: now}
	j.pending.estimate, j.pending.queueID = r.table.RecordExpected(id, j.pending.work, r.opts.DataCentre, now)
	r.Metrics.countPrompt(j.pending.work, j.pending.estimate, r.table.PrefillPrice(j.pending.estimate))
	r.recordPromptLoad(j.service, j.pending.estimate.Prefill, now)
	if e := j.pending.estimate; e.Prefill >= minReportedPrefill && r.opts.OnSent != nil {
		r.opts.OnSent(SentPrompt{
			Upstream: id, Incarnation: j.pending.incarnation, Model: j.model, Tokens: j.PromptTokens, Parts: j.PromptParts,
			PrefillTime: e.Prefill, TokenTime: r.table.PrefillTokenTime(j.model), Pace: float32(r.table.BasePace(id)),
		})
	}
}

// recordAnswerBegin records that the answer to the current attempt has begun. The caller holds mu.
func (r *Relay) recordAnswerBegin(j *job) {
	pending := j.pending
	j.pending.upstream = ""
	if pending.upstream != "" && r.isCurrent(pending.upstream, pending.incarnation) {
		now := r.opts.Now()
		r.table.RecordAnswerBegin(pending.upstream, pending.queueID, pending.work, pending.estimate, now.Sub(pending.sentAt), now)
	}
}

// recordPromptDropped records that the current attempt ended before its answer began.
// The caller holds mu.
func (r *Relay) recordPromptDropped(j *job) {
	pending := j.pending
	j.pending.upstream = ""
	if pending.upstream != "" && r.isCurrent(pending.upstream, pending.incarnation) {
		r.table.RecordDropped(pending.upstream, pending.queueID, r.opts.Now())
	}
}

// checkRetry decides whether to make another attempt and takes the attempt from the retry budget.
// checkRetry returns "" if there is another attempt, and otherwise the reason against one.
func (r *Relay) checkRetry(j *job, repeatable bool) retry.Reason {
	if j.reserved != nil {
		return "" // decided when the attempt was ended
	}
	now := r.opts.Now()
	if reason := j.retryBlocked(repeatable, now); reason != "" {
		return reason
	}
	if j.sends == 0 {
		return "" // no upstream has received the request, so nothing is repeated
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.hasCandidate(j, now) {
		return retry.NoOtherUpstream // leave the budget to other requests
	}
	if !r.takeResend(j, now) {
		return retry.BudgetExhausted
	}
	return ""
}

// retryBlocked returns why there must not be another attempt, regardless of the retry budget
// and of the upstreams. The result is "" if another attempt is allowed.
func (j *job) retryBlocked(repeatable bool, now time.Time) retry.Reason {
	if reason := j.resendBlocked(repeatable, now); reason != "" {
		return reason
	}
	if j.failures >= maxUnreachable+j.Route.MaxAttempts {
		return retry.AttemptsExhausted
	}
	return ""
}

// resendBlocked returns why the request must not be sent to an upstream again,
// regardless of how many upstreams this VM could not reach.
func (j *job) resendBlocked(repeatable bool, now time.Time) retry.Reason {
	attempt := retry.Attempt{Number: j.sends, Outcome: j.outcome(), Repeatable: repeatable, Deadline: j.Deadline, ExpectedDuration: minAttemptTime}
	return attempt.RetryBlocked(max(j.Route.MaxAttempts, 1), now)
}

// takeResend takes a resend of the request from the retry budget,
// unless the resend that was taken last has reached no upstream.
// takeResend returns false if the budget is exhausted.
// The caller holds mu.
func (r *Relay) takeResend(j *job, now time.Time) bool {
	j.resendTaken = j.resendTaken || r.retryBudget(j.service).Take(retry.ForRetry, r.slackVMs(), now)
	return j.resendTaken
}

// minAttemptTime is the shortest remaining time in which an attempt can succeed.
// minAttemptTime covers the network delay and the shortest answer.
const minAttemptTime = 30 * time.Millisecond

// recordExecution adds an attempt that an upstream has executed to the state of the request.
func (j *job) recordExecution() {
	j.sends++
	j.execution.end(contract.OutcomeRan)
}

// recordFailure adds a failed attempt to the state of the request.
func (j *job) recordFailure(o contract.Outcome, sent bool) {
	j.failures++
	if sent {
		j.sends++
		j.resendTaken = false
	}
	j.execution.end(o)
	j.exclude = append(j.exclude, j.lastUpstream.ID)
}

// recordSendFailure records an attempt that ended without the head of an answer.
func (r *Relay) recordSendFailure(j *job, err error, began time.Time) {
	var exchangeErr *exchange.Error
	sent, outcome := true, contract.OutcomeUnknown
	if errors.As(err, &exchangeErr) {
		sent, outcome = exchangeErr.Sent, exchangeErr.Outcome()
	}
	result := upstream.Failed
	switch {
	case errors.Is(err, context.Canceled), errors.Is(err, errDeadline), errors.Is(err, errStopping):
		result = upstream.Abandoned // canceled by the caller, or because the deadline passed or this VM stops
	case errors.Is(err, errUnavailableMeanwhile), errors.Is(err, errNoMemory):
		result = upstream.Abandoned // the attempt shows nothing about the upstream
	case errors.Is(err, exchange.ErrPoolExhausted):
		result = upstream.NoConnection
	case !sent && exchange.IsConnectionRefused(err):
		result = upstream.ConnectionRefused
	case !sent:
		result = upstream.Unreachable
	case exchangeErr != nil:
		result, j.upstreamSeen = upstream.Broken, exchangeErr.NewConnection
	}
	if !sent {
		r.releaseLimitClaim(j)
	}
	took := r.opts.Now().Sub(began)
	r.recordAttemptEnd(j, j.lastUpstream, result, took)
	if errors.Is(err, errSilent) {
		r.observeLatency(j, took) // a lower bound of the answer's latency
		r.suspectPath(j.lastUpstream)
	}
	j.recordFailure(outcome, sent)
}
