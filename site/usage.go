package site

import (
	"context"
	"time"

	"woaddoor/clock"
	"woaddoor/contract"
	"woaddoor/link"
	"woaddoor/scaling"
	"woaddoor/usage"
	"woaddoor/vm"
)

// UsageReport is the usage (counts of started requests) that a hub has collected
// since the lease holder last acknowledged a report.
// Lost and duplicate reports do no harm: the next report contains the same or more.
type UsageReport struct {
	From       contract.VMInstance   `cbor:"1,keyasint"`
	DataCentre contract.DataCentreID `cbor:"2,keyasint"`
	Parts      []usage.Part          `cbor:"3,keyasint,omitempty"`
	// Load is the load that the sender and its leaves put on the upstreams of each service.
	Load map[contract.ServiceID]scaling.Load `cbor:"5,keyasint,omitempty"`
	// ShuttingDown means that the sender is about to end,
	// so that the recipient need not wait for further reports.
	ShuttingDown bool `cbor:"4,keyasint,omitempty"`
}

// usageReportInterval is the period in which a hub reports the usage that the hub has collected.
// If a VM or a whole data centre is lost, the usage that was not reported before is missing.
const usageReportInterval = 500 * time.Millisecond

// instanceOf returns the instance that a member record describes.
func instanceOf(m vm.Member) contract.VMInstance {
	return contract.VMInstance{VM: m.VM, Incarnation: m.Incarnation}
}

// usageFor returns the usage to send to a recipient,
// and a sequence mark with which the usage is acknowledged.
func (p *Peers) usageFor(recipient contract.VMInstance) ([]usage.Part, uint64) {
	if p.usage == nil {
		return nil, 0
	}
	return p.usage.ChangesFor(recipient)
}

// acknowledgeUsage records that a recipient has received usage up to a sequence mark.
func (p *Peers) acknowledgeUsage(recipient contract.VMInstance, sequence uint64) {
	if p.usage != nil {
		p.usage.Acknowledge(recipient, sequence)
	}
}

func (p *Peers) recordUsage(parts []usage.Part) {
	if p.usage != nil {
		p.usage.Merge(parts)
	}
}

// reportUsage reports the usage collected by this hub to the lease holder until ctx ends.
func (p *Peers) reportUsage(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, usageReportInterval)
		if p.currentView().isHub && !p.shuttingDown.Load() {
			p.reportUsageOnce(ctx)
		}
	}
}

// reportUsageOnce reports the usage known to this VM to the lease holder.
func (p *Peers) reportUsageOnce(ctx context.Context) {
	if p.lease == nil {
		return
	}
	leaseSeen, _, _ := p.lease.Latest()
	holder := leaseSeen.Object.Holder
	address := p.leaseHolderLink(holder)
	p.mu.Lock()
	self := p.table.Self()
	p.mu.Unlock()
	if address == "" || holder == instanceOf(self) {
		return
	}
	usageReport := UsageReport{From: instanceOf(self), DataCentre: self.DataCentre, ShuttingDown: p.shuttingDown.Load()}
	var sequence uint64
	usageReport.Parts, sequence = p.usageFor(holder)
	usageReport.Load = p.localAndLeafLoad()
	ctx, cancel := context.WithTimeout(ctx, remoteTimeout)
	defer cancel()
	if _, err := link.Call[UsageReport, struct{}](ctx, p.endpoint, address, link.KindUsageReport, usageReport); err != nil {
		p.logSilentPeer(err) // the next report includes this usage
		return
	}
	p.acknowledgeUsage(holder, sequence)
}

// handleUsageReport records the usage and load that another hub has reported.
func (p *Peers) handleUsageReport(_ context.Context, _ string, r UsageReport) (struct{}, error) {
	p.recordLoad(p.hubLoad, r.From, r.Load)
	if p.usage != nil {
		p.usage.Merge(r.Parts)
		p.usage.CollectorReported(r.From, r.DataCentre, r.ShuttingDown)
	}
	return struct{}{}, nil
}

// FlushUsage reports the remaining usage of this VM before it shuts down.
func (p *Peers) FlushUsage(ctx context.Context) {
	p.shuttingDown.Store(true)
	v := p.currentView()
	if !v.isHub {
		p.heartbeatHub(ctx, v)
		return
	}
	p.reportUsageOnce(ctx)
}

// DataCentres returns the data centres that are known to have VMs.
func (p *Peers) DataCentres() []contract.DataCentreID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []contract.DataCentreID
	for dc, c := range p.counts {
		if c.vms > 0 {
			out = append(out, dc)
		}
	}
	return out
}
