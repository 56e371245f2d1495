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
// the content's first trial (a single test send) is due then.
const RetryAfter = 5 * time.Minute

// grantDuration is how long a granted trial (a permitted test send) stays valid on a VM.
const grantDuration = time.Minute

// trials holds the state of the trials (test sends) of one quarantined content.
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

// setCount records the number of trials (test sends) that the platform's object store has granted.
func (s *trials) setCount(count int, now time.Time) {
	s.count, s.since, s.requested = count, now, false
}

// due reports whether a trial (a test send) may be requested from the platform's object store.
func (s *trials) due(now time.Time) bool {
	return !s.since.IsZero() && s.count < len(trialDelays) && now.Sub(s.since) >= trialDelays[s.count]
}

// Blocks reports whether a request content must not be sent to any upstream now.
// If a trial (a test send) is granted, the call uses it up.
// If a trial is due, the call requests one.
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

// TrialRequests returns the quarantined contents for which this VM should request a trial
// (a test send) from the platform's object store.
func (t *Table) TrialRequests() []QuarantinedContent {
	out := t.recordsWhere(func(c *Record) bool { return c.Quarantined && c.inStore && c.trials.requested })
	for i := range out {
		out[i].Trials++
	}
	return out
}

// TrialDecided records the decision of the platform's object store on a trial (a test send)
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
