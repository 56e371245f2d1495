package site

import (
	"time"

	"woaddoor/contract"
	"woaddoor/upstream"
)

// Listing is the list of upstreams as this VM knows it. It is a pure state
// machine; its owner locks it.
//
// An entry that is removed while the store serves is gone, or leaves without a
// word, and gets no new work. One that is missing after the store was away may
// only have lapsed: upstreams that live write themselves again within about two
// seconds, and until then they go on being tried.
type Listing struct {
	entries map[contract.UpstreamID]listed
	// lostAt is when the store was last found away; returned when it answered
	// again.
	lost     bool
	returned time.Time
	// kept are the entries that are missing after an outage, and changed those that differ
	// from what Take returned last.
	kept    map[contract.UpstreamID]bool
	changed map[contract.UpstreamID]bool
}

type listed struct {
	upstream.Entry
	revision contract.Revision
	// keepUntil is set while the entry is missing after an outage.
	keepUntil time.Time
}

// lapseKept is how long an entry that lapsed is kept after the store's return:
// upstreams are back within about two seconds.
const lapseKept = 2300 * time.Millisecond

// NewListing returns an empty listing.
func NewListing() *Listing {
	return &Listing{
		entries: make(map[contract.UpstreamID]listed), kept: make(map[contract.UpstreamID]bool), changed: make(map[contract.UpstreamID]bool),
	}
}

// Reached notes whether the store answered.
func (l *Listing) Reached(ok bool, now time.Time) {
	if !ok {
		l.lost = true
		return
	}
	if l.lost {
		l.lost, l.returned = false, now
	}
}

// Apply takes in changes, or all entries there are, and tells whether anything
// is different.
func (l *Listing) Apply(c Changes[upstream.Entry], full bool, now time.Time) bool {
	changed := false
	seen := make(map[contract.UpstreamID]bool, len(c.Items))
	for _, i := range c.Items {
		id := contract.UpstreamID(i.Name)
		seen[id] = !i.Deleted
		switch {
		case i.Deleted && l.entries[id].revision > c.Revision: // came back since
		case i.Deleted:
			changed = l.remove(id, now) || changed
		case i.Err == nil:
			changed = l.put(i) || changed
		default:
			changed = l.drop(id) || changed
		}
	}
	if !full {
		return changed
	}
	for id, e := range l.entries {
		if !seen[id] && e.keepUntil.IsZero() && e.revision <= c.Revision {
			changed = l.remove(id, now) || changed
		}
	}
	return changed
}

func (l *Listing) put(i Item[upstream.Entry]) bool {
	old, had := l.entries[i.Value.ID]
	if had && i.Revision < old.revision {
		return false
	}
	l.entries[i.Value.ID] = listed{Entry: i.Value, revision: i.Revision}
	delete(l.kept, i.Value.ID)
	old.Revision = i.Value.Revision // alone it changes nothing, but for what is cold
	if had && old.Entry == i.Value && i.Value.Cold == 0 {
		return false
	}
	l.changed[i.Value.ID] = true
	return true
}

// remove takes out an entry, or keeps it for a while after an outage.
func (l *Listing) remove(id contract.UpstreamID, now time.Time) bool {
	e, had := l.entries[id]
	if !had {
		return false
	}
	until := l.returned.Add(lapseKept)
	if l.lost {
		until = now.Add(lapseKept) // a peer may have met the store's return first
	}
	if !e.Leaving && now.Before(until) {
		if e.keepUntil.IsZero() {
			e.keepUntil = until
			l.entries[id] = e
			l.kept[id] = true
		}
		return false
	}
	l.delete(id)
	return true
}

func (l *Listing) delete(id contract.UpstreamID) {
	delete(l.entries, id)
	delete(l.kept, id)
	l.changed[id] = true
}

// Knows tells whether an item is what is known already: a list that is handed over
// once more holds thousands of them.
func (l *Listing) Knows(i Item[upstream.Entry]) bool {
	e, had := l.entries[contract.UpstreamID(i.Name)]
	return had && !i.Deleted && i.Err == nil && e.revision == i.Revision && e.keepUntil.IsZero()
}

// drop takes out an entry that cannot be understood any more: another writer may have
// made it, so it names no upstream to use, and is not kept as one that lapsed would be.
func (l *Listing) drop(id contract.UpstreamID) bool {
	_, had := l.entries[id]
	if had {
		l.delete(id)
	}
	return had
}

// Expire takes out the entries that did not come back after an outage, and
// tells whether there were any.
func (l *Listing) Expire(now time.Time) bool {
	changed := false
	for id := range l.kept {
		if !now.Before(l.entries[id].keepUntil) {
			l.delete(id)
			changed = true
		}
	}
	return changed
}

// Take returns the entries that have changed, and the upstreams that are gone, since it was
// called last.
func (l *Listing) Take() (changed []upstream.Entry, gone []contract.UpstreamID) {
	for id := range l.changed {
		if e, ok := l.entries[id]; ok {
			changed = append(changed, e.Entry)
		} else {
			gone = append(gone, id)
		}
	}
	clear(l.changed)
	return changed, gone
}

// Entries returns the upstreams to choose from.
func (l *Listing) Entries() []upstream.Entry {
	out := make([]upstream.Entry, 0, len(l.entries))
	for _, e := range l.entries {
		out = append(out, e.Entry)
	}
	return out
}
