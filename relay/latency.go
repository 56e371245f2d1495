package relay

import "time"

// latencyStats is a running estimate of the time to the first answer,
// for one route and model or for all prompts.
type latencyStats struct {
	mean, deviation float64 // in seconds
	samples         int
}

// Parameters of latencyStats.
const (
	// latencyWeight is the weight of a new sample in the mean and the deviation.
	latencyWeight = 0.05
	// timeoutDeviations is the number of deviations above the mean at which an attempt times out.
	timeoutDeviations = 6
	// minTimeoutPart and maxTimeoutPart bound the timeout,
	// as multiples of the route's latency objective.
	// With a lower minimum, a busy upstream would be mistaken for a silent upstream.
	// When all upstreams are slow, the measured latency determines the timeout,
	// because moving a request from one queue to the end of another only adds work.
	// initialTimeoutPart times the objective is the timeout until the latency is known.
	minTimeoutPart     = 0.4
	initialTimeoutPart = 0.8
	maxTimeoutPart     = 4.0
	// minLatencySamples is the number of latency samples
	// from which on the measured latency is used.
	minLatencySamples = 10
)

// latencyOf returns the latency estimate for the job's route and model.
// All jobs with a prompt share one estimate
// of the delay beyond the expected time to the first token.
// The caller holds mu.
func (r *Relay) latencyOf(j *job) *latencyStats {
	key := j.Route.Name + "|" + string(j.model)
	if j.PromptTokens > 0 {
		key = allPromptsKey
	}
	stats, ok := r.latencies[key]
	if !ok {
		stats = &latencyStats{}
		r.latencies[key] = stats
	}
	return stats
}

// allPromptsKey is the key of the latency estimate that all prompts share.
const allPromptsKey = ""

// timeout returns how long an upstream may take to begin its answer,
// for a route with the given latency objective.
func (s *latencyStats) timeout(objective time.Duration) time.Duration {
	seconds := initialTimeoutPart * objective.Seconds()
	if s.samples >= minLatencySamples {
		slow := s.mean + timeoutDeviations*s.deviation
		seconds = min(max(slow, minTimeoutPart*objective.Seconds()), maxTimeoutPart*objective.Seconds())
	}
	return time.Duration(seconds * float64(time.Second))
}

// observe adds a latency sample to the estimate.
func (s *latencyStats) observe(latency time.Duration) {
	s.samples++
	if s.samples == 1 {
		s.mean, s.deviation = latency.Seconds(), latency.Seconds()/2
		return
	}
	deviation := latency.Seconds() - s.mean
	s.mean += latencyWeight * deviation
	s.deviation += latencyWeight * (max(deviation, -deviation) - s.deviation)
}

// observeLatency records the time from a send to the first answer.
func (r *Relay) observeLatency(j *job, latency time.Duration) {
	r.withLock(func() { r.latencyOf(j).observe(max(latency-j.pending.estimate.TimeToFirstToken(), 0)) })
}
