package upstream

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"woaddoor/config"
	"woaddoor/contract"
	"woaddoor/reading"
)

// ChangeList takes in entries that have changed since the list was last taken in, and the
// upstreams that are gone from it: the outcome is that of ConfigureList with the whole list,
// at a cost that grows with what has changed.
func (t *Table) ChangeList(changed List, gone []contract.UpstreamID) {
	for _, id := range gone {
		if s := t.states[id]; s != nil {
			t.unlink(s)
			delete(t.states, id)
		}
	}
	for _, e := range changed.Entries {
		t.change(e, changed)
	}
	t.noteLimited()
	t.listed = t.listed || len(changed.Entries) > 0
}

// change takes in one entry.
func (t *Table) change(e Entry, l List) {
	s := t.states[e.ID]
	fresh := s == nil || s.born != e.Born || s.upstream.URL != e.Address
	if s != nil && (fresh || s.pool.ID != e.PoolOf()) {
		t.unlink(s)
	}
	if fresh {
		s = &state{seed: xxhash.Sum64String(string(e.ID)), kept: reading.NewKept(0)}
		t.states[e.ID] = s
	}
	if fresh || s.pool.ID != e.PoolOf() {
		s.upstream = config.Upstream{ID: e.ID, URL: e.Address}
		t.link(s, e, l)
	}
	t.enter(s, e, l, fresh)
	t.sizePool(s.pool)
}

// link puts an upstream into its pool and data centre.
func (t *Table) link(s *state, e Entry, l List) {
	id := e.PoolOf()
	if members := t.pools[id]; len(members) > 0 {
		s.pool = members[0].pool
	} else {
		s.pool = newPool(e, l)
	}
	t.pools[id] = insert(t.pools[id], s)
	t.ordered = insert(t.ordered, s)
	t.centres[e.DataCentre] = insert(t.centres[e.DataCentre], s)
}

// unlink takes an upstream out of its pool and data centre.
func (t *Table) unlink(s *state) {
	t.ordered = without(t.ordered, s)
	if t.pools[s.pool.ID] = without(t.pools[s.pool.ID], s); len(t.pools[s.pool.ID]) == 0 {
		delete(t.pools, s.pool.ID)
	}
	if t.centres[s.pool.DataCentre] = without(t.centres[s.pool.DataCentre], s); len(t.centres[s.pool.DataCentre]) == 0 {
		delete(t.centres, s.pool.DataCentre)
	}
	t.sizePool(s.pool)
}

// sizePool sets a pool's places to those of its largest upstream.
func (t *Table) sizePool(p *config.Pool) {
	p.Slots = 1
	for _, s := range t.pools[p.ID] {
		p.Slots = max(p.Slots, s.slots)
	}
}

// HasPool tells whether a pool has an upstream.
func (t *Table) HasPool(id contract.PoolID) bool { return len(t.pools[id]) > 0 }

func byID(s *state, id contract.UpstreamID) int { return cmp.Compare(s.upstream.ID, id) }

// insert returns states in the order of their ids with one more.
func insert(states []*state, s *state) []*state {
	i, _ := slices.BinarySearchFunc(states, s.upstream.ID, byID)
	return slices.Insert(states, i, s)
}

// without returns states in the order of their ids without one.
func without(states []*state, s *state) []*state {
	i, found := slices.BinarySearchFunc(states, s.upstream.ID, byID)
	if !found {
		return states
	}
	return slices.Delete(states, i, i+1)
}
