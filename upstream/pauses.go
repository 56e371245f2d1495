package upstream

import (
	"time"

	"woaddoor/cascade"
)

// While an engine prefills a prompt, each decode step of its running streams also processes one
// chunk of the prompt. An event of a stream takes several decode steps. A long prefill therefore
// stretches the pauses between the events of all streams at the engine.

// prefillChunkTokens is the number of prompt tokens that an engine processes between two decode
// steps. It is the default of the common inference servers, and engines do not state it.
const prefillChunkTokens = 2048

// pauseRiskSpread is the uncertainty of a pause as a fraction of its target.
// A pause may start before the prompt is counted here, and decode steps take time too.
const pauseRiskSpread = 0.2

// prefillPause returns the longest pause that queued prefill work causes in a stream:
// the whole work, or what the engine processes of it during the decode steps of one event.
func (t *Table) prefillPause(s *state, work time.Duration, pace float64) time.Duration {
	chunk := t.prefillRates.LongestPrefillTime(prefillChunkTokens)
	return min(work, time.Duration(float64(s.eventTokens)*pace*float64(chunk)))
}

// pauseCost returns the cost of the pauses that a prompt causes in the streams at an engine and
// that the prompt's own stream has to expect there, relative to the value of a mean request.
func (t *Table) pauseCost(s *state, w Work, e Estimate, now time.Time) float64 {
	if s.eventTokens == 0 || w.PauseTarget == 0 || !t.opts.Policy.Has(StreamPauses) {
		return 0
	}
	pace := t.paceOf(s, now)
	before, after := t.prefillPause(s, e.Wait, pace), t.prefillPause(s, e.Wait+e.Prefill, pace)
	added := pauseRisk(after, w.PauseTarget) - pauseRisk(before, w.PauseTarget)
	others := added * max(s.expectedLoad(), 0)
	own := s.prefillLoad.utilization(now) * pauseRisk(t.prefillPause(s, time.Hour, pace), w.PauseTarget)
	return cascade.LatePenalty * (others + own)
}

// pauseRisk returns the probability that a stream is late because of an expected pause.
func pauseRisk(pause, target time.Duration) float64 {
	return logistic((pause.Seconds()/target.Seconds() - 1) / pauseRiskSpread)
}

// prefillLoad measures the fraction of time that an engine spends on prefill.
type prefillLoad struct {
	seconds   float64
	updatedAt time.Time
}

// add adds the prefill time of a prompt.
func (l *prefillLoad) add(d time.Duration, now time.Time) {
	l.seconds = l.decayed(now) + d.Seconds()
	l.updatedAt = now
}

// decayed returns the prefill seconds of about the last demandWindow.
func (l *prefillLoad) decayed(now time.Time) float64 {
	return l.seconds * expDecay(now.Sub(l.updatedAt), demandWindow)
}

// utilization returns the fraction of time spent on prefill, from 0 to 1.
func (l *prefillLoad) utilization(now time.Time) float64 {
	return min(l.decayed(now)/demandWindow.Seconds(), 1)
}
