package quarantine

import "time"

// trialDelays are the waiting times before each trial of a quarantined content. A trial is a single
// send that checks whether the content still crashes upstreams.
// A quarantined content may have become harmless, for example after
// a new release of its upstream service. Or it may have been quarantined by chance after three
// unrelated crashes. The platform's object store therefore grants single VMs a rare trial,
// and an answer clears the content.
//
// A content that still crashes upstreams can reach at most three more upstreams in total, from
// any VM and over any period: two upstreams by trials, and one upstream by a VM that does not know
// yet that the content is quarantined.
var trialDelays = [...]time.Duration{RetryAfter, time.Hour}

// RetryAfter is the earliest time after which the caller of a quarantined content may retry:
// the first trial of the content is due then. In a trial, one VM sends the content once
// to test whether the content still crashes upstreams.
const RetryAfter = 5 * time.Minute

// grantDuration is how long a VM may use a granted trial
// (the permission to send a quarantined content once, as a test).
const grantDuration = time.Minute

// trials holds the state of the trials of one quarantined content.
// In a trial, one VM sends the content once to test whether it still crashes upstreams.
type trials struct {
	// count is the number of granted trials. since is when this VM learned of the last granted
	// trial or, before any trial, that the content is quarantined.
	count int
	since time.Time
	// requested reports whether a request with the content arrived while a trial was due.
	// Until grantedUntil, this VM may send the content once.
	requested    bool
	grantedUntil time.Time
}

// setCount records how many trials of the content the platform's object store has granted.
func (s *trials) setCount(count int, now time.Time) {
	s.count, s.since, s.requested = count, now, false
}

// due reports whether this VM may ask the platform's object store for a trial of the content.
func (s *trials) due(now time.Time) bool {
	return !s.since.IsZero() && s.count < len(trialDelays) && now.Sub(s.since) >= trialDelays[s.count]
}

// Blocks reports whether a request content must not be sent to any upstream now.
// If a trial of the content is granted, the call of Blocks uses up the trial.
// If a trial of the content is due, the call of Blocks requests a trial.
func (t *Table) Blocks(p Fingerprint, now time.Time) bool {
	return t.BlockedBy([]Fingerprint{p}, now) != nil
}

// TrialRequests returns the quarantined contents for which this VM should request a trial
// (the permission to send the content once, as a test) from the platform's object store.
func (t *Table) TrialRequests() []QuarantinedContent {
	out := t.recordsWhere(func(c *Record) bool { return c.inStore && c.trials.requested && (c.Quarantined || c.suspectedInStore) })
	for i := range out {
		out[i].Trials++
	}
	return out
}

// TrialDecided records the decision of the platform's object store on a trial of a content
// that this VM requested.
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
