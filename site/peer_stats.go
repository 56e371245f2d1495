package site

import (
	"maps"
	"slices"

	"woaddoor/link"
)

// PeerStats describes this VM's position among its peers, for operators.
type PeerStats struct {
	// Near is the number of live VMs in this data centre, including this one. Silent is
	// the number of VMs there from which nothing was received for a short while, but
	// something within the last minute.
	Near, Silent int
	// Place is the local rank of this VM in the order in which VMs would watch the store.
	Place int
	// Watches is the number of object kinds for which this VM watches the store.
	Watches int
	// Leaves is the number of VMs that use this one as their hub.
	Leaves      int
	LinksOpened int64
}

// Standing returns this VM's position among its peers.
func (p *Peers) Standing() PeerStats {
	v := p.currentView()
	st := PeerStats{Near: len(v.localPeers) + 1, Place: v.rank.Local, Leaves: len(p.liveLeaves()), LinksOpened: p.endpoint.Dialed()}
	p.mu.Lock()
	kinds := slices.Collect(maps.Values(p.kinds))
	st.Silent = len(p.silentLocal(discoveryPeriod, p.now()))
	p.mu.Unlock()
	for _, k := range kinds {
		if k.isWatching() {
			st.Watches++
		}
	}
	return st
}

// Traffic returns the messages and bytes that this VM has sent so far, by kind of
// message.
func (p *Peers) Traffic() []link.Sent { return p.endpoint.Sent() }
