package relay

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"woaddoor/cascade"
	"woaddoor/contract"
	"woaddoor/exchange"
	"woaddoor/quarantine"
	"woaddoor/retry"
	"woaddoor/rollout"
	"woaddoor/upstream"
)

// Options set up a Relay.
type Options struct {
	Dialect    Dialect
	DataCentre contract.DataCentreID
	// Regions names the region of each data centre.
	Regions map[contract.DataCentreID]string
	// Self names this life of the process in what it counts.
	Self rollout.Observer
	Log  *zap.Logger
	Now  func() time.Time
	// Budget bounds repeated sends.
	Budget retry.WindowOptions
	// VMs returns how many VMs share the budget and upstreams' connections.
	VMs func() int
	// Policy says which mechanisms are left out.
	Policy upstream.Policy
	// CanaryShare is the largest part of a service's requests that a bad release
	// may get over the whole of its order.
	CanaryShare float64
	// BadAnswer is called, without waiting, at each bad answer of a release on
	// trial, so that other VMs hear of it at once. May be nil.
	BadAnswer func()
	// Suspected is called, without waiting, when other VMs are to hear at once of a
	// content that ends upstreams. May be nil.
	Suspected func()
	// ListAge returns how old the store's word on the list of upstreams is. May
	// be nil.
	ListAge func() time.Duration
	// Sent is called, without waiting, with each prompt that goes to an upstream
	// and takes long enough to be told to other VMs. May be nil.
	Sent func(Sent)
	// Group returns of which upstreams other VMs tell. May be nil: of none.
	Group func() upstream.Group
	// Evacuation is how soon the upstreams of a data centre that is evacuated get
	// nothing more; zero where there is no bound.
	Evacuation time.Duration
	// WorthOfCost is what a request of the first rank is worth, in what the dearest
	// model's answer to it costs; zero means cascade.DefaultWorthOfCost.
	WorthOfCost float64
	// LongestRest bounds for how long an upstream is obeyed that asks for a rest; zero means
	// upstream.DefaultLongestRest.
	LongestRest time.Duration
	// RepeatPrice is what a repeat costs when the budget is used up, in parts of what a
	// request is worth.
	RepeatPrice float64
	// Cold bounds what cold upstreams get, beyond what the configuration tells.
	Cold ColdBounds
	// Owners returns the VMs that share this data centre's cold upstreams. May be
	// nil: there is no other.
	Owners func() upstream.Owners
	// Rest is called, without waiting, with each rest that an upstream asks for. May be nil.
	Rest func(Rest)
	// Limit is called, without waiting, with what an answer tells of its upstream's limit
	// that others are to hear, those of other data centres too if it says so. May be nil.
	Limit func(known upstream.LimitKnown, far bool)
	// Opinion is called, without waiting, with each model's opinion of one of its
	// answers. May be nil.
	Opinion func(Opinion)
	// Began is called, without waiting, with each request that an upstream has begun to
	// run, and when. May be nil.
	Began func(w contract.WorkspaceID, at time.Time)
	// Wake is called, without waiting, when a release is found bad. May be nil.
	Wake func()
	// Seed seeds the random source. Zero means a seed from the clock.
	Seed uint64
}

// Relay is the request path of one VM.
type Relay struct {
	opts    *Options
	log     *zap.Logger
	Metrics *Metrics

	// mu guards the decision state below. It is held for one decision at a time
	// and never across I/O.
	mu      sync.Mutex
	random  *rand.Rand
	table   *upstream.Table
	entries map[contract.UpstreamID]upstream.Entry
	pools   map[contract.UpstreamID]*exchange.Pool
	// dialedBefore counts the connections of pools that are closed.
	dialedBefore int64
	releases     map[contract.ServiceID]map[string][]contract.PoolID
	limits       map[contract.ServiceID]int
	costs        map[contract.ServiceID]map[contract.ModelID]float64
	budgets      map[contract.ServiceID]*retry.Window
	// returns are when callers may come back that were refused since all upstreams of a
	// service had what they take.
	returns  map[contract.ServiceID]*retry.Returns
	canaries map[contract.ServiceID]*rollout.Canary
	// undone are the releases found bad, by service: their upstreams drain, and
	// a later order for another release does not bring them back.
	undone map[contract.ServiceID]map[string]bool
	// settled are the releases that were brought in last, by service: sessions
	// stay there under a later order, whatever else still runs.
	settled map[contract.ServiceID]string
	paces   map[string]*pace
	// opinions are what models think of their answers, and what that is worth.
	opinions *cascade.Opinions
	// group says of which upstreams other VMs tell.
	group upstream.Group
	// alone is since when this VM has been cut off; zero while it is not.
	alone time.Time
	// evacuated are the data centres whose upstreams are to get nothing more.
	evacuated map[contract.DataCentreID]evacuation
	// doubts are the upstreams of which it is open whether they ended under requests,
	// and cases the contents under which some have.
	doubts *quarantine.Doubts
	cases  *quarantine.Table
	// busy is the reading that this VM gives the engines of each service.
	busy map[contract.ServiceID]*busy
	// centreOf is the data centre of each pool.
	centreOf map[contract.PoolID]contract.DataCentreID
}

// New returns a relay that knows no upstreams.
func New(opts *Options) *Relay {
	opts.WorthOfCost = cmp.Or(opts.WorthOfCost, cascade.DefaultWorthOfCost)
	opts.LongestRest = cmp.Or(opts.LongestRest, upstream.DefaultLongestRest)
	seed := opts.Seed
	if seed == 0 {
		seed = uint64(opts.Now().UnixNano())
	}
	return &Relay{
		opts: opts, log: opts.Log, Metrics: newMetrics(),
		random:   rand.New(rand.NewPCG(seed, seed>>1)),
		table:    upstream.NewTable(upstream.Options{Listed: true, Policy: opts.Policy}),
		entries:  make(map[contract.UpstreamID]upstream.Entry),
		pools:    make(map[contract.UpstreamID]*exchange.Pool),
		releases: make(map[contract.ServiceID]map[string][]contract.PoolID),
		limits:   make(map[contract.ServiceID]int),
		costs:    make(map[contract.ServiceID]map[contract.ModelID]float64),
		budgets:  make(map[contract.ServiceID]*retry.Window),
		returns:  make(map[contract.ServiceID]*retry.Returns),
		canaries: make(map[contract.ServiceID]*rollout.Canary),
		undone:   make(map[contract.ServiceID]map[string]bool),
		settled:  make(map[contract.ServiceID]string),
		paces:    make(map[string]*pace),
		opinions: cascade.NewOpinions(),
		busy:     make(map[contract.ServiceID]*busy),
		doubts:   quarantine.NewDoubts(), cases: quarantine.NewTable(),
	}
}

func (r *Relay) locked(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// connectionShare is the part of an upstream's connections that all VMs
// together plan to use: the rest is for VMs that are not known yet.
const connectionShare = 0.85

// lives tells whether an upstream is still in the life in which it was met. What is
// told of an earlier one says nothing of this one. The caller holds mu.
func (r *Relay) lives(id contract.UpstreamID, born int64) bool {
	e, ok := r.entries[id]
	return ok && e.Born == born
}

// pool returns the connections to an upstream.
func (r *Relay) pool(e upstream.Entry) *exchange.Pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.pools[e.ID]
	if !ok {
		p = exchange.NewPool(e.Address, cmp.Or(r.limits[e.Service], leastConnections))
		r.pools[e.ID] = p
	}
	return p
}

// Connections returns how many connections to upstreams are open, and how many
// were opened so far.
func (r *Relay) Connections() (open int, dialed int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pools {
		n, total := p.Count()
		open += n
		dialed += total
	}
	return open, dialed + r.dialedBefore
}

// BudgetLeft returns the smallest part of the budget of repeated sends that is
// left at any service, 0 to 1.
func (r *Relay) BudgetLeft() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	left := 1.0
	for _, w := range r.budgets {
		left = min(left, w.Left(r.opts.VMs(), r.opts.Now()))
	}
	return left
}

// Upstreams returns how many upstreams are known.
func (r *Relay) Upstreams() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries)
}

// errSilent means that an upstream did not answer for longer than it should.
var errSilent = errors.New("upstream is silent")

// Serve has a request answered. The refusal is set only with Refused.
func (r *Relay) Serve(ctx context.Context, req *Request, c Caller) (End, *contract.Refusal) {
	ctx, cancel := context.WithDeadlineCause(ctx, req.Deadline, errDeadline)
	defer cancel()
	j := &job{Request: req, outcome: contract.NotRun, confident: -1, weight: 1}
	var after time.Duration
	hopeless := false
	r.locked(func() {
		j.service = req.Route.Pick(r.random.Float64())
		r.budget(j.service).Request(r.opts.Now())
		if isStream(req) {
			j.weight = r.table.Came(req.Route.Objective, r.worth(j), r.senders(), r.opts.Now())
		}
		after, hopeless = r.chooseModel(j)
	})
	var end End
	var refused *contract.Refusal
	switch {
	case len(req.Route.Shares) == 0:
		end, refused = Refused, unlisted(j)
	case hopeless:
		end, refused = Refused, noRoom(j, after)
	case isStream(req):
		end, refused = r.stream(ctx, j, c)
	default:
		end, refused = r.plain(ctx, j, c)
	}
	r.finish(j, end, refused)
	return end, refused
}

// senders returns how many VMs send to the engines that this VM hears of: the price
// of their time goes by what comes to them. All VMs of five data centres before the
// engines of one made it five times too high. The caller holds mu.
func (r *Relay) senders() int {
	if r.group.VMs > 0 {
		return r.group.VMs
	}
	return r.opts.VMs()
}

// errDeadline ends the work on a request whose time is up.
var errDeadline = errors.New("deadline passed")

// budget returns the budget of a service. The caller holds mu.
func (r *Relay) budget(s contract.ServiceID) *retry.Window {
	w, ok := r.budgets[s]
	if !ok {
		w = retry.NewWindow(r.opts.Budget)
		r.budgets[s] = w
	}
	return w
}
