package relay

import (
	"slices"
	"time"

	"woaddoor/contract"
	"woaddoor/retry"
	"woaddoor/upstream"
)

// reservation is an attempt that was reserved before the attempt that precedes it was ended.
type reservation struct {
	selection
	// resend is set if the attempt was taken from the retry budget.
	resend bool
	// forward is set if the attempt is made by another VM.
	forward bool
	// successor is set if the attempt was sent while the current attempt was silent.
	successor *successor
	// currentFailed is set if the current attempt failed before this VM ended it.
	currentFailed bool
}

// endedForSuccessor reports whether this VM has ended the current attempt in favor of the next one.
func (j *job) endedForSuccessor() bool { return j.reserved != nil && !j.reserved.currentFailed }

// reserveRetry reserves the attempt that follows the current attempt of a job
// if the current attempt is ended now: its upstream is selected,
// and the resend is taken from the retry budget.
// An attempt that this VM ends on purpose needs a reserved successor. Otherwise the budget,
// a quarantine or the state of the upstreams could forbid the next attempt once it is too late,
// and the caller would lose an answer on which an upstream was still working.
//
// The argument sent is set if an upstream may have received the current attempt.
// The argument suspected is set if an upstream that is suspected of being faulty is good enough.
// Without a reservation, reserveRetry returns the reason. The job is not modified.
func (r *Relay) reserveRetry(j *job, sent, suspected bool) (*reservation, retry.Reason) {
	next := *j
	next.exclude = slices.Clone(j.exclude)
	next.recordFailure(contract.OutcomeUnknown, sent)
	now := r.opts.Now()
	if reason := next.retryBlocked(j.Route.Repeatable(), now); reason != "" {
		return nil, reason
	}
	r.prepareFingerprint(&next)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.forwardsFirst(&next, now) {
		return r.reserveForward(&next, now)
	}
	if !r.hasAlternative(&next, suspected, now) {
		return nil, retry.NoOtherUpstream
	}
	return r.reserve(&next, retry.ForRetry, next.sends > 0, now)
}

// reserveForward reserves an attempt by another VM. The caller holds mu.
func (r *Relay) reserveForward(next *job, now time.Time) (*reservation, retry.Reason) {
	resend := next.sends > 0
	if resend && !next.spareResend && !r.retryBudget(next.service).Take(retry.ForRetry, r.slackVMs(), now) {
		return nil, retry.BudgetExhausted
	}
	return &reservation{forward: true, resend: resend}, ""
}

// reserveEscalation reserves the attempt with a larger model for which
// the current answer of a job is to be discarded.
// The answer is kept if there is no such attempt. The caller holds mu.
func (r *Relay) reserveEscalation(j *job, larger contract.ModelID, now time.Time) bool {
	next := *j
	next.model = larger
	j.reserved, _ = r.reserve(&next, retry.ForEscalation, true, now)
	return j.reserved != nil
}

// reserve selects the upstream of the next attempt and, for a resend, takes it from the retry budget.
// The budget is not used if no upstream can be selected, and no upstream is selected without it.
// The caller holds mu.
func (r *Relay) reserve(next *job, p retry.Purpose, resend bool, now time.Time) (*reservation, retry.Reason) {
	budget, vms := r.retryBudget(next.service), r.slackVMs()
	take := resend && !next.spareResend
	if take && !budget.CanTake(p, vms, now) {
		return nil, retry.BudgetExhausted
	}
	if _, refused := r.pickUpstream(next, now); refused != nil {
		return nil, retry.NoOtherUpstream
	}
	if take {
		budget.Take(p, vms, now)
	}
	return &reservation{selection: next.selection, resend: resend}, ""
}

// releaseReserved undoes the reservation of an attempt that is not made,
// because the current attempt ended with an answer or the caller has left.
func (r *Relay) releaseReserved(j *job) {
	if j.reserved == nil {
		return
	}
	next := j.reserved
	j.reserved = nil
	if next.forward {
		return
	}
	if next.successor != nil {
		r.abandonSuccessor(next.successor)
		return
	}
	unused := *j
	unused.selection = next.selection
	r.releaseLimitClaim(&unused)
	r.discardTrialAttempt(&unused)
	r.recordAttemptEnd(&unused, unused.lastUpstream, upstream.Abandoned, 0)
}
