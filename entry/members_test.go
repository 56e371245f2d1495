package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/contract"
	"woaddoor/vm"
)

// TestMergeMembersKeepsNewestState merges a second answer that knows less than the first. It guards against
// losing the entry process of the peer that stores copies of this VM's bill records.
func TestMergeMembersKeepsNewestState(t *testing.T) {
	now := time.Unix(1000, 0)
	peer := vm.Member{VM: "p", DataCentre: "e", Incarnation: 7, EntryIncarnation: 9, EntryAddress: "p:1", Revision: 4}
	peerWith := func(change func(m *vm.Member)) []vm.Member {
		m := peer
		change(&m)
		return []vm.Member{m}
	}
	restarted := vm.Member{VM: "p", DataCentre: "e", Incarnation: 8}
	for name, c := range map[string]struct {
		listed  []vm.Member
		elapsed time.Duration
		want    []vm.Member
	}{
		"same entry":                               {[]vm.Member{peer}, time.Second, []vm.Member{peer}},
		"no entry process":                         {peerWith(func(m *vm.Member) { m.EntryIncarnation, m.EntryAddress = 0, "" }), time.Second, []vm.Member{peer}},
		"earlier revision":                         {peerWith(func(m *vm.Member) { m.Revision = 1 }), time.Second, []vm.Member{peer}},
		"earlier incarnation":                      {peerWith(func(m *vm.Member) { m.Incarnation = 6 }), time.Second, []vm.Member{peer}},
		"later incarnation":                        {[]vm.Member{restarted}, time.Second, []vm.Member{restarted}},
		"not listed by a starting control process": {nil, time.Second, []vm.Member{peer}},
		"not listed within the retention time":     {nil, memberRetention, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			lastListed := map[contract.VMID]time.Time{"p": now}
			members, listedAt := mergeMembers([]vm.Member{peer}, lastListed, c.listed, now.Add(c.elapsed))
			is.Equal(members, c.want)
			is.Equal(len(listedAt), len(c.want))
		})
	}
}
