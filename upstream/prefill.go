package upstream

import (
	"time"

	"woaddoor/contract"
	"woaddoor/reading"
)

// Expect records that a prompt is sent to an upstream. It returns the estimate for the
// request and its ticket in the upstream's prefill queue.
func (t *Table) Expect(id contract.UpstreamID, w Work, dc contract.DataCentreID, now time.Time) (Estimate, reading.Ticket) {
	s, ok := t.states[id]
	if !ok || !w.hasPrompt() {
		return Estimate{}, 0
	}
	e := t.estimate(s, w, dc, now)
	s.promptSentAt = now
	ticket := s.queue.Add(e.Reading, true, now)
	s.prefixCache.Read(w.Prompt)
	return e, ticket
}

// Begun records that the answer to a prompt began, after the duration took since the request
// was sent, and updates the estimates of prefill time.
func (t *Table) Begun(id contract.UpstreamID, ticket reading.Ticket, w Work, e Estimate, took time.Duration, now time.Time) {
	s, ok := t.states[id]
	if !ok {
		return
	}
	span := s.queue.Began(ticket, now)
	s.health.recordFirstAnswer(took, e.First())
	if s.health.slownessVsEstimate() == 1 && t.opts.Policy.Has(PrefillRates) {
		if span.Own >= minPrefillSpan && span.Own > span.Planned/2 {
			t.prefillRates.Scale(w.Prompt.Model, float64(span.Took)/float64(span.Planned))
			return
		}
		whole := e.Wait == 0 && e.Kept == 0
		t.prefillRates.Observe(w.Prompt.Model, w.Prompt.Tokens-e.Kept, took, whole)
	}
}

// minPrefillSpan is the shortest prefill from which the prefill rate of a busy engine is
// learned. In a shorter one, the engine's steps for other requests take as long.
const minPrefillSpan = 40 * time.Millisecond

// Dropped records that a prompt's request ended before its answer began.
func (t *Table) Dropped(id contract.UpstreamID, ticket reading.Ticket, now time.Time) {
	if s, ok := t.states[id]; ok {
		s.queue.Drop(ticket, now)
	}
}

// TokenTime returns a model's prefill time per token as measured by this VM, or zero if
// there are too few measurements.
func (t *Table) TokenTime(m contract.ModelID) time.Duration {
	tokenTime, _ := t.prefillRates.Known(m)
	return tokenTime
}

// maxToldPrefill limits the prefill time that another VM can announce for a prompt.
const maxToldPrefill = 30 * time.Second

// Told records a prompt that another VM has sent to an upstream, with its expected prefill
// time and the prefill time per token that the other VM measured, which is zero if it has
// too few measurements.
func (t *Table) Told(id contract.UpstreamID, p reading.Prompt, prefillTime, tokenTime time.Duration, now time.Time) {
	t.prefillRates.Told(p.Model, tokenTime)
	prefillTime = min(max(prefillTime, 0), maxToldPrefill)
	s, ok := t.states[id]
	if !ok {
		return
	}
	s.promptSentAt = now
	s.queue.Add(prefillTime, false, now)
	s.prefixCache.Read(p)
}
