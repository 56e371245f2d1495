package site

import (
	"time"

	"woaddoor/contract"
	"woaddoor/scaling"
)

// workReports holds the work that VMs give to the upstreams of each service, as last
// reported by each VM.
type workReports map[contract.VMInstance]workReport

type workReport struct {
	work map[contract.ServiceID]scaling.Load
	at   time.Time
}

// workExpiry is how long a VM's report of its work counts. Without a newer report, the VM
// has ended or has another hub.
const workExpiry = 2 * time.Second

// addTo adds the recent reports to work and deletes the others.
func (w workReports) addTo(work map[contract.ServiceID]scaling.Load, now time.Time) {
	for life, reported := range w {
		if now.Sub(reported.at) > workExpiry {
			delete(w, life)
			continue
		}
		for id, x := range reported.work {
			work[id] = work[id].Add(x)
		}
	}
}

// localWork returns the work that this VM gives to upstreams, or nil if there is no lease
// holder to use it.
func (p *Peers) localWork() map[contract.ServiceID]scaling.Load {
	exchange := p.relayOrNil()
	if p.lease == nil || exchange == nil {
		return nil
	}
	return exchange.OfferedLoad()
}

// recordWork records the work reported by a leaf, or by a hub including its leaves.
func (p *Peers) recordWork(reports workReports, from contract.VMInstance, work map[contract.ServiceID]scaling.Load) {
	if len(work) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	reports[from] = workReport{work, p.now()}
}

// localAndLeafWork returns the work that this VM and its leaves give to upstreams.
func (p *Peers) localAndLeafWork() map[contract.ServiceID]scaling.Load {
	work := make(map[contract.ServiceID]scaling.Load)
	for id, w := range p.localWork() {
		work[id] = w
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leafWork.addTo(work, p.now())
	return work
}

// TotalWork returns the work that all VMs give to the upstreams of each service, as far as
// it was reported to this VM. All hubs report it to the lease holder.
func (p *Peers) TotalWork() map[contract.ServiceID]scaling.Load {
	work := p.localAndLeafWork()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hubWork.addTo(work, p.now())
	return work
}
