package site

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/contract"
	"woaddoor/link"
	"woaddoor/upstream"
	"woaddoor/vm"
)

func (r *recordingRelay) OverflowReport() (upstream.OverflowReport, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.summary, len(r.summary.Services) > 0
}

func (r *recordingRelay) MergeOverflowReport(report upstream.OverflowReport) {
	sendNonEmpty(r.overflow, []upstream.OverflowReport{report})
}

// engineSummary is a summary with values as large as they get in deployments.
func engineSummary(services int) upstream.OverflowReport {
	r := upstream.OverflowReport{From: contract.VMInstance{VM: "lanus-26", Incarnation: 1796281150056}, DataCentre: "lanus", MadeAt: 86_400_000}
	for n := range services {
		r.Services = append(r.Services, upstream.ServiceSummary{Service: contract.ServiceID(fmt.Sprint("sezi", n, "a")), WaitMillis: 2500, FreePercent: 75, Engines: 30})
	}
	return r
}

// connectCentres connects one VM of data centre d with two of data centre e, besides silent VMs.
func connectCentres(t *testing.T, silent int) (a *Peers, relayA *recordingRelay, others []*recordingRelay) {
	t.Helper()
	a, relayA, memberA := testPeers(t, "a", "d")
	b, relayB, memberB := testPeers(t, "b", "e")
	c, relayC, memberC := testPeers(t, "c", "e")
	members := []vm.Member{memberA, memberB, memberC}
	for n := range silent {
		members = append(members, vm.Member{VM: contract.VMID(fmt.Sprint("silent", n)), DataCentre: "f", Incarnation: 1, ControlAddress: fmt.Sprint("127.0.0.1:", n+1)})
	}
	for _, p := range []*Peers{a, b, c} {
		p.addMembers(members)
	}
	return a, relayA, []*recordingRelay{relayB, relayC}
}

// TestOverflowReportsReachOtherDataCentre checks that the summary of a data centre reaches all VMs
// of another one. A VM without it assumes a wait and keeps prompts that would be served elsewhere.
func TestOverflowReportsReachOtherDataCentre(t *testing.T) {
	is := is.New(t)
	a, relayA, others := connectCentres(t, maxVMsForRegionalReports)
	relayA.summary = engineSummary(2)
	a.reportOverflowOnce()
	for _, recorder := range others {
		select {
		case got := <-recorder.overflow:
			is.Equal(got, []upstream.OverflowReport{engineSummary(2)})
		case <-time.After(5 * time.Second):
			t.Fatal("no summary received")
		}
	}
}

// TestNoOverflowReportsInSmallDeployment checks that no summaries are sent where VMs of other data
// centres learn of each prompt, nor by VMs that have nothing to report.
func TestNoOverflowReportsInSmallDeployment(t *testing.T) {
	is := is.New(t)
	small, relaySmall, _ := connectCentres(t, 0)
	relaySmall.summary = engineSummary(2)
	small.reportOverflowOnce()
	large, _, _ := connectCentres(t, maxVMsForRegionalReports)
	large.reportOverflowOnce()
	for _, p := range []*Peers{small, large} {
		time.Sleep(50 * time.Millisecond) // messages are sent without blocking
		for _, s := range p.endpoint.SentCounts() {
			is.Equal(s.Messages, int64(0))
		}
	}
}

// TestOverflowReportBytes states the bytes of the summaries between VMs, and checks that a summary
// fits into a packet together with a full message of prompts.
func TestOverflowReportBytes(t *testing.T) {
	is := is.New(t)
	const centres, services, packet = 3, 3, 1200
	m := UpstreamReport{From: "lanus-26", Forward: true, Overflow: []upstream.OverflowReport{engineSummary(services)}}
	body, err := link.Encode(m)
	is.NoErr(err)
	is.True(len(body) < packet/4)
	perSecond := float64(delegates) / overflowInterval.Seconds()
	for _, vms := range []int{79, 984} {
		each := float64(len(body)) * perSecond * (centres - 1)
		local := float64(vms) / centres
		leaves := local / float64(vm.HubCount(int(local)))
		t.Logf("%d VMs in %d data centres, %d services: %d bytes a report; a VM receives %.0f bytes/s, a hub sends %.0f bytes/s, data centres exchange %.0f bytes/s",
			vms, centres, services, len(body), each, each*leaves, float64(len(body))*perSecond*centres*(centres-1))
	}
}
