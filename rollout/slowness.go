package rollout

import (
	"math"
	"time"
)

// Latency is one duration measured for a response, such as the time to its first chunk. Kind
// identifies what was measured, on which route and with which model. Only times of the
// same kind are compared.
type Latency struct {
	Kind    string
	Seconds float64
}

// SlownessDetector detects responses of a release that are much slower than those of the
// service's other releases. Durations differ by orders of magnitude, so it compares their
// logarithms. It does no I/O and is not safe for concurrent use.
type SlownessDetector struct {
	statsByKind map[string]*logStats
	// lastBaseline is when a response of another release was last observed. Older
	// baselines are not used, because the load may have changed since.
	lastBaseline time.Time
}

// logStats holds the running mean and variance of the logarithms of one kind of duration.
type logStats struct{ n, mean, m2 float64 }

// minSlowLogRatio is the smallest logarithm of the ratio of a time to the mean that counts
// as slow. A good release takes as long as the others and a bad one several times as long;
// a factor of 3 lies in between.
var minSlowLogRatio = math.Log(3)

const (
	// minSlowStdDevs is how many standard deviations above the mean a slow time lies at least. About
	// one in forty times of any release lies that far above.
	minSlowStdDevs = 2.0
	// minBaselineSamples is how many times of a kind are needed before any is compared.
	minBaselineSamples = 20
	// maxBaselineSamples limits the number of samples behind a mean, so that it follows changes.
	maxBaselineSamples = 500
	// maxBaselineAge is how old the newest time of another release may be for a comparison.
	maxBaselineAge = 3 * time.Second
)

// NewSlownessDetector returns a detector without samples.
func NewSlownessDetector() *SlownessDetector {
	return &SlownessDetector{statsByKind: make(map[string]*logStats)}
}

// Observe compares the times of a response with the baseline and reports whether any of
// them is slow. Times of responses that are not on trial are added to the baseline.
func (s *SlownessDetector) Observe(onTrial bool, times []Latency, now time.Time) bool {
	slow := false
	for _, t := range times {
		slow = s.observeTime(onTrial, t, now) || slow
	}
	return slow
}

// observeTime compares one time of a response with the baseline, and adds it to the baseline if
// the response is not on trial.
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

// add adds a sample, and gives up the weight of one earlier sample at the maximum.
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
