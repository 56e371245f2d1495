package upstream

import (
	"slices"
	"time"

	"woaddoor/contract"
)

// An orphan is a request that this VM no longer waits for and on which its upstream may still work:
// the caller has left, or the attempt was ended for another one. Most upstreams drop a request once its
// connection closes, but none says so, and those that do not still use a slot.

const (
	// workTimeWeight is the weight of the newest sample in the mean work time of a service.
	workTimeWeight = 0.1
	// orphanFactor is how many times the mean work time an orphan is assumed to use its slot, counted
	// from when it was sent.
	orphanFactor = 2
)

// RecordWorkTime records how long an upstream worked on a request in all.
func (t *Table) RecordWorkTime(id contract.UpstreamID, d time.Duration) {
	s, ok := t.states[id]
	if !ok {
		return
	}
	mean := t.workTimes[s.service]
	if mean == 0 {
		mean = d
	}
	t.workTimes[s.service] = mean + time.Duration(workTimeWeight*float64(d-mean))
}

// RecordOrphan records that this VM no longer waits for a request that was sent at sentAt and on which
// its upstream works until the deadline at most.
func (t *Table) RecordOrphan(id contract.UpstreamID, sentAt, deadline, now time.Time) {
	s, ok := t.states[id]
	if !ok {
		return
	}
	if d := now.Sub(sentAt); d > t.workTimes[s.service] { // would have taken longer still
		t.RecordWorkTime(id, d)
	}
	until := sentAt.Add(orphanFactor * t.workTimes[s.service])
	if deadline.Before(until) {
		until = deadline
	}
	if until.After(now) {
		s.orphans = append(s.liveOrphans(now), until)
	}
}

// liveOrphans drops the orphans that have ended and returns the others.
func (s *state) liveOrphans(now time.Time) []time.Time {
	s.orphans = slices.DeleteFunc(s.orphans, func(until time.Time) bool { return !now.Before(until) })
	return s.orphans
}

// slotsInUse returns how many slots of the upstream this VM's requests use, orphans among them.
func (s *state) slotsInUse(now time.Time) int { return s.inFlight + len(s.liveOrphans(now)) }
