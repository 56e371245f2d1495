package prefill

import (
	"math"
	"time"
)

// Pace estimates how long work takes at one upstream as a multiple of the usual time:
// 1 is the usual pace, and 2 is half as fast.
// The zero value is an unknown pace.
// Pace is not safe for concurrent use; the caller holds a lock.
type Pace struct {
	// base is the pace of the upstream without disturbances by other work on its machine.
	// Zero means unknown.
	base float64
	// excess is the last stated pace divided by the base pace, as of statedAt.
	excess   float64
	statedAt time.Time
	// logMeasured is the averaged logarithm of the measured time divided by the expected time,
	// without the correction that follows from it.
	logMeasured float64
}

// Parameters of Pace.
const (
	// decreaseWeight and increaseWeight are the weights of a stated pace, on a logarithmic scale,
	// if it is below and above the base pace. Other work on the machine can only make an upstream
	// slower, so the base pace follows low values quickly and high values slowly.
	decreaseWeight = 0.5
	increaseWeight = 0.05
	// excessDecay is the time over which a stated disturbance loses its effect on the estimate.
	// A machine that is shared is busy with other work for some hundred milliseconds.
	excessDecay = 300 * time.Millisecond
	// measuredWeight is the weight of a measured time in logMeasured.
	measuredWeight = 0.1
	// trustedRatio is the ratio of measured to expected time up to which a stated pace is
	// trusted. Prompts of which this VM does not know add up to half of the expected time.
	trustedRatio = 1.5
	// minPace and maxPace bound a stated pace, so that a wrong value has a limited effect.
	minPace, maxPace = 0.1, 10
)

// RecordStated records the pace that the upstream stated at a time.
func (p *Pace) RecordStated(pace float64, at time.Time) {
	pace = min(max(pace, minPace), maxPace)
	if p.base == 0 {
		p.base = pace
	}
	weight := increaseWeight
	if pace < p.base {
		weight = decreaseWeight
	}
	p.base *= math.Pow(pace/p.base, weight)
	p.excess, p.statedAt = pace/p.base, at
}

// RecordRemote records the base pace that another VM knows.
// It is used only while this VM knows no pace.
func (p *Pace) RecordRemote(base float64) {
	if p.base == 0 && base > 0 {
		p.base, p.excess = min(max(base, minPace), maxPace), 1
	}
}

// Age returns the time since the upstream last stated its pace, or 0 if it never did.
func (p *Pace) Age(now time.Time) time.Duration {
	if p.statedAt.IsZero() {
		return 0
	}
	return now.Sub(p.statedAt)
}

// RecordMeasured records the measured time of a prefill as a multiple of the time that was expected
// at the current estimate. An upstream that states a lower pace than it has would otherwise
// attract more work than it can do.
func (p *Pace) RecordMeasured(ratio float64) {
	if p.base == 0 || ratio <= 0 {
		return
	}
	measured := math.Log(ratio * p.correction())
	p.logMeasured += measuredWeight * (min(max(measured, 0), math.Log(maxPace/minPace)) - p.logMeasured)
}

// correction returns the factor by which the stated pace is too low.
func (p *Pace) correction() float64 {
	if ratio := math.Exp(p.logMeasured); ratio > trustedRatio {
		return ratio
	}
	return 1
}

// Base returns the pace without short disturbances, or 0 if the pace is unknown.
func (p *Pace) Base() float64 { return p.base * p.correction() }

// Current returns the pace expected for work that starts now, or 0 if the pace is unknown.
func (p *Pace) Current(now time.Time) float64 {
	remaining := math.Exp(-now.Sub(p.statedAt).Seconds() / excessDecay.Seconds())
	return p.Base() * (1 + (p.excess-1)*remaining)
}
