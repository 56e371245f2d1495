package quarantine

import (
	"slices"
	"time"

	"woaddoor/contract"
)

// Weight tells whether a crash counts against a content or a part, and if it does not, why.
type Weight string

// Weights of a crash.
const (
	// Successive is a crash after the previous one that counts, of a request that was sent after it or
	// so much later that it cannot share its cause.
	Successive Weight = "successive"
	// AtOnce is a crash beside another one, without a sign of a cause that they share.
	AtOnce Weight = "at-once"
	// SharedCause is a crash at the time of others of which most were of upstreams that did not run the
	// content or part.
	SharedCause Weight = "shared-cause"
	// SameContent is a crash beyond the maxCrashesPerContent that count of one content.
	SameContent Weight = "same-content"
	// Explained is a crash under another part that is quarantined. It counts again once that part is released.
	Explained Weight = "explained"
)

// Counts reports whether a crash with the weight counts.
func (w Weight) Counts() bool { return w == Successive || w == AtOnce }

// WeighedCrash is a crash of a record and its weight.
type WeighedCrash struct {
	Crash
	Weight Weight
}

const (
	// atOnceDelay is the time between crashes and a quarantine that rests on crashes at the same time. Requests
	// that were sent again after a common cause are answered within it, which releases what they share.
	atOnceDelay = 2 * time.Second
	// sharedCauseRatio is how many times as many upstreams must have crashed without a content or part
	// as with it, at the same time, for another cause to be likely.
	sharedCauseRatio = 2
	// endedMemory is how long the crash of an upstream may tell that others shared its cause.
	endedMemory = time.Minute
	// maxEnded bounds the upstream instances in Table.ended.
	maxEnded = 1024
)

// Weigh returns the crashes of a record, oldest first, and whether each counts.
func (t *Table) Weigh(c *Record) []WeighedCrash {
	out := make([]WeighedCrash, 0, len(c.Crashes))
	ofContent := make(map[uint64]int)
	var last time.Time // when the last successive crash was
	none := true
	for _, e := range c.Crashes {
		w := WeighedCrash{e, Successive}
		switch {
		case t.explains(c, e):
			w.Weight = Explained
		case c.IsPart() && e.Content != 0 && ofContent[e.Content] >= maxCrashesPerContent:
			w.Weight = SameContent
		case !none && !c.follows(e, last):
			w.Weight = AtOnce
		}
		if w.Weight == Successive {
			last, none = e.BrokenAt, false
		}
		if w.Weight.Counts() {
			ofContent[e.Content]++
		}
		out = append(out, w)
	}
	t.markSharedCauses(c, out)
	return out
}

// follows reports whether a crash cannot share its cause with an earlier one. A crash does if its request
// was sent after the earlier crash, or if it came minCrashSpacing later. A content must not have
// waited at the upstream for long either.
func (c *Record) follows(e Crash, earlier time.Time) bool {
	if !e.SentAt.Before(earlier) {
		return true
	}
	apart := !e.BrokenAt.Before(earlier.Add(minCrashSpacing))
	return apart && (c.IsPart() || !e.SentAt.Before(earlier.Add(-maxSendSkew)))
}

// markSharedCauses marks the crashes of a record beside which others had a cause that has nothing to do
// with it: of the upstreams that crashed at that time, most did not run its content or part.
func (t *Table) markSharedCauses(c *Record, crashes []WeighedCrash) {
	for i := range crashes {
		if crashes[i].Weight != AtOnce {
			continue
		}
		with, without := 0, 0
		near := func(at time.Time) bool {
			return at.Sub(crashes[i].BrokenAt).Abs() <= minCrashSpacing
		}
		for _, e := range c.Crashes {
			if near(e.BrokenAt) {
				with++
			}
		}
		for instance, at := range t.ended {
			if near(at) && !c.hasCrash(instance) {
				without++
			}
		}
		if without >= sharedCauseRatio*with {
			crashes[i].Weight = SharedCause
		}
	}
}

// hasCrash reports whether an upstream instance crashed while it ran a request with the record's
// content or part.
func (c *Record) hasCrash(instance contract.UpstreamInstance) bool {
	return slices.ContainsFunc(c.Crashes, func(e Crash) bool { return e.sameInstance(instance) })
}

// explains reports whether another quarantined part explains a crash of a record. A part with as many
// crashes always came together with the quarantined one; which of the two is at fault is not
// known, and its crashes count.
func (t *Table) explains(c *Record, e Crash) bool {
	by, ok := t.explained[e.UpstreamInstance]
	if !ok || by == c.Fingerprint {
		return false
	}
	other := t.quarantinedParts[by]
	return other != nil && !(c.IsPart() && c.countTimes() >= other.countTimes())
}

// countTimes returns at how many different times upstreams crashed under a part, whatever the cause.
func (c *Record) countTimes() int {
	n := 0
	var last time.Time
	for _, e := range c.Crashes {
		if n == 0 || c.follows(e, last) {
			n, last = n+1, e.BrokenAt
		}
	}
	return n
}

// standing is how far the crashes of a record go towards its quarantine.
type standing struct {
	// successive counts the successive crashes, counted those and the ones at the same time.
	successive, counted int
	// limitAt is when the crash came with which counted has reached the limit; zero before.
	limitAt time.Time
}

// standingOf weighs the crashes of a record.
func (t *Table) standingOf(c *Record) (s standing) {
	for _, e := range t.Weigh(c) {
		if !e.Weight.Counts() {
			continue
		}
		if e.Weight == Successive {
			s.successive++
		}
		s.counted++
		if s.counted == c.Limit() {
			s.limitAt = e.BrokenAt
		}
	}
	return s
}

// recordEnded notes when upstreams crashed, whatever ran there.
func (t *Table) recordEnded(crashes []Crash) {
	for _, e := range crashes {
		if e.Incarnation == 0 {
			continue // read from the store: its time is not known
		}
		at, known := t.ended[e.UpstreamInstance]
		if known && !e.BrokenAt.Before(at) || !known && len(t.ended) >= maxEnded {
			continue
		}
		t.ended[e.UpstreamInstance] = e.BrokenAt
	}
}

// expireEnded forgets crashes that are too old to share a cause with a new one.
func (t *Table) expireEnded(now time.Time) {
	for instance, at := range t.ended {
		if now.Sub(at) > endedMemory {
			delete(t.ended, instance)
		}
	}
}
