package upstream

import (
	"time"

	"woaddoor/contract"
)

// Notices is what an upstream states about itself in an answer. The zero value means that the
// answer contains no notices.
type Notices struct {
	// Leaving means that the upstream is about to stop.
	Leaving bool
	// Backoff is a requested pause: how long this VM should send the upstream no requests.
	Backoff time.Duration
	// Limit is what the upstream states about the requests of all VMs together.
	Limit RateLimit
}

// DefaultMaxBackoff limits how long the back-off requested by an upstream is obeyed.
// An upstream that requests weeks by mistake gets requests again without manual action,
// and an upstream that needs a longer pause can request another back-off.
const DefaultMaxBackoff = 10 * time.Minute

// instanceNotices holds the notices from all answers of an instance.
// The notices stay in force until the upstream restarts. No list of upstreams clears the notices:
// the platform's object store may be unavailable or lag, and a list entry may be missing for a
// while.
type instanceNotices struct {
	leaving bool
	// backoffUntil is when the last of the requested back-offs ends.
	// backoff is the length of that back-off. Nothing shortens a back-off,
	// because an earlier answer may arrive after a later answer.
	backoffUntil time.Time
	backoff      time.Duration
	limit        limitState
	// lastSeenAt is when the instance was last listed or last sent a notice.
	lastSeenAt time.Time
}

// noticesTTL is how long the notices of an instance that is not listed are kept:
// a list entry that expired because the platform's object store failed is back within seconds of
// the recovery of the store.
const noticesTTL = 10 * time.Minute

// ApplyNotices applies the notices in an answer of an instance.
// ApplyNotices returns the notices that are new: that the upstream is leaving,
// or a back-off that ends later than the previous back-offs.
func (t *Table) ApplyNotices(instance contract.UpstreamInstance, stated Notices, now time.Time) (added Notices) {
	if !stated.Leaving && stated.Backoff == 0 {
		return Notices{}
	}
	a := t.ensureNotices(instance, now)
	if stated.Leaving && !a.leaving {
		a.leaving, added.Leaving = true, true
	}
	if until := now.Add(stated.Backoff); until.After(a.backoffUntil) {
		a.backoffUntil, a.backoff, added.Backoff = until, stated.Backoff, stated.Backoff
	}
	return added
}

// ensureNotices returns the notices of an instance. If there are no notices,
// ensureNotices creates them.
func (t *Table) ensureNotices(instance contract.UpstreamInstance, now time.Time) *instanceNotices {
	a := t.notices[instance]
	if a == nil {
		t.dropStaleNotices(now)
		a = &instanceNotices{}
		t.notices[instance] = a
		if st := t.states[instance.Upstream]; st != nil && st.incarnation == instance.Incarnation {
			st.notices = a
		}
	}
	a.lastSeenAt = now
	return a
}

// othersBackoffCost is the additional cost of an upstream that requested a back-off from another
// VM. It equals the cost of an upstream for which half of the recent requests failed:
// the upstream gets fewer requests, but still gets some requests if no other upstream is better,
// since a back-off requested from one VM does not bind the other VMs.
const othersBackoffCost = failureCost / 2

// RecordPeerBackoff records that an upstream requested a back-off from another VM, with the
// remaining time of that back-off.
func (t *Table) RecordPeerBackoff(id contract.UpstreamID, remaining time.Duration, now time.Time) {
	s, ok := t.states[id]
	if !ok {
		return
	}
	if until := now.Add(remaining); until.After(s.othersBackoffUntil) {
		s.othersBackoffUntil = until
	}
}

// dropStaleNotices removes the notices of instances that have not been listed for noticesTTL.
func (t *Table) dropStaleNotices(now time.Time) {
	for instance, a := range t.notices {
		if s := t.states[instance.Upstream]; s != nil && s.notices == a {
			a.lastSeenAt = now
		} else if now.Sub(a.lastSeenAt) >= noticesTTL {
			delete(t.notices, instance)
		}
	}
}

// Instance returns the current instance of an upstream.
func (t *Table) Instance(id contract.UpstreamID) contract.UpstreamInstance {
	instance := contract.UpstreamInstance{Upstream: id}
	if s, ok := t.states[id]; ok {
		instance.Incarnation = s.incarnation
	}
	return instance
}

// TakeEndedBackoffs returns the instances whose back-offs have ended since the last call.
func (t *Table) TakeEndedBackoffs(now time.Time) []contract.UpstreamInstance {
	var out []contract.UpstreamInstance
	for instance, a := range t.notices {
		if !a.backoffUntil.IsZero() && !now.Before(a.backoffUntil) {
			a.backoffUntil = time.Time{}
			out = append(out, instance)
		}
	}
	return out
}

// NoticeState reports whether a back-off that an upstream requested from this VM is in force, and
// whether the upstream stated that it is leaving.
func (t *Table) NoticeState(id contract.UpstreamID, now time.Time) (backedOff, leaving bool) {
	s, ok := t.states[id]
	return ok && s.notices.inBackoff(now), ok && s.notices.isLeaving()
}

// acceptsWork reports whether an upstream accepts new work according to the platform's list of
// upstreams, its load reports and its answers. Every selection checks acceptsWork,
// even the selection of a last resort, since acceptsWork does not depend on the upstream's health.
func (s *state) acceptsWork(now time.Time) bool { return !s.isLeaving() && !s.notices.inBackoff(now) }

// isLeaving reports whether an upstream is about to stop.
func (s *state) isLeaving() bool {
	return s.leavingIncarnation != 0 && s.leavingIncarnation >= s.reportedIncarnation || s.notices.isLeaving()
}

// AcceptsWork reports whether an instance that was selected earlier still accepts new work.
func (t *Table) AcceptsWork(instance contract.UpstreamInstance, now time.Time) bool {
	if s := t.states[instance.Upstream]; s != nil && s.incarnation == instance.Incarnation {
		return s.acceptsWork(now)
	}
	a := t.notices[instance] // the instance left the list, but may have been selected before
	return !a.isLeaving() && !a.inBackoff(now)
}

// IsLeaving reports whether an upstream is about to stop, according to the list of upstreams or to
// its answers.
func (t *Table) IsLeaving(id contract.UpstreamID) bool {
	s, ok := t.states[id]
	return ok && s.isLeaving()
}

// isLeaving reports whether an instance stated that it is about to stop. A nil receiver contains
// no notices.
func (a *instanceNotices) isLeaving() bool { return a != nil && a.leaving }

// inBackoff reports whether a back-off that an instance requested from this VM is still in force.
// A nil receiver contains no notices.
func (a *instanceNotices) inBackoff(now time.Time) bool {
	return a != nil && now.Before(a.backoffUntil)
}

// CountBackedOff returns how many of the listed upstreams have a back-off in force, and how many
// have stated that they are leaving.
func (t *Table) CountBackedOff(now time.Time) (backedOff, leaving int) {
	for _, s := range t.sortedStates {
		if s.notices.inBackoff(now) {
			backedOff++
		}
		if s.notices.isLeaving() {
			leaving++
		}
	}
	return backedOff, leaving
}
