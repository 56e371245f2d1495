package quarantine

import (
	"time"

	"woaddoor/contract"
)

// SuspectRequest is a request whose connection to an upstream broke, so the upstream may have
// crashed while running it.
type SuspectRequest struct {
	Fingerprint Fingerprint
	Request     contract.RequestID
	Service     contract.ServiceID
	Workspace   contract.WorkspaceID
	Route       string
	// Parts are the parts of the prompt that other requests may share.
	Parts []Part
	// SentAt is when the request was sent to the upstream, BrokenAt when its connection broke.
	SentAt, BrokenAt time.Time
	// AnsweredFor is the time from the begin of the answer to its last data.
	// It is negative if the answer had not begun.
	AnsweredFor time.Duration
}

// confirmTimeout bounds how long a suspected upstream crash may stay unconfirmed.
// An upstream that restarts at once appears in the upstream list within a few heartbeats of
// one second each, as a new incarnation or under another id.
const confirmTimeout = 5 * time.Second

// maxSuspectsPerInstance bounds the suspect requests that are remembered per upstream instance.
const maxSuspectsPerInstance = 256

// CrashTracker tracks upstream instances whose connections broke until their crash is confirmed. A
// single reset connection, a silent upstream, an interrupted network link and a machine without
// power look the same at first. An upstream counts as crashed only when its machine reports that
// nothing listens on its port, or when another instance is listed under its address.
//
// CrashTracker is not safe for concurrent use; the caller holds a lock.
type CrashTracker struct {
	byInstance map[contract.UpstreamInstance]*suspectedCrash
}

// suspectedCrash is an upstream instance that may have crashed.
type suspectedCrash struct {
	address   string
	lastBroke time.Time // time of the newest broken connection
	probing   bool      // a probe is in progress
	confirmed bool
	suspects  []SuspectRequest // requests that were running on the instance
}

// NewCrashTracker returns an empty crash tracker.
func NewCrashTracker() *CrashTracker {
	return &CrashTracker{byInstance: make(map[contract.UpstreamInstance]*suspectedCrash)}
}

// ConnectionBroke records that the connection of a request to an upstream instance broke.
// ConnectionBroke reports whether the caller should probe the upstream's address now, and
// whether the crash is already confirmed. An upstream that a probe has reached may crash later,
// so each break is followed by a probe unless one is in progress.
// The caller reports the end of the probe to ProbeEnded.
func (t *CrashTracker) ConnectionBroke(instance contract.UpstreamInstance, address string, s SuspectRequest) (probe, confirmed bool) {
	crash := t.byInstance[instance]
	if crash == nil {
		crash = &suspectedCrash{address: address}
		t.byInstance[instance] = crash
	}
	crash.lastBroke = s.BrokenAt
	if crash.confirmed {
		return false, true
	}
	probe = !crash.probing
	crash.probing = true
	if len(crash.suspects) < maxSuspectsPerInstance {
		crash.suspects = append(crash.suspects, s)
	}
	return probe, false
}

// ProbeEnded records that the probe of an upstream instance has ended.
func (t *CrashTracker) ProbeEnded(instance contract.UpstreamInstance) {
	if crash := t.byInstance[instance]; crash != nil {
		crash.probing = false
	}
}

// Confirm marks the crash of an upstream instance as confirmed and returns the requests that were
// running on the instance. Later calls for the same instance return nil.
func (t *CrashTracker) Confirm(instance contract.UpstreamInstance) []SuspectRequest {
	crash := t.byInstance[instance]
	if crash == nil || crash.confirmed {
		return nil
	}
	out := crash.suspects
	crash.confirmed, crash.suspects = true, nil
	return out
}

// ReplacedInstances returns the suspected upstream instances whose address now belongs to another
// instance in the upstream list. Such a replacement confirms the crash of the suspected instance.
func (t *CrashTracker) ReplacedInstances(instanceAt func(address string) (contract.UpstreamInstance, bool)) []contract.UpstreamInstance {
	var out []contract.UpstreamInstance
	for instance, crash := range t.byInstance {
		if crash.confirmed {
			continue
		}
		if current, listed := instanceAt(crash.address); listed && current != instance {
			out = append(out, instance)
		}
	}
	return out
}

// Any reports whether the tracker holds any upstream instance that may have crashed.
func (t *CrashTracker) Any() bool { return len(t.byInstance) > 0 }

// Expire forgets suspected upstream instances whose newest broken connection is older than
// confirmTimeout.
func (t *CrashTracker) Expire(now time.Time) {
	for instance, crash := range t.byInstance {
		if now.Sub(crash.lastBroke) > confirmTimeout {
			delete(t.byInstance, instance)
		}
	}
}
