package upstream

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"woaddoor/config"
	"woaddoor/contract"
	"woaddoor/prefill"
)

// ApplyListChanges applies the entries that changed since the list was last applied,
// and removes the upstreams that are gone from the list.
// The result equals the result of ApplyList with the whole list, but the cost depends only on the
// size of the change.
func (t *Table) ApplyListChanges(changed List, gone []contract.UpstreamID) {
	for _, id := range gone {
		if s := t.states[id]; s != nil {
			t.removeFromPool(s)
			delete(t.states, id)
		}
	}
	for _, e := range changed.Entries {
		t.applyChange(e, changed)
	}
	t.refreshLimited()
	t.listReceived = t.listReceived || len(changed.Entries) > 0
}

// applyChange applies one changed list entry.
func (t *Table) applyChange(e Entry, l List) {
	s := t.states[e.ID]
	isNew := s == nil || s.incarnation != e.Incarnation || s.upstream.URL != e.Address
	if s != nil && (isNew || s.pool.ID != e.PoolID()) {
		t.removeFromPool(s)
	}
	if isNew {
		s = &state{idHash: xxhash.Sum64String(string(e.ID)), prefixCache: prefill.NewPrefixCache(0)}
		t.states[e.ID] = s
	}
	if isNew || s.pool.ID != e.PoolID() {
		s.upstream = config.Upstream{ID: e.ID, URL: e.Address}
		t.addToPool(s, e, l)
	}
	t.applyEntry(s, e, l, isNew)
	t.updatePoolSlots(s.pool)
}

// addToPool adds an upstream to its pool, its data centre and the sorted states.
func (t *Table) addToPool(s *state, e Entry, l List) {
	id := e.PoolID()
	if members := t.pools[id]; len(members) > 0 {
		s.pool = members[0].pool
	} else {
		s.pool = newPool(e, l)
	}
	t.pools[id] = insertSorted(t.pools[id], s)
	t.sortedStates = insertSorted(t.sortedStates, s)
	t.byDataCentre[e.DataCentre] = insertSorted(t.byDataCentre[e.DataCentre], s)
}

// removeFromPool removes an upstream from its pool, its data centre and the sorted states.
func (t *Table) removeFromPool(s *state) {
	t.sortedStates = removeSorted(t.sortedStates, s)
	if t.pools[s.pool.ID] = removeSorted(t.pools[s.pool.ID], s); len(t.pools[s.pool.ID]) == 0 {
		delete(t.pools, s.pool.ID)
	}
	if t.byDataCentre[s.pool.DataCentre] = removeSorted(t.byDataCentre[s.pool.DataCentre], s); len(t.byDataCentre[s.pool.DataCentre]) == 0 {
		delete(t.byDataCentre, s.pool.DataCentre)
	}
	t.updatePoolSlots(s.pool)
}

// updatePoolSlots sets a pool's slots to those of its largest upstream.
func (t *Table) updatePoolSlots(p *config.Pool) {
	p.Slots = 1
	for _, s := range t.pools[p.ID] {
		p.Slots = max(p.Slots, s.slots)
	}
}

// HasPool reports whether a pool contains any upstream.
func (t *Table) HasPool(id contract.PoolID) bool { return len(t.pools[id]) > 0 }

func compareID(s *state, id contract.UpstreamID) int { return cmp.Compare(s.upstream.ID, id) }

// insertSorted adds a state to states, which are sorted by upstream ID.
func insertSorted(states []*state, s *state) []*state {
	i, _ := slices.BinarySearchFunc(states, s.upstream.ID, compareID)
	return slices.Insert(states, i, s)
}

// removeSorted removes a state from states, which are sorted by upstream ID.
func removeSorted(states []*state, s *state) []*state {
	i, found := slices.BinarySearchFunc(states, s.upstream.ID, compareID)
	if !found {
		return states
	}
	return slices.Delete(states, i, i+1)
}
