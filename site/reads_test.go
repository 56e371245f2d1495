package site

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/keys"
	"woaddoor/link"
	"woaddoor/quarantine"
	"woaddoor/reading"
	"woaddoor/relay"
	"woaddoor/rollout"
	"woaddoor/scaling"
	"woaddoor/upstream"
	"woaddoor/vm"
)

// hearer notes what it is told of sends, opinions and rests; messages without any are left
// out.
type hearer struct {
	sent     chan []relay.Sent
	opinions chan []relay.Opinion
	rests    chan []relay.Rest
	limits   chan []upstream.LimitKnown
	known    []upstream.LimitKnown
	digest   uint64
}

func newHearer() *hearer {
	return &hearer{
		sent: make(chan []relay.Sent, 10), opinions: make(chan []relay.Opinion, 10), rests: make(chan []relay.Rest, 10),
		limits: make(chan []upstream.LimitKnown, 10),
	}
}

func (*hearer) Evidence(rollout.Hearer) rollout.Evidence { return nil }
func (*hearer) Hear(rollout.Evidence) bool               { return false }
func (*hearer) OrderAges() []relay.OrderAge              { return nil }
func (*hearer) HearAges([]relay.OrderAge)                {}
func (*hearer) Suspects() []quarantine.Told              { return nil }
func (h *hearer) HearSent(s []relay.Sent)                { pass(h.sent, s) }
func (h *hearer) HearOpinions(o []relay.Opinion)         { pass(h.opinions, o) }
func (h *hearer) HearRests(r []relay.Rest)               { pass(h.rests, r) }
func (h *hearer) Limits() []upstream.LimitKnown          { return h.known }
func (h *hearer) LimitsDigest() uint64                   { return h.digest }
func (h *hearer) HearLimits(k []upstream.LimitKnown, _ bool, _ contract.VMID) {
	pass(h.limits, k)
}

// pass passes on what a message tells, unless it tells nothing of the kind.
func pass[T any](to chan []T, told []T) {
	if len(told) > 0 {
		to <- told
	}
}

func (*hearer) Work() map[contract.ServiceID]scaling.Work { return nil }

func (*hearer) HearSuspects([]quarantine.Told, contract.VMID) bool { return false }

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

// meetAll tells a VM of others. It may be spoken to already by one that was told before.
func (p *Peers) meetAll(members []vm.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range members {
		p.table.Heard(m, time.Now())
		p.know(m.ControlLink)
	}
}

// fourPeers returns a VM and what three others hear that it knows: one of its data centre and
// two of another.
func fourPeers(t *testing.T) (a *Peers, others []*hearer) {
	t.Helper()
	a, _, memberA := testPeers(t, "a", "d")
	b, hearB, memberB := testPeers(t, "b", "d")
	c, hearC, memberC := testPeers(t, "c", "e")
	d, hearD, memberD := testPeers(t, "d", "e")
	for _, p := range []*Peers{a, b, c, d} {
		p.meetAll([]vm.Member{memberA, memberB, memberC, memberD})
	}
	return a, []*hearer{hearB, hearC, hearD}
}

// TestSendsAreTold checks that the VMs of the data centre, and those of another
// one through one of them, hear of a prompt and of an opinion.
func TestSendsAreTold(t *testing.T) {
	is := is.New(t)
	a, others := fourPeers(t)
	sent := relay.Sent{Upstream: "u", Model: "m", Tokens: 900, Parts: []reading.Part{{Key: 7, Tokens: 800}, {Key: 8, Tokens: 100}}, Takes: time.Second}
	rest := relay.Rest{Life: contract.Life{Upstream: "u", Born: 3}, Left: time.Second}
	a.Opinion(relay.Opinion{Model: "m", Largest: "l", Opinion: 0.5})
	a.Rest(rest)
	a.Sent(sent)
	for _, h := range others {
		is.Equal(<-h.sent, []relay.Sent{sent})
		is.Equal(<-h.opinions, []relay.Opinion{{Model: "m", Largest: "l", Opinion: 0.5}})
		is.Equal(<-h.rests, []relay.Rest{rest})
	}
}

// TestReadsReachAll checks that what each VM of a data centre tells reaches every
// other one once, and never itself, by way of its hubs: told back, a prompt would
// count twice in the queue of its engine.
func TestReadsReachAll(t *testing.T) {
	is := is.New(t)
	const n = 7
	var all []*Peers
	var hearers []*hearer
	var members []vm.Member
	for i := range n {
		p, h, m := testPeers(t, fmt.Sprintf("v%d", i), "d")
		all, hearers, members = append(all, p), append(hearers, h), append(members, m)
	}
	for _, p := range all {
		p.meetAll(members)
	}
	for _, p := range all { // leaves make themselves known to their hubs
		if v := p.look(); !v.isHub {
			is.True(p.tell(t.Context(), p.hubOf(v)[0].ControlLink, time.Second, p.wordToHub()))
		}
	}
	for i, p := range all {
		p.Sent(relay.Sent{Upstream: contract.UpstreamID(fmt.Sprint(i)), Model: "m", Tokens: 9, Takes: time.Second})
	}
	for i, h := range hearers {
		heard := make(map[contract.UpstreamID]int)
		for len(heard) < n-1 {
			for _, s := range <-h.sent {
				heard[s.Upstream]++
			}
		}
		is.Equal(heard[contract.UpstreamID(fmt.Sprint(i))], 0)
		for _, times := range heard {
			is.Equal(times, 1)
		}
	}
}

// TestNobodyIsToldBack checks whom a hub passes something on to.
func TestNobodyIsToldBack(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		told told
		hub  bool
		goes bool
	}{
		{told{from: "a"}, false, true},
		{told{from: "a"}, true, true},
		{told{from: "a", here: true}, false, true},
		{told{from: "a", here: true}, true, false}, // all hubs know it
		{told{from: "b"}, false, false},
		{told{from: "b"}, true, false}, // a leaf that thinks it is a hub
	} {
		is.Equal(c.told.goesTo("b", c.hub), c.goes)
	}
}
