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

// pauseRiskSpread is the uncertainty of a pause as a fraction of its target. A machine that other
// work slows down during an event adds a few hundred milliseconds, a third of a usual target.
const pauseRiskSpread = 0.1

// longestPrefillPause returns the longest pause that prefill can cause in a stream at an engine:
// what the engine processes of prompts for the slowest model during the decode steps of one event.
func (t *Table) longestPrefillPause(s *state, pace float64) time.Duration {
	chunk := t.prefillRates.LongestPrefillTime(prefillChunkTokens)
	return time.Duration(float64(s.eventTokens) * pace * float64(chunk))
}

// pauseCost returns the cost of the pauses that a prompt causes in the streams at an engine,
// relative to the value of a mean request. Streams that run now are affected if the prompt
// lengthens their longest pause. Streams that begin while the prompt is prefilled meet the whole
// queue. Without the second part, an engine whose queue is long already would cost nothing.
// The cost is zero where engines do not state their pace, because the length of a pause is then
// unknown by a factor of two.
func (t *Table) pauseCost(s *state, w Work, e Estimate) float64 {
	if !e.PaceKnown || s.eventTokens == 0 || w.PauseTarget <= 0 || !t.opts.Policy.Has(StreamPauses) {
		return 0
	}
	longest := t.longestPrefillPause(s, e.Pace)
	before := pauseRisk(min(e.Wait, longest), w.PauseTarget)
	after := pauseRisk(min(e.Wait+e.Prefill, longest), w.PauseTarget)
	running := max(s.expectedLoad(), 0)
	beginning := t.demand.promptRate / float64(max(t.activeEngines, 1)) * e.Prefill.Seconds()
	return cascade.LatePenalty * ((after-before)*running + after*beginning)
}

// pauseRisk returns the probability that a stream is late because of an expected pause.
func pauseRisk(pause, target time.Duration) float64 {
	return logistic((pause.Seconds()/target.Seconds() - 1) / pauseRiskSpread)
}
