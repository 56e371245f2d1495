package site

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/leader"
	"woaddoor/link"
	"woaddoor/quarantine"
	"woaddoor/relay"
	"woaddoor/rollout"
	"woaddoor/scaling"
	"woaddoor/upstream"
	"woaddoor/vm"
)

// shared is a kind of objects that VMs hand to one another.
type shared interface {
	status() (Have, bool)
	compare(h Have) Compared
	since(after contract.Revision, holds bool) Delta
	feed(d Delta, h Have, from string)
	asks() bool
}

// Timings of words.
const (
	// beatEvery is how often a leaf speaks with its hub, and hubs with each other.
	// What a hub knows reaches a leaf within a beat also when the word that told of
	// it at once was lost.
	beatEvery = 500 * time.Millisecond
	// nearTimeout and farTimeout bound a word and its answer within a data centre
	// and between two: a VM with a fifth of a core answers in tens of milliseconds.
	nearTimeout = 600 * time.Millisecond
	farTimeout  = 900 * time.Millisecond
	// farEvery is how many beats there are for each to another data centre.
	farEvery = 2
	// pullTimeout bounds the hand-over of changes: all of a list of a thousand
	// upstreams, 0.25 MB, by a hub with 20 Mbit/s to all of its leaves at once takes
	// 2.4 s. At 0.9 s it was given up and begun anew, without end.
	pullTimeout = 6 * time.Second
	// speakers is how many VMs of a data centre speak with other ones, and
	// spareSpeakers how many more of another one are thought of when those do not
	// answer.
	speakers, spareSpeakers = 2, 1
	// newsEvery is the least time between two rounds of news of one VM: changes
	// come in bursts of dozens, and one word tells them all.
	newsEvery = 80 * time.Millisecond
	// pulseEvery is the least time between two rounds that tell only that the
	// store has nothing newer: three kinds are watched, and each adds to its age
	// what it waits here.
	pulseEvery = 100 * time.Millisecond
	// joinEvery is how often a VM that has no hub yet asks one that may know some,
	// and strangersEvery how often a hub looks for VMs that it does not hear of.
	joinEvery      = 400 * time.Millisecond
	strangersEvery = time.Second
	// strangersAtOnce is how many of those are told at a time.
	strangersAtOnce = 2
	// settleFor is how long after its start a VM goes on asking the seeds: they may
	// have heard of few others before.
	settleFor = 4 * time.Second
)

// Peers keeps the VMs of a deployment in step.
type Peers struct {
	endpoint *link.Endpoint
	log      *zap.Logger
	now      func() time.Time
	dc       contract.DataCentreID
	regions  map[contract.DataCentreID]string
	started  time.Time
	// news and pulse space the rounds that tell of changes, and that there are
	// none; grave those that tell of what does harm: bad answers of a release on
	// trial, contents that end upstreams.
	news, pulse, grave *spaced
	// introduce asks for the listed VMs to be told at once, and stranger tells
	// that one speaks that the store has not listed to this VM yet.
	introduce, stranger chan struct{}
	// packs are lists of objects in the form in which they are handed over.
	packs packs
	// sends gathers the prompts that other VMs are to be told of.
	sends sends
	// seeds are link addresses at which VMs may be found, without this one's, and
	// isSeed tells that it is one of them.
	seeds  []string
	isSeed bool
	// firstStart tells that all VMs start for the first time, and no caller waits.
	firstStart bool
	// lease and usage are those under which one VM acts for all; nil where none does.
	lease *leader.Keeper
	usage *leader.Book
	// ends tells that this VM is about to end.
	ends atomic.Bool
	// far holds the link addresses of VMs of other data centres.
	far sync.Map
	// seen is the newest view, and changed tells that it does not hold any more.
	seen    atomic.Pointer[view]
	changed atomic.Bool

	// mu guards the fields below. Kinds have locks of their own, and are not
	// called while it is held.
	mu     sync.Mutex
	kinds  map[string]shared
	trials trials
	table  *vm.Table
	listed map[string]bool // link addresses at which a VM is said to be
	ips    map[string]bool
	// alive is how many VMs lived at the last beat.
	alive int
	// leaves are the VMs that have this one as their hub.
	leaves map[contract.VMID]leaf
	// shun holds the link addresses that have not answered, until when they are
	// passed over.
	shun map[string]time.Time
	// counts are how many VMs data centres have.
	counts map[contract.DataCentreID]count
	// settled tells that this VM has a hub, or is one that others speak with.
	settled bool
	// missing are the links of the VMs of this data centre that this leaf has heard
	// of and its hub has not.
	missing map[contract.VMID]string
	// pulling are the kinds that this VM is being handed.
	pulling map[string]pulling
	// told is up to which revision of each kind the last round of news told.
	told map[string]contract.Revision
	// holder is where the holder of the lease listens.
	holder holder
	// leafWork and hubWork are what this VM's leaves, and the hubs that tell it since it
	// holds the lease, give upstreams to do.
	leafWork, hubWork works
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
	// FirstStart tells that all VMs start for the first time.
	FirstStart bool
	// Lease and Usage are those under which one VM acts for all; both nil where none does.
	Lease *leader.Keeper
	Usage *leader.Book
	Log   *zap.Logger
	Now   func() time.Time
}

// NewPeers returns the peers of a VM.
func NewPeers(opts *PeersOptions) *Peers {
	p := &Peers{
		lease: opts.Lease, usage: opts.Usage,
		endpoint: opts.Endpoint, dc: opts.Self.DataCentre, regions: opts.Regions, log: opts.Log, now: opts.Now, started: opts.Now(),
		news: newSpaced(newsEvery), pulse: newSpaced(pulseEvery), grave: newSpaced(graveEvery),
		introduce: make(chan struct{}, 1), stranger: make(chan struct{}, 1),
		kinds: make(map[string]shared), seeds: slices.DeleteFunc(slices.Clone(opts.Seeds), func(s string) bool { return s == opts.Self.ControlLink }),
		table: vm.NewTable(opts.Self), listed: make(map[string]bool), ips: make(map[string]bool),
		leaves: make(map[contract.VMID]leaf), shun: make(map[string]time.Time), counts: make(map[contract.DataCentreID]count),
		leafWork: make(works), hubWork: make(works),
		told: make(map[string]contract.Revision), missing: make(map[contract.VMID]string), pulling: make(map[string]pulling),
	}
	p.firstStart = opts.FirstStart && len(p.seeds) > 0
	p.isSeed = len(p.seeds) < len(opts.Seeds)
	p.sends.own, p.sends.passed = newSpaced(readsEvery), newSpaced(relayEvery)
	for _, s := range opts.Seeds {
		p.know(s)
	}
	p.endpoint.Far = func(address string) bool { _, far := p.far.Load(address); return far }
	link.Handle(p.endpoint, link.KindWord, p.answerWord)
	link.Handle(p.endpoint, link.KindChanges, p.answerChanges)
	link.Handle(p.endpoint, link.KindReads, p.answerReads)
	link.Handle(p.endpoint, link.KindUsage, p.answerGathered)
	return p
}

// trials is where evidence of releases on trial comes from and goes to, and what
// VMs learn of upstreams.
type trials interface {
	Evidence(to rollout.Hearer) rollout.Evidence
	Hear(e rollout.Evidence) (worse bool)
	OrderAges() []relay.OrderAge
	HearAges(ages []relay.OrderAge)
	Suspects() []quarantine.Told
	HearSuspects(told []quarantine.Told, from contract.VMID) (urgent bool)
	HearSent(sent []relay.Sent)
	HearOpinions(opinions []relay.Opinion)
	HearRests(rests []relay.Rest)
	HearLimits(known []upstream.LimitKnown, fresh bool, from contract.VMID)
	Limits() []upstream.LimitKnown
	LimitsDigest() uint64
	Work() map[contract.ServiceID]scaling.Work
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

// KnownIP tells whether an IP address is one of a VM of the system. Of one that is
// not, the store may tell more by now.
func (p *Peers) KnownIP(ip string) bool {
	p.mu.Lock()
	known := p.ips[ip]
	p.mu.Unlock()
	if !known {
		notify(p.stranger)
	}
	return known
}

// Strangers returns a channel on which it is told that a VM has spoken which this
// one does not know.
func (p *Peers) Strangers() <-chan struct{} { return p.stranger }

// notify asks for something that is asked for already when nobody has seen to it.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Listed takes in the link addresses that the store lists.
func (p *Peers) Listed(addresses []string) {
	p.mu.Lock()
	for _, a := range addresses {
		p.candidate(a)
	}
	p.mu.Unlock()
	p.changed.Store(true)
	notify(p.introduce)
}

// candidate notes a link address at which a VM is said to be. The caller holds mu.
func (p *Peers) candidate(address string) {
	if address != p.table.Self().ControlLink {
		p.listed[address] = true
		p.know(address)
	}
}

// Expected tells whether this VM has addresses at which others may be.
func (p *Peers) Expected() bool { return len(p.seeds) > 0 }

// AskedFirst tells whether VMs that start ask this one who else is there.
func (p *Peers) AskedFirst() bool { return p.isSeed }

// Joined tells whether any VM has answered this one.
func (p *Peers) Joined() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.settled || len(p.table.Live(p.now())) > 1
}

// Alone tells whether this VM hears of no other.
func (p *Peers) Alone() bool { return p.look().live == 1 }

// Count returns how many VMs there are at the most.
func (p *Peers) Count() int { return p.look().vms }

// Group returns of which upstreams this VM hears what is sent there.
func (p *Peers) Group() upstream.Group { return p.look().group }

// Place returns where this VM stands among those that could watch the store for
// its region.
func (p *Peers) Place() Place { return p.look().place }

// Speaks tells whether this VM is one of those that speak for its data centre.
func (p *Peers) Speaks() bool { return p.look().place.Near < speakers }

// Watcher returns this VM as one that could watch the store.
func (p *Peers) Watcher() Watcher {
	p.mu.Lock()
	defer p.mu.Unlock()
	self := p.table.Self()
	return Watcher{VM: self.VM, Strength: self.Strength}
}

// sameRegion tells whether a data centre shares its watchers with this one's.
func (p *Peers) sameRegion(dc contract.DataCentreID) bool { return p.regions[dc] == p.regions[p.dc] }

// Run tells others until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	go func() { _ = p.endpoint.Serve(ctx) }() // ends with the endpoint
	var joined, sought time.Time
	for tick := 0; ctx.Err() == nil; tick++ {
		p.count()
		p.beat(ctx, tick)
		now := p.now()
		if p.joining(now) && now.Sub(joined) >= joinEvery {
			joined = now
			p.join(ctx)
		}
		if now.Sub(sought) >= strangersEvery {
			sought = now
			for _, address := range p.strangers() {
				go p.tell(ctx, address, farTimeout, p.word(hearsFar))
			}
		}
		select {
		case <-ctx.Done():
		case <-p.introduce: // there is somebody to speak to
			sought = time.Time{}
		case <-time.After(time.Duration((0.8 + 0.4*rand.Float64()) * float64(p.pause(now)))):
		}
	}
}

// pause returns the time until the next beat.
func (p *Peers) pause(now time.Time) time.Duration {
	if p.joining(now) {
		return joinEvery
	}
	return beatEvery
}

// count logs how many VMs live when that has changed since the last beat.
func (p *Peers) count() {
	v := p.look()
	p.mu.Lock()
	before := p.alive
	p.alive = v.live
	p.mu.Unlock()
	if v.live != before {
		p.log.Info("vms", zap.Int("live", v.live), zap.Int("before", before), zap.Int("near", len(v.near)+1), zap.Int("all", v.vms),
			zap.Int("place", v.place.Near), zap.Bool("hub", v.isHub))
	}
}

// beat speaks with those that this VM speaks with regularly.
func (p *Peers) beat(ctx context.Context, tick int) {
	v := p.look()
	if v.isHub {
		w := p.word(hearsHub)
		for _, m := range p.mesh(v) {
			go p.tell(ctx, m.ControlLink, nearTimeout, w)
		}
	} else {
		go p.beatHub(ctx, v)
	}
	if tick%farEvery != 0 || v.place.Near >= speakers {
		return
	}
	w := p.word(hearsFar)
	for _, members := range v.far {
		if len(members) > 0 {
			go p.tell(ctx, members[rand.IntN(len(members))].ControlLink, farTimeout, w)
		}
	}
}

// Close ends all links.
func (p *Peers) Close() error { return p.endpoint.Close() }
