package entry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"woaddoor/contract"
	"woaddoor/vm"
)

// Limits for the selection of peers that store copies of bill records.
const (
	maxCopyPeers = 2
	// failedPeerPenalty is how long a peer is tried last after a copy to it failed.
	failedPeerPenalty = 5 * time.Second
	// keeperRetention is how long a peer whose entry process is no longer listed may be asked.
	keeperRetention = 10 * time.Minute
)

// keeper is a peer whose entry process may store copies of bill records.
type keeper struct {
	vm.Member
	listedAt time.Time // when a control process last listed its entry process
}

// recordKeepers remembers the listed entry processes.
// What control processes list may lack a running entry process: the control process of that VM
// has restarted and has not heard from it yet, or has been down for some time.
// A listed process that leaves is forgotten. The caller holds mu.
func (s *Server) recordKeepers(members []vm.Member, now time.Time) {
	s.keepersListedAt = now
	maps.DeleteFunc(s.keepers, func(_ contract.VMID, k keeper) bool { return now.Sub(k.listedAt) >= keeperRetention })
	for _, m := range members {
		switch {
		case m.VM == s.origin.VM:
		case m.Leaving:
			delete(s.keepers, m.VM)
		case m.EntryIncarnation != 0:
			s.keepers[m.VM] = keeper{m, now}
		}
	}
}

// copyPeers returns the peers that may store copies of bill records, in the order in which to try
// them. The first peer is in another data centre, because a whole data centre can fail.
// The second peer is in this VM's data centre, because the network to all other data centres can
// fail. A peer with a recent failure, or whose entry process is no longer listed, is chosen only if
// no other peer is on the same side (this data centre, or the others): only an acknowledgment
// proves that a peer has a copy, so asking one that may have ended does no harm.
func (s *Server) copyPeers() []vm.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	maps.DeleteFunc(s.copyFailedAt, func(_ contract.VMID, at time.Time) bool { return now.Sub(at) >= failedPeerPenalty })
	var remote, local []keeper
	for _, id := range slices.Sorted(maps.Keys(s.keepers)) {
		k := s.keepers[id]
		if k.DataCentre == s.opts.Settings.DataCentre {
			local = append(local, k)
		} else {
			remote = append(remote, k)
		}
	}
	var chosen []keeper
	for _, side := range [][]keeper{remote, local} {
		s.random.Shuffle(len(side), func(i, j int) { side[i], side[j] = side[j], side[i] })
		slices.SortStableFunc(side, s.compareKeepers)
		if len(side) > 0 {
			chosen = append(chosen, side[0])
		}
	}
	slices.SortStableFunc(chosen, s.compareKeepers)
	peers := make([]vm.Member, len(chosen))
	for i, k := range chosen {
		peers[i] = k.Member
	}
	return peers
}

// compareKeepers orders peers without a recent failure first,
// and among these the peers whose entry process is listed now. The caller holds mu.
func (s *Server) compareKeepers(a, b keeper) int {
	rank := func(k keeper) int {
		if _, failed := s.copyFailedAt[k.VM]; failed {
			return 2
		}
		if k.listedAt.Before(s.keepersListedAt) {
			return 1
		}
		return 0
	}
	return cmp.Compare(rank(a), rank(b))
}
