package quarantine

import (
	"slices"
	"time"

	"woaddoor/contract"
)

// Held is a held request content as written to the store, where it survives a power loss of
// all VMs.
type Held struct {
	Print Print
	About
	// Upstreams lists the upstreams that crashed while running the content.
	Upstreams []contract.UpstreamID
	// Trials counts the trial sends granted since the content was held. A trial checks
	// whether it still crashes upstreams.
	Trials   int
	Revision contract.Revision
}

// stored returns the store's representation of a record.
func (c *Case) stored() Held {
	h := Held{Print: c.Print, About: c.About, Trials: c.trials.count, Revision: c.storeRevision}
	for _, e := range c.Ends {
		h.Upstreams = append(h.Upstreams, e.Upstream)
	}
	return h
}

// Listed records that the store contains a held content.
func (t *Table) Listed(h Held, now time.Time) {
	c := t.records[h.Print]
	if c != nil && h.Revision <= c.storeRevision {
		return // already known, or cleared in the meantime
	}
	if c == nil {
		t.makeRoom(now)
		c = &Case{Print: h.Print, About: h.About}
		t.records[h.Print] = c
	}
	c.storeRevision = h.Revision
	t.setInStore(c, true)
	c.trials.setCount(h.Trials, now)
	t.setHeld(c, true)
}

// Unlisted records that the store no longer contains a content as of a revision, because an
// operator released it or an answer cleared it. It reports whether the content was held on
// this VM.
func (t *Table) Unlisted(p Print, at contract.Revision, now time.Time) bool {
	c := t.records[p]
	if c == nil || !c.inStore || at < c.storeRevision {
		return false
	}
	c.storeRevision = at
	t.setInStore(c, false)
	if !c.Held {
		return false // Already cleared: increasing the epoch again on every VM would keep the gossip going forever.
	}
	t.resetTo(c, c.Epoch+1, now)
	return true
}

// ListedButFor returns the contents that are believed to be in the store but are missing
// from the given set.
func (t *Table) ListedButFor(in map[Print]bool) []Print {
	var out []Print
	for p, c := range t.records {
		if c.inStore && !in[p] {
			out = append(out, p)
		}
	}
	return out
}

// ToStore returns the held contents that still have to be written to the store.
func (t *Table) ToStore() []Held {
	return t.recordsWhere(func(c *Case) bool { return c.Held && !c.inStore })
}

// ToErase returns the cleared contents that still have to be deleted from the store.
func (t *Table) ToErase() []Held {
	return t.recordsWhere(func(c *Case) bool { return !c.Held && c.inStore })
}

func (t *Table) recordsWhere(match func(c *Case) bool) []Held {
	if t.heldCount == 0 && t.storedCount == 0 {
		return nil
	}
	var out []Held
	for _, c := range t.records {
		if match(c) {
			out = append(out, c.stored())
		}
	}
	slices.SortFunc(out, func(a, b Held) int { return slices.Compare(a.Print[:], b.Print[:]) })
	return out
}
