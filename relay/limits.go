package relay

import (
	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/upstream"
)

// recordLimit records the rate limit that the head of an answer states for its upstream.
// The caller holds mu.
func (r *Relay) recordLimit(j *job, h *ResponseHead, e upstream.Entry) {
	change := r.table.ApplyLimitAnswer(e.Instance(), h.Notices.Limit, j.sentAt, r.opts.Now())
	if change.Changed {
		r.logLimit(change.Update, change.Before, zap.String("request", string(j.ID)), zap.Int("status", h.Status))
	}
	if change.Report && r.opts.OnLimit != nil {
		r.opts.OnLimit(change.Update, change.ReportRemote)
	}
}

// MergeLimits merges the upstreams' rate limits known to another VM.
// The argument fresh is set if the other VM has just received these rate limits in answers.
func (r *Relay) MergeLimits(known []upstream.LimitUpdate, fresh bool, from contract.VMID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, k := range known {
		r.table.LearnService(k, r.opts.Now())
		if !r.isCurrent(k.Instance.Upstream, k.Instance.Incarnation) {
			continue
		}
		if before, changed := r.table.MergeLimit(k, fresh, r.opts.Now()); changed {
			r.logLimit(k, before, zap.String("peer", string(from)))
		}
	}
}

// maxLimitsPerUpdate is the largest number of rate limits in one update to another VM.
const maxLimitsPerUpdate = 512

// Limits returns the upstreams' rate limits that this VM knows.
func (r *Relay) Limits() []upstream.LimitUpdate {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Limits(maxLimitsPerUpdate, r.opts.Now())
}

// LimitsDigest returns a digest of the rate limits in force.
// Two VMs that know the same rate limits have equal digests.
func (r *Relay) LimitsDigest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.LimitsDigest()
}

// logLimit logs a changed rate limit and its source. The caller holds mu.
func (r *Relay) logLimit(k upstream.LimitUpdate, before upstream.RateLimit, source ...zap.Field) {
	r.Metrics.limitChanges.Inc(1)
	r.log.Info("upstream-limit", append([]zap.Field{
		zap.String("upstream", string(k.Instance.Upstream)), zap.Int64("born", k.Instance.Incarnation), zap.Uint64("version", k.Version),
		zap.Bool("named", k.Limit.Statement == upstream.LimitStated), zap.Float64("per_second", k.Limit.PerSecond),
		zap.Bool("named_before", before.Statement == upstream.LimitStated), zap.Float64("per_second_before", before.PerSecond),
		zap.Bool("brittle", k.Limit.Brittle == upstream.LimitStated), zap.Float64("rejections_per_second", k.Limit.Rejections),
	}, source...)...)
}

// recordLimitClaim records whether the selection of an upstream has used one request
// of this VM's share of the upstream's rate limit (the requests per second that this VM may send).
// The caller holds mu.
func (r *Relay) recordLimitClaim(j *job, instance contract.UpstreamInstance) {
	j.limitClaimed = r.table.HasLimit(instance)
	if j.limitClaimed {
		r.Metrics.sendsToLimited.Inc(1)
	}
}

// claimLimit reports whether the upstream's rate limit allows the request.
// If the request was not counted against this VM's share of the rate limit
// when the upstream was selected, claimLimit tries to count it now.
// The caller holds mu.
func (r *Relay) claimLimit(j *job, e upstream.Entry) bool {
	if j.limitClaimed || !r.table.HasLimit(e.Instance()) {
		return true
	}
	j.limitClaimed = r.table.ClaimShare(e.Instance(), r.opts.Now())
	return j.limitClaimed
}

// releaseLimitClaim undoes the count of a request against this VM's share
// of a rate limit if the request was not sent.
func (r *Relay) releaseLimitClaim(j *job) {
	if !j.limitClaimed {
		return
	}
	j.limitClaimed = false
	r.withLock(func() { r.table.ReleaseShare(j.lastUpstream.Instance(), r.opts.Now()) })
}

// CountBrittle returns how many of the listed upstreams state that they are brittle.
func (r *Relay) CountBrittle() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.CountBrittle()
}

// CountLimited returns how many of the listed upstreams have a rate limit in force.
func (r *Relay) CountLimited() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.CountLimited()
}
