package site

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/leader"
	"woaddoor/quarantine"
	"woaddoor/relay"
	"woaddoor/rollout"
	"woaddoor/route"
	"woaddoor/upstream"
)

// Options set up a Site.
type Options struct {
	VM contract.VMID
	// FirstStart is true only when the whole system starts for the first time.
	FirstStart     bool
	Configurations Source[*route.Table]
	Upstreams      Source[upstream.Entry]
	Orders         Source[rollout.Order]
	// Evacuations are the data centres whose upstreams are to get nothing more. May
	// be nil: the deployment has none.
	Evacuations Source[Evacuation]
	// Held are the contents that are sent to no upstream, and HeldNotes how they are
	// written; both or none.
	Held      Source[quarantine.Held]
	HeldNotes HeldNotes
	// NoteOrder writes that an order is under way, or how it ended.
	NoteOrder func(ctx context.Context, o rollout.Order, state rollout.OrderState) error
	Peers     *Peers
	// Leader acts for all VMs where this one is to. May be nil: none does.
	Leader *leader.Leader
	// VMs lists the link addresses of VMs, and PutVM adds this one's.
	VMs   func(ctx context.Context) (map[contract.VMID]string, error)
	PutVM func(ctx context.Context) error
	// Link is this VM's link address.
	Link  string
	Relay *relay.Relay
	Log   *zap.Logger
	Now   func() time.Time
	// Registry counts what the VM asks the store for, and why. May be nil.
	Registry metrics.Registry
}

// Site is what one VM knows.
type Site struct {
	opts  *Options
	log   *zap.Logger
	table atomic.Pointer[route.Table]
	woken chan struct{}
	// ready is closed once a configuration and a list of upstreams are known, and
	// wanted once a caller's request came before.
	ready, wanted       chan struct{}
	readyOnce, wantOnce sync.Once
	// drawn is this VM's place among those that start together and know no other.
	drawn int
	// notes are what is to be written of orders; only tick uses them.
	notes map[noteKey]*note

	// mu guards the fields below.
	mu      sync.Mutex
	listing *Listing
	listedU bool
	// partial tells that only a part of the first list is known, and pushed is the
	// configuration with which the relay was handed the whole list last.
	partial bool
	pushed  *route.Table
	// evacuated are the evacuations in force, by name.
	evacuated map[string]evacuated
}

// New returns a site that knows nothing.
func New(opts *Options) *Site {
	if opts.Registry == nil {
		opts.Registry = metrics.NewRegistry()
	}
	return &Site{
		opts: opts, log: opts.Log, listing: NewListing(), woken: make(chan struct{}, 1),
		ready: make(chan struct{}), wanted: make(chan struct{}),
		drawn: rand.IntN(wantedPlaces),
		notes: make(map[noteKey]*note), evacuated: make(map[string]evacuated),
	}
}

// Table returns the configuration in force, nil before one is known.
func (s *Site) Table() *route.Table { return s.table.Load() }

// Ready tells whether a configuration and a list of upstreams are known.
func (s *Site) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Load() != nil && s.listedU
}

// firstWait is how long a request waits at a VM that has just started and knows
// nothing yet: asking the store takes some 10 ms, and a tenth of a second is an
// eighth of the objective of a page.
const firstWait = 100 * time.Millisecond

// Await waits until this VM can serve, for firstWait at the most. At a VM that knows
// nothing it has the store asked at once: callers come to one that is not ready only
// where others are gone too, so nobody may be there to tell it. After all of six VMs
// were killed, 194 requests were turned away within 0.3 s, in which VMs waited for
// each other.
func (s *Site) Await(ctx context.Context) {
	select {
	case <-s.ready:
		return
	default:
	}
	s.wantOnce.Do(func() {
		s.log.Info("wanted")
		close(s.wanted)
	})
	select {
	case <-s.ready:
	case <-ctx.Done():
	case <-time.After(firstWait):
	}
}

// noteReady lets go what waits for this VM to be able to serve. The caller holds mu.
func (s *Site) noteReady() {
	if s.table.Load() != nil && s.listedU {
		s.readyOnce.Do(func() { close(s.ready) })
	}
}

// Upstreams returns the list of upstreams.
func (s *Site) Upstreams() []upstream.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listing.Entries()
}

// Ages returns how old the store's word is on the configuration and on the
// list of upstreams; negative when there was none.
func (s *Site) Ages() (configuration, upstreams time.Duration) {
	return s.age(s.opts.Configurations.Name()), s.age(s.opts.Upstreams.Name())
}

func (s *Site) age(kind string) time.Duration {
	if have, known := s.opts.Peers.status(kind); known {
		return have.Age
	}
	return -1
}

// Wake asks for the verdicts on releases to be looked at now.
func (s *Site) Wake() {
	select {
	case s.woken <- struct{}{}:
	default: // asked for already
	}
}

// Run keeps up until ctx ends.
func (s *Site) Run(ctx context.Context) {
	var wg sync.WaitGroup
	configs := newFollower(ctx, s, s.opts.Configurations, s.applyTable, func(bool) {})
	upstreams := newFollower(ctx, s, s.opts.Upstreams, s.applyUpstreams, s.reached)
	upstreams.early = s.applyFirst
	orders := newFollower(ctx, s, s.opts.Orders, s.applyOrders, func(bool) {})
	s.opts.Peers.share(s.opts.Configurations.Name(), configs)
	s.opts.Peers.share(s.opts.Upstreams.Name(), upstreams)
	s.opts.Peers.share(s.opts.Orders.Name(), orders)
	s.opts.Peers.judge(s.opts.Relay)
	runs := []func(context.Context){configs.run, upstreams.run, orders.run, s.tick, s.opts.Peers.Run, s.enlist}
	if s.opts.Evacuations != nil {
		evacuations := newFollower(ctx, s, s.opts.Evacuations, s.applyEvacuations, func(bool) {})
		s.opts.Peers.share(s.opts.Evacuations.Name(), evacuations)
		runs = append(runs, evacuations.run)
	}
	if s.opts.Held != nil {
		held := newFollower(ctx, s, s.opts.Held, s.applyHeld, func(bool) {})
		s.opts.Peers.share(s.opts.Held.Name(), held)
		runs = append(runs, held.run, s.keepHeld)
	}
	if s.opts.Leader != nil {
		runs = append(runs, s.lead, s.opts.Peers.gather)
	}
	for _, run := range runs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			run(ctx)
		}()
	}
	wg.Wait()
}

// lead acts for all VMs, once this one can serve.
func (s *Site) lead(ctx context.Context) {
	select {
	case <-s.ready:
		s.opts.Leader.Run(ctx)
	case <-ctx.Done():
	}
}

// Resign gives up what this VM does for all: it is about to end.
func (s *Site) Resign(ctx context.Context) {
	if s.opts.Leader != nil {
		s.opts.Leader.Resign(ctx)
	}
}

// configName is the name of the newest configuration's object.
const configName = "main"

// applyTable puts a configuration in force if it is newer.
func (s *Site) applyTable(c Changes[*route.Table], _ bool) {
	for _, i := range c.Items {
		if i.Name == configName && !i.Deleted && i.Err == nil {
			s.setTable(i.Value, "store")
		}
	}
}

// setTable puts a configuration in force unless it is older than the one that
// is: a stale read, a late answer and a peer that is behind change nothing.
func (s *Site) setTable(t *route.Table, from string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.table.Load()
	if old != nil && old.Revision >= t.Revision {
		return
	}
	s.table.Store(t)
	s.log.Info("configuration", zap.Int64("version", t.Version), zap.Int64("revision", int64(t.Revision)),
		zap.String("from", from), zap.Int("routes", t.Routes()))
	s.pushUpstreams()
	s.noteReady()
}

// pushUpstreams hands the relay what has changed in the list, or the whole list where the
// configuration has changed or nothing was handed over before. The caller holds mu.
func (s *Site) pushUpstreams() {
	t := s.table.Load()
	var services map[contract.ServiceID]*route.Service
	if t != nil {
		services = t.Services
	}
	changed, gone := s.listing.Take()
	if s.partial {
		s.opts.Relay.SetSomeUpstreams(s.listing.Entries(), services)
		return
	}
	if s.pushed != nil && s.pushed == t && s.opts.Relay.ChangeUpstreams(changed, gone, services) {
		return
	}
	s.opts.Relay.SetUpstreams(s.listing.Entries(), services)
	s.pushed = t
}

func (s *Site) reached(ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listing.Reached(ok, s.opts.Now())
}

// applyFirst takes in the first part of a long list: enough to serve by.
func (s *Site) applyFirst(c Changes[upstream.Entry]) { s.takeUpstreams(c, false, true) }

func (s *Site) applyUpstreams(c Changes[upstream.Entry], full bool) { s.takeUpstreams(c, full, false) }

// takeUpstreams takes in changes of the list, or a part of the first one.
func (s *Site) takeUpstreams(c Changes[upstream.Entry], full, part bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listedU, s.partial = true, part
	for _, i := range c.Items {
		if s.listing.Knows(i) {
			continue
		}
		s.log.Info("upstream", zap.String("upstream", i.Name), zap.Bool("gone", i.Deleted), zap.Bool("leaving", i.Value.Leaving),
			zap.String("service", string(i.Value.Service)), zap.String("release", i.Value.Release),
			zap.String("address", i.Value.Address), zap.Int64("revision", int64(i.Revision)))
	}
	if s.listing.Apply(c, full, s.opts.Now()) {
		s.pushUpstreams()
	}
	s.noteReady()
}

// tickEvery is how often what depends on time alone is looked at.
const tickEvery = 250 * time.Millisecond

// tick does what depends on time: entries that lapsed, verdicts, comparisons.
func (s *Site) tick(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.woken:
		}
		s.mu.Lock()
		if s.listing.Expire(s.opts.Now()) {
			s.pushUpstreams()
		}
		s.mu.Unlock()
		s.opts.Relay.Level()
		for _, v := range s.opts.Relay.Verdicts() {
			s.noteOrder(ctx, v)
		}
	}
}

// newFollower returns a follower of a kind of objects for a site.
func newFollower[T any](ctx context.Context, s *Site, source Source[T], apply func(Changes[T], bool), reached func(bool)) *follower[T] {
	asks := time.Time{}
	if s.opts.Peers.Expected() {
		asks = s.opts.Now().Add(again)
		if s.opts.FirstStart {
			asks = s.opts.Now().Add(introduced)
		}
	}
	return &follower[T]{
		malformed: make(map[string]string), early: func(Changes[T]) {},
		source: source, log: s.log, registry: s.opts.Registry, apply: apply, reached: reached, ledger: NewLedger(source.Name()),
		wanted: s.wanted, drawn: s.drawn,
		duty:  NewDuty(s.opts.Peers.Watcher(), source.Timing(), asks),
		place: s.opts.Peers.Place, news: func() { s.opts.Peers.News(ctx) }, confirmed: func() { s.opts.Peers.Confirmed(ctx) }, now: s.opts.Now,
	}
}
