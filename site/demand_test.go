package site

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"woaddoor/contract"
	"woaddoor/fairshare"
	"woaddoor/vm"
)

// demandVM is a VM with its own demand, which exchanges messages without sockets.
type demandVM struct {
	*Peers
	recorder *recordingRelay
	member   vm.Member
}

// newDemandVMs returns the VMs of two data centres. The first two of each are hubs. Each has an
// offered work of 1 for workspace w. clock returns the time at all VMs.
func newDemandVMs(t *testing.T, clock func() time.Time) (d, e []*demandVM) {
	t.Helper()
	all := append(members("d", 4), members("e", 2)...)
	byName := make(map[contract.VMID]*demandVM)
	for _, self := range all {
		p, _ := idlePeers(t, self)
		p.now = clock
		v := &demandVM{p, newRecordingRelay(), self}
		v.recorder.demand = demandOf("w", 1)
		p.attachRelay(v.recorder)
		for _, m := range all {
			p.table.ApplyHeartbeat(m, clock())
		}
		byName[self.VM] = v
	}
	for _, m := range vm.WatcherOrder(members("d", 4), "d") {
		d = append(d, byName[m.VM])
	}
	for _, m := range vm.WatcherOrder(members("e", 2), "e") {
		e = append(e, byName[m.VM])
	}
	return d, e
}

func demandOf(w contract.WorkspaceID, offered float64) fairshare.Demands {
	return fairshare.Demands{"s": {Pressure: fairshare.Busy, Capacity: offered, Classes: fairshare.Demand{{Workspace: w}: {Offered: offered}}}}
}

// exchange sends a message and its reply between two VMs, as heartbeats do.
func exchange(from, to *demandVM) {
	var msg GossipMessage
	switch {
	case from.dc != to.dc:
		msg = from.withDemand(from.gossipFor(audienceRemote), audienceRemote)
	case from.currentView().isHub:
		from.applyOthersDemand()
		msg = from.withDemand(from.gossipFor(audienceHub), audienceHub)
	default:
		msg = from.gossipToHub()
		msg.Demand = from.demandToHub()
	}
	to.recordDemand(msg)
	from.recordDemand(to.gossipReply(msg))
}

// others returns the demand of other VMs that a VM knows for workspace w.
func (v *demandVM) others() float64 {
	return v.recorder.others["s"].Classes[fairshare.Class{Workspace: "w"}].Offered
}

// TestDemandReachesAllVMs checks that each VM learns the demand at all others, counted once,
// without the store. When a VM is gone, its report expires after two seconds; a leaf that has
// become a hub is not counted twice.
func TestDemandReachesAllVMs(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	d, e := newDemandVMs(t, func() time.Time { return now })
	hub, otherHub, leaf, otherLeaf := d[0], d[1], d[2], d[3]
	round := func(alive ...*demandVM) {
		for range 2 {
			for _, v := range alive {
				exchange(v, hub)
			}
			exchange(hub, otherHub)
			exchange(hub, e[0])
			exchange(e[0], e[1])
			hub.applyOthersDemand()
		}
	}
	round(leaf, otherLeaf)
	round(leaf, otherLeaf)
	is.Equal(len(hub.currentView().hubs), 2)
	for _, v := range []*demandVM{hub, leaf, otherLeaf} {
		is.Equal(v.others(), 5.0)
	}
	e[1].applyOthersDemand()
	otherHub.applyOthersDemand()
	is.Equal(e[1].others(), 5.0)
	is.Equal(otherHub.others(), 5.0)
	is.Equal(hub.recorder.others["s"].Capacity, 5.0)

	for range 3 { // otherLeaf is gone
		now = now.Add(time.Second)
		round(leaf)
	}
	is.Equal(leaf.others(), 4.0)

	hub.recordDemand(GossipMessage{Self: leaf.member, Demand: newDemandReport(demandOfHub, demandOf("w", 1))})
	hub.applyOthersDemand()
	is.Equal(hub.others(), 4.0)
}

// TestIdleVMsExchangeNoDemand guards against traffic between VMs while no upstreams are busy.
func TestIdleVMsExchangeNoDemand(t *testing.T) {
	is := is.New(t)
	d, _ := newDemandVMs(t, func() time.Time { return time.Unix(100, 0) })
	for _, v := range d {
		v.recorder.demand = nil
	}
	is.True(d[2].demandToHub() == nil)
	is.True(d[0].withDemand(GossipMessage{}, audienceHub).Demand == nil)
	is.True(d[0].demandForLeaf(contract.VMInstance{}) == nil)
}

// TestDemandBytes logs how many bytes of demand VMs exchange while upstreams are busy, with 24
// workspaces of three priorities at an engine service and one priority at a plain service, and
// bounds them. Each leaf reports to its hub and gets a reply with each heartbeat, as hubs do among
// each other; two VMs of each data centre do so with each other data centre at half of that rate.
func TestDemandBytes(t *testing.T) {
	is := is.New(t)
	demand := fairshare.Demands{"engines": {Pressure: fairshare.Short, Capacity: 321.5, Classes: make(fairshare.Demand)}, "plain": {Pressure: fairshare.Busy, Capacity: 100, Classes: make(fairshare.Demand)}}
	for w := range 24 {
		id := contract.WorkspaceID(fmt.Sprintf("workspace-%02d", w))
		for priority := range 3 {
			demand["engines"].Classes[fairshare.Class{Workspace: id, Priority: priority}] = fairshare.Work{Offered: 3.456 + float64(w), Admitted: 2.345}
		}
		demand["plain"].Classes[fairshare.Class{Workspace: id, Priority: 2}] = fairshare.Work{Offered: 4.567, Admitted: 4.567}
	}
	size := func(report *DemandReport) float64 {
		raw, err := cbor.Marshal(report)
		is.NoErr(err)
		return float64(len(raw))
	}
	for _, c := range []struct{ vms, centres int }{{79, 3}, {984, 5}} {
		perCentre := c.vms / c.centres
		hubs := vm.HubCount(perCentre)
		perSecond := float64(time.Second / heartbeatInterval)
		one := size(newDemandReport(demandOfLeaf, demand))
		hubReport := newDemandReport(demandOfHub, demand) // of a delegate
		for centre := range c.centres - 1 {
			hubReport.Centres = append(hubReport.Centres, CentreDemand{DataCentre: contract.DataCentreID(fmt.Sprint("centre-", centre)), Age: time.Second, Services: hubReport.Services})
		}
		inCentre := perSecond * (2*one*float64(perCentre-hubs) + (size(hubReport)*delegates+one*float64(hubs-delegates))*float64(hubs-1))
		between := perSecond / heartbeatsPerRemote * 2 * one * float64(delegates*(c.centres-1))
		t.Logf("%d VMs in %d data centres: a report has %.0f bytes, of a delegate to hubs %.0f; each VM exchanges %.0f bytes/s in its data centre, all VMs %.0f bytes/s between data centres",
			c.vms, c.centres, one, size(hubReport), inCentre/float64(perCentre), between*float64(c.centres))
		is.True(inCentre/float64(perCentre) < 10_000)
	}
}
