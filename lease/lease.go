// Package lease decides which VM acts for all, under a fencing number. It is a
// pure state machine over one object of the platform; the time is given, by a
// clock that counts suspensions and is never set.
//
// A holder counts its lease on its own clock from before it asked, and stops
// well before the end. A taker waits, on its own clock, until the object has
// stood unchanged for the whole time. No clocks are compared, and a holder
// that was paused finds its lease lapsed by the clock that saw the pause.
//
// An order may still be under way when the lease ends: engines that know
// fencing numbers refuse it then; for the others Ready waits out the longest
// delay of an order, and what an engine holds is read back, never assumed.
//
// What a holder is to do in the same way as those before it stands in the object
// as its record: it is in force once the store has taken it, for whoever holds
// the lease next.
package lease

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"woaddoor/contract"
)

// Object is the form of a lease in the platform's store.
type Object struct {
	// Holder is the life of the VM that holds it; the zero value is nobody.
	Holder  contract.VMLife        `json:"holder" cbor:"1,keyasint"`
	Fencing contract.FencingNumber `json:"fencing" cbor:"2,keyasint"`
	// Renewals makes each renewal a change, so that takers see it.
	Renewals uint64 `json:"renewals" cbor:"3,keyasint"`
	// Resigned are the VMs that have given the lease up, one after the other, since
	// one last held it for its whole length.
	Resigned []contract.VMID `json:"resigned,omitempty" cbor:"4,keyasint,omitempty"`
	// Record is what holders have fixed for those after them.
	Record json.RawMessage `json:"record,omitempty" cbor:"-"`
}

// Seen is an object as the store holds it. A Version of zero means that there is none.
type Seen struct {
	Object  Object
	Version contract.ObjectVersion
}

// Options set up a Holder.
type Options struct {
	Self contract.VMLife
	// Length is how long a lease lasts. Zero means 15 s.
	Length time.Duration
	// Margin is how long before its end a holder stops giving orders; it has
	// to be longer than an order's timeout. Zero means a third of Length.
	Margin time.Duration
	// Settle is how long a taker waits before its first order, for orders of
	// the former holder that are under way. Zero means Margin.
	Settle time.Duration
}

// Defaults of Options.
const (
	defaultLength = 15 * time.Second
	marginPart    = 3 // of Length, divided
)

// Holder is one process's part in a lease.
type Holder struct {
	opts Options
	seen Seen
	// seenAt is when the present version was first seen, and told tells that its record
	// is not known: another VM has told of the version alone.
	seenAt time.Time
	told   bool
	until  time.Time // end of the own lease
	took   time.Time // when it was taken
	// record is what the next write fixes; nil for what the object holds. urgent tells
	// that the write is due at once.
	record json.RawMessage
	urgent bool
}

// NewHolder returns a holder that holds nothing.
func NewHolder(opts Options) *Holder {
	opts.Length = cmp.Or(opts.Length, defaultLength)
	opts.Margin = cmp.Or(opts.Margin, opts.Length/marginPart)
	opts.Settle = cmp.Or(opts.Settle, opts.Margin)
	return &Holder{opts: opts}
}

// Seen returns the newest object that is known.
func (h *Holder) Seen() Seen { return h.seen }

// Age returns for how long the newest object has been known to stand.
func (h *Holder) Age(now time.Time) time.Duration { return now.Sub(h.seenAt) }

// Saw takes in the object as the store shows it. An older version than the one known is
// a stale read.
func (h *Holder) Saw(s Seen, now time.Time) {
	if s.Version < h.seen.Version {
		return
	}
	if s.Version != h.seen.Version || h.seenAt.IsZero() {
		h.seenAt = now
		h.record = nil // made without what the newer object holds
	}
	h.seen, h.told = s, false
	if s.Object.Holder != h.opts.Self {
		h.until = time.Time{}
	}
}

// Told takes in that another VM knows of a version, without its record, which stood at a
// time. That has to be no earlier than when it was asked for.
func (h *Holder) Told(s Seen, at time.Time) {
	if s.Version <= h.seen.Version {
		return
	}
	h.seen, h.seenAt, h.told = s, at, true
	h.record = nil
	if s.Object.Holder != h.opts.Self {
		h.until = time.Time{}
	}
}

// Gone takes in that the store has no object. Numbers go on from the last that is known.
func (h *Holder) Gone(now time.Time) {
	h.seen.Version, h.seenAt, h.until, h.told = 0, now, time.Time{}, false
}

// Doubt takes in that the object has changed and it is not known how.
func (h *Holder) Doubt() { h.seenAt, h.record = time.Time{}, nil }

// Unread tells whether the object has to be read before anything can be written: it is not
// known at all, or not its record while the lease seems to be free or this process's own.
func (h *Holder) Unread(now time.Time) bool {
	return h.seenAt.IsZero() || h.told && !now.Before(h.FreeAt())
}

// Fix has the next write put a record into the object, due at once if that is urgent. It
// has no effect unless this VM holds the lease then.
func (h *Holder) Fix(record json.RawMessage, urgent bool) {
	h.urgent = urgent || h.urgent && h.record != nil
	h.record = record
}

// Pending returns the record that the next write fixes, or the one that is in force.
func (h *Holder) Pending() json.RawMessage {
	if h.record != nil {
		return h.record
	}
	return h.seen.Object.Record
}

// Proposal is the write that takes, renews or gives up a lease: conditional on Version,
// or a creation when that is zero.
type Proposal struct {
	Object  Object
	Version contract.ObjectVersion
}

// Mine tells whether the newest object that is known names this process.
func (h *Holder) Mine() bool { return h.seen.Version != 0 && h.seen.Object.Holder == h.opts.Self }

// Propose returns the write to make now, or false when another holds the lease
// or the own one needs no renewal yet.
func (h *Holder) Propose(now time.Time) (Proposal, bool) {
	if h.told {
		return Proposal{}, false // a write would undo its record
	}
	if h.Mine() && now.Before(h.until) {
		return h.renew(now)
	}
	if now.Before(h.FreeAt()) {
		return Proposal{}, false
	}
	// Also an own lease that lapsed is taken anew, with a new number: another
	// may have had it in between, under a number that was not seen here.
	next := h.seen.Object
	if next.Holder != (contract.VMLife{}) {
		next.Resigned = nil // nobody gave it up: it stood for its whole length
	}
	next.Holder = h.opts.Self
	next.Fencing++
	next.Renewals++
	h.record = nil // made for a lease that is over
	return Proposal{next, h.seen.Version}, true
}

// renew returns the renewal of the own lease, if it is due.
func (h *Holder) renew(now time.Time) (Proposal, bool) {
	early := h.until.Sub(now) > h.opts.Length-h.opts.Margin
	if early && !(h.urgent && h.record != nil) {
		return Proposal{}, false
	}
	next := h.seen.Object
	if now.Sub(h.took) >= h.opts.Length {
		next.Resigned = nil
	}
	return h.proposal(next), true
}

// proposal returns the write of an object by its holder, with what is to be fixed.
func (h *Holder) proposal(next Object) Proposal {
	next.Renewals++
	if h.record != nil {
		next.Record = h.record
	}
	return Proposal{next, h.seen.Version}
}

// FreeAt returns from when on this VM may take the lease, unless the object changes
// before. One that was given up is free at once but for the VMs that did: one of them would
// else act, then another, then it again within one lease.
func (h *Holder) FreeAt() time.Time {
	o := h.seen.Object
	nobodys := h.seen.Version == 0 || o.Holder == contract.VMLife{} && !slices.Contains(o.Resigned, h.opts.Self.VM)
	if nobodys || h.Mine() {
		return time.Time{}
	}
	return h.seenAt.Add(h.opts.Length)
}

// Resign returns the write that gives up the own lease, or false when it holds none. No
// order may be given from here on, and none may be under way when it is written.
func (h *Holder) Resign(now time.Time) (Proposal, bool) {
	if h.told || !h.Mine() || !now.Before(h.until) {
		return Proposal{}, false
	}
	h.until = time.Time{}
	next := h.seen.Object
	next.Holder = contract.VMLife{}
	next.Resigned = append(slices.Clone(next.Resigned), h.opts.Self.VM)
	return h.proposal(next), true
}

// Wrote takes in that a proposal asked for at askedAt was accepted as version
// v. A reply that was lost is not told: the next read shows the object, and
// the lease is taken anew.
func (h *Holder) Wrote(p Proposal, v contract.ObjectVersion, askedAt time.Time) {
	if p.Object.Fencing != h.seen.Object.Fencing || h.until.IsZero() {
		h.took = askedAt
	}
	if bytes.Equal(p.Object.Record, h.record) {
		h.record = nil
	}
	h.seen, h.seenAt, h.told = Seen{p.Object, v}, askedAt, false
	h.until = time.Time{}
	if p.Object.Holder == h.opts.Self {
		h.until = askedAt.Add(h.opts.Length)
	}
}

// Ready returns the fencing number under which an order may be given now: none while what is
// fixed in the object is not known. ignores tells that the engine takes old numbers.
func (h *Holder) Ready(now time.Time, ignores bool) (contract.FencingNumber, bool) {
	if h.told || h.until.IsZero() || !now.Before(h.until.Add(-h.opts.Margin)) {
		return 0, false
	}
	if ignores && now.Sub(h.took) < h.opts.Settle {
		return 0, false
	}
	return h.seen.Object.Fencing, true
}
