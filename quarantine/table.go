package quarantine

import (
	"time"

	"woaddoor/contract"
)

// CrashLimit is the number of successive upstream crashes after which a request
// content is quarantined.
const CrashLimit = 3

// Crash times received by gossip appear some tens of milliseconds late. A request that was sent
// shortly after a crash can therefore appear to have been sent before that crash.
const (
	// minCrashSpacing is the minimum distance between two crashes that count separately
	// although the second request appears to have been sent before the first crash.
	// Upstreams that crash at the same time, such as all of a data centre, share one cause.
	minCrashSpacing = 100 * time.Millisecond
	// maxSendSkew is the skew that is tolerated between a send and the previous crash: a request
	// that appears to be sent at most maxSendSkew before the crash still counts as sent after it.
	maxSendSkew = 300 * time.Millisecond
	// maxCrashesKept bounds the crashes kept per request content and sent per record, and
	// maxPartCrashesKept those kept per part, under which several upstreams may crash at once.
	maxCrashesKept     = 8
	maxPartCrashesKept = 16
)

// Limits of a Table.
const (
	// maxRecords bounds the request contents that are tracked. A content that was evicted starts
	// over: it must crash as many upstreams as a new content before it is quarantined.
	maxRecords = 4096
	// suspicionTTL is how long a content stays under suspicion after the last change of its record.
	suspicionTTL = 10 * time.Minute
	// gossipTTL is how long every gossip message repeats a change. gossipTTL spans several gossip
	// rounds, so a lost message does no harm. singleCrashGossipTTL applies to request contents with
	// a single crash: most of them, about a dozen per crash, merely ran on the crashed upstream.
	gossipTTL            = 10 * time.Second
	singleCrashGossipTTL = 3 * time.Second
	// maxUpdates bounds the request contents in one gossip message, at about 150 bytes each.
	// maxSingleCrashUpdates bounds the contents with a single crash in one gossip message.
	maxUpdates            = 24
	maxSingleCrashUpdates = 8
)

// Source identifies a request content, or a part of a prompt, for operators. Service, workspace and
// route are those of the first request that ran on an upstream when it crashed.
type Source struct {
	Service   contract.ServiceID   `cbor:"1,keyasint"`
	Workspace contract.WorkspaceID `cbor:"2,keyasint,omitempty"`
	Route     string               `cbor:"3,keyasint"`
	// ObservedBy is the VM that observed the first crash.
	ObservedBy contract.VMID `cbor:"4,keyasint"`
	// Part is the name of the part of a prompt, at most maxPartName bytes of it.
	// It is empty for a whole content.
	Part string `cbor:"5,keyasint,omitempty"`
}

// Crash is the crash of an upstream while it ran a request: when the request was sent and when
// its connection broke, on the clock of this VM. If several requests with the same content ran
// on the upstream, SentAt belongs to the one that was sent last.
type Crash struct {
	contract.UpstreamInstance
	SentAt, BrokenAt time.Time
	// Content identifies the content of the request with the part, by the begin of its fingerprint.
	// It is zero in the record of a content.
	Content uint64
}

// sameInstance reports whether the crash is that of an upstream instance. Of a crash that was read from the
// store, the incarnation is not known.
func (c Crash) sameInstance(o contract.UpstreamInstance) bool {
	return c.Upstream == o.Upstream && (c.Incarnation == o.Incarnation || c.Incarnation == 0 || o.Incarnation == 0)
}

// Record is the suspicion record of one request content, or of one part of prompts:
// the crashes of upstreams that ran requests with it.
type Record struct {
	Fingerprint Fingerprint
	Source
	// Epoch counts how often the content was cleared. Gossip from earlier epochs is ignored.
	Epoch uint32
	// Crashes holds the newest crashes of upstreams that ran this content, oldest first.
	Crashes []Crash
	// Quarantined reports whether the content is quarantined: it is sent to no upstream.
	Quarantined bool

	changedAt time.Time
	// storeRevision is the revision of the content's object in the platform's object store.
	// inStore reports whether that object exists.
	// suspectedInStore reports whether that object only says that the content is suspected.
	storeRevision             contract.Revision
	inStore, suspectedInStore bool
	trials                    trials
	// limitReachedAt is when this VM learned that a record in Table.settling has reached its limit of crashes,
	// limitCrashAt when that crash was, and successiveAt when it learned that successive ones have
	// reached it; zero before.
	limitReachedAt, limitCrashAt, successiveAt time.Time
	// nearLimitAt is when one more crash was first enough to reach the limit; zero if it is not.
	nearLimitAt time.Time
	// sentWhileSettling reports whether this VM has sent a request with the part since then.
	sentWhileSettling bool
	// observed is the upstream of the last crash that this VM has observed.
	observed contract.UpstreamInstance
	// worksSince is when the service first answered another request after the newest crash, at this VM or another.
	worksSince time.Time
	// othersAnswered is set once the service of a part has answered other requests between two crashes.
	othersAnswered bool
	// clearedUrgent is set while the newest change is a release that other VMs should know at once.
	clearedUrgent bool
}

// Table holds one VM's suspicion records. Table is not safe for concurrent use;
// the caller holds a lock.
type Table struct {
	records map[Fingerprint]*Record
	// gossiping is the subset of records that may appear in gossip. The subset is kept separately
	// because a hub (a VM that forwards gossip) builds a message for each of its leaf VMs
	// (the VMs that get gossip from it) twice a second,
	// while records may hold thousands of entries.
	gossiping map[Fingerprint]*Record
	// quarantinedCount is the number of records that are quarantined.
	// storedCount is the number of records that are in the platform's object store.
	quarantinedCount, storedCount int
	// settling holds the records that have reached their limit of crashes and are not quarantined yet.
	settling map[Fingerprint]*Record
	// nearLimit holds the records that one more crash may quarantine, and those in settling.
	nearLimit map[Fingerprint]*Record
	// quarantinedParts holds the quarantined parts, and explained, for each upstream instance that
	// crashed under one, that part.
	quarantinedParts map[Fingerprint]*Record
	explained        map[contract.UpstreamInstance]Fingerprint
	// answered holds when parts were last answered at this VM, while anything is suspected.
	answered map[Fingerprint]time.Time
	// serviceAnswers holds when this VM has received answers of each service, while anything is
	// suspected, oldest first and answerSpacing apart.
	serviceAnswers map[contract.ServiceID][]time.Time
	// ended holds when upstreams crashed, whatever ran there.
	ended map[contract.UpstreamInstance]time.Time
	// excused holds the records for TakeExcused.
	excused []*Record
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		records: make(map[Fingerprint]*Record), gossiping: make(map[Fingerprint]*Record), settling: make(map[Fingerprint]*Record),
		quarantinedParts: make(map[Fingerprint]*Record), explained: make(map[contract.UpstreamInstance]Fingerprint),
		answered: make(map[Fingerprint]time.Time), serviceAnswers: make(map[contract.ServiceID][]time.Time),
		ended: make(map[contract.UpstreamInstance]time.Time), nearLimit: make(map[Fingerprint]*Record),
	}
}

// Empty reports whether no request content is under suspicion.
// While the table is empty, requests need no fingerprint.
func (t *Table) Empty() bool { return len(t.records) == 0 }

// CountQuarantined returns the number of quarantined contents.
func (t *Table) CountQuarantined() int { return t.quarantinedCount }

// Record returns the record of a content, or nil if there is none.
func (t *Table) Record(p Fingerprint) *Record { return t.records[p] }

// RecordCrash records that this VM has observed the crash of an upstream that ran a content, and reports
// whether that changed the record. Every request that ran there becomes suspect. The request at fault
// crashes other upstreams too; a complete answer clears the others. Weigh tells which crashes count.
func (t *Table) RecordCrash(p Fingerprint, a Source, e Crash, now time.Time) bool {
	changed := t.merge(Record{Fingerprint: p, Source: a, Epoch: t.epochOf(p), Crashes: []Crash{e}}, now)
	if c := t.records[p]; c != nil {
		c.observed = e.UpstreamInstance
	}
	return changed
}

// epochOf returns the current epoch of a content, or 0 if there is no record.
func (t *Table) epochOf(p Fingerprint) uint32 {
	if c := t.records[p]; c != nil {
		return c.Epoch
	}
	return 0
}

// RecordAnswer records that an upstream completed a request with the given content and survived.
// RecordAnswer reports whether the content was under suspicion.
func (t *Table) RecordAnswer(p Fingerprint, now time.Time) bool {
	c := t.records[p]
	if c == nil || len(c.Crashes) == 0 && !c.Quarantined {
		return false
	}
	t.resetTo(c, c.Epoch+1, now)
	return true
}

// resetTo clears a request content of suspicion and moves the content to a new epoch.
func (t *Table) resetTo(c *Record, epoch uint32, now time.Time) {
	explainedOthers := c.IsPart() && c.Quarantined
	c.clearedUrgent, c.othersAnswered = c.Urgent(), false
	c.Epoch, c.Crashes, c.trials, c.worksSince = epoch, nil, trials{}, time.Time{}
	t.markChanged(c, now)
	t.setQuarantined(c, false)
	t.updateSettling(c, now)
	if explainedOthers { // their crashes count again
		for _, other := range t.records {
			t.updateSettling(other, now)
		}
	}
}

// setQuarantined sets the record's field Quarantined and keeps quarantinedCount up to date.
func (t *Table) setQuarantined(c *Record, quarantined bool) {
	switch {
	case quarantined && !c.Quarantined:
		t.quarantinedCount++
	case !quarantined && c.Quarantined:
		t.quarantinedCount--
	}
	c.Quarantined = quarantined
	t.trackQuarantinedPart(c)
}

// setInStore sets the record's field inStore and keeps storedCount up to date.
func (t *Table) setInStore(c *Record, inStore bool) {
	switch {
	case inStore && !c.inStore:
		t.storedCount++
	case !inStore && c.inStore:
		t.storedCount--
	}
	c.inStore = inStore
	c.suspectedInStore = c.suspectedInStore && inStore
}

// merge merges a record from another source and reports whether anything changed. Gossip may
// arrive late, repeatedly and in any order: a later epoch replaces an earlier epoch, crashes
// accumulate within an epoch, and a quarantined content stays quarantined.
func (t *Table) merge(other Record, now time.Time) bool {
	t.recordEnded(other.Crashes)
	c := t.records[other.Fingerprint]
	if c == nil {
		if !other.Quarantined && other.Epoch == 0 && t.explainsAll(&other) {
			return false
		}
		t.makeRoom(now)
		c = &Record{Fingerprint: other.Fingerprint, Source: other.Source, Epoch: other.Epoch}
		t.records[other.Fingerprint] = c
		t.markChanged(c, now)
	}
	if other.Epoch < c.Epoch {
		if other.Quarantined && !c.Quarantined {
			t.markChanged(c, now) // the other VM has missed the release
		}
		return false
	}
	changed := other.Epoch > c.Epoch
	if changed {
		t.resetTo(c, other.Epoch, now)
	}
	if c.Quarantined && !changed {
		if c.IsPart() { // explains what ran beside it
			known := len(t.explained)
			c.Crashes = c.withCrashes(other.Crashes)
			t.trackQuarantinedPart(c)
			if len(t.explained) > known {
				t.excuseOthers(c, now)
			}
		}
		return false // further crashes make no other difference
	}
	known := c.Crashes
	c.Crashes = c.withCrashes(other.Crashes)
	quarantined := c.Quarantined || other.Quarantined || !c.IsPart() && t.standingOf(c).successive >= CrashLimit
	// Only a longer list of crashes, or a shorter run, counts as a change.
	// Once the list is full, VMs keep different newest crashes.
	// If those differences counted as changes, VMs would exchange them forever.
	changed = changed || len(c.Crashes) > len(known) || hasShorterRun(known, c.Crashes) || quarantined != c.Quarantined
	if len(c.Crashes) > 0 {
		c.clearedUrgent = false
	}
	t.updateOthersAnswered(c)
	if other.worksSince.After(c.worksSince) && !c.serviceWorks() {
		c.worksSince = other.worksSince
		changed = changed || c.serviceWorks()
	}
	newlyQuarantined := quarantined && !c.Quarantined
	t.setQuarantined(c, quarantined)
	t.updateSettling(c, now)
	if newlyQuarantined && c.IsPart() {
		t.excuseOthers(c, now)
	}
	if changed {
		t.markChanged(c, now)
	}
	return changed
}

// markChanged marks a record as changed so that it is included in gossip.
func (t *Table) markChanged(c *Record, now time.Time) {
	c.changedAt = now
	t.gossiping[c.Fingerprint] = c
}

// CrashCount returns the number of crashes that count against a content or a part. Against a content,
// only successive ones do.
func (t *Table) CrashCount(p Fingerprint) int {
	c := t.records[p]
	if c == nil {
		return 0
	}
	if c.IsPart() {
		return t.standingOf(c).counted
	}
	return t.standingOf(c).successive
}

// makeRoom removes expired records. If the table is still full, makeRoom removes the least recently
// changed record. Records that are not quarantined are removed first.
func (t *Table) makeRoom(now time.Time) {
	if len(t.records) < maxRecords {
		return
	}
	t.Expire(now)
	var oldest *Record
	for _, c := range t.records {
		if oldest == nil || !c.Quarantined && oldest.Quarantined || c.Quarantined == oldest.Quarantined && c.changedAt.Before(oldest.changedAt) {
			oldest = c
		}
	}
	if len(t.records) >= maxRecords && oldest != nil {
		t.remove(oldest)
	}
}

// Expire removes records whose last change is longer ago than suspicionTTL. Expire keeps records
// that are quarantined, and clears those in the platform's object store.
func (t *Table) Expire(now time.Time) {
	for _, c := range t.records {
		if c.Quarantined || now.Sub(c.changedAt) <= suspicionTTL {
			continue
		}
		switch {
		case !c.inStore:
			t.remove(c)
		case len(c.Crashes) > 0:
			t.resetTo(c, c.Epoch+1, now) // and is deleted from the store
		}
	}
	t.expireAnswers(now)
	t.expireEnded(now)
}

// remove deletes a record and updates the counts.
func (t *Table) remove(c *Record) {
	if c.Quarantined {
		t.quarantinedCount--
	}
	c.Quarantined = false
	t.trackQuarantinedPart(c)
	t.setInStore(c, false)
	delete(t.records, c.Fingerprint)
	delete(t.gossiping, c.Fingerprint)
	delete(t.settling, c.Fingerprint)
	delete(t.nearLimit, c.Fingerprint)
}
