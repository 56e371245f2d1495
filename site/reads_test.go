package site

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/keys"
	"woaddoor/link"
	"woaddoor/reading"
	"woaddoor/relay"
	"woaddoor/rollout"
	"woaddoor/vm"
)

// hearer notes what it is told of sends and opinions.
type hearer struct {
	sent     chan []relay.Sent
	opinions chan []relay.Opinion
}

func newHearer() *hearer {
	return &hearer{make(chan []relay.Sent, 10), make(chan []relay.Opinion, 10)}
}

func (*hearer) Evidence(bool) rollout.Evidence   { return nil }
func (*hearer) Hear(rollout.Evidence)            {}
func (*hearer) OrderAges() []relay.OrderAge      { return nil }
func (*hearer) HearAges([]relay.OrderAge)        {}
func (h *hearer) HearSent(s []relay.Sent)        { h.sent <- s }
func (h *hearer) HearOpinions(o []relay.Opinion) { h.opinions <- o }

// testPeers returns the peers of a VM on loopback.
func testPeers(t *testing.T, name string, dc contract.DataCentreID) (*Peers, *hearer, vm.Member) {
	t.Helper()
	identity, err := keys.NewByAddress(name, func(string) bool { return true })
	if err != nil {
		t.Fatal(err)
	}
	endpoint, err := link.Listen("127.0.0.1:0", identity)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := endpoint.Close(); err != nil {
			t.Error(err)
		}
	})
	self := vm.Member{VM: contract.VMID(name), DataCentre: dc, Incarnation: 1, ControlLink: endpoint.Address()}
	p := NewPeers(&PeersOptions{
		Endpoint: endpoint, Self: self, Log: zap.NewNop(), Now: time.Now,
		Regions: map[contract.DataCentreID]string{"d": "r", "e": "r"},
	})
	h := newHearer()
	p.judge(h)
	go func() { _ = endpoint.Serve(t.Context()) }() // ends with the endpoint
	return p, h, self
}

// TestSendsAreTold checks that the VMs of the data centre, and those of another
// one through one of them, hear of a prompt and of an opinion.
func TestSendsAreTold(t *testing.T) {
	is := is.New(t)
	a, _, memberA := testPeers(t, "a", "d")
	b, hearB, memberB := testPeers(t, "b", "d")
	c, hearC, memberC := testPeers(t, "c", "e")
	d, hearD, memberD := testPeers(t, "d", "e")
	now := time.Now()
	for _, p := range []*Peers{a, b, c, d} {
		for _, m := range []vm.Member{memberA, memberB, memberC, memberD} {
			p.table.Heard(m, now)
			p.know(m.ControlLink)
		}
	}
	sent := relay.Sent{Upstream: "u", Model: "m", Tokens: 900, Parts: []reading.Part{{Key: 7, Tokens: 800}, {Key: 8, Tokens: 100}}, Takes: time.Second}
	a.Opinion(relay.Opinion{Model: "m", Largest: "l", Opinion: 0.5})
	a.Sent(sent)
	for _, h := range []*hearer{hearB, hearC, hearD} {
		is.Equal(<-h.sent, []relay.Sent{sent})
		is.Equal(<-h.opinions, []relay.Opinion{{Model: "m", Largest: "l", Opinion: 0.5}})
	}
}

// TestCells checks that the VMs of a data centre agree on who tells whom, and
// that no cell is much larger than planned, however many there are.
func TestCells(t *testing.T) {
	for _, n := range []int{1, 2, 6, 7, 10, 30, 61} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			identity, err := keys.NewByAddress("x", func(string) bool { return true })
			is.NoErr(err)
			endpoint, err := link.Listen("127.0.0.1:0", identity)
			is.NoErr(err)
			defer func() { is.NoErr(endpoint.Close()) }()
			now := time.Unix(100, 0)
			var members []vm.Member
			for i := range n {
				members = append(members, vm.Member{VM: contract.VMID(fmt.Sprintf("v%02d", i)), DataCentre: "d", ControlLink: fmt.Sprintf("10.0.0.%d:1", i)})
			}
			cells := make(map[int][]contract.VMID)
			for _, self := range members {
				p := &Peers{endpoint: endpoint, now: func() time.Time { return now }, table: vm.NewTable(self), listed: make(map[string]bool)}
				for _, m := range members {
					p.table.Heard(m, now)
				}
				mates, g := p.cell()
				all := []contract.VMID{self.VM}
				for _, m := range mates {
					all = append(all, m.VM)
				}
				slices.Sort(all)
				if before, ok := cells[g.Cell]; ok {
					is.Equal(all, before) // those of a cell agree on it
				}
				cells[g.Cell] = all
				is.True(len(all) <= cellSize+cellSize/2)
				is.True(g.Cell < g.Cells)
				is.Equal(g.Region, n <= regionMost)
			}
		})
	}
}
