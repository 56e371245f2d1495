package site

import (
	"time"

	"woaddoor/contract"
	"woaddoor/lease"
)

// LeaseStatus is what a VM knows of the lease whose holder makes the calls
// to the platform for all VMs, without the record stored in the lease.
type LeaseStatus struct {
	Object  lease.Object           `cbor:"1,keyasint"`
	Version contract.ObjectVersion `cbor:"2,keyasint"`
	// Age is the minimum time for which this version of the lease has been unchanged.
	Age time.Duration `cbor:"3,keyasint"`
	// Link is the holder's link address. Link is empty when nobody holds the lease.
	Link string `cbor:"4,keyasint,omitempty"`
}

// leaseStatus returns what this VM knows of the lease, or nil if it knows nothing.
func (p *Peers) leaseStatus() *LeaseStatus {
	if p.lease == nil {
		return nil
	}
	seen, age, known := p.lease.Latest()
	if !known {
		return nil
	}
	seen.Object.Record = nil
	return &LeaseStatus{Object: seen.Object, Version: seen.Version, Age: age, Link: p.leaseHolderLink(seen.Object.Holder)}
}

// recordLease records what another VM knows of the lease.
func (p *Peers) recordLease(status *LeaseStatus) {
	if p.lease == nil || status == nil {
		return
	}
	p.lease.ObservePeer(lease.VersionedObject{Object: status.Object, Version: status.Version}, status.Age)
	if status.Link == "" || status.Object.Holder == (contract.VMInstance{}) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if status.Version >= p.leaseHolder.version {
		p.leaseHolder = leaseHolder{status.Object.Holder, status.Link, status.Version}
		p.recordIP(status.Link)
	}
}

// leaseHolder is the link address of the lease holder at a version of the lease.
type leaseHolder struct {
	instance contract.VMInstance
	link     string
	version  contract.ObjectVersion
}

// leaseHolderLink returns the link address of a holder,
// or an empty string if the address is unknown.
func (p *Peers) leaseHolderLink(instance contract.VMInstance) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	self := p.table.Self()
	switch {
	case instance == instanceOf(self):
		return self.ControlAddress
	case instance == p.leaseHolder.instance:
		return p.leaseHolder.link
	}
	return ""
}

// LeaseDelay returns how long this VM waits before it acquires a free lease,
// and whether this VM may acquire the lease at all. Only the delegates of a data centre
// (its first VMs in watcher order) may acquire the lease, one after the other.
func (p *Peers) LeaseDelay() (time.Duration, bool) {
	rank := p.Rank()
	return writeDelayFor(rank), rank.Local < delegates
}

// AnnounceLease informs the other hubs and data centres at once that the lease holder has changed.
func (p *Peers) AnnounceLease() { p.confirmationRounds.request(toHubs | toAllDataCentres) }
