package upstream

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"woaddoor/contract"
)

// Some bounds are on what all VMs together send to an upstream, and no VM knows at the
// moment of a send what the others send. So each upstream has an order of the VMs of its
// data centre, the same at every VM without a word between them (rendezvous hashing);
// the first few own the bound and share it.

// Owners are the VMs of this data centre that share what its upstreams take, of those
// that are cold or have named a limit. The zero value is of a VM that does not know them
// yet and sends to none.
type Owners struct {
	Self contract.VMID
	// VMs are all of the data centre, this one among them, in any order: also those
	// that fell silent of late, which may only be cut off from this one.
	VMs []contract.VMID
	// Unsure tells that there may be many more: this VM sends one request a second
	// to what it owns.
	Unsure bool
}

// SetOwners takes in which VMs share what upstreams of a data centre take.
func (t *Table) SetOwners(dc contract.DataCentreID, o Owners) {
	if t.owned.dc == dc && t.owned.Self == o.Self && t.owned.Unsure == o.Unsure && slices.Equal(t.owned.VMs, o.VMs) {
		return
	}
	t.owned = owned{Owners: o, dc: dc, version: t.owned.version + 1}
	t.owned.hashes = make([]uint64, 0, len(o.VMs))
	for _, id := range o.VMs {
		if id != o.Self {
			t.owned.hashes = append(t.owned.hashes, xxhash.Sum64String(string(id)))
		}
	}
	t.owned.self = xxhash.Sum64String(string(o.Self))
}

// owned is what a table keeps of Owners.
type owned struct {
	Owners
	dc contract.DataCentreID
	// version changes with the owners; hashes are those of the other VMs.
	version int
	self    uint64
	hashes  []uint64
}

// placeAt returns the place of this VM among the owners of an upstream, from 0.
func (t *Table) placeAt(s *state) int {
	if s.placed != t.owned.version {
		own := s.rank(t.owned.self)
		place := 0
		for _, h := range t.owned.hashes {
			if s.rank(h) > own {
				place++
			}
		}
		s.place, s.placed = place, t.owned.version
	}
	return s.place
}
