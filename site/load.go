package site

import (
	"time"

	"woaddoor/contract"
	"woaddoor/scaling"
)

// loadReports holds the load that VMs put on the upstreams of each service,
// as last reported by each VM.
type loadReports map[contract.VMInstance]loadReport

// loadReport is the load on each service as one VM reported it, and the time of the report.
type loadReport struct {
	load map[contract.ServiceID]scaling.Load
	at   time.Time
}

// loadExpiry is how long the report of a VM on its load is used.
// Without a newer report, the VM has ended or has another hub.
const loadExpiry = 2 * time.Second

// addTo adds the recently reported loads to total and deletes the older reports.
func (r loadReports) addTo(total map[contract.ServiceID]scaling.Load, now time.Time) {
	for instance, reported := range r {
		if now.Sub(reported.at) > loadExpiry {
			delete(r, instance)
			continue
		}
		for id, x := range reported.load {
			total[id] = total[id].Add(x)
		}
	}
}

// localLoad returns the load that this VM puts on upstreams.
// The load is nil if the deployment has no lease, because only a lease holder would use the load.
// The load is also nil before a relay is attached.
func (p *Peers) localLoad() map[contract.ServiceID]scaling.Load {
	exchange := p.relayOrNil()
	if p.lease == nil || exchange == nil {
		return nil
	}
	return exchange.OfferedLoad()
}

// recordLoad records the load reported by a leaf (a VM that uses this VM as its hub),
// or by a hub for itself and its leaves.
func (p *Peers) recordLoad(reports loadReports, from contract.VMInstance, load map[contract.ServiceID]scaling.Load) {
	if len(load) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	reports[from] = loadReport{load, p.now()}
}

// localAndLeafLoad returns the load that this VM and its leaves put on upstreams.
func (p *Peers) localAndLeafLoad() map[contract.ServiceID]scaling.Load {
	load := make(map[contract.ServiceID]scaling.Load)
	for id, l := range p.localLoad() {
		load[id] = l
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leafLoad.addTo(load, p.now())
	return load
}

// TotalLoad returns the load that all VMs put on the upstreams of each service,
// as far as the load was reported to this VM. All hubs report the load to the lease holder.
func (p *Peers) TotalLoad() map[contract.ServiceID]scaling.Load {
	load := p.localAndLeafLoad()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hubLoad.addTo(load, p.now())
	return load
}
