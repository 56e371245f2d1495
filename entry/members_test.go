package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/contract"
	"woaddoor/vm"
)

// TestMembersDoNotGoBack replays answers of two control processes of which the second
// knows less: the peer that holds this VM's bills has to stay known.
func TestMembersDoNotGoBack(t *testing.T) {
	now := time.Unix(1000, 0)
	peer := vm.Member{VM: "p", DataCentre: "e", Incarnation: 7, EntryIncarnation: 9, EntryLink: "p:1", Revision: 4}
	less := func(change func(m *vm.Member)) []vm.Member {
		m := peer
		change(&m)
		return []vm.Member{m}
	}
	restarted := vm.Member{VM: "p", DataCentre: "e", Incarnation: 8}
	for name, c := range map[string]struct {
		got   []vm.Member
		after time.Duration
		want  []vm.Member
	}{
		"the same":                     {[]vm.Member{peer}, time.Second, []vm.Member{peer}},
		"without its entry process":    {less(func(m *vm.Member) { m.EntryIncarnation, m.EntryLink = 0, "" }), time.Second, []vm.Member{peer}},
		"of an earlier revision":       {less(func(m *vm.Member) { m.Revision = 1 }), time.Second, []vm.Member{peer}},
		"of an earlier life":           {less(func(m *vm.Member) { m.Incarnation = 6 }), time.Second, []vm.Member{peer}},
		"of a later life":              {[]vm.Member{restarted}, time.Second, []vm.Member{restarted}},
		"not named by one that starts": {nil, time.Second, []vm.Member{peer}},
		"not named for long":           {nil, membersKept, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			named := map[contract.VMID]time.Time{"p": now}
			members, at := mergeMembers([]vm.Member{peer}, named, c.got, now.Add(c.after))
			is.Equal(members, c.want)
			is.Equal(len(at), len(c.want))
		})
	}
}
