package upstream

import (
	"maps"
	"slices"
	"time"

	"woaddoor/contract"
)

// Brittleness is a property of a service: all its upstreams state it at the same time. A new instance
// has stated nothing yet, and its first answer would come too late: to all VMs at once, it would seem
// to be an idle upstream without a bound. A new instance therefore starts with what its service has
// stated last, until its own answer says otherwise.

// brittleServiceTTL is how long the statement of a service holds for its new instances. It is longer
// than a failed upstream is gone, and than the interval of reports between data centres.
const brittleServiceTTL = time.Minute

// serviceBrittleness is what the upstreams of a service have stated last.
type serviceBrittleness struct {
	rejections float64
	// statedAt is when an upstream of the service last stated it to any VM.
	statedAt time.Time
}

// LearnService applies what another VM knows about the brittleness of a service, also if this VM does
// not list the instance that stated it.
func (t *Table) LearnService(update LimitUpdate, now time.Time) {
	if update.Service != "" && update.Limit.Brittle == LimitStated {
		t.recordServiceBrittle(update.Service, update.Limit.Rejections, now.Add(-update.StatedAgo), now)
	}
}

// recordServiceBrittle records that an upstream of a service stated at a time that it is brittle. Listed
// instances that have stated nothing yet are assumed to be brittle from then on.
func (t *Table) recordServiceBrittle(service contract.ServiceID, rejections float64, statedAt, now time.Time) {
	known, was := t.brittleServices[service]
	if !statedAt.After(known.statedAt) || now.Sub(statedAt) >= brittleServiceTTL {
		return
	}
	t.brittleServices[service] = serviceBrittleness{rejections, statedAt}
	if was {
		return
	}
	for _, s := range t.sortedStates {
		if s.service == service {
			t.inheritBrittleness(s, now)
		}
	}
	t.refreshLimited()
}

// inheritBrittleness makes an instance brittle if its service is and the instance has not stated
// whether it is.
func (t *Table) inheritBrittleness(s *state, now time.Time) {
	b, ok := t.brittleServices[s.service]
	if !ok || s.notices != nil && s.notices.limit.Brittle != LimitUnknown {
		return
	}
	l := &t.ensureNotices(t.Instance(s.upstream.ID), now).limit
	l.Brittle, l.Rejections, l.confirmedAt = LimitStated, b.rejections, now
}

// expireBrittleServices forgets the statements of services that were last made too long ago.
func (t *Table) expireBrittleServices(now time.Time) {
	maps.DeleteFunc(t.brittleServices, func(_ contract.ServiceID, b serviceBrittleness) bool {
		return now.Sub(b.statedAt) >= brittleServiceTTL
	})
}

// unlistedBrittleServices returns the brittle services of which no listed upstream is brittle,
// because those that stated it are gone.
func (t *Table) unlistedBrittleServices() []contract.ServiceID {
	if len(t.brittleServices) == 0 {
		return nil
	}
	services := maps.Clone(t.brittleServices)
	for _, s := range t.bounded {
		if s.notices.isBrittle() {
			delete(services, s.service)
		}
	}
	return slices.Sorted(maps.Keys(services))
}

// describe adds to an update what is known of the service of an instance.
func (t *Table) describe(update LimitUpdate, service contract.ServiceID, now time.Time) LimitUpdate {
	if b, ok := t.brittleServices[service]; ok {
		update.Service, update.StatedAgo = service, now.Sub(b.statedAt)
	}
	return update
}
