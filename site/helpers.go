package site

import (
	"woaddoor/forward"
)

// ForwardCandidates returns the other VMs that may serve requests for this one:
// the live VMs of this data centre and some of each other data centre.
// VMs that recently did not reply to this VM are left out.
func (p *Peers) ForwardCandidates() []forward.Candidate {
	v := p.currentView()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	var out []forward.Candidate
	for _, m := range v.localPeers {
		if !p.unresponsive(m.ControlAddress, now) {
			out = append(out, forward.Candidate{VM: m.VM, Address: m.ControlAddress, DataCentre: m.DataCentre})
		}
	}
	for dc, members := range v.remote {
		distance := 2
		if p.sameRegion(dc) {
			distance = 1
		}
		for _, m := range members {
			if !p.unresponsive(m.ControlAddress, now) {
				out = append(out, forward.Candidate{VM: m.VM, Address: m.ControlAddress, DataCentre: dc, Distance: distance})
			}
		}
	}
	return out
}
