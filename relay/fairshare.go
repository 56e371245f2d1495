package relay

import (
	"cmp"
	"fmt"
	"time"

	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/fairshare"
	"woaddoor/upstream"
)

// shareCheck is the result of checkShare.
type shareCheck struct {
	// refusal is set if the request is beyond the share of its workspace.
	refusal *contract.Refusal
	// request is what was counted. It has no work if nothing was counted.
	request fairshare.Request
}

// checkShare counts a request against the share of its workspace in the capacity of its service,
// and refuses the request if the upstreams are short and the share is used up.
// The caller holds mu.
func (r *Relay) checkShare(j *job, now time.Time) shareCheck {
	if j.Workspace == "" || len(j.Route.Shares) == 0 || !r.opts.Policy.Has(upstream.FairShare) {
		return shareCheck{}
	}
	service := r.fairShareOf(j.service)
	check := shareCheck{request: fairshare.Request{
		Class: fairshare.Class{Workspace: j.Workspace, Priority: j.Priority}, Work: r.expectedWork(j),
		Objective: j.Route.Objective, Remaining: j.Deadline.Sub(now), Jitter: r.random.Float64,
	}}
	known := r.knownUpstreams(j, now)
	decision := service.Decide(check.request, known, r.opts.WorkspaceWeight, now)
	if decision.Changed {
		r.recordShortage(j.service, decision.Short, append([]zap.Field{zap.String("request", string(j.ID))}, shortageFields(decision, known)...)...)
	}
	if decision.Refused {
		check.refusal = r.refuseOverShare(j, check.request, decision, known)
	}
	return check
}

// recordAdmitted counts a request that is sent on. The caller holds mu.
func (r *Relay) recordAdmitted(j *job, check shareCheck, now time.Time) {
	if check.request.Work > 0 {
		r.fairShareOf(j.service).Admitted(check.request.Class, check.request.Work, now)
	}
}

// fairShareOf returns the fair shares of a service, and creates them if there are none.
// The caller holds mu.
func (r *Relay) fairShareOf(s contract.ServiceID) *fairshare.Service {
	service, ok := r.fairShares[s]
	if !ok {
		service = fairshare.NewService()
		r.fairShares[s] = service
	}
	return service
}

// minPromptWork is the least work of a prompt, in seconds: a prompt that is almost completely
// cached still occupies the engine for a few steps.
const minPromptWork = 0.001

// expectedWork returns the expected work of a request: 1 for a plain request, and for a prompt the
// prefill seconds of the part that it shares with no other request. The model is not chosen yet, so
// the smallest model is assumed for all requests. The caller holds mu.
func (r *Relay) expectedWork(j *job) float64 {
	if j.PromptTokens == 0 {
		return 1
	}
	work := r.promptWork(j, j.Arrived)
	own := max(work.Prompt.Tokens-work.Prompt.SharedTokens(), 0)
	return max(r.table.PrefillTime(j.smallestModel(), own).Seconds(), minPromptWork)
}

// smallestModel returns the smallest model that may answer a request.
func (j *job) smallestModel() contract.ModelID {
	if j.ChooseModel && len(j.Route.Models) > 0 {
		return j.Route.Models[0]
	}
	return j.model
}

// knownUpstreams returns the state of the upstreams that a request may use. The time until the
// request would begin is estimated only while at least half of their slots are in use, since it
// takes longer than the rest of the decision. The caller holds mu.
func (r *Relay) knownUpstreams(j *job, now time.Time) fairshare.Upstreams {
	var pools []contract.PoolID
	for _, c := range r.eligiblePools(j, now) {
		pools = append(pools, c.pools...)
	}
	occupancy := r.table.Occupancy(pools, now)
	known := fairshare.Upstreams{Slots: occupancy.Slots, SlotsInUse: occupancy.InUse}
	if !known.Tight() || j.Route.Objective <= 0 {
		return known
	}
	candidate := *j
	candidate.model = j.smallestModel()
	q := r.upstreamQuery(&candidate, candidatePools{pools: pools}, now)
	elapsed := now.Sub(j.Arrived)
	var soonest upstream.Estimate
	soonest, known.Estimated = r.table.SoonestBegin(q, now)
	known.Wait, known.Begin = soonest.Wait, elapsed+soonest.Wait
	if candidate.PromptTokens > 0 {
		known.Begin = elapsed + soonest.TimeToFirstToken()
	}
	return known
}

// refuseOverShare refuses a request beyond the share of its workspace. The caller holds mu.
func (r *Relay) refuseOverShare(j *job, request fairshare.Request, d fairshare.Decision, known fairshare.Upstreams) *contract.Refusal {
	r.Metrics.shareRefusals.Inc(1)
	fields := []zap.Field{
		zap.String("request", string(j.ID)), zap.String("service", string(j.service)), zap.String("workspace", string(j.Workspace)), zap.Int("priority", j.Priority),
		zap.Float64("work", request.Work), zap.Float64("share", d.Plan.Share(j.Workspace)), zap.Float64("admitted_part", roundToHundredths(d.AdmitFraction)),
		zap.Float64("credit", roundToHundredths(d.Credit)), zap.Int64("plan_age_ms", d.PlanAge.Milliseconds()), zap.Int64("retry_after_ms", d.RetryAfter.Milliseconds()),
	}
	r.log.Info("share-refused", append(fields, shortageFields(d, known)...)...)
	f := &contract.Refusal{
		Kind: contract.RefusedLimitReached, Outcome: j.outcome(), Step: contract.StepAdmit,
		Detail: fmt.Sprintf("the upstreams of the service are short of capacity, and the workspace has used up its share: %.0f%% of its requests of this priority are admitted", 100*d.AdmitFraction),
	}
	return f.WithRetryAfter(cmp.Or(d.RetryAfter, retryAfterBusy))
}

// refreshFairShares divides the capacity of each service anew whose upstreams are short.
// The caller holds mu.
func (r *Relay) refreshFairShares() {
	for id, service := range r.fairShares {
		if service.Refresh(r.opts.WorkspaceWeight, r.opts.Now()) {
			r.recordShortage(id, false)
		}
	}
}

// recordShortage counts and logs that the upstreams of a service became short, or are not any
// more. details are the inputs of the decision. There are none if the shortage ended because
// requests have ceased. The caller holds mu.
func (r *Relay) recordShortage(s contract.ServiceID, short bool, details ...zap.Field) {
	change := int64(1)
	if !short {
		change = -1
	}
	r.Metrics.servicesShort.Update(r.Metrics.servicesShort.Value() + change)
	fields := []zap.Field{zap.String("service", string(s)), zap.Bool("short", short)}
	r.log.Info("upstreams-short", append(fields, details...)...)
}

// shortageFields returns the inputs of a decision and their age. An estimate is made for each
// decision and has no age.
func shortageFields(d fairshare.Decision, known fairshare.Upstreams) []zap.Field {
	fields := []zap.Field{
		zap.Int64("begin_ms", known.Begin.Milliseconds()), zap.Float64("begin_part", roundToHundredths(d.BeginFraction)), zap.Int64("wait_ms", known.Wait.Milliseconds()),
		zap.Float64("slots", known.Slots), zap.Float64("slots_in_use", roundToHundredths(known.SlotsInUse)), zap.Int64("short_ms", d.ShortFor.Milliseconds()),
		zap.Float64("capacity", d.Plan.Capacity), zap.Float64("offered", d.Plan.Total.Offered), zap.Float64("admitted", d.Plan.Total.Admitted),
	}
	if d.OthersKnown {
		fields = append(fields, zap.Int64("others_age_ms", d.OthersAge.Milliseconds()))
	}
	return fields
}

// Demand returns the demand at this VM for the services at which other VMs need it.
func (r *Relay) Demand() fairshare.Demands {
	r.mu.Lock()
	defer r.mu.Unlock()
	demands := make(fairshare.Demands)
	for id, service := range r.fairShares {
		if d, ok := service.Demand(r.opts.Now()); ok {
			demands[id] = d
		}
	}
	return demands
}

// SetOthersDemand sets the demand at all other VMs. A service that is not contained has none.
func (r *Relay) SetOthersDemand(d fairshare.Demands) {
	if !r.opts.Policy.Has(upstream.FairShare) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range d {
		r.fairShareOf(id)
	}
	for id, service := range r.fairShares {
		service.SetOthers(d[id], r.opts.Now())
	}
}
