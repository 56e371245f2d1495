package site

import (
	"context"
	"hash/fnv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/logs"
	"woaddoor/relay"
	"woaddoor/rollout"
	"woaddoor/route"
	"woaddoor/upstream"
)

// Options set up a Site.
type Options struct {
	VM             contract.VMID
	Configurations Source[*route.Table]
	Upstreams      Source[upstream.Entry]
	Orders         Source[rollout.Order]
	// EndOrder writes how an order ended.
	EndOrder func(ctx context.Context, o rollout.Order, state rollout.OrderState) error
	Relay    *relay.Relay
	Log      *zap.Logger
	Now      func() time.Time
}

// Site is what one VM knows.
type Site struct {
	opts  *Options
	log   *zap.Logger
	table atomic.Pointer[route.Table]
	woken chan struct{}

	// mu guards the fields below.
	mu      sync.Mutex
	listing *Listing
	listedU bool
	ended   map[string]contract.Revision // orders whose end was written, by revision
	dueAt   map[string]time.Time
}

// New returns a site that knows nothing.
func New(opts *Options) *Site {
	return &Site{
		opts: opts, log: opts.Log, listing: NewListing(), woken: make(chan struct{}, 1),
		ended: make(map[string]contract.Revision), dueAt: make(map[string]time.Time),
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
	configs := &follower[*route.Table]{source: s.opts.Configurations, log: s.log, apply: s.applyTable, reached: func(bool) {}}
	upstreams := &follower[upstream.Entry]{source: s.opts.Upstreams, log: s.log, apply: s.applyUpstreams, reached: s.reached}
	orders := &follower[rollout.Order]{source: s.opts.Orders, log: s.log, apply: s.applyOrders, reached: func(bool) {}}
	for _, run := range []func(context.Context){configs.run, upstreams.run, orders.run, s.tick} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			run(ctx)
		}()
	}
	wg.Wait()
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
}

// pushUpstreams hands the list to the relay. The caller holds mu.
func (s *Site) pushUpstreams() {
	accepts := make(map[contract.ServiceID]int)
	if t := s.table.Load(); t != nil {
		for id, service := range t.Services {
			accepts[id] = service.MaxConnections
		}
	}
	s.opts.Relay.SetUpstreams(s.listing.Entries(), accepts)
}

func (s *Site) reached(ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listing.Reached(ok, s.opts.Now())
}

func (s *Site) applyUpstreams(c Changes[upstream.Entry], full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listedU = true
	for _, i := range c.Items {
		s.log.Info("upstream", zap.String("upstream", i.Name), zap.Bool("gone", i.Deleted), zap.Bool("leaving", i.Value.Leaving),
			zap.String("service", string(i.Value.Service)), zap.String("release", i.Value.Release),
			zap.String("address", i.Value.Address), zap.Int64("revision", int64(i.Revision)))
	}
	if s.listing.Apply(c, full, s.opts.Now()) {
		s.pushUpstreams()
	}
}

func (s *Site) applyOrders(c Changes[rollout.Order], _ bool) {
	for _, i := range c.Items {
		if i.Deleted || i.Err != nil {
			continue
		}
		o := i.Value
		o.Issued = s.opts.Now()
		s.log.Info("order", zap.String("service", string(o.Service)), zap.String("release", o.Release), zap.Duration("length", o.Length),
			zap.String("state", string(o.State)), zap.Int64("revision", int64(o.Revision)))
		s.opts.Relay.SetOrder(o)
	}
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
			s.end(ctx, v)
		}
	}
}

// Spread of the writes of a verdict over VMs: the first write makes the others
// needless, and a conflict costs a call.
const (
	spreadCompleted = 1500 * time.Millisecond
	spreadUndone    = 120 * time.Millisecond
	endAgain        = 700 * time.Millisecond
)

// end writes the end of an order when this VM's turn has come.
func (s *Site) end(ctx context.Context, v relay.Verdict) {
	now := s.opts.Now()
	key := v.Order.Name + "|" + string(v.State)
	due, ok := s.dueAt[key]
	if !ok {
		due = now.Add(s.turn(v.State))
		s.dueAt[key] = due
	}
	if now.Before(due) || s.ended[key] == v.Order.Revision {
		return
	}
	s.dueAt[key] = now.Add(endAgain)
	err := s.opts.EndOrder(ctx, v.Order, v.State)
	fields := []zap.Field{
		zap.String("service", string(v.Order.Service)), zap.String("release", v.Order.Release), zap.String("state", string(v.State)),
		zap.Int64("revision", int64(v.Order.Revision)), zap.Int64("trial_good", v.Trial.Good), zap.Int64("trial_bad", v.Trial.Bad),
		zap.Int64("others_good", v.Others.Good), zap.Int64("others_bad", v.Others.Bad),
	}
	if err != nil {
		s.log.Warn("order-end-failed", append(fields, logs.Failure(err)...)...)
		return
	}
	s.ended[key] = v.Order.Revision
	s.log.Info("order-ended", fields...)
}

// turn returns how long this VM waits before it writes a verdict.
func (s *Site) turn(state rollout.OrderState) time.Duration {
	spread := spreadCompleted
	if state == rollout.OrderUndone {
		spread = spreadUndone
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(s.opts.VM)) // never fails
	return time.Duration(float64(spread) * float64(h.Sum32()%1024) / 1024)
}
