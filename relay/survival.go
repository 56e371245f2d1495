package relay

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/exchange"
	"woaddoor/quarantine"
	"woaddoor/upstream"
)

// recordSurvival records that an upstream has answered the job's request whole, so that the request's
// content and the parts of its prompt are no longer suspected of crashing upstreams.
// An answer whose end is not marked looks whole too if the upstream crashed after an event.
func (r *Relay) recordSurvival(j *job, a *attempt) {
	if !r.suspectsAny() {
		return
	}
	j.fingerprints() // not under mu: the body may be long
	if !a.answer.Delimited {
		go r.probeSurvival(a.entry, j.suspectRequest(r.opts.Now()), j.fingerprints(), a.head.isSuccess())
		return
	}
	r.withLock(func() { r.clearSuspects(j.ID, a.entry, j.fingerprints(), a.head.isSuccess()) })
}

// recordAnswerData records that more data of an answer has arrived. An upstream that has been answering
// for PartCrashWindow has survived the parts of the prompt, however the answer ends.
func (r *Relay) recordAnswerData(j *job, e upstream.Entry, now time.Time) {
	survivedBefore := j.answeredFor() >= quarantine.PartCrashWindow
	j.answerDataAt = now
	if survivedBefore || j.answeredFor() < quarantine.PartCrashWindow {
		return
	}
	if r.suspectsAny() {
		parts := j.fingerprints()[1:]
		r.withLock(func() { r.clearParts(j.ID, e, parts) })
	}
}

// probeSurvival determines whether an upstream has survived an answer whose end was not marked.
func (r *Relay) probeSurvival(e upstream.Entry, s quarantine.SuspectRequest, fingerprints []quarantine.Fingerprint, success bool) {
	suspected := false
	r.withLock(func() { suspected = r.anySuspected(fingerprints) })
	if !suspected {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := exchange.Probe(ctx, r.opts.Dial, e.Address)
	r.withLock(func() {
		switch {
		case err == nil:
			r.clearSuspects(s.Request, e, fingerprints, success)
		case exchange.IsConnectionRefused(err) && r.endIsUnplanned(e):
			r.recordPossibleCrash(e, s)
		}
	})
}

// anySuspected reports whether any content or part with one of the fingerprints is suspected.
// The caller holds mu.
func (r *Relay) anySuspected(fingerprints []quarantine.Fingerprint) bool {
	return slices.ContainsFunc(fingerprints, func(p quarantine.Fingerprint) bool {
		c := r.quarantineCases.Record(p)
		return c != nil && (c.Quarantined || len(c.Crashes) > 0)
	})
}

// clearSuspects records that an upstream has survived a request. The first fingerprint is that of
// the request's content, the others are those of the parts of its prompt. An upstream that fails a
// request need not have begun to answer its prompt: only a success clears the parts.
// The caller holds mu.
func (r *Relay) clearSuspects(id contract.RequestID, e upstream.Entry, fingerprints []quarantine.Fingerprint, success bool) {
	now := r.opts.Now()
	if r.quarantineCases.RecordAnswer(fingerprints[0], now) {
		r.recordCleared(id, e, fingerprints[0])
	}
	if success {
		if r.quarantineCases.RecordServiceAnswer(e.Service, now) {
			r.notifySuspected()
		}
		r.clearParts(id, e, fingerprints[1:])
	}
}

// clearParts records that an upstream has survived the parts of a prompt. The caller holds mu.
func (r *Relay) clearParts(id contract.RequestID, e upstream.Entry, parts []quarantine.Fingerprint) {
	for _, p := range parts {
		if r.quarantineCases.RecordPartAnswer(p, r.opts.Now()) {
			r.recordCleared(id, e, p)
		}
	}
}

// recordCleared logs that a content or part is no longer suspected, and notifies the other VMs at
// once if they may be about to quarantine it. The caller holds mu.
func (r *Relay) recordCleared(id contract.RequestID, e upstream.Entry, p quarantine.Fingerprint) {
	c := r.quarantineCases.Record(p)
	if !c.Urgent() {
		return
	}
	r.log.Info("suspect-cleared", zap.String("request", string(id)), zap.Stringer("print", p), zap.String("part", c.Part), zap.String("upstream", string(e.ID)))
	r.notifySuspected()
}
