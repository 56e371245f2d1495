package upstream

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"woaddoor/contract"
)

// ApplyLimitAnswer applies what an answer of an instance states about its rate limit. The request
// for that answer was sent at sentAt.
func (t *Table) ApplyLimitAnswer(instance contract.UpstreamInstance, answered RateLimit, sentAt, now time.Time) LimitChange {
	a := t.notices[instance]
	if !answered.statesAny() && (a == nil || a.limit.version == 0 && !a.isBrittle()) {
		return LimitChange{}
	}
	a = t.ensureNotices(instance, now)
	change := a.limit.applyAnswer(answered, sentAt, now)
	change.Update = a.limit.toUpdate(instance)
	if s := t.states[instance.Upstream]; s != nil && s.notices == a {
		if answered.Brittle == LimitStated {
			t.recordServiceBrittle(s.service, answered.Rejections, now, now)
		}
		change.Update = t.describe(change.Update, s.service, now)
	}
	if change.Changed {
		t.refreshLimited()
	}
	return change
}

// MergeLimit applies what another VM knows about the rate limit of an instance;
// fresh means that the other VM has just received the limit in an answer.
// MergeLimit returns the limit that applied before, and whether the limit changed.
func (t *Table) MergeLimit(update LimitUpdate, fresh bool, now time.Time) (before RateLimit, changed bool) {
	a := t.ensureNotices(update.Instance, now)
	before = a.limit.RateLimit
	if changed = a.limit.merge(update, fresh, now); changed {
		if s := t.states[update.Instance.Upstream]; s != nil && s.notices == a {
			t.inheritBrittleness(s, now)
		}
		t.refreshLimited()
	}
	return before, changed
}

// toUpdate returns the limit of an instance in the form in which VMs exchange it.
func (l *limitState) toUpdate(instance contract.UpstreamInstance) LimitUpdate {
	return LimitUpdate{Instance: instance, Limit: l.RateLimit, Version: l.version}
}

// hasLimit reports whether the instance stated a rate limit that is in force. A nil receiver
// has stated nothing.
func (a *instanceNotices) hasLimit() bool { return a != nil && a.limit.Statement == LimitStated }

// refreshLimited rebuilds the lists of listed upstreams with a rate limit or any other bound in force.
func (t *Table) refreshLimited() {
	t.limited, t.bounded = t.limited[:0], t.bounded[:0]
	for _, s := range t.sortedStates {
		if s.notices.hasLimit() {
			t.limited = append(t.limited, s)
		}
		if s.notices.hasBound() {
			t.bounded = append(t.bounded, s)
		}
	}
	if t.CountBrittle() > 0 {
		t.groupRoom()
	}
}

// hasBound reports whether the instance has stated a bound on the requests of all VMs that is in
// force. A nil receiver has stated nothing.
func (a *instanceNotices) hasBound() bool { return a != nil && a.limit.statesAny() }

// HasLimit reports whether an instance has a rate limit in force.
func (t *Table) HasLimit(instance contract.UpstreamInstance) bool {
	return t.notices[instance].hasLimit()
}

// CountLimited returns how many of the listed upstreams have a rate limit in force.
func (t *Table) CountLimited() int { return len(t.limited) }

// Limits returns what is known about the rate limits of listed upstreams, at most maxCount of them.
// Limits in force come first. Lifted limits follow, for VMs that do not know yet that these limits
// were lifted, and brittle services of which no listed upstream is brittle.
func (t *Table) Limits(maxCount int, now time.Time) []LimitUpdate {
	var limited, lifted []LimitUpdate
	for _, s := range t.sortedStates {
		switch {
		case s.notices.hasBound():
			limited = append(limited, t.describe(s.notices.limit.toUpdate(t.Instance(s.upstream.ID)), s.service, now))
		case s.notices != nil && s.notices.limit.version > 0:
			lifted = append(lifted, s.notices.limit.toUpdate(t.Instance(s.upstream.ID)))
		}
	}
	for _, service := range t.unlistedBrittleServices() {
		stated := RateLimit{Brittle: LimitStated, Rejections: t.brittleServices[service].rejections}
		limited = append(limited, t.describe(LimitUpdate{Limit: stated}, service, now))
	}
	limited = append(limited, lifted...)
	return limited[:min(maxCount, len(limited))]
}

// LimitsDigest returns a hash of the limits in force, which is equal for two VMs that know the same
// limits. The hash is zero if no limit is in force.
func (t *Table) LimitsDigest() uint64 {
	sum := uint64(0)
	for _, s := range t.bounded {
		b := []byte(s.upstream.ID)
		b = binary.BigEndian.AppendUint64(b, uint64(s.incarnation))
		b = binary.BigEndian.AppendUint64(b, s.notices.limit.version)
		b = binary.BigEndian.AppendUint64(b, math.Float64bits(s.notices.limit.PerSecond))
		if s.notices.isBrittle() {
			b = binary.BigEndian.AppendUint64(b, math.Float64bits(s.notices.limit.Rejections))
		}
		sum += xxhash.Sum64(b)
	}
	for _, service := range t.unlistedBrittleServices() {
		sum += xxhash.Sum64String(string(service))
	}
	return sum
}

// Delays after which a VM sends a probe request to a rate-limited upstream that it does not own.
// The owners are the few VMs that divide the rate limit.
const (
	// localProbeDelay is the delay of a VM of the upstream's own data centre.
	// The VM sends a probe request if no answer has stated the rate limit for that long:
	// the owners may have no callers. Each next VM waits probeStagger longer.
	localProbeDelay = 5 * time.Second
	// remoteProbeDelay is the delay before VMs of other data centres send a probe request:
	// the upstream's own data centre may have no VM left.
	remoteProbeDelay = 25 * time.Second
	// probeStagger is the additional delay of a probe request for each next VM or data
	// centre.
	probeStagger = 2 * time.Second
)

// vmShare returns this VM's share of an upstream's rate limit, and the time until the VM may use
// the share.
func (t *Table) vmShare(s *state, now time.Time) (limitShare, time.Duration) {
	l := &s.notices.limit
	owners, share := divideLimit(l.PerSecond, len(t.owners.VMs))
	if t.owners.Incomplete {
		share = probeShare()
	}
	if s.pool.DataCentre == t.owners.dc && t.ownerRank(s) < owners {
		return share, 0
	}
	return probeShare(), t.probeDelay(s, t.ownerRank(s)-owners, now)
}

// probeDelay returns the time until this VM, which is not among the owners of an upstream, may send
// it a probe request because no answer has confirmed the upstream's statement for a while.
// The argument behind is this VM's rank behind the owners.
func (t *Table) probeDelay(s *state, behind int, now time.Time) time.Duration {
	delay := localProbeDelay + time.Duration(max(behind, 0))*probeStagger
	if s.pool.DataCentre != t.owners.dc {
		delay = remoteProbeDelay + time.Duration(t.ownerRank(s)*len(t.byDataCentre)+t.dataCentreRank())*probeStagger
	}
	return max(s.notices.limit.confirmedAt.Add(delay).Sub(now), 0)
}

// dataCentreRank returns the index of this VM's data centre among the data centres with
// upstreams, sorted by ID.
func (t *Table) dataCentreRank() int {
	n := 0
	for dc := range t.byDataCentre {
		if dc < t.owners.dc {
			n++
		}
	}
	return n
}

// withinLimit reports whether this VM may send one more request to an upstream now according
// to the upstream's rate limit.
func (t *Table) withinLimit(s *state, now time.Time) bool {
	if !s.notices.hasLimit() {
		return true
	}
	if len(t.owners.VMs) == 0 {
		return false // it is not known which VMs divide the limit
	}
	share, probeDelay := t.vmShare(s, now)
	return probeDelay == 0 && s.notices.limit.limiter.wait(share, now) == 0
}

// overLimitCost is the cost of a request to an upstream beyond its rate limit but within its
// tolerance: the upstream is overloaded, yet better than an upstream that would answer late.
const overLimitCost = 0.2

// limitCost returns the cost that an upstream's rate limit adds to one more request of this VM.
func (t *Table) limitCost(s *state, now time.Time) float64 {
	if !s.notices.hasLimit() {
		return 0
	}
	if share, _ := t.vmShare(s, now); s.notices.limit.limiter.overLimit(share, now) {
		return overLimitCost
	}
	return 0
}

// claimShare uses one request of this VM's share of a rate limit.
func (t *Table) claimShare(s *state, now time.Time) {
	if s.notices.isBrittle() && t.roomShare(s, now) == 0 {
		s.notices.limit.confirmedAt = now // a probe
	}
	if !s.notices.hasLimit() {
		return
	}
	share, _ := t.vmShare(s, now)
	s.notices.limit.limiter.record(share, now)
	s.notices.limit.confirmedAt = now
}

// ClaimShare uses one request of this VM's share of a rate limit that an upstream stated only after
// the upstream was selected for the request. It reports whether the share allowed the request.
func (t *Table) ClaimShare(instance contract.UpstreamInstance, now time.Time) bool {
	s := t.states[instance.Upstream]
	if s == nil || s.incarnation != instance.Incarnation || !t.withinLimit(s, now) {
		return false
	}
	t.claimShare(s, now)
	return true
}

// ReleaseShare returns one request to this VM's share of a rate limit, for a request that was not
// sent.
func (t *Table) ReleaseShare(instance contract.UpstreamInstance, now time.Time) {
	if s := t.states[instance.Upstream]; s != nil && s.incarnation == instance.Incarnation && s.notices.hasLimit() {
		share, _ := t.vmShare(s, now)
		s.notices.limit.limiter.giveBack(share)
	}
}

// dueForProbe returns an upstream to which this VM may send a request and whose rate limit no
// answer has confirmed for probeInterval, or nil. Such an upstream takes precedence over cheaper
// upstreams: only an answer reveals that the limit was lifted, and until then almost all requests
// go to other upstreams.
func (t *Table) dueForProbe(q Query, now time.Time) *state {
	i := slices.IndexFunc(t.limited, func(s *state) bool {
		return now.Sub(s.notices.limit.confirmedAt) >= probeInterval && t.usable(s, q.Version, now) && q.allows(s)
	})
	if i < 0 {
		return nil
	}
	return t.limited[i]
}
