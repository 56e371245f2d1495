package site

import (
	"time"

	"woaddoor/contract"
	"woaddoor/scaling"
)

// works is what VMs give the upstreams of each service to do, as they told last.
type works map[contract.VMLife]heardWork

type heardWork struct {
	work map[contract.ServiceID]scaling.Work
	at   time.Time
}

// workFor is for how long a VM's word of its work counts: that of one that has ended, or has
// another hub, is not counted for longer.
const workFor = 2 * time.Second

// sum adds what was told of late to work, and forgets the rest.
func (w works) sum(work map[contract.ServiceID]scaling.Work, now time.Time) {
	for life, heard := range w {
		if now.Sub(heard.at) > workFor {
			delete(w, life)
			continue
		}
		for id, x := range heard.work {
			work[id] = work[id].Plus(x)
		}
	}
}

// ownWork returns what this VM gives upstreams to do; nil where nobody asks.
func (p *Peers) ownWork() map[contract.ServiceID]scaling.Work {
	t := p.judged()
	if p.lease == nil || t == nil {
		return nil
	}
	return t.Work()
}

// hearWork takes in what a leaf, or a hub with its leaves, gives upstreams to do.
func (p *Peers) hearWork(to works, from contract.VMLife, work map[contract.ServiceID]scaling.Work) {
	if len(work) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	to[from] = heardWork{work, p.now()}
}

// gatheredWork returns what this VM and its leaves give upstreams to do.
func (p *Peers) gatheredWork() map[contract.ServiceID]scaling.Work {
	work := make(map[contract.ServiceID]scaling.Work)
	for id, w := range p.ownWork() {
		work[id] = w
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leafWork.sum(work, p.now())
	return work
}

// AllWork returns what all VMs give the upstreams of each service to do, as far as this one
// was told: the holder of the lease is told by all hubs.
func (p *Peers) AllWork() map[contract.ServiceID]scaling.Work {
	work := p.gatheredWork()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hubWork.sum(work, p.now())
	return work
}
