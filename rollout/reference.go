package rollout

import (
	"time"
)

// Kind identifies durations that are compared with each other: the phase of the attempt that was
// measured, and the model or, for requests without a prompt, the route.
type Kind struct {
	Phase Phase
	Of    string
}

// Phase is a part of an attempt whose duration is compared between releases.
type Phase uint8

// Phases of an attempt.
const (
	// PhaseFirst lasts from the send to the beginning of the answer, or to its end if the answer is
	// not a stream.
	PhaseFirst Phase = iota
	// PhaseEvent is the mean time between the first events of a stream.
	PhaseEvent
	phaseCount
)

// reference holds the latest durations of a service's other releases, with which the durations of the
// release on trial are compared. Durations of each kind are ranked only among themselves, so no
// assumption about their distribution is needed.
type reference struct {
	byKind map[Kind]*referenceKind
}

// referenceKind is a ring of the latest durations of one kind.
type referenceKind struct {
	samples []referenceSample
	next    int
	// unused limits how many durations of the trial are still ranked. A duration of the reference serves
	// for as few as possible, since ranks that share a reference are not independent.
	unused float64
}

// referenceSample is one duration, and what was expected of it; expected is zero if nothing was.
// The duration is a lower bound if the attempt ended earlier for another reason.
type referenceSample struct {
	duration, expected time.Duration
	lowerBound         bool
	at                 time.Time
}

// matches reports whether a duration may be compared with the sample, by what was expected of it.
func (s referenceSample) matches(expected time.Duration) bool {
	a, b := max(s.expected, minExpected), max(expected, minExpected)
	return a <= matchingFactor*b && b <= matchingFactor*a
}

const (
	// maxReference is the number of durations kept of a kind.
	maxReference = 128
	// minReference is the number of durations of a kind with which others are compared.
	minReference = 5
	// freshReferenceAge bounds the age of durations that are used, because load changes. Where there are
	// fewer than wantedReference of that age, the latest are used up to maxReferenceAge.
	freshReferenceAge = 3 * time.Second
	maxReferenceAge   = 10 * time.Second
	wantedReference   = 16
	// ranksPerReference is the number of ranks for which one duration of the reference serves.
	ranksPerReference = 0.5
	// matchingFactor is the largest factor between the expected durations of attempts that are compared. An
	// expectation may be wrong by a factor that depends on its size.
	matchingFactor = 2
	// minExpected is the expected duration below which differences of expectations mean nothing.
	minExpected = 20 * time.Millisecond
	// toleratedSlowdown is the factor by which a good release may be slower, for example while its
	// prompt caches are empty.
	toleratedSlowdown = 1.5
	// toleratedDelay is how much longer its answers may take in any case. A VM that waits for processor time adds as much.
	toleratedDelay = 10 * time.Millisecond
)

func newReference() *reference { return &reference{byKind: make(map[Kind]*referenceKind)} }

// add records a duration of another release.
func (r *reference) add(k Kind, s referenceSample) {
	kind, ok := r.byKind[k]
	if !ok {
		kind = &referenceKind{}
		r.byKind[k] = kind
	}
	kind.unused = min(kind.unused+ranksPerReference, maxReference)
	if len(kind.samples) < maxReference {
		kind.samples = append(kind.samples, s)
		return // next is 0 while the ring fills, so the last duration is the latest
	}
	kind.samples[kind.next] = s
	kind.next = (kind.next + 1) % maxReference
}

// ranking is the rank of a duration among a reference.
type ranking struct {
	// share is the share of the reference that is at least as slow.
	share float64
	// slowest is set if none of the reference is, so that a longer duration has the same rank.
	slowest bool
}

// rank returns the rank of a duration among the matching reference that is at least as slow as the duration is beyond
// toleratedSlowdown and toleratedDelay, and whether there is a reference to compare with. For a release that is not slower
// than that, the chance of a rank of at most x is at most x, whatever the distribution: the duration counts among the
// reference.
func (r *reference) rank(k Kind, duration, expected time.Duration, now time.Time) (rank ranking, known bool) {
	kind, ok := r.byKind[k]
	if !ok {
		return ranking{}, false
	}
	tolerated := min(time.Duration(float64(duration)/toleratedSlowdown), duration-toleratedDelay)
	slower, used := 1, 1
	for i := range kind.samples {
		s := kind.latest(i)
		if age := now.Sub(s.at); age >= maxReferenceAge || age >= freshReferenceAge && used > wantedReference {
			break
		}
		if !s.matches(expected) || s.lowerBound && s.duration < tolerated {
			continue // how it compares is not known
		}
		used++
		if s.duration >= tolerated {
			slower++
		}
	}
	return ranking{float64(slower) / float64(used), slower == 1}, used > minReference
}

// latest returns the duration that was recorded i durations before the last.
func (k *referenceKind) latest(i int) referenceSample {
	n := len(k.samples)
	return k.samples[(k.next-1-i+2*n)%n]
}

// use takes one rank from those for which the reference serves, and reports whether any was left.
func (r *reference) use(k Kind) bool {
	kind := r.byKind[k]
	if kind.unused < 1 {
		return false
	}
	kind.unused--
	return true
}
