package site

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/keys"
	"woaddoor/link"
	"woaddoor/vm"
)

// quietPeers returns peers that speak with nobody, at a time that stands still.
func quietPeers(t *testing.T, self vm.Member, seeds ...string) (*Peers, time.Time) {
	t.Helper()
	identity, err := keys.NewByAddress(string(self.VM), func(string) bool { return true })
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
	now := time.Unix(100, 0)
	return NewPeers(&PeersOptions{Endpoint: endpoint, Self: self, Seeds: seeds, Log: zap.NewNop(), Now: func() time.Time { return now }}), now
}

// members returns VMs of a data centre.
func members(dc contract.DataCentreID, n int) []vm.Member {
	var out []vm.Member
	for i := range n {
		out = append(out, vm.Member{VM: contract.VMID(fmt.Sprintf("%s-%03d", dc, i)), DataCentre: dc, Incarnation: 1, ControlLink: fmt.Sprintf("10.%d.%d.1:1", dc[0], i)})
	}
	return out
}

// TestFewStrangers shows that a hub looks for few of the VMs that it does not hear
// of at a time, however many the store lists or fell silent, and a leaf for none: a
// link costs both ends a handshake.
func TestFewStrangers(t *testing.T) {
	is := is.New(t)
	p, now := quietPeers(t, vm.Member{VM: "a", DataCentre: "d", ControlLink: "10.0.0.1:1"}, "10.0.0.2:1", "10.0.0.3:1")
	var listed []string
	for n := range 100 {
		listed = append(listed, fmt.Sprintf("10.1.0.%d:1", n))
	}
	p.Listed(listed)
	is.Equal(len(p.strangers()), 1) // a seed: the others of 100 VMs are its to name
	for _, m := range members("d", 30) {
		m.Age = vm.DeadAfter + time.Second
		p.table.Heard(m, now)
	}
	p.changed.Store(true)
	p.seen.Store(nil)
	is.Equal(len(p.strangers()), 1+strangersAtOnce)
	for _, m := range members("d", 30) {
		m.Strength = 9 // this VM is a leaf among them
		m.Incarnation++
		p.table.Heard(m, now)
	}
	p.seen.Store(nil)
	is.Equal(len(p.strangers()), 0)
}

// TestLinksOfLargeDataCentre counts with whom VMs speak at a beat: a leaf with one
// hub and a hub with the others, so that there are about as many links as VMs, where
// words to VMs drawn at random made a link between any two. A VM that goes moves
// only its own leaves.
func TestLinksOfLargeDataCentre(t *testing.T) {
	is := is.New(t)
	const n = 57
	all := members("d", n)
	hubOf := func(self vm.Member, without contract.VMID) (hub contract.VMID, hubs int) {
		p, now := quietPeers(t, self)
		for _, m := range all {
			if m.VM != without {
				p.table.Heard(m, now)
			}
		}
		v := p.look()
		if v.isHub {
			return self.VM, len(v.hubs)
		}
		return p.hubOf(v)[0].VM, len(v.hubs)
	}
	before := make(map[contract.VMID]contract.VMID)
	leaves := make(map[contract.VMID]int)
	for _, m := range all {
		hub, hubs := hubOf(m, "")
		is.Equal(hubs, vm.HubCount(n))
		before[m.VM] = hub
		leaves[hub]++
	}
	is.Equal(len(leaves), vm.HubCount(n)) // all agree on who is a hub
	most := 0
	for _, k := range leaves {
		most = max(most, k)
	}
	is.True(most <= 2*n/vm.HubCount(n))
	gone := before[all[0].VM]
	moved := 0
	for _, m := range all {
		if m.VM == gone {
			continue
		}
		hub, _ := hubOf(m, gone)
		if hub != before[m.VM] && before[m.VM] != gone {
			moved++
		}
	}
	is.True(moved <= n/vm.HubCount(n)+1) // those of the hub that takes its place
}

// TestSilentHub checks that a hub which does not answer is passed over, also for
// the place of those after it, until it may have come back.
func TestSilentHub(t *testing.T) {
	is := is.New(t)
	all := members("d", 30)
	ranked := vm.Ranked(all, "d")
	self := ranked[2] // the first that is no hub
	p, now := quietPeers(t, self)
	for _, m := range all {
		p.table.Heard(m, now)
	}
	is.Equal(p.Place().Near, 2)
	for _, hub := range ranked[:2] {
		p.answered(hub.ControlLink, context.DeadlineExceeded)
	}
	p.seen.Store(nil)
	v := p.look()
	is.Equal(v.place.Near, 0)
	is.True(v.isHub)
	p.now = func() time.Time { return now.Add(shunFor) }
	p.seen.Store(nil)
	is.Equal(p.Place().Near, 2)
}

// TestCountErrsToTheSafeSide checks that a data centre which seems to have lost VMs
// goes on counting as large for a while, and that late word changes nothing.
func TestCountErrsToTheSafeSide(t *testing.T) {
	is := is.New(t)
	p, now := quietPeers(t, vm.Member{VM: "a", DataCentre: "d", ControlLink: "10.0.0.1:1"})
	p.counted("e", 57, now, now)
	p.counted("e", 20, now.Add(-time.Second), now) // late
	is.Equal(p.Count(), 58)
	p.counted("e", 20, now.Add(time.Second), now.Add(time.Second))
	p.seen.Store(nil)
	is.Equal(p.Count(), 58)
	p.counted("e", 20, now.Add(2*countFor), now.Add(2*countFor))
	p.seen.Store(nil)
	is.Equal(p.Count(), 21)
}

// TestDeadAreForgottenOnce checks that a leaf learns from its hub that a VM has
// fallen silent, though it had agreed on it a moment before, and does not bring it
// back.
func TestDeadAreForgottenOnce(t *testing.T) {
	is := is.New(t)
	all := members("d", 3)
	hub, now := quietPeers(t, all[0])
	leaf, _ := quietPeers(t, all[1])
	for _, m := range all {
		hub.table.Heard(m, now)
		leaf.table.Heard(m, now)
	}
	ask := func() {
		hub.seen.Store(nil)
		leaf.seen.Store(nil)
		w := leaf.wordToHub()
		hub.meet(w, false)
		leaf.meet(hub.wordToLeaf(w), true)
		leaf.seen.Store(nil)
	}
	ask()
	is.Equal(leaf.look().live, 3)
	later := now.Add(vm.DeadAfter + time.Second)
	hub.now = func() time.Time { return later }
	leaf.now = hub.now
	leaf.table.Agreed(later.Add(-2 * time.Second)) // it counts on a word of two seconds ago
	for range 2 {
		ask()
		is.Equal(leaf.look().live, 2) // itself and its hub
	}
	hub.seen.Store(nil)
	is.Equal(hub.look().live, 2)
}
