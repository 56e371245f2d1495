package rollout

import (
	"math"
	"slices"
	"time"
)

// Latency is one duration measured for a response, such as the time to its first chunk.
// Kind identifies what was measured, on which route and with which model.
// Only durations with equal Kind are compared.
type Latency struct {
	Kind    string
	Seconds float64
}

// SlownessDetector detects responses of a release that are much slower than the responses of the
// service's other releases. Durations differ by orders of magnitude, so the detector compares
// the logarithms of durations. The detector does no I/O and is not safe for concurrent use.
type SlownessDetector struct {
	statsByKind map[string]*logStats
	// lastBaseline is when a response of another release was last observed.
	// Durations of other releases are not used once they are too old,
	// because the load may have changed.
	lastBaseline time.Time
}

// logStats holds the running mean and variance of the logarithms of one kind of duration.
type logStats struct{ n, mean, m2 float64 }

// minSlowLogRatio bounds which durations count as slow: the logarithm of the ratio of a slow
// duration to the mean is at least minSlowLogRatio. A good release takes as long as the other
// releases, and a bad release takes several times as long. A factor of 3 lies in between.
var minSlowLogRatio = math.Log(3)

const (
	// minSlowStdDevs is the smallest distance of a slow duration above the mean,
	// in standard deviations.
	// Of the durations of any release, about one in forty lies that far above the mean.
	minSlowStdDevs = 2.0
	// minBaselineSamples is how many durations of a kind are needed before any is compared.
	minBaselineSamples = 20
	// maxBaselineSamples limits the samples behind a mean, so that the mean follows changes.
	maxBaselineSamples = 500
	// maxBaselineAge is the largest age at which the newest duration of another release
	// is still used for a comparison.
	maxBaselineAge = 3 * time.Second
)

// NewSlownessDetector returns a detector without samples.
func NewSlownessDetector() *SlownessDetector {
	return &SlownessDetector{statsByKind: make(map[string]*logStats)}
}

// Observe compares the durations of a response with the baseline (durations of the other releases)
// and reports whether any of them is slow. If the response is not of the release on trial,
// Observe adds its durations to the baseline.
func (s *SlownessDetector) Observe(onTrial bool, times []Latency, now time.Time) bool {
	slow := false
	for _, t := range times {
		slow = s.observeTime(onTrial, t, now) || slow
	}
	return slow
}

// canCompare reports whether any of the durations can be compared with the baseline.
func (s *SlownessDetector) canCompare(times []Latency, now time.Time) bool {
	return now.Sub(s.lastBaseline) < maxBaselineAge && slices.ContainsFunc(times, func(t Latency) bool {
		stats, ok := s.statsByKind[t.Kind]
		return ok && stats.n >= minBaselineSamples
	})
}

// observeTime compares one duration of a response with the baseline
// (durations of the other releases).
// If the response is not of the release on trial, observeTime adds the duration to the baseline.
func (s *SlownessDetector) observeTime(onTrial bool, t Latency, now time.Time) bool {
	logSeconds := math.Log(max(t.Seconds, 1e-4))
	stats, ok := s.statsByKind[t.Kind]
	if !ok {
		stats = &logStats{}
		s.statsByKind[t.Kind] = stats
	}
	slow := stats.n >= minBaselineSamples && logSeconds > stats.mean+max(minSlowLogRatio, minSlowStdDevs*math.Sqrt(stats.m2/stats.n))
	if !onTrial {
		stats.add(logSeconds)
		s.lastBaseline = now
		return slow
	}
	return slow && now.Sub(s.lastBaseline) < maxBaselineAge
}

// add adds a sample. If the maximum number of samples is reached,
// add first removes the weight of one earlier sample.
func (s *logStats) add(logSeconds float64) {
	if s.n >= maxBaselineSamples {
		s.m2 *= 1 - 1/s.n
		s.n--
	}
	s.n++
	deviation := logSeconds - s.mean
	s.mean += deviation / s.n
	s.m2 += deviation * (logSeconds - s.mean)
}
