package site

import (
	"maps"
	"slices"

	"woaddoor/link"
)

// PeerStats describes this VM's position among its peers, for operators.
type PeerStats struct {
	// LocalVMs is the number of live VMs in this data centre, including this one.
	// SilentVMs is the number of VMs of this data centre that have been silent for a short while,
	// but from which something was received within the last minute.
	LocalVMs, SilentVMs int
	// LocalRank is the local rank of this VM in the order in which VMs would watch the store.
	LocalRank int
	// WatchedKinds is the number of object kinds for which this VM watches the store.
	WatchedKinds int
	// Leaves is the number of VMs that use this VM as their hub
	// (the VM that forwards messages for them).
	Leaves      int
	LinksOpened int64
}

// Stats returns this VM's position among its peers.
func (p *Peers) Stats() PeerStats {
	v := p.currentView()
	st := PeerStats{LocalVMs: len(v.localPeers) + 1, LocalRank: v.rank.Local, Leaves: len(p.liveLeaves()), LinksOpened: p.endpoint.DialCount()}
	p.mu.Lock()
	kinds := slices.Collect(maps.Values(p.kinds))
	st.SilentVMs = len(p.silentLocal(discoveryPeriod, p.now()))
	p.mu.Unlock()
	for _, k := range kinds {
		if k.isWatching() {
			st.WatchedKinds++
		}
	}
	return st
}

// SentTraffic returns the messages and bytes that this VM has sent so far, by kind of message.
func (p *Peers) SentTraffic() []link.SentCount { return p.endpoint.SentCounts() }
