package site

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/keys"
	"woaddoor/link"
	"woaddoor/vm"
)

// listenOnLoopback returns an endpoint that accepts links from any VM until the test ends.
func listenOnLoopback(t *testing.T, name contract.VMID) *link.Endpoint {
	t.Helper()
	identity, err := keys.NewAddressIdentity(string(name), func(string) bool { return true })
	if err != nil {
		t.Fatal(err)
	}
	endpoint, err := link.Listen("127.0.0.1:0", identity)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := endpoint.Close(); err != nil {
			t.Error(err)
		}
	})
	return endpoint
}

// idlePeers returns Peers that exchange no messages, with a clock that stands still.
func idlePeers(t *testing.T, self vm.Member, seeds ...string) (*Peers, time.Time) {
	t.Helper()
	now := time.Unix(100, 0)
	return NewPeers(&PeersOptions{Endpoint: listenOnLoopback(t, self.VM), Self: self, Seeds: seeds, Log: zap.NewNop(), Now: func() time.Time { return now }}), now
}

// members returns n VMs of a data centre.
func members(dc contract.DataCentreID, n int) []vm.Member {
	var out []vm.Member
	for i := range n {
		out = append(out, vm.Member{VM: contract.VMID(fmt.Sprintf("%s-%03d", dc, i)), DataCentre: dc, Incarnation: 1, ControlAddress: fmt.Sprintf("10.%d.%d.1:1", dc[0], i)})
	}
	return out
}

// TestRejectedVMIsNotCounted guards against a VM that the seeds reject, because the store does not list
// it yet, using a part of the slack of the retry budgets that the other VMs have divided without it.
func TestRejectedVMIsNotCounted(t *testing.T) {
	is := is.New(t)
	var listed atomic.Bool
	identity, err := keys.NewAddressIdentity("seed", func(string) bool { return listed.Load() })
	is.NoErr(err)
	endpoint, err := link.Listen("127.0.0.1:0", identity)
	is.NoErr(err)
	start := func(name contract.VMID, e *link.Endpoint, seeds ...string) *Peers {
		p := NewPeers(&PeersOptions{Endpoint: e, Self: vm.Member{VM: name, DataCentre: "d", ControlAddress: e.Address(), Incarnation: 1}, Seeds: seeds, Log: zap.NewNop(), Now: time.Now})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { p.Run(ctx); close(ended) }()
		t.Cleanup(func() { cancel(); <-ended })
		return p
	}
	t.Cleanup(func() { is.NoErr(endpoint.Close()) })
	is.True(start("seed", endpoint).Counted())
	p := start("new", listenOnLoopback(t, "new"), endpoint.Address())
	time.Sleep(2 * joinInterval)
	is.True(!p.Counted())
	listed.Store(true)
	for end := time.Now().Add(seedPeriod / 2); !p.Counted() && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
	}
	is.True(p.Counted())
	cutOff, now := idlePeers(t, vm.Member{VM: "cut-off", DataCentre: "d", ControlAddress: "10.0.0.1:1"}, "10.0.0.2:1")
	is.True(!cutOff.Counted())
	cutOff.now = func() time.Time { return now.Add(seedPeriod) }
	is.True(cutOff.Counted())
}

// TestSuspendedVMIsNotCounted guards against a VM that is suspended right after its start being taken to
// be cut off when it goes on: it would use the whole slack of the retry budgets, and all of the slots and
// cold upstreams, before a seed could answer.
func TestSuspendedVMIsNotCounted(t *testing.T) {
	is := is.New(t)
	p, now := idlePeers(t, vm.Member{VM: "a", DataCentre: "d", ControlAddress: "10.0.0.1:1"}, "10.0.0.2:1")
	p.now = func() time.Time { return now }
	p.awake.heartbeat(now)
	now = now.Add(joinInterval)
	p.awake.heartbeat(now)
	now = now.Add(10 * time.Second) // suspended
	is.True(!p.Counted())
	is.Equal(len(p.ColdOwners().VMs), 0)
	is.True(p.joining(now))
	p.awake.heartbeat(now)
	is.True(!p.Counted())
	for range seedPeriod/joinInterval - 1 {
		now = now.Add(joinInterval)
		p.awake.heartbeat(now)
	}
	is.True(p.Counted())
	is.Equal(len(p.ColdOwners().VMs), 1)
}

// TestDiscoveryContactsFewVMs checks that a hub contacts only a few of the VMs from which
// it receives nothing, however many the store lists or have fallen silent, and that a
// leaf contacts none. Each new link costs both ends a handshake.
func TestDiscoveryContactsFewVMs(t *testing.T) {
	is := is.New(t)
	p, now := idlePeers(t, vm.Member{VM: "a", DataCentre: "d", ControlAddress: "10.0.0.1:1"}, "10.0.0.2:1", "10.0.0.3:1")
	var listed []string
	for n := range 100 {
		listed = append(listed, fmt.Sprintf("10.1.0.%d:1", n))
	}
	p.AddListed(listed)
	is.Equal(len(p.discoveryTargets()), 1) // one seed, which can name the others of the 100 VMs
	for _, m := range members("d", 30) {
		m.Age = vm.DeadAfter + time.Second
		p.table.ApplyHeartbeat(m, now)
	}
	p.viewStale.Store(true)
	p.cachedView.Store(nil)
	is.Equal(len(p.discoveryTargets()), 1+maxDiscoveryTargets)
	for _, m := range members("d", 30) {
		m.CapacityUnits = 9 // makes this VM a leaf
		m.Incarnation++
		p.table.ApplyHeartbeat(m, now)
	}
	p.cachedView.Store(nil)
	is.Equal(len(p.discoveryTargets()), 0)
}

// TestLeavesAreSpreadOverHubs checks that each leaf contacts one hub and that the leaves
// are spread over the hubs, so that there are about as many links as VMs. Messages to
// random VMs would open a link between any two. When a hub goes, only its own leaves
// move.
func TestLeavesAreSpreadOverHubs(t *testing.T) {
	is := is.New(t)
	const n = 57
	all := members("d", n)
	hubFor := func(self vm.Member, excluded contract.VMID) (hub contract.VMID, hubs int) {
		p, now := idlePeers(t, self)
		for _, m := range all {
			if m.VM != excluded {
				p.table.ApplyHeartbeat(m, now)
			}
		}
		v := p.currentView()
		if v.isHub {
			return self.VM, len(v.hubs)
		}
		return p.hubsForLeaf(v)[0].VM, len(v.hubs)
	}
	hubOf := make(map[contract.VMID]contract.VMID)
	leaves := make(map[contract.VMID]int)
	for _, m := range all {
		hub, hubs := hubFor(m, "")
		is.Equal(hubs, vm.HubCount(n))
		hubOf[m.VM] = hub
		leaves[hub]++
	}
	is.Equal(len(leaves), vm.HubCount(n)) // all VMs agree on the hubs
	most := 0
	for _, k := range leaves {
		most = max(most, k)
	}
	is.True(most <= 2*n/vm.HubCount(n))
	removed := hubOf[all[0].VM]
	moved := 0
	for _, m := range all {
		if m.VM == removed {
			continue
		}
		hub, _ := hubFor(m, removed)
		if hub != hubOf[m.VM] && hubOf[m.VM] != removed {
			moved++
		}
	}
	is.True(moved <= n/vm.HubCount(n)+1) // the leaves of the VM that becomes a hub instead
}

// TestUnresponsiveHubIsSkipped checks that a hub that does not reply is skipped, so that
// the VMs after it move up in rank, until it may have recovered.
func TestUnresponsiveHubIsSkipped(t *testing.T) {
	is := is.New(t)
	all := members("d", 30)
	ranked := vm.WatcherOrder(all, "d")
	self := ranked[2] // the first that is not a hub
	p, now := idlePeers(t, self)
	for _, m := range all {
		p.table.ApplyHeartbeat(m, now)
	}
	is.Equal(p.Rank().Local, 2)
	for _, hub := range ranked[:2] {
		p.recordReply(hub.ControlAddress, context.DeadlineExceeded)
	}
	p.cachedView.Store(nil)
	v := p.currentView()
	is.Equal(v.rank.Local, 0)
	is.True(v.isHub)
	p.now = func() time.Time { return now.Add(unresponsivePeriod) }
	p.cachedView.Store(nil)
	is.Equal(p.Rank().Local, 2)
}

// TestVMCountStaysHighAfterLoss checks that a data centre that seems to have lost VMs
// keeps its previous count for a while, and that a late message changes nothing.
func TestVMCountStaysHighAfterLoss(t *testing.T) {
	is := is.New(t)
	p, now := idlePeers(t, vm.Member{VM: "a", DataCentre: "d", ControlAddress: "10.0.0.1:1"})
	p.recordCount("e", 57, now, now)
	p.recordCount("e", 20, now.Add(-time.Second), now) // late
	is.Equal(p.EstimatedVMs(), 58)
	p.recordCount("e", 20, now.Add(time.Second), now.Add(time.Second))
	p.cachedView.Store(nil)
	is.Equal(p.EstimatedVMs(), 58)
	p.recordCount("e", 20, now.Add(2*recentMaxPeriod), now.Add(2*recentMaxPeriod))
	p.cachedView.Store(nil)
	is.Equal(p.EstimatedVMs(), 21)
}

// TestLeafLearnsFromHubOfDeadVM checks that a leaf learns from its hub that a VM is dead,
// even if their digests matched just before, and that the leaf does not bring the dead VM
// back.
func TestLeafLearnsFromHubOfDeadVM(t *testing.T) {
	is := is.New(t)
	all := members("d", 3)
	hub, now := idlePeers(t, all[0])
	leaf, _ := idlePeers(t, all[1])
	for _, m := range all {
		hub.table.ApplyHeartbeat(m, now)
		leaf.table.ApplyHeartbeat(m, now)
	}
	exchange := func() {
		hub.cachedView.Store(nil)
		leaf.cachedView.Store(nil)
		msg := leaf.gossipToHub()
		hub.recordMembers(msg, false)
		leaf.recordMembers(hub.replyToLeaf(msg), true)
		leaf.cachedView.Store(nil)
	}
	exchange()
	is.Equal(leaf.currentView().live, 3)
	later := now.Add(vm.DeadAfter + time.Second)
	hub.now = func() time.Time { return later }
	leaf.now = hub.now
	leaf.table.RefreshLocal(later.Add(-2 * time.Second)) // their digests matched two seconds ago
	for range 2 {
		exchange()
		is.Equal(leaf.currentView().live, 2) // itself and its hub
	}
	hub.cachedView.Store(nil)
	is.Equal(hub.currentView().live, 2)
}
