package relay

import (
	"slices"
	"time"

	"woaddoor/contract"
	"woaddoor/rollout"
	"woaddoor/upstream"
)

// beginTrialAttempt lets the canary of the job's service, if any, follow an attempt. The caller holds mu.
func (r *Relay) beginTrialAttempt(j *job, now time.Time) {
	j.trial = nil
	c := r.canaries[j.lastUpstream.Service]
	if c == nil || c.Order().State != rollout.OrderOpen {
		return
	}
	start := rollout.AttemptStart{Release: j.lastUpstream.Release, Route: j.Route.Name, Retry: j.failures > 0, Independent: j.independent(), Incomparable: r.table.IsCold(j.lastUpstream.ID, now)}
	if j.PromptTokens > 0 {
		start.Model, start.Expected = string(j.model), j.pending.estimate.Nominal
	}
	j.trial = c.Begin(start, now)
}

// observeFirstAnswer records that the answer to the current attempt began, or that it is complete
// if it is not a stream.
func (r *Relay) observeFirstAnswer(j *job) {
	r.observeTrial(j, func(a *rollout.Attempt, now time.Time) { a.First(now) })
}

// observeEvents records that events of a stream have arrived.
func (r *Relay) observeEvents(j *job, events int, now time.Time) {
	r.observeTrial(j, func(a *rollout.Attempt, _ time.Time) { a.Events(events, now) })
}

// discardTrialAttempt records that this VM ends an attempt for a reason that has nothing to do with its duration,
// or that it does not send the attempt.
func (r *Relay) discardTrialAttempt(j *job) {
	r.observeTrial(j, func(a *rollout.Attempt, now time.Time) { a.End(rollout.EndDiscarded, now) })
}

// observeTrial passes news of the current attempt to the canary that follows it.
func (r *Relay) observeTrial(j *job, record func(*rollout.Attempt, time.Time)) {
	if j.trial == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateCanary(r.canaries[j.lastUpstream.Service], func(now time.Time) { record(j.trial, now) })
}

// endTrialAttempt tells the canary that follows an attempt how the attempt ended. The caller holds mu.
func (r *Relay) endTrialAttempt(j *job, e upstream.Entry, result upstream.Result) {
	c := r.canaries[e.Service]
	if j.trial == nil || c == nil {
		return
	}
	if c.Order().Release == e.Release {
		c.RecordEnd(j.endText(result))
	}
	r.updateCanary(c, func(now time.Time) {
		end := j.trialEnd(result)
		if end == rollout.EndFailed && j.failures == 0 && j.independent() && j.Route.Repeatable() {
			end, j.unsettled = rollout.EndUnsettled, j.trial
		} else {
			j.settle(end == rollout.EndFailed, now)
		}
		j.trial.End(end, now)
	})
}

// settle counts the failure of the request's first attempt, unless it failed again at another upstream.
func (j *job) settle(failedAgain bool, now time.Time) {
	if j.unsettled != nil {
		j.unsettled.Settle(failedAgain, now)
		j.unsettled = nil
	}
}

// settleTrial settles the failure of a request that has ended.
func (r *Relay) settleTrial(j *job) {
	if j.unsettled == nil {
		return
	}
	r.withLock(func() { r.updateCanary(r.canaries[j.service], func(now time.Time) { j.settle(false, now) }) })
}

// endText returns how an attempt ended, for the log.
func (j *job) endText(result upstream.Result) string {
	if j.endedForSuccessor() && result != upstream.Abandoned { // an abandoned attempt was escalated
		return endSilent
	}
	return result.String()
}

// trialEnd returns what the end of an attempt shows of its upstream's release.
func (j *job) trialEnd(result upstream.Result) rollout.End {
	switch {
	case result == upstream.Succeeded:
		return rollout.EndWhole
	case j.endedForSuccessor(), result == upstream.Abandoned:
		return rollout.EndCut
	case result == upstream.Failed, result == upstream.Broken && j.upstreamSeen:
		return rollout.EndFailed
	case result == upstream.Broken:
		return rollout.EndCut // upstreams close idle connections at any time
	}
	return rollout.EndNotRun
}

// updateCanary records news in a canary. If it speaks against the release, other VMs are told at once.
// The caller holds mu.
func (r *Relay) updateCanary(c *rollout.Canary, record func(now time.Time)) {
	if c == nil {
		return
	}
	before := c.OwnHarm()
	record(r.opts.Now())
	if c.OwnHarm() == before {
		return
	}
	if c.Evaluate() {
		r.logBadRelease(c)
		r.wakeVerdicts()
	}
	if r.opts.OnBadAnswer != nil {
		r.opts.OnBadAnswer()
	}
}

// independent reports whether the request belongs to no session.
func (j *job) independent() bool { return j.SharedPromptKey == 0 }

// canaryShare returns the fraction of requests such as the job's that use the release on trial. The caller holds mu.
func (r *Relay) canaryShare(c *rollout.Canary, j *job, now time.Time) float64 {
	if !j.independent() {
		return c.Share(now)
	}
	c.SetSlack(r.canarySlack())
	return c.IndependentShare(now)
}

// canarySlack returns this VM's part of the requests that a release may get beyond its share. The caller holds mu.
func (r *Relay) canarySlack() float64 {
	if vms := r.slackVMs(); vms > 0 {
		return r.opts.CanarySlack / float64(vms)
	}
	return 0
}

// Load that a release on trial gets from plain requests. A release that fails only under load must show it while the load
// can still be taken away, and few requests show only what is frequent.
const (
	// trialLoad is how many times production's load the release's upstreams get. Those of small services are idle at most
	// times under production's.
	trialLoad = 2
	// maxTrialLoad is the fraction of an upstream's slots that the trial may fill. Near all of them any release is slow.
	maxTrialLoad = 0.67
)

// trialPools restricts the pools of a release on trial, which gets a share of the requests, to so many upstreams that they
// bear at least production's load. A fraction of each pool would be one upstream in each data centre where pools are small,
// which bear that load only when the release gets all requests. The caller holds mu.
func (r *Relay) trialPools(j *job, c candidatePools, share float64) candidatePools {
	if j.PromptTokens > 0 || r.canaries[j.service].Order().State != rollout.OrderOpen {
		c.fraction = share
		return c
	}
	c.concentration = upstream.Concentration{Fraction: share / trialLoad, MaxLoad: maxTrialLoad}
	c.pools = r.poolsInRegion(c.pools)
	return c
}

// poolsInRegion returns the pools in this VM's region, or all if there are none there.
func (r *Relay) poolsInRegion(ids []contract.PoolID) []contract.PoolID {
	region := r.opts.Regions[r.opts.DataCentre]
	local := slices.DeleteFunc(slices.Clone(ids), func(id contract.PoolID) bool {
		return r.opts.Regions[r.dataCentreOf[id]] != region
	})
	if len(local) == 0 {
		return ids
	}
	return local
}
