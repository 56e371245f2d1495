// Package vm tracks the VMs of the system: which ones are alive, in which incarnation,
// and which of them watch the platform's store. Package vm is a pure state machine:
// its callers pass in heartbeats, the platform's VM list (which lags behind) and the time.
package vm

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"woaddoor/contract"
)

// Member describes a VM of the system. A VM reports its own description.
type Member struct {
	VM             contract.VMID         `cbor:"1,keyasint"`
	DataCentre     contract.DataCentreID `cbor:"2,keyasint"`
	Incarnation    contract.Incarnation  `cbor:"3,keyasint"`
	EntryAddress   string                `cbor:"4,keyasint,omitempty"`
	ControlAddress string                `cbor:"5,keyasint"`
	// EntryIncarnation is the incarnation of the entry process
	// (the process that accepts requests of callers). Zero means that there is no entry process.
	EntryIncarnation contract.Incarnation `cbor:"6,keyasint,omitempty"`
	// Revision is the revision of the configuration that the entry process uses.
	Revision contract.Revision `cbor:"7,keyasint,omitempty"`
	Leaving  bool              `cbor:"8,keyasint,omitempty"`
	// Age is the time since the sender of this description last heard from the VM.
	Age time.Duration `cbor:"9,keyasint,omitempty"`
	// CapacityUnits ranks VMs of different sizes:
	// the strongest are the first to watch the platform's store and to represent their data centre.
	// Any unit works if all VMs use the same one.
	CapacityUnits int `cbor:"10,keyasint,omitempty"`
	// Heartbeat is the number of the heartbeat that this description comes from,
	// counted by the VM itself from 1. A description that comes back through peers
	// with a younger Age is thereby known for the same heartbeat.
	Heartbeat uint64 `cbor:"11,keyasint,omitempty"`
	// Use is how much the VM uses of the scarcest resource of its machine, in percent.
	// Zero means that it is not known.
	Use int `cbor:"12,keyasint,omitempty"`
	// Short is set if the VM is short of that resource.
	Short bool `cbor:"13,keyasint,omitempty"`
}

// How long a VM may be silent before it is considered dead.
// Heartbeats from other data centres arrive through only a few VMs,
// so the limit for VMs of other data centres is longer.
const (
	DeadAfter       = 6 * time.Second
	RemoteDeadAfter = 45 * time.Second
)

// forgetAfter is how long a silent VM is remembered,
// so that a late heartbeat from an earlier incarnation is not mistaken for a new VM.
const forgetAfter = 10 * time.Minute

// Table holds what one VM knows about all VMs. Table is not safe for concurrent use.
type Table struct {
	self           Member
	members        map[contract.VMID]observation
	platformStates map[contract.VMID]contract.VMState
}

// observation is the latest description of a VM and the time when the VM was last heard from.
type observation struct {
	member    Member
	lastHeard time.Time
}

// NewTable returns the table of the VM self.
func NewTable(self Member) *Table {
	return &Table{self: self, members: make(map[contract.VMID]observation), platformStates: make(map[contract.VMID]contract.VMState)}
}

// SetSelf replaces the description of this VM.
func (t *Table) SetSelf(self Member) {
	self.Heartbeat = t.self.Heartbeat
	t.self = self
}

// SetUse sets the use of this VM's machine, in percent, and whether the VM is short of it.
func (t *Table) SetUse(percent int, short bool) { t.self.Use, t.self.Short = percent, short }

// Self returns the description of this VM.
func (t *Table) Self() Member { return t.self }

// NextHeartbeat returns the description of this VM for a message that is about to be sent.
func (t *Table) NextHeartbeat() Member {
	t.self.Heartbeat++
	return t.self
}

// ApplyHeartbeat applies a heartbeat, received from the VM itself or through a peer.
// Member.Age is the age of the heartbeat. Heartbeats of an earlier incarnation,
// or older than the known state, are ignored: heartbeats may arrive late and in any order.
func (t *Table) ApplyHeartbeat(m Member, now time.Time) {
	if m.VM == t.self.VM {
		return
	}
	heardAt := now.Add(-max(m.Age, 0))
	previous, known := t.members[m.VM]
	if known && (m.Incarnation < previous.member.Incarnation) {
		return
	}
	if known && m.Incarnation == previous.member.Incarnation {
		if !m.newerThan(previous.member, heardAt, previous.lastHeard) {
			return
		}
		m.Leaving = m.Leaving || previous.member.Leaving // the state of leaving cannot be undone within an incarnation
		m.Revision = max(m.Revision, previous.member.Revision)
		m.EntryIncarnation = max(m.EntryIncarnation, previous.member.EntryIncarnation)
	}
	t.members[m.VM] = observation{m, heardAt}
}

// newerThan reports whether a description comes from a later heartbeat than a known one
// of the same incarnation. Without numbers, the times at which they were heard decide.
func (m Member) newerThan(known Member, heardAt, knownAt time.Time) bool {
	if m.Heartbeat == 0 || known.Heartbeat == 0 {
		return heardAt.After(knownAt)
	}
	return m.Heartbeat > known.Heartbeat
}

// SetPlatformList applies the platform's VM list.
// The list lags behind, so the list only adds to the heartbeats and never makes a silent VM live.
func (t *Table) SetPlatformList(entries []contract.VMEntry) {
	clear(t.platformStates)
	for _, e := range entries {
		if !e.Upstream {
			t.platformStates[e.ID] = e.State
		}
	}
}

// Live returns the VMs that are not considered dead, sorted by name. Live includes this VM.
func (t *Table) Live(now time.Time) []Member {
	live := []Member{t.self}
	for id, s := range t.members {
		if now.Sub(s.lastHeard) > forgetAfter {
			delete(t.members, id)
			continue
		}
		if now.Sub(s.lastHeard) > t.deadAfter(s.member) {
			continue
		}
		m := s.member
		m.Age = now.Sub(s.lastHeard)
		m.Leaving = m.Leaving || t.platformStates[m.VM] == contract.VMLeaving
		live = append(live, m)
	}
	slices.SortFunc(live, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return live
}

// deadAfter returns how long a VM may be silent before it is considered dead.
func (t *Table) deadAfter(m Member) time.Duration {
	if m.DataCentre == t.self.DataCentre {
		return DeadAfter
	}
	return RemoteDeadAfter
}

// Delegates returns the n VMs that represent this data centre to the other data centres:
// the first VMs in watcher order, or fewer than n VMs if the data centre has fewer.
func (t *Table) Delegates(n int, now time.Time) []Member {
	ranked := Rank(t.Live(now), t.self.DataCentre, watchKey)
	return ranked[:min(n, len(ranked))]
}

// LocalPeers returns the other live VMs of this data centre.
func (t *Table) LocalPeers(now time.Time) []Member {
	var peers []Member
	for _, m := range t.Live(now) {
		if m.DataCentre == t.self.DataCentre && m.VM != t.self.VM {
			peers = append(peers, m)
		}
	}
	return peers
}

// KnowsIncarnation reports whether the latest known incarnation of a VM is the incarnation of m.
func (t *Table) KnowsIncarnation(m Member) bool {
	s, ok := t.members[m.VM]
	return ok && s.member.Incarnation == m.Incarnation
}

// Digest returns a digest of the live VMs of this data centre.
// Two VMs compare digests to find out whether they know the same VMs.
func (t *Table) Digest(now time.Time) uint64 {
	d := xxhash.New()
	for _, m := range t.Live(now) {
		if m.DataCentre == t.self.DataCentre {
			_, _ = fmt.Fprintf(d, "%s %d\n", m.VM, m.Incarnation)
		}
	}
	return d.Sum64()
}

// RemoteDelegates returns up to n live VMs of each other data centre, in watcher order.
func (t *Table) RemoteDelegates(n int, now time.Time) []Member {
	var remote []Member
	live := t.Live(now)
	for _, dc := range dataCentres(live) {
		if dc == t.self.DataCentre {
			continue
		}
		ranked := Rank(live, dc, watchKey)
		remote = append(remote, ranked[:min(n, len(ranked))]...)
	}
	return remote
}

// Superseded reports whether an incarnation of a VM is known to have ended,
// because a later incarnation was heard from. Silence alone proves nothing.
func (t *Table) Superseded(id contract.VMID, inc contract.Incarnation) bool {
	s, ok := t.members[id]
	return ok && s.member.Incarnation > inc
}

// rendezvousHash returns the score of a VM for a key. Because each VM is scored on its own,
// the failure of a VM moves only the part of that VM to other VMs.
func rendezvousHash(key string, id contract.VMID) uint64 {
	return xxhash.Sum64String(key + "\x00" + string(id))
}

// Rank returns the members of a data centre in order of preference: leaving VMs last,
// VMs with more CapacityUnits first, and equal VMs by their rendezvous hash for the key.
func Rank(members []Member, dc contract.DataCentreID, key string) []Member {
	type candidate struct {
		member *Member
		hash   uint64
	}
	var candidates []candidate
	for i := range members {
		if members[i].DataCentre == dc {
			candidates = append(candidates, candidate{&members[i], rendezvousHash(key, members[i].VM)})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		if a.member.Leaving != b.member.Leaving {
			if b.member.Leaving {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.member.CapacityUnits, a.member.CapacityUnits), cmp.Compare(a.hash, b.hash))
	})
	ranked := make([]Member, 0, len(candidates))
	for _, c := range candidates {
		ranked = append(ranked, *c.member)
	}
	return ranked
}

// watchKey is the hash key of the watcher order.
const watchKey = "watch"

// IsWatcher reports whether this VM is one of the n VMs of its data centre
// that watch the platform's store for all VMs.
func (t *Table) IsWatcher(n int, now time.Time) bool { return t.WatcherRank(now) < n }

// WatcherRank returns the position of this VM,
// counted from 0, in the watcher order of its data centre.
func (t *Table) WatcherRank(now time.Time) int {
	ranked := Rank(t.Live(now), t.self.DataCentre, watchKey)
	return slices.IndexFunc(ranked, func(m Member) bool { return m.VM == t.self.VM })
}

// ConfigSources returns the peers to ask for the newest configuration, best first:
// the VMs of this data centre, then the VMs of each other data centre.
// In each data centre the watchers come first.
func (t *Table) ConfigSources(now time.Time) []Member {
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
