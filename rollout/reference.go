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

// referenceSample is one duration, relative to what was expected of the attempt.
// It is a lower bound if the attempt ended earlier for another reason.
type referenceSample struct {
	ratio      float64
	lowerBound bool
	at         time.Time
}

const (
	// maxReference is the number of durations kept of a kind.
	maxReference = 64
	// minReference is the number of durations of a kind with which others are compared.
	minReference = 5
	// freshReferenceAge bounds the age of durations that are used, because load changes. Where there are
	// fewer than wantedReference of that age, the latest are used up to maxReferenceAge.
	freshReferenceAge = 3 * time.Second
	maxReferenceAge   = 10 * time.Second
	wantedReference   = 16
	// ranksPerReference is the number of ranks for which one duration of the reference serves.
	ranksPerReference = 0.5
	// toleratedSlowdown is the factor by which a good release may be slower, for example while its
	// prompt caches are empty.
	toleratedSlowdown = 1.5
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

// rank returns the share of the reference that is at least as slow as ratio is beyond
// toleratedSlowdown, and whether there is a reference to compare with. For a release that is not slower
// than that, the chance of a rank of at most x is at most x, whatever the distribution: the duration
// counts among the reference. A lower bound counts as slower than any ratio.
func (r *reference) rank(k Kind, ratio float64, now time.Time) (rank float64, known bool) {
	kind, ok := r.byKind[k]
	if !ok {
		return 0, false
	}
	tolerated := ratio / toleratedSlowdown
	slower, used := 1, 1
	for i := range kind.samples {
		s := kind.latest(i)
		if age := now.Sub(s.at); age >= maxReferenceAge || age >= freshReferenceAge && i >= wantedReference {
			break
		}
		used++
		if s.lowerBound || s.ratio >= tolerated {
			slower++
		}
	}
	return float64(slower) / float64(used), used > minReference
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
