// Package lease elects the leader: the one VM that makes the calls to the platform for all VMs,
// each under a fencing token (a number that is higher for each new holder).
// Package lease is a state machine over one object in the platform's store and does no I/O.
// The current time is a parameter, taken from a clock that includes suspensions and is never set.
//
// A holder measures its lease on its own clock, starting before the holder sent the request,
// and the holder stops making calls well before the end of the lease.
// A VM that takes the lease over first waits, on its own clock,
// until the object has been unchanged for the whole length of a lease.
// Clocks of different VMs are never compared,
// and a holder that was suspended finds on its own clock that its lease has expired.
//
// A call made under a lease may still be in progress when the lease ends.
// An engine that checks fencing tokens refuses such a late call.
// For engines that do not check fencing tokens,
// ActiveFencing makes a new holder wait for the longest delay of a call.
// The state of an engine is read back, never assumed.
//
// The store may return from an older copy of its contents, in a later era, and then knows nothing
// of the last holder. Every process waits for the whole length of a lease after it has learned
// of the era, except the holder itself, which writes its lease again. Fencing tokens of
// an era are higher than all those of earlier eras.
//
// The object also contains a record with decisions that later holders have to follow.
// A record is in force once the store has accepted it, whichever VM holds the lease next.
package lease

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"woaddoor/contract"
)

// Object is the stored form of a lease.
type Object struct {
	// Holder is the VM incarnation that holds the lease; the zero value means no holder.
	Holder  contract.VMInstance   `json:"holder" cbor:"1,keyasint"`
	Fencing contract.FencingToken `json:"fencing" cbor:"2,keyasint"`
	// Renewals counts writes, so that other VMs see each renewal as a change of the object.
	Renewals uint64 `json:"renewals" cbor:"3,keyasint"`
	// Resigned lists the VMs that have resigned in succession,
	// since a VM last held the lease for the whole length of the lease.
	Resigned []contract.VMID `json:"resigned,omitempty" cbor:"4,keyasint,omitempty"`
	// Record holds decisions that later holders have to follow.
	Record json.RawMessage `json:"record,omitempty" cbor:"-"`
}

// VersionedObject is a lease object and its version in the store.
// The version of a lease object that does not exist is contract.MissingVersion.
type VersionedObject struct {
	Object  Object
	Version contract.ObjectVersion
}

// Options configure a Handle.
type Options struct {
	Self contract.VMInstance
	// Duration is how long a lease lasts. Zero means 15 s.
	Duration time.Duration
	// Margin is how long before the end of its lease a holder stops making calls.
	// Margin must be longer than the timeout of a call. Zero means a third of Duration.
	Margin time.Duration
	// TakeoverDelay is how long a new holder waits before its first call,
	// because calls of the former holder may still be in progress. Zero means Margin.
	TakeoverDelay time.Duration
}

// Defaults of Options.
const (
	defaultDuration = 15 * time.Second
	marginDivisor   = 3 // Duration / marginDivisor is the default Margin
)

// Handle is one process's view of a lease.
// The handle decides whether the process may make calls under the lease.
type Handle struct {
	opts   Options
	latest VersionedObject
	// unchangedSince is when the latest version of the lease object was first seen.
	// recordUnknown is true if this process learned of the version from another VM,
	// which does not send the record.
	unchangedSince time.Time
	recordUnknown  bool
	expiresAt      time.Time // end of this process's lease; zero if it has none
	acquiredAt     time.Time // when this process acquired its lease
	// pendingRecord is the record to store with the next write; nil keeps the stored record.
	// urgent means that the next write is due immediately.
	pendingRecord json.RawMessage
	urgent        bool
	// highestFencing is the highest fencing token that this process knows.
	highestFencing contract.FencingToken
	// returnedAt is when this process learned that the store has returned from an older copy,
	// and zero if it has not. rewrite means that this process holds the lease
	// and that the store no longer says so.
	returnedAt time.Time
	rewrite    bool
}

// NewHandle returns a handle that does not hold the lease.
func NewHandle(opts Options) *Handle {
	opts.Duration = cmp.Or(opts.Duration, defaultDuration)
	opts.Margin = cmp.Or(opts.Margin, opts.Duration/marginDivisor)
	opts.TakeoverDelay = cmp.Or(opts.TakeoverDelay, opts.Margin)
	return &Handle{opts: opts}
}

// Latest returns the newest known lease object.
func (h *Handle) Latest() VersionedObject { return h.latest }

// Age returns how long the newest known lease object has been unchanged, as far as is known.
func (h *Handle) Age(now time.Time) time.Duration { return now.Sub(h.unchangedSince) }

// ObserveRead records the object as read from the store.
// ObserveRead ignores a version that is older than the known version, because such a read is stale.
func (h *Handle) ObserveRead(o VersionedObject, now time.Time) {
	if o.Version < h.latest.Version {
		return
	}
	if h.beginsEra(o.Version) && h.keepsAcrossReturn(o, now) {
		return
	}
	if o.Version != h.latest.Version || h.unchangedSince.IsZero() {
		h.unchangedSince = now
		h.pendingRecord = nil // derived from an older object
	}
	if o.Object.Holder != h.opts.Self || o.Object.Fencing != h.latest.Object.Fencing {
		h.expiresAt = time.Time{} // calls under the former fencing token may still be in progress
	}
	h.setLatest(o)
	h.recordUnknown = false
}

// setLatest replaces the newest known lease object.
func (h *Handle) setLatest(o VersionedObject) {
	h.latest, h.rewrite = o, false
	h.highestFencing = max(h.highestFencing, o.Object.Fencing)
}

// ObservePeer records a version of the lease object,
// without its record, that another VM knows and that existed at unchangedSince.
// unchangedSince must not be earlier than the time when the holder sent the write
// that created the version, because the holder measures its lease from that time.
func (h *Handle) ObservePeer(o VersionedObject, unchangedSince time.Time) {
	if o.Version <= h.latest.Version {
		return
	}
	if h.beginsEra(o.Version) {
		h.returnedAt = unchangedSince
		if h.HeldBySelf() && !h.expiresAt.IsZero() {
			h.Invalidate() // the next read decides whether this process still holds the lease
			return
		}
	}
	h.setLatest(o)
	h.unchangedSince, h.recordUnknown = unchangedSince, true
	h.pendingRecord = nil
	if o.Object.Holder != h.opts.Self {
		h.expiresAt = time.Time{}
	}
}

// ObserveMissing records that the store has no lease object; missing is contract.MissingVersion.
// Fencing tokens continue from the last known token.
func (h *Handle) ObserveMissing(missing contract.ObjectVersion, now time.Time) {
	if missing.Era() < h.latest.Version.Era() {
		return
	}
	if h.beginsEra(missing) && h.keepsAcrossReturn(VersionedObject{Version: missing}, now) {
		return
	}
	o := h.latest.Object
	o.Holder = contract.VMInstance{}
	h.setLatest(VersionedObject{o, missing})
	h.unchangedSince, h.expiresAt, h.recordUnknown = now, time.Time{}, false
}

// Invalidate records that the lease object has changed in an unknown way.
func (h *Handle) Invalidate() { h.unchangedSince, h.pendingRecord = time.Time{}, nil }

// NeedsRead reports whether the lease object has to be read before a write: the object is unknown,
// or its record is unknown while the lease is available or held by this process.
func (h *Handle) NeedsRead(now time.Time) bool {
	return h.unchangedSince.IsZero() || h.recordUnknown && !now.Before(h.AvailableAt())
}

// SetRecord sets the record to store with the next write, immediately if urgent is true.
// SetRecord has no effect unless this process holds the lease at the time of that write.
func (h *Handle) SetRecord(record json.RawMessage, urgent bool) {
	h.urgent = urgent || h.urgent && h.pendingRecord != nil
	h.pendingRecord = record
}

// LatestRecord returns the record to store with the next write, or else the stored record.
func (h *Handle) LatestRecord() json.RawMessage {
	if h.pendingRecord != nil {
		return h.pendingRecord
	}
	return h.latest.Object.Record
}

// Proposal is a write that acquires, renews or resigns a lease.
// The write is conditional on Version, or creates the lease object if the object is missing.
type Proposal struct {
	Object  Object
	Version contract.ObjectVersion
}

// HeldBySelf reports whether the newest known lease object names this process as the holder.
// The lease may have expired.
func (h *Handle) HeldBySelf() bool {
	return h.latest.Object.Holder == h.opts.Self
}

// Propose returns the write to make now. Propose returns false
// if another process holds the lease or if this process's lease does not have to be renewed yet.
func (h *Handle) Propose(now time.Time) (Proposal, bool) {
	if h.recordUnknown {
		return Proposal{}, false // a write would overwrite the unknown record
	}
	if h.HeldBySelf() && now.Before(h.expiresAt) {
		if h.rewrite {
			next := h.latest.Object
			next.Fencing = h.nextFencing()
			return h.propose(next), true
		}
		return h.renew(now)
	}
	if now.Before(h.AvailableAt()) {
		return Proposal{}, false
	}
	// An expired lease of this process is also acquired anew, with a new fencing token:
	// another process may have held it in between,
	// under a fencing token that this process has not seen.
	next := h.latest.Object
	if next.Holder != (contract.VMInstance{}) {
		next.Resigned = nil // the holder did not resign: the lease ran for its whole length
	}
	next.Holder = h.opts.Self
	next.Fencing = h.nextFencing()
	next.Renewals++
	h.pendingRecord = nil // the record was made under a lease that has ended
	return Proposal{next, h.latest.Version}, true
}

// renew returns the renewal of this process's lease, if the renewal is due.
func (h *Handle) renew(now time.Time) (Proposal, bool) {
	notDue := h.expiresAt.Sub(now) > h.opts.Duration-h.opts.Margin
	if notDue && !(h.urgent && h.pendingRecord != nil) {
		return Proposal{}, false
	}
	next := h.latest.Object
	if now.Sub(h.acquiredAt) >= h.opts.Duration {
		next.Resigned = nil
	}
	return h.propose(next), true
}

// propose returns the write of a lease object, with the pending record if there is one.
func (h *Handle) propose(next Object) Proposal {
	next.Renewals++
	if h.pendingRecord != nil {
		next.Record = h.pendingRecord
	}
	return Proposal{next, h.latest.Version}
}

// AvailableAt returns the time from which this process may acquire the lease,
// provided that the lease object does not change before.
// After a resignation the lease is available immediately, except to the VMs in Resigned.
// Without this exception, a resigned VM could make calls, then another VM,
// and then the resigned VM again, all within the length of one lease.
// After the store has returned from an older copy, a holder that the copy does not name
// may use its lease for its whole length.
func (h *Handle) AvailableAt() time.Time {
	available := h.availableByObject()
	if h.returnedAt.IsZero() {
		return available
	}
	if afterReturn := h.returnedAt.Add(h.opts.Duration); afterReturn.After(available) {
		return afterReturn
	}
	return available
}

// availableByObject returns the time from which the newest known lease object
// allows this process to acquire the lease.
func (h *Handle) availableByObject() time.Time {
	o := h.latest.Object
	available := h.latest.Version.Missing() || o.Holder == contract.VMInstance{} && !slices.Contains(o.Resigned, h.opts.Self.VM)
	if available || h.HeldBySelf() {
		return time.Time{}
	}
	return h.unchangedSince.Add(h.opts.Duration)
}

// Resign returns the write that gives up this process's lease,
// or false if this process holds no lease.
// After Resign no call may be made, and none may be in progress when the write is sent.
func (h *Handle) Resign(now time.Time) (Proposal, bool) {
	if h.recordUnknown || !h.HeldBySelf() || !now.Before(h.expiresAt) {
		return Proposal{}, false
	}
	h.expiresAt = time.Time{}
	next := h.latest.Object
	next.Holder = contract.VMInstance{}
	next.Resigned = append(slices.Clone(next.Resigned), h.opts.Self.VM)
	return h.propose(next), true
}

// ConfirmWrite records that a proposal sent at sentAt was accepted as the given version.
// If the reply is lost, ConfirmWrite is not called:
// the next read returns the new lease object, and the lease is then acquired anew.
func (h *Handle) ConfirmWrite(p Proposal, version contract.ObjectVersion, sentAt time.Time) {
	if p.Object.Fencing != h.latest.Object.Fencing || h.expiresAt.IsZero() {
		h.acquiredAt = sentAt
	}
	if bytes.Equal(p.Object.Record, h.pendingRecord) {
		h.pendingRecord = nil
	}
	h.setLatest(VersionedObject{p.Object, version})
	h.unchangedSince, h.recordUnknown = sentAt, false
	h.expiresAt = time.Time{}
	if p.Object.Holder == h.opts.Self {
		h.expiresAt = sentAt.Add(h.opts.Duration)
	}
}

// ActiveFencing returns the fencing token under which a call may be made now.
// ActiveFencing returns false while the stored record is unknown.
// ignoresFencing means that the recipient of the call accepts old fencing tokens.
func (h *Handle) ActiveFencing(now time.Time, ignoresFencing bool) (contract.FencingToken, bool) {
	if h.recordUnknown || h.expiresAt.IsZero() || !now.Before(h.expiresAt.Add(-h.opts.Margin)) {
		return 0, false
	}
	if ignoresFencing && now.Sub(h.acquiredAt) < h.opts.TakeoverDelay {
		return 0, false
	}
	return h.latest.Object.Fencing, true
}
