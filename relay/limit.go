package relay

import (
	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/upstream"
)

// hearLimit takes in what the head of an answer says of its upstream's limit. The caller
// holds mu.
func (r *Relay) hearLimit(j *job, h *Head, e upstream.Entry) {
	n := r.table.TakeLimit(e.Life(), h.Said.Limit, j.sentAt, r.opts.Now())
	if n.Changed {
		r.logLimit(n.Known, n.Before, zap.String("request", string(j.ID)), zap.Int("status", h.Status))
	}
	if n.Tell && r.opts.Limit != nil {
		r.opts.Limit(n.Known, n.Far)
	}
}

// HearLimits takes in what another VM knows of upstreams' limits, of answers just heard if
// that is fresh.
func (r *Relay) HearLimits(known []upstream.LimitKnown, fresh bool, from contract.VMID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, k := range known {
		if !r.lives(k.Life.Upstream, k.Life.Born) {
			continue
		}
		if before, changed := r.table.HearLimit(k, fresh, r.opts.Now()); changed {
			r.logLimit(k, before, zap.String("peer", string(from)))
		}
	}
}

// limitsTold bounds how many limits one VM tells another at a time.
const limitsTold = 512

// Limits returns what this VM knows of upstreams' limits.
func (r *Relay) Limits() []upstream.LimitKnown {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Limits(limitsTold)
}

// LimitsDigest is the same for two VMs that know the same limits to hold.
func (r *Relay) LimitsDigest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.LimitsDigest()
}

// logLimit says that another limit holds, and who has told of it. The caller holds mu.
func (r *Relay) logLimit(k upstream.LimitKnown, before upstream.Limit, by ...zap.Field) {
	r.Metrics.limits.Inc(1)
	r.log.Info("upstream-limit", append([]zap.Field{
		zap.String("upstream", string(k.Life.Upstream)), zap.Int64("born", k.Life.Born), zap.Uint64("version", k.Version),
		zap.Bool("named", k.Limit.Word == upstream.LimitNamed), zap.Float64("per_second", k.Limit.PerSecond),
		zap.Bool("named_before", before.Word == upstream.LimitNamed), zap.Float64("per_second_before", before.PerSecond),
	}, by...)...)
}

// noteClaim notes whether the choice of an upstream took from this VM's part of its limit.
// The caller holds mu.
func (r *Relay) noteClaim(j *job, l contract.Life) {
	j.claim = r.table.Limited(l)
	if j.claim {
		r.Metrics.toLimited.Inc(1)
	}
}

// claimed tells whether a request may go to an upstream as far as its limit goes: it took
// from this VM's part when it was chosen, or does so now. The caller holds mu.
func (r *Relay) claimed(j *job, e upstream.Entry) bool {
	if j.claim || !r.table.Limited(e.Life()) {
		return true
	}
	j.claim = r.table.Claim(e.Life(), r.opts.Now())
	return j.claim
}

// giveBack takes back what a request took that was not sent.
func (r *Relay) giveBack(j *job) {
	if !j.claim {
		return
	}
	j.claim = false
	r.locked(func() { r.table.GiveBack(j.last.Life(), r.opts.Now()) })
}

// Limited returns how many of the listed upstreams have named a limit that holds.
func (r *Relay) Limited() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.CountLimited()
}
