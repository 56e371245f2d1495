package upstream

import (
	"time"

	"woaddoor/contract"
)

// Notices is what an upstream states about itself in an answer. The zero value means nothing.
type Notices struct {
	// Leaving means that the upstream is about to stop.
	Leaving bool
	// Backoff is a requested pause: how long this VM should send the upstream no requests.
	Backoff time.Duration
	// Limit is how many requests the upstream takes from all VMs together.
	Limit RateLimit
}

// DefaultMaxBackoff limits how long the rest requested by an upstream is obeyed. An upstream
// that requests weeks by mistake gets requests again without manual action, and one that means
// it can request another rest.
const DefaultMaxBackoff = 10 * time.Minute

// announcement is what an instance has stated about itself in answers. It stays in force until
// the upstream restarts. No upstream list clears it: the store may be unavailable or lag, and
// a list entry may be missing for a while.
type instanceNotices struct {
	leaving bool
	// backoffUntil is when the longest of the requested rests ends, and rest the duration of
	// that rest. Nothing shortens a rest, because an earlier answer may arrive later.
	backoffUntil time.Time
	backoff      time.Duration
	limit        limitState
	// lastSeenAt is when the instance was last listed or last stated something.
	lastSeenAt time.Time
}

// noticesTTL is how long the announcement of an instance that is not listed is kept: an
// entry that expired is back within seconds of the store's recovery.
const noticesTTL = 10 * time.Minute

// ApplyNotices applies what an instance of an upstream stated in an answer. It returns the new
// part: that the upstream is leaving, or a rest that ends later than the previous ones.
func (t *Table) ApplyNotices(l contract.UpstreamInstance, stated Notices, now time.Time) (added Notices) {
	if !stated.Leaving && stated.Backoff == 0 {
		return Notices{}
	}
	a := t.ensureNotices(l, now)
	if stated.Leaving && !a.leaving {
		a.leaving, added.Leaving = true, true
	}
	if until := now.Add(stated.Backoff); until.After(a.backoffUntil) {
		a.backoffUntil, a.backoff, added.Backoff = until, stated.Backoff, stated.Backoff
	}
	return added
}

// ensureNotices returns the announcement of an instance and creates it if necessary.
func (t *Table) ensureNotices(l contract.UpstreamInstance, now time.Time) *instanceNotices {
	a := t.notices[l]
	if a == nil {
		t.dropStaleNotices(now)
		a = &instanceNotices{}
		t.notices[l] = a
		if st := t.states[l.Upstream]; st != nil && st.incarnation == l.Incarnation {
			st.notices = a
		}
	}
	a.lastSeenAt = now
	return a
}

// othersBackoffCost is the additional cost of an upstream that requested a rest from another VM.
// It equals that of an upstream for which half of the recent requests failed: the upstream
// gets fewer requests, but still gets some if no other is better, since a rest requested from
// one VM does not bind the others.
const othersBackoffCost = failureCost / 2

// RecordRemoteBackoff records that an upstream requested a rest from another VM, with the time left of it.
func (t *Table) RecordRemoteBackoff(id contract.UpstreamID, remaining time.Duration, now time.Time) {
	s, ok := t.states[id]
	if !ok {
		return
	}
	if until := now.Add(remaining); until.After(s.othersBackoffUntil) {
		s.othersBackoffUntil = until
	}
}

// dropStaleNotices removes the announcements of instances that have not been listed for
// noticesTTL.
func (t *Table) dropStaleNotices(now time.Time) {
	for l, a := range t.notices {
		if s := t.states[l.Upstream]; s != nil && s.notices == a {
			a.lastSeenAt = now
		} else if now.Sub(a.lastSeenAt) >= noticesTTL {
			delete(t.notices, l)
		}
	}
}

// Instance returns the current instance of an upstream.
func (t *Table) Instance(id contract.UpstreamID) contract.UpstreamInstance {
	l := contract.UpstreamInstance{Upstream: id}
	if s, ok := t.states[id]; ok {
		l.Incarnation = s.incarnation
	}
	return l
}

// TakeEndedBackoffs returns the instances whose rests have ended since the last call.
func (t *Table) TakeEndedBackoffs(now time.Time) []contract.UpstreamInstance {
	var out []contract.UpstreamInstance
	for l, a := range t.notices {
		if !a.backoffUntil.IsZero() && !now.Before(a.backoffUntil) {
			a.backoffUntil = time.Time{}
			out = append(out, l)
		}
	}
	return out
}

// NoticeState reports whether an upstream is resting and whether it stated that it is leaving.
func (t *Table) NoticeState(id contract.UpstreamID, now time.Time) (backedOff, leaving bool) {
	s, ok := t.states[id]
	return ok && s.notices.inBackoff(now), ok && s.notices.isLeaving()
}

// acceptsWork reports whether an upstream accepts new work according to the store's list, its
// load reports and its answers. Every selection checks this, even the last resort, since it
// does not depend on the upstream's health.
func (s *state) acceptsWork(now time.Time) bool { return !s.isLeaving() && !s.notices.inBackoff(now) }

// isLeaving reports whether an upstream is about to stop.
func (s *state) isLeaving() bool {
	return s.leavingIncarnation != 0 && s.leavingIncarnation >= s.reportedIncarnation || s.notices.isLeaving()
}

// AcceptsWork reports whether an instance that was selected earlier still accepts new work.
func (t *Table) AcceptsWork(l contract.UpstreamInstance, now time.Time) bool {
	if s := t.states[l.Upstream]; s != nil && s.incarnation == l.Incarnation {
		return s.acceptsWork(now)
	}
	a := t.notices[l] // no longer listed, but may have been selected before
	return !a.isLeaving() && !a.inBackoff(now)
}

// IsLeaving reports whether an upstream is about to stop, according to the list or its answers.
func (t *Table) IsLeaving(id contract.UpstreamID) bool {
	s, ok := t.states[id]
	return ok && s.isLeaving()
}

// isLeaving reports whether an instance stated that it is about to stop. A nil receiver has
// stated nothing.
func (a *instanceNotices) isLeaving() bool { return a != nil && a.leaving }

// inBackoff reports whether a rest that an instance requested from this VM is still in force.
// A nil receiver has requested none.
func (a *instanceNotices) inBackoff(now time.Time) bool {
	return a != nil && now.Before(a.backoffUntil)
}

// CountBackedOff returns how many of the listed upstreams are resting and how many have stated that
// they are leaving.
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
