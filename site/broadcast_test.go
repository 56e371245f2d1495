package site

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/contract"
	"woaddoor/vm"
)

// revisionKind is a kind of objects of which only the newest revision matters.
type revisionKind struct {
	// mu guards the fields below.
	mu       sync.Mutex
	revision contract.Revision
	applied  int // number of deltas received
}

func (k *revisionKind) status() (KindStatus, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return KindStatus{Kind: "k", LastChange: k.revision, Revision: k.revision}, true
}

func (k *revisionKind) compareWithPeer(peer KindStatus) Comparison {
	k.mu.Lock()
	defer k.mu.Unlock()
	return Comparison{Behind: peer.LastChange > k.revision, Request: ChangesRequest{Kind: "k", After: k.revision, Known: true}}
}

func (k *revisionKind) changesSince(contract.Revision, bool) Delta {
	k.mu.Lock()
	defer k.mu.Unlock()
	return Delta{Kind: "k", Revision: k.revision}
}

func (k *revisionKind) applyFromPeer(d Delta, _ KindStatus, _ string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.revision = max(k.revision, d.Revision)
	k.applied++
}

func (k *revisionKind) isWatching() bool { return false }

// gossipFleet is a set of VMs in two data centres that exchange messages over loopback.
type gossipFleet struct {
	peers []*Peers
	kinds []*revisionKind
}

func startGossipFleet(t *testing.T, ctx context.Context, perDataCentre int) *gossipFleet {
	t.Helper()
	f := &gossipFleet{}
	var members []vm.Member
	for _, dc := range []contract.DataCentreID{"d", "e"} {
		for i := range perDataCentre {
			p, recorder, m := testPeers(t, fmt.Sprintf("%s%02d", dc, i), dc)
			go func() { // drains reports that this test does not check
				for {
					select {
					case <-ctx.Done():
						return
					case <-recorder.sent:
					case <-recorder.confidence:
					}
				}
			}()
			kind := &revisionKind{revision: 1}
			p.registerKind("k", kind)
			f.peers, f.kinds, members = append(f.peers, p), append(f.kinds, kind), append(members, m)
		}
	}
	for _, p := range f.peers {
		p.addMembers(members)
		go p.Run(ctx)
	}
	return f
}

// changeTimeout bounds the wait for a change. It is far longer than needed, so that the
// result does not depend on the load of the machine.
const changeTimeout = 20 * time.Second

// awaitRevision waits until all VMs except some know a revision.
func (f *gossipFleet) awaitRevision(t *testing.T, revision contract.Revision, except map[int]bool) {
	t.Helper()
	for deadline := time.Now().Add(changeTimeout); ; time.Sleep(10 * time.Millisecond) {
		behind := 0
		for i, kind := range f.kinds {
			if status, _ := kind.status(); status.LastChange < revision && !except[i] {
				behind++
			}
		}
		if behind == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d VMs do not know revision %d", behind, revision)
		}
	}
}

// TestChangeReachesAllVMs checks that a change known to one VM reaches all others, over
// two levels of hubs and between data centres, also after the first hub of a data centre
// has ended without notice.
func TestChangeReachesAllVMs(t *testing.T) {
	is := is.New(t)
	const perDataCentre = 12
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f := startGossipFleet(t, ctx, perDataCentre)
	change := func(from int, revision contract.Revision) {
		f.kinds[from].mu.Lock()
		f.kinds[from].revision = revision
		f.kinds[from].mu.Unlock()
		f.peers[from].AnnounceChange()
	}
	change(0, 2)
	f.awaitRevision(t, 2, nil)
	closed := make(map[int]bool)
	hubs := f.peers[perDataCentre].currentView().hubs
	is.Equal(len(hubs), wantHubs)
	for i, p := range f.peers {
		if p.AsWatcher().VM == hubs[0].VM {
			closed[i] = true
			is.NoErr(p.endpoint.Close())
		}
	}
	change(0, 3)
	f.awaitRevision(t, 3, closed)
}

// TestWiderRoundIsNotDropped: a change from the store, announced while a round to the leaves
// alone was due, was sent to the leaves alone.
func TestWiderRoundIsNotDropped(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f := startGossipFleet(t, ctx, 2)
	p, kind := f.peers[0], f.kinds[0]
	time.Sleep(heartbeatInterval / 4) // the first heartbeats end
	p.AnnounceChange()                // the next round is due after changeInterval
	time.Sleep(changeInterval / 4)
	p.forwardChanges(true)
	kind.mu.Lock()
	kind.revision = 2
	kind.mu.Unlock()
	p.AnnounceChange()
	time.Sleep(2 * changeInterval)
	for _, other := range f.kinds[1:] {
		status, _ := other.status()
		is.Equal(int(status.LastChange), 2) // well before the next heartbeat
	}
}

// wantHubs is the number of hubs in a data centre of twelve VMs.
const wantHubs = 2

// TestOnePullAtATime checks that a list is requested only once while it is being sent,
// however many messages announce it, and from another VM when the first one takes too
// long.
func TestOnePullAtATime(t *testing.T) {
	is := is.New(t)
	p, now := idlePeers(t, vm.Member{VM: "a", DataCentre: "d", ControlAddress: "10.0.0.1:1"})
	is.True(p.beginPull("k", "hub"))
	is.True(!p.beginPull("k", "hub"))
	is.True(!p.beginPull("k", "other"))
	is.True(p.beginPull("l", "hub"))
	p.now = func() time.Time { return now.Add(pullTakeoverAfter) }
	is.True(!p.beginPull("k", "hub"))
	is.True(p.beginPull("k", "other"))
	p.endPull("k", "hub") // too late to end the pull from the other VM
	is.True(!p.beginPull("k", "other"))
	p.endPull("k", "other")
	is.True(p.beginPull("k", "hub"))
}
