package site

import (
	"fmt"
	"testing"
	"time"

	"woaddoor/contract"
	"woaddoor/vm"
)

// peersKnowing returns the Peers of a VM that knows n VMs of its data centre, including
// itself.
func peersKnowing(n int) *Peers {
	self := vm.Member{VM: "vm-0000", DataCentre: "d0", Incarnation: 1, ControlAddress: "10.0.0.0:1", CapacityUnits: 2}
	p := &Peers{now: time.Now, dc: "d0", table: vm.NewTable(self), listedAddresses: map[string]bool{}, memberIPs: map[string]bool{}, leaves: map[contract.VMID]leaf{}, unresponsiveUntil: map[string]time.Time{}, counts: map[contract.DataCentreID]dataCentreCount{}}
	now := time.Now()
	for i := 1; i < n; i++ {
		p.table.ApplyHeartbeat(vm.Member{VM: contract.VMID(fmt.Sprintf("vm-%04d", i)), DataCentre: "d0", Incarnation: 1, ControlAddress: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), CapacityUnits: i % 10}, now)
	}
	return p
}

// BenchmarkBuildView measures building the view of the 200 VMs of a data centre, as
// happens every quarter of a second.
func BenchmarkBuildView(b *testing.B) {
	p := peersKnowing(200)
	b.ReportAllocs()
	for range b.N {
		p.mu.Lock()
		p.buildView(time.Now())
		p.mu.Unlock()
	}
}
