package site

import (
	"cmp"
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
	"woaddoor/upstream"
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
	if !p.Group().Region {
		return
	}
	m.PassOn = true
	for _, member := range p.oneFar() {
		go p.tellReadsTo(member.ControlLink, m)
	}
}

// tellReadsNear tells the other VMs of this VM's cell.
func (p *Peers) tellReadsNear(m Reads) {
	p.mu.Lock()
	mates, _ := p.cell()
	p.mu.Unlock()
	for _, member := range mates {
		go p.tellReadsTo(member.ControlLink, m)
	}
}

// Sizes of the groups in which VMs tell each other what they send.
const (
	// cellSize is how many VMs of a data centre tell each other: messages grow
	// with the VMs of a cell, and not with all. With eight messages a second each,
	// six VMs take about 0.5% of a core each.
	cellSize = 6
	// regionMost is up to how many VMs those of other data centres are told too.
	regionMost = 12
)

// cell returns the other VMs of this VM's cell, and which cell that is. VMs of a
// data centre that know of the same others agree. The caller holds mu.
func (p *Peers) cell() ([]vm.Member, upstream.Group) {
	now := p.now()
	near := append(p.table.Near(now), p.table.Self())
	slices.SortFunc(near, func(a, b vm.Member) int { return cmp.Compare(a.VM, b.VM) })
	self := p.table.Self().VM
	n := len(near)
	cells := max((n+cellSize/2)/cellSize, 1)
	own := slices.IndexFunc(near, func(m vm.Member) bool { return m.VM == self }) * cells / n
	var mates []vm.Member
	for i, m := range near {
		if i*cells/n == own && m.VM != self {
			mates = append(mates, m)
		}
	}
	vms := max(len(p.table.Live(now)), len(p.listed)+1)
	return mates, upstream.Group{Cell: own, Cells: cells, Region: vms <= regionMost}
}

// Group returns of which upstreams this VM hears what is sent there.
func (p *Peers) Group() upstream.Group {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, g := p.cell()
	return g
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
