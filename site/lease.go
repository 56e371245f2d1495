package site

import (
	"context"
	"time"

	"woaddoor/contract"
	"woaddoor/lease"
)

// LeaseWord is what a VM knows of the lease under which one VM acts for all, without the
// record that stands in it.
type LeaseWord struct {
	Object  lease.Object           `cbor:"1,keyasint"`
	Version contract.ObjectVersion `cbor:"2,keyasint"`
	// Age is for how long the version has stood at least.
	Age time.Duration `cbor:"3,keyasint"`
	// Link is the holder's link address; empty when nobody holds it.
	Link string `cbor:"4,keyasint,omitempty"`
}

// leaseWord returns what this VM knows of the lease; nil when it knows nothing.
func (p *Peers) leaseWord() *LeaseWord {
	if p.lease == nil {
		return nil
	}
	seen, age, known := p.lease.Known()
	if !known {
		return nil
	}
	seen.Object.Record = nil
	return &LeaseWord{Object: seen.Object, Version: seen.Version, Age: age, Link: p.holderLink(seen.Object.Holder)}
}

// hearLease takes in what another VM knows of the lease.
func (p *Peers) hearLease(w *LeaseWord) {
	if p.lease == nil || w == nil {
		return
	}
	p.lease.Told(lease.Seen{Object: w.Object, Version: w.Version}, w.Age)
	if w.Link == "" || w.Object.Holder == (contract.VMLife{}) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.Version >= p.holder.version {
		p.holder = holder{w.Object.Holder, w.Link, w.Version}
		p.know(w.Link)
	}
}

// holder is where the VM listens that holds the lease, as was told of a version.
type holder struct {
	claim   contract.VMLife
	link    string
	version contract.ObjectVersion
}

// holderLink returns the link address of a holder; empty when it is not known.
func (p *Peers) holderLink(c contract.VMLife) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	self := p.table.Self()
	switch {
	case c == lifeOf(self):
		return self.ControlLink
	case c == p.holder.claim:
		return p.holder.link
	}
	return ""
}

// Turn returns how long after the lease has become free this VM takes it, and whether it
// may: those that speak for their data centre do, one after the other.
func (p *Peers) Turn() (time.Duration, bool) {
	place := p.Place()
	return turnOf(place), place.Near < speakers
}

// LeaseChanged tells the other hubs and data centres at once that the lease has changed hands.
func (p *Peers) LeaseChanged() {
	p.pulse.ask(func() {
		ctx := context.Background()
		p.tellHubs(ctx, nil)
		p.tellFar(ctx, nil, func(contract.DataCentreID) bool { return true })
	})
}
