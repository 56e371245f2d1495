package upstream

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"woaddoor/contract"
)

// Cold bounds and rate limits apply to the requests of all VMs together,
// but no VM knows what the other VMs send at the same moment.
// The VMs of a data centre are therefore ranked for each of its upstreams.
// All VMs compute the same ranking without communication (rendezvous hashing),
// and the highest-ranked VMs are the owners of the upstream:
// the owners divide the bound of the upstream among themselves.

// Owners are the VMs of this data centre that divide the bounds of cold and rate-limited upstreams.
// The zero value means that this VM does not know the owners yet.
// Such a VM sends nothing to cold or rate-limited upstreams.
type Owners struct {
	Self contract.VMID
	// VMs are all VMs of the data centre including this VM, in any order.
	// VMs that became silent recently are included, because a silent VM may only be
	// disconnected from this VM.
	VMs []contract.VMID
	// Incomplete means that the data centre may have many more VMs:
	// this VM then sends at most one request per second to each upstream that it owns.
	Incomplete bool
	// Gone are the VMs among these that have been silent for so long that they send nothing any more,
	// unless they are only disconnected from this VM.
	Gone []contract.VMID
}

// SetOwners sets the VMs that divide the bounds of the upstreams of a data centre.
func (t *Table) SetOwners(dc contract.DataCentreID, o Owners) {
	if t.owners.dc == dc && t.owners.Self == o.Self && t.owners.Incomplete == o.Incomplete && slices.Equal(t.owners.VMs, o.VMs) && slices.Equal(t.owners.Gone, o.Gone) {
		return
	}
	t.owners = ownership{Owners: o, dc: dc, version: t.owners.version + 1}
	t.owners.otherHashes = make([]uint64, 0, len(o.VMs))
	for _, id := range o.VMs {
		if id != o.Self {
			t.owners.otherHashes = append(t.owners.otherHashes, xxhash.Sum64String(string(id)))
		}
	}
	t.owners.selfHash = xxhash.Sum64String(string(o.Self))
}

// ownership holds the Owners, together with the values that a Table derives from the Owners.
type ownership struct {
	Owners
	dc contract.DataCentreID
	// version increases with each change of the owners.
	// selfHash and otherHashes are the hashes of the IDs of this VM and of the other VMs.
	version     int
	selfHash    uint64
	otherHashes []uint64
}

// ownerRank returns the rank of this VM among the VMs that may own an upstream (divide its cold
// bound and its rate limit). The highest rank is 0.
func (t *Table) ownerRank(s *state) int {
	if s.cachedRankVersion != t.owners.version {
		selfRank := s.rendezvousHash(t.owners.selfHash)
		rank := 0
		for _, h := range t.owners.otherHashes {
			if s.rendezvousHash(h) > selfRank {
				rank++
			}
		}
		s.cachedRank, s.cachedRankVersion = rank, t.owners.version
	}
	return s.cachedRank
}

// order returns the VMs ranked by a hash, those that are gone last.
func (o *ownership) order(hash uint64) []contract.VMID {
	type ranked struct {
		id   contract.VMID
		gone bool
		hash uint64
	}
	all := make([]ranked, 0, len(o.VMs))
	for _, id := range o.VMs {
		all = append(all, ranked{id, slices.Contains(o.Gone, id), rendezvousHash(hash, xxhash.Sum64String(string(id)))})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if a.gone != b.gone {
			if a.gone {
				return 1
			}
			return -1
		}
		return cmp.Compare(b.hash, a.hash)
	})
	ids := make([]contract.VMID, len(all))
	for i, r := range all {
		ids[i] = r.id
	}
	return ids
}
