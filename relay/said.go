package relay

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/upstream"
)

// hear takes in what the head of an answer says of its upstream, whatever becomes of the
// answer: of one that is not passed on too.
func (r *Relay) hear(j *job, h *Head, e upstream.Entry) {
	if h.Unread != nil {
		r.log.Warn("word-not-understood", zap.String("upstream", string(e.ID)), zap.String("request", string(j.ID)), zap.Int("status", h.Status), zap.Error(h.Unread))
	}
	if h.Said == (upstream.Said{}) {
		return // nothing, as of most refusals
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hearLimit(j, h, e)
	said := h.Said
	said.Rest = min(said.Rest, r.opts.LongestRest)
	fresh := r.table.TakeWord(e.Life(), said, r.opts.Now())
	if fresh == (upstream.Said{}) {
		return // as of nearly every answer
	}
	fields := []zap.Field{zap.String("upstream", string(e.ID)), zap.Int64("born", e.Born), zap.String("address", e.Address),
		zap.String("service", string(e.Service)), zap.String("request", string(j.ID)), zap.Int("status", h.Status)}
	if fresh.Leaving {
		r.Metrics.leaves.Inc(1)
		r.log.Info("upstream-leaves", append(fields, zap.Bool("listed_leaving", r.entries[e.ID].Leaving))...)
	}
	if fresh.Rest > 0 {
		r.Metrics.rests.Inc(1)
		if r.opts.Rest != nil {
			r.opts.Rest(Rest{e.Life(), fresh.Rest})
		}
		r.log.Info("upstream-rests", append(fields, zap.Duration("for", fresh.Rest), zap.Duration("asked", h.Said.Rest))...)
	}
}

// Rest is one that an upstream has asked a VM for, as VMs tell each other: it binds that VM
// alone, and to the others says that they may be turned away too.
type Rest struct {
	Life contract.Life `cbor:"1,keyasint"`
	// Left is how long it goes on.
	Left time.Duration `cbor:"2,keyasint"`
}

// HearRests takes in which upstreams have asked other VMs for a rest.
func (r *Relay) HearRests(rests []Rest) {
	if len(rests) == 0 || !r.opts.Policy.Has(upstream.Telling) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, told := range rests {
		if r.lives(told.Life.Upstream, told.Life.Born) {
			r.table.RestTold(told.Life.Upstream, min(told.Left, r.opts.LongestRest), r.opts.Now())
		}
	}
}

// errTakesNone means that an upstream has said, while a connection to it was awaited, that
// it wants no more.
var errTakesNone = errors.New("the upstream has said meanwhile that it wants no more")

// barredMeanwhile tells why a request does not go to the upstream that was chosen for it.
// A connection may take 250 ms to come up, in which other requests hear answers.
func (r *Relay) barredMeanwhile(j *job, e upstream.Entry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.table.Takes(e.Life(), r.opts.Now()) && r.claimed(j, e) {
		return nil
	}
	r.Metrics.barred.Inc(1)
	return errTakesNone
}

// noteSend counts a send to an upstream that wants none. The caller holds mu.
func (r *Relay) noteSend(id contract.UpstreamID, now time.Time) {
	resting, leaving := r.table.WordOf(id, now)
	if resting {
		r.Metrics.toResting.Inc(1)
	}
	if leaving {
		r.Metrics.toLeaving.Inc(1)
	}
}

// noteRests says which rests have ended. The caller holds mu.
func (r *Relay) noteRests(now time.Time) {
	for _, l := range r.table.RestsEnded(now) {
		r.log.Info("upstream-rest-ends", zap.String("upstream", string(l.Upstream)), zap.Int64("born", l.Born))
	}
}

// Resting returns how many of the listed upstreams rest, and how many have said that they
// leave.
func (r *Relay) Resting() (resting, leaving int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Resting(r.opts.Now())
}
