package site

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"woaddoor/contract"
	"woaddoor/link"
	"woaddoor/relay"
	"woaddoor/upstream"
	"woaddoor/vm"
)

// UpstreamReport reports what VMs have sent to upstreams and observed of upstreams.
// If a report is lost or late, the recipient chooses upstreams a little less well.
type UpstreamReport struct {
	Sent []relay.SentPrompt `cbor:"1,keyasint,omitempty"`
	// Forward asks the recipient to forward the report within its data centre.
	Forward bool `cbor:"2,keyasint,omitempty"`
	// Confidence holds what models report about their own answers.
	Confidence []relay.ConfidenceReport `cbor:"3,keyasint,omitempty"`
	// From is the sending VM.
	From contract.VMID `cbor:"4,keyasint,omitempty"`
	// Backoffs are the back-offs that upstreams have requested.
	Backoffs []relay.Backoff `cbor:"5,keyasint,omitempty"`
	// Limits are the rate limits of upstreams as the sender knows them.
	Limits []upstream.LimitUpdate `cbor:"6,keyasint,omitempty"`
}

// Timings and limits of UpstreamReport.
const (
	// reportInterval is the minimum time between two rounds of messages with a VM's own reports.
	// An engine takes longer than reportInterval for the prefill (processing) of a prompt,
	// and one message reports all requests of the interval.
	reportInterval = 15 * time.Millisecond
	// forwardInterval is the minimum time between two rounds of messages in which a hub
	// forwards reports. Half of forwardInterval is added to the mean age of forwarded reports.
	// By comparison, engines take 50 to 300 ms for a prefill.
	// Each round costs one message to each leaf (a VM that uses this VM as its hub).
	forwardInterval = 100 * time.Millisecond
	// maxQueuedReports limits the reports that wait to be sent.
	// The constants whose names end in PerMessage limit the reports in a message
	// so that the message fits into a packet.
	maxQueuedReports        = 512
	maxSentPerMessage       = 10
	maxConfidencePerMessage = 8
	maxBackoffsPerMessage   = 16
	maxLimitsPerMessage     = 16
	// maxVMsForRegionalReports is the number of VMs up
	// to which reports also go to other data centres.
	maxVMsForRegionalReports = 12
)

// reportQueue holds the reports that are waiting to be sent.
type reportQueue struct {
	// ownRounds limits how often this VM sends its own reports.
	// forwardRounds limits how often a hub forwards the reports of other VMs.
	ownRounds, forwardRounds *coalescer

	// mu guards the fields below. pending holds this VM's own reports.
	// pendingForward holds the reports that this VM forwards as a hub.
	mu             sync.Mutex
	pending        []report
	pendingForward []report
}

// report is one report and the VM that sent it.
type report struct {
	from contract.VMID
	// knownToHubs means that the other hubs of this data centre already have the report.
	knownToHubs bool
	sent        *relay.SentPrompt
	confidence  *relay.ConfidenceReport
	backoff     *relay.Backoff
	limit       *upstream.LimitUpdate
	// remote means that the report goes to other data centres regardless of the number of VMs.
	remote bool
}

// enqueue appends a report to a list that is sent with the next round of messages.
// enqueue drops the report if the list is full. The caller holds mu.
func (q *reportQueue) enqueue(list *[]report, r report) {
	if len(*list) < maxQueuedReports {
		*list = append(*list, r)
	}
}

// take empties a list of the queue and returns its former contents.
func (q *reportQueue) take(list *[]report) []report {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := *list
	*list = nil
	return taken
}

// ReportSent reports a prompt to other VMs without blocking.
func (p *Peers) ReportSent(s relay.SentPrompt) { p.queueReport(report{sent: &s}) }

// ReportConfidence reports a model's confidence in its own answer to other VMs.
// The confidence is not urgent and goes out with the next prompt that is reported.
func (p *Peers) ReportConfidence(c relay.ConfidenceReport) {
	p.reports.mu.Lock()
	defer p.reports.mu.Unlock()
	p.reports.enqueue(&p.reports.pending, report{confidence: &c})
}

// ReportBackoff reports to other VMs without blocking that an upstream has requested a back-off.
func (p *Peers) ReportBackoff(b relay.Backoff) { p.queueReport(report{backoff: &b}) }

// ReportLimit reports a rate limit of an upstream to other VMs without blocking.
// toRemote sends the rate limit to other data centres too, regardless of the number of VMs.
func (p *Peers) ReportLimit(limit upstream.LimitUpdate, toRemote bool) {
	p.queueReport(report{limit: &limit, remote: toRemote})
}

// queueReport sends a report with this VM's next round of messages.
func (p *Peers) queueReport(r report) {
	p.reports.mu.Lock()
	p.reports.enqueue(&p.reports.pending, r)
	p.reports.mu.Unlock()
	p.reports.ownRounds.run(p.sendReports)
}

// sendReports sends this VM's own reports.
// A leaf sends its reports to its hub, which forwards the reports.
// A hub sends its reports to the other hubs and to its leaves.
// In a small deployment all reports also go to each other data centre.
// In a larger deployment only reports marked as remote go to other data centres.
func (p *Peers) sendReports() {
	pending := p.reports.take(&p.reports.pending)
	v := p.currentView()
	if !v.isHub {
		for _, m := range p.hubsForLeaf(v)[:min(1, len(v.hubs))] {
			p.sendReportMessages(m, pending, false)
		}
	} else {
		p.queueForward(pending)
	}
	if !v.scope.Region {
		pending = slices.DeleteFunc(slices.Clone(pending), func(r report) bool { return !r.remote })
		if len(pending) == 0 {
			return
		}
	}
	for _, m := range p.oneDelegatePerDataCentre(v) {
		p.sendReportMessages(m, pending, true)
	}
}

// queueForward forwards reports with this hub's next round of messages.
// A hub without leaves forwards the reports at once,
// because the number of leaves makes a round of messages expensive.
func (p *Peers) queueForward(reports []report) {
	p.reports.mu.Lock()
	for _, r := range reports {
		p.reports.enqueue(&p.reports.pendingForward, r)
	}
	p.reports.mu.Unlock()
	if !p.hasLeaves() {
		p.forwardReports()
		return
	}
	p.reports.forwardRounds.run(p.forwardReports)
}

// forwardReports sends the reports of this hub and its leaves to the other hubs,
// and sends all reports to its leaves. No VM receives its own reports back.
func (p *Peers) forwardReports() {
	pending := p.reports.take(&p.reports.pendingForward)
	for _, m := range p.otherHubs(p.currentView()) {
		p.sendReportMessages(m, reportsFor(pending, m.VM, true), false)
	}
	for _, m := range p.liveLeaves() {
		p.sendReportMessages(m, reportsFor(pending, m.VM, false), false)
	}
}

// reportsFor returns the reports to send to a VM, which is a hub or a leaf of this VM.
func reportsFor(reports []report, to contract.VMID, hub bool) []report {
	return slices.DeleteFunc(slices.Clone(reports), func(r report) bool { return !r.shouldSendTo(to, hub) })
}

// shouldSendTo reports whether a VM receives a report.
// No VM receives its own report, even if it is a leaf of this hub but considers itself a hub.
// A hub does not receive reports that all hubs already have.
func (r report) shouldSendTo(to contract.VMID, toHub bool) bool {
	return r.from != to && !(toHub && r.knownToHubs)
}

// sendReportMessages sends reports to a VM without blocking,
// in messages that each fit into a packet.
func (p *Peers) sendReportMessages(to vm.Member, reports []report, forward bool) {
	from := p.AsWatcher().VM
	var messages []UpstreamReport
	m := UpstreamReport{From: from, Forward: forward}
	for _, r := range reports {
		switch {
		case r.sent != nil:
			m.Sent = append(m.Sent, *r.sent)
		case r.backoff != nil:
			m.Backoffs = append(m.Backoffs, *r.backoff)
		case r.limit != nil:
			m.Limits = append(m.Limits, *r.limit)
		default:
			m.Confidence = append(m.Confidence, *r.confidence)
		}
		if m.isFull() {
			messages = append(messages, m)
			m = UpstreamReport{From: from, Forward: forward}
		}
	}
	if len(m.Sent)+len(m.Confidence)+len(m.Backoffs)+len(m.Limits) > 0 {
		messages = append(messages, m)
	}
	if len(messages) == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), localTimeout)
		defer cancel()
		for _, m := range messages {
			if err := link.SendOneWay(ctx, p.endpoint, to.ControlAddress, link.KindUpstreamReport, m); err != nil {
				p.logSilentPeer(err)
				return
			}
		}
	}()
}

// isFull reports whether a message can take no more reports of some kind.
func (m *UpstreamReport) isFull() bool {
	return len(m.Sent) == maxSentPerMessage || len(m.Confidence) == maxConfidencePerMessage || len(m.Backoffs) == maxBackoffsPerMessage ||
		len(m.Limits) == maxLimitsPerMessage
}

// oneDelegatePerDataCentre returns a random delegate
// (a VM that exchanges messages with other data centres) of each other data centre of the region.
func (p *Peers) oneDelegatePerDataCentre(v *view) []vm.Member {
	var chosen []vm.Member
	for _, dc := range slices.Sorted(maps.Keys(v.remote)) {
		if members := v.remote[dc]; len(members) > 0 && p.sameRegion(dc) {
			chosen = append(chosen, members[rand.IntN(len(members))])
		}
	}
	return chosen
}

func (p *Peers) handleReport(_ context.Context, _ string, m UpstreamReport) (struct{}, error) {
	p.mu.Lock()
	exchange := p.relay
	_, fromLeaf := p.leaves[m.From]
	p.mu.Unlock()
	if exchange != nil {
		exchange.MergeSent(m.Sent)
		exchange.MergeConfidence(m.Confidence)
		exchange.MergeBackoffs(m.Backoffs)
		exchange.MergeLimits(m.Limits, true, m.From)
	}
	// Reports from a leaf or another data centre go to the other hubs and to the leaves.
	// Reports from another hub go to the leaves only.
	if m.Forward || fromLeaf || p.hasLeaves() {
		p.queueForward(m.reports(!fromLeaf && !m.Forward))
	}
	return struct{}{}, nil
}

// reports returns the individual reports in a message.
func (m UpstreamReport) reports(knownToHubs bool) []report {
	var out []report
	for i := range m.Sent {
		out = append(out, report{from: m.From, knownToHubs: knownToHubs, sent: &m.Sent[i]})
	}
	for i := range m.Confidence {
		out = append(out, report{from: m.From, knownToHubs: knownToHubs, confidence: &m.Confidence[i]})
	}
	for i := range m.Backoffs {
		out = append(out, report{from: m.From, knownToHubs: knownToHubs, backoff: &m.Backoffs[i]})
	}
	for i := range m.Limits {
		out = append(out, report{from: m.From, knownToHubs: knownToHubs, limit: &m.Limits[i]})
	}
	return out
}
