package quarantine

import (
	"slices"
	"time"

	"woaddoor/contract"
)

// QuarantinedContent is a quarantined request content as written to the platform's object store.
// There it survives a power loss of all VMs.
type QuarantinedContent struct {
	Fingerprint Fingerprint
	Source
	// Upstreams lists the upstreams that crashed while they ran the quarantined content.
	Upstreams []contract.UpstreamID
	// Trials counts the trials granted since the content was quarantined. A trial is a single
	// send that checks whether the quarantined content still crashes upstreams.
	Trials   int
	Revision contract.Revision
	// Suspected means that the content is not quarantined: one more crash may be enough.
	Suspected bool
}

// suspicionWriteDelay is the time for which a record has to be near its limit before it is written.
// An answer, which most records get in that time, saves both the write and the deletion.
const suspicionWriteDelay = 250 * time.Millisecond

// stored returns a suspicion record in the form that is written to the platform's object store.
func (c *Record) stored() QuarantinedContent {
	h := QuarantinedContent{Fingerprint: c.Fingerprint, Source: c.Source, Trials: c.trials.count, Revision: c.storeRevision, Suspected: !c.Quarantined}
	for _, e := range c.Crashes {
		h.Upstreams = append(h.Upstreams, e.Upstream)
	}
	return h
}

// SetStored records that the platform's object store contains a quarantined or suspected content.
func (t *Table) SetStored(h QuarantinedContent, now time.Time) {
	c := t.records[h.Fingerprint]
	if c != nil && h.Revision <= c.storeRevision {
		return // already known, or cleared in the meantime
	}
	if c == nil {
		t.makeRoom(now)
		c = &Record{Fingerprint: h.Fingerprint, Source: h.Source}
		t.records[h.Fingerprint] = c
	}
	c.storeRevision = h.Revision
	t.setInStore(c, true)
	c.suspectedInStore = h.Suspected
	if c.IsPart() && t.answeredRecently(c.Fingerprint, now) {
		return // differs from the store now, and is deleted there
	}
	c.trials.setCount(h.Trials, now)
	if h.Suspected {
		t.addStoredCrashes(c, h, now)
		return
	}
	if c.IsPart() && len(c.Crashes) == 0 {
		for _, id := range h.Upstreams {
			c.Crashes = append(c.Crashes, instanceOnly(id))
		}
	}
	t.setQuarantined(c, true)
	t.updateSettling(c, now)
}

// addStoredCrashes adds the crashes that the store holds of a suspected content. What this VM has
// seen cleared is not suspected again: it is deleted from the store.
func (t *Table) addStoredCrashes(c *Record, h QuarantinedContent, now time.Time) {
	if c.Quarantined || c.Epoch > 0 && len(c.Crashes) == 0 {
		return
	}
	var stored []Crash
	for _, id := range h.Upstreams {
		stored = append(stored, instanceOnly(id))
	}
	c.Crashes = c.withCrashes(stored)
	t.updateSettling(c, now)
	t.markChanged(c, now)
}

// RemovedFromStore records that the platform's object store no longer contains a request content
// as of a revision. An operator released the content, or an answer cleared it.
// RemovedFromStore reports whether the content was quarantined on this VM.
func (t *Table) RemovedFromStore(p Fingerprint, at contract.Revision, now time.Time) bool {
	c := t.records[p]
	if c == nil || !c.inStore || at < c.storeRevision {
		return false
	}
	c.storeRevision = at
	suspected := c.suspectedInStore
	t.setInStore(c, false)
	if !c.Quarantined && suspected && len(c.Crashes) > 0 {
		t.resetTo(c, c.Epoch+1, now)
		return false
	}
	if !c.Quarantined {
		return false // Already cleared: increasing the epoch again on every VM would keep the gossip going forever.
	}
	t.resetTo(c, c.Epoch+1, now)
	return true
}

// ReplaceStored records which contents the platform's object store contains as of a revision,
// after it has returned from an older copy. What this VM knows of a content outlasts the return:
// a quarantined content that the copy lacks, and a cleared one that the copy still contains,
// differ from the store again and are written again.
func (t *Table) ReplaceStored(stored []QuarantinedContent, at contract.Revision, now time.Time) {
	listed := make(map[Fingerprint]bool, len(stored))
	for _, h := range stored {
		listed[h.Fingerprint] = true
		c := t.records[h.Fingerprint]
		if c == nil || c.storeRevision == 0 { // never seen in the store
			t.SetStored(h, now)
			continue
		}
		c.storeRevision = h.Revision
		t.setInStore(c, true)
		c.suspectedInStore = h.Suspected
		c.trials.count = max(c.trials.count, h.Trials)
	}
	for _, p := range t.StoredExcept(listed) {
		c := t.records[p]
		c.storeRevision = at
		t.setInStore(c, false)
	}
}

// StoredExcept returns the request contents that this VM believes to be in the platform's
// object store, but that are missing from the given set.
func (t *Table) StoredExcept(in map[Fingerprint]bool) []Fingerprint {
	var out []Fingerprint
	for p, c := range t.records {
		if c.inStore && !in[p] {
			out = append(out, p)
		}
	}
	return out
}

// ToStore returns the quarantined contents that still have to be written to the object store.
func (t *Table) ToStore() []QuarantinedContent {
	return t.recordsWhere(func(c *Record) bool { return c.Quarantined && !c.inStore })
}

// ToConfirm returns the quarantined contents that the object store holds as suspected ones.
func (t *Table) ToConfirm() []QuarantinedContent {
	return t.recordsWhere(func(c *Record) bool { return c.Quarantined && c.suspectedInStore })
}

// SuspectsToStore returns the contents that have been near their limit for suspicionWriteDelay and still
// have to be written to the object store, so that their crashes outlast a loss of all VMs.
func (t *Table) SuspectsToStore(now time.Time) []QuarantinedContent {
	var out []QuarantinedContent
	for _, c := range t.nearLimit {
		if !c.inStore && now.Sub(c.nearLimitAt) >= suspicionWriteDelay {
			out = append(out, c.stored())
		}
	}
	return out
}

// ToDelete returns the cleared contents that still have to be deleted from the object store.
func (t *Table) ToDelete() []QuarantinedContent {
	return t.recordsWhere(func(c *Record) bool {
		return !c.Quarantined && c.inStore && (!c.suspectedInStore || len(c.Crashes) == 0)
	})
}

// recordsWhere returns the matching suspicion records in the form that is written to the
// platform's object store, sorted by fingerprint.
func (t *Table) recordsWhere(match func(c *Record) bool) []QuarantinedContent {
	if t.quarantinedCount == 0 && t.storedCount == 0 {
		return nil
	}
	var out []QuarantinedContent
	for _, c := range t.records {
		if match(c) {
			out = append(out, c.stored())
		}
	}
	slices.SortFunc(out, func(a, b QuarantinedContent) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return out
}
