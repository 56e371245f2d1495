package site

import (
	"context"
	"time"

	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/link"
	"woaddoor/logs"
	"woaddoor/vm"
)

// localReplyWait is how long after its start a VM waits for a reply from its own data centre.
// After this time, a VM with replies only
// from other data centres considers itself the first VM of its own data centre.
const localReplyWait = 1500 * time.Millisecond

// updateRankKnown notes that this VM knows its rank: a VM of its own data centre has replied,
// or only VMs of other data centres have replied during localReplyWait.
func (p *Peers) updateRankKnown(reply GossipMessage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.rankKnown && (reply.Self.DataCentre == p.dc || p.now().Sub(p.started) > localReplyWait) {
		p.rankKnown = true
		p.viewStale.Store(true)
	}
}

// recordMembers records the VMs that a message lists.
// isReply means that the message is a reply to a message from this VM.
func (p *Peers) recordMembers(msg GossipMessage, isReply bool) {
	p.mu.Lock()
	now := p.now()
	knownIPs := len(p.memberIPs)
	p.recordMember(msg.Self, 0, now)
	for _, m := range msg.Members {
		p.recordMember(m, m.Age, now)
	}
	if msg.Self.DataCentre == p.dc {
		p.recordLocalMembers(msg, isReply, now)
	}
	for _, c := range msg.VMCounts {
		if c.DataCentre != p.dc {
			p.recordCount(c.DataCentre, c.VMs, now.Add(-c.Age), now)
		}
	}
	if msg.FromLeaf {
		p.leaves[msg.Self.VM] = leaf{msg.Self, now}
	}
	changed := len(p.memberIPs) != knownIPs
	p.mu.Unlock()
	if changed {
		p.viewStale.Store(true)
	}
}

func (p *Peers) recordMember(m vm.Member, age time.Duration, now time.Time) {
	if !p.table.KnowsIncarnation(m) {
		p.viewStale.Store(true)
		if m.DataCentre != p.dc {
			p.remoteAddresses.Store(m.ControlAddress, true)
		}
	}
	m.Age = age
	p.table.ApplyHeartbeat(m, now)
	p.recordIP(m.ControlAddress)
}

// recordLocalMembers records what a VM of this
// data centre reports about the other VMs of this data centre. The caller holds mu.
func (p *Peers) recordLocalMembers(msg GossipMessage, isReply bool, now time.Time) {
	for _, address := range msg.UnknownToHub {
		p.addListedAddress(address)
	}
	switch {
	case !isReply:
	case len(msg.LocalMembers) > 0:
		p.updateUnknownToHub(msg.LocalMembers, now)
		p.table.MergeHubView(msg.LocalMembers, now)
		for _, m := range msg.LocalMembers {
			p.recordIP(m.ControlAddress)
		}
		p.viewStale.Store(true)
	case msg.DigestMatches:
		clear(p.unknownToHub)
		p.table.RefreshLocal(now)
	}
}

// updateUnknownToHub records which VMs this VM considers alive but its hub does not know.
// The caller holds mu.
func (p *Peers) updateUnknownToHub(hubMembers []vm.Member, now time.Time) {
	clear(p.unknownToHub)
	known := make(map[contract.VMID]bool, len(hubMembers))
	for _, m := range hubMembers {
		known[m.VM] = true
	}
	for _, m := range p.table.Live(now) {
		if m.DataCentre == p.dc && !known[m.VM] {
			p.unknownToHub[m.VM] = m.ControlAddress
		}
	}
}

// applyGossip applies a peer's report on releases and objects,
// and requests the changes that the peer has and this VM lacks.
func (p *Peers) applyGossip(ctx context.Context, msg GossipMessage) {
	exchange := p.relayOrNil()
	fromLocal := msg.Self.DataCentre == p.dc
	if exchange != nil {
		worse := exchange.MergeEvidence(msg.Evidence)
		if exchange.MergeSuspects(msg.Suspects, msg.Self.VM) || worse {
			p.forwardUrgent(fromLocal)
		}
		exchange.MergeOrderAges(msg.OrderAges)
	}
	changed, confirmedLater := false, false
	for _, status := range msg.Kinds {
		kind := p.kind(status.Kind)
		if kind == nil {
			continue
		}
		changed = p.applyPushed(msg, kind, status) || changed
		comparison := kind.compareWithPeer(status)
		if comparison.Behind && p.mayPull(fromLocal) {
			changed = p.pull(ctx, msg.Self, kind, comparison.Request, status) || changed
		}
		confirmedLater = confirmedLater || comparison.ConfirmedLater
	}
	switch {
	case changed:
		p.forwardChanges(fromLocal)
	case confirmedLater && !fromLocal:
		p.confirmationRounds.request(toHubs)
	}
}

// applyPushed applies the delta of one kind that a message carries,
// if this VM knows all changes before that delta.
func (p *Peers) applyPushed(msg GossipMessage, kind replicatedKind, status KindStatus) bool {
	for _, d := range msg.Deltas {
		if d.Delta.Kind != status.Kind {
			continue
		}
		own, known := kind.status()
		if !known || own.Revision < d.After || own.LastChange >= status.LastChange {
			continue
		}
		delta, err := d.Delta.unpack()
		if err != nil {
			p.log.Warn("push-malformed", zap.String("kind", status.Kind), zap.String("peer", string(msg.Self.VM)), zap.Error(err))
			continue
		}
		kind.applyFromPeer(delta, status, string(msg.Self.VM))
		return true
	}
	return false
}

// remotePullDelay is how long a VM that has just started waits
// for a VM of its own data centre to send state that other data centres have too.
// Traffic between data centres is billed, and a start needs tens of kilobytes.
const remotePullDelay = 2 * time.Second

// pullTakeoverAfter is the age of a pull (a request for the changes of one kind of objects)
// at which another VM may be asked for the same kind.
// The VM that was asked first may be frozen, and changes must be known within seconds.
const pullTakeoverAfter = 1200 * time.Millisecond

// mayPull reports whether this VM may request changes from a peer.
// A VM requests changes from other data centres only as a delegate of its own data centre,
// or while it knows no other VM of its own data centre after remotePullDelay.
func (p *Peers) mayPull(fromLocal bool) bool {
	if fromLocal {
		return true
	}
	v := p.currentView()
	return v.isHub && v.rank.Local < delegates || len(v.localPeers) == 0 && p.now().Sub(p.started) > remotePullDelay
}

// pull requests the changes of a kind from a VM and reports whether this VM received the changes.
// pull does nothing while the same kind is being pulled: without this rule,
// each message with a newer revision made the VM request the same list again from the same hub.
func (p *Peers) pull(ctx context.Context, from vm.Member, kind replicatedKind, request ChangesRequest, status KindStatus) bool {
	if !p.beginPull(request.Kind, from.VM) {
		return false
	}
	defer p.endPull(request.Kind, from.VM)
	timeout := remoteTimeout
	if from.DataCentre == p.dc {
		timeout = pullTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	d, err := link.Call[ChangesRequest, Delta](ctx, p.endpoint, from.ControlAddress, link.KindObjectChanges, request)
	if err == nil {
		d, err = d.unpack()
	}
	if err != nil {
		p.log.Warn("pull-failed", append(logs.ErrorFields(err), zap.String("kind", request.Kind))...)
		return false
	}
	kind.applyFromPeer(d, status, string(from.VM))
	return true
}

// activePull is a pull (a request for changes of one kind of objects) in progress.
type activePull struct {
	from  contract.VMID
	since time.Time
}

// beginPull registers a pull of a kind of objects from a VM.
// beginPull reports false while the kind is being pulled from the same VM,
// or has been pulled from another VM for less than pullTakeoverAfter.
func (p *Peers) beginPull(kind string, from contract.VMID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if current, ok := p.activePulls[kind]; ok && (current.from == from || now.Sub(current.since) < pullTakeoverAfter) {
		return false
	}
	p.activePulls[kind] = activePull{from, now}
	return true
}

func (p *Peers) endPull(kind string, from contract.VMID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.activePulls[kind].from == from {
		delete(p.activePulls, kind)
	}
}

func (p *Peers) handleChangesRequest(_ context.Context, _ string, request ChangesRequest) (Delta, error) {
	kind := p.kind(request.Kind)
	if kind == nil {
		return Delta{}, ErrNotFound
	}
	status, _ := kind.status()
	needsAll := !request.Known || request.After.Era() < status.Revision.Era()
	if d, ok := p.packedLists.full(request.Kind, status.Revision); ok && needsAll {
		return d, nil
	}
	d, err := p.packedLists.pack(kind.changesSince(request.After, request.Known))
	if err == nil && d.Full {
		p.packedLists.store(d)
	}
	return d, err
}
