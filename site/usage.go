package site

import (
	"context"
	"time"

	"woaddoor/clock"
	"woaddoor/contract"
	"woaddoor/link"
	"woaddoor/scaling"
	"woaddoor/usage"
	"woaddoor/vm"
)

// Gathered is what a hub has gathered of usage since the VM that reports it last answered.
// One that is lost or comes twice changes nothing: the next one tells the same or more.
type Gathered struct {
	From       contract.VMLife       `cbor:"1,keyasint"`
	DataCentre contract.DataCentreID `cbor:"2,keyasint"`
	Parts      []usage.Part          `cbor:"3,keyasint,omitempty"`
	// Work is what the teller and its leaves give the upstreams of each service to do.
	Work map[contract.ServiceID]scaling.Work `cbor:"5,keyasint,omitempty"`
	// Ends tells that the teller is about to end, and is not to be waited for.
	Ends bool `cbor:"4,keyasint,omitempty"`
}

// gatherEvery is how often a hub tells what it has gathered. What a VM or a whole data
// centre had not told when it is lost is missing from a report.
const gatherEvery = 500 * time.Millisecond

// lifeOf names the life of a VM that tells of itself.
func lifeOf(m vm.Member) contract.VMLife {
	return contract.VMLife{VM: m.VM, Incarnation: m.Incarnation}
}

// usageFor returns what a hearer is to be told of usage, and the mark of that.
func (p *Peers) usageFor(hearer contract.VMLife) ([]usage.Part, uint64) {
	if p.usage == nil {
		return nil, 0
	}
	return p.usage.For(hearer)
}

// usageAnswered notes that a hearer knows of usage up to a mark.
func (p *Peers) usageAnswered(hearer contract.VMLife, mark uint64) {
	if p.usage != nil {
		p.usage.Answered(hearer, mark)
	}
}

func (p *Peers) hearUsage(parts []usage.Part) {
	if p.usage != nil {
		p.usage.Hear(parts)
	}
}

// gather tells the holder of the lease what this hub has gathered, until ctx ends.
func (p *Peers) gather(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Pause(ctx, gatherEvery)
		if p.look().isHub && !p.ends.Load() {
			p.gatherOnce(ctx)
		}
	}
}

// gatherOnce tells the holder of the lease what this VM knows of usage.
func (p *Peers) gatherOnce(ctx context.Context) {
	if p.lease == nil {
		return
	}
	seen, _, _ := p.lease.Known()
	to := seen.Object.Holder
	address := p.holderLink(to)
	p.mu.Lock()
	self := p.table.Self()
	p.mu.Unlock()
	if address == "" || to == lifeOf(self) {
		return
	}
	g := Gathered{From: lifeOf(self), DataCentre: self.DataCentre, Ends: p.ends.Load()}
	var mark uint64
	g.Parts, mark = p.usageFor(to)
	g.Work = p.gatheredWork()
	ctx, cancel := context.WithTimeout(ctx, farTimeout)
	defer cancel()
	if _, err := link.Call[Gathered, struct{}](ctx, p.endpoint, address, link.KindUsage, g); err != nil {
		p.silent(err) // told again with the next
		return
	}
	p.usageAnswered(to, mark)
}

// answerGathered takes in what another hub has gathered.
func (p *Peers) answerGathered(_ context.Context, _ string, g Gathered) (struct{}, error) {
	p.hearWork(p.hubWork, g.From, g.Work)
	if p.usage != nil {
		p.usage.Hear(g.Parts)
		p.usage.Gathered(g.From, g.DataCentre, g.Ends)
	}
	return struct{}{}, nil
}

// LastUsage tells what this VM has counted, for the last time: it is about to end.
func (p *Peers) LastUsage(ctx context.Context) {
	p.ends.Store(true)
	v := p.look()
	if !v.isHub {
		p.beatHub(ctx, v)
		return
	}
	p.gatherOnce(ctx)
}

// Centres returns the data centres that have VMs, as far as is known.
func (p *Peers) Centres() []contract.DataCentreID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []contract.DataCentreID
	for dc, c := range p.counts {
		if c.n > 0 {
			out = append(out, dc)
		}
	}
	return out
}
