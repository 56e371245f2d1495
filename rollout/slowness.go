package rollout

import (
	"math"
	"time"
)

// Time is how long an answer took in one respect, such as the time to its first
// piece on one route with one model. Only times of one kind are compared.
type Time struct {
	Kind    string
	Seconds float64
}

// Slowness tells which times of a release are far above those of the other
// releases of a service. Times differ by orders of magnitude, so it compares
// logarithms. It is pure.
type Slowness struct {
	kinds map[string]*spread
	// compared is when a time of another release was last seen: what they took
	// before the load changed says nothing.
	compared time.Time
}

// spread is the mean and the variance of the logarithm of one kind of time.
type spread struct{ n, mean, m2 float64 }

// Parameters of Slowness.
var slowBy = math.Log(3) // between as long, and the several times of a bad release

const (
	// slowDeviations is how many deviations above the mean a time has to be: one
	// in forty of any release is.
	slowDeviations = 2.0
	// slowKnown is how many times of a kind are needed before one is compared.
	slowKnown = 20
	// slowMemory bounds how many times a mean rests on.
	slowMemory = 500
	// slowWithin is how recent a time of the others has to be.
	slowWithin = 3 * time.Second
)

// NewSlowness returns a comparison that has seen nothing.
func NewSlowness() *Slowness { return &Slowness{kinds: make(map[string]*spread)} }

// Observe takes in the times of an answer of the release on trial, or of
// another one, and tells whether one of them is slow.
func (s *Slowness) Observe(onTrial bool, times []Time, now time.Time) bool {
	slow := false
	for _, t := range times {
		slow = s.observe(onTrial, t, now) || slow
	}
	return slow
}

func (s *Slowness) observe(onTrial bool, t Time, now time.Time) bool {
	x := math.Log(max(t.Seconds, 1e-4))
	k, ok := s.kinds[t.Kind]
	if !ok {
		k = &spread{}
		s.kinds[t.Kind] = k
	}
	slow := k.n >= slowKnown && x > k.mean+max(slowBy, slowDeviations*math.Sqrt(k.m2/k.n))
	if !onTrial {
		k.add(x)
		s.compared = now
		return slow
	}
	return slow && now.Sub(s.compared) < slowWithin
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
