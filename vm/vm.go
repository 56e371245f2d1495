// Package vm knows the VMs of the system: who lives, in which incarnation, and
// which of them watch the platform. It is a pure state machine fed with
// heartbeats, with the platform's lagging list and with the time.
package vm

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"woaddoor/contract"
)

// Member is one VM of the system, as it tells of itself.
type Member struct {
	VM          contract.VMID         `cbor:"1,keyasint"`
	DataCentre  contract.DataCentreID `cbor:"2,keyasint"`
	Incarnation contract.Incarnation  `cbor:"3,keyasint"`
	EntryLink   string                `cbor:"4,keyasint,omitempty"`
	ControlLink string                `cbor:"5,keyasint"`
	// EntryIncarnation is that of the entry process; zero while there is none.
	EntryIncarnation contract.Incarnation `cbor:"6,keyasint,omitempty"`
	// Revision is the configuration that its entry process has in force.
	Revision contract.Revision `cbor:"7,keyasint,omitempty"`
	Leaving  bool              `cbor:"8,keyasint,omitempty"`
	// Age is how long ago the sender last heard from it.
	Age time.Duration `cbor:"9,keyasint,omitempty"`
	// Strength ranks VMs of unlike sizes: stronger ones watch and speak for
	// their data centre first. Any unit will do that all VMs share.
	Strength int `cbor:"10,keyasint,omitempty"`
}

// How long a VM may be silent before it counts as gone. Those of other data
// centres are heard of through a few, so they are given longer.
const (
	DeadAfter    = 6 * time.Second
	FarDeadAfter = 45 * time.Second
)

// forgetAfter is how long a silent VM is remembered, so that a late word of an
// earlier life is told from a new VM.
const forgetAfter = 10 * time.Minute

// Table is what one VM knows of all. Its owner locks it.
type Table struct {
	self    Member
	members map[contract.VMID]seen
	listed  map[contract.VMID]contract.VMState
}

type seen struct {
	member Member
	at     time.Time
}

// NewTable returns the table of the VM self.
func NewTable(self Member) *Table {
	return &Table{self: self, members: make(map[contract.VMID]seen), listed: make(map[contract.VMID]contract.VMState)}
}

// SetSelf replaces what this VM tells of itself.
func (t *Table) SetSelf(self Member) { t.self = self }

// Self returns what this VM tells of itself.
func (t *Table) Self() Member { return t.self }

// Heard takes in what a VM told of itself, or what a peer passed on of it;
// Member.Age says how old the word is. Word of an earlier life, or older than
// what is known, is dropped: heartbeats may come late and in any order.
func (t *Table) Heard(m Member, now time.Time) {
	if m.VM == t.self.VM {
		return
	}
	at := now.Add(-max(m.Age, 0))
	old, had := t.members[m.VM]
	if had && (m.Incarnation < old.member.Incarnation) {
		return
	}
	if had && m.Incarnation == old.member.Incarnation {
		if !at.After(old.at) {
			return
		}
		m.Leaving = m.Leaving || old.member.Leaving // leaving is for good
		m.Revision = max(m.Revision, old.member.Revision)
		m.EntryIncarnation = max(m.EntryIncarnation, old.member.EntryIncarnation)
	}
	t.members[m.VM] = seen{m, at}
}

// Listed takes in the platform's list. It lags, so it adds to what heartbeats
// tell and never makes a silent VM live.
func (t *Table) Listed(entries []contract.VMEntry) {
	clear(t.listed)
	for _, e := range entries {
		if !e.Upstream {
			t.listed[e.ID] = e.State
		}
	}
}

// Live returns the VMs heard of within DeadAfter, this one among them, sorted
// by name.
func (t *Table) Live(now time.Time) []Member {
	live := []Member{t.self}
	for id, s := range t.members {
		if now.Sub(s.at) > forgetAfter {
			delete(t.members, id)
			continue
		}
		if now.Sub(s.at) > t.deadAfter(s.member) {
			continue
		}
		m := s.member
		m.Age = now.Sub(s.at)
		m.Leaving = m.Leaving || t.listed[m.VM] == contract.VMLeaving
		live = append(live, m)
	}
	slices.SortFunc(live, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return live
}

func (t *Table) deadAfter(m Member) time.Duration {
	if m.DataCentre == t.self.DataCentre {
		return DeadAfter
	}
	return FarDeadAfter
}

// Delegates returns the n VMs that stand for this data centre towards others:
// its watchers and the next in rank, as far as they are known.
func (t *Table) Delegates(n int, now time.Time) []Member {
	ranked := Rank(t.Live(now), t.self.DataCentre, watchKey)
	return ranked[:min(n, len(ranked))]
}

// Near returns the other live VMs of this data centre.
func (t *Table) Near(now time.Time) []Member {
	var near []Member
	for _, m := range t.Live(now) {
		if m.DataCentre == t.self.DataCentre && m.VM != t.self.VM {
			near = append(near, m)
		}
	}
	return near
}

// Knows tells whether this life of a VM has been heard of.
func (t *Table) Knows(m Member) bool {
	s, ok := t.members[m.VM]
	return ok && s.member.Incarnation == m.Incarnation
}

// Digest tells two VMs of a data centre whether they know of the same VMs there.
func (t *Table) Digest(now time.Time) uint64 {
	d := xxhash.New()
	for _, m := range t.Live(now) {
		if m.DataCentre == t.self.DataCentre {
			_, _ = fmt.Fprintf(d, "%s %d\n", m.VM, m.Incarnation)
		}
	}
	return d.Sum64()
}

// Far returns up to n live VMs of each other data centre, in the order of
// their rank.
func (t *Table) Far(n int, now time.Time) []Member {
	var far []Member
	live := t.Live(now)
	for _, dc := range dataCentres(live) {
		if dc == t.self.DataCentre {
			continue
		}
		ranked := Rank(live, dc, watchKey)
		far = append(far, ranked[:min(n, len(ranked))]...)
	}
	return far
}

// Gone tells whether a life of a VM is known to have ended: a later life was
// heard of. Silence alone proves nothing.
func (t *Table) Gone(id contract.VMID, inc contract.Incarnation) bool {
	s, ok := t.members[id]
	return ok && s.member.Incarnation > inc
}

// rank orders VMs by the hash of a key and their name (rendezvous hashing), so
// that a VM that goes moves only its own part to others.
func rank(key string, id contract.VMID) uint64 { return xxhash.Sum64String(key + "\x00" + string(id)) }

// Rank returns the members of a data centre in the order of their rank for a
// key, stronger ones first and leaving ones last.
func Rank(members []Member, dc contract.DataCentreID, key string) []Member {
	type placed struct {
		member *Member
		rank   uint64
	}
	var places []placed
	for i := range members {
		if members[i].DataCentre == dc {
			places = append(places, placed{&members[i], rank(key, members[i].VM)})
		}
	}
	slices.SortStableFunc(places, func(a, b placed) int {
		if a.member.Leaving != b.member.Leaving {
			if b.member.Leaving {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.member.Strength, a.member.Strength), cmp.Compare(a.rank, b.rank))
	})
	ranked := make([]Member, 0, len(places))
	for _, p := range places {
		ranked = append(ranked, *p.member)
	}
	return ranked
}

// watchKey ranks the VMs of a data centre for watching the platform.
const watchKey = "watch"

// Watches tells whether this VM is one of the n of its data centre that watch
// the platform for all.
func (t *Table) Watches(n int, now time.Time) bool { return t.Place(now) < n }

// Place returns the place of this VM, from 0, among those of its data centre in
// the order in which they watch the platform.
func (t *Table) Place(now time.Time) int {
	ranked := Rank(t.Live(now), t.self.DataCentre, watchKey)
	return slices.IndexFunc(ranked, func(m Member) bool { return m.VM == t.self.VM })
}

// Sources returns the peers to ask for the newest configuration, best first:
// the watchers of the own data centre, then its other VMs, then the watchers
// of each other data centre.
func (t *Table) Sources(now time.Time) []Member {
	live := t.Live(now)
	var sources []Member
	for _, m := range Rank(live, t.self.DataCentre, watchKey) {
		if m.VM != t.self.VM {
			sources = append(sources, m)
		}
	}
	for _, dc := range dataCentres(live) {
		if dc != t.self.DataCentre {
			sources = append(sources, Rank(live, dc, watchKey)...)
		}
	}
	return sources
}

// DataCentres returns the data centres with live VMs, sorted.
func (t *Table) DataCentres(now time.Time) []contract.DataCentreID { return dataCentres(t.Live(now)) }

func dataCentres(members []Member) []contract.DataCentreID {
	var ids []contract.DataCentreID
	for _, m := range members {
		if !slices.Contains(ids, m.DataCentre) {
			ids = append(ids, m.DataCentre)
		}
	}
	slices.Sort(ids)
	return ids
}
