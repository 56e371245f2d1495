package site

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"woaddoor/contract"
	"woaddoor/link"
	"woaddoor/logs"
	"woaddoor/relay"
	"woaddoor/vm"
)

// Reads is a message of the prompts that a VM has sent to upstreams. One that is
// lost or late makes the hearer choose a little worse, and nothing else.
type Reads struct {
	Sent []relay.Sent `cbor:"1,keyasint"`
	// PassOn asks the hearer to tell the VMs of its own data centre.
	PassOn bool `cbor:"2,keyasint,omitempty"`
	// Opinions are what models think of answers that the teller got.
	Opinions []relay.Opinion `cbor:"3,keyasint,omitempty"`
}

// Timings and bounds of Reads.
const (
	// readsEvery is the least time between two rounds of Reads of one VM: a
	// prompt takes an engine longer than that to read, and one message tells what
	// came together.
	readsEvery = 15 * time.Millisecond
	// maxReads bounds what one message tells, and with it the memory that waits.
	maxReads = 64
)

// sends gathers what is to be told.
type sends struct {
	round *spaced

	// mu guards waiting.
	mu      sync.Mutex
	waiting Reads
}

// Sent has the VMs of this data centre told of a prompt, without waiting.
func (p *Peers) Sent(s relay.Sent) {
	p.sends.mu.Lock()
	if len(p.sends.waiting.Sent) < maxReads {
		p.sends.waiting.Sent = append(p.sends.waiting.Sent, s)
	}
	p.sends.mu.Unlock()
	p.sends.round.ask(p.tellReads)
}

// Opinion has the VMs told what a model thinks of an answer, with the next prompt
// that they are told of: it is not urgent.
func (p *Peers) Opinion(o relay.Opinion) {
	p.sends.mu.Lock()
	defer p.sends.mu.Unlock()
	if len(p.sends.waiting.Opinions) < maxReads {
		p.sends.waiting.Opinions = append(p.sends.waiting.Opinions, o)
	}
}

func (p *Peers) tellReads() {
	p.sends.mu.Lock()
	m := p.sends.waiting
	p.sends.waiting = Reads{}
	p.sends.mu.Unlock()
	if len(m.Sent) == 0 {
		return
	}
	p.tellReadsNear(m)
	m.PassOn = true
	for _, member := range p.oneFar() {
		go p.tellReadsTo(member.ControlLink, m)
	}
}

func (p *Peers) tellReadsNear(m Reads) {
	p.mu.Lock()
	near := p.table.Near(p.now())
	p.mu.Unlock()
	for _, member := range near {
		go p.tellReadsTo(member.ControlLink, m)
	}
}

// oneFar returns a VM of each other data centre of the region, drawn from those
// that speak for it.
func (p *Peers) oneFar() []vm.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	drawn := make(map[contract.DataCentreID]vm.Member)
	seen := make(map[contract.DataCentreID]int)
	for _, m := range p.table.Far(speakers, p.now()) {
		seen[m.DataCentre]++
		if p.sameRegion(m.DataCentre) && rand.IntN(seen[m.DataCentre]) == 0 {
			drawn[m.DataCentre] = m
		}
	}
	return slices.Collect(maps.Values(drawn))
}

func (p *Peers) tellReadsTo(address string, m Reads) {
	ctx, cancel := context.WithTimeout(context.Background(), wordTimeout)
	defer cancel()
	if _, err := link.Call[Reads, struct{}](ctx, p.endpoint, address, link.KindReads, m); err != nil {
		p.log.Debug("peer-silent", logs.Failure(err)...)
	}
}

func (p *Peers) answerReads(_ context.Context, _ string, m Reads) (struct{}, error) {
	p.mu.Lock()
	t := p.trials
	p.mu.Unlock()
	if t != nil {
		t.HearSent(m.Sent)
		t.HearOpinions(m.Opinions)
	}
	if m.PassOn {
		m.PassOn = false
		go p.tellReadsNear(m)
	}
	return struct{}{}, nil
}
