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
	"woaddoor/relay"
	"woaddoor/upstream"
	"woaddoor/vm"
)

// Reads is a message of what VMs have sent to upstreams and seen there. One that is
// lost or late makes the hearer choose a little worse, and nothing else.
type Reads struct {
	Sent []relay.Sent `cbor:"1,keyasint,omitempty"`
	// PassOn asks the hearer to tell the VMs of its own data centre.
	PassOn bool `cbor:"2,keyasint,omitempty"`
	// Opinions are what models think of answers.
	Opinions []relay.Opinion `cbor:"3,keyasint,omitempty"`
	// From is the VM that tells.
	From contract.VMID `cbor:"4,keyasint,omitempty"`
	// Rests are what upstreams have asked other VMs for.
	Rests []relay.Rest `cbor:"5,keyasint,omitempty"`
	// Limits are what the teller knows of upstreams' limits.
	Limits []upstream.LimitKnown `cbor:"6,keyasint,omitempty"`
}

// Timings and bounds of Reads.
const (
	// readsEvery is the least time between two rounds of a VM's own Reads: a
	// prompt takes an engine longer than that to read, and one message tells what
	// came together.
	readsEvery = 15 * time.Millisecond
	// relayEvery is the least time between two rounds in which a hub passes on what
	// others told: half of it is the mean age that it adds, against readings of 50
	// to 300 ms, and each round is a message to each leaf.
	relayEvery = 100 * time.Millisecond
	// maxReads bounds what waits to be told, and noteReads and noteOpinions what one
	// message tells, so that it fits into a packet.
	maxReads     = 512
	noteReads    = 10
	noteOpinions = 8
	noteRests    = 16
	noteLimits   = 16
	// regionMost is up to how many VMs those of other data centres are told too.
	regionMost = 12
)

// sends gathers what is to be told.
type sends struct {
	// own spaces the rounds of a VM's own sends, passed those of a hub.
	own, passed *spaced

	// mu guards the fields below: what this VM has sent and learnt itself, and what
	// it passes on as a hub.
	mu      sync.Mutex
	waiting []told
	relayed []told
}

// told is one thing to be told, and who has told of it.
type told struct {
	from contract.VMID
	// here tells that the other hubs of this data centre have heard of it.
	here    bool
	sent    *relay.Sent
	opinion *relay.Opinion
	rest    *relay.Rest
	limit   *upstream.LimitKnown
	// far tells that other data centres hear of it however many VMs there are.
	far bool
}

// add puts something into a list that is told in rounds.
func (s *sends) add(list *[]told, t told) {
	if len(*list) < maxReads {
		*list = append(*list, t)
	}
}

// Sent has other VMs told of a prompt, without waiting.
func (p *Peers) Sent(s relay.Sent) { p.tellSoon(told{sent: &s}) }

// Opinion has other VMs told what a model thinks of an answer, with the next prompt
// that they are told of: it is not urgent.
func (p *Peers) Opinion(o relay.Opinion) {
	p.sends.mu.Lock()
	defer p.sends.mu.Unlock()
	p.sends.add(&p.sends.waiting, told{opinion: &o})
}

// Rest has other VMs told that an upstream has asked this one for a rest, without waiting.
func (p *Peers) Rest(r relay.Rest) { p.tellSoon(told{rest: &r}) }

// Limit has other VMs told of an upstream's limit, without waiting; those of other data
// centres too if it says so.
func (p *Peers) Limit(k upstream.LimitKnown, far bool) { p.tellSoon(told{limit: &k, far: far}) }

// tellSoon has other VMs told of something in this VM's next round.
func (p *Peers) tellSoon(t told) {
	p.sends.mu.Lock()
	p.sends.add(&p.sends.waiting, t)
	p.sends.mu.Unlock()
	p.sends.own.ask(p.tellReads)
}

// tellReads tells what this VM has sent: its hub, which passes it on; as a hub, the
// other hubs and its leaves. Where VMs are few, each other data centre is told too, and
// of what is far wherever.
func (p *Peers) tellReads() {
	p.sends.mu.Lock()
	list := p.sends.waiting
	p.sends.waiting = nil
	p.sends.mu.Unlock()
	v := p.look()
	if !v.isHub {
		for _, m := range p.hubOf(v)[:min(1, len(v.hubs))] {
			p.noteReads(m, list, false)
		}
	} else {
		p.passReads(list)
	}
	if !v.group.Region {
		list = slices.DeleteFunc(slices.Clone(list), func(t told) bool { return !t.far })
		if len(list) == 0 {
			return
		}
	}
	for _, m := range p.oneFar(v) {
		p.noteReads(m, list, true)
	}
}

// passReads has a hub pass something on in its next round: at once while it has no
// leaves, whose number is what makes rounds dear.
func (p *Peers) passReads(list []told) {
	p.sends.mu.Lock()
	for _, t := range list {
		p.sends.add(&p.sends.relayed, t)
	}
	p.sends.mu.Unlock()
	if !p.hasLeaves() {
		p.relayReads()
		return
	}
	p.sends.passed.ask(p.relayReads)
}

// relayReads tells the other hubs what this hub and its leaves have sent, and its
// leaves what all have. Nobody is told what it has told itself.
func (p *Peers) relayReads() {
	p.sends.mu.Lock()
	list := p.sends.relayed
	p.sends.relayed = nil
	p.sends.mu.Unlock()
	for _, m := range p.otherHubs(p.look()) {
		p.noteReads(m, heardBy(list, m.VM, true), false)
	}
	for _, m := range p.children() {
		p.noteReads(m, heardBy(list, m.VM, false), false)
	}
}

// heardBy returns what a VM is told, as a hub or as a leaf.
func heardBy(list []told, to contract.VMID, hub bool) []told {
	return slices.DeleteFunc(slices.Clone(list), func(t told) bool { return !t.goesTo(to, hub) })
}

// goesTo tells whether a VM is told of something: not of what it has told itself, also
// where it is a leaf here and a hub by its own view; a hub not of what all hubs know.
func (t told) goesTo(to contract.VMID, hub bool) bool { return t.from != to && !(hub && t.here) }

// noteReads tells a VM, without waiting, in messages that each fit into a packet.
func (p *Peers) noteReads(to vm.Member, list []told, passOn bool) {
	from := p.Watcher().VM
	var messages []Reads
	m := Reads{From: from, PassOn: passOn}
	for _, t := range list {
		switch {
		case t.sent != nil:
			m.Sent = append(m.Sent, *t.sent)
		case t.rest != nil:
			m.Rests = append(m.Rests, *t.rest)
		case t.limit != nil:
			m.Limits = append(m.Limits, *t.limit)
		default:
			m.Opinions = append(m.Opinions, *t.opinion)
		}
		if len(m.Sent) == noteReads || len(m.Opinions) == noteOpinions || len(m.Rests) == noteRests || len(m.Limits) == noteLimits {
			messages = append(messages, m)
			m = Reads{From: from, PassOn: passOn}
		}
	}
	if len(m.Sent)+len(m.Opinions)+len(m.Rests)+len(m.Limits) > 0 {
		messages = append(messages, m)
	}
	if len(messages) == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), nearTimeout)
		defer cancel()
		for _, m := range messages {
			if err := link.Note(ctx, p.endpoint, to.ControlLink, link.KindReads, m); err != nil {
				p.silent(err)
				return
			}
		}
	}()
}

// oneFar returns a VM of each other data centre of the region, drawn from those
// that speak for it.
func (p *Peers) oneFar(v *view) []vm.Member {
	var drawn []vm.Member
	for _, dc := range slices.Sorted(maps.Keys(v.far)) {
		if members := v.far[dc]; len(members) > 0 && p.sameRegion(dc) {
			drawn = append(drawn, members[rand.IntN(len(members))])
		}
	}
	return drawn
}

func (p *Peers) answerReads(_ context.Context, _ string, m Reads) (struct{}, error) {
	p.mu.Lock()
	t := p.trials
	_, child := p.leaves[m.From]
	p.mu.Unlock()
	if t != nil {
		t.HearSent(m.Sent)
		t.HearOpinions(m.Opinions)
		t.HearRests(m.Rests)
		t.HearLimits(m.Limits, true, m.From)
	}
	// What a leaf or another data centre tells goes to the other hubs and to the
	// leaves, what another hub tells to the leaves alone.
	if m.PassOn || child || p.hasLeaves() {
		p.passReads(m.list(!child && !m.PassOn))
	}
	return struct{}{}, nil
}

// list returns what a message tells, one by one.
func (m Reads) list(here bool) []told {
	var out []told
	for i := range m.Sent {
		out = append(out, told{from: m.From, here: here, sent: &m.Sent[i]})
	}
	for i := range m.Opinions {
		out = append(out, told{from: m.From, here: here, opinion: &m.Opinions[i]})
	}
	for i := range m.Rests {
		out = append(out, told{from: m.From, here: here, rest: &m.Rests[i]})
	}
	for i := range m.Limits {
		out = append(out, told{from: m.From, here: here, limit: &m.Limits[i]})
	}
	return out
}
