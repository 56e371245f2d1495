// Package upstream decides which upstream gets a request. It is a pure state
// machine fed with configuration, load reports, the platform's list of leaving
// VMs, and what this VM itself sends; the time and the random source are given.
//
// Several VMs decide at once without a word between them, and reports lag, so
// each choice goes by this VM's own requests first and lets the report of a
// busy or idle upstream count less the older it is.
package upstream

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"woaddoor/config"
	"woaddoor/contract"
	"woaddoor/reading"
)

// Options tune the choice.
type Options struct {
	// SilentAfter is how long an upstream may go without a report before it
	// gets no new work. Zero means 3 s.
	SilentAfter time.Duration
	// HomeFull is the part of an upstream's places up to which it takes
	// requests because their prefix is at home there. Zero means 0.9.
	HomeFull float64
	// Listed means that the platform's list tells which upstreams are there, so
	// that none has to report before it gets work, and that load is told by
	// answers. Zero means that each has to report.
	Listed bool
	// Policy says which mechanisms are left out.
	Policy Policy
}

// Defaults of Options.
const (
	defaultSilentAfter = 3 * time.Second
	defaultHomeFull    = 0.9
)

func (o Options) withDefaults() Options {
	return Options{
		Listed:      o.Listed,
		Policy:      o.Policy,
		SilentAfter: cmp.Or(o.SilentAfter, defaultSilentAfter),
		HomeFull:    cmp.Or(o.HomeFull, defaultHomeFull),
	}
}

// Table is what one VM knows of the upstreams. Its owner locks it.
type Table struct {
	opts   Options
	states map[contract.UpstreamID]*state
	// away are the data centres that look cut off, until when.
	away map[contract.DataCentreID]time.Time
	// doubted are those with an upstream that has fallen silent.
	doubted map[contract.DataCentreID]bool
	pools   map[contract.PoolID][]*state
	// centres are the states of each data centre, in the order of ordered.
	centres map[contract.DataCentreID][]*state
	// ordered are all states by their ids, so that a choice depends on the random
	// source alone and not on the order of a map.
	ordered []*state
	// rates are how long listed upstreams take to read, demand what comes to be
	// read, and readers how many
	// of them read now.
	rates   *reading.Rates
	demand  demand
	readers int
	// group says of which upstreams this VM hears, and meanWait is the mean wait
	// there.
	group    Group
	meanWait time.Duration
	// held is the mean time for which a listed upstream works on a prompt after
	// its answer has begun.
	held time.Duration
	// listed tells that a list was taken in before, and owned who may send to cold
	// upstreams; chilled are the changes that the owner of the table has not taken.
	listed  bool
	owned   owned
	chilled []Chill
	// said is what lives of upstreams have said in answers, and limited are the listed
	// upstreams that have named a limit which holds, by their ids.
	said    map[contract.Life]*heldTo
	limited []*state
}

// state is what is known of one upstream.
type state struct {
	upstream config.Upstream
	pool     *config.Pool
	seed     uint64 // of its rank as a home of prefixes

	incarnation contract.Incarnation
	load        contract.Load
	// heardAt is when the last report was asked for; zero means never.
	heardAt time.Time
	// leaving holds the incarnation that is known to leave. A later one under
	// the same address is a new upstream.
	leaving   contract.Incarnation
	inFlight  int
	sentAfter int     // requests sent since the last report was asked for
	doneAfter int     // requests ended since then
	others    float64 // requests of other VMs, as expected from reports
	service   time.Duration
	servedAt  time.Time // when service was last learnt
	failures  int
	openUntil time.Time
	probing   bool
	health    health // of a listed upstream
	// queue and kept are what a listed upstream is believed to read and to keep.
	queue reading.Queue
	kept  *reading.Kept
	// readAt is when a prompt was last known to be sent there.
	readAt time.Time
	// place is that of this VM among those of its data centre, as of the owners' version.
	place, placed int
	// born and slots are those of the entry, and cold what is believed of its warmth.
	born  int64
	slots int
	cold  coldness
	// said is what the upstream has said in this life; nil for nothing. othersRest is when
	// the last rest ends that it has asked other VMs for.
	said       *heldTo
	othersRest time.Time
}

// NewTable returns an empty table.
func NewTable(opts Options) *Table {
	o := opts.withDefaults()
	return &Table{
		opts: o, away: make(map[contract.DataCentreID]time.Time), doubted: make(map[contract.DataCentreID]bool), states: make(map[contract.UpstreamID]*state), pools: make(map[contract.PoolID][]*state), centres: make(map[contract.DataCentreID][]*state),
		rates: reading.NewRates(nil), said: make(map[contract.Life]*heldTo),
	}
}

// Configure takes in the pools of a configuration. What is known of upstreams
// that stay is kept.
func (t *Table) Configure(pools map[contract.PoolID]*config.Pool) {
	states := make(map[contract.UpstreamID]*state)
	t.pools = make(map[contract.PoolID][]*state)
	for _, p := range pools {
		for _, u := range p.Upstreams {
			s, had := t.states[u.ID]
			if !had || s.upstream.URL != u.URL {
				s = &state{seed: xxhash.Sum64String(string(u.ID)), kept: reading.NewKept(0)}
			}
			s.upstream, s.pool = u, p
			states[u.ID] = s
			t.pools[p.ID] = append(t.pools[p.ID], s)
		}
		slices.SortFunc(t.pools[p.ID], func(a, b *state) int { return cmp.Compare(a.upstream.ID, b.upstream.ID) })
	}
	t.states = states
	t.ordered = slices.SortedFunc(maps.Values(states), func(a, b *state) int { return cmp.Compare(a.upstream.ID, b.upstream.ID) })
	t.centres = make(map[contract.DataCentreID][]*state)
	for _, s := range t.ordered {
		t.centres[s.pool.DataCentre] = append(t.centres[s.pool.DataCentre], s)
	}
}

// Reported takes in a load report that was asked for at askedAt. One that
// comes after a later one is dropped, and one of an earlier incarnation too.
func (t *Table) Reported(id contract.UpstreamID, l contract.Load, askedAt time.Time) {
	s, ok := t.states[id]
	if !ok || askedAt.Before(s.heardAt) || l.Incarnation < s.incarnation {
		return
	}
	if l.Incarnation > s.incarnation {
		// Another life under the same address: nothing known of the former
		// one holds, but for the requests still in flight.
		s.incarnation, s.failures, s.openUntil, s.service, s.others = l.Incarnation, 0, time.Time{}, 0, 0
		s.born = int64(l.Incarnation)
		s.said = t.said[contract.Life{Upstream: id, Born: s.born}]
	}
	if l.Draining {
		s.leaving = l.Incarnation
	}
	s.average(l, askedAt.Sub(s.heardAt))
	s.load, s.heardAt = l, askedAt
	s.sentAfter, s.doneAfter = 0, 0
}

// Unlisted takes in the upstreams that the platform lists as leaving, or that
// its list, which lags, no longer holds as live.
func (t *Table) Unlisted(leaving map[contract.UpstreamID]bool) {
	for id, s := range t.states {
		if leaving[id] {
			s.leaving = max(s.leaving, s.incarnation)
		}
	}
}

// Sent notes that a request goes to an upstream.
func (t *Table) Sent(id contract.UpstreamID) {
	if s, ok := t.states[id]; ok {
		s.inFlight++
		s.sentAfter++
	}
}

// Running returns how many requests of this VM run at the upstreams of a data centre.
func (t *Table) Running(dc contract.DataCentreID) int {
	n := 0
	for _, s := range t.centres[dc] {
		n += s.inFlight
	}
	return n
}

// Result says how a request ended at an upstream.
type Result uint8

// The results of a request.
const (
	// Good is a whole answer.
	Good Result = iota
	// Failed is the upstream's failure: it counts towards its circuit breaker.
	Failed
	// Abandoned is the caller's doing and says nothing of the upstream.
	Abandoned
	// Unreachable means that no connection came up: nothing was sent.
	Unreachable
	// Down means that no connection came up since nothing listens there any more:
	// nothing was sent, and its machine could be reached.
	Down
	// Full means that no connection to the upstream is free: nothing was sent.
	Full
	// TurnedAway means that the upstream refused the request without running it.
	TurnedAway
	// Broken means that the connection ended, or fell silent, before the answer was
	// whole: the upstream may have ended with it.
	Broken
)

// Circuit breaker of one upstream.
const (
	breakAfter   = 3
	breakBase    = 500 * time.Millisecond
	breakMax     = 10 * time.Second
	serviceSmall = 0.2 // weight of the newest service time
)

// Done notes that a request has ended, and how long it took.
func (t *Table) Done(id contract.UpstreamID, r Result, took time.Duration, now time.Time) {
	s, ok := t.states[id]
	if !ok {
		return
	}
	s.inFlight--
	s.doneAfter++
	s.probing = false
	if t.opts.Listed {
		t.reachable(s, r, now)
		t.feelCold(s, r, now)
		s.ended(r, took, now)
		return
	}
	switch r {
	case Good:
		s.failures = 0
		s.openUntil = time.Time{}
		s.served(took, now)
	case Failed, Broken:
		s.failures++
		if s.failures >= breakAfter {
			backoff := min(breakBase<<min(s.failures-breakAfter, 8), breakMax)
			s.openUntil = now.Add(backoff)
		}
	}
}

// ErrNone means that no upstream can take the request now.
var ErrNone = errors.New("no upstream can take the request")

// URL returns the address of an upstream.
func (t *Table) URL(id contract.UpstreamID) string {
	if s, ok := t.states[id]; ok {
		return s.upstream.URL
	}
	return ""
}

// Every returns all upstreams.
func (t *Table) Every() []config.Upstream {
	every := make([]config.Upstream, 0, len(t.states))
	for _, s := range t.states {
		every = append(every, s.upstream)
	}
	return every
}

// Places returns how many requests the usable upstreams of a kind work on at
// once: in a data centre, or in all when that has none.
func (t *Table) Places(kind config.PoolKind, dc contract.DataCentreID, now time.Time) int {
	near, all := 0, 0
	for _, s := range t.states {
		if s.pool.Kind != kind || !t.usable(s, "", now) {
			continue
		}
		all += s.pool.Slots
		if s.pool.DataCentre == dc {
			near += s.pool.Slots
		}
	}
	if near > 0 {
		return near
	}
	return all
}

// Heard tells whether any upstream has ever answered.
func (t *Table) Heard() bool {
	for _, s := range t.states {
		if !s.heardAt.IsZero() {
			return true
		}
	}
	return false
}

// usable tells whether an upstream may get new work.
//
// The platform's list may lag, and the platform may be out, so silence alone
// takes an upstream out: it has to say, every few seconds, that it is there.
func (t *Table) usable(s *state, v contract.VersionID, now time.Time) bool {
	if !s.takes(now) {
		return false
	}
	if t.opts.Listed {
		return s.hasConnection() && s.health.open(now) && t.bears(s, now)
	}
	if s.heardAt.IsZero() || now.Sub(s.heardAt) >= t.opts.SilentAfter {
		return false
	}
	if now.Before(s.openUntil) {
		return false
	}
	if s.failures >= breakAfter && s.probing {
		return false // one request at a time finds out whether it is back
	}
	return v == "" || slices.Contains(s.load.Versions, v)
}
