package quarantine

import "time"

// trialDelays are the waiting times before each trial of a quarantined content. Such a content
// may have become harmless, for example after a new release of its upstream service, or may
// have been quarantined by chance after three unrelated crashes. The store therefore grants
// single VMs a rare trial send, and an answer clears the content.
//
// A content that still crashes upstreams can reach at most three more upstreams in total, from
// any VM and over any period: two by trials, and one by a VM that does not know yet that the
// content is quarantined.
var trialDelays = [...]time.Duration{RetryAfter, time.Hour}

// RetryAfter is the earliest time after which the caller of a quarantined content may retry: the
// first trial is due then.
const RetryAfter = 5 * time.Minute

// grantDuration is how long a granted trial stays valid on a VM.
const grantDuration = time.Minute

// trials holds the state of the trial sends of one quarantined content.
type trials struct {
	// count is the number of granted trials. since is when this VM learned of the last one,
	// or learned that the content is quarantined.
	count int
	since time.Time
	// requested reports whether the content arrived while a trial was due. Until
	// grantedUntil, this VM may send the content once.
	requested    bool
	grantedUntil time.Time
}

// setCount records the number of trials that the store has granted.
func (s *trials) setCount(count int, now time.Time) {
	s.count, s.since, s.requested = count, now, false
}

// due reports whether a trial may be requested from the store.
func (s *trials) due(now time.Time) bool {
	return !s.since.IsZero() && s.count < len(trialDelays) && now.Sub(s.since) >= trialDelays[s.count]
}

// Blocks reports whether a content must not be sent to any upstream now. The call consumes a
// granted trial, and requests a trial if one is due.
func (t *Table) Blocks(p Fingerprint, now time.Time) bool {
	c := t.records[p]
	if c == nil || !c.Quarantined {
		return false
	}
	if now.Before(c.trials.grantedUntil) {
		c.trials.grantedUntil = time.Time{}
		return false
	}
	c.trials.requested = c.trials.requested || c.trials.due(now)
	return true
}

// TrialRequests returns the contents for which a trial should be requested from the store.
func (t *Table) TrialRequests() []QuarantinedContent {
	out := t.recordsWhere(func(c *Record) bool { return c.Quarantined && c.inStore && c.trials.requested })
	for i := range out {
		out[i].Trials++
	}
	return out
}

// TrialDecided records the store's decision on a trial requested by this VM.
func (t *Table) TrialDecided(p Fingerprint, ok bool, now time.Time) {
	c := t.records[p]
	if c == nil {
		return
	}
	c.trials.requested = false
	if ok {
		c.trials.grantedUntil = now.Add(grantDuration)
	}
}
