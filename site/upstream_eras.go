package site

import (
	"time"

	"woaddoor/contract"
	"woaddoor/upstream"
)

// How the list of upstreams outlasts a store that returns from an older copy of its contents.

// removedEntry is an entry that was removed: the upstream's life, and when the removal was learned.
type removedEntry struct {
	incarnation int64
	at          time.Time
}

// heldEntry is an entry from an older copy of the store of an upstream that was removed.
type heldEntry struct {
	item  Item[upstream.Entry]
	until time.Time
}

const (
	// removedMemory is how long a removal is remembered. Copies of the store are some seconds old.
	removedMemory = time.Minute
	// removedHold is how long an upstream that was removed is kept out
	// after an older copy of the store lists it again.
	// The store drops the entry of an upstream that is gone within three heartbeats, 3.6 s.
	removedHold = 5 * time.Second
)

// beginEra records the era of a list, and reports whether the store
// has returned from an older copy since the known list.
func (l *UpstreamList) beginEra(era uint64, now time.Time) bool {
	if !l.era.begin(era) {
		return false
	}
	l.storeBackAt = now // upstreams that registered since the copy register again
	return true
}

// hold keeps an upstream out that was removed and that an older copy of the store lists again.
// hold reports whether it did. A later life of the upstream is not held.
func (l *UpstreamList) hold(i Item[upstream.Entry], now time.Time) bool {
	id := contract.UpstreamID(i.Name)
	removed, ok := l.removed[id]
	if _, exists := l.entries[id]; !ok || exists || i.Err != nil || now.Sub(removed.at) > removedMemory || i.Value.Incarnation > removed.incarnation {
		return false
	}
	l.held[id] = heldEntry{i, now.Add(removedHold)}
	return true
}

// isEarlierLife reports whether an entry from an older copy of the store belongs to an earlier life
// of an upstream that has started again since.
func (l *UpstreamList) isEarlierLife(i Item[upstream.Entry]) bool {
	e, exists := l.entries[contract.UpstreamID(i.Name)]
	return exists && !i.Deleted && i.Err == nil && i.Revision.Era() > e.revision.Era() && i.Value.Incarnation < e.Incarnation
}

// isHeld reports whether an item is the entry that is already kept out.
func (l *UpstreamList) isHeld(i Item[upstream.Entry]) bool {
	h, ok := l.held[contract.UpstreamID(i.Name)]
	return ok && !i.Deleted && i.Revision == h.item.Revision
}

// Era returns the era of the store to which the list belongs.
func (l *UpstreamList) Era() uint64 { return l.era.era }

// CountUncertain returns how many entries are kept although the list lacks them,
// and how many are kept out although the list has them.
func (l *UpstreamList) CountUncertain() (missing, held int) { return len(l.lapsed), len(l.held) }
