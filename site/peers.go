package site

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/link"
	"woaddoor/relay"
	"woaddoor/rollout"
	"woaddoor/vm"
)

// shared is a kind of objects that VMs hand to one another.
type shared interface {
	status() (Have, bool)
	compare(h Have) Compared
	since(after contract.Revision, holds bool) Delta
	feed(d Delta, h Have, from string)
}

// Timings of words.
const (
	// beatEvery is how often a VM tells others. What the store told one VM
	// reaches a data centre's others within two beats, well within the bound for
	// a configuration.
	beatEvery   = 500 * time.Millisecond
	wordTimeout = 900 * time.Millisecond
	// nearBeats is how many VMs of the own data centre are told at each beat;
	// farEvery is how many beats there are for each to another one.
	nearBeats = 2
	farEvery  = 2
	// passedOn is how many others of the own data centre a word to one there
	// tells of: heard of by chance alone, one in seven of 25 would count as dead.
	passedOn = 8
	// speakers is how many VMs of a data centre speak with other ones.
	speakers = 2
	// newsEvery is the least time between two rounds of news of one VM: changes
	// come in bursts of dozens, and one word tells them all.
	newsEvery = 80 * time.Millisecond
	// pulseEvery is the least time between two rounds that tell only that the
	// store has nothing newer: a VM watches several kinds, and half of the
	// shortest watch is fresh enough.
	pulseEvery = 400 * time.Millisecond
	// introduceEvery is how often a VM that knows no other looks for some.
	introduceEvery = time.Second
	// strangersAtOnce is how many of those are told at a time, and strangersAlone
	// how many by a VM that knows nobody. VMs of other data centres are heard of
	// by those who speak for them only, and stay strangers: told all each second,
	// words grew with the square of the VMs.
	strangersAtOnce = 2
	strangersAlone  = 8
)

// Peers keeps the VMs of a deployment in step.
type Peers struct {
	endpoint *link.Endpoint
	log      *zap.Logger
	now      func() time.Time
	dc       contract.DataCentreID
	regions  map[contract.DataCentreID]string
	// news and pulse space the rounds that tell of changes, and that there are
	// none.
	news, pulse *spaced
	// introduce asks for the listed VMs to be told at once.
	introduce chan struct{}
	// sends gathers the prompts that other VMs are to be told of.
	sends sends
	// seeds are link addresses at which VMs may be found.
	seeds []string

	// mu guards the fields below. Kinds have locks of their own, and are not
	// called while it is held.
	mu     sync.Mutex
	kinds  map[string]shared
	trials trials
	table  *vm.Table
	listed map[string]bool // link addresses that the store lists
	ips    map[string]bool
	// alive is how many VMs lived at the last beat.
	alive int
}

// PeersOptions set up Peers.
type PeersOptions struct {
	Endpoint *link.Endpoint
	Self     vm.Member
	// Seeds are link addresses at which VMs may be found.
	Seeds []string
	// Regions names the region of each data centre. Those of one region share
	// a watcher of the store; without any, all do.
	Regions map[contract.DataCentreID]string
	Log     *zap.Logger
	Now     func() time.Time
}

// NewPeers returns the peers of a VM.
func NewPeers(opts *PeersOptions) *Peers {
	p := &Peers{
		endpoint: opts.Endpoint, dc: opts.Self.DataCentre, regions: opts.Regions, news: newSpaced(newsEvery), pulse: newSpaced(pulseEvery), sends: sends{round: newSpaced(readsEvery)}, introduce: make(chan struct{}, 1),
		log: opts.Log, now: opts.Now, kinds: make(map[string]shared), seeds: opts.Seeds,
		table: vm.NewTable(opts.Self), listed: make(map[string]bool), ips: make(map[string]bool),
	}
	for _, s := range opts.Seeds {
		p.know(s)
	}
	link.Handle(p.endpoint, link.KindWord, p.answerWord)
	link.Handle(p.endpoint, link.KindChanges, p.answerChanges)
	link.Handle(p.endpoint, link.KindReads, p.answerReads)
	return p
}

// trials is where evidence of releases on trial comes from and goes to.
type trials interface {
	Evidence(near bool) rollout.Evidence
	Hear(e rollout.Evidence)
	OrderAges() []relay.OrderAge
	HearAges(ages []relay.OrderAge)
	HearSent(sent []relay.Sent)
	HearOpinions(opinions []relay.Opinion)
}

// judge makes evidence known to others, and to t what they know.
func (p *Peers) judge(t trials) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trials = t
}

// share makes a kind of objects known to others.
func (p *Peers) share(kind string, s shared) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kinds[kind] = s
}

// status returns what this VM knows of a kind of objects.
func (p *Peers) status(kind string) (Have, bool) {
	s := p.kind(kind)
	if s == nil {
		return Have{}, false
	}
	return s.status()
}

// kind returns a kind of objects, nil when it is not shared.
func (p *Peers) kind(name string) shared {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.kinds[name]
}

// know notes an address at which a VM of the system may be. The caller holds
// mu, or has not shared p yet.
func (p *Peers) know(address string) {
	if host, _, err := net.SplitHostPort(address); err == nil {
		p.ips[host] = true
	}
}

// KnownIP tells whether an IP address is one of a VM of the system.
func (p *Peers) KnownIP(ip string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ips[ip]
}

// Listed takes in the link addresses that the store lists.
func (p *Peers) Listed(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	alone := len(p.table.Live(p.now())) == 1
	for _, a := range addresses {
		if a != p.table.Self().ControlLink {
			p.listed[a] = true
			p.know(a)
		}
	}
	if alone {
		select {
		case p.introduce <- struct{}{}:
		default: // asked for already
		}
	}
}

// Expected tells whether this VM has addresses at which others may be.
func (p *Peers) Expected() bool { return len(p.seeds) > 0 }

// Count returns how many VMs there are: those that live, or are listed.
func (p *Peers) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(len(p.table.Live(p.now())), len(p.listed)+1)
}

// Run tells others until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	go func() { _ = p.endpoint.Serve(ctx) }() // ends with the endpoint
	var introduced time.Time
	for tick := 0; ctx.Err() == nil; tick++ {
		p.count()
		near, far := p.targets(tick)
		for _, address := range near {
			go p.tell(ctx, address, true)
		}
		for _, address := range far {
			go p.tell(ctx, address, false)
		}
		if now := p.now(); now.Sub(introduced) > introduceEvery {
			introduced = now
			for _, address := range p.strangers() {
				go p.tell(ctx, address, false)
			}
		}
		select {
		case <-ctx.Done():
		case <-p.introduce: // the store has just told a VM that is alone of others
			introduced = time.Time{}
		case <-time.After(time.Duration((0.8 + 0.4*rand.Float64()) * float64(beatEvery))):
		}
	}
}

// count logs how many VMs live when that has changed since the last beat.
func (p *Peers) count() {
	p.mu.Lock()
	live := len(p.table.Live(p.now()))
	before := p.alive
	p.alive = live
	p.mu.Unlock()
	if live != before {
		p.log.Info("vms", zap.Int("live", live), zap.Int("before", before))
	}
}

// targets returns whom to tell at a beat.
func (p *Peers) targets(tick int) (toNear, toFar []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	near := p.table.Near(now)
	rand.Shuffle(len(near), func(a, b int) { near[a], near[b] = near[b], near[a] })
	for _, m := range near[:min(nearBeats, len(near))] {
		toNear = append(toNear, m.ControlLink)
	}
	if tick%farEvery == 0 && p.table.Watches(speakers, now) {
		for _, m := range p.table.Far(speakers, now) {
			if rand.IntN(speakers) == 0 {
				toFar = append(toFar, m.ControlLink)
			}
		}
	}
	return toNear, toFar
}

// Place returns where this VM stands among those that could watch the store for
// its region.
func (p *Peers) Place() Place {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	place := Place{Near: p.table.Place(now)}
	for _, dc := range p.table.DataCentres(now) {
		if dc < p.dc && p.sameRegion(dc) {
			place.DataCentre++
		}
	}
	return place
}

// Watcher returns this VM as one that could watch the store.
func (p *Peers) Watcher() Watcher {
	p.mu.Lock()
	defer p.mu.Unlock()
	self := p.table.Self()
	return Watcher{VM: self.VM, Strength: self.Strength}
}

// sameRegion tells whether a data centre shares its watchers with this one's.
func (p *Peers) sameRegion(dc contract.DataCentreID) bool { return p.regions[dc] == p.regions[p.dc] }

// strangers returns the addresses at which nobody has been heard of.
func (p *Peers) strangers() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	heard := make(map[string]bool)
	for _, m := range p.table.Live(p.now()) {
		heard[m.ControlLink] = true
	}
	var out []string
	for a := range p.listed {
		if !heard[a] {
			out = append(out, a)
		}
	}
	rand.Shuffle(len(out), func(a, b int) { out[a], out[b] = out[b], out[a] })
	if len(heard) > 1 {
		return out[:min(strangersAtOnce, len(out))]
	}
	return append(out[:min(strangersAlone, len(out))], p.seeds...)
}

// Close ends all links.
func (p *Peers) Close() error { return p.endpoint.Close() }
