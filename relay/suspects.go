package relay

import (
	"bytes"
	"time"

	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/quarantine"
)

// verdictTimeout limits how long the next attempt of a suspected content waits for the probe
// that tells whether the last attempt has crashed its upstream.
// The machine of a crashed upstream refuses a connection within the network delay.
const verdictTimeout = 250 * time.Millisecond

// awaitVerdict waits until it is known whether the last attempt has crashed its upstream,
// if the content is suspected already. Without the wait, the next attempt
// would be sent some milliseconds before the crash that quarantines the content is known.
func (r *Relay) awaitVerdict(j *job) {
	var probe chan struct{}
	crashes := 0
	r.withLock(func() {
		if j.failures > 0 && !r.quarantineCases.Empty() {
			probe, crashes = r.probesRunning[j.lastUpstream.Instance()], r.mostCrashes(j)
		}
	})
	if probe == nil || crashes == 0 {
		return
	}
	timeout := time.NewTimer(verdictTimeout)
	defer timeout.Stop()
	select {
	case <-probe:
	case <-timeout.C:
		r.log.Info("crash-verdict-late", zap.String("request", string(j.ID)), zap.String("upstream", string(j.lastUpstream.ID)), zap.Stringer("print", j.contentFingerprint()))
	}
}

// mostCrashes returns the number of crashes that count against the request's content or a part of its
// prompt, whichever has more. A single crash of a part does not count: parts are shared with many
// requests, which would wait too. The caller holds mu.
func (r *Relay) mostCrashes(j *job) int {
	most := r.quarantineCases.CrashCount(j.contentFingerprint())
	for _, p := range j.sharedParts() {
		if n := r.quarantineCases.CrashCount(p.Fingerprint); n >= 2 {
			most = max(most, n)
		}
	}
	return most
}

// checkSuspectRunning returns a refusal if one more crash quarantines the request's content
// and an attempt with the same content is in progress at this VM.
// The end of that attempt decides on the content;
// until then, each further attempt could crash another upstream.
// The caller holds mu.
func (r *Relay) checkSuspectRunning(j *job) *contract.Refusal {
	if r.quarantineCases.Empty() || r.quarantineCases.CrashCount(j.contentFingerprint()) < quarantine.CrashLimit-1 {
		return nil
	}
	for running := range r.running {
		if running.sameContent(j.Request) {
			return refuseSuspectRunning(j)
		}
	}
	return nil
}

// sameContent reports whether two requests have the same fingerprint.
// Comparing the contents needs no fingerprint of the many requests that are never suspected.
func (r *Request) sameContent(other *Request) bool {
	return r.Workspace == other.Workspace && r.Host == other.Host && r.URI == other.URI && bytes.Equal(r.Body, other.Body)
}

// beginAttempt counts an attempt in progress. The caller holds mu.
func (r *Relay) beginAttempt(j *job) {
	j.running = true
	r.running[j.Request]++
}

// endAttempt ends the count of an attempt. The caller holds mu.
func (r *Relay) endAttempt(j *job) {
	if !j.running {
		return
	}
	j.running = false
	r.running[j.Request]--
	if r.running[j.Request] == 0 {
		delete(r.running, j.Request)
	}
}
