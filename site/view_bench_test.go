package site

import (
	"fmt"
	"testing"
	"time"

	"woaddoor/contract"
	"woaddoor/vm"
)

// fleetPeers returns a VM that knows n VMs of its data centre.
func fleetPeers(n int) *Peers {
	self := vm.Member{VM: "vm-0000", DataCentre: "d0", Incarnation: 1, ControlLink: "10.0.0.0:1", Strength: 2}
	p := &Peers{now: time.Now, dc: "d0", table: vm.NewTable(self), listed: map[string]bool{}, ips: map[string]bool{}, leaves: map[contract.VMID]leaf{}, shun: map[string]time.Time{}, counts: map[contract.DataCentreID]count{}}
	now := time.Now()
	for i := 1; i < n; i++ {
		p.table.Heard(vm.Member{VM: contract.VMID(fmt.Sprintf("vm-%04d", i)), DataCentre: "d0", Incarnation: 1, ControlLink: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), Strength: i % 10}, now)
	}
	return p
}

// BenchmarkView measures what a VM makes of the 200 VMs of its data centre, as each quarter of a
// second.
func BenchmarkView(b *testing.B) {
	p := fleetPeers(200)
	b.ReportAllocs()
	for range b.N {
		p.mu.Lock()
		p.makeView(time.Now())
		p.mu.Unlock()
	}
}
