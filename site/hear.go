package site

import (
	"context"
	"time"

	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/link"
	"woaddoor/logs"
	"woaddoor/vm"
)

// aloneFor is how long after its start a VM takes itself for the first of its data
// centre when only others have answered it.
const aloneFor = 1500 * time.Millisecond

// settle notes that this VM knows where it stands: one of its own data centre has
// answered it, or for a while only others have.
func (p *Peers) settle(got Word) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.settled && (got.Self.DataCentre == p.dc || p.now().Sub(p.started) > aloneFor) {
		p.settled = true
		p.changed.Store(true)
	}
}

// meet takes in of whom a word tells. asked tells that it answers one of this VM.
func (p *Peers) meet(w Word, asked bool) {
	p.mu.Lock()
	now := p.now()
	before := len(p.ips)
	p.meetOne(w.Self, 0, now)
	for _, m := range w.Members {
		p.meetOne(m, m.Age, now)
	}
	if w.Self.DataCentre == p.dc {
		p.meetNear(w, asked, now)
	}
	for _, c := range w.Counts {
		if c.DataCentre != p.dc {
			p.counted(c.DataCentre, c.VMs, now.Add(-c.Age), now)
		}
	}
	if w.Leaf {
		p.leaves[w.Self.VM] = leaf{w.Self, now}
	}
	changed := len(p.ips) != before
	p.mu.Unlock()
	if changed {
		p.changed.Store(true)
	}
}

func (p *Peers) meetOne(m vm.Member, age time.Duration, now time.Time) {
	if !p.table.Knows(m) {
		p.changed.Store(true)
		if m.DataCentre != p.dc {
			p.far.Store(m.ControlLink, true)
		}
	}
	m.Age = age
	p.table.Heard(m, now)
	p.know(m.ControlLink)
}

// meetNear takes in what a VM of this data centre tells of the others there. The
// caller holds mu.
func (p *Peers) meetNear(w Word, asked bool, now time.Time) {
	for _, a := range w.Lacks {
		p.candidate(a)
	}
	switch {
	case !asked:
	case len(w.Near) > 0:
		p.noteMissing(w.Near, now)
		p.table.Told(w.Near, now)
		for _, m := range w.Near {
			p.know(m.ControlLink)
		}
		p.changed.Store(true)
	case w.Agrees:
		clear(p.missing)
		p.table.Agreed(now)
	}
}

// noteMissing notes which VMs this one thinks live that its hub does not know. The
// caller holds mu.
func (p *Peers) noteMissing(near []vm.Member, now time.Time) {
	clear(p.missing)
	known := make(map[contract.VMID]bool, len(near))
	for _, m := range near {
		known[m.VM] = true
	}
	for _, m := range p.table.Live(now) {
		if m.DataCentre == p.dc && !known[m.VM] {
			p.missing[m.VM] = m.ControlLink
		}
	}
}

// heard takes in what a word tells of objects and of releases, and asks its teller
// for what is newer there.
func (p *Peers) heard(ctx context.Context, w Word) {
	t := p.judged()
	near := w.Self.DataCentre == p.dc
	if t != nil {
		worse := t.Hear(w.Evidence)
		if t.HearSuspects(w.Suspects, w.Self.VM) || worse {
			p.grave.ask(func() { p.passOnGrave(ctx, near) })
		}
		t.HearAges(w.Orders)
	}
	news, fresher := false, false
	for _, h := range w.Have {
		s := p.kind(h.Kind)
		if s == nil {
			continue
		}
		news = p.push(w, s, h) || news
		c := s.compare(h)
		if c.Lacks && p.mayPull(near) {
			news = p.pull(ctx, w.Self, s, c.Wanted, h) || news
		}
		fresher = fresher || c.Fresher
	}
	switch {
	case news:
		p.news.ask(func() { p.passOn(ctx, near) })
	case fresher && !near:
		p.pulse.ask(func() { p.tellHubs(ctx, nil) })
	}
}

// push takes in what a word brings of a kind, if this VM knows all before it.
func (p *Peers) push(w Word, s shared, h Have) bool {
	for _, d := range w.Deltas {
		if d.Delta.Kind != h.Kind {
			continue
		}
		have, known := s.status()
		if !known || have.At < d.After || have.Last >= h.Last {
			continue
		}
		delta, err := d.Delta.unpack()
		if err != nil {
			p.log.Warn("push-malformed", zap.String("kind", h.Kind), zap.String("peer", string(w.Self.VM)), zap.Error(err))
			continue
		}
		s.feed(delta, h, string(w.Self.VM))
		return true
	}
	return false
}

// pullWait is how long a VM that has just started waits for one of its own data
// centre to hand over what others know too: bytes between data centres are paid
// for, and a start needs tens of kilobytes.
const pullWait = 2 * time.Second

// pullPatience is after how long another VM is asked while one still hands over: it
// may be frozen, and changes have to be known within seconds.
const pullPatience = 1200 * time.Millisecond

// mayPull tells whether this VM asks a VM for what is newer there: of another data
// centre only where it stands for its own.
func (p *Peers) mayPull(near bool) bool {
	if near {
		return true
	}
	v := p.look()
	return v.isHub && v.place.Near < speakers || len(v.near) == 0 && p.now().Sub(p.started) > pullWait
}

// pull asks a VM for the changes of a kind, unless they are being handed over, and
// tells whether it got them. Each word of a newer revision asked for the same list once
// more, of the same hub.
func (p *Peers) pull(ctx context.Context, from vm.Member, s shared, want Wanted, has Have) bool {
	if !p.beginPull(want.Kind, from.VM) {
		return false
	}
	defer p.endPull(want.Kind, from.VM)
	within := farTimeout
	if from.DataCentre == p.dc {
		within = pullTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	d, err := link.Call[Wanted, Delta](ctx, p.endpoint, from.ControlLink, link.KindChanges, want)
	if err == nil {
		d, err = d.unpack()
	}
	if err != nil {
		p.log.Warn("pull-failed", append(logs.Failure(err), zap.String("kind", want.Kind))...)
		return false
	}
	s.feed(d, has, string(from.VM))
	return true
}

// pulling is a kind that is being handed over.
type pulling struct {
	from  contract.VMID
	since time.Time
}

// beginPull notes that a kind is being handed over by a VM, unless it is already: by
// the same one, or by another that has not been silent for long.
func (p *Peers) beginPull(kind string, from contract.VMID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if under, ok := p.pulling[kind]; ok && (under.from == from || now.Sub(under.since) < pullPatience) {
		return false
	}
	p.pulling[kind] = pulling{from, now}
	return true
}

func (p *Peers) endPull(kind string, from contract.VMID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pulling[kind].from == from {
		delete(p.pulling, kind)
	}
}

func (p *Peers) answerChanges(_ context.Context, _ string, w Wanted) (Delta, error) {
	s := p.kind(w.Kind)
	if s == nil {
		return Delta{}, ErrNotFound
	}
	have, _ := s.status()
	if d, ok := p.packs.full(w.Kind, have.At); ok && !w.Holds {
		return d, nil
	}
	d, err := p.packs.pack(s.since(w.After, w.Holds))
	if err == nil && d.Full {
		p.packs.keep(d)
	}
	return d, err
}
