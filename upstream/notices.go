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
type announcement struct {
	leaving bool
	// restUntil is when the longest of the requested rests ends, and rest the duration of
	// that rest. Nothing shortens a rest, because an earlier answer may arrive later.
	restUntil time.Time
	rest      time.Duration
	limit     limitState
	// lastSeenAt is when the instance was last listed or last stated something.
	lastSeenAt time.Time
}

// announcementTTL is how long the announcement of an instance that is not listed is kept: an
// entry that expired is back within seconds of the store's recovery.
const announcementTTL = 10 * time.Minute

// ApplyNotices applies what an instance of an upstream stated in an answer. It returns the new
// part: that the upstream is leaving, or a rest that ends later than the previous ones.
func (t *Table) ApplyNotices(l contract.UpstreamInstance, said Notices, now time.Time) (added Notices) {
	if !said.Leaving && said.Backoff == 0 {
		return Notices{}
	}
	a := t.ensureAnnouncement(l, now)
	if said.Leaving && !a.leaving {
		a.leaving, added.Leaving = true, true
	}
	if until := now.Add(said.Backoff); until.After(a.restUntil) {
		a.restUntil, a.rest, added.Backoff = until, said.Backoff, said.Backoff
	}
	return added
}

// ensureAnnouncement returns the announcement of an instance and creates it if necessary.
func (t *Table) ensureAnnouncement(l contract.UpstreamInstance, now time.Time) *announcement {
	a := t.announcements[l]
	if a == nil {
		t.dropStaleAnnouncements(now)
		a = &announcement{}
		t.announcements[l] = a
		if st := t.states[l.Upstream]; st != nil && st.born == l.Incarnation {
			st.announced = a
		}
	}
	a.lastSeenAt = now
	return a
}

// othersRestCost is the additional cost of an upstream that requested a rest from another VM.
// It equals that of an upstream for which half of the recent requests failed: the upstream
// gets fewer requests, but still gets some if no other is better, since a rest requested from
// one VM does not bind the others.
const othersRestCost = failureCost / 2

// RecordRemoteBackoff records that an upstream requested a rest from another VM, with the time left of it.
func (t *Table) RecordRemoteBackoff(id contract.UpstreamID, left time.Duration, now time.Time) {
	s, ok := t.states[id]
	if !ok {
		return
	}
	if until := now.Add(left); until.After(s.othersRestUntil) {
		s.othersRestUntil = until
	}
}

// dropStaleAnnouncements removes the announcements of instances that have not been listed for
// announcementTTL.
func (t *Table) dropStaleAnnouncements(now time.Time) {
	for l, a := range t.announcements {
		if s := t.states[l.Upstream]; s != nil && s.announced == a {
			a.lastSeenAt = now
		} else if now.Sub(a.lastSeenAt) >= announcementTTL {
			delete(t.announcements, l)
		}
	}
}

// Instance returns the current instance of an upstream.
func (t *Table) Instance(id contract.UpstreamID) contract.UpstreamInstance {
	l := contract.UpstreamInstance{Upstream: id}
	if s, ok := t.states[id]; ok {
		l.Incarnation = s.born
	}
	return l
}

// TakeEndedBackoffs returns the instances whose rests have ended since the last call.
func (t *Table) TakeEndedBackoffs(now time.Time) []contract.UpstreamInstance {
	var out []contract.UpstreamInstance
	for l, a := range t.announcements {
		if !a.restUntil.IsZero() && !now.Before(a.restUntil) {
			a.restUntil = time.Time{}
			out = append(out, l)
		}
	}
	return out
}

// NoticeState reports whether an upstream is resting and whether it stated that it is leaving.
func (t *Table) NoticeState(id contract.UpstreamID, now time.Time) (resting, leaving bool) {
	s, ok := t.states[id]
	return ok && s.announced.isResting(now), ok && s.announced.isLeaving()
}

// acceptsWork reports whether an upstream accepts new work according to the store's list, its
// load reports and its answers. Every selection checks this, even the last resort, since it
// does not depend on the upstream's health.
func (s *state) acceptsWork(now time.Time) bool { return !s.isLeaving() && !s.announced.isResting(now) }

// isLeaving reports whether an upstream is about to stop.
func (s *state) isLeaving() bool {
	return s.leavingIncarnation != 0 && s.leavingIncarnation >= s.incarnation || s.announced.isLeaving()
}

// AcceptsWork reports whether an instance that was selected earlier still accepts new work.
func (t *Table) AcceptsWork(l contract.UpstreamInstance, now time.Time) bool {
	if s := t.states[l.Upstream]; s != nil && s.born == l.Incarnation {
		return s.acceptsWork(now)
	}
	a := t.announcements[l] // no longer listed, but may have been selected before
	return !a.isLeaving() && !a.isResting(now)
}

// IsLeaving reports whether an upstream is about to stop, according to the list or its answers.
func (t *Table) IsLeaving(id contract.UpstreamID) bool {
	s, ok := t.states[id]
	return ok && s.isLeaving()
}

// isLeaving reports whether an instance stated that it is about to stop. A nil receiver has
// stated nothing.
func (a *announcement) isLeaving() bool { return a != nil && a.leaving }

// isResting reports whether a rest that an instance requested from this VM is still in force.
// A nil receiver has requested none.
func (a *announcement) isResting(now time.Time) bool { return a != nil && now.Before(a.restUntil) }

// CountBackedOff returns how many of the listed upstreams are resting and how many have stated that
// they are leaving.
func (t *Table) CountBackedOff(now time.Time) (resting, leaving int) {
	for _, s := range t.sortedStates {
		if s.announced.isResting(now) {
			resting++
		}
		if s.announced.isLeaving() {
			leaving++
		}
	}
	return resting, leaving
}
