package relay

import (
	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/upstream"
)

// recordLimit records the rate limit that the head of an answer announces for its upstream.
// The caller holds mu.
func (r *Relay) recordLimit(j *job, h *Head, e upstream.Entry) {
	news := r.table.TakeLimit(e.Life(), h.Said.Limit, j.sentAt, r.opts.Now())
	if news.Changed {
		r.logLimit(news.Known, news.Before, zap.String("request", string(j.ID)), zap.Int("status", h.Status))
	}
	if news.Tell && r.opts.Limit != nil {
		r.opts.Limit(news.Known, news.Far)
	}
}

// HearLimits merges the upstreams' rate limits known to another VM. fresh is set if they come
// from answers that were just received.
func (r *Relay) HearLimits(known []upstream.LimitKnown, fresh bool, from contract.VMID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, k := range known {
		if !r.isCurrent(k.Life.Upstream, k.Life.Born) {
			continue
		}
		if before, changed := r.table.HearLimit(k, fresh, r.opts.Now()); changed {
			r.logLimit(k, before, zap.String("peer", string(from)))
		}
	}
}

// maxLimitsPerUpdate is the largest number of rate limits in one update to another VM.
const maxLimitsPerUpdate = 512

// Limits returns the upstreams' rate limits that this VM knows.
func (r *Relay) Limits() []upstream.LimitKnown {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Limits(maxLimitsPerUpdate)
}

// LimitsDigest returns a digest of the rate limits in force. It is equal on VMs that know the
// same limits.
func (r *Relay) LimitsDigest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.LimitsDigest()
}

// logLimit logs a changed rate limit and its source. The caller holds mu.
func (r *Relay) logLimit(k upstream.LimitKnown, before upstream.Limit, source ...zap.Field) {
	r.Metrics.limitChanges.Inc(1)
	r.log.Info("upstream-limit", append([]zap.Field{
		zap.String("upstream", string(k.Life.Upstream)), zap.Int64("born", k.Life.Born), zap.Uint64("version", k.Version),
		zap.Bool("named", k.Limit.Word == upstream.LimitNamed), zap.Float64("per_second", k.Limit.PerSecond),
		zap.Bool("named_before", before.Word == upstream.LimitNamed), zap.Float64("per_second_before", before.PerSecond),
	}, source...)...)
}

// recordLimitClaim records whether selecting the upstream took from this VM's share of its
// rate limit. The caller holds mu.
func (r *Relay) recordLimitClaim(j *job, l contract.Life) {
	j.limitClaimed = r.table.Limited(l)
	if j.limitClaimed {
		r.Metrics.sendsToLimited.Inc(1)
	}
}

// claimLimit reports whether the upstream's rate limit allows the request: either it took from
// this VM's share when the upstream was selected, or it does so now. The caller holds mu.
func (r *Relay) claimLimit(j *job, e upstream.Entry) bool {
	if j.limitClaimed || !r.table.Limited(e.Life()) {
		return true
	}
	j.limitClaimed = r.table.Claim(e.Life(), r.opts.Now())
	return j.limitClaimed
}

// releaseLimitClaim returns the share that was claimed for a request that was not sent.
func (r *Relay) releaseLimitClaim(j *job) {
	if !j.limitClaimed {
		return
	}
	j.limitClaimed = false
	r.withLock(func() { r.table.GiveBack(j.lastUpstream.Life(), r.opts.Now()) })
}

// Limited returns how many of the listed upstreams have a rate limit in force.
func (r *Relay) Limited() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.CountLimited()
}
