package entry

import (
	"time"

	"woaddoor/contract"
	"woaddoor/vm"
)

// membersKept is how long a VM is still counted on that an answer does not name: a
// control process that has just started names few, and another may have named more a
// moment before.
const membersKept = 3 * time.Second

// mergeMembers returns the VMs that are known after an answer, and when each was named
// last. Answers come from several control processes, of which one may know less than
// another: what is known of a life of a VM does not go back. An answer that named a peer
// without its entry process, a moment after one that named it, left this VM without a
// keeper for its bills, so that answers were refused while the platform was out.
func mergeMembers(old []vm.Member, named map[contract.VMID]time.Time, got []vm.Member, asked time.Time) ([]vm.Member, map[contract.VMID]time.Time) {
	before := make(map[contract.VMID]vm.Member, len(old))
	for _, m := range old {
		before[m.VM] = m
	}
	var members []vm.Member
	at := make(map[contract.VMID]time.Time, len(got))
	for _, m := range got {
		members = append(members, newest(before[m.VM], m))
		at[m.VM] = asked
	}
	for _, m := range old {
		if _, again := at[m.VM]; !again && asked.Sub(named[m.VM]) < membersKept {
			members = append(members, m)
			at[m.VM] = named[m.VM]
		}
	}
	return members, at
}

// newest returns what is known of a VM by two words of it.
func newest(old, m vm.Member) vm.Member {
	switch {
	case old.Incarnation > m.Incarnation:
		return old
	case old.Incarnation < m.Incarnation:
		return m
	}
	m.EntryIncarnation = max(m.EntryIncarnation, old.EntryIncarnation)
	m.Revision = max(m.Revision, old.Revision)
	m.Leaving = m.Leaving || old.Leaving // leaving is for good
	if m.EntryLink == "" {
		m.EntryLink = old.EntryLink
	}
	return m
}
