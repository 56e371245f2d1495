package site

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/link"
	"woaddoor/logs"
	"woaddoor/vm"
)

// leaf is a VM that uses this VM as its hub (the VM that forwards messages for it).
type leaf struct {
	member   vm.Member
	lastSeen time.Time // time of its last message as a leaf
}

// Timings and limits of hubs and leaves.
const (
	// leafExpiry is how long a VM counts as a leaf of this VM after its last message as a leaf.
	// The period allows for the loss of a message or two.
	leafExpiry = 3 * time.Second
	// unresponsivePeriod is how long a VM that did not reply is skipped.
	unresponsivePeriod = 5 * time.Second
	// urgentInterval is the minimum time between two rounds of urgent gossip,
	// which reports harmful events to several VMs at once,
	// such as failed responses of a release on trial.
	// All VMs must stop using a bad release within seconds of its last failure.
	urgentInterval = 300 * time.Millisecond
	// maxHubAttempts is the number of hubs that a leaf tries per heartbeat until one replies.
	maxHubAttempts = 3
)

// dataCentreCount is the number of VMs in a data centre, as counted by one VM of that data centre.
type dataCentreCount struct {
	vms int
	at  time.Time
	// recentMax is the largest recent count, received at recentMaxAt.
	recentMax   int
	recentMaxAt time.Time
}

// recentMaxPeriod is how long a count of VMs takes precedence over later, smaller counts.
// A budget that is divided by too few VMs is overspent,
// and most VMs that disappear are back within a minute.
const recentMaxPeriod = time.Minute

// recordCount records the number of VMs in a data centre. The caller holds mu.
func (p *Peers) recordCount(dc contract.DataCentreID, vms int, at, now time.Time) {
	c := p.counts[dc]
	if c.vms > 0 && !at.After(c.at) {
		return
	}
	c.vms, c.at = vms, at
	if vms >= c.recentMax || now.Sub(c.recentMaxAt) > recentMaxPeriod {
		c.recentMax, c.recentMaxAt = vms, now
	}
	p.counts[dc] = c
}

// totalVMs returns the number of VMs in all data centres.
// local is the number of VMs in this data centre. The caller holds mu.
func (p *Peers) totalVMs(local int, now time.Time) int {
	p.recordCount(p.dc, local, now, now)
	total := 0
	for _, c := range p.counts {
		total += c.recentMax
	}
	return total
}

// unresponsive reports whether a VM has recently failed to reply. The caller holds mu.
func (p *Peers) unresponsive(address string, now time.Time) bool {
	return now.Before(p.unresponsiveUntil[address])
}

// recordReply records whether a VM has replied, and logs when a VM stops or resumes replying.
func (p *Peers) recordReply(address string, err error) {
	p.mu.Lock()
	now := p.now()
	wasUnresponsive := p.unresponsive(address, now)
	if err == nil {
		delete(p.unresponsiveUntil, address)
	} else {
		p.unresponsiveUntil[address] = now.Add(unresponsivePeriod)
	}
	p.mu.Unlock()
	if link.Rejected(err) {
		notify(p.rejected)
	}
	switch {
	case err != nil && !wasUnresponsive:
		p.viewStale.Store(true)
		p.log.Info("peer-passed-over", append(logs.ErrorFields(err), zap.Duration("for", unresponsivePeriod))...)
	case err == nil && wasUnresponsive:
		p.viewStale.Store(true)
		p.log.Info("peer-answers", zap.String("peer", address))
	}
}

// hubsToContact returns the hubs that this hub contacts at a heartbeat.
// A message and its reply inform both hubs, so only one of two hubs initiates the exchange.
// The other hub initiates the exchange if it has received nothing for a while.
func (p *Peers) hubsToContact(v *view) []vm.Member {
	self := p.AsWatcher().VM
	return slices.DeleteFunc(p.otherHubs(v), func(m vm.Member) bool { return self > m.VM && m.Age < 3*heartbeatInterval })
}

// otherHubs returns the hubs of this data centre except this VM.
func (p *Peers) otherHubs(v *view) []vm.Member {
	self := p.AsWatcher().VM
	return slices.DeleteFunc(slices.Clone(v.hubs), func(m vm.Member) bool { return m.VM == self })
}

// hubsForLeaf returns the hubs that this leaf tries, in order of preference.
func (p *Peers) hubsForLeaf(v *view) []vm.Member {
	hubs := vm.HubsFor(p.AsWatcher().VM, p.otherHubs(v))
	return hubs[:min(maxHubAttempts, len(hubs))]
}

// heartbeatHub exchanges gossip with the hub of this leaf,
// or with the next hub if the first hub does not reply.
func (p *Peers) heartbeatHub(ctx context.Context, v *view) {
	load, demand := p.localLoad(), p.demandToHub()
	for _, m := range p.hubsForLeaf(v) {
		msg := p.gossipToHub()
		msg.Load, msg.Demand = load, demand
		var sequence uint64
		msg.Usage, sequence = p.usageFor(instanceOf(m))
		if p.exchangeGossip(ctx, m.ControlAddress, localTimeout, msg) {
			p.acknowledgeUsage(instanceOf(m), sequence)
			return
		}
	}
}

// joining reports whether this VM is still looking for peers through the seeds
// (the VMs that starting VMs contact first).
func (p *Peers) joining(now time.Time) bool {
	if !p.HasSeeds() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.rankKnown || p.awake.until(now) < seedPeriod
}

// askSeed asks a random seed for the VMs that it knows.
func (p *Peers) askSeed(ctx context.Context) {
	msg := p.gossipFor(audienceRemote)
	msg.Joining = true
	go func() {
		if !p.exchangeGossip(ctx, p.pickSeed(), remoteTimeout, msg) {
			return
		}
		p.seedReplied.Store(true)
		if !p.RankKnown() {
			notify(p.discoverNow) // the hub of this VM is now known
		}
	}()
}

// pickSeed returns a random seed. pickSeed prefers seeds that are known to be in this data centre,
// since a reply lists all known VMs of this data centre. When VMs picked any seed,
// 281 VMs that started together sent 2 MB of such replies between data centres in 3 s.
func (p *Peers) pickSeed() string {
	seeds := p.seeds
	if local := p.localAddresses(seeds); len(local) > 0 {
		seeds = local
	}
	return seeds[rand.IntN(len(seeds))]
}

// localAddresses returns the link addresses, out of the given ones,
// that belong to a live VM of this data centre.
func (p *Peers) localAddresses(addresses []string) []string {
	v := p.currentView()
	var local []string
	for _, m := range v.localPeers {
		if slices.Contains(addresses, m.ControlAddress) {
			local = append(local, m.ControlAddress)
		}
	}
	return local
}

// RankKnown reports whether this VM knows its rank in its data centre.
func (p *Peers) RankKnown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rankKnown
}

// discoveryTargets returns the addresses of a few VMs,
// picked at random, from which nothing has been received.
// discoveryTargets returns no address unless this VM is a hub or knows no other VM.
// Seeds come first, because VMs that start contact the seeds.
func (p *Peers) discoveryTargets() []string {
	v := p.currentView()
	if !v.isHub && v.live > 1 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	known := make(map[string]bool)
	for _, m := range p.table.Live(now) {
		known[m.ControlAddress] = true
	}
	for _, l := range p.leaves {
		known[l.member.ControlAddress] = true
	}
	var seeds, candidates []string
	for _, s := range p.seeds {
		if !known[s] {
			seeds = append(seeds, s)
			known[s] = true
		}
	}
	for _, m := range p.silentLocal(discoveryPeriod, now) {
		if !known[m.ControlAddress] {
			candidates = append(candidates, m.ControlAddress)
			known[m.ControlAddress] = true
		}
	}
	for address := range p.listedAddresses {
		if !known[address] && v.total <= maxVMsForListedDiscovery {
			candidates = append(candidates, address)
		}
	}
	for _, s := range [][]string{seeds, candidates} {
		rand.Shuffle(len(s), func(a, b int) { s[a], s[b] = s[b], s[a] })
	}
	return append(seeds[:min(1, len(seeds))], candidates[:min(maxDiscoveryTargets, len(candidates))]...)
}

// discoveryPeriod is how long a hub tries to reach a VM
// from which the hub received messages before.
// After this period, the silent VM has either found a peer itself or is gone for good.
// Hubs also try VMs that only the store lists,
// as long as the deployment has at most maxVMsForListedDiscovery VMs.
// In larger deployments each hub would try all VMs of the other data centres,
// from which it never receives anything.
const (
	discoveryPeriod          = time.Minute
	maxVMsForListedDiscovery = maxVMsForRegionalReports
)

// silentLocal returns the VMs of this data centre
// that count as dead and were last heard from within maxAge. The caller holds mu.
func (p *Peers) silentLocal(maxAge time.Duration, now time.Time) []vm.Member {
	return slices.DeleteFunc(p.table.RecentlyDead(maxAge, now), func(m vm.Member) bool { return m.DataCentre != p.dc })
}

// hasLeaves reports whether any VM uses this VM as its hub.
func (p *Peers) hasLeaves() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for _, l := range p.leaves {
		if now.Sub(l.lastSeen) <= leafExpiry {
			return true
		}
	}
	return false
}

// liveLeaves returns the leaves of this VM, sorted by name.
func (p *Peers) liveLeaves() []vm.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.liveLeavesLocked(p.now())
}

func (p *Peers) liveLeavesLocked(now time.Time) []vm.Member {
	var out []vm.Member
	for _, id := range slices.Sorted(maps.Keys(p.leaves)) {
		l := p.leaves[id]
		if now.Sub(l.lastSeen) > leafExpiry {
			delete(p.leaves, id)
			continue
		}
		m := l.member
		m.Age = now.Sub(l.lastSeen)
		out = append(out, m)
	}
	return out
}

// logSilentPeer logs that a VM did not reply.
func (p *Peers) logSilentPeer(err error) { p.log.Debug("peer-silent", logs.ErrorFields(err)...) }
