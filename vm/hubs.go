package vm

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"woaddoor/contract"
)

// The hubs of a data centre are its first VMs in the order in which they would
// watch the platform. Each of the others, a leaf, speaks with one of them, and hubs
// speak with each other, so that what one VM knows reaches all in three steps, over
// as many links as there are VMs.
const (
	// hubLeaves is how many leaves a hub has, so that one with a fifth of a core
	// spends a few percent of it on words.
	hubLeaves = 24
	// leastHubs is how many hubs there are where there are as many VMs: one may
	// be gone.
	leastHubs = 2
)

// HubCount returns how many hubs a data centre of n VMs has.
func HubCount(n int) int { return max((n+hubLeaves-1)/hubLeaves, min(n, leastHubs)) }

// Hubs returns the first VMs of members in rank that are its hubs. ranked holds all
// live VMs of a data centre in the order of Ranked.
func Hubs(ranked []Member) []Member { return ranked[:HubCount(len(ranked))] }

// Ranked returns the VMs of a data centre in the order in which they would watch
// the platform.
func Ranked(members []Member, dc contract.DataCentreID) []Member { return Rank(members, dc, watchKey) }

// HubsFor returns hubs in the order in which a leaf asks them: by rendezvous
// hashing, so that a hub that goes moves only its own leaves.
func HubsFor(leaf contract.VMID, hubs []Member) []Member {
	ordered := slices.Clone(hubs)
	slices.SortFunc(ordered, func(a, b Member) int {
		return cmp.Compare(rank(string(leaf), a.VM), rank(string(leaf), b.VM))
	})
	return ordered
}

// Agreed takes in that a hub knows of the same live VMs of this data centre as this
// one.
func (t *Table) Agreed(now time.Time) {
	for id, s := range t.members {
		if s.member.DataCentre == t.self.DataCentre && now.Sub(s.at) <= DeadAfter {
			s.at = now
			t.members[id] = s
		}
	}
}

// Told takes in what a hub knows of the VMs of this data centre. Its ages hold also
// where this VM had counted on a shorter one by agreement.
func (t *Table) Told(members []Member, now time.Time) {
	for _, m := range members {
		t.Heard(m, now)
		s, ok := t.members[m.VM]
		if ok && s.member.Incarnation == m.Incarnation {
			s.at = now.Add(-max(m.Age, 0))
			t.members[m.VM] = s
		}
	}
}

// Silent returns the VMs that count as gone and were heard of within an age, the
// one that was heard of last first.
func (t *Table) Silent(within time.Duration, now time.Time) []Member {
	var out []Member
	for _, s := range t.members {
		if age := now.Sub(s.at); age > t.deadAfter(s.member) && age <= within {
			m := s.member
			m.Age = age
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.VM, b.VM)) })
	return out
}

// DigestOf tells two VMs whether they know of the same lives of VMs.
func DigestOf(members []Member) uint64 {
	sum := uint64(len(members)) // one that tells of nothing differs from none
	for _, m := range members {
		h := xxhash.New()
		_, _ = h.WriteString(string(m.VM)) // never fails
		sum += h.Sum64() * (uint64(m.Incarnation) | 1)
	}
	return sum
}
