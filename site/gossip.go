package site

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"woaddoor/contract"
	"woaddoor/link"
	"woaddoor/quarantine"
	"woaddoor/relay"
	"woaddoor/rollout"
	"woaddoor/scaling"
	"woaddoor/upstream"
	"woaddoor/usage"
	"woaddoor/vm"
)

// GossipMessage is exchanged between two VMs in both directions.
// A gossip message reports the live VMs and the newest known change of each kind of objects.
// A lost or late message does no harm, because the next message contains the same or more.
type GossipMessage struct {
	Self vm.Member `cbor:"1,keyasint"`
	// Members are other live VMs. gossipFor selects these VMs for the recipient.
	Members []vm.Member  `cbor:"2,keyasint,omitempty"`
	Kinds   []KindStatus `cbor:"3,keyasint"`
	// Evidence holds what the sender knows of the releases on trial. VMs of an earlier release of woaddoor
	// sent other counts under key 4.
	Evidence rollout.TrialEvidence `cbor:"21,keyasint,omitempty"`
	// OrderAges are the ages of the rollout orders by the sender's clock.
	OrderAges []relay.OrderAge `cbor:"5,keyasint,omitempty"`
	// FromLeaf means that the sender uses the recipient as its hub
	// (the VM that forwards messages for it).
	// Joining means that the sender knows no hub yet and asks for the VMs of its data centre.
	FromLeaf bool `cbor:"6,keyasint,omitempty"`
	Joining  bool `cbor:"7,keyasint,omitempty"`
	// MembersDigest identifies the set of VMs of its data centre that a leaf
	// (a VM that uses a hub) knows. The leaf's hub replies with DigestMatches,
	// or with LocalMembers. LocalMembers includes VMs that recently fell silent.
	MembersDigest uint64      `cbor:"8,keyasint,omitempty"`
	DigestMatches bool        `cbor:"13,keyasint,omitempty"`
	LocalMembers  []vm.Member `cbor:"9,keyasint,omitempty"`
	// UnknownToHub holds the link addresses of VMs that a leaf knows and its hub does not.
	UnknownToHub []string `cbor:"10,keyasint,omitempty"`
	// VMCounts holds the number of VMs per data centre.
	VMCounts []VMCount `cbor:"11,keyasint,omitempty"`
	// Deltas are the changes since the sender's last announcement. A recipient
	// that is up to date with the last announcement need not request the changes in Deltas.
	Deltas []PushedDelta `cbor:"12,keyasint,omitempty"`
	// Suspects are request contents that crash upstreams and whose state has recently changed.
	Suspects []quarantine.Update `cbor:"14,keyasint,omitempty"`
	// LimitsDigest identifies the rate limits of upstreams that the sender considers valid.
	// A recipient that knows other rate limits replies with Limits,
	// because reports of rate limits may have been lost,
	// and a VM that has just started has not received earlier reports.
	LimitsDigest uint64                 `cbor:"15,keyasint,omitempty"`
	Limits       []upstream.LimitUpdate `cbor:"16,keyasint,omitempty"`
	// Usage is the usage that a leaf has counted since its hub last replied.
	Usage []usage.Part `cbor:"17,keyasint,omitempty"`
	// Load is the load that a leaf puts on the upstreams of each service.
	Load map[contract.ServiceID]scaling.Load `cbor:"19,keyasint,omitempty"`
	// Lease is what the sender knows of the lease whose holder makes the calls
	// to the platform for all VMs. Lease is nil if the sender knows nothing of the lease.
	Lease *LeaseStatus `cbor:"18,keyasint,omitempty"`
	// Demand is the demand of workspaces as far as the sender reports it to the recipient.
	// Demand is nil while no upstreams are busy.
	Demand *DemandReport `cbor:"20,keyasint,omitempty"`
	// Use is, in a hub's reply to a leaf, the use of the machines of the other VMs.
	Use *CentreUse `cbor:"22,keyasint,omitempty"`
}

// VMCount is the number of VMs in a data centre.
// Age is the time since a VM of that data centre counted the VMs.
type VMCount struct {
	DataCentre contract.DataCentreID `cbor:"1,keyasint"`
	VMs        int                   `cbor:"2,keyasint"`
	Age        time.Duration         `cbor:"3,keyasint,omitempty"`
}

// PushedDelta is the set of changes of one kind of objects after a revision.
type PushedDelta struct {
	After contract.Revision `cbor:"1,keyasint"`
	Delta Delta             `cbor:"2,keyasint"`
}

// KindStatus reports how far a VM's state of one kind of objects is up to date.
type KindStatus struct {
	Kind string `cbor:"1,keyasint"`
	// LastChange is the revision of the newest known change.
	LastChange contract.Revision `cbor:"2,keyasint"`
	// Revision is the store revision up to which the state is complete.
	// Age is the time since the store confirmed that the state is complete.
	Revision contract.Revision `cbor:"3,keyasint"`
	Age      time.Duration     `cbor:"4,keyasint"`
	// ActiveWatcher is the first, in the order of watchers,
	// of the VMs that are known to watch the store for this kind of objects.
	// ActiveWatcherAge is the time since the store last responded to ActiveWatcher.
	ActiveWatcher    Watcher       `cbor:"5,keyasint"`
	ActiveWatcherAge time.Duration `cbor:"6,keyasint"`
	// ActiveWatcherSequence is the number of that response, counted by ActiveWatcher from 1.
	ActiveWatcherSequence uint64 `cbor:"7,keyasint,omitempty"`
	// ConfirmedBy and ConfirmedSequence identify the confirmation that Age belongs to.
	// They are empty if ActiveWatcher has received this confirmation.
	ConfirmedBy       Watcher `cbor:"8,keyasint,omitempty"`
	ConfirmedSequence uint64  `cbor:"9,keyasint,omitempty"`
}

// Comparison is the result of comparing a peer's status of a kind of objects with this VM's state.
type Comparison struct {
	// Behind means that the peer has newer changes than this VM.
	// Request asks the peer for the newer changes.
	Behind  bool
	Request ChangesRequest
	// ConfirmedLater means that the peer's status confirms this VM's state at a later time
	// than this VM knew before, or that the status names another active watcher.
	ConfirmedLater bool
}

// ChangesRequest requests the changes of a kind after a revision.
type ChangesRequest struct {
	Kind  string            `cbor:"1,keyasint"`
	After contract.Revision `cbor:"2,keyasint"`
	// Known means that the sender has all changes of this kind of objects up to After.
	Known bool `cbor:"3,keyasint,omitempty"`
}

// audience is the role of the recipient of a gossip message.
// The audience determines the contents of the message.
type audience uint8

const (
	// audienceLocal is a leaf's hub or a hub's leaf.
	audienceLocal audience = iota
	// audienceHub is another hub of the data centre.
	audienceHub
	// audienceRemote is a VM of another data centre.
	audienceRemote
)

// evidenceAudience maps each audience to the recipient in package rollout that selects
// which counts of good and bad responses of releases are sent.
var evidenceAudience = map[audience]rollout.Recipient{audienceLocal: rollout.RecipientLocal, audienceHub: rollout.RecipientHub, audienceRemote: rollout.RecipientRemote}

// gossipFor returns this VM's gossip message for an audience.
func (p *Peers) gossipFor(recipients audience) GossipMessage {
	v := p.currentView()
	p.mu.Lock()
	now := p.now()
	msg := GossipMessage{Self: p.table.NextHeartbeat(), VMCounts: p.vmCountsLocked(now)}
	switch recipients {
	case audienceLocal:
		msg.Members = p.liveLeavesLocked(now)
	case audienceHub:
		msg.Members = append(p.liveLeavesLocked(now), p.remoteDelegatesLocked(v)...)
	case audienceRemote:
		msg.Members = p.localDelegatesLocked(v)
	}
	kinds := slices.Collect(maps.Values(p.kinds))
	exchange := p.relay
	p.mu.Unlock()
	if recipients != audienceLocal {
		msg.Lease = p.leaseStatus()
	}
	if exchange != nil {
		msg.Evidence, msg.OrderAges, msg.Suspects = exchange.Evidence(evidenceAudience[recipients]), exchange.OrderAges(), exchange.Suspects()
		msg.LimitsDigest = exchange.LimitsDigest()
	}
	for _, kind := range kinds {
		if status, known := kind.status(); known {
			msg.Kinds = append(msg.Kinds, status)
		}
	}
	return msg
}

// vmCountsLocked returns the number of VMs per data centre. The caller holds mu.
func (p *Peers) vmCountsLocked(now time.Time) []VMCount {
	out := make([]VMCount, 0, len(p.counts))
	for dc, c := range p.counts {
		out = append(out, VMCount{dc, c.vms, now.Sub(c.at)})
	}
	return out
}

// remoteDelegatesLocked returns the delegates of other data centres
// (the VMs there that exchange messages with this data centre). The caller holds mu.
func (p *Peers) remoteDelegatesLocked(v *view) []vm.Member {
	var out []vm.Member
	for _, members := range v.remote {
		out = append(out, members...)
	}
	return out
}

// localDelegatesLocked returns the delegates of this data centre. The caller holds mu.
func (p *Peers) localDelegatesLocked(v *view) []vm.Member {
	return slices.Clone(v.ranked[:min(delegates, len(v.ranked))])
}

// gossipToHub returns this leaf's message for its hub.
func (p *Peers) gossipToHub() GossipMessage {
	msg := p.gossipFor(audienceLocal)
	msg.FromLeaf, msg.MembersDigest = true, p.currentView().digest
	p.mu.Lock()
	defer p.mu.Unlock()
	msg.UnknownToHub = slices.Sorted(maps.Values(p.unknownToHub))
	return msg
}

// exchangeGossip sends a message, applies the reply and reports whether a reply came.
func (p *Peers) exchangeGossip(ctx context.Context, address string, timeout time.Duration, msg GossipMessage) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := link.Call[GossipMessage, GossipMessage](ctx, p.endpoint, address, link.KindGossip, msg)
	p.recordReply(address, err)
	if err != nil {
		return false
	}
	p.recordMembers(reply, true)
	p.updateRankKnown(reply)
	p.recordLease(reply.Lease)
	p.recordDemand(reply)
	if reply.Use != nil {
		p.recordUse(*reply.Use)
	}
	p.reconcileLimits(reply)
	p.applyGossip(context.WithoutCancel(ctx), reply)
	return true
}

func (p *Peers) handleGossip(ctx context.Context, _ string, msg GossipMessage) (GossipMessage, error) {
	p.recordMembers(msg, false)
	p.recordUsage(msg.Usage)
	p.recordLoad(p.leafLoad, instanceOf(msg.Self), msg.Load)
	p.recordLease(msg.Lease)
	p.recordDemand(msg)
	go p.applyGossip(context.WithoutCancel(ctx), msg)
	reply := p.gossipReply(msg)
	if exchange := p.relayOrNil(); exchange != nil && reply.LimitsDigest != msg.LimitsDigest {
		reply.Limits = exchange.Limits()
	}
	return reply, nil
}

// gossipReply returns this VM's reply to a message.
func (p *Peers) gossipReply(msg GossipMessage) GossipMessage {
	switch {
	case msg.Joining:
		return p.replyToJoining(msg.Self.DataCentre)
	case msg.Self.DataCentre != p.dc:
		return p.withDemand(p.gossipFor(audienceRemote), audienceRemote)
	case msg.FromLeaf:
		reply := p.replyToLeaf(msg)
		reply.Demand = p.demandForLeaf(instanceOf(msg.Self))
		use := p.useExcept(msg.Self.VM)
		reply.Use = &use
		return reply
	case p.currentView().isHub:
		return p.withDemand(p.gossipFor(audienceHub), audienceHub)
	}
	return p.gossipFor(audienceLocal)
}

// reconcileLimits applies the rate limits of upstreams in a reply,
// and reports to the replying VM the limits that it lacks.
func (p *Peers) reconcileLimits(reply GossipMessage) {
	exchange := p.relayOrNil()
	if exchange == nil {
		return
	}
	exchange.MergeLimits(reply.Limits, false, reply.Self.VM)
	if exchange.LimitsDigest() == reply.LimitsDigest {
		return
	}
	p.sendReportMessages(reply.Self, limitsToSend(exchange.Limits(), reply.Limits), false)
}

// limitsToSend returns the rate limits that another VM does not know or knows in an older version.
// A rate limit that has ended is left out if the other VM does not know it.
func limitsToSend(ours, theirs []upstream.LimitUpdate) []report {
	versions := make(map[contract.UpstreamInstance]uint64, len(theirs))
	for _, limit := range theirs {
		versions[limit.Instance] = limit.Version
	}
	var missing []report
	for _, limit := range ours {
		version, known := versions[limit.Instance]
		if known && limit.Version > version || !known && limit.Limit.Statement == upstream.LimitStated {
			missing = append(missing, report{limit: &limit})
		}
	}
	return missing
}

// relayOrNil returns the attached relay, or nil before a relay is attached.
func (p *Peers) relayOrNil() relayExchange {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.relay
}

// remoteMembersOneIn is how many replies to leaves are sent,
// on average, for each reply that includes the delegates of other data centres.
// A leaf needs these delegates only when it becomes a hub.
const remoteMembersOneIn = 10

// replyToLeaf returns the reply to a leaf.
// The reply includes all VMs of the data centre if the leaf's digest differs.
func (p *Peers) replyToLeaf(request GossipMessage) GossipMessage {
	reply := p.gossipFor(audienceLocal)
	v := p.currentView()
	reply.Members, reply.DigestMatches = nil, v.digest == request.MembersDigest
	if reply.DigestMatches && rand.IntN(remoteMembersOneIn) != 0 {
		return reply
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	reply.Members = p.remoteDelegatesLocked(v)
	if reply.DigestMatches {
		return reply
	}
	reply.LocalMembers = append(slices.Clone(v.localPeers), reply.Self)
	reply.LocalMembers = append(reply.LocalMembers, p.silentLocal(2*vm.DeadAfter, p.now())...)
	return reply
}

// replyToJoining returns, to a VM that looks for peers,
// the known VMs of the data centre of that VM.
func (p *Peers) replyToJoining(dc contract.DataCentreID) GossipMessage {
	reply := p.gossipFor(audienceRemote)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.table.Live(p.now()) {
		if m.DataCentre == dc && m.VM != p.table.Self().VM {
			reply.Members = append(reply.Members, m)
		}
	}
	return reply
}
