package relay

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/upstream"
)

// recordNotices records the notices in the head of an answer
// (what the upstream states about itself, such as a back-off), even if the answer is not delivered.
func (r *Relay) recordNotices(j *job, h *ResponseHead, e upstream.Entry) {
	if h.NoticeError != nil {
		r.log.Warn("word-not-understood", zap.String("upstream", string(e.ID)), zap.String("request", string(j.ID)), zap.Int("status", h.Status), zap.Error(h.NoticeError))
	}
	if h.Notices == (upstream.Notices{}) {
		return // no notices, as in most refusals
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordLimit(j, h, e)
	notices := h.Notices
	notices.Backoff = min(notices.Backoff, r.opts.MaxBackoff)
	changed := r.table.ApplyNotices(e.Instance(), notices, r.opts.Now())
	if changed == (upstream.Notices{}) {
		return // nothing new, as in almost every answer
	}
	fields := []zap.Field{zap.String("upstream", string(e.ID)), zap.Int64("born", e.Incarnation), zap.String("address", e.Address),
		zap.String("service", string(e.Service)), zap.String("request", string(j.ID)), zap.Int("status", h.Status)}
	if changed.Leaving {
		r.Metrics.leaveNotices.Inc(1)
		r.log.Info("upstream-leaves", append(fields, zap.Bool("listed_leaving", r.entries[e.ID].Leaving))...)
	}
	if changed.Backoff > 0 {
		r.Metrics.backoffNotices.Inc(1)
		if r.opts.OnBackoff != nil {
			r.opts.OnBackoff(Backoff{e.Instance(), changed.Backoff})
		}
		r.log.Info("upstream-rests", append(fields, zap.Duration("for", changed.Backoff), zap.Duration("asked", h.Notices.Backoff))...)
	}
}

// Backoff is a back-off (a time without requests)
// that an upstream requested from one VM, as reported to other VMs.
// A back-off binds only the VM from which it is requested,
// but shows the other VMs that the upstream may reject their requests too.
type Backoff struct {
	Instance contract.UpstreamInstance `cbor:"1,keyasint"`
	// Remaining is the remaining time of the back-off.
	Remaining time.Duration `cbor:"2,keyasint"`
}

// MergeBackoffs records the back-offs that upstreams have requested from other VMs.
func (r *Relay) MergeBackoffs(backoffs []Backoff) {
	if len(backoffs) == 0 || !r.opts.Policy.Has(upstream.Gossip) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, backoff := range backoffs {
		if r.isCurrent(backoff.Instance.Upstream, backoff.Instance.Incarnation) {
			r.table.RecordPeerBackoff(backoff.Instance.Upstream, min(backoff.Remaining, r.opts.MaxBackoff), r.opts.Now())
		}
	}
}

// errUnavailableMeanwhile means that, while a request waited for a connection to an upstream,
// the upstream stated that it accepts no more requests.
var errUnavailableMeanwhile = errors.New("upstream stopped accepting requests while a connection to it was awaited")

// checkStillAvailable returns an error if the selected upstream no longer accepts the request.
// Opening a connection may take 250 ms,
// and notices in the answers to other requests may arrive during that time.
func (r *Relay) checkStillAvailable(j *job, e upstream.Entry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.table.AcceptsWork(e.Instance(), r.opts.Now()) && r.claimLimit(j, e) {
		return nil
	}
	r.Metrics.sendsBlocked.Inc(1)
	return errUnavailableMeanwhile
}

// countUnwantedSend counts a selection of an upstream whose notices ask for no more requests.
// The caller holds mu.
func (r *Relay) countUnwantedSend(id contract.UpstreamID, now time.Time) {
	backedOff, leaving := r.table.NoticeState(id, now)
	if backedOff {
		r.Metrics.sendsToBackedOff.Inc(1)
	}
	if leaving {
		r.Metrics.sendsToLeaving.Inc(1)
	}
}

// logEndedBackoffs logs the back-offs that have ended since the last call. The caller holds mu.
func (r *Relay) logEndedBackoffs(now time.Time) {
	for _, instance := range r.table.TakeEndedBackoffs(now) {
		r.log.Info("upstream-rest-ends", zap.String("upstream", string(instance.Upstream)), zap.Int64("born", instance.Incarnation))
	}
}

// CountBackedOff returns how many of the listed upstreams have requested a back-off
// that is in force, and how many upstreams have stated that they are leaving (will stop).
func (r *Relay) CountBackedOff() (backedOff, leaving int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.CountBackedOff(r.opts.Now())
}
