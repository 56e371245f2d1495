package site

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"woaddoor/contract"
)

// Timing configures how a VM keeps up with one kind of objects in the store.
type Timing struct {
	// WatchDuration is how long one watch call stays open.
	WatchDuration time.Duration
	// StaleAfter is the age of the store's last confirmation that there are no newer changes
	// at which a VM that relies on its peers starts to watch the store itself.
	// RankStep is added to StaleAfter once or more per rank of the VM,
	// so that normally only the next VM in order starts to watch the store.
	StaleAfter, RankStep time.Duration
}

// The fractions apply to the bound, which is the time within
// which every VM must know a change in the store.
// All watches (open store calls that wait for changes) may break at once without an error,
// so half of the bound remains for the next watch. If the active watcher fails,
// a VM has a quarter of the bound left to call the store and inform its peers.
const (
	watchDivisor    = 2 // the bound is divided by watchDivisor
	staleFraction   = 0.75
	rankStepDivisor = 8 // the bound is divided by rankStepDivisor
	// maxWatchDuration limits how long a missed change can go unnoticed when the bound is long.
	maxWatchDuration = 5 * time.Second
)

// TimingFor returns the timing for a kind of objects whose changes must be
// in force on every VM within bound after the store accepted the changes.
func TimingFor(bound time.Duration) Timing {
	bound = min(bound, watchDivisor*maxWatchDuration)
	return Timing{WatchDuration: bound / watchDivisor, StaleAfter: time.Duration(staleFraction * float64(bound)), RankStep: bound / rankStepDivisor}
}

// Watcher identifies one run of a VM that may watch the store.
type Watcher struct {
	VM            contract.VMID `cbor:"1,keyasint"`
	CapacityUnits int           `cbor:"2,keyasint,omitempty"`
	// Incarnation distinguishes the runs of the VM: a VM that has restarted does not watch yet.
	Incarnation contract.Incarnation `cbor:"3,keyasint,omitempty"`
}

// Rank is the position of a VM in the order in which VMs start to watch the store.
type Rank struct {
	// Local is the rank of the VM in its data centre.
	// DataCentre is the rank of the data centre among the data centres that share a watcher
	// (a VM that watches the store for all of these). Both ranks start at 0.
	Local, DataCentre int
	// NoLocalPeers is set until another VM of the same data centre has replied to this VM.
	NoLocalPeers bool
}

const (
	// unknownRank is the minimum local rank of a VM that does not know the other VMs yet.
	// unknownRank applies at the first start of the deployment.
	unknownRank = 4
	// linearRanks is the number of ranks whose delay grows by about one RankStep per rank.
	// The delay of higher ranks grows quadratically.
	linearRanks = 4
	// dataCentreStep is the delay per rank of a data centre.
	// The delay gives one data centre time to query the store and inform the other data centres,
	// which takes a few milliseconds.
	dataCentreStep = 50 * time.Millisecond
	// firstStartListDelay is how long a VM waits,
	// at the first start of the deployment, for another VM to list the objects in the store.
	// At the first start all VMs start at once and no client is waiting.
	firstStartListDelay = 3 * time.Second
	// restartListDelay is how long a VM waits, at a later start of the deployment,
	// for another VM to list the objects in the store. Clients are waiting at a later start,
	// so the delay is only as long as a reply from another VM takes.
	// A VM that has no reply after this delay lists the objects in the store itself,
	// because the other VMs may all have restarted too.
	// With a delay of 0.4 s and a further delay by rank,
	// a fleet of six VMs served requests 0.5 s later after all six VMs were lost.
	restartListDelay = 200 * time.Millisecond
)

// delay returns how long a VM of this rank waits beyond StaleAfter before it watches the store.
// The first ranks of a data centre follow each other closely,
// so that a VM that the store accepts is found within the bound. Later ranks are spread ever wider:
// a store that has rejected several VMs in several data centres is unavailable to all.
// When all ranks beyond the eighth had the same delay,
// each of 295 VMs called a store that was unavailable for 7 s, which made 2,324 calls a day.
// A VM without local peers is the first in order.
func (r Rank) delay(t Timing) time.Duration {
	steps := r.Local + r.Local*r.Local/linearRanks
	return t.RankStep*time.Duration(steps) + dataCentreStep*time.Duration(r.DataCentre)
}

// Delays by rank among VMs that start together while client requests wait.
const (
	// requestRankStep is the delay per rank. Within this delay,
	// the VM of the preceding rank can read a short list of objects and send the list to its peers.
	// A store that served 80 pages of 500 objects a second took 4 s and more
	// when 281 VMs each read 3,000 upstreams at once.
	requestRankStep = 100 * time.Millisecond
	// requestRanks is the number of ranks that wait for each other,
	// and the number of ranks from which a VM that knows no other VM picks its own rank at random.
	requestRanks = 10
	// noPeersRankStep replaces requestRankStep for a VM that knows no other VM yet,
	// so that its first client request is served within startupWait,
	// the time that a request may wait for a VM to become ready.
	noPeersRankStep = 5 * time.Millisecond
)

// requestDelay returns how long a VM lets the other VMs of its data centre go first
// before the VM lists the objects in the store while client requests wait.
func (r Rank) requestDelay(randomRank int) time.Duration {
	if r.NoLocalPeers {
		return noPeersRankStep * time.Duration(randomRank)
	}
	return requestRankStep * time.Duration(min(r.Local, requestRanks))
}

// WatcherElection decides whether this VM watches one kind of objects
// in the store on behalf of its peers, or relies on what the peers send.
// WatcherElection is a pure state machine and not safe for concurrent use.
//
// A VM that finds the last store confirmation stale begins to watch the store.
// A VM stops watching the store when the VM learns of another active watcher
// that precedes the VM in the order of watchers.
// So one VM watches the store if all VMs can communicate.
// In a network partition, one VM on each side watches the store.
// The VMs need not agree on which VMs are alive.
type WatcherElection struct {
	self   Watcher
	timing Timing
	// listNotBefore is the earliest time, before the delay by rank,
	// at which a VM without any state lists the objects in the store.
	// listNotBefore is zero for a VM that expects no state from peers.
	listNotBefore time.Time
	// requestsWaitingSince is the time since which client requests have been waiting for state
	// that this VM lacks. requestsWaitingSince is zero while no request waits.
	// randomRank replaces the rank of this VM while this VM does not know the other VMs.
	requestsWaitingSince time.Time
	randomRank           int
	// sequence is the number of store calls of this VM that succeeded.
	sequence uint64
	// confirmations holds the newest known confirmation of each watcher.
	confirmations map[Watcher]confirmation
	// newest is the newest confirmation of any watcher, and zero before the first one.
	newest confirmation
	// watching is set while this VM watches the store.
	// failing is set if the last store call of this VM has failed.
	watching bool
	failing  bool
}

// NewWatcherElection returns the election state of a VM
// that has no state yet. The VM lists the objects in the store
// at the time listNotBefore or later, or earlier if client requests wait for the state.
func NewWatcherElection(self Watcher, t Timing, listNotBefore time.Time) *WatcherElection {
	return &WatcherElection{self: self, timing: t, listNotBefore: listNotBefore, confirmations: make(map[Watcher]confirmation)}
}

// ShouldWatch reports whether this VM should call the store now.
// known means that this VM has already received all objects of this kind once.
func (e *WatcherElection) ShouldWatch(known bool, rank Rank, now time.Time) bool {
	e.watching = e.watching || now.After(e.WatchDueAt(known, rank))
	return e.watching
}

// WatchDueAt returns the time after which this VM calls the store
// unless a peer confirms before that time that the state is up to date.
func (e *WatcherElection) WatchDueAt(known bool, rank Rank) time.Time {
	switch {
	case !known && !e.requestsWaitingSince.IsZero():
		return e.requestsWaitingSince.Add(rank.requestDelay(e.randomRank))
	case !known:
		return e.listNotBefore.Add(rank.delay(e.timing))
	}
	return e.newest.at.Add(e.timing.StaleAfter + rank.delay(e.timing))
}

// RecordWaitingRequest notes that client requests wait for state that this VM may lack.
// randomRank replaces the rank of this VM as long as this VM does not know the other VMs.
func (e *WatcherElection) RecordWaitingRequest(randomRank int, now time.Time) {
	e.requestsWaitingSince, e.randomRank = now, randomRank
}

// RecordStoreCall records the outcome of this VM's own store call.
func (e *WatcherElection) RecordStoreCall(ok bool, now time.Time) {
	e.failing = !ok
	if ok {
		e.sequence++
		e.observe(confirmation{e.self, e.sequence, now}, now)
	}
}

// RecordPeerStatus records the confirmations that a peer knows: the newest one,
// and the newest one of the first active watcher in the order of watchers.
// RecordPeerStatus reports whether the newest confirmation became newer by more
// than the usual difference between two messages, or the active watcher changed.
func (e *WatcherElection) RecordPeerStatus(newest, active confirmation, now time.Time) bool {
	previousNewest, previousWatcher := e.newest, e.activeWatcher(now).by
	e.observe(newest, now)
	e.observe(active, now)
	watcher := e.activeWatcher(now).by
	if watcher != (Watcher{}) && watcher != e.self && (e.failing || watcher.precedes(e.self)) {
		e.watching = false
	}
	return watcher != previousWatcher || e.newest.at.Sub(previousNewest.at) > e.timing.WatchDuration/2
}

// observe records a confirmation.
func (e *WatcherElection) observe(c confirmation, now time.Time) {
	if c.sequence == 0 {
		return // cannot be told from one that is already known
	}
	if known, ok := e.confirmations[c.by]; ok {
		c = known.merge(c)
	}
	e.confirmations[c.by] = c
	e.newest = confirmation{}
	for by, known := range e.confirmations {
		switch {
		case now.Sub(known.at) > confirmationRetention && by != c.by:
			delete(e.confirmations, by)
		case known.at.After(e.newest.at), known.at.Equal(e.newest.at) && by.precedes(e.newest.by):
			e.newest = known
		}
	}
}

// activeWatcher returns the newest confirmation of the first, in the order of watchers,
// of the VMs known to watch the store, or zero if no VM is known to.
func (e *WatcherElection) activeWatcher(now time.Time) confirmation {
	var first confirmation
	for _, c := range e.confirmations {
		if now.Sub(c.at) < e.timing.StaleAfter && (first.sequence == 0 || c.by.precedes(first.by)) {
			first = c
		}
	}
	return first
}

// Age returns the time since the last confirmation by the store.
func (e *WatcherElection) Age(now time.Time) time.Duration { return now.Sub(e.newest.at) }

// precedes defines an order of watchers that is the same on all VMs.
// A watcher with more CapacityUnits comes first, and a later run of a VM before an earlier one.
func (w Watcher) precedes(o Watcher) bool {
	if w.CapacityUnits != o.CapacityUnits {
		return w.CapacityUnits > o.CapacityUnits
	}
	return cmp.Or(cmp.Compare(w.hash(), o.hash()), cmp.Compare(w.VM, o.VM), cmp.Compare(o.Incarnation, w.Incarnation)) < 0
}

func (w Watcher) hash() uint64 { return xxhash.Sum64String("watch\x00" + string(w.VM)) }
