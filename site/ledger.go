package site

import (
	"sort"

	"woaddoor/contract"
)

// Delta is what changed in one kind of objects after a revision, in the form in
// which VMs hand it to one another.
type Delta struct {
	Kind string `cbor:"1,keyasint"`
	// Full means that Items are all objects there are.
	Full bool `cbor:"2,keyasint,omitempty"`
	// At is the revision of the store up to which the delta holds.
	At    contract.Revision `cbor:"3,keyasint"`
	Items []Raw             `cbor:"4,keyasint,omitempty"`
	// Packed takes the place of Items where there are many.
	Packed []byte `cbor:"5,keyasint,omitempty"`
}

// Ledger is what a VM knows of one kind of objects, as the store holds them, so
// that it can hand them to VMs that the store does not answer. It is a pure
// state machine; its owner locks it.
type Ledger struct {
	kind string
	// at is the revision up to which the ledger holds, last that of the newest
	// change in it.
	at, last contract.Revision
	known    bool
	items    map[string]Raw
	// gone are the newest removals, oldest first; those up to floor are
	// forgotten.
	gone  []removal
	floor contract.Revision
}

type removal struct {
	name string
	at   contract.Revision
}

// goneLeast and gonePerItem bound the removals remembered, by how many objects there
// are: a VM that is further behind gets all of them. A release replaces every upstream
// once; with 256 for any number 126 VMs were each handed 819 objects after one of 800.
const (
	goneLeast   = 256
	gonePerItem = 4
)

// NewLedger returns an empty ledger.
func NewLedger(kind string) *Ledger { return &Ledger{kind: kind, items: make(map[string]Raw)} }

// At returns the revision up to which the ledger holds, if it holds anything.
func (l *Ledger) At() (contract.Revision, bool) { return l.at, l.known }

// Last returns the revision of the newest change that is known.
func (l *Ledger) Last() contract.Revision { return l.last }

// Apply takes in a delta. Objects older than those known change nothing, so
// deltas may come late, twice and from several sides. It tells, for each item,
// whether it is news or at least no older than what was known.
func (l *Ledger) Apply(d Delta) []bool {
	seen := make(map[string]bool, len(d.Items))
	taken := make([]bool, len(d.Items))
	for n, i := range d.Items {
		seen[i.Name] = !i.Deleted
		taken[n] = l.take(i, d)
	}
	if d.Full {
		for name, old := range l.items {
			if !seen[name] && old.Revision <= d.At {
				l.remove(name, d.At)
			}
		}
		l.floor = max(l.floor, d.At) // what came and went before is not known
	}
	l.known = l.known || d.Full
	l.at = max(l.at, d.At)
	return taken
}

// take takes in one item of a delta, unless it is stale.
func (l *Ledger) take(i Raw, d Delta) bool {
	old, had := l.items[i.Name]
	switch {
	case i.Deleted:
		if had && old.Revision > d.At || !had && d.At <= l.at {
			return false // back since, or gone already
		}
		l.remove(i.Name, d.At)
		return true
	case had && i.Revision < old.Revision:
		return false
	case !had && l.known && i.Revision <= l.at && !(d.Full && d.At >= l.at):
		return false // removed since: everything up to at is known
	}
	l.items[i.Name] = i
	l.last = max(l.last, i.Revision)
	return true
}

func (l *Ledger) remove(name string, at contract.Revision) {
	delete(l.items, name)
	l.last = max(l.last, at)
	l.gone = append(l.gone, removal{name, at})
	if over := len(l.gone) - max(goneLeast, gonePerItem*len(l.items)); over > 0 {
		l.floor = max(l.floor, l.gone[over-1].at)
		l.gone = l.gone[over:]
	}
}

// Confirm notes that nothing has changed up to a revision.
func (l *Ledger) Confirm(at contract.Revision) { l.at = max(l.at, at) }

// Since returns what changed after a revision; all objects when that is not
// known any more.
func (l *Ledger) Since(after contract.Revision, holds bool) Delta {
	d := Delta{Kind: l.kind, At: l.at, Full: !holds || after < l.floor}
	for _, i := range l.items {
		if d.Full || i.Revision > after {
			d.Items = append(d.Items, i)
		}
	}
	if !d.Full {
		for _, g := range l.gone {
			if _, back := l.items[g.name]; g.at > after && !back {
				d.Items = append(d.Items, Raw{Name: g.name, Revision: g.at, Deleted: true})
			}
		}
	}
	sort.Slice(d.Items, func(a, b int) bool { return d.Items[a].Revision < d.Items[b].Revision })
	return d
}
