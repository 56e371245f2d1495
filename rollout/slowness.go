package rollout

import "math"

// Slowness finds a release that takes several times as long as the others. It
// compares the logarithms of times of the same kind, such as the time to a
// first answer on one route with one model, and sums up the evidence that the
// release is slower by slowBy (Page's cumulative sum, as Alarm). It is pure.
type Slowness struct {
	kinds map[string]*spread
	sum   float64
}

// spread is the mean and the variance of the logarithm of one kind of time.
type spread struct{ n, mean, m2 float64 }

// Parameters of Slowness.
// Twice as long, as a release that has read no prompts yet may take, is no
// evidence either way.
var slowBy = math.Log(4)

const (
	// slowHeight is the evidence that is needed; with a factor of at most
	// exp(-24) a start from nothing is a false alarm.
	slowHeight = 24.0
	// slowKnown is how many times of a kind are needed before one is compared.
	slowKnown = 40
	// slowStep bounds what one time adds, so that a few stragglers, which any
	// upstream has, do not make a verdict.
	slowStep = 2.0
	// leastVariance is the smallest that is believed.
	leastVariance = 0.25
	// slowMemory bounds how many times a mean rests on.
	slowMemory = 500
)

// NewSlowness returns a comparison that has seen nothing.
func NewSlowness() *Slowness { return &Slowness{kinds: make(map[string]*spread)} }

// Observe takes in a time, in seconds, of the release or of another one. It
// tells whether the release counts as slow.
func (s *Slowness) Observe(onTrial bool, kind string, seconds float64) bool {
	x := math.Log(max(seconds, 1e-4))
	k, ok := s.kinds[kind]
	if !ok {
		k = &spread{}
		s.kinds[kind] = k
	}
	if !onTrial {
		k.add(x)
		return false
	}
	if k.n < slowKnown {
		return false
	}
	variance := max(k.m2/k.n, leastVariance)
	step := ((x-k.mean)*slowBy - slowBy*slowBy/2) / variance
	s.sum = max(0, s.sum+min(max(step, -slowStep), slowStep))
	return s.sum >= slowHeight
}

func (k *spread) add(x float64) {
	if k.n >= slowMemory {
		k.m2 *= 1 - 1/k.n
		k.n--
	}
	k.n++
	off := x - k.mean
	k.mean += off / k.n
	k.m2 += off * (x - k.mean)
}
