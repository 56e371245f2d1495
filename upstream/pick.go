package upstream

import (
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
	// Exclude holds upstreams that have failed this request.
	Exclude []contract.UpstreamID
}

// Pick returns the upstream for a request. It fails with ErrNone.
//
// A few upstreams are drawn at random, together with the one that most likely
// has the prefix cached, and the one with the least expected wait wins. The
// draw keeps VMs that know the same reports from running to the same upstream.
func (t *Table) Pick(q Query, now time.Time, random *rand.Rand) (contract.UpstreamID, error) {
	usable := t.candidates(q, now)
	if len(usable) == 0 {
		return "", ErrNone
	}
	holder := t.prefixes.holder(q.Prefix)
	var best *state
	bestScore := 0.0
	for _, s := range t.draw(usable, holder, random) {
		score := t.score(s, now)
		if s.upstream.ID == holder {
			score -= t.opts.PrefixWorth / float64(s.pool.Slots)
		}
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	if best.failures >= breakAfter {
		best.probing = true
	}
	return best.upstream.ID, nil
}

// candidates returns the usable upstreams, those of the preferred data centre
// if there are any.
func (t *Table) candidates(q Query, now time.Time) []*state {
	var near, far []*state
	for id, states := range t.pools {
		if len(q.Pools) > 0 && !slices.Contains(q.Pools, id) {
			continue
		}
		for _, s := range states {
			if s.pool.Kind != q.Kind || slices.Contains(q.Exclude, s.upstream.ID) || !t.usable(s, q.Version, now) {
				continue
			}
			if s.pool.DataCentre == q.DataCentre {
				near = append(near, s)
			} else {
				far = append(far, s)
			}
		}
	}
	if len(near) > 0 {
		return sorted(near)
	}
	return sorted(far)
}

// sorted makes the draw depend on the random source alone, not on map order.
func sorted(states []*state) []*state {
	slices.SortFunc(states, func(a, b *state) int {
		if a.upstream.ID < b.upstream.ID {
			return -1
		}
		return 1
	})
	return states
}

func (t *Table) draw(usable []*state, holder contract.UpstreamID, random *rand.Rand) []*state {
	n := min(t.opts.Choices, len(usable))
	for i := range n {
		j := i + random.IntN(len(usable)-i)
		usable[i], usable[j] = usable[j], usable[i]
	}
	drawn := usable[:n]
	for _, s := range usable[n:] {
		if s.upstream.ID == holder {
			drawn = append(drawn, s)
		}
	}
	return drawn
}

// reportHalfLife is the age at which a report counts half.
const reportHalfLife = 2 * time.Second

// defaultService stands in for a service time that was never seen.
const defaultService = 100 * time.Millisecond

// score returns the expected wait at an upstream, in seconds.
//
// Its line is what this VM has there now, plus what the report told of others:
// the reported line less our own part in it, worn by its age towards zero.
func (t *Table) score(s *state, now time.Time) float64 {
	age := now.Sub(s.heardAt) + time.Duration(s.load.AgeMillis)*time.Millisecond
	reported := float64(s.load.Running + s.load.Waiting)
	ownThen := float64(s.inFlight - s.sentAfter + s.doneAfter)
	others := max(reported-ownThen, 0)
	weight := float64(reportHalfLife) / float64(reportHalfLife+age)
	line := float64(s.inFlight) + others*weight
	service := s.service
	if service == 0 {
		service = defaultService
	}
	return (line + 1) / float64(s.pool.Slots) * service.Seconds()
}
