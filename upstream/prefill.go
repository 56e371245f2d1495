package upstream

import (
	"time"

	"woaddoor/contract"
	"woaddoor/prefill"
)

// RecordExpected records that a prompt is sent to an upstream. It returns the estimate for the
// request and the ID of the prompt in the prefill queue of the upstream.
func (t *Table) RecordExpected(id contract.UpstreamID, w Work, dc contract.DataCentreID, now time.Time) (Estimate, prefill.QueueID) {
	s, ok := t.states[id]
	if !ok || !w.hasPrompt() {
		return Estimate{}, 0
	}
	e := t.estimate(s, w, dc, now)
	s.promptSentAt = now
	queueID := s.queue.Add(e.Prefill, true, now)
	s.prefixCache.Insert(w.Prompt)
	return e, queueID
}

// RecordAnswerBegin records that the answer to a prompt began, after the duration took since the
// request was sent, and updates the estimates of prefill time.
func (t *Table) RecordAnswerBegin(id contract.UpstreamID, queueID prefill.QueueID, w Work, e Estimate, took time.Duration, now time.Time) {
	s, ok := t.states[id]
	if !ok {
		return
	}
	span := s.queue.AnswerBegan(queueID, now)
	s.health.recordFirstAnswer(took, e.TimeToFirstToken())
	if e.Wait == 0 && e.Prefill >= minPrefillSpan {
		s.pace.RecordMeasured((took - prefill.BaseLatency).Seconds() / e.Prefill.Seconds())
	}
	if s.health.slownessVsEstimate() == 1 && t.opts.Policy.Has(PrefillRates) {
		if span.Newest >= minPrefillSpan && span.Newest > span.Expected/2 {
			t.prefillRates.RecordRatio(w.Prompt.Model, float64(span.Actual)/float64(span.Expected))
			return
		}
		whole := e.Wait == 0 && e.CachedTokens == 0
		t.prefillRates.RecordSample(w.Prompt.Model, e.Tokens, atUsualPace(took, e.Pace), whole)
	}
}

// atUsualPace converts the time until an answer began at an upstream of the given pace to the
// time at an upstream of the usual pace.
func atUsualPace(took time.Duration, pace float64) time.Duration {
	if pace <= 0 || took <= prefill.BaseLatency {
		return took
	}
	return prefill.BaseLatency + time.Duration(float64(took-prefill.BaseLatency)/pace)
}

// minPrefillSpan is the shortest prefill from which the prefill rate of a busy engine is learned.
// During a shorter prefill, the engine works on other requests for as long as on the prefill.
const minPrefillSpan = 40 * time.Millisecond

// RecordDropped records that a prompt's request ended before its answer began.
func (t *Table) RecordDropped(id contract.UpstreamID, queueID prefill.QueueID, now time.Time) {
	if s, ok := t.states[id]; ok {
		s.queue.Drop(queueID, now)
	}
}

// PrefillTokenTime returns a model's prefill time per token as measured by this VM, or zero if
// there are too few measurements.
func (t *Table) PrefillTokenTime(m contract.ModelID) time.Duration {
	tokenTime, _ := t.prefillRates.OwnRate(m)
	return tokenTime
}

// maxReportedPrefill limits the prefill time that another VM can report for a prompt.
const maxReportedPrefill = 30 * time.Second

// RecordPeerPrompt records a prompt that another VM has sent to an upstream,
// with its expected prefill time and the prefill time per token that the other VM measured.
// tokenTime is zero if the other VM has too few measurements.
func (t *Table) RecordPeerPrompt(id contract.UpstreamID, p prefill.Prompt, prefillTime, tokenTime time.Duration, now time.Time) {
	t.prefillRates.SetRemoteRate(p.Model, tokenTime)
	prefillTime = min(max(prefillTime, 0), maxReportedPrefill)
	s, ok := t.states[id]
	if !ok {
		return
	}
	s.promptSentAt = now
	s.queue.Add(prefillTime, false, now)
	s.prefixCache.Insert(p)
}
