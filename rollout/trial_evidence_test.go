package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"woaddoor/contract"
)

// TestSharedEvidenceDetectsBadReleaseSooner checks that VMs that see few responses each
// reject a bad release much sooner if they exchange evidence, and that evidence that arrives
// late or twice changes nothing.
func TestSharedEvidenceDetectsBadReleaseSooner(t *testing.T) {
	is := is.New(t)
	const vms = 7
	r := rand.New(rand.NewPCG(9, 9))
	responsesUntilRejected := func(share bool) int {
		var canaries []*Canary
		for range vms {
			canaries = append(canaries, NewCanary(testOrder(), 0.15, testOrder().IssuedAt))
		}
		var late TrialEvidence
		for n := 1; ; n++ {
			sender := n % vms
			self := Observer{VM: contract.VMID(rune('a' + sender))}
			if observe(canaries[sender], Response{OnTrial: true, Failed: r.Float64() < 0.34}, time.Unix(0, 0)) {
				return n
			}
			if share {
				e := canaries[sender].Evidence(RecipientLocal, self, "d")
				to := r.IntN(vms) // evidence goes to a random VM
				if canaries[to].MergeEvidence(append(e, late...), Observer{VM: contract.VMID(rune('a' + to))}, "d") {
					return n
				}
				late = e
			}
		}
	}
	alone, together := 0, 0
	for range 50 {
		alone += responsesUntilRejected(false)
		together += responsesUntilRejected(true)
	}
	is.True(together*2 < alone)
}

// member is a VM of a data centre with its canary.
type member struct {
	canary *Canary
	self   Observer
	dc     contract.DataCentreID
}

// newMember returns the VM with index i of a data centre.
func newMember(dc contract.DataCentreID, i int) member {
	return member{NewCanary(testOrder(), 0.15, testOrder().IssuedAt), Observer{VM: contract.VMID(string(dc) + string(rune('a'+i))), Incarnation: 1}, dc}
}

// TestEvidenceSizeDoesNotGrowWithVMs checks that the evidence that a VM sends does not grow with
// the number of VMs, and that every VM knows the exact counts of all VMs.
func TestEvidenceSizeDoesNotGrowWithVMs(t *testing.T) {
	is := is.New(t)
	var vms []member
	for _, dc := range []contract.DataCentreID{"d", "e", "f"} {
		for i := range 12 {
			vms = append(vms, newMember(dc, i))
		}
	}
	for _, m := range vms {
		for range 5 {
			observe(m.canary, Response{OnTrial: true}, time.Unix(0, 0))
		}
	}
	mostEntries := 0
	for range 3 { // every VM sends evidence to every VM, repeatedly
		for _, from := range vms {
			for _, to := range vms {
				e := from.canary.RemoteEvidence(from.self, from.dc)
				if from.dc == to.dc {
					e = from.canary.Evidence(RecipientLocal, from.self, from.dc)
				}
				mostEntries = max(mostEntries, len(e))
				to.canary.MergeEvidence(e, to.self, to.dc)
			}
		}
	}
	for _, m := range vms {
		is.Equal(m.canary.trialTotals(), Counts{Good: int64(5 * len(vms))})
	}
	is.True(mostEntries <= 2+2*3)
}

// TestHubsForwardAllEvidence passes evidence from VMs to their hubs, between hubs, to another data
// centre and down to its VMs, late and twice. Every VM must know the exact counts of all VMs. If two
// hubs sent each other only totals, each would take the larger of two partial sums for the whole.
func TestHubsForwardAllEvidence(t *testing.T) {
	is := is.New(t)
	newMembers := func(dc contract.DataCentreID, n int) []member {
		var out []member
		for i := range n {
			m := newMember(dc, i)
			for range 5 {
				observe(m.canary, Response{OnTrial: true}, time.Unix(0, 0))
			}
			out = append(out, m)
		}
		return out
	}
	local, remote := newMembers("d", 10), newMembers("e", 10)
	send := func(from, to member, recipient Recipient) {
		to.canary.MergeEvidence(from.canary.Evidence(recipient, from.self, from.dc), to.self, to.dc)
	}
	for range 3 {
		for _, all := range [][]member{local, remote} {
			hubs, leaves := all[:2], all[2:]
			for i, l := range leaves {
				send(l, hubs[i%2], RecipientLocal)
				send(hubs[i%2], l, RecipientLocal)
			}
			send(hubs[0], hubs[1], RecipientHub)
			send(hubs[1], hubs[0], RecipientHub)
		}
		send(local[0], remote[0], RecipientRemote)
		send(remote[1], local[1], RecipientRemote)
	}
	for _, m := range append(local, remote...) {
		is.Equal(m.canary.trialTotals(), Counts{Good: 100})
	}
}

// benchmarkedCanary returns the canary of a hub of a data centre, after a rollout in which each VM has counted
// 200 events on five routes.
func benchmarkedCanary(vms int) (c *Canary, self Observer) {
	issued := time.Now()
	order := ReleaseOrder{Service: "s", Release: "v2", IssuedAt: issued, Duration: 16 * time.Second}
	random := rand.New(rand.NewPCG(1, 2))
	for n := range vms {
		counted := NewCanary(order, 0.15, issued)
		for range 200 {
			at := issued.Add(time.Duration(random.IntN(16000)) * time.Millisecond)
			counted.count(routeGroup(fmt.Sprint("route", random.IntN(5))), at, []int{countSent, countAnswered, countGood, countOthersGood}[random.IntN(4)])
		}
		if n == 0 {
			c, self = counted, Observer{VM: "vm0"}
			continue
		}
		c.received[Observer{VM: contract.VMID(fmt.Sprint("vm", n))}] = counted.own
	}
	return c, self
}

// BenchmarkEvidence measures the evidence that a hub sends, by its recipient, and its size.
func BenchmarkEvidence(b *testing.B) {
	for _, vms := range []int{20, 57, 300} {
		c, self := benchmarkedCanary(vms)
		for to, name := range map[Recipient]string{RecipientLocal: "local", RecipientHub: "hub", RecipientRemote: "remote"} {
			b.Run(fmt.Sprintf("vms=%d/to=%s", vms, name), func(b *testing.B) {
				var bytes int
				for b.Loop() {
					raw, err := cbor.Marshal(c.Evidence(to, self, "dc1"))
					if err != nil {
						b.Fatal(err)
					}
					bytes = len(raw)
				}
				b.ReportMetric(float64(bytes), "B/message")
			})
		}
		b.Run(fmt.Sprintf("vms=%d/evaluate", vms), func(b *testing.B) {
			for b.Loop() {
				c.Evaluate()
			}
		})
	}
}
