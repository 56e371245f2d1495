package vm

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"woaddoor/contract"
)

// The hubs of a data centre are its first VMs in watcher order (see WatcherOrder).
// Every other VM of the data centre is a leaf and exchanges messages with one hub;
// hubs exchange messages with each other.
// Information from one VM reaches all other VMs in three hops, over as many links as there are VMs.
const (
	// leavesPerHub limits the work of a hub:
	// a hub with a fifth of a core spends a few percent of its processor time on messages.
	leavesPerHub = 24
	// minHubs is the minimum number of hubs of a data centre with at least as many VMs,
	// so that one hub may fail.
	minHubs = 2
)

// HubCount returns how many hubs a data centre of n VMs has.
func HubCount(n int) int { return max((n+leavesPerHub-1)/leavesPerHub, min(n, minHubs)) }

// Hubs returns the hubs of a data centre. ranked holds all its live VMs in watcher order.
func Hubs(ranked []Member) []Member { return ranked[:HubCount(len(ranked))] }

// WatcherOrder returns the VMs of a data centre in watcher order:
// the first VMs watch the platform's store, and each later VM takes over when VMs before it fail.
func WatcherOrder(members []Member, dc contract.DataCentreID) []Member {
	return Rank(members, dc, watchKey)
}

// HubsFor returns the hubs in the order in which a leaf (a VM that is no hub) tries them.
// Rendezvous hashing ensures that the loss of a hub moves only its own leaves.
func HubsFor(leaf contract.VMID, hubs []Member) []Member {
	ordered := slices.Clone(hubs)
	slices.SortFunc(ordered, func(a, b Member) int {
		return cmp.Compare(rendezvousHash(string(leaf), a.VM), rendezvousHash(string(leaf), b.VM))
	})
	return ordered
}

// RefreshLocal marks the live VMs of this data centre as heard from now.
// RefreshLocal is called when a hub confirms that it knows the same live VMs as this VM.
func (t *Table) RefreshLocal(now time.Time) {
	for id, s := range t.members {
		if s.member.DataCentre == t.self.DataCentre && now.Sub(s.lastHeard) <= DeadAfter {
			s.lastHeard = now
			t.members[id] = s
		}
	}
}

// MergeHubView merges what a hub knows about the VMs of this data centre.
// The ages from the hub apply even where a call of RefreshLocal has set a shorter age.
func (t *Table) MergeHubView(members []Member, now time.Time) {
	for _, m := range members {
		t.ApplyHeartbeat(m, now)
		s, ok := t.members[m.VM]
		if ok && s.member.Incarnation == m.Incarnation {
			s.lastHeard = now.Add(-max(m.Age, 0))
			t.members[m.VM] = s
		}
	}
}

// RecentlyDead returns the VMs that are considered dead
// but were heard from within the given time, the most recently heard first.
func (t *Table) RecentlyDead(within time.Duration, now time.Time) []Member {
	var out []Member
	for _, s := range t.members {
		if age := now.Sub(s.lastHeard); age > t.deadAfter(s.member) && age <= within {
			m := s.member
			m.Age = age
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.VM, b.VM)) })
	return out
}

// MembersDigest returns a digest of the VMs and their incarnations.
// Two VMs compare digests to find out whether they know the same VMs.
func MembersDigest(members []Member) uint64 {
	sum := uint64(len(members)) // the sum starts above 0, the value of an unset digest, unless there are no VMs
	for _, m := range members {
		h := xxhash.New()
		_, _ = h.WriteString(string(m.VM)) // the hash never returns an error
		sum += h.Sum64() * (uint64(m.Incarnation) | 1)
	}
	return sum
}
