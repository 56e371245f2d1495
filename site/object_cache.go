package site

import (
	"sort"

	"woaddoor/contract"
)

// Delta is the set of changes of one kind of objects after a revision,
// in the form in which VMs send a delta to each other.
type Delta struct {
	Kind string `cbor:"1,keyasint"`
	// Full means that Items holds all existing objects.
	Full bool `cbor:"2,keyasint,omitempty"`
	// Revision is the store revision up to which the delta is complete.
	Revision contract.Revision `cbor:"3,keyasint"`
	Items    []RawObject       `cbor:"4,keyasint,omitempty"`
	// Packed replaces Items in a large delta and holds the compressed items.
	Packed []byte `cbor:"5,keyasint,omitempty"`
}

// ObjectCache holds the objects of one kind as they are in the store,
// so that a VM can send the objects to VMs that the store does not serve.
// ObjectCache is a pure state machine and not safe for concurrent use.
type ObjectCache struct {
	kind string
	// revision is the store revision up to which the cache is complete,
	// and lastChange is the revision of the newest change in the cache.
	revision, lastChange contract.Revision
	known                bool
	items                map[string]RawObject
	// removals holds the latest removals of objects, oldest first.
	// Removals up to revision removalFloor are no longer remembered.
	removals     []removal
	removalFloor contract.Revision
}

// removal is the removal of an object and the store revision at which it happened.
type removal struct {
	name     string
	revision contract.Revision
}

// minRemovals and removalsPerObject limit the number of remembered removals
// in proportion to the number of objects.
// A VM that lacks removals which are no longer remembered receives all objects.
// A release of new upstream software replaces every upstream once:
// with a fixed limit of 256, 126 VMs were each sent 819 objects after a release of 800.
const (
	minRemovals       = 256
	removalsPerObject = 4
)

// NewObjectCache returns an empty cache.
func NewObjectCache(kind string) *ObjectCache {
	return &ObjectCache{kind: kind, items: make(map[string]RawObject)}
}

// Revision returns the store revision up to which the cache is complete,
// and whether the cache has received any state.
func (l *ObjectCache) Revision() (contract.Revision, bool) { return l.revision, l.known }

// LastChange returns the revision of the newest known change.
func (l *ObjectCache) LastChange() contract.Revision { return l.lastChange }

// Count returns the number of objects.
func (l *ObjectCache) Count() int { return len(l.items) }

// Apply applies a delta. Objects older than the known ones change nothing,
// so deltas may arrive late, twice and from several VMs.
// For each item, Apply reports whether the item is at least as new as the known state.
func (l *ObjectCache) Apply(d Delta) []bool {
	seen := make(map[string]bool, len(d.Items))
	applied := make([]bool, len(d.Items))
	for n, i := range d.Items {
		seen[i.Name] = !i.Deleted
		applied[n] = l.applyItem(i, d)
	}
	if d.Full {
		for name, old := range l.items {
			if !seen[name] && old.Revision <= d.Revision {
				l.remove(name, d.Revision)
			}
		}
		l.removalFloor = max(l.removalFloor, d.Revision) // objects created and removed before this list are unknown
	}
	l.known = l.known || d.Full
	l.revision = max(l.revision, d.Revision)
	return applied
}

// applyItem applies one item of a delta unless it is stale.
func (l *ObjectCache) applyItem(i RawObject, d Delta) bool {
	old, exists := l.items[i.Name]
	switch {
	case i.Deleted:
		if exists && old.Revision > d.Revision || !exists && d.Revision <= l.revision {
			return false // the object was created again since, or is already removed
		}
		l.remove(i.Name, d.Revision)
		return true
	case exists && i.Revision < old.Revision:
		return false
	case !exists && l.known && i.Revision <= l.revision && !(d.Full && d.Revision >= l.revision):
		return false // the object was removed since: the cache is complete up to its revision
	}
	l.items[i.Name] = i
	l.lastChange = max(l.lastChange, i.Revision)
	return true
}

func (l *ObjectCache) remove(name string, revision contract.Revision) {
	delete(l.items, name)
	l.lastChange = max(l.lastChange, revision)
	l.removals = append(l.removals, removal{name, revision})
	if excess := len(l.removals) - max(minRemovals, removalsPerObject*len(l.items)); excess > 0 {
		l.removalFloor = max(l.removalFloor, l.removals[excess-1].revision)
		l.removals = l.removals[excess:]
	}
}

// Confirm records that there are no further changes up to a revision.
func (l *ObjectCache) Confirm(revision contract.Revision) { l.revision = max(l.revision, revision) }

// Since returns the changes after a revision, or all objects if those changes are no longer known.
func (l *ObjectCache) Since(after contract.Revision, known bool) Delta {
	d := Delta{Kind: l.kind, Revision: l.revision, Full: !known || after < l.removalFloor}
	for _, i := range l.items {
		if d.Full || i.Revision > after {
			d.Items = append(d.Items, i)
		}
	}
	if !d.Full {
		for _, removed := range l.removals {
			if _, exists := l.items[removed.name]; removed.revision > after && !exists {
				d.Items = append(d.Items, RawObject{Name: removed.name, Revision: removed.revision, Deleted: true})
			}
		}
	}
	sort.Slice(d.Items, func(a, b int) bool { return d.Items[a].Revision < d.Items[b].Revision })
	return d
}
