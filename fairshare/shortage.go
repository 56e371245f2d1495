package fairshare

import (
	"math"
	"time"
)

// Upstreams is what a VM knows about the upstreams of a service when a request arrives.
type Upstreams struct {
	// Slots is the number of known slots, and SlotsInUse how many of them are in use.
	Slots, SlotsInUse float64
	// Estimated is set if Wait and Begin are known. They are needed only while Tight.
	Estimated bool
	// Wait is how long the request would wait at the upstream that could begin it first.
	// Begin is the time from the request's arrival until it would begin there.
	Wait, Begin time.Duration
}

// Limits of the part of the slots that are in use.
const (
	// tightOccupancy is the occupancy below which no upstream is short: a refusal while half of
	// the slots are free is a fault.
	tightOccupancy = 0.5
	// busyOccupancy is the occupancy from which VMs exchange their demand. It is below
	// tightOccupancy, so that the demand is known by the time at which the upstreams are short.
	busyOccupancy = 1.0 / 3
)

// Tight reports whether at least half of the slots are in use.
func (u Upstreams) Tight() bool { return u.Slots > 0 && u.SlotsInUse >= tightOccupancy*u.Slots }

// busy reports whether the demand should be known to other VMs.
func (u Upstreams) busy() bool { return u.Slots > 0 && u.SlotsInUse >= busyOccupancy*u.Slots }

// Parameters of the shortage signal. A fraction is the time until a request would begin, divided by
// the longest objective of the service.
const (
	// The upstreams are short after minLateDecisions consecutive requests, over at least
	// minLateTime, that would begin after the objective. A single estimate is often wrong:
	// the answer time is uncertain by an eighth of the objective.
	minLateDecisions = 4
	minLateTime      = 300 * time.Millisecond
	// beginsInTime is the fraction below which a request is expected to begin in time, with a
	// risk of one in six of being late (upstream.LateRisk). Such a request is not refused, and a
	// mean fraction below it ends the shortage.
	beginsInTime = 0.8
	// targetFraction is the fraction that the admitted work aims at: the middle between the end
	// of a shortage and its begin.
	targetFraction = 0.9
	// maxGap is the longest time between two requests of consecutive evidence.
	maxGap = Averaging
	// estimateSmoothing is the time over which estimates are averaged. Prompts of different
	// sizes differ in the time until they would begin.
	estimateSmoothing = 500 * time.Millisecond
)

// shortage detects from consecutive estimates whether the upstreams of a service are short.
// It also follows how fast the waits grow.
type shortage struct {
	// lateDecisions counts the consecutive late estimates; the first was made at lateSince.
	lateDecisions int
	lateSince     time.Time
	// short is set while the upstreams are short. since is when that began.
	short bool
	since time.Time
	// fraction is the fraction, and wait the wait in seconds, averaged over estimateSmoothing.
	// meanFraction is the fraction, and growth the growth of the wait in seconds per second,
	// averaged over Averaging. updated is the time of the last estimate.
	fraction, wait, meanFraction, growth float64
	updated                              time.Time
}

// observe records an estimate. othersShort is set if the upstreams are short at another VM.
func (s *shortage) observe(u Upstreams, longestObjective time.Duration, othersShort bool, now time.Time) {
	if !u.Tight() || !u.Estimated || longestObjective <= 0 {
		*s = shortage{}
		return
	}
	fraction := u.Begin.Seconds() / longestObjective.Seconds()
	elapsed := now.Sub(s.updated)
	if s.updated.IsZero() || elapsed > maxGap {
		*s = shortage{fraction: fraction, meanFraction: fraction, wait: u.Wait.Seconds(), updated: now}
	} else if elapsed > 0 {
		weight := weightAfter(elapsed, estimateSmoothing)
		s.fraction += weight * (fraction - s.fraction)
		s.meanFraction += weightAfter(elapsed, Averaging) * (fraction - s.meanFraction)
		change := weight * (u.Wait.Seconds() - s.wait)
		s.wait += change
		s.growth += weightAfter(elapsed, Averaging) * (change/elapsed.Seconds() - s.growth)
		s.updated = now
	}
	s.update(fraction, othersShort, now)
}

// weightAfter returns the weight of a new sample in an average over a time constant.
func weightAfter(elapsed, constant time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/constant.Seconds())
}

// update applies the newest fraction to the signal. The evidence of another VM counts while this
// VM's own requests do not begin in time: a VM of a large deployment sees so few requests that it
// would rarely have enough evidence of its own.
func (s *shortage) update(fraction float64, othersShort bool, now time.Time) {
	switch {
	case fraction <= 1:
		s.lateDecisions = 0
	case s.lateDecisions == 0:
		s.lateDecisions, s.lateSince = 1, now
	default:
		s.lateDecisions++
	}
	persistent := s.lateDecisions >= minLateDecisions && now.Sub(s.lateSince) >= minLateTime
	switch {
	case s.meanFraction < beginsInTime:
		s.short = false
	case !s.short && (persistent || othersShort):
		s.short, s.since = true, now
	}
}

// Parameters of the capacity.
const (
	// correctionTime is the time over which a wait is corrected to its target. It is twice the
	// averaging time: with a shorter time, the wait would oscillate.
	correctionTime = 2 * Averaging
	// maxCorrection limits the correction to half of the capacity.
	maxCorrection = 0.5
	// minGrowth and maxGrowth bound the growth of the waits, in seconds per second, from which the
	// capacity is computed.
	minGrowth, maxGrowth = -0.5, 3.0
	// minCapacityShare is the part of the offered work that is always admitted. If the estimated
	// waits were wrong, there would otherwise be no answers that correct them.
	minCapacityShare = 0.1
)

// capacity returns the work per second that the upstreams can take of this VM, which admits the
// given work. Waits grow by the ratio of the admitted work to the work that the upstreams do,
// less 1, so the ratio follows from their growth. The result is corrected so that the wait
// approaches its target: upward while the wait is shorter, downward while it is longer.
func (s *shortage) capacity(admitted float64, longestObjective time.Duration) float64 {
	if s.updated.IsZero() {
		return admitted // there are free slots
	}
	done := admitted / (1 + min(max(s.growth, minGrowth), maxGrowth))
	correction := (targetFraction - s.fraction) * longestObjective.Seconds() / correctionTime.Seconds()
	return done * (1 + min(max(correction, -maxCorrection), maxCorrection))
}
