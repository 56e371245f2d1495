package site

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/fairshare"
	"woaddoor/prefill"
	"woaddoor/quarantine"
	"woaddoor/relay"
	"woaddoor/rollout"
	"woaddoor/scaling"
	"woaddoor/upstream"
	"woaddoor/vm"
)

// recordingRelay records the reports that it receives, except empty ones.
type recordingRelay struct {
	sent       chan []relay.SentPrompt
	confidence chan []relay.ConfidenceReport
	backoffs   chan []relay.Backoff
	limits     chan []upstream.LimitUpdate

	// mu guards the fields below: an endpoint serves other VMs from its start.
	mu     sync.Mutex
	known  []upstream.LimitUpdate
	digest uint64
	// demand is the demand at the VM, and others the demand of other VMs that it last received.
	demand, others fairshare.Demands
}

// setKnown sets the limits that the VM knows and their digest.
func (r *recordingRelay) setKnown(known []upstream.LimitUpdate, digest uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.known, r.digest = known, digest
}

func newRecordingRelay() *recordingRelay {
	return &recordingRelay{
		sent: make(chan []relay.SentPrompt, 10), confidence: make(chan []relay.ConfidenceReport, 10), backoffs: make(chan []relay.Backoff, 10),
		limits: make(chan []upstream.LimitUpdate, 10),
	}
}

func (*recordingRelay) Evidence(rollout.Recipient) rollout.TrialEvidence { return nil }
func (*recordingRelay) MergeEvidence(rollout.TrialEvidence) bool         { return false }
func (*recordingRelay) OrderAges() []relay.OrderAge                      { return nil }
func (*recordingRelay) MergeOrderAges([]relay.OrderAge)                  {}
func (*recordingRelay) Suspects() []quarantine.Update                    { return nil }
func (r *recordingRelay) MergeSent(sent []relay.SentPrompt)              { sendNonEmpty(r.sent, sent) }
func (r *recordingRelay) MergeConfidence(reports []relay.ConfidenceReport) {
	sendNonEmpty(r.confidence, reports)
}
func (r *recordingRelay) MergeBackoffs(backoffs []relay.Backoff) { sendNonEmpty(r.backoffs, backoffs) }

func (r *recordingRelay) Limits() []upstream.LimitUpdate {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known
}

func (r *recordingRelay) LimitsDigest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.digest
}

func (r *recordingRelay) MergeLimits(limits []upstream.LimitUpdate, _ bool, _ contract.VMID) {
	sendNonEmpty(r.limits, limits)
}

func (r *recordingRelay) Demand() fairshare.Demands {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.demand
}

func (r *recordingRelay) SetOthersDemand(d fairshare.Demands) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.others = d
}

// sendNonEmpty sends items unless there are none.
func sendNonEmpty[T any](to chan []T, items []T) {
	if len(items) > 0 {
		to <- items
	}
}

func (*recordingRelay) OfferedLoad() map[contract.ServiceID]scaling.Load { return nil }

func (*recordingRelay) MergeSuspects([]quarantine.Update, contract.VMID) bool { return false }

// testPeers returns Peers of a VM on loopback.
func testPeers(t *testing.T, name string, dc contract.DataCentreID) (*Peers, *recordingRelay, vm.Member) {
	t.Helper()
	endpoint := listenOnLoopback(t, contract.VMID(name))
	self := vm.Member{VM: contract.VMID(name), DataCentre: dc, Incarnation: 1, ControlAddress: endpoint.Address()}
	p := NewPeers(&PeersOptions{
		Endpoint: endpoint, Self: self, Log: zap.NewNop(), Now: time.Now,
		Regions: map[contract.DataCentreID]string{"d": "r", "e": "r"},
	})
	recorder := newRecordingRelay()
	p.attachRelay(recorder)
	go func() { _ = endpoint.Serve(t.Context()) }() // ends with the endpoint
	return p, recorder, self
}

// addMembers adds VMs to the table of a VM, which may already be receiving messages.
func (p *Peers) addMembers(members []vm.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range members {
		p.table.ApplyHeartbeat(m, time.Now())
		p.recordIP(m.ControlAddress)
	}
}

// fourPeers connects four VMs, two in each of two data centres. It returns the Peers of
// one and the recording relays of the others, beginning with the one in the same data
// centre.
func fourPeers(t *testing.T) (a *Peers, others []*recordingRelay) {
	t.Helper()
	a, _, memberA := testPeers(t, "a", "d")
	b, relayB, memberB := testPeers(t, "b", "d")
	c, relayC, memberC := testPeers(t, "c", "e")
	d, relayD, memberD := testPeers(t, "d", "e")
	for _, p := range []*Peers{a, b, c, d} {
		p.addMembers([]vm.Member{memberA, memberB, memberC, memberD})
	}
	return a, []*recordingRelay{relayB, relayC, relayD}
}

// TestReportsReachOtherDataCentre checks that reports reach the VMs of the same data
// centre and, through one of its VMs, those of another data centre.
func TestReportsReachOtherDataCentre(t *testing.T) {
	is := is.New(t)
	a, others := fourPeers(t)
	sent := relay.SentPrompt{Upstream: "u", Model: "m", Tokens: 900, Parts: []prefill.Part{{Key: 7, Tokens: 800}, {Key: 8, Tokens: 100}}, PrefillTime: time.Second}
	backoff := relay.Backoff{Instance: contract.UpstreamInstance{Upstream: "u", Incarnation: 3}, Remaining: time.Second}
	a.ReportConfidence(relay.ConfidenceReport{Model: "m", Largest: "l", Confidence: 0.5})
	a.ReportBackoff(backoff)
	a.ReportSent(sent)
	for _, recorder := range others {
		is.Equal(<-recorder.sent, []relay.SentPrompt{sent})
		is.Equal(<-recorder.confidence, []relay.ConfidenceReport{{Model: "m", Largest: "l", Confidence: 0.5}})
		is.Equal(<-recorder.backoffs, []relay.Backoff{backoff})
	}
}

// TestReportsReachEachVMOnce checks that the reports of each VM of a data centre reach
// every other VM exactly once through the hubs, and never their sender. A prompt that is
// reported back would count twice in the queue of its engine.
func TestReportsReachEachVMOnce(t *testing.T) {
	is := is.New(t)
	const n = 7
	var all []*Peers
	var relays []*recordingRelay
	var members []vm.Member
	for i := range n {
		p, recorder, m := testPeers(t, fmt.Sprintf("v%d", i), "d")
		all, relays, members = append(all, p), append(relays, recorder), append(members, m)
	}
	for _, p := range all {
		p.addMembers(members)
	}
	for _, p := range all { // leaves register with their hubs
		if v := p.currentView(); !v.isHub {
			is.True(p.exchangeGossip(t.Context(), p.hubsForLeaf(v)[0].ControlAddress, time.Second, p.gossipToHub()))
		}
	}
	for i, p := range all {
		p.ReportSent(relay.SentPrompt{Upstream: contract.UpstreamID(fmt.Sprint(i)), Model: "m", Tokens: 9, PrefillTime: time.Second})
	}
	for i, recorder := range relays {
		received := make(map[contract.UpstreamID]int)
		for len(received) < n-1 {
			for _, s := range <-recorder.sent {
				received[s.Upstream]++
			}
		}
		is.Equal(received[contract.UpstreamID(fmt.Sprint(i))], 0)
		for _, times := range received {
			is.Equal(times, 1)
		}
	}
}

// TestReportsAreNotSentBack checks which VMs a hub forwards a report to.
func TestReportsAreNotSentBack(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		report report
		toHub  bool
		want   bool
	}{
		{report{from: "a"}, false, true},
		{report{from: "a"}, true, true},
		{report{from: "a", knownToHubs: true}, false, true},
		{report{from: "a", knownToHubs: true}, true, false}, // all hubs have it
		{report{from: "b"}, false, false},
		{report{from: "b"}, true, false}, // a leaf that considers itself a hub
	} {
		is.Equal(c.report.shouldSendTo("b", c.toHub), c.want)
	}
}
