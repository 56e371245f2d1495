package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/bill"
	"woaddoor/clock"
	"woaddoor/contract"
	"woaddoor/settings"
	"woaddoor/vm"
)

// TestKeepersOutlastListing guards against a VM without a peer for its bill records,
// because control processes no longer list the entry process of a peer that still runs.
func TestKeepersOutlastListing(t *testing.T) {
	listed := vm.Member{VM: "p", DataCentre: "e", Incarnation: 7, EntryIncarnation: 9, EntryAddress: "p:1"}
	restarted := vm.Member{VM: "p", DataCentre: "e", Incarnation: 8}
	leaving := listed
	leaving.Leaving = true
	other := vm.Member{VM: "q", DataCentre: "e", Incarnation: 3, EntryIncarnation: 4, EntryAddress: "q:1"}
	for name, c := range map[string]struct {
		later []vm.Member
		after time.Duration
		want  []contract.VMID
	}{
		"listed":                          {[]vm.Member{listed}, time.Second, []contract.VMID{"p"}},
		"its control process restarted":   {[]vm.Member{restarted}, time.Second, []contract.VMID{"p"}},
		"not listed":                      {[]vm.Member{}, 5 * time.Second, []contract.VMID{"p"}},
		"not listed for long":             {[]vm.Member{}, keeperRetention, nil},
		"leaving":                         {[]vm.Member{leaving}, time.Second, nil},
		"not listed while another one is": {[]vm.Member{other}, time.Second, []contract.VMID{"q"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := clock.NewFake(time.Unix(1000, 0))
			s := &Server{
				opts: &Options{Settings: &settings.Settings{DataCentre: "d"}}, clock: now, random: rand.New(rand.NewPCG(1, 2)),
				origin: bill.Origin{VM: "self"}, keepers: make(map[contract.VMID]keeper), copyFailedAt: make(map[contract.VMID]time.Time),
			}
			s.recordKeepers([]vm.Member{listed}, now.Now())
			now.Advance(c.after)
			s.recordKeepers(c.later, now.Now())
			var got []contract.VMID
			for _, m := range s.copyPeers() {
				got = append(got, m.VM)
			}
			is.Equal(got, c.want)
		})
	}
}
