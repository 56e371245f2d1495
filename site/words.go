package site

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"woaddoor/contract"
	"woaddoor/link"
	"woaddoor/quarantine"
	"woaddoor/relay"
	"woaddoor/rollout"
	"woaddoor/scaling"
	"woaddoor/upstream"
	"woaddoor/usage"
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
	// Leaf tells that the teller has the hearer as its hub, and Joins that it
	// knows none yet and asks who is in its data centre.
	Leaf  bool `cbor:"6,keyasint,omitempty"`
	Joins bool `cbor:"7,keyasint,omitempty"`
	// Digest tells of which VMs of its data centre a leaf knows. Its hub answers
	// that it agrees, or with those that are Near, the ones that fell silent of
	// late with them.
	Digest uint64      `cbor:"8,keyasint,omitempty"`
	Agrees bool        `cbor:"13,keyasint,omitempty"`
	Near   []vm.Member `cbor:"9,keyasint,omitempty"`
	// Lacks are links of VMs that a leaf has heard of and its hub has not.
	Lacks []string `cbor:"10,keyasint,omitempty"`
	// Counts are how many VMs data centres have.
	Counts []Count `cbor:"11,keyasint,omitempty"`
	// Deltas are what the teller has learnt since it told last. Whoever knew what
	// was told then need not ask for them.
	Deltas []Pushed `cbor:"12,keyasint,omitempty"`
	// Suspects are contents that end upstreams, as far as something has changed of late.
	Suspects []quarantine.Told `cbor:"14,keyasint,omitempty"`
	// LimitsDigest tells which limits of upstreams the teller knows to hold. Whoever is asked
	// and knows others answers with Limits: what was told of them at once may be lost, and a
	// VM that has just started was not told.
	LimitsDigest uint64                `cbor:"15,keyasint,omitempty"`
	Limits       []upstream.LimitKnown `cbor:"16,keyasint,omitempty"`
	// Usage is what a leaf has counted since its hub last answered.
	Usage []usage.Part `cbor:"17,keyasint,omitempty"`
	// Work is what a leaf gives the upstreams of each service to do.
	Work map[contract.ServiceID]scaling.Work `cbor:"19,keyasint,omitempty"`
	// Lease is what the teller knows of the lease under which one VM acts for all; nil
	// when it knows of none.
	Lease *LeaseWord `cbor:"18,keyasint,omitempty"`
}

// Count is how many VMs a data centre has, as counted there an age ago.
type Count struct {
	DataCentre contract.DataCentreID `cbor:"1,keyasint"`
	VMs        int                   `cbor:"2,keyasint"`
	Age        time.Duration         `cbor:"3,keyasint,omitempty"`
}

// Pushed is what changed in one kind of objects after a revision.
type Pushed struct {
	After contract.Revision `cbor:"1,keyasint"`
	Delta Delta             `cbor:"2,keyasint"`
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

// hears says what a word has to tell its hearer.
type hears uint8

const (
	// hearsNear is a hub, told by its leaf, or a leaf, told by its hub.
	hearsNear hears = iota
	// hearsHub is another hub of the data centre.
	hearsHub
	// hearsFar is a VM of another data centre.
	hearsFar
)

// evidenceFor are what each hears of releases on trial.
var evidenceFor = map[hears]rollout.Hearer{hearsNear: rollout.HearsNear, hearsHub: rollout.HearsHub, hearsFar: rollout.HearsFar}

// word returns what this VM tells.
func (p *Peers) word(to hears) Word {
	v := p.look()
	p.mu.Lock()
	now := p.now()
	w := Word{Self: p.table.Self(), Counts: p.countsLocked(now)}
	switch to {
	case hearsNear:
		w.Members = p.childrenLocked(now)
	case hearsHub:
		w.Members = append(p.childrenLocked(now), p.farLocked(v)...)
	case hearsFar:
		w.Members = p.delegatesLocked(v)
	}
	kinds := slices.Collect(maps.Values(p.kinds))
	t := p.trials
	p.mu.Unlock()
	if to != hearsNear {
		w.Lease = p.leaseWord()
	}
	if t != nil {
		w.Evidence, w.Orders, w.Suspects = t.Evidence(evidenceFor[to]), t.OrderAges(), t.Suspects()
		w.LimitsDigest = t.LimitsDigest()
	}
	for _, s := range kinds {
		if have, known := s.status(); known {
			w.Have = append(w.Have, have)
		}
	}
	return w
}

// countsLocked returns how many VMs data centres have. The caller holds mu.
func (p *Peers) countsLocked(now time.Time) []Count {
	out := make([]Count, 0, len(p.counts))
	for dc, c := range p.counts {
		out = append(out, Count{dc, c.n, now.Sub(c.at)})
	}
	return out
}

// farLocked returns the VMs that speak for other data centres. The caller holds mu.
func (p *Peers) farLocked(v *view) []vm.Member {
	var out []vm.Member
	for _, members := range v.far {
		out = append(out, members...)
	}
	return out
}

// delegatesLocked returns the VMs that speak for this data centre. The caller holds
// mu.
func (p *Peers) delegatesLocked(v *view) []vm.Member {
	return slices.Clone(v.ranked[:min(speakers, len(v.ranked))])
}

// wordToHub returns what this leaf tells its hub.
func (p *Peers) wordToHub() Word {
	w := p.word(hearsNear)
	w.Leaf, w.Digest = true, p.look().digest
	p.mu.Lock()
	defer p.mu.Unlock()
	w.Lacks = slices.Sorted(maps.Values(p.missing))
	return w
}

// tell sends a word, takes in the one that comes back, and tells whether any did.
func (p *Peers) tell(ctx context.Context, address string, within time.Duration, w Word) bool {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	got, err := link.Call[Word, Word](ctx, p.endpoint, address, link.KindWord, w)
	p.answered(address, err)
	if err != nil {
		return false
	}
	p.meet(got, true)
	p.settle(got)
	p.hearLease(got.Lease)
	p.agreeOnLimits(got)
	p.heard(context.WithoutCancel(ctx), got)
	return true
}

func (p *Peers) answerWord(ctx context.Context, _ string, w Word) (Word, error) {
	p.meet(w, false)
	p.hearUsage(w.Usage)
	p.hearWork(p.leafWork, lifeOf(w.Self), w.Work)
	p.hearLease(w.Lease)
	go p.heard(context.WithoutCancel(ctx), w)
	answer := p.wordBack(w)
	if t := p.judged(); t != nil && answer.LimitsDigest != w.LimitsDigest {
		answer.Limits = t.Limits()
	}
	return answer, nil
}

// wordBack returns what this VM tells one that has told it a word.
func (p *Peers) wordBack(w Word) Word {
	switch {
	case w.Joins:
		return p.welcome(w.Self.DataCentre)
	case w.Self.DataCentre != p.dc:
		return p.word(hearsFar)
	case w.Leaf:
		return p.wordToLeaf(w)
	case p.look().isHub:
		return p.word(hearsHub)
	}
	return p.word(hearsNear)
}

// agreeOnLimits takes in the limits that another VM has answered with, and tells it of those
// that it does not know.
func (p *Peers) agreeOnLimits(got Word) {
	t := p.judged()
	if t == nil {
		return
	}
	t.HearLimits(got.Limits, false, got.Self.VM)
	if t.LimitsDigest() == got.LimitsDigest {
		return
	}
	p.noteReads(got.Self, newer(t.Limits(), got.Limits), false)
}

// newer returns what is known of limits that another VM does not know or knows an older
// version of. That one which it does not know is over is nothing to it.
func newer(known, others []upstream.LimitKnown) []told {
	versions := make(map[contract.Life]uint64, len(others))
	for _, k := range others {
		versions[k.Life] = k.Version
	}
	var list []told
	for _, k := range known {
		version, has := versions[k.Life]
		if has && k.Version > version || !has && k.Limit.Word == upstream.LimitNamed {
			list = append(list, told{limit: &k})
		}
	}
	return list
}

// judged returns who learns of upstreams from other VMs; nil before there is one.
func (p *Peers) judged() trials {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.trials
}

// farSeldom is one in how many words tells a leaf who speaks for other data centres:
// it needs them only when it takes the place of a hub.
const farSeldom = 10

// wordToLeaf answers a leaf: with all that are near where its digest differs.
func (p *Peers) wordToLeaf(asked Word) Word {
	w := p.word(hearsNear)
	v := p.look()
	w.Members, w.Agrees = nil, v.digest == asked.Digest
	if w.Agrees && rand.IntN(farSeldom) != 0 {
		return w
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	w.Members = p.farLocked(v)
	if w.Agrees {
		return w
	}
	w.Near = append(slices.Clone(v.near), p.table.Self())
	w.Near = append(w.Near, p.silentNear(2*vm.DeadAfter, p.now())...)
	return w
}

// welcome tells a VM that looks for others who is known of its data centre.
func (p *Peers) welcome(dc contract.DataCentreID) Word {
	w := p.word(hearsFar)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.table.Live(p.now()) {
		if m.DataCentre == dc && m.VM != p.table.Self().VM {
			w.Members = append(w.Members, m)
		}
	}
	return w
}
