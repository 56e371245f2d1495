package upstream

import (
	"time"

	"woaddoor/contract"
	"woaddoor/reading"
)

// Expect notes that a prompt goes to an upstream, and returns what is expected
// and the name of its place in the upstream's queue.
func (t *Table) Expect(id contract.UpstreamID, w Work, dc contract.DataCentreID, now time.Time) (Estimate, reading.Ticket) {
	s, ok := t.states[id]
	if !ok || !w.reads() {
		return Estimate{}, 0
	}
	e := t.estimate(s, w, dc, now)
	s.readAt = now
	ticket := s.queue.Add(e.Reading, true, now)
	s.kept.Read(w.Prompt)
	return e, ticket
}

// Begun notes that the answer to a prompt has begun, after a time since it was
// sent, and learns from it how long engines take to read.
func (t *Table) Begun(id contract.UpstreamID, ticket reading.Ticket, w Work, e Estimate, took time.Duration, now time.Time) {
	s, ok := t.states[id]
	if !ok {
		return
	}
	span := s.queue.Began(ticket, now)
	s.health.began(took, e.First())
	if s.health.slower() == 1 && t.opts.Policy.Has(Pace) {
		if span.Own >= leastSpan && span.Own > span.Planned/2 {
			t.rates.Scale(w.Prompt.Model, float64(span.Took)/float64(span.Planned))
			return
		}
		whole := e.Wait == 0 && e.Kept == 0
		t.rates.Observe(w.Prompt.Model, w.Prompt.Tokens-e.Kept, took, whole)
	}
}

// leastSpan is the shortest reading from which the time of a busy engine is
// learnt: below, its steps for other requests take as long.
const leastSpan = 40 * time.Millisecond

// Dropped notes that a prompt's request has ended before its answer began.
func (t *Table) Dropped(id contract.UpstreamID, ticket reading.Ticket, now time.Time) {
	if s, ok := t.states[id]; ok {
		s.queue.Drop(ticket, now)
	}
}

// TokenTime returns how long a model takes to read a token by own times, zero
// when there are too few.
func (t *Table) TokenTime(m contract.ModelID) time.Duration {
	token, _ := t.rates.Known(m)
	return token
}

// mostTold bounds how long another VM's prompt is believed to take.
const mostTold = 30 * time.Second

// Told takes in a prompt that another VM has sent to an upstream, how long its
// reading takes and how long the model takes a token by that VM's own times; zero
// when it has none.
func (t *Table) Told(id contract.UpstreamID, p reading.Prompt, takes, token time.Duration, now time.Time) {
	t.rates.Told(p.Model, token)
	takes = min(max(takes, 0), mostTold)
	s, ok := t.states[id]
	if !ok {
		return
	}
	s.readAt = now
	s.queue.Add(takes, false, now)
	s.kept.Read(p)
}
