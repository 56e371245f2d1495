package site

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/link"
	"woaddoor/logs"
	"woaddoor/relay"
	"woaddoor/rollout"
	"woaddoor/vm"
)

// Word is what a VM tells another, and gets back: who lives, and which change of
// each kind of objects is the newest that the teller knows. A lost or late word
// changes nothing: the next one tells the same or more.
type Word struct {
	Self    vm.Member   `cbor:"1,keyasint"`
	Members []vm.Member `cbor:"2,keyasint,omitempty"`
	Have    []Have      `cbor:"3,keyasint"`
	// Evidence is what the teller knows to have been counted of releases on
	// trial.
	Evidence rollout.Evidence `cbor:"4,keyasint,omitempty"`
	// Orders are the ages of orders that the teller knows by its own clock.
	Orders []relay.OrderAge `cbor:"5,keyasint,omitempty"`
}

// Have is the revision of the newest change of a kind of objects that is known.
type Have struct {
	Kind string            `cbor:"1,keyasint"`
	Last contract.Revision `cbor:"2,keyasint"`
	// At is the revision up to which the store has said so, Age how long ago.
	At  contract.Revision `cbor:"3,keyasint"`
	Age time.Duration     `cbor:"4,keyasint"`
	// Lead is the first in order of the VMs that are known to watch the kind,
	// and LeadAge how long ago the store has answered it.
	Lead    Watcher       `cbor:"5,keyasint"`
	LeadAge time.Duration `cbor:"6,keyasint"`
}

// Compared is what a word of a peer means for a kind of objects here.
type Compared struct {
	// Lacks tells that the peer knows something newer, which Wanted asks for.
	Lacks  bool
	Wanted Wanted
	// Fresher tells that the store's word became fresher by it.
	Fresher bool
}

// Wanted asks for the changes of a kind after a revision.
type Wanted struct {
	Kind  string            `cbor:"1,keyasint"`
	After contract.Revision `cbor:"2,keyasint"`
	// Holds tells whether the asker knows the kind up to After.
	Holds bool `cbor:"3,keyasint,omitempty"`
}

// Confirmed tells the VMs of this region that the store has nothing newer.
func (p *Peers) Confirmed(ctx context.Context) {
	p.pulse.ask(func() {
		p.tellNear(ctx)
		p.tellFar(ctx, p.sameRegion)
	})
}

// News tells the VMs of this data centre, and some of each other one, at once
// that the store has told of a change.
func (p *Peers) News(ctx context.Context) {
	p.news.ask(func() {
		p.tellNear(ctx)
		p.tellFar(ctx, func(contract.DataCentreID) bool { return true })
	})
}

// tellFar tells those who speak for each other data centre that is wanted.
func (p *Peers) tellFar(ctx context.Context, wanted func(contract.DataCentreID) bool) {
	p.mu.Lock()
	far := p.table.Far(speakers, p.now())
	p.mu.Unlock()
	for _, m := range far {
		if wanted(m.DataCentre) {
			go p.tell(ctx, m.ControlLink, false)
		}
	}
}

func (p *Peers) tellNear(ctx context.Context) {
	p.mu.Lock()
	near := p.table.Near(p.now())
	p.mu.Unlock()
	for _, m := range near {
		go p.tell(ctx, m.ControlLink, true)
	}
}

// word returns what this VM tells one of its own data centre, or of another; to one
// of its own that it had not heard of it tells of all that are near.
func (p *Peers) word(near, newcomer bool) Word {
	p.mu.Lock()
	now := p.now()
	w := Word{Self: p.table.Self(), Members: p.table.Delegates(speakers, now)}
	if near {
		known := p.table.Near(now)
		rand.Shuffle(len(known), func(a, b int) { known[a], known[b] = known[b], known[a] })
		if !newcomer {
			known = known[:min(passedOn, len(known))]
		}
		w.Members = append(w.Members, known...)
	}
	kinds := slices.Collect(maps.Values(p.kinds))
	t := p.trials
	p.mu.Unlock()
	if t != nil {
		w.Evidence, w.Orders = t.Evidence(near), t.OrderAges()
	}
	for _, s := range kinds {
		if have, known := s.status(); known {
			w.Have = append(w.Have, have)
		}
	}
	return w
}

// tell sends a word and takes in the one that comes back.
func (p *Peers) tell(ctx context.Context, address string, near bool) {
	ctx, cancel := context.WithTimeout(ctx, wordTimeout)
	defer cancel()
	got, err := link.Call[Word, Word](ctx, p.endpoint, address, link.KindWord, p.word(near, false))
	if err != nil {
		p.log.Debug("peer-silent", logs.Failure(err)...)
		return
	}
	p.heard(ctx, got)
}

func (p *Peers) answerWord(ctx context.Context, _ string, w Word) (Word, error) {
	p.mu.Lock()
	newcomer := !p.table.Knows(w.Self)
	p.mu.Unlock()
	go p.heard(context.WithoutCancel(ctx), w)
	return p.word(w.Self.DataCentre == p.dc, newcomer), nil
}

// heard takes in a word, and asks its teller for what is newer there.
func (p *Peers) heard(ctx context.Context, w Word) {
	p.mu.Lock()
	now := p.now()
	w.Self.Age = 0
	p.table.Heard(w.Self, now)
	p.know(w.Self.ControlLink)
	for _, m := range w.Members {
		p.table.Heard(m, now)
		p.know(m.ControlLink)
	}
	t := p.trials
	p.mu.Unlock()
	if t != nil {
		t.Hear(w.Evidence)
		t.HearAges(w.Orders)
	}
	news, fresher := false, false
	for _, h := range w.Have {
		s := p.kind(h.Kind)
		if s == nil {
			continue
		}
		c := s.compare(h)
		if c.Lacks {
			p.pull(ctx, w.Self, s, c.Wanted, h)
		}
		news, fresher = news || c.Lacks, fresher || c.Fresher
	}
	if w.Self.DataCentre == p.dc {
		return
	}
	// The others here may have nobody who speaks with that VM.
	switch {
	case news:
		p.news.ask(func() { p.tellNear(ctx) })
	case fresher:
		p.pulse.ask(func() { p.tellNear(ctx) })
	}
}

// pull asks a VM for the changes of a kind.
func (p *Peers) pull(ctx context.Context, from vm.Member, s shared, want Wanted, has Have) {
	ctx, cancel := context.WithTimeout(ctx, wordTimeout)
	defer cancel()
	d, err := link.Call[Wanted, Delta](ctx, p.endpoint, from.ControlLink, link.KindChanges, want)
	if err != nil {
		p.log.Warn("pull-failed", append(logs.Failure(err), zap.String("kind", want.Kind))...)
		return
	}
	s.feed(d, has, string(from.VM))
}

func (p *Peers) answerChanges(_ context.Context, _ string, w Wanted) (Delta, error) {
	s := p.kind(w.Kind)
	if s == nil {
		return Delta{}, ErrNotFound
	}
	return s.since(w.After, w.Holds), nil
}
