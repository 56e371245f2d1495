package site

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woaddoor/contract"
)

// modelFleet is a model of VMs that share a store. Calls take no time, and a
// watch ends at a change or after WatchDuration.
type modelFleet struct {
	vms   []*modelVM
	calls int
	// messageDelay returns how long the next message takes. If it is nil, messages take no time.
	messageDelay func() time.Duration
	messages     []modelMessage
	// revision is the revision of the newest change in the store.
	revision int
	// reaches reports whether a message from one VM reaches another at once. If it is
	// nil, all messages do.
	reaches func(from, to *modelVM) bool
}

type modelVM struct {
	id         contract.VMID
	dc         int
	rank       Rank
	election   *WatcherElection
	watchUntil time.Time // end of the current watch; zero without a watch
	// storeRejects is set while the store rejects its calls, and frozen while it does not
	// run. Only VMs with the same partition number receive its messages.
	storeRejects, frozen bool
	partition            int
	known                bool
	// revision is the revision of the newest change that it knows.
	revision int
}

// modelMessage is the status of a VM on its way to another VM.
type modelMessage struct {
	to        *modelVM
	arrivesAt time.Time
	revision  int
	status    KindStatus
}

func newModelFleet(dataCentres, perDataCentre int, timing Timing, listNotBefore time.Time) *modelFleet {
	f := &modelFleet{}
	for dc := range dataCentres {
		for n := range perDataCentre {
			id := contract.VMID(fmt.Sprintf("vm-%d-%d", dc, n))
			f.vms = append(f.vms, &modelVM{id: id, dc: dc, rank: Rank{Local: n, DataCentre: dc}, election: NewWatcherElection(Watcher{VM: id}, timing, listNotBefore)})
		}
	}
	return f
}

// step advances all VMs to a time.
func (f *modelFleet) step(now time.Time) {
	f.deliver(now)
	for _, v := range f.vms {
		changePending := !v.watchUntil.IsZero() && !v.storeRejects && v.revision < f.revision // the change ends the watch
		if v.frozen || now.Before(v.watchUntil) && !changePending || !v.watchUntil.IsZero() && f.finishCall(v, now) || !v.election.ShouldWatch(v.known, v.rank, now) {
			continue
		}
		f.calls++
		if !v.known && !v.storeRejects { // a list call returns at once
			f.finishCall(v, now)
			continue
		}
		v.watchUntil = now.Add(v.election.timing.WatchDuration)
	}
}

// finishCall ends a VM's store call and informs the VMs that it reaches. It always
// returns false, so that step goes on with the VM.
func (f *modelFleet) finishCall(v *modelVM, now time.Time) bool {
	v.watchUntil = time.Time{}
	v.election.RecordStoreCall(!v.storeRejects, now)
	if v.storeRejects {
		return false
	}
	v.known, v.revision = true, f.revision
	f.gossip(v, now)
	return false
}

// gossip sends a VM's status to all VMs that it reaches.
func (f *modelFleet) gossip(sender *modelVM, now time.Time) {
	for _, receiver := range f.vms {
		if receiver == sender || receiver.partition != sender.partition || f.reaches != nil && !f.reaches(sender, receiver) {
			continue
		}
		arrivesAt := now
		if f.messageDelay != nil {
			arrivesAt = now.Add(f.messageDelay())
		}
		status := KindStatus{}.withConfirmations(sender.election.newest, sender.election.activeWatcher(now), now)
		f.messages = append(f.messages, modelMessage{receiver, arrivesAt, sender.revision, status})
	}
	f.deliver(now)
}

// deliver hands over the messages that have arrived. A frozen VM receives no messages.
func (f *modelFleet) deliver(now time.Time) {
	var underWay []modelMessage
	for _, m := range f.messages {
		switch {
		case m.arrivesAt.After(now):
			underWay = append(underWay, m)
		case !m.to.frozen:
			m.to.known, m.to.revision = true, max(m.to.revision, m.revision)
			newest, active := m.status.confirmations(now)
			m.to.election.RecordPeerStatus(newest, active, now)
		}
	}
	f.messages = underWay
}

// heartbeat sends the statuses of the VMs that know the objects, in turn each half second.
func (f *modelFleet) heartbeat(step int, now time.Time) {
	for i, v := range f.vms {
		if step%heartbeatSteps == i*7%heartbeatSteps && v.known && !v.frozen {
			f.gossip(v, now)
		}
	}
}

// restart starts a VM anew without any state.
func (f *modelFleet) restart(v *modelVM, now time.Time) {
	self := v.election.self
	self.Incarnation++
	v.election = NewWatcherElection(self, v.election.timing, now.Add(restartListDelay))
	v.known, v.watchUntil, v.revision = false, time.Time{}, 0
}

var testTiming = TimingFor(2 * time.Second)

const (
	modelStep      = 10 * time.Millisecond
	heartbeatSteps = int(heartbeatInterval / modelStep)
)

// TestOneVMWatchesForAll checks that one VM watches the store for three data centres. A
// watcher per data centre would make three times as many calls.
func TestOneVMWatchesForAll(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	f := newModelFleet(3, 4, testTiming, now.Add(firstStartListDelay))
	for end := now.Add(20 * time.Second); now.Before(end); now = now.Add(modelStep) {
		f.step(now)
	}
	is.True(f.calls <= 22) // one a second, and the initial lists
	before := f.calls
	for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(modelStep) {
		f.step(now)
	}
	is.True(f.calls-before <= 11)
}

// TestChangesKnownWithinBound freezes VMs, makes the store reject their calls and
// partitions data centres, in any order, while the store receives changes. A VM that has
// been able for long enough to reach the store, or a VM that does, must know each change
// within the bound. The age of the last confirmation is no measure of this: it may exceed
// the bound during a watch that a change would end at once (seed in docs/FINDINGS.md).
func TestChangesKnownWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newModelFleet(3, 2, testTiming, time.Unix(100, 0).Add(firstStartListDelay))
		checkChangesKnown(t, f, 0, testTiming.WatchDuration+2*time.Second, "freeze", "resume", "reject calls", "accept calls", "partition", "heal", "wait")
	})
}

// TestChangesKnownAfterRestarts: messages that take time made confirmations look newer than
// they were, and VMs waited for a watcher that had restarted.
func TestChangesKnownAfterRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newModelFleet(3, 2, testTiming, time.Unix(100, 0).Add(firstStartListDelay))
		const maxDelay = 150 * time.Millisecond
		draw := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		f.messageDelay = func() time.Duration { return time.Duration(draw.Int64N(int64(maxDelay))) }
		checkChangesKnown(t, f, 2*maxDelay, 0, "restart", "restart", "reject calls", "accept calls", "wait")
	})
}

// checkChangesKnown draws events and checks that a VM that reaches the store, or a VM that
// does, knows each change within the bound and slack, from the time settle after an event.
// A VM is not checked between its restart and the next event.
func checkChangesKnown(t *rapid.T, f *modelFleet, slack, settle time.Duration, kinds ...string) {
	const bound = 2 * time.Second
	now := time.Unix(100, 0)
	step := 0
	for range rapid.IntRange(1, 12).Draw(t, "events") {
		v := f.vms[rapid.IntRange(0, len(f.vms)-1).Draw(t, "vm")]
		var restarted *modelVM
		switch rapid.SampledFrom(kinds).Draw(t, "event") {
		case "freeze":
			v.frozen = true
		case "resume":
			v.frozen = false
		case "reject calls":
			v.storeRejects = true
		case "accept calls":
			v.storeRejects = false
		case "partition":
			for _, other := range f.vms {
				if other.dc == v.dc {
					other.partition = 1 + v.dc
				}
			}
		case "heal":
			for _, other := range f.vms {
				other.partition = 0
			}
		case "restart":
			restarted = v
			f.restart(v, now)
		case "wait":
		}
		spanStart := now
		changedAt := make(map[int]time.Time) // when each revision of this span was created
		changeInterval := time.Duration(rapid.IntRange(1, 40).Draw(t, "change")) * 50 * time.Millisecond
		for end := now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms")) * time.Millisecond); now.Before(end); now = now.Add(modelStep) {
			if now.Sub(spanStart)%changeInterval == 0 {
				f.revision++
				changedAt[f.revision] = now
			}
			f.step(now)
			if step++; f.messageDelay != nil {
				f.heartbeat(step, now)
			}
			for _, v := range f.vms {
				missed, ok := changedAt[v.revision+1]
				if v != restarted && !v.frozen && v.known && ok && f.storeReachable(v) && now.Sub(missed) > bound+slack && now.Sub(spanStart) > settle {
					t.Fatalf("%s does not know a change made %v ago, %v after the last event", v.id, now.Sub(missed), now.Sub(spanStart))
				}
			}
		}
	}
}

// storeReachable reports whether a VM, or one that it receives messages from, reaches the
// store.
func (f *modelFleet) storeReachable(v *modelVM) bool {
	for _, other := range f.vms {
		if !other.frozen && !other.storeRejects && other.partition == v.partition {
			return true
		}
	}
	return false
}

// TestConcurrentWatchersConvergeToOne starts a large fleet without any state while client
// requests wait, so that each VM calls the store itself. Each message reaches only a few
// VMs of the data centre, and only the first VM of each data centre exchanges messages
// with the others. One watcher must remain.
func TestConcurrentWatchersConvergeToOne(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	f := newModelFleet(4, 23, testTiming, time.Time{})
	draw := rand.New(rand.NewPCG(1, 2))
	f.reaches = func(from, to *modelVM) bool {
		if from.dc != to.dc {
			return from.rank.Local == 0 && to.rank.Local == 0
		}
		return from.rank.Local == 0 || to.rank.Local == 0 || draw.IntN(20) < 2
	}
	for n := range 2000 {
		f.step(now)
		for i, v := range f.vms {
			if n%heartbeatSteps == i%heartbeatSteps {
				f.gossip(v, now)
			}
		}
		now = now.Add(modelStep)
		if n == 1000 {
			f.calls = 0
		}
	}
	is.True(f.calls <= 11) // one a second
}

// TestStrongerVMPrecedesWeaker checks that a VM with more CapacityUnits is preferred as
// watcher.
func TestStrongerVMPrecedesWeaker(t *testing.T) {
	is := is.New(t)
	strong := Watcher{VM: "b", CapacityUnits: 8}
	for _, id := range []contract.VMID{"a", "c"} {
		is.True(strong.precedes(Watcher{VM: id, CapacityUnits: 1}))
		is.True(!Watcher{VM: id, CapacityUnits: 1}.precedes(strong))
	}
}

// TestWatcherYields checks that of two watchers that know of each other the same one
// continues, and that a watcher whose calls fail yields to any other.
func TestWatcherYields(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	a, b := Watcher{VM: "a"}, Watcher{VM: "b"}
	if b.precedes(a) {
		a, b = b, a
	}
	first, second := NewWatcherElection(a, testTiming, time.Time{}), NewWatcherElection(b, testTiming, time.Time{})
	for _, e := range []*WatcherElection{first, second} {
		is.True(e.ShouldWatch(false, Rank{}, now))
		e.RecordStoreCall(true, now)
	}
	first.RecordPeerStatus(second.newest, second.activeWatcher(now), now)
	second.RecordPeerStatus(first.newest, first.activeWatcher(now), now)
	is.True(first.ShouldWatch(true, Rank{}, now))
	is.True(!second.ShouldWatch(true, Rank{}, now))
	now = now.Add(testTiming.StaleAfter) // its own last confirmation is too old
	first.RecordStoreCall(false, now)
	second.RecordStoreCall(true, now)
	first.RecordPeerStatus(second.newest, second.activeWatcher(now), now)
	is.True(!first.ShouldWatch(true, Rank{}, now))
}

// TestFewVMsCallUnreachableStore makes the store unreachable for a large fleet for seven
// seconds. Few VMs may call it meanwhile, and a single watcher must remain soon after its
// recovery. Each VM called the store when all ranks beyond the eighth had the same delay.
func TestFewVMsCallUnreachableStore(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	f := newModelFleet(5, 59, testTiming, now.Add(firstStartListDelay))
	simulate := func(d time.Duration) (watchers int) {
		f.calls = 0
		watching := make(map[contract.VMID]bool)
		for end := now.Add(d); now.Before(end); now = now.Add(modelStep) {
			f.step(now)
			for _, v := range f.vms {
				watching[v.id] = watching[v.id] || v.election.watching
			}
		}
		return countTrue(watching)
	}
	simulate(20 * time.Second)
	for _, v := range f.vms {
		v.storeRejects = true
	}
	is.True(simulate(7*time.Second) <= 50)
	for _, v := range f.vms {
		v.storeRejects = false
	}
	simulate(6 * time.Second)
	watchers := simulate(10 * time.Second)
	t.Log(watchers, f.calls)
	is.True(watchers <= 1)
	is.True(f.calls <= 11)
}

func countTrue(m map[contract.VMID]bool) int {
	n := 0
	for _, b := range m {
		if b {
			n++
		}
	}
	return n
}

// TestFewVMsListStoreForWaitingRequests starts 100 VMs of a data centre together while
// client requests wait. One VM lists the store at once and the others later by rank, so
// that only a few read a long list before it is sent to the rest. VMs that know no other
// VM yet are spread over time.
func TestFewVMsListStoreForWaitingRequests(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	countListing := func(noLocalPeers bool, after time.Duration) int {
		n := 0
		for rank := range 100 {
			e := NewWatcherElection(Watcher{VM: "v"}, testTiming, start.Add(time.Hour))
			e.RecordWaitingRequest(rank%requestRanks, start)
			if e.ShouldWatch(false, Rank{Local: rank, NoLocalPeers: noLocalPeers}, start.Add(after)) {
				n++
			}
		}
		return n
	}
	const soon = time.Millisecond
	is.Equal(countListing(false, soon), 1)
	is.Equal(countListing(false, 3*requestRankStep+soon), 4)
	is.Equal(countListing(true, soon), 10)
	is.Equal(countListing(false, requestRanks*requestRankStep+soon), 100) // no VM waits longer
}
