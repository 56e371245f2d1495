package site

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"woaddoor/contract"
	"woaddoor/upstream"
	"woaddoor/vm"
)

func knownLimit(version uint64) []upstream.LimitUpdate { return knownLimitOf("u", version) }

func knownLimitOf(id contract.UpstreamID, version uint64) []upstream.LimitUpdate {
	return []upstream.LimitUpdate{{
		Instance: contract.UpstreamInstance{Upstream: id, Incarnation: 3}, Limit: upstream.RateLimit{Statement: upstream.LimitStated, PerSecond: 1.5}, Version: version,
	}}
}

// nextLimits returns the limits in the next report that a VM receives.
func nextLimits(t *testing.T, recorder *recordingRelay) []upstream.LimitUpdate {
	t.Helper()
	select {
	case limits := <-recorder.limits:
		return limits
	case <-time.After(5 * time.Second):
		t.Fatal("no report of limits received")
		return nil
	}
}

// TestLimitsReachAllVMs checks that all VMs receive a report when a limit begins or ends,
// and that those of the same data centre receive one while it stays in force.
func TestLimitsReachAllVMs(t *testing.T) {
	is := is.New(t)
	a, others := fourPeers(t)
	a.ReportLimit(knownLimit(1)[0], true)
	for _, recorder := range others {
		is.Equal(nextLimits(t, recorder), knownLimit(1))
	}
	a.ReportLimit(knownLimit(2)[0], false)
	is.Equal(nextLimits(t, others[0]), knownLimit(2))
}

// TestRemoteDataCentreReceivesLimitChanges checks that in a large deployment VMs of other
// data centres receive changes of a limit, but no reports that it stays in force.
func TestRemoteDataCentreReceivesLimitChanges(t *testing.T) {
	is := is.New(t)
	a, _, memberA := testPeers(t, "a", "d")
	c, relayC, memberC := testPeers(t, "c", "e")
	members := []vm.Member{memberA, memberC}
	for n := range maxVMsForRegionalReports {
		members = append(members, vm.Member{VM: contract.VMID(fmt.Sprint("silent", n)), DataCentre: "d", Incarnation: 1, ControlAddress: fmt.Sprint("127.0.0.1:", n+1)})
	}
	for _, p := range []*Peers{a, c} {
		p.addMembers(members)
	}
	a.ReportLimit(knownLimit(1)[0], false)
	time.Sleep(2 * reportInterval)
	a.ReportLimit(knownLimit(2)[0], true)
	is.Equal(nextLimits(t, relayC), knownLimit(2))
}

// TestGossipReconcilesLimits exchanges gossip between two VMs that know different limits.
// Each must receive what the other knows, even though no reports were sent before. A VM
// with the same limits receives none.
func TestGossipReconcilesLimits(t *testing.T) {
	is := is.New(t)
	a, relayA, memberA := testPeers(t, "a", "d")
	b, relayB, memberB := testPeers(t, "b", "d")
	for _, p := range []*Peers{a, b} {
		p.addMembers([]vm.Member{memberA, memberB})
	}
	relayA.setKnown(knownLimitOf("u", 1), 1)
	relayB.setKnown(knownLimitOf("w", 2), 2)
	is.True(a.exchangeGossip(t.Context(), memberB.ControlAddress, localTimeout, a.gossipFor(audienceHub)))
	is.Equal(nextLimits(t, relayA), knownLimitOf("w", 2))
	is.Equal(nextLimits(t, relayB), knownLimitOf("u", 1))
	got, err := b.handleGossip(t.Context(), "", GossipMessage{Self: memberA, LimitsDigest: 2})
	is.NoErr(err)
	is.Equal(len(got.Limits), 0)
}

// TestLimitsToSend checks that another VM is sent only the limits that it lacks. It
// forwards each of them to all its leaves.
func TestLimitsToSend(t *testing.T) {
	is := is.New(t)
	known := func(id string, version uint64, statement upstream.LimitStatement) upstream.LimitUpdate {
		return upstream.LimitUpdate{Instance: contract.UpstreamInstance{Upstream: contract.UpstreamID(id)}, Limit: upstream.RateLimit{Statement: statement}, Version: version}
	}
	ours := []upstream.LimitUpdate{
		known("same", 2, upstream.LimitStated), known("older", 2, upstream.LimitStated), known("newer", 4, upstream.LimitNone),
		known("missing", 1, upstream.LimitStated), known("ended and missing", 2, upstream.LimitNone),
	}
	theirs := []upstream.LimitUpdate{known("same", 2, upstream.LimitStated), known("older", 3, upstream.LimitStated), known("newer", 3, upstream.LimitStated)}
	var sent []contract.UpstreamID
	for _, x := range limitsToSend(ours, theirs) {
		sent = append(sent, x.limit.Instance.Upstream)
	}
	is.Equal(sent, []contract.UpstreamID{"newer", "missing"})
}

// BenchmarkLimitReports measures the reports on 200 upstreams that stay limited: the size
// of one, and the bytes per second that a VM receives.
func BenchmarkLimitReports(b *testing.B) {
	const limited, localInterval = 200, 2.0 // seconds between reports, as in package upstream
	update := upstream.LimitUpdate{Instance: contract.UpstreamInstance{Upstream: "i-4b849f82bb", Incarnation: 1796281150056}, Limit: upstream.RateLimit{Statement: upstream.LimitStated, PerSecond: 1.6}, Version: 12}
	one, err := cbor.Marshal(update)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := cbor.Marshal(update); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(one)), "bytes/limit")
	b.ReportMetric(limited/5*float64(len(one))/localInterval, "bytes/s/VM-of-5-centres")
}
