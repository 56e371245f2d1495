package site

import (
	"maps"
	"time"

	"woaddoor/contract"
	"woaddoor/upstream"
)

// UpstreamList holds the list of upstreams as this VM knows it.
// UpstreamList is a pure state machine and not safe for concurrent use.
//
// An entry that is removed while the store is reachable is dropped at once.
// The upstream of such an entry has ended or is stopping without notice.
// An entry that is missing after an outage of the store may only have lapsed:
// live upstreams register again within about two seconds,
// and keep receiving requests until they have registered.
//
// A store that has returned from an older copy lists the upstreams as they once were.
// An upstream that is missing may have registered since the copy, as after an outage.
// An upstream that has said that it leaves stays leaving, and one that was removed
// stays out until its entry changes or outlasts removedHold.
type UpstreamList struct {
	entries map[contract.UpstreamID]listedEntry
	// era is the era of the store to which the list belongs.
	era eraMark
	// removed holds the upstreams that were removed lately, and held those of them
	// that an older copy lists again.
	removed map[contract.UpstreamID]removedEntry
	held    map[contract.UpstreamID]heldEntry
	// storeUnreachable is set while the store does not respond.
	// storeBackAt is the time at which the store last responded again after an outage.
	storeUnreachable bool
	storeBackAt      time.Time
	// lapsed holds the entries that are missing after an outage,
	// and changed holds the entries that differ from the last result of TakeChanges.
	lapsed  map[contract.UpstreamID]bool
	changed map[contract.UpstreamID]bool
}

// listedEntry is an entry of the list and the store revision of its last change.
type listedEntry struct {
	upstream.Entry
	revision contract.Revision
	// expiresAt is set while the entry is missing after an outage.
	expiresAt time.Time
	// keepLeaving is set if the upstream was known to leave before the store returned
	// from an older copy. It then leaves whatever later entries of this life say.
	keepLeaving bool
}

// lapseGracePeriod is how long a lapsed entry (missing after an outage of the store) is kept
// after the store's recovery. Live upstreams register again within about two seconds.
const lapseGracePeriod = 2300 * time.Millisecond

// NewUpstreamList returns an empty list.
func NewUpstreamList() *UpstreamList {
	return &UpstreamList{
		entries: make(map[contract.UpstreamID]listedEntry), lapsed: make(map[contract.UpstreamID]bool), changed: make(map[contract.UpstreamID]bool),
		removed: make(map[contract.UpstreamID]removedEntry), held: make(map[contract.UpstreamID]heldEntry),
	}
}

// RecordStoreCall records whether the store responded.
func (l *UpstreamList) RecordStoreCall(ok bool, now time.Time) {
	if !ok {
		l.storeUnreachable = true
		return
	}
	if l.storeUnreachable {
		l.storeUnreachable, l.storeBackAt = false, now
	}
}

// Apply applies changes, or the full list of entries,
// and reports whether the upstreams to choose from have changed.
func (l *UpstreamList) Apply(c Changes[upstream.Entry], full bool, now time.Time) bool {
	changed := false
	returned := l.beginEra(c.Revision.Era(), now)
	seen := make(map[contract.UpstreamID]bool, len(c.Items))
	for _, i := range c.Items {
		id := contract.UpstreamID(i.Name)
		seen[id] = !i.Deleted
		if returned && l.hold(i, now) || l.isHeld(i) {
			continue
		}
		if l.isEarlierLife(i) {
			seen[id] = false // the later life is missing until it registers again
			continue
		}
		delete(l.held, id)
		switch {
		case i.Deleted && l.entries[id].revision > c.Revision: // the upstream has registered again since
		case i.Deleted:
			changed = l.remove(id, now) || changed
		case i.Err == nil:
			changed = l.put(i) || changed
		default:
			changed = l.dropMalformed(id, now) || changed
		}
	}
	if !full {
		return changed
	}
	for id, e := range l.entries {
		if !seen[id] && e.expiresAt.IsZero() && e.revision <= c.Revision {
			changed = l.remove(id, now) || changed
		}
	}
	return changed
}

func (l *UpstreamList) put(i Item[upstream.Entry]) bool {
	old, exists := l.entries[i.Value.ID]
	if exists && i.Revision < old.revision {
		return false
	}
	// An upstream that leaves goes on leaving in this life, although an entry
	// from an older copy of the store may lack it.
	keepLeaving := exists && old.Leaving && old.Incarnation == i.Value.Incarnation && (old.keepLeaving || i.Revision.Era() > old.revision.Era())
	i.Value.Leaving = i.Value.Leaving || keepLeaving
	l.entries[i.Value.ID] = listedEntry{Entry: i.Value, revision: i.Revision, keepLeaving: keepLeaving}
	delete(l.removed, i.Value.ID)
	delete(l.lapsed, i.Value.ID)
	old.Revision = i.Value.Revision // a new revision alone changes nothing unless the upstream is cold
	if exists && old.Entry == i.Value && i.Value.Cold == 0 {
		return false
	}
	l.changed[i.Value.ID] = true
	return true
}

// remove removes an entry, or keeps it for lapseGracePeriod after an outage.
func (l *UpstreamList) remove(id contract.UpstreamID, now time.Time) bool {
	e, exists := l.entries[id]
	if !exists {
		return false
	}
	until := l.storeBackAt.Add(lapseGracePeriod)
	if l.storeUnreachable {
		until = now.Add(lapseGracePeriod) // a peer may have seen the store's recovery first
	}
	if !e.Leaving && now.Before(until) {
		if e.expiresAt.IsZero() {
			e.expiresAt = until
			l.entries[id] = e
			l.lapsed[id] = true
		}
		return false
	}
	l.delete(id, now)
	return true
}

func (l *UpstreamList) delete(id contract.UpstreamID, now time.Time) {
	l.removed[id] = removedEntry{l.entries[id].Incarnation, now}
	delete(l.entries, id)
	delete(l.lapsed, id)
	l.changed[id] = true
}

// IsUnchanged reports whether an item equals the known entry.
// A list that is received again holds thousands of such unchanged items,
// under other revisions if the store has returned from an older copy.
func (l *UpstreamList) IsUnchanged(i Item[upstream.Entry]) bool {
	e, exists := l.entries[contract.UpstreamID(i.Name)]
	if !exists || i.Deleted || i.Err != nil || !e.expiresAt.IsZero() {
		return false
	}
	e.Revision = i.Value.Revision
	return e.revision == i.Revision || e.Entry == i.Value
}

// dropMalformed removes an entry that can no longer be decoded.
// Another program may have written the malformed entry,
// so the entry names no usable upstream and is not kept like a lapsed entry.
func (l *UpstreamList) dropMalformed(id contract.UpstreamID, now time.Time) bool {
	_, exists := l.entries[id]
	if exists {
		l.delete(id, now)
	}
	return exists
}

// Expire removes the entries that did not return after an outage, and admits those
// that an older copy of the store listed and that are still there.
// Expire reports whether the upstreams to choose from have changed.
func (l *UpstreamList) Expire(now time.Time) bool {
	changed := false
	for id := range l.lapsed {
		if !now.Before(l.entries[id].expiresAt) {
			l.delete(id, now)
			changed = true
		}
	}
	for id, h := range l.held {
		if !now.Before(h.until) {
			delete(l.held, id)
			changed = l.put(h.item) || changed
		}
	}
	maps.DeleteFunc(l.removed, func(_ contract.UpstreamID, r removedEntry) bool { return now.Sub(r.at) > removedMemory })
	return changed
}

// TakeChanges returns the entries that have changed and the upstreams
// that were removed since the last call of TakeChanges.
func (l *UpstreamList) TakeChanges() (changed []upstream.Entry, removed []contract.UpstreamID) {
	for id := range l.changed {
		if e, ok := l.entries[id]; ok {
			changed = append(changed, e.Entry)
		} else {
			removed = append(removed, id)
		}
	}
	clear(l.changed)
	return changed, removed
}

// Entries returns the upstreams to choose from.
func (l *UpstreamList) Entries() []upstream.Entry {
	out := make([]upstream.Entry, 0, len(l.entries))
	for _, e := range l.entries {
		out = append(out, e.Entry)
	}
	return out
}
