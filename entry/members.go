package entry

import (
	"time"

	"woaddoor/contract"
	"woaddoor/vm"
)

// memberRetention is how long a VM stays in the member list (of live VMs) after an answer last
// listed the VM. A control process that has just started lists few VMs, while another control
// process may have listed more VMs shortly before.
const memberRetention = 3 * time.Second

// mergeMembers merges the VMs listed in an answer into the known VMs.
// mergeMembers returns the merged list and the time at which each VM was last listed.
// Answers come from several control processes, and some control processes know less than others.
// An answer therefore never replaces newer information about the same incarnation of a VM.
// Otherwise an answer that lists a peer without its entry process would hide that peer:
// this VM would then have no peer to copy bill records to, and would refuse requests during a
// platform outage.
func mergeMembers(old []vm.Member, lastListed map[contract.VMID]time.Time, listed []vm.Member, askedAt time.Time) ([]vm.Member, map[contract.VMID]time.Time) {
	known := make(map[contract.VMID]vm.Member, len(old))
	for _, m := range old {
		known[m.VM] = m
	}
	var members []vm.Member
	listedAt := make(map[contract.VMID]time.Time, len(listed))
	for _, m := range listed {
		members = append(members, newestMember(known[m.VM], m))
		listedAt[m.VM] = askedAt
	}
	for _, m := range old {
		if _, listedNow := listedAt[m.VM]; !listedNow && askedAt.Sub(lastListed[m.VM]) < memberRetention {
			members = append(members, m)
			listedAt[m.VM] = lastListed[m.VM]
		}
	}
	return members, listedAt
}

// newestMember merges two entries for the same VM. The entry of the later incarnation wins.
// If both entries have the same incarnation, the fields that only ever advance take their later
// value.
func newestMember(old, m vm.Member) vm.Member {
	switch {
	case old.Incarnation > m.Incarnation:
		return old
	case old.Incarnation < m.Incarnation:
		return m
	}
	m.EntryIncarnation = max(m.EntryIncarnation, old.EntryIncarnation)
	m.Revision = max(m.Revision, old.Revision)
	m.Leaving = m.Leaving || old.Leaving // a VM that has started to leave does not come back in the same incarnation
	if m.EntryAddress == "" {
		m.EntryAddress = old.EntryAddress
	}
	return m
}
