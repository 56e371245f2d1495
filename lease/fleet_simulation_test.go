package lease

import (
	"encoding/json"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"woaddoor/contract"
)

// Timings of the simulation: the length of a lease, and the longest duration of a call.
const (
	simulatedLease   = 3 * time.Second
	maxSimulatedCall = simulatedLease/marginDivisor - time.Millisecond
)

// fleetSimulation is a store, a platform that accepts any fencing token, and VMs that hold the
// lease in turn and call the platform. VMs are suspended, killed and restarted under the same
// name, send each other the state of the lease, and resign. The store is unavailable at times,
// loses replies and applies writes late.
type fleetSimulation struct {
	t             *rapid.T
	now           time.Time
	stored        VersionedObject
	backup        VersionedObject // an older copy of stored
	vms           []*simulatedVM
	delayedWrites []Proposal // writes without a reply that may still be applied
	calls         []simulatedCall
	// Of the calls that have arrived: the last fencing token and VM, the VM that used each
	// token, and the time of each VM's last call.
	lastFencing contract.FencingToken
	lastVM      contract.VMID
	vmByFencing map[contract.FencingToken]contract.VMID
	lastArrival map[contract.VMID]time.Time
	// storedRecord is the last record in the store. callers are the VM instances that made calls.
	storedRecord int
	callers      map[contract.VMInstance]bool
}

// simulatedVM is a VM, whose incarnation grows with each restart.
type simulatedVM struct {
	name        contract.VMID
	incarnation contract.Incarnation
	handle      *Handle
}

// simulatedCall is a call that is on its way to the platform.
type simulatedCall struct {
	from      contract.VMID
	fencing   contract.FencingToken
	arrivesAt time.Time
}

// newFleetSimulation returns a simulation of VMs that know nothing about the lease.
func newFleetSimulation(t *rapid.T, vms int) *fleetSimulation {
	f := &fleetSimulation{
		t: t, now: time.Unix(0, 0), vmByFencing: make(map[contract.FencingToken]contract.VMID),
		lastArrival: make(map[contract.VMID]time.Time), callers: make(map[contract.VMInstance]bool),
	}
	for i := range vms {
		f.vms = append(f.vms, &simulatedVM{name: contract.VMID("vm" + strconv.Itoa(i))})
		f.start(f.vms[i])
	}
	return f
}

// start begins a new incarnation of a VM, which knows nothing about the lease.
func (f *fleetSimulation) start(v *simulatedVM) {
	v.incarnation++
	v.handle = NewHandle(Options{Self: contract.VMInstance{VM: v.name, Incarnation: v.incarnation}, Duration: simulatedLease})
}

// randomVM draws a VM.
func (f *fleetSimulation) randomVM() *simulatedVM {
	return f.vms[rapid.IntRange(0, len(f.vms)-1).Draw(f.t, "vm")]
}

// eventKinds are the possible events, repeated according to their frequency.
var eventKinds = []string{
	"step", "step", "step", "step", "step", "step", "step", "step", "call", "call", "call", "call", "call", "call", "send to peer", "send to peer",
	"time passes", "time passes", "time passes", "step, reply lost", "step, reply lost", "apply delayed write", "step, store unavailable", "read", "read", "resign", "restart", "restart all", "long pause",
}

// returnKinds are the kinds of events of a simulation whose store returns from older copies.
var returnKinds = append(slices.Clone(eventKinds), "back up", "store returns")

// randomEvent draws an event and applies it.
func (f *fleetSimulation) randomEvent(kinds []string) {
	v := f.randomVM()
	switch rapid.SampledFrom(kinds).Draw(f.t, "event") {
	case "step":
		f.step(v, true)
	case "step, reply lost":
		f.step(v, false)
	case "apply delayed write":
		f.applyDelayedWrite()
	case "step, store unavailable": // the store receives nothing
		v.handle.Propose(f.now)
	case "call":
		f.call(v)
	case "send to peer":
		f.sendToPeer(v, f.randomVM())
	case "read":
		f.read(v)
	case "back up":
		f.backup = f.stored
	case "store returns":
		if rapid.IntRange(0, 9).Draw(f.t, "returns") == 0 { // after each return the VMs wait for a lease
			f.storeReturns()
		}
	case "resign":
		f.resign(v)
	case "restart":
		f.start(v)
	case "restart all":
		for _, v := range f.vms {
			f.start(v)
		}
	case "time passes":
		f.advance(time.Duration(rapid.IntRange(0, 800).Draw(f.t, "ms")) * time.Millisecond)
	case "long pause":
		f.advance(time.Duration(rapid.IntRange(1, 9).Draw(f.t, "s")) * time.Second)
	}
}

// read has a VM read the object.
func (f *fleetSimulation) read(v *simulatedVM) {
	if f.stored.Version.Missing() {
		v.handle.ObserveMissing(f.stored.Version, f.now)
	} else {
		v.handle.ObserveRead(f.stored, f.now)
	}
}

// storeReturns replaces the object by its older copy, in the next era. The record goes back with it.
func (f *fleetSimulation) storeReturns() {
	era := f.stored.Version.Era() + 1
	f.stored = f.backup
	f.stored.Version = contract.ObjectVersion(contract.NewRevision(era, contract.Revision(f.backup.Version).Counter()))
	f.storedRecord, _ = strconv.Atoi(string(f.stored.Object.Record))
}

// step reads the object if necessary and makes the write that is due. Time may pass between the
// decision and the write, as for a process that is suspended there.
func (f *fleetSimulation) step(v *simulatedVM, replyArrives bool) {
	if v.handle.NeedsRead(f.now) {
		f.read(v)
	}
	if v.handle.HeldBySelf() && rapid.Bool().Draw(f.t, "sets record") {
		v.handle.SetRecord(json.RawMessage(strconv.Itoa(f.storedRecord+1)), rapid.Bool().Draw(f.t, "urgent"))
	}
	p, ok := v.handle.Propose(f.now)
	if !ok {
		return
	}
	sentAt := f.now
	if rapid.IntRange(0, 3).Draw(f.t, "suspended") == 0 {
		f.advance(time.Duration(rapid.IntRange(0, 5000).Draw(f.t, "suspended ms")) * time.Millisecond)
	}
	if !replyArrives && rapid.Bool().Draw(f.t, "applied late") {
		f.delayedWrites = append(f.delayedWrites, p)
		return
	}
	accepted := f.write(p)
	switch {
	case !replyArrives:
	case accepted:
		v.handle.ConfirmWrite(p, f.stored.Version, sentAt)
	default:
		f.read(v)
	}
}

// write applies a write whose condition holds.
func (f *fleetSimulation) write(p Proposal) bool {
	if p.Version != f.stored.Version {
		return false
	}
	if record, _ := strconv.Atoi(string(p.Object.Record)); record < f.storedRecord {
		f.t.Fatalf("record %d was stored after record %d", record, f.storedRecord)
	} else {
		f.storedRecord = record
	}
	f.stored = VersionedObject{p.Object, f.stored.Version + 1}
	return true
}

// applyDelayedWrite applies the oldest write that the store delayed.
func (f *fleetSimulation) applyDelayedWrite() {
	if len(f.delayedWrites) > 0 {
		p := f.delayedWrites[0]
		f.delayedWrites = f.delayedWrites[1:]
		f.write(p)
	}
}

// call has a VM make a call if it may. The call arrives within its deadline.
func (f *fleetSimulation) call(v *simulatedVM) {
	n, ok := v.handle.ActiveFencing(f.now, true)
	if !ok {
		return
	}
	f.callers[contract.VMInstance{VM: v.name, Incarnation: v.incarnation}] = true
	delay := time.Duration(rapid.Int64Range(0, int64(maxSimulatedCall)).Draw(f.t, "delay"))
	f.calls = append(f.calls, simulatedCall{v.name, n, f.now.Add(delay)})
}

// sendToPeer sends the state of the lease, without its record, from one VM to
// another. Delivery takes some time.
func (f *fleetSimulation) sendToPeer(from, to *simulatedVM) {
	s := from.handle.Latest()
	if s.Version.Missing() || from == to {
		return
	}
	s.Object.Record = nil
	age := from.handle.Age(f.now)
	f.advance(time.Duration(rapid.IntRange(0, 900).Draw(f.t, "delivery ms")) * time.Millisecond)
	to.handle.ObservePeer(s, f.now.Add(-age))
}

// resign has a VM resign, unless it has a call in progress.
func (f *fleetSimulation) resign(v *simulatedVM) {
	if slices.ContainsFunc(f.calls, func(c simulatedCall) bool { return c.from == v.name }) {
		return
	}
	p, ok := v.handle.Resign(f.now)
	if ok && f.write(p) {
		v.handle.ConfirmWrite(p, f.stored.Version, f.now)
	}
}

// advance lets time pass and delivers the calls that arrive meanwhile.
func (f *fleetSimulation) advance(d time.Duration) {
	f.now = f.now.Add(d)
	slices.SortStableFunc(f.calls, func(a, b simulatedCall) int { return a.arrivesAt.Compare(b.arrivesAt) })
	for len(f.calls) > 0 && !f.calls[0].arrivesAt.After(f.now) {
		f.deliver(f.calls[0])
		f.calls = f.calls[1:]
	}
}

// deliver checks a call that arrives against those that arrived before it.
func (f *fleetSimulation) deliver(c simulatedCall) {
	if c.fencing < f.lastFencing {
		f.t.Fatalf("fencing token %d of %s arrived after %d", c.fencing, c.from, f.lastFencing)
	}
	if otherVM, used := f.vmByFencing[c.fencing]; used && otherVM != c.from {
		f.t.Fatalf("fencing token %d was used by %s and %s", c.fencing, otherVM, c.from)
	}
	if previous, known := f.lastArrival[c.from]; known && f.lastVM != c.from && c.arrivesAt.Sub(previous) < simulatedLease {
		f.t.Fatalf("%s made a call, then %s, then %s again within %v", c.from, f.lastVM, c.from, c.arrivesAt.Sub(previous))
	}
	f.lastFencing, f.lastVM = c.fencing, c.from
	f.vmByFencing[c.fencing], f.lastArrival[c.from] = c.from, c.arrivesAt
}

// simulateFleets runs simulations with events of the given kinds, and passes each to ended.
func simulateFleets(t *testing.T, kinds []string, ended func(f *fleetSimulation)) {
	t.Helper()
	rapid.Check(t, func(t *rapid.T) {
		f := newFleetSimulation(t, rapid.IntRange(2, 4).Draw(t, "vms"))
		for range rapid.IntRange(100, 1000).Draw(t, "events") {
			f.randomEvent(kinds)
		}
		f.advance(simulatedLease)
		ended(f)
	})
}

// TestOnlyOneVMMakesCallsUnderFaults simulates fleets with all kinds of faults, before a
// platform that accepts any fencing token. Fencing tokens must never decrease and never be
// shared by two VMs. No VM may make calls, then another VM, then the first one again within the
// length of one lease. A stored record must never be reverted.
func TestOnlyOneVMMakesCallsUnderFaults(t *testing.T) {
	mostCallers := 0
	simulateFleets(t, eventKinds, func(f *fleetSimulation) { mostCallers = max(mostCallers, len(f.callers)) })
	if mostCallers < 3 {
		t.Errorf("at most %d VM instances made calls in one run: the simulation has too few faults", mostCallers)
	}
}

// TestOnlyOneVMMakesCallsAcrossReturns simulates the same with a store that returns from older copies
// and gives out versions again. A stored record may go back with the store, and only then.
func TestOnlyOneVMMakesCallsAcrossReturns(t *testing.T) {
	callers := 0
	simulateFleets(t, returnKinds, func(f *fleetSimulation) { callers += len(f.callers) })
	if callers == 0 {
		t.Error("no VM made calls: the simulation has too many faults")
	}
}
