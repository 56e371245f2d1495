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
	// SentAt is when the request was sent to the upstream, Broke when its connection broke.
	SentAt, BrokenAt time.Time
}

// confirmTimeout bounds how long a suspected upstream crash may stay unconfirmed. An
// upstream that restarts at once is listed as a new incarnation, or under another id,
// within a few heartbeats of one second each.
const confirmTimeout = 5 * time.Second

// maxSuspectsPerLife bounds the suspect requests that are remembered per upstream
// incarnation.
const maxSuspectsPerLife = 256

// CrashTracker tracks upstream incarnations whose connections broke until their crash is
// confirmed. A single reset connection, a silent upstream, a cut link and a machine without
// power look the same at first. An upstream counts as crashed only when its machine reports
// that nothing listens on its port, or when another incarnation is listed under its
// address.
//
// Doubts is not safe for concurrent use; the caller holds a lock.
type CrashTracker struct {
	byLife map[contract.UpstreamInstance]*suspectedCrash
}

type suspectedCrash struct {
	address   string
	lastBroke time.Time // time of the newest broken connection
	confirmed bool
	suspects  []SuspectRequest
}

// NewCrashTracker returns an empty crash tracker.
func NewCrashTracker() *CrashTracker {
	return &CrashTracker{byLife: make(map[contract.UpstreamInstance]*suspectedCrash)}
}

// ConnectionBroke records that the connection of a request to an upstream incarnation broke. It
// reports whether the caller should probe the upstream's address now, and whether the crash
// is already confirmed.
func (d *CrashTracker) ConnectionBroke(l contract.UpstreamInstance, address string, s SuspectRequest) (probe, confirmed bool) {
	crash := d.byLife[l]
	if crash == nil {
		crash = &suspectedCrash{address: address}
		d.byLife[l] = crash
		probe = true
	}
	crash.lastBroke = s.BrokenAt
	if crash.confirmed {
		return false, true
	}
	if len(crash.suspects) < maxSuspectsPerLife {
		crash.suspects = append(crash.suspects, s)
	}
	return probe, false
}

// Confirm marks the crash of an upstream incarnation as confirmed and returns the requests
// that were running on it. Later calls for the same incarnation return nil.
func (d *CrashTracker) Confirm(l contract.UpstreamInstance) []SuspectRequest {
	crash := d.byLife[l]
	if crash == nil || crash.confirmed {
		return nil
	}
	out := crash.suspects
	crash.confirmed, crash.suspects = true, nil
	return out
}

// ReplacedLives returns the suspected incarnations whose address now belongs to another
// incarnation in the list of upstreams, which confirms their crash.
func (d *CrashTracker) ReplacedLives(lifeAt func(address string) (contract.UpstreamInstance, bool)) []contract.UpstreamInstance {
	var out []contract.UpstreamInstance
	for l, crash := range d.byLife {
		if crash.confirmed {
			continue
		}
		if current, listed := lifeAt(crash.address); listed && current != l {
			out = append(out, l)
		}
	}
	return out
}

// Any reports whether any upstream incarnation is tracked.
func (d *CrashTracker) Any() bool { return len(d.byLife) > 0 }

// Expire forgets incarnations whose newest broken connection is older than confirmTimeout.
func (d *CrashTracker) Expire(now time.Time) {
	for l, crash := range d.byLife {
		if now.Sub(crash.lastBroke) > confirmTimeout {
			delete(d.byLife, l)
		}
	}
}
