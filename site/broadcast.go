package site

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/vm"
)

// How a change of an object in the store reaches all VMs:
// the VM that receives the change from the store sends the change to the hubs of its data centre
// (the few VMs that forward messages in it),
// to its own leaves (the VMs that use it as their hub) and to one VM of each other data centre.
// The VM in the other data centre sends the change to the hubs of its own data centre,
// and each hub sends the change to its leaves.
// A VM that misses a message receives the change with the next heartbeat.

// Timings and limits of broadcasts.
const (
	// nextMemberDelay is how long a VM of a data centre may take to reply
	// before the next VM of the same data centre is contacted too.
	// Replies take milliseconds, and a VM that does not reply may be frozen.
	nextMemberDelay = 250 * time.Millisecond
	// maxPushBytes limits the bytes of the changes of one kind of objects
	// that a gossip message carries.
	// A VM that lacks larger changes requests them once, for all changes that have come meanwhile.
	maxPushBytes = 16 << 10
)

// AnnounceChange informs other VMs at once of a change of an object in the store.
func (p *Peers) AnnounceChange() { p.changeRounds.request(toHubs | toLeaves | toAllDataCentres) }

// AnnounceNoChange informs the hubs of this region that the store has no newer changes.
func (p *Peers) AnnounceNoChange() { p.confirmationRounds.request(toHubs | toRegion) }

// AnnounceUrgent informs the hubs at once of a harmful event:
// the failure of a release on trial, or a request content that has crashed an upstream.
func (p *Peers) AnnounceUrgent() { p.forwardUrgent(false) }

// forwardUrgent forwards news of a harmful event. A delegate
// (one of the VMs that exchange messages between data centres) informs the other data centres.
// News from another data centre, or of an event on this VM,
// also goes to the hubs of this data centre. Leaves receive it with the next heartbeat.
func (p *Peers) forwardUrgent(fromLocal bool) {
	var to recipients
	if !fromLocal {
		to |= toHubs
	}
	if p.IsDelegate() {
		to |= toAllDataCentres
	}
	p.urgentRounds.request(to)
}

// forwardChanges forwards changes from another VM.
// A VM of this data centre has already informed the other hubs itself,
// so changes from a VM of this data centre go to the leaves only.
func (p *Peers) forwardChanges(fromLocal bool) {
	to := toLeaves
	if !fromLocal {
		to |= toHubs
	}
	p.changeRounds.request(to)
}

// sendChanges sends the changes since the last announcement.
func (p *Peers) sendChanges(to recipients) { p.gossipTo(to, p.unannouncedDeltas()) }

// sendStatus sends this VM's status without any changes.
func (p *Peers) sendStatus(to recipients) { p.gossipTo(to, nil) }

// gossipTo sends gossip to the given recipients. The calls end by their own timeouts.
func (p *Peers) gossipTo(to recipients, deltas []PushedDelta) {
	ctx := context.Background()
	if to&toHubs != 0 {
		p.gossipToHubs(ctx, deltas)
	}
	if to&toLeaves != 0 {
		p.gossipToLeaves(ctx, deltas)
	}
	switch {
	case to&toAllDataCentres != 0:
		p.gossipToRemote(ctx, deltas, func(contract.DataCentreID) bool { return true })
	case to&toRegion != 0:
		p.gossipToRemote(ctx, deltas, p.sameRegion)
	}
}

// unannouncedDeltas returns the changes of each kind of objects
// (such as upstreams or rollout orders) since the last announcement.
// Changes that are too large for a message are left out.
func (p *Peers) unannouncedDeltas() []PushedDelta {
	p.mu.Lock()
	kinds := maps.Clone(p.kinds)
	p.mu.Unlock()
	var out []PushedDelta
	for _, name := range slices.Sorted(maps.Keys(kinds)) {
		status, known := kinds[name].status()
		if !known {
			continue
		}
		p.mu.Lock()
		after, announcedBefore := p.announced[name]
		p.announced[name] = status.Revision
		p.mu.Unlock()
		if !announcedBefore || status.LastChange <= after {
			continue
		}
		d := kinds[name].changesSince(after, true)
		if d.Full {
			continue
		}
		d, err := p.packedLists.pack(d)
		if err != nil {
			p.log.Warn("pack-failed", zap.String("kind", name), zap.Error(err))
			continue
		}
		if d.approxSize() <= maxPushBytes {
			out = append(out, PushedDelta{after, d})
		}
	}
	return out
}

// approxSize returns the approximate number of bytes that a delta takes.
func (d Delta) approxSize() int {
	const itemOverhead = 40 // revision, flags and encoding of an item
	n := len(d.Packed)
	for _, i := range d.Items {
		n += itemOverhead + len(i.Name) + len(i.Spec) + len(i.Status)
	}
	return n
}

// gossipToHubs sends gossip to the other hubs of this data centre.
func (p *Peers) gossipToHubs(ctx context.Context, deltas []PushedDelta) {
	v := p.currentView()
	recipients := audienceLocal
	if v.isHub {
		recipients = audienceHub
	}
	msg := p.gossipFor(recipients)
	msg.Deltas = deltas
	for _, m := range p.otherHubs(v) {
		go p.exchangeGossip(ctx, m.ControlAddress, localTimeout, msg)
	}
}

// gossipToLeaves sends gossip to the leaves of this hub.
func (p *Peers) gossipToLeaves(ctx context.Context, deltas []PushedDelta) {
	leaves := p.liveLeaves()
	if len(leaves) == 0 {
		return
	}
	msg := p.gossipFor(audienceLocal)
	msg.Members, msg.Deltas = nil, deltas
	for _, m := range leaves {
		go p.exchangeGossip(ctx, m.ControlAddress, localTimeout, msg)
	}
}

// gossipToRemote sends gossip to one VM of each other data centre for which include returns true,
// and to further VMs of that data centre while no VM has replied.
func (p *Peers) gossipToRemote(ctx context.Context, deltas []PushedDelta, include func(contract.DataCentreID) bool) {
	msg := p.gossipFor(audienceRemote)
	msg.Deltas = deltas
	for dc, members := range p.currentView().remote {
		if include(dc) {
			go p.gossipToOneOf(ctx, members, msg)
		}
	}
}

// gossipToOneOf sends gossip to the given VMs in turn until one replies.
func (p *Peers) gossipToOneOf(ctx context.Context, members []vm.Member, msg GossipMessage) {
	done := make(chan bool, len(members))
	for _, m := range members {
		go func() { done <- p.exchangeGossip(ctx, m.ControlAddress, remoteTimeout, msg) }()
		select {
		case ok := <-done:
			if ok {
				return
			}
		case <-time.After(nextMemberDelay):
		case <-ctx.Done():
			return
		}
	}
}
