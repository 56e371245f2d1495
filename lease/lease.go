// Package lease decides who may give orders, with a fencing number. It is a
// pure state machine over one object of the platform; the time is given.
//
// A holder counts its lease on its own clock from before it asked, and stops
// well before the end. A taker waits, on its own clock, until the object has
// stood unchanged for the whole time. No clocks are compared, and a holder
// that was paused finds its lease lapsed by the clock that saw the pause.
//
// An order may still be under way when the lease ends: engines that know
// fencing numbers refuse it then; for the others Ready waits out the longest
// delay of an order, and what an engine holds is read back, never assumed.
package lease

import (
	"cmp"
	"time"

	"woaddoor/contract"
)

// Claim is who holds a lease.
type Claim struct {
	VM          contract.VMID        `json:"vm"`
	Incarnation contract.Incarnation `json:"incarnation"`
}

// Object is the form of a lease in the platform's store.
type Object struct {
	Holder  Claim                  `json:"holder"`
	Fencing contract.FencingNumber `json:"fencing"`
	// Renewals makes each renewal a change, so that takers see it.
	Renewals uint64 `json:"renewals"`
}

// Options set up a Holder.
type Options struct {
	Self Claim
	// Length is how long a lease lasts. Zero means 15 s.
	Length time.Duration
	// Margin is how long before its end a holder stops giving orders; it has
	// to be longer than an order's timeout. Zero means 5 s.
	Margin time.Duration
	// Settle is how long a taker waits before its first order, for orders of
	// the former holder that are under way. Zero means 5 s.
	Settle time.Duration
}

// Defaults of Options.
const (
	defaultLength = 15 * time.Second
	defaultMargin = 5 * time.Second
	defaultSettle = 5 * time.Second
)

// Holder is one process's part in a lease.
type Holder struct {
	opts    Options
	object  Object
	version contract.ObjectVersion
	// seenAt is when the present version was first seen.
	seenAt time.Time
	until  time.Time // end of the own lease
	took   time.Time // when it was taken
}

// NewHolder returns a holder that holds nothing.
func NewHolder(opts Options) *Holder {
	opts.Length = cmp.Or(opts.Length, defaultLength)
	opts.Margin = cmp.Or(opts.Margin, defaultMargin)
	opts.Settle = cmp.Or(opts.Settle, defaultSettle)
	return &Holder{opts: opts}
}

// Saw takes in the object as it was read. A version of zero means that there
// is none yet. An older version than the one known is a stale read.
func (h *Holder) Saw(o Object, v contract.ObjectVersion, now time.Time) {
	if v < h.version {
		return
	}
	if v != h.version || h.seenAt.IsZero() {
		h.object, h.version, h.seenAt = o, v, now
	}
	if o.Holder != h.opts.Self {
		h.until = time.Time{}
	}
}

// Proposal is the write that takes or renews a lease: conditional on Version,
// or a creation when that is zero.
type Proposal struct {
	Object  Object
	Version contract.ObjectVersion
}

// Propose returns the write to make now, or false when another holds the lease
// or the own one needs no renewal yet.
func (h *Holder) Propose(now time.Time) (Proposal, bool) {
	mine := h.object.Holder == h.opts.Self && h.version != 0
	if mine && now.Before(h.until) {
		if h.until.Sub(now) > h.opts.Length-h.opts.Margin/2 {
			return Proposal{}, false
		}
		next := h.object
		next.Renewals++
		return Proposal{next, h.version}, true
	}
	if h.version != 0 && !mine && now.Sub(h.seenAt) < h.opts.Length {
		return Proposal{}, false
	}
	// Also an own lease that lapsed is taken anew, with a new number: another
	// may have had it in between, under a number that was not seen here.
	return Proposal{Object{Holder: h.opts.Self, Fencing: h.object.Fencing + 1, Renewals: h.object.Renewals + 1}, h.version}, true
}

// Wrote takes in that a proposal asked for at askedAt was accepted as version
// v. A reply that was lost is not told: the next read shows the object, and
// the lease is taken anew.
func (h *Holder) Wrote(p Proposal, v contract.ObjectVersion, askedAt time.Time) {
	if p.Object.Fencing != h.object.Fencing || h.until.IsZero() {
		h.took = askedAt
	}
	h.object, h.version, h.seenAt = p.Object, v, askedAt
	h.until = askedAt.Add(h.opts.Length)
}

// Ready returns the fencing number under which an order may be given now.
// ignores tells that the engine takes old numbers.
func (h *Holder) Ready(now time.Time, ignores bool) (contract.FencingNumber, bool) {
	if h.until.IsZero() || !now.Before(h.until.Add(-h.opts.Margin)) {
		return 0, false
	}
	if ignores && now.Sub(h.took) < h.opts.Settle {
		return 0, false
	}
	return h.object.Fencing, true
}
