package upstream

import (
	"time"

	"woaddoor/config"
	"woaddoor/contract"
)

// Entry is one upstream of the platform's list.
type Entry struct {
	ID      contract.UpstreamID
	Service contract.ServiceID
	// Address is its IP and port. Another upstream may have it later.
	Address    string
	DataCentre contract.DataCentreID
	// Release is the version of its software.
	Release string
	Slots   int
	// Memory is how many tokens it keeps, zero for a plain service or when that
	// is not known.
	Memory int
	// Leaving upstreams get no new work.
	Leaving bool
	// Preemptible ones cost less, and the platform may take them away at any moment.
	Preemptible bool
	// Cold is for how long it stays cold, from when it wrote the entry.
	Cold time.Duration
	// Born tells two lives under one id apart: when it started by its own clock, in
	// milliseconds since 1970; zero where it does not tell. The clock may jump, so
	// Born orders nothing.
	Born int64
	// Revision is the store's of the entry.
	Revision contract.Revision
}

// List is what is known of all upstreams.
type List struct {
	Entries []Entry
	// Connections gives how many requests this VM may have at one upstream of a
	// service at a time, and Cold what one bears while it is cold; it may be nil.
	Connections func(contract.ServiceID) int
	Cold        func(contract.ServiceID) ColdBound
	Now         time.Time
	// Some tells that more are there which are not known yet.
	Some bool
}

// PoolOf returns the pool that an entry belongs to: the upstreams of a service
// and release in one data centre.
func (e Entry) PoolOf() contract.PoolID { return PoolID(e.Service, e.Release, e.DataCentre) }

// Life names the life that an entry is of.
func (e Entry) Life() contract.Life { return contract.Life{Upstream: e.ID, Born: e.Born} }

// PoolID names a pool of listed upstreams.
func PoolID(s contract.ServiceID, release string, dc contract.DataCentreID) contract.PoolID {
	return contract.PoolID(string(s) + "|" + release + "|" + string(dc))
}

// ConfigureList takes in the upstreams that are known. One that has started again
// under its id is another upstream: nothing that was believed of the former holds.
func (t *Table) ConfigureList(l List) {
	pools := make(map[contract.PoolID]*config.Pool)
	for _, e := range l.Entries {
		if s := t.states[e.ID]; s != nil && s.born != e.Born {
			delete(t.states, e.ID)
		}
		id := e.PoolOf()
		if pools[id] == nil {
			pools[id] = newPool(e, l)
		}
		pools[id].Slots = max(pools[id].Slots, e.Slots)
		pools[id].Upstreams = append(pools[id].Upstreams, config.Upstream{ID: e.ID, URL: e.Address})
	}
	before := t.states
	t.Configure(pools)
	for _, p := range pools {
		p.Upstreams = nil // they stand in the states
	}
	for _, e := range l.Entries {
		s := t.states[e.ID]
		t.enter(s, e, l, before[e.ID] != s)
	}
	t.noteLimited()
	t.listed = t.listed || len(l.Entries) > 0 && !l.Some
}

// newPool returns the pool of an entry, without upstreams.
func newPool(e Entry, l List) *config.Pool {
	return &config.Pool{ID: e.PoolOf(), Kind: config.EnginePool, DataCentre: e.DataCentre, Connections: l.Connections(e.Service), Slots: 1}
}

// enter takes in what an entry says of its upstream. fresh tells that this VM has not known
// the upstream before.
func (t *Table) enter(s *state, e Entry, l List, fresh bool) {
	s.kept.Bound(e.Memory)
	s.born, s.slots = e.Born, e.Slots
	s.said = t.said[e.Life()]
	s.leaving = 0
	if e.Leaving {
		s.leaving = 1
	}
	if l.Cold != nil {
		t.chillEntry(s, e, l.Cold(e.Service), fresh, l.Now)
	}
}

// Loaded takes in the load that an answer has told.
func (t *Table) Loaded(id contract.UpstreamID, running, waiting int, now time.Time) {
	s, ok := t.states[id]
	if !ok {
		return
	}
	s.sentAfter, s.doneAfter = 0, 0
	s.average(contract.Load{Running: running, Waiting: waiting}, now.Sub(s.heardAt))
	s.heardAt = now
}

// Accepted notes that an upstream has begun to answer a request: it is not turned away.
func (t *Table) Accepted(id contract.UpstreamID) {
	if s, ok := t.states[id]; ok {
		s.health.turned = 0
	}
}

func (s *state) hasConnection() bool {
	return s.pool.Connections == 0 || s.inFlight < s.pool.Connections
}

// lastResort returns the upstream with the fewest failures when the health of
// all forbids them: a request that may find an upstream well is better than
// one refused without a try.
func (t *Table) lastResort(q Query, now time.Time) (contract.UpstreamID, error) {
	if !t.opts.Listed {
		return "", ErrNone
	}
	best := t.leastFailed(q, now)
	if best == nil {
		return "", ErrNone
	}
	t.chosen(best, now)
	return best.upstream.ID, nil
}

// leastFailed returns the upstream with the fewest failures among those that a query
// allows and that want work, however ill; nil when there is none.
func (t *Table) leastFailed(q Query, now time.Time) *state {
	var best *state
	for _, s := range t.states {
		if !q.allows(s) || !s.takes(now) || !s.hasConnection() || !t.bears(s, now) {
			continue
		}
		if best == nil || s.health.failed < best.health.failed || s.health.failed == best.health.failed && s.upstream.ID < best.upstream.ID {
			best = s
		}
	}
	return best
}

// bears tells whether an upstream may get one more request of this VM now, as far as the
// bounds go that all VMs share.
func (t *Table) bears(s *state, now time.Time) bool { return t.warm(s, now) && t.within(s, now) }

// chosen notes that a request goes to an upstream, in what all VMs share.
func (t *Table) chosen(s *state, now time.Time) {
	s.cold.picked(now)
	t.claim(s, now)
}

// Any tells whether Pick would choose any upstream.
func (t *Table) Any(q Query, now time.Time) bool {
	if t.opts.Listed {
		return t.leastFailed(q, now) != nil
	}
	return len(t.candidates(q, now)) > 0
}

// Another tells whether any upstream could take the request: one that is not
// known to be ill, unless suspected ones will do.
func (t *Table) Another(q Query, suspected bool, now time.Time) bool {
	for _, s := range t.states {
		if q.allows(s) && t.usable(s, "", now) && (suspected || s.health.failed < failedLimit) && !t.isAway(s, q, now) {
			return true
		}
	}
	return false
}

// health is what this VM's own requests tell of a listed upstream.
type health struct {
	// failed is the part of late requests that failed, newest counting most.
	failed    float64
	backoff   time.Duration
	openUntil time.Time // closed until then
	// turned is for how long it was passed over when it last turned a request away, zero
	// once it has begun to answer one since.
	turned time.Duration
	// gone tells that no connection came up at the last try.
	gone   bool
	first  time.Duration
	others time.Duration // the mean of first over all upstreams of its kind
	// ratio is how long answers to prompts took to begin against what was
	// expected, zero before any did.
	ratio float64
}

// Weights and bounds of health.
const (
	// failedWeight makes three failures in a row, or two after an earlier one,
	// reach failedLimit; a service where one in seven answers fails by itself
	// reaches it about once in 400 requests.
	failedWeight = 0.2
	failedLimit  = 0.45
	// A closed upstream is tried by one request after each back-off.
	closedBase = 300 * time.Millisecond
	closedMax  = 2 * time.Second
	// fullFor is how long an upstream that is full is passed over: about the time in
	// which one of its places becomes free.
	fullFor = 60 * time.Millisecond
	// turnedMost bounds for how long one that turns away request after request is passed
	// over, twice as long each time. Where half of the upstreams turned away 0.4 of what
	// they got, and a third 0.9 in a burst, worth was 0.011 higher (mean of 12 days in
	// pairs) than with fullFor each time.
	turnedMost = 960 * time.Millisecond
	// firstWeight is the weight of the newest time to a first answer.
	firstWeight = 0.1
	// slowFrom is how many times the others' mean, or the time that was expected,
	// counts as slow; mostRatio bounds what one answer tells.
	slowFrom  = 2.5
	mostRatio = 10
)

// open tells whether the upstream may get new work.
func (h *health) open(now time.Time) bool { return !now.Before(h.openUntil) }

// picked notes that a request goes there. A suspected upstream gets one
// request a back-off.
func (h *health) picked(now time.Time) {
	if h.failed >= failedLimit {
		h.close(now)
	}
}

func (h *health) close(now time.Time) {
	h.backoff = min(max(2*h.backoff, closedBase), closedMax)
	h.openUntil = now.Add(h.backoff)
}

// pass has the upstream passed over for a time, and never for less than it was already.
func (h *health) pass(d time.Duration, now time.Time) {
	if until := now.Add(d); until.After(h.openUntil) {
		h.openUntil = until
	}
}

// ended takes in how a request of a listed upstream ended; took is the time to
// the first answer.
func (s *state) ended(r Result, took time.Duration, now time.Time) {
	h := &s.health
	h.gone = r == Unreachable || r == Down || h.gone && r == Abandoned
	switch r {
	case Good:
		h.failed -= failedWeight * h.failed
		if h.failed >= failedLimit {
			h.failed = failedLimit / 2 // a probe that went well
		}
		h.backoff = 0
		h.openUntil = time.Time{}
		if h.first == 0 {
			h.first = took
		}
		h.first += time.Duration(firstWeight * float64(took-h.first))
	case Failed, Broken:
		h.failed += failedWeight * (1 - h.failed)
		if h.failed >= failedLimit {
			h.close(now)
		}
	case Unreachable, Down:
		h.failed = max(h.failed, failedLimit)
		h.close(now)
	case Full:
		h.pass(fullFor, now)
	case TurnedAway:
		h.turned = min(max(2*h.turned, fullFor), turnedMost)
		h.pass(h.turned, now)
	case Abandoned:
	}
}

// Level compares the upstreams of each pool with one another, so that a slow
// one is seen. It is called now and then.
func (t *Table) Level(dc contract.DataCentreID, now time.Time) {
	t.countReaders(now)
	t.meanWaits(dc, now)
	t.forget(now)
	for _, states := range t.pools {
		total, n := time.Duration(0), 0
		for _, s := range states {
			if s.health.first > 0 {
				total += s.health.first
				n++
			}
		}
		for _, s := range states {
			s.health.others = 0
			if n > 1 && s.health.first > 0 {
				s.health.others = (total - s.health.first) / time.Duration(n-1)
			}
		}
	}
}

// slowness returns the factor by which an upstream counts as longer.
func (h *health) slowness() float64 {
	if h.others == 0 || float64(h.first) < slowFrom*float64(h.others) {
		return 1
	}
	return float64(h.first) / float64(h.others)
}

// SetCosts takes in the prices of models, which stand in for times that are not
// known yet.
func (t *Table) SetCosts(costs map[contract.ModelID]float64) { t.rates.SetCosts(costs) }

// Held notes for how long an upstream worked on a prompt after its answer had
// begun.
func (t *Table) Held(d time.Duration) {
	if t.held == 0 {
		t.held = d
	}
	t.held += time.Duration(heldWeight * float64(d-t.held))
}

// heldWeight is the weight of the newest time in Table.held.
const heldWeight = 0.05

// began takes in when the answer to a prompt began, and when that was expected.
func (h *health) began(took, expected time.Duration) {
	ratio := min(float64(took)/float64(expected), mostRatio)
	if h.ratio == 0 {
		h.ratio = 1
	}
	h.ratio += firstWeight * (ratio - h.ratio)
}

// slower returns the factor by which a model engine counts as longer than what
// its queue and its prompts tell.
func (h *health) slower() float64 {
	if h.ratio < slowFrom {
		return 1
	}
	return h.ratio
}

// Busy returns how many requests of this VM are at each upstream that has any.
func (t *Table) Busy() map[contract.UpstreamID]int {
	running := make(map[contract.UpstreamID]int)
	for id, s := range t.states {
		if s.inFlight > 0 {
			running[id] = s.inFlight
		}
	}
	return running
}
