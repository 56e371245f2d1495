package relay

import (
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
			probe, crashes = r.probesRunning[j.lastUpstream.Instance()], r.quarantineCases.CrashCount(j.contentFingerprint())
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

// checkSuspectRunning returns a refusal if one more crash quarantines the request's content
// and an attempt with the same content is in progress at this VM.
// The end of that attempt decides on the content;
// until then, each further attempt could crash another upstream.
// The caller holds mu.
func (r *Relay) checkSuspectRunning(j *job) *contract.Refusal {
	if r.quarantineCases.Empty() {
		return nil
	}
	p := j.contentFingerprint()
	if r.suspectsRunning[p] == 0 || r.quarantineCases.CrashCount(p) < quarantine.CrashLimit-1 {
		return nil
	}
	return refuseSuspectRunning(j)
}

// beginSuspect counts an attempt whose content has crashed an upstream before.
// The caller holds mu.
func (r *Relay) beginSuspect(j *job) {
	j.suspect = !r.quarantineCases.Empty() && r.quarantineCases.CrashCount(j.contentFingerprint()) > 0
	if j.suspect {
		r.suspectsRunning[j.contentFingerprint()]++
	}
}

// endSuspect ends the count of an attempt. The caller holds mu.
func (r *Relay) endSuspect(j *job) {
	if !j.suspect {
		return
	}
	j.suspect = false
	p := j.contentFingerprint()
	r.suspectsRunning[p]--
	if r.suspectsRunning[p] == 0 {
		delete(r.suspectsRunning, p)
	}
}
