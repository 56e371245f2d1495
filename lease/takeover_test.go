package lease

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/contract"
)

// acquire has a handle write its proposal, and returns what the store then holds.
func acquire(t *testing.T, h *Handle, s VersionedObject, now time.Time) VersionedObject {
	t.Helper()
	is := is.New(t)
	p, ok := h.Propose(now)
	is.True(ok)
	is.Equal(p.Version, s.Version)
	h.ConfirmWrite(p, s.Version+1, now)
	return VersionedObject{p.Object, s.Version + 1}
}

// newHolder returns a handle that has acquired the lease, and what the store then holds.
func newHolder(t *testing.T, now time.Time) (*Handle, VersionedObject) {
	t.Helper()
	a := newHandle("a", 1)
	a.ObserveMissing(0, now)
	return a, acquire(t, a, VersionedObject{}, now)
}

// newHandle returns a handle of a VM incarnation that does not hold the lease.
func newHandle(name contract.VMID, incarnation contract.Incarnation) *Handle {
	return NewHandle(Options{Self: contract.VMInstance{VM: name, Incarnation: incarnation}, Duration: simulatedLease})
}

// TestResignedVMWaitsFullLease checks VMs that are stopped one after the other, each of which
// resigns. Without the rule the first one, once restarted, would make calls again within a second of
// its last call although another VM has made calls since.
func TestResignedVMWaitsFullLease(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	resign := func(h *Handle, s VersionedObject) VersionedObject {
		p, ok := h.Resign(now)
		is.True(ok)
		h.ConfirmWrite(p, s.Version+1, now)
		return VersionedObject{p.Object, s.Version + 1}
	}
	a := newHandle("a", 1)
	a.ObserveMissing(0, now)
	s := resign(a, acquire(t, a, VersionedObject{}, now))
	b := newHandle("b", 1)
	b.ObserveRead(s, now)
	s = resign(b, acquire(t, b, s, now))

	restarted := newHandle("a", 2)
	restarted.ObserveRead(s, now)
	_, ok := restarted.Propose(now)
	is.True(!ok)
	c := newHandle("c", 1)
	c.ObserveRead(s, now)
	_, ok = c.Propose(now)
	is.True(ok) // c has made no call yet
	_, ok = restarted.Propose(now.Add(simulatedLease))
	is.True(ok)
}

// TestTakeoverKeepsRecord checks a VM that knows the lease only from other VMs, without its record.
// Writing the object in that state would delete the former holder's record.
func TestTakeoverKeepsRecord(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	a, s := newHolder(t, now)
	a.SetRecord(json.RawMessage(`"stored"`), true)
	s = acquire(t, a, s, now)
	is.Equal(string(s.Object.Record), `"stored"`)

	b := newHandle("b", 1)
	withoutRecord := s
	withoutRecord.Object.Record = nil
	b.ObservePeer(withoutRecord, now)
	now = now.Add(simulatedLease)
	_, ok := b.Propose(now)
	is.True(!ok)
	is.True(b.NeedsRead(now))
	b.ObserveRead(s, now)
	is.Equal(string(acquire(t, b, s, now).Object.Record), `"stored"`)
}

// TestFencingContinuesAfterObjectIsLost checks a lease whose object is missing from the store. Fencing
// numbers that started from the beginning would be lower than ones already used.
func TestFencingContinuesAfterObjectIsLost(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	a, s := newHolder(t, now)
	a.ObserveMissing(0, now)
	is.True(acquire(t, a, VersionedObject{}, now).Object.Fencing > s.Object.Fencing)
}

// TestLostLeaseIsWaitedOut: the store returns from an older copy without the lease, whose holder is
// still making calls. The holder writes it again with its record, and another VM waits.
func TestLostLeaseIsWaitedOut(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	a, s := newHolder(t, now)
	a.SetRecord(json.RawMessage(`"stored"`), true)
	s = acquire(t, a, s, now)
	lost := VersionedObject{Version: contract.MissingVersion(1)}

	other := newHandle("b", 1)
	other.ObserveMissing(lost.Version, now)
	_, ok := other.Propose(now.Add(simulatedLease - time.Millisecond))
	is.True(!ok)
	p, ok := other.Propose(now.Add(simulatedLease))
	is.True(ok)
	is.True(p.Object.Fencing > s.Object.Fencing)

	a.ObserveMissing(lost.Version, now)
	_, ok = a.ActiveFencing(now, false)
	is.True(ok)
	rewritten := acquire(t, a, lost, now).Object
	is.True(rewritten.Fencing > s.Object.Fencing)
	is.Equal(string(rewritten.Record), `"stored"`)
}

// TestCopyWithLaterWriteIsKept: the copy contains a write of the holder whose reply was lost, and
// the holder would have put its older record in its place.
func TestCopyWithLaterWriteIsKept(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	a, s := newHolder(t, now)
	a.SetRecord(json.RawMessage(`"applied"`), true)
	p, ok := a.Propose(now)
	is.True(ok)
	a.Invalidate()
	a.ObserveRead(VersionedObject{p.Object, contract.ObjectVersion(contract.NewRevision(1, uint64(s.Version)+1))}, now)
	is.Equal(string(a.LatestRecord()), `"applied"`)
}

// TestTokenOfLostReplyIsNotUsed: the holder learns by a read that its write under a new fencing
// token was accepted. Calls under the former token may still be in progress.
func TestTokenOfLostReplyIsNotUsed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	a, _ := newHolder(t, now)
	now = now.Add(simulatedLease / 2) // calls are allowed under the former token
	a.ObserveMissing(contract.MissingVersion(1), now)
	p, ok := a.Propose(now)
	is.True(ok)
	a.ObserveRead(VersionedObject{p.Object, contract.ObjectVersion(contract.NewRevision(1, 1))}, now)
	_, ok = a.ActiveFencing(now, true)
	is.True(!ok)
}

// TestLostReplyKeepsStoredRecord checks a renewal that is applied but whose reply is lost. Meanwhile
// the holder prepares another record from the old object. Writing it over the stored record would
// let VMs act on two different records of the same decision.
func TestLostReplyKeepsStoredRecord(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	a, s := newHolder(t, now)
	a.SetRecord(json.RawMessage(`"first"`), true)
	p, ok := a.Propose(now)
	is.True(ok)
	stored := VersionedObject{p.Object, s.Version + 1}

	a.SetRecord(json.RawMessage(`"second"`), true)
	a.ObserveRead(stored, now) // the store reports a version conflict
	is.True(a.HeldBySelf())
	p, ok = a.Propose(now.Add(simulatedLease / marginDivisor))
	is.True(ok)
	is.Equal(string(p.Object.Record), `"first"`)
}

// TestPeerUpdateBlocksCallsUntilRead checks a renewal that is applied but whose reply is lost,
// and that the holder learns of from another VM, without the record. Until it reads the object,
// the holder must not renew the lease, which would delete the stored record, nor make a call,
// which might contradict that record.
func TestPeerUpdateBlocksCallsUntilRead(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	a, s := newHolder(t, now)
	now = now.Add(simulatedLease / marginDivisor)
	a.SetRecord(json.RawMessage(`"stored"`), true)
	p, ok := a.Propose(now)
	is.True(ok)
	stored := VersionedObject{p.Object, s.Version + 1}

	withoutRecord := stored
	withoutRecord.Object.Record = nil
	a.ObservePeer(withoutRecord, now)
	is.True(a.HeldBySelf())
	_, ok = a.ActiveFencing(now, true)
	is.True(!ok)
	_, ok = a.Propose(now)
	is.True(!ok)
	is.True(a.NeedsRead(now))
	a.ObserveRead(stored, now)
	_, ok = a.ActiveFencing(now, true)
	is.True(ok)
	is.Equal(string(a.LatestRecord()), `"stored"`)
}
