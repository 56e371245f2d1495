package quarantine

import (
	"slices"
	"time"

	"woaddoor/contract"
)

// A part of a prompt may crash each upstream that begins to answer a request with it, whatever else
// the request holds. A part differs from a content in what counts as evidence:
//
//   - Many requests share a part, so an answer to any of them clears it. A part is quarantined if its
//     crashes have never been followed by an answer.
//   - Requests with a part overlap, so a crash counts although the request was sent before the
//     previous one.
//   - One request may crash several upstreams for another reason, so crashes of one content count
//     only maxCrashesPerContent times.
//   - Answers are known to the VM that received them first, so a part is quarantined only settleDelay
//     after its last crash that counts. Until then, one VM sends one request with the part.
//   - If a service answers nothing, the service is at fault and not the part, which all requests may
//     share. A part is quarantined only if requests without it were answered between its crashes.

// PartCrashLimit is the number of crashes without an answer after which a part is quarantined.
const PartCrashLimit = 4

// maxCrashesPerContent is how many crashes of requests with one content count against a part.
const maxCrashesPerContent = 2

// PartCrashWindow is the time after the begin of an answer within which a crash counts against the
// parts of its prompt. An upstream that answers for longer has survived them.
const PartCrashWindow = time.Second

const (
	// answerMemory is how long an answer contradicts another VM's quarantine of a part.
	answerMemory = 5 * time.Second
	// maxAnswered bounds the parts whose last answer is remembered.
	maxAnswered = 4096
	// maxPartName bounds the name of a part in gossip, in the store and in the log, in bytes.
	maxPartName = 64
)

// Part is a part of a prompt that other requests may share.
type Part struct {
	Fingerprint Fingerprint
	// Name is the name of the part as the caller sent it, for operators. It may be shortened.
	Name string
}

// NewPart returns the part with the given name.
func NewPart(name string) Part {
	return Part{FingerprintOfPart(name), name[:min(len(name), maxPartName)]}
}

// IsPart reports whether the record is about a part of a prompt instead of a whole content.
func (c *Record) IsPart() bool { return c.Part != "" }

// Limit returns the crash count at which the record is quarantined.
func (c *Record) Limit() int {
	if c.IsPart() {
		return PartCrashLimit
	}
	return CrashLimit
}

// trackQuarantinedPart keeps the index of the upstreams that crashed under quarantined parts.
func (t *Table) trackQuarantinedPart(c *Record) {
	if !c.IsPart() {
		return
	}
	if !c.Quarantined {
		if t.quarantinedParts[c.Fingerprint] == nil {
			return
		}
		delete(t.quarantinedParts, c.Fingerprint)
		for instance, by := range t.explained {
			if by == c.Fingerprint {
				delete(t.explained, instance)
			}
		}
		return
	}
	t.quarantinedParts[c.Fingerprint] = c
	for _, e := range c.Crashes {
		t.explained[e.UpstreamInstance] = c.Fingerprint
	}
}

// explainsAll reports whether quarantined parts explain all crashes of a record.
func (t *Table) explainsAll(c *Record) bool {
	return !slices.ContainsFunc(c.Crashes, func(e Crash) bool { return !t.explains(c, e) })
}

// excuseOthers looks again at the records whose crashes a quarantined part explains, and releases those
// that were quarantined because of these crashes alone. What ran beside the part, or waited there, is
// not at fault. A record with any other crash may be at fault itself.
func (t *Table) excuseOthers(by *Record, now time.Time) {
	for _, c := range t.records {
		if c == by || !slices.ContainsFunc(c.Crashes, func(e Crash) bool { return t.explains(c, e) }) {
			continue
		}
		t.updateSettling(c, now)
		if c.Quarantined && t.explainsAll(c) {
			t.resetTo(c, c.Epoch+1, now)
			t.excused = append(t.excused, c)
		}
	}
}

// TakeExcused returns the records released since the last call because a quarantined part explains
// the crashes for which they were quarantined.
func (t *Table) TakeExcused() []*Record {
	out := t.excused
	t.excused = nil
	return out
}

// RecordPartAnswer records that an upstream has survived an answer to a request with a part.
// RecordPartAnswer reports whether the part was under suspicion.
func (t *Table) RecordPartAnswer(p Fingerprint, now time.Time) bool {
	if !t.Empty() {
		t.rememberAnswer(p, now)
	}
	return t.RecordAnswer(p, now)
}

// rememberAnswer keeps when a part was last answered.
func (t *Table) rememberAnswer(p Fingerprint, now time.Time) {
	if _, known := t.answered[p]; !known && len(t.answered) >= maxAnswered {
		t.expireAnswers(now)
	}
	if len(t.answered) < maxAnswered {
		t.answered[p] = now
	}
}

// expireAnswers forgets answers older than answerMemory.
func (t *Table) expireAnswers(now time.Time) {
	for p, at := range t.answered {
		if now.Sub(at) > answerMemory {
			delete(t.answered, p)
		}
	}
}

// answeredRecently reports whether this VM has received an answer to a request with a part within
// answerMemory.
func (t *Table) answeredRecently(p Fingerprint, now time.Time) bool {
	at, ok := t.answered[p]
	return ok && now.Sub(at) <= answerMemory
}

// contradict returns what remains of another VM's record after this VM's own answers. Crashes before
// an answer do not count. What is or may soon be quarantined becomes a release if an answer contradicts it:
// the other VM does not know of the answer.
func (t *Table) contradict(other Record, now time.Time) (remaining Record, released bool) {
	if !other.IsPart() || !t.answeredRecently(other.Fingerprint, now) {
		return other, false
	}
	answeredAt, reported := t.answered[other.Fingerprint], len(other.Crashes)
	other.Crashes = slices.DeleteFunc(other.Crashes, func(e Crash) bool { return !e.BrokenAt.After(answeredAt) })
	if other.Quarantined || reported >= PartCrashLimit && len(other.Crashes) == 0 {
		other.Quarantined, other.Crashes, other.Epoch = false, nil, other.Epoch+1
		return other, true
	}
	return other, false
}

// BlockedBy returns the record because of which a request must not be sent to any upstream now, or
// nil. The fingerprints are those of the request's content and of its parts. If all of them that are
// quarantined have a granted trial, the call uses up the trials. A trial that is due is requested.
// If parts of the request are settling, the call uses up their one send.
func (t *Table) BlockedBy(fingerprints []Fingerprint, now time.Time) *Record {
	var granted, settling []*Record
	var blocked *Record
	for _, p := range fingerprints {
		c := t.records[p]
		switch {
		case c == nil:
		case t.isSettling(c, now):
			settling = append(settling, c)
			if blocked == nil && (c.sentWhileSettling || !c.newestIsOwn()) {
				blocked = c
			}
		case !c.Quarantined && !t.onProbation(c, now):
		case now.Before(c.trials.grantedUntil):
			granted = append(granted, c)
		case !c.Quarantined && !c.inStore && c.newestIsOwn() && !c.sentWhileSettling:
			settling = append(settling, c) // the store can't grant a trial
		case !c.Quarantined:
			c.trials.requested = c.trials.requested || c.trials.count == 0 || now.Sub(c.trials.since) >= grantDuration
			if blocked == nil {
				blocked = c
			}
		default:
			c.trials.requested = c.trials.requested || c.trials.due(now) || c.trials.count == 0 && t.isAmbiguous(c, fingerprints)
			if blocked == nil {
				blocked = c
			}
		}
	}
	if blocked == nil {
		for _, c := range granted {
			c.trials.grantedUntil = time.Time{}
		}
		for _, c := range settling {
			c.sentWhileSettling = true
		}
	}
	return blocked
}

// isAmbiguous reports whether a quarantined part may be harmless because another quarantined part,
// which the request does not have, was on each upstream that crashed under it. One trial decides.
func (t *Table) isAmbiguous(c *Record, fingerprints []Fingerprint) bool {
	if !c.IsPart() || len(c.Crashes) == 0 {
		return false
	}
	for p, other := range t.quarantinedParts {
		if other != c && !slices.Contains(fingerprints, p) && other.coversUpstreams(c) {
			return true
		}
	}
	return false
}

// coversUpstreams reports whether each upstream that crashed under another record crashed under
// this one too. Only the identifiers are compared: the store keeps no incarnations.
func (c *Record) coversUpstreams(other *Record) bool {
	for _, e := range other.Crashes {
		if !slices.ContainsFunc(c.Crashes, func(o Crash) bool { return o.Upstream == e.Upstream }) {
			return false
		}
	}
	return true
}

// DecidedSoon reports whether it is known within seconds if requests with a record that blocks them
// are sent again: the part is settling, or the first trial has been requested.
func (c *Record) DecidedSoon() bool {
	return !c.Quarantined || c.trials.requested && c.trials.count == 0
}

// CountQuarantinedParts returns the number of quarantined parts.
func (t *Table) CountQuarantinedParts() int { return len(t.quarantinedParts) }

// instanceOnly returns the crash of an upstream of which only the identifier is known.
func instanceOnly(id contract.UpstreamID) Crash {
	return Crash{UpstreamInstance: contract.UpstreamInstance{Upstream: id}}
}
