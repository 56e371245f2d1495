package relay

import (
	"fmt"
	"time"

	"woaddoor/contract"
	"woaddoor/quarantine"
	"woaddoor/retry"
	"woaddoor/upstream"
)

// Delays after which a retry of a refused caller may succeed.
const (
	// retryAfterBusy is the approximate time until a slot at an upstream becomes free.
	retryAfterBusy = 250 * time.Millisecond
	// retryAfterListUpdate is the approximate time between reads of the upstream list.
	retryAfterListUpdate = 600 * time.Millisecond
)

// refuseQuarantined refuses a request whose content, or a part of whose prompt, has crashed the
// upstreams that executed it.
func refuseQuarantined(j *job, c *quarantine.Record) *contract.Refusal {
	what, crashes, retryAfter := "this content", max(len(c.Crashes), quarantine.CrashLimit), quarantine.RetryAfter
	if c.IsPart() {
		what, crashes = "this part of their prompts", max(len(c.Crashes), quarantine.PartCrashLimit)
	}
	if c.DecidedSoon() {
		retryAfter = retryAfterRestart
	}
	f := &contract.Refusal{
		Kind: contract.RefusedQuarantined, Outcome: j.outcome(), Step: contract.StepPick,
		Detail: fmt.Sprintf("requests with %s (%s) have crashed %d upstreams one after another and are not sent now", what, c.Fingerprint, crashes),
	}
	return f.WithRetryAfter(retryAfter)
}

// retryAfterRestart is the approximate time in which a crashed upstream restarts.
const retryAfterRestart = 2 * time.Second

// refuseLastUpstream refuses a request that could crash the last available upstream of its service.
func refuseLastUpstream(j *job) *contract.Refusal {
	f := &contract.Refusal{
		Kind: contract.RefusedQuarantined, Outcome: j.outcome(), Step: contract.StepPick,
		Detail: "requests with this content have crashed upstreams, and only one available upstream is left",
	}
	return f.WithRetryAfter(retryAfterRestart)
}

// refuseSuspectRunning refuses a request whose content may crash the upstream
// that is executing another request with the same content.
func refuseSuspectRunning(j *job) *contract.Refusal {
	f := &contract.Refusal{
		Kind: contract.RefusedQuarantined, Outcome: j.outcome(), Step: contract.StepPick,
		Detail: "requests with this content have crashed upstreams, and another one with the same content is running",
	}
	return f.WithRetryAfter(retryAfterRestart)
}

// refuseUnlisted refuses a request for a service without a known upstream.
func refuseUnlisted(j *job) *contract.Refusal {
	f := &contract.Refusal{
		Kind: contract.RefusedNoUpstream, Outcome: j.outcome(), Step: contract.StepPick, Detail: "no upstream of the service is listed",
	}
	return f.WithRetryAfter(retryAfterListUpdate)
}

// refuseRegion refuses a request whose service has no upstream in an allowed region.
// Only a change of the configuration or of the deployment can make such a request succeed.
func refuseRegion(j *job) *contract.Refusal {
	f := &contract.Refusal{
		Kind: contract.RefusedRegionNotAllowed, Outcome: j.outcome(), Step: contract.StepPick,
		Detail: fmt.Sprintf("the service has no upstream in the allowed regions: route %v, workspace %v", j.Route.Regions, j.Regions),
	}
	return f.WithRetryAfter(retryAfterRegion)
}

// retryAfterRegion is the delay before a retry if the service has no upstream in an allowed region.
const retryAfterRegion = time.Minute

// refuseNoUpstream refuses a request that no upstream can accept now. The caller holds mu.
func (r *Relay) refuseNoUpstream(j *job, now time.Time) *contract.Refusal {
	if r.outsideRegions(j) {
		return refuseRegion(j)
	}
	o := r.outlook(j, now)
	if o.Listed == 0 {
		return refuseUnlisted(j)
	}
	f := &contract.Refusal{
		Kind: contract.RefusedNoUpstream, Outcome: j.outcome(), Step: contract.StepPick,
		Detail: fmt.Sprintf("none of %d upstreams of the service can accept the request now: %d back off, %d are leaving, %d are at their rate limit (%.1f requests/s), %d are brittle and have no room for this VM, of %d this VM has used its share of the connections",
			o.Listed, o.BackedOff, o.Leaving, o.AtLimit, o.PerSecond, o.NoRoom, o.ShareUsed),
	}
	j.sharesUsed = o.SharesUsed()
	switch {
	case o.NoneAccepting() && o.AtLimit > 0:
		f.Kind = contract.RefusedUpstreamsAtLimit
	case o.NoneAccepting():
		f.Kind = contract.RefusedUpstreamsBackedOff
		f.Detail += fmt.Sprintf(", the first back-off ends in %v", o.NextBackoffEnd.Round(time.Millisecond))
	}
	defaultDelay := retryAfterListUpdate
	if o.NoRoom+o.ShareUsed > 0 {
		defaultDelay = retryAfterBusy
	}
	return f.WithRetryAfter(r.retryAfter(j.service, o, defaultDelay, now))
}

// refuseNoPath refuses a request because this VM has no path to the upstreams of its service.
// The caller holds mu.
func (r *Relay) refuseNoPath(j *job, now time.Time) *contract.Refusal {
	status := r.paths.Status(j.service, now)
	f := &contract.Refusal{
		Kind: contract.RefusedNoPath, Outcome: j.outcome(), Step: contract.StepPick,
		Detail: fmt.Sprintf("no connection to an upstream of the service can be established: %d failed since one was last established", status.Failed),
	}
	return f.WithRetryAfter(retryAfterNoPath)
}

// retryAfterNoPath is the delay before a retry after a VM without a path has refused a request.
// The next connection of the caller may lead to another VM.
const retryAfterNoPath = 100 * time.Millisecond

// retryAfter returns the delay before a retry.
// The delay is defaultDelay unless all upstreams of the service reject requests.
// If all upstreams have requested a back-off, retries start when the first back-off ends.
// The retries are spread over a period as long as that back-off,
// up to maxRetrySpread, so that they arrive no faster than new requests.
// The caller holds mu.
func (r *Relay) retryAfter(s contract.ServiceID, o upstream.Outlook, defaultDelay time.Duration, now time.Time) time.Duration {
	if !o.NoneAccepting() {
		return defaultDelay
	}
	if o.AtLimit > 0 {
		return r.retryAfterAtLimit(s, o, now)
	}
	return o.NextBackoffEnd + time.Duration(r.random.Float64()*float64(min(o.NextBackoffLength, maxRetrySpread)))
}

// retryAfterAtLimit returns the delay before a retry at upstreams
// that have reached their rate limits.
// Each VM spaces the retries of its callers by its share of these rate limits. The caller holds mu.
func (r *Relay) retryAfterAtLimit(s contract.ServiceID, o upstream.Outlook, now time.Time) time.Duration {
	return r.retrySchedule(s).NextDelay(o.PerSecond/float64(max(r.opts.VMs(), 1)), maxRetrySpread, r.random.Float64(), now)
}

// maxRetrySpread limits the period over which retries after a back-off are spread.
// A longer spread would exceed the time for which most callers wait.
const maxRetrySpread = 5 * time.Second

// retrySchedule returns the schedule of retries by refused callers of a service.
// The caller holds mu.
func (r *Relay) retrySchedule(s contract.ServiceID) *retry.RetryScheduler {
	schedule, ok := r.retrySchedules[s]
	if !ok {
		schedule = &retry.RetryScheduler{}
		r.retrySchedules[s] = schedule
	}
	return schedule
}

// refuseLongQueue refuses a request whose deadline will pass
// before any engine can begin the prefill of its prompt.
func refuseLongQueue(j *job, retryAfter time.Duration) *contract.Refusal {
	f := &contract.Refusal{
		Kind: contract.RefusedLimitReached, Outcome: j.outcome(), Step: contract.StepPick,
		Detail: "no model can begin an answer before the deadline: the queues at the engines are too long",
	}
	return f.WithRetryAfter(max(retryAfter, retryAfterBusy))
}

// refuseAfterFailures refuses a request after failed attempts.
func (r *Relay) refuseAfterFailures(j *job, reason retry.Reason, err error) *contract.Refusal {
	f := &contract.Refusal{
		Kind: contract.RefusedUpstreamFailed, Outcome: j.outcome(), Step: contract.StepSend, Peer: string(j.lastUpstream.ID),
		Detail: fmt.Sprintf("%v; not tried again: %s", err, reason),
	}
	if j.outcome() == contract.OutcomeNotRun {
		f.Kind = contract.RefusedLimitReached
	}
	r.withLock(func() {
		now := r.opts.Now()
		f.RetryAfter = r.retryAfter(j.service, r.outlook(j, now), retryAfterBusy, now)
	})
	return f
}

// refuseDeadline refuses a request whose deadline has passed.
func refuseDeadline(j *job) *contract.Refusal {
	return &contract.Refusal{
		Kind: contract.RefusedDeadlinePassed, Outcome: j.outcome(), Step: contract.StepAnswer, Peer: string(j.lastUpstream.ID),
		Detail: "the deadline or the route's timeout passed before the answer arrived",
	}
}
