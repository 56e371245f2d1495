package site

import (
	"slices"
	"time"

	"woaddoor/contract"
	"woaddoor/upstream"
	"woaddoor/vm"
)

// view is an immutable snapshot of the known VMs.
type view struct {
	takenAt time.Time
	// live is the number of live VMs.
	// total is an upper estimate of the number of VMs in the deployment.
	live, total int
	// ranked holds the live VMs of this data centre,
	// including this one, in the order in which they would watch the store.
	// VMs that do not reply to this VM are left out. hubs holds the first VMs of ranked.
	ranked, hubs []vm.Member
	// localPeers holds the other live VMs of this data centre, sorted by name.
	// digest lets two VMs check whether they know the same VMs of their data centre.
	localPeers []vm.Member
	digest     uint64
	// remote holds the delegates of each other data centre
	// (the VMs that exchange messages with this data centre).
	// Delegates that do not reply to this VM come last.
	remote map[contract.DataCentreID][]vm.Member
	// rank is the rank of this VM, and isHub reports whether it is a hub.
	rank  Rank
	isHub bool
	scope upstream.GossipScope
}

// Ages of views (snapshots of the known VMs).
const (
	// maxViewAge is the maximum age of a view. The set of live VMs changes over seconds.
	maxViewAge = 250 * time.Millisecond
	// minViewAge is the age up to which a view is used although something has changed.
	// At a start, messages of dozens of VMs arrive within milliseconds.
	minViewAge = 20 * time.Millisecond
)

// currentView returns the current view. The caller does not hold mu.
func (p *Peers) currentView() *view {
	if v := p.cachedView.Load(); v != nil {
		age := p.now().Sub(v.takenAt)
		if age < minViewAge || age < maxViewAge && !p.viewStale.Load() {
			return v
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.viewStale.Store(false)
	v := p.buildView(p.now())
	p.cachedView.Store(v)
	return v
}

// buildView builds a view from the known VMs. The caller holds mu.
func (p *Peers) buildView(now time.Time) *view {
	self := p.table.Self()
	live := p.table.Live(now)
	v := &view{takenAt: now, live: len(live), remote: make(map[contract.DataCentreID][]vm.Member)}
	local := []vm.Member{self}
	for _, m := range live {
		if m.DataCentre == p.dc && m.VM != self.VM {
			v.localPeers = append(v.localPeers, m)
			local = append(local, m)
		}
	}
	v.digest = vm.MembersDigest(local)
	v.ranked = p.responsive(vm.WatcherOrder(local, p.dc), now)
	v.hubs = vm.Hubs(v.ranked)
	v.isHub = slices.ContainsFunc(v.hubs, func(m vm.Member) bool { return m.VM == self.VM })
	for _, m := range p.table.RemoteDelegates(delegates+spareDelegates, now) {
		v.remote[m.DataCentre] = append(v.remote[m.DataCentre], m)
	}
	for dc, members := range v.remote {
		v.remote[dc] = p.responsiveFirst(members, now)
	}
	v.rank = p.rankIn(v)
	v.total = max(p.totalVMs(len(local), now), v.live, len(p.listedAddresses)+1)
	v.scope = upstream.GossipScope{Region: v.total <= maxVMsForRegionalReports, VMs: len(local)}
	if v.scope.Region {
		v.scope.VMs = v.total
	}
	return v
}

// ColdOwners returns the VMs among which the cold upstreams of this data centre are divided:
// the live VMs and the VMs that recently fell silent.
// A silent VM may only be unreachable from this VM and still send requests.
// A VM that has just started may not know all of these VMs yet.
// Such a VM at first owns no cold upstreams (may send no requests to them)
// until a VM of its data centre has replied.
func (p *Peers) ColdOwners() upstream.Owners {
	v := p.currentView()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	self := p.table.Self().VM
	owners := upstream.Owners{Self: self, Incomplete: p.HasSeeds() && p.awake.until(now) < seedPeriod}
	if p.HasSeeds() && !p.rankKnown {
		if owners.Incomplete {
			return owners
		}
		owners.Incomplete = true
	}
	owners.VMs = append(owners.VMs, self)
	silent := p.silentLocal(silentOwnerPeriod, now)
	justSilent := p.silentLocal(roomTakeoverPeriod, now)
	for _, m := range append(slices.Clone(v.localPeers), silent...) {
		owners.VMs = append(owners.VMs, m.VM)
	}
	for _, m := range silent {
		if !slices.ContainsFunc(justSilent, func(j vm.Member) bool { return j.VM == m.VM }) {
			owners.Gone = append(owners.Gone, m.VM)
		}
	}
	slices.Sort(owners.VMs)
	slices.Sort(owners.Gone)
	return owners
}

// silentOwnerPeriod is how long a silent VM still counts as an owner of cold upstreams
// (a VM that may send requests to them).
// The period is as long as a network partition within a data centre is likely to last.
// If the silent VM is gone, its share of the cold upstreams is unused during this period.
const silentOwnerPeriod = time.Minute

// roomTakeoverPeriod is how long after a VM fell silent another VM holds its room at brittle upstreams:
// a few VMs hold all of it, and callers are refused meanwhile.
const roomTakeoverPeriod = 5 * time.Second

// rankIn returns the rank of this VM among the VMs that may watch the store for its region.
// The caller holds mu.
func (p *Peers) rankIn(v *view) Rank {
	self := p.table.Self().VM
	rank := Rank{NoLocalPeers: len(v.localPeers) == 0 && p.HasSeeds(), Local: slices.IndexFunc(v.ranked, func(m vm.Member) bool { return m.VM == self })}
	for dc := range v.remote {
		if dc < p.dc && p.sameRegion(dc) {
			rank.DataCentre++
		}
	}
	if !p.rankKnown && p.firstStart {
		rank.Local = max(rank.Local, unknownRank) // the rank of this VM is not known yet
	}
	return rank
}

// responsive leaves out the VMs that recently failed to reply to this VM. The caller holds mu.
func (p *Peers) responsive(members []vm.Member, now time.Time) []vm.Member {
	return slices.DeleteFunc(members, func(m vm.Member) bool { return p.unresponsive(m.ControlAddress, now) })
}

// responsiveFirst moves the VMs that recently failed to reply to this VM to the end.
// responsiveFirst returns at most as many VMs as a data centre has delegates. The caller holds mu.
func (p *Peers) responsiveFirst(members []vm.Member, now time.Time) []vm.Member {
	var first, last []vm.Member
	for _, m := range members {
		if p.unresponsive(m.ControlAddress, now) {
			last = append(last, m)
		} else {
			first = append(first, m)
		}
	}
	return append(first, last...)[:min(delegates, len(members))]
}
