package site

import (
	"maps"
	"slices"

	"woaddoor/link"
)

// Standing is where a VM stands among the others, for operators.
type Standing struct {
	// Near is how many VMs of its data centre live, this one among them, and
	// Silent how many fell silent within the last minute.
	Near, Silent int
	// Place is its place among those that would watch the store.
	Place int
	// Watches is for how many kinds of objects it asks the store.
	Watches int
	// Leaves is how many VMs have it as their hub.
	Leaves      int
	LinksOpened int64
}

// Standing returns where this VM stands.
func (p *Peers) Standing() Standing {
	v := p.look()
	st := Standing{Near: len(v.near) + 1, Place: v.place.Near, Leaves: len(p.children()), LinksOpened: p.endpoint.Dialed()}
	p.mu.Lock()
	kinds := slices.Collect(maps.Values(p.kinds))
	st.Silent = len(p.silentNear(strangeFor, p.now()))
	p.mu.Unlock()
	for _, k := range kinds {
		if k.asks() {
			st.Watches++
		}
	}
	return st
}

// Traffic returns what this VM has told others so far.
func (p *Peers) Traffic() []link.Sent { return p.endpoint.Sent() }
