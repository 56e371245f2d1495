package site

import (
	"time"

	"woaddoor/contract"
	"woaddoor/fairshare"
)

// DemandReport is the demand of workspaces at one or several VMs.
// A lost report does no harm: the next report replaces it.
type DemandReport struct {
	Source   demandSource              `cbor:"1,keyasint"`
	Services []fairshare.PackedService `cbor:"2,keyasint,omitempty"`
	// Centres is, in a report of a delegate to a hub, the demand of other data centres.
	Centres []CentreDemand `cbor:"3,keyasint,omitempty"`
}

// CentreDemand is the demand at all VMs of a data centre, as reported Age ago.
type CentreDemand struct {
	DataCentre contract.DataCentreID     `cbor:"1,keyasint"`
	Age        time.Duration             `cbor:"2,keyasint,omitempty"`
	Services   []fairshare.PackedService `cbor:"3,keyasint,omitempty"`
}

// demandSource is the set of VMs whose demand a DemandReport contains.
type demandSource uint8

const (
	// demandOfLeaf is the demand at the sender, a leaf.
	demandOfLeaf demandSource = iota + 1
	// demandOfHub is the demand at the sender, a hub, and at its leaves.
	demandOfHub
	// demandOfCentre is the demand at all VMs of the sender's data centre.
	demandOfCentre
	// demandOfOthers is the demand at all VMs except the recipient, a leaf.
	demandOfOthers
)

// demandReports holds the demand that other VMs have reported.
type demandReports struct {
	leaves, hubs map[contract.VMInstance]timedDemand
	centres      map[contract.DataCentreID]timedDemand
}

// timedDemand is demand and the time at which it was reported.
type timedDemand struct {
	demands fairshare.Demands
	at      time.Time
}

func newDemandReports() demandReports {
	return demandReports{
		leaves: make(map[contract.VMInstance]timedDemand), hubs: make(map[contract.VMInstance]timedDemand),
		centres: make(map[contract.DataCentreID]timedDemand),
	}
}

// addRecent adds the reports that have not expired to total, except the report of one source,
// and deletes those that have.
func addRecent[K comparable](total fairshare.Demands, reports map[K]timedDemand, except K, now time.Time) {
	for source, report := range reports {
		switch {
		case now.Sub(report.at) > fairshare.OthersExpiry:
			delete(reports, source)
		case source != except:
			total.Add(report.demands)
		}
	}
}

// localDemand returns the demand at this VM for services at which other VMs need it.
func (p *Peers) localDemand() fairshare.Demands {
	total := make(fairshare.Demands)
	if exchange := p.relayOrNil(); exchange != nil {
		total.Add(exchange.Demand())
	}
	return total
}

// newDemandReport returns a report, or nil if there is nothing to report.
func newDemandReport(source demandSource, d fairshare.Demands) *DemandReport {
	if len(d) == 0 {
		return nil
	}
	return &DemandReport{Source: source, Services: d.Pack()}
}

// demandToHub returns the report of this leaf to its hub.
func (p *Peers) demandToHub() *DemandReport { return newDemandReport(demandOfLeaf, p.localDemand()) }

// withDemand adds to a message what this VM reports as a hub to other hubs,
// or as a delegate of its data centre to other data centres.
func (p *Peers) withDemand(msg GossipMessage, recipients audience) GossipMessage {
	v := p.currentView()
	if !v.isHub || recipients == audienceRemote && v.rank.Local >= delegates {
		return msg
	}
	total := p.localDemand()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	addRecent(total, p.demand.leaves, contract.VMInstance{}, now)
	if recipients == audienceRemote {
		addRecent(total, p.demand.hubs, contract.VMInstance{}, now)
		msg.Demand = newDemandReport(demandOfCentre, total)
		return msg
	}
	msg.Demand = newDemandReport(demandOfHub, total)
	if centres := p.demand.packCentres(now); len(centres) > 0 && v.rank.Local < delegates { // the delegates report to each hub
		if msg.Demand == nil {
			msg.Demand = &DemandReport{Source: demandOfHub}
		}
		msg.Demand.Centres = centres
	}
	return msg
}

// packCentres returns the demand of the other data centres as far as it has not expired.
func (r demandReports) packCentres(now time.Time) []CentreDemand {
	var centres []CentreDemand
	for dc, report := range r.centres {
		if age := now.Sub(report.at); age <= fairshare.OthersExpiry {
			centres = append(centres, CentreDemand{DataCentre: dc, Age: age, Services: report.demands.Pack()})
		}
	}
	return centres
}

// demandForLeaf returns the demand at all VMs except a leaf.
func (p *Peers) demandForLeaf(leaf contract.VMInstance) *DemandReport {
	total := p.localDemand()
	p.addReported(total, leaf)
	return newDemandReport(demandOfOthers, total)
}

// addReported adds the demand that other VMs have reported, except the report of one leaf.
func (p *Peers) addReported(total fairshare.Demands, leaf contract.VMInstance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	addRecent(total, p.demand.leaves, leaf, now)
	addRecent(total, p.demand.hubs, contract.VMInstance{}, now)
	addRecent(total, p.demand.centres, "", now)
}

// applyOthersDemand passes the demand that this hub knows of to its own relay.
func (p *Peers) applyOthersDemand() {
	if exchange := p.relayOrNil(); exchange != nil {
		total := make(fairshare.Demands)
		p.addReported(total, contract.VMInstance{})
		exchange.SetOthersDemand(total)
	}
}

// recordDemand records the report in a message. A VM is either a leaf or a hub,
// so a report of one kind replaces its report of the other kind.
func (p *Peers) recordDemand(msg GossipMessage) {
	if msg.Demand == nil {
		return
	}
	demands := fairshare.Unpack(msg.Demand.Services)
	if msg.Demand.Source == demandOfOthers {
		if exchange := p.relayOrNil(); exchange != nil {
			exchange.SetOthersDemand(demands)
		}
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now, from := p.now(), instanceOf(msg.Self)
	switch msg.Demand.Source {
	case demandOfLeaf:
		delete(p.demand.hubs, from)
		p.demand.leaves[from] = timedDemand{demands, now}
	case demandOfHub:
		delete(p.demand.leaves, from)
		p.demand.hubs[from] = timedDemand{demands, now}
		for _, centre := range msg.Demand.Centres {
			p.demand.recordCentre(centre.DataCentre, timedDemand{fairshare.Unpack(centre.Services), now.Add(-max(centre.Age, 0))}, p.dc)
		}
	case demandOfCentre:
		p.demand.recordCentre(msg.Self.DataCentre, timedDemand{demands, now}, p.dc)
	}
}

// recordCentre records the demand of another data centre unless a newer report is known.
func (r demandReports) recordCentre(dc contract.DataCentreID, d timedDemand, own contract.DataCentreID) {
	if dc != own && !d.at.Before(r.centres[dc].at) {
		r.centres[dc] = d
	}
}
