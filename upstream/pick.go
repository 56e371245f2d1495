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

// Query is what a request needs of its upstream.
type Query struct {
	Kind config.PoolKind
	// Pools limits the choice; empty means all pools of the kind.
	Pools []contract.PoolID
	// DataCentre is preferred; others are used when it has none.
	DataCentre contract.DataCentreID
	// Version has to be held; empty for plain services.
	Version contract.VersionID
	// Prefix is the key of the prompt's prefix; zero means none.
	Prefix uint64
	// Work is what the request asks of a listed upstream.
	Work Work
	// Exclude holds upstreams that have failed this request.
	Exclude []contract.UpstreamID
}

// Pick returns the upstream for a request. It fails with ErrNone.
//
// A prompt's prefix has two homes, the same for every VM without a word
// between them (rendezvous hashing), so that it is cached there and not
// everywhere. A home is taken while it has room; else the upstream with the
// least expected wait is.
func (t *Table) Pick(q Query, now time.Time, random *rand.Rand) (contract.UpstreamID, error) {
	if t.opts.Listed {
		best := t.unasked(q, now)
		if best == nil {
			best = t.cheapest(q, now, t.opts.Policy.Has(Homes), random)
		}
		if best == nil {
			return t.lastResort(q, now)
		}
		best.health.picked(now)
		t.chosen(best, now)
		return best.upstream.ID, nil
	}
	usable := t.candidates(q, now)
	if len(usable) == 0 {
		return "", ErrNone
	}
	best := t.home(usable, q.Prefix, now)
	if best == nil {
		best = least(usable, random, now)
	}
	if best.failures >= breakAfter {
		best.probing = true
	}
	return best.upstream.ID, nil
}

// candidates returns the usable upstreams that report, those of the preferred data
// centre if there are any.
func (t *Table) candidates(q Query, now time.Time) []*state {
	near, far := make([]*state, 0, len(t.ordered)), []*state(nil)
	for _, s := range t.ordered {
		if !q.allows(s) || !t.usable(s, q.Version, now) {
			continue
		}
		if s.pool.DataCentre == q.DataCentre {
			near = append(near, s)
		} else {
			far = append(far, s)
		}
	}
	if len(near) > 0 && (hasRoom(near) || !hasRoom(far)) {
		return near
	}
	return far
}

// allows tells whether the query may be answered by an upstream, whatever its
// state.
func (q Query) allows(s *state) bool {
	return s.pool.Kind == q.Kind &&
		(len(q.Pools) == 0 || slices.Contains(q.Pools, s.pool.ID)) &&
		!slices.Contains(q.Exclude, s.upstream.ID)
}

// hasRoom tells whether any of the upstreams has a free place.
func hasRoom(states []*state) bool {
	return slices.ContainsFunc(states, func(s *state) bool { return s.line()+1 <= float64(s.pool.Slots) })
}

// home returns the home of a prefix that has room, or nil.
func (t *Table) home(usable []*state, prefix uint64, now time.Time) *state {
	if prefix == 0 {
		return nil
	}
	first, second := homes(usable, prefix)
	mean := meanLine(usable)
	for _, s := range []*state{first, second} {
		if s == nil || s.failures > 0 || slow(s, usable, now) {
			continue
		}
		room := max(t.opts.HomeFull*float64(s.pool.Slots), overMean*mean)
		if s.line()+1 <= room {
			return s
		}
	}
	return nil
}

// overMean is how much longer than the mean line a home's line may be when
// every upstream is full: sending a prompt elsewhere then only adds the work
// of reading its prefix anew.
const overMean = 1.25

func meanLine(usable []*state) float64 {
	total := 0.0
	for _, s := range usable {
		total += s.line()
	}
	return total / float64(len(usable))
}

// rank orders upstreams as homes of a prefix: both are hashes already, and the
// steps mix their bits (the finalizer of splitmix64).
func (s *state) rank(prefix uint64) uint64 {
	x := s.seed ^ prefix
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// slowFactor is how much longer than the others' median an upstream's requests
// take before it counts as slow.
const slowFactor = 2

// slow tells whether an upstream takes much longer than the others.
func slow(s *state, usable []*state, now time.Time) bool {
	others := meanTakes(usable, s, now)
	return others > 0 && s.takesFor(now) > slowFactor*others
}

// meanTakes returns how long upstreams take in the mean, as far as that is known, one of
// them left out; zero for not known.
func meanTakes(usable []*state, but *state, now time.Time) time.Duration {
	total, n := time.Duration(0), 0
	for _, s := range usable {
		if takes := s.takesFor(now); s != but && takes > 0 {
			total += takes
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return total / time.Duration(n)
}

// serviceHolds is for how long an upstream that works on nothing is believed to take as
// long as it last did: only its answers tell, and who is believed to be slow gets no request
// that could.
const serviceHolds = 2 * time.Second

// takesFor returns how long an upstream takes for a request; zero for not known.
func (s *state) takesFor(now time.Time) time.Duration {
	if s.inFlight == 0 && now.Sub(s.servedAt) >= serviceHolds {
		return 0
	}
	return s.service
}

// served takes in how long an upstream took for a request.
func (s *state) served(took time.Duration, now time.Time) {
	if s.service == 0 || now.Sub(s.servedAt) >= serviceHolds {
		s.service = took
	}
	s.service += time.Duration(serviceSmall * float64(took-s.service))
	s.servedAt = now
}

// least returns the upstream with the least expected wait; equals are drawn. One of which
// it is not known how long it takes is taken for one like the others.
func least(usable []*state, random *rand.Rand, now time.Time) *state {
	unknown := cmp.Or(meanTakes(usable, nil, now), defaultService)
	best, _ := lowest(usable, func(s *state) float64 { return s.score(cmp.Or(s.takesFor(now), unknown)) }, random)
	return best
}

// lowest returns the upstream with the lowest cost, and that cost; nil of none.
// Equals are drawn.
func lowest(usable []*state, cost func(*state) float64, random *rand.Rand) (best *state, bestCost float64) {
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

// defaultService stands in where no service time is known.
const defaultService = 100 * time.Millisecond

// line returns how many requests an upstream is expected to have: this VM's
// own, which are known, and those of others, by reports averaged over time.
func (s *state) line() float64 { return float64(s.inFlight) + s.others }

// ownWeight is how much more this VM's own requests count than those that
// others are expected to have. What others have is known late and by all
// alike: going by it, all VMs run to one upstream; see docs/MEASURES.md.
const ownWeight = 4.0

// score orders upstreams by expected wait, in seconds times a constant, by how long they
// take for a request.
func (s *state) score(service time.Duration) float64 {
	return (ownWeight*float64(s.inFlight) + s.others + 1) / float64(s.pool.Slots) * service.Seconds()
}

// averageOver is the time over which reports of others' requests are averaged.
// A shorter time makes all VMs run to whichever upstream was idle when the
// reports were made; see docs/MEASURES.md.
const averageOver = 5 * time.Second

// average takes a report into the expectation of others' requests.
func (s *state) average(l contract.Load, passed time.Duration) {
	ownThen := float64(s.inFlight - s.sentAfter + s.doneAfter)
	others := max(float64(l.Running+l.Waiting)-ownThen, 0)
	age := time.Duration(l.AgeMillis) * time.Millisecond
	weight := 1 - math.Exp(-float64(passed)/float64(averageOver+2*age))
	s.others += weight * (others - s.others)
}
