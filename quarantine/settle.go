package quarantine

import (
	"cmp"
	"slices"
	"time"

	"woaddoor/contract"
)

// What has reached its limit of crashes settles before it is quarantined: an answer may be known to another VM,
// or the service may be at fault. If the service answered nothing else between the crashes, the
// record is on probation once the service works again, and one request decides.

const (
	// settleDelay is the time between the last crash that counts against a part and its quarantine.
	// Within it, gossip reports an answer that another VM has received.
	settleDelay = 700 * time.Millisecond
	// serviceWorksWindow is the time after a crash within which an answer of the service to another
	// request shows that the service works.
	serviceWorksWindow = time.Second
	// answerSpacing is the time between two answers of a service that are remembered, and
	// maxServiceAnswers their number.
	answerSpacing     = 50 * time.Millisecond
	maxServiceAnswers = 100
)

// State tells what keeps requests with a record from being quarantined, or lets them pass.
type State string

// States of a record.
const (
	BelowLimit    State = "below-limit"    // fewer crashes count than its limit
	Settling      State = "settling"       // an answer may be known to another VM
	ServiceSilent State = "service-silent" // its service has answered nothing else between its crashes; one request decides once it does
	Quarantined   State = "quarantined"
)

// Settle quarantines what has reached its limit of crashes some time ago and is still unanswered, and
// returns its records. Of those that ran on the same upstreams, the ones with the most crashes come
// first: they explain the crashes of the others.
func (t *Table) Settle(now time.Time) []*Record {
	type candidate struct {
		*Record
		counted int
	}
	var due []candidate
	for _, c := range t.settling {
		if s := t.standingOf(c); c.isDue(s, now) {
			due = append(due, candidate{c, s.counted})
		}
	}
	slices.SortFunc(due, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.counted, a.counted), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	var quarantined []*Record
	for _, d := range due {
		c := d.Record
		t.updateOthersAnswered(c)
		if t.settling[c.Fingerprint] == nil || !c.othersAnswered { // explained by a part that came first, or the service is at fault
			continue
		}
		t.setQuarantined(c, true)
		t.updateSettling(c, now)
		t.markChanged(c, now)
		if c.IsPart() {
			t.excuseOthers(c, now)
		}
		quarantined = append(quarantined, c)
	}
	return quarantined
}

// isDue reports whether the time for answers has passed. It is longer where the limit is reached only with
// crashes at the same time.
func (c *Record) isDue(s standing, now time.Time) bool {
	if s.successive >= c.Limit() {
		return now.Sub(c.successiveAt) >= settleDelay
	}
	return now.Sub(c.limitReachedAt) >= settleDelay && now.Sub(c.limitCrashAt) >= atOnceDelay
}

// updateOthersAnswered notes whether the record's service has answered other requests between its crashes,
// or shortly after the last one.
func (t *Table) updateOthersAnswered(c *Record) {
	if len(c.Crashes) == 0 || c.othersAnswered {
		return
	}
	first, last := c.Crashes[0].BrokenAt, c.newestCrash().BrokenAt
	c.othersAnswered = slices.ContainsFunc(t.serviceAnswers[c.Service], func(at time.Time) bool {
		return at.After(first) && !at.After(last.Add(serviceWorksWindow))
	})
}

// updateSettling begins or ends the time after which a record is quarantined.
func (t *Table) updateSettling(c *Record, now time.Time) {
	s := t.standingOf(c)
	t.trackNearLimit(c, s, now)
	if c.Quarantined || s.counted < c.Limit() {
		delete(t.settling, c.Fingerprint)
		return
	}
	if _, settling := t.settling[c.Fingerprint]; !settling {
		c.limitReachedAt, c.limitCrashAt, c.successiveAt, c.sentWhileSettling = now, s.limitAt, time.Time{}, false
		t.settling[c.Fingerprint] = c
	}
	for _, at := range t.serviceAnswers[c.Service] {
		c.noteWorks(at)
	}
	if s.successive >= c.Limit() && c.successiveAt.IsZero() {
		c.successiveAt = now
	}
}

// trackNearLimit keeps the index of the records that one more crash may quarantine.
func (t *Table) trackNearLimit(c *Record, s standing, now time.Time) {
	count := s.counted
	if !c.IsPart() {
		count = max(s.successive, s.counted-1) // a quarantine on crashes at the same time waits for answers
	}
	if c.Quarantined || count < c.Limit()-1 {
		delete(t.nearLimit, c.Fingerprint)
		c.nearLimitAt = time.Time{}
		return
	}
	t.nearLimit[c.Fingerprint] = c
	if c.nearLimitAt.IsZero() {
		c.nearLimitAt = now
	}
}

// RecordServiceAnswer records that an upstream of a service has answered a request whole. It reports whether
// that is news for other VMs: the service works again after all its answers had stopped.
func (t *Table) RecordServiceAnswer(s contract.ServiceID, now time.Time) (news bool) {
	for _, c := range t.settling {
		if c.Service == s && !c.othersAnswered && c.noteWorks(now) {
			t.markChanged(c, now)
			news = true
		}
	}
	known := t.serviceAnswers[s]
	if n := len(known); n == 0 || now.Sub(known[n-1]) >= answerSpacing {
		t.serviceAnswers[s] = append(known[max(len(known)-maxServiceAnswers+1, 0):], now)
	}
	return news
}

// noteWorks notes an answer of the record's service, and reports whether it is the first one after the newest crash.
func (c *Record) noteWorks(answeredAt time.Time) bool {
	if c.serviceWorks() || len(c.Crashes) == 0 || !answeredAt.After(c.newestCrash().BrokenAt) {
		return false
	}
	c.worksSince = answeredAt
	return true
}

// serviceWorks reports whether the record's service has answered another request after the newest crash.
func (c *Record) serviceWorks() bool {
	return len(c.Crashes) > 0 && c.worksSince.After(c.newestCrash().BrokenAt)
}

// newestCrash returns the newest crash of a record that has any.
func (c *Record) newestCrash() Crash { return c.Crashes[len(c.Crashes)-1] }

// isSettling reports whether a record is about to be quarantined for successive crashes unless an answer
// to it becomes known. Crashes at the same time alone do not keep requests from being sent: a sound
// part is cleared by the answers to them.
func (t *Table) isSettling(c *Record, now time.Time) bool {
	return t.settling[c.Fingerprint] != nil && c.othersAnswered && !c.successiveAt.IsZero() && now.Sub(c.successiveAt) < settleDelay
}

// onProbation reports whether it is open if a record that has reached its limit is at fault, because its
// service answered nothing else between the crashes, and the service works again. One request
// decides: a trial that the store grants, or one of the VM that observed the newest crash.
func (t *Table) onProbation(c *Record, now time.Time) bool {
	return t.settling[c.Fingerprint] != nil && !c.othersAnswered && c.serviceWorks() && now.Sub(c.worksSince) >= settleDelay
}

// newestIsOwn reports whether this VM has observed the newest crash of the record. Of all VMs that know the
// crashes, it alone sends one more request.
func (c *Record) newestIsOwn() bool {
	return len(c.Crashes) > 0 && c.newestCrash().UpstreamInstance == c.observed
}

// StateOf returns the state of a record.
func (t *Table) StateOf(c *Record) State {
	switch {
	case c.Quarantined:
		return Quarantined
	case t.settling[c.Fingerprint] == nil:
		return BelowLimit
	case !c.othersAnswered:
		return ServiceSilent
	}
	return Settling
}
