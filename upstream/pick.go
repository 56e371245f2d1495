package upstream

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"woaddoor/config"
	"woaddoor/contract"
)

// Query describes which upstreams can serve a request.
type Query struct {
	Kind config.PoolKind
	// Pools restricts the selection; empty means all pools of the kind.
	Pools []contract.PoolID
	// DataCentre is the preferred data centre. Other data centres are used if the preferred
	// data centre has no suitable upstream.
	DataCentre contract.DataCentreID
	// Version is the model version that must be loaded; empty for plain services.
	Version contract.VersionID
	// Prefix is the key of the prompt's prefix; zero means none.
	Prefix uint64
	// Work is the work that the request causes at a listed upstream.
	Work Work
	// Exclude holds the upstreams that have already failed this request.
	Exclude []contract.UpstreamID
	// Fraction restricts the selection to that fraction of each pool's upstreams, at least one, which all VMs
	// compute alike. Zero means all. A fraction contains the smaller ones.
	Fraction float64
	// Concentration restricts the selection further, across pools and data centres.
	Concentration Concentration
}

// restrict returns the upstreams of a sorted list that the query's fraction of their pools contains.
func (q Query) restrict(states []*state) []*state {
	if q.Fraction <= 0 || q.Fraction >= 1 {
		return states
	}
	byPool := make(map[contract.PoolID][]*state)
	for _, s := range states {
		byPool[s.pool.ID] = append(byPool[s.pool.ID], s)
	}
	var kept []*state
	for _, members := range byPool {
		slices.SortFunc(members, func(a, b *state) int { return cmp.Compare(a.idHash, b.idHash) })
		kept = append(kept, members[:countOf(q.Fraction, len(members))]...)
	}
	slices.SortFunc(kept, func(a, b *state) int { return cmp.Compare(a.upstream.ID, b.upstream.ID) })
	return kept
}

const (
	// minChoice is the number of upstreams of a fraction that is about one upstream of a large pool: a single one
	// queues requests while VMs pass over the busy ones of the rest of the pool, which makes it look slow.
	minChoice = 2
	// largePool is the number of upstreams from which a pool is large.
	largePool = 8
)

// countOf returns how many of n upstreams a fraction contains.
func countOf(fraction float64, n int) int {
	count := int(math.Round(fraction * float64(n)))
	if count == 1 && n >= largePool {
		count = minChoice
	}
	return min(max(count, 1), n)
}

// Pick returns the upstream for a request, or ErrNone.
//
// Each prompt prefix has two upstreams as its homes, which all VMs compute without communication
// (rendezvous hashing), so that the prefix is cached there and not everywhere.
// Without the platform's list of upstreams, a home is selected if its load is low enough,
// else the upstream with the least expected wait. With the list of upstreams,
// the upstream with the lowest cost is selected, and homes cost less.
func (t *Table) Pick(q Query, now time.Time, random *rand.Rand) (contract.UpstreamID, error) {
	if t.opts.Listed {
		best := t.pickListed(q, now, random)
		switch {
		case best == nil && q.Concentration.Fraction > 0:
			return "", ErrNone
		case best == nil:
			return t.lastResort(q, now)
		}
		best.health.recordPick(now)
		t.recordPick(best, now)
		return best.upstream.ID, nil
	}
	usable := t.candidates(q, now)
	if len(usable) == 0 {
		return "", ErrNone
	}
	best := t.availableHome(usable, q.Prefix, now)
	if best == nil {
		best = shortestWait(usable, random, now)
	}
	if best.failures >= breakerThreshold {
		best.probing = true
	}
	return best.upstream.ID, nil
}

// pickListed returns the listed upstream for a request, or nil if none can take it.
func (t *Table) pickListed(q Query, now time.Time, random *rand.Rand) *state {
	if q.Concentration.Fraction > 0 {
		return t.pickConcentrated(q, now, random)
	}
	best := t.dueForProbe(q, now)
	if best == nil {
		best = t.cheapest(q, now, t.opts.Policy.Has(HomeUpstreams), random)
	}
	return best
}

// candidates returns usable upstreams that send load reports.
// The returned upstreams are in the preferred data centre, unless that data centre has no usable
// upstream or only other data centres have free slots.
func (t *Table) candidates(q Query, now time.Time) []*state {
	local, remote := make([]*state, 0, len(t.sortedStates)), []*state(nil)
	for _, s := range t.sortedStates {
		if !q.allows(s) || !t.usable(s, q.Version, now) {
			continue
		}
		if s.pool.DataCentre == q.DataCentre {
			local = append(local, s)
		} else {
			remote = append(remote, s)
		}
	}
	if len(local) > 0 && (hasFreeSlot(local) || !hasFreeSlot(remote)) {
		return local
	}
	return remote
}

// allows reports whether an upstream may answer the query, regardless of its state.
func (q Query) allows(s *state) bool {
	return s.pool.Kind == q.Kind &&
		(len(q.Pools) == 0 || slices.Contains(q.Pools, s.pool.ID)) &&
		!slices.Contains(q.Exclude, s.upstream.ID)
}

// hasFreeSlot reports whether any of the upstreams has a free slot.
func hasFreeSlot(states []*state) bool {
	return slices.ContainsFunc(states, func(s *state) bool { return s.expectedLoad()+1 <= float64(s.pool.Slots) })
}

// availableHome returns a home upstream of a prompt prefix that is not too loaded, or nil.
func (t *Table) availableHome(usable []*state, prefix uint64, now time.Time) *state {
	if prefix == 0 {
		return nil
	}
	first, second := prefixHomes(usable, prefix)
	mean := meanLoad(usable)
	for _, s := range []*state{first, second} {
		if s == nil || s.failures > 0 || isSlow(s, usable, now) {
			continue
		}
		loadLimit := max(t.opts.HomeLoadLimit*float64(s.pool.Slots), maxHomeLoadRatio*mean)
		if s.expectedLoad()+1 <= loadLimit {
			return s
		}
	}
	return nil
}

// maxHomeLoadRatio bounds the load of a home upstream of a prompt prefix when every upstream is
// full, as a multiple of the mean load. Below that bound, sending a prompt to another upstream
// would only add the work of prefilling its prefix again.
const maxHomeLoadRatio = 1.25

// meanLoad returns the mean of the expected load of upstreams.
func meanLoad(usable []*state) float64 {
	total := 0.0
	for _, s := range usable {
		total += s.expectedLoad()
	}
	return total / float64(len(usable))
}

// rendezvousHash ranks upstreams for a prefix (or VMs for an upstream).
func (s *state) rendezvousHash(key uint64) uint64 { return rendezvousHash(s.idHash, key) }

// rendezvousHash combines two hashes. Shifts and multiplications mix the bits of both
// (the finalizer of splitmix64).
func rendezvousHash(a, b uint64) uint64 {
	x := a ^ b
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// An upstream counts as slow if its requests take more than slowFactor times as long as the mean of
// the other upstreams.
const slowFactor = 2

// isSlow reports whether the requests of an upstream take much longer than the requests of the
// other upstreams.
func isSlow(s *state, usable []*state, now time.Time) bool {
	others := meanServiceTime(usable, s, now)
	return others > 0 && s.recentServiceTime(now) > slowFactor*others
}

// meanServiceTime returns the mean service time of the upstreams except excluded, or zero if
// no service time is known.
func meanServiceTime(usable []*state, excluded *state, now time.Time) time.Duration {
	total, n := time.Duration(0), 0
	for _, s := range usable {
		if serviceTime := s.recentServiceTime(now); s != excluded && serviceTime > 0 {
			total += serviceTime
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return total / time.Duration(n)
}

// serviceTimeTTL is how long the last service time of an idle upstream stays valid.
// Only answers update the service time, and an upstream that counts as slow gets no requests whose
// answers could update the service time.
const serviceTimeTTL = 2 * time.Second

// recentServiceTime returns the service time of an upstream, or zero if the service time is not
// known.
func (s *state) recentServiceTime(now time.Time) time.Duration {
	if s.inFlight == 0 && now.Sub(s.serviceTimeAt) >= serviceTimeTTL {
		return 0
	}
	return s.serviceTime
}

// recordServiceTime updates the service time average with one sample.
func (s *state) recordServiceTime(took time.Duration, now time.Time) {
	if s.serviceTime == 0 || now.Sub(s.serviceTimeAt) >= serviceTimeTTL {
		s.serviceTime = took
	}
	s.serviceTime += time.Duration(serviceTimeWeight * float64(took-s.serviceTime))
	s.serviceTimeAt = now
}

// shortestWait returns the upstream with the shortest expected wait, at random among equals.
// An upstream without a known service time is assumed to be like the other upstreams.
func shortestWait(usable []*state, random *rand.Rand, now time.Time) *state {
	assumed := cmp.Or(meanServiceTime(usable, nil, now), defaultServiceTime)
	best, _ := lowestCost(usable, func(s *state) float64 { return s.waitScore(cmp.Or(s.recentServiceTime(now), assumed)) }, random)
	return best
}

// lowestCost returns the upstream with the lowest cost and that cost, at random among equals.
// It returns nil if there is no usable upstream.
func lowestCost(usable []*state, cost func(*state) float64, random *rand.Rand) (best *state, bestCost float64) {
	ties := 0
	for _, s := range usable {
		c := cost(s)
		switch {
		case best == nil || c < bestCost:
			best, bestCost, ties = s, c, 1
		case c == bestCost:
			ties++
			if random.IntN(ties) == 0 {
				best = s
			}
		}
	}
	return best, bestCost
}

// defaultServiceTime is used if no service time is known.
const defaultServiceTime = 100 * time.Millisecond

// expectedLoad returns how many requests an upstream is expected to have:
// the requests of this VM, which are known, and the requests of other VMs,
// which are estimated from load reports averaged over time.
func (s *state) expectedLoad() float64 { return float64(s.inFlight) + s.othersInFlight }

// ownRequestWeight is how much more this VM's own requests count than the expected requests of
// other VMs. The requests of other VMs are known late, and equally to all VMs:
// a selection that relies on them makes all VMs move to the same upstream. See docs/MEASURES.md.
const ownRequestWeight = 4.0

// waitScore returns a score that is proportional to the expected wait (seconds times a constant),
// at the given service time.
func (s *state) waitScore(serviceTime time.Duration) float64 {
	return (ownRequestWeight*float64(s.inFlight) + s.othersInFlight + 1) / float64(s.pool.Slots) * serviceTime.Seconds()
}

// reportAveragingTime is the time over which reports of other VMs' requests are averaged. With
// a shorter time, all VMs move to whichever upstream was idle when the reports were made. See
// docs/MEASURES.md.
const reportAveragingTime = 5 * time.Second

// averageReport updates the expected requests of other VMs with a load report.
func (s *state) averageReport(l contract.LoadReport, elapsed time.Duration) {
	ownThen := float64(s.inFlight - s.sentSinceReport + s.doneSinceReport)
	others := max(float64(l.Running+l.Waiting)-ownThen, 0)
	age := time.Duration(l.AgeMillis) * time.Millisecond
	weight := 1 - math.Exp(-float64(elapsed)/float64(reportAveragingTime+2*age))
	s.othersInFlight += weight * (others - s.othersInFlight)
}
