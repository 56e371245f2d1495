package site

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/fairshare"
	"woaddoor/leader"
	"woaddoor/link"
	"woaddoor/quarantine"
	"woaddoor/relay"
	"woaddoor/rollout"
	"woaddoor/scaling"
	"woaddoor/upstream"
	"woaddoor/vm"
)

// replicatedKind is a kind of objects that VMs send to each other.
type replicatedKind interface {
	status() (KindStatus, bool)
	compareWithPeer(status KindStatus) Comparison
	changesSince(after contract.Revision, known bool) Delta
	applyFromPeer(d Delta, status KindStatus, from string)
	isWatching() bool
}

// Timings and limits of the messages between VMs.
const (
	// heartbeatInterval is the period in which a leaf contacts its hub
	// (the VM that forwards messages for it), and in which hubs contact each other.
	// A change that a hub knows reaches its leaves within one interval even
	// if the message that announced the change was lost.
	heartbeatInterval = 500 * time.Millisecond
	// localTimeout and remoteTimeout bound the time for a message and its reply:
	// localTimeout within a data centre, remoteTimeout between two data centres.
	// A VM with a fifth of a core replies in tens of milliseconds.
	localTimeout  = 600 * time.Millisecond
	remoteTimeout = 900 * time.Millisecond
	// heartbeatsPerRemote is the number of heartbeats per message to each other data centre.
	heartbeatsPerRemote = 2
	// pullTimeout bounds a transfer of changes.
	// If a hub with 20 Mbit/s sends the whole list of a thousand upstreams,
	// 0.25 MB, to all its leaves (the VMs that use the hub) at once, the transfers take 2.4 s.
	// With a timeout of 0.9 s a transfer was aborted and restarted endlessly.
	pullTimeout = 6 * time.Second
	// delegates is the number of VMs of a data centre
	// that exchange messages with other data centres.
	// spareDelegates is the number of further VMs of another data centre
	// that are tried if its delegates do not reply.
	delegates, spareDelegates = 2, 1
	// changeInterval is the minimum time between two rounds of messages in which a VM announces
	// changes. Changes come in bursts of dozens, and one message announces all changes of a burst.
	changeInterval = 80 * time.Millisecond
	// confirmationInterval is the minimum time between two rounds of messages that only announce
	// that the store has no newer changes. The store is watched for three kinds of objects,
	// and the wait between rounds adds to the age of each confirmation.
	confirmationInterval = 100 * time.Millisecond
	// joinInterval is the period in which a VM that has no hub yet contacts a seed
	// (a VM that starting VMs contact first).
	// discoveryInterval is the period in which a hub contacts VMs from which it receives nothing.
	joinInterval      = 400 * time.Millisecond
	discoveryInterval = time.Second
	// maxDiscoveryTargets is the number of VMs, besides a seed,
	// that a hub contacts per discoveryInterval because the hub receives nothing from these VMs.
	maxDiscoveryTargets = 2
	// seedPeriod is how long after its start a VM keeps contacting the seeds, without the times for
	// which it was suspended.
	// Earlier, the seeds may know only a few other VMs.
	seedPeriod = 4 * time.Second
)

// Peers exchanges state with the other VMs of a deployment.
type Peers struct {
	endpoint *link.Endpoint
	log      *zap.Logger
	now      func() time.Time
	dc       contract.DataCentreID
	regions  map[contract.DataCentreID]string
	started  time.Time
	awake    awakeTime
	// changeRounds and confirmationRounds limit the rate of the rounds of messages
	// that announce changes and the absence of changes.
	// urgentRounds limits the rate of the rounds of messages that announce harmful events:
	// failed responses of a release on trial and request contents that crash upstreams.
	changeRounds, confirmationRounds, urgentRounds *rounds
	// discoverNow triggers an immediate message to VMs that the store lists.
	// unknownPeer signals contact from a VM
	// that this VM has not yet seen in the store's list of VMs.
	// rejected signals that a VM does not know this VM.
	discoverNow, unknownPeer, rejected chan struct{}
	// packedLists caches full lists of objects in the form in which they are sent.
	packedLists packedCache
	// reports queues the reports about upstreams to other VMs.
	reports reportQueue
	// seeds are link addresses at which other VMs may be found, without the address of this VM.
	// isSeed is set if this VM is a seed.
	seeds  []string
	isSeed bool
	// seedReplied is set once a seed has replied to this VM.
	seedReplied atomic.Bool
	// firstStart is set if all VMs start for the very first time, so that no client is waiting.
	firstStart bool
	// lease and usage belong to the lease whose holder makes the calls to the platform for all VMs.
	// lease and usage are nil where there is no lease.
	lease *leader.LeaseClient
	usage *leader.UsageLedger
	// shuttingDown is set when this VM is about to end.
	shuttingDown atomic.Bool
	// remoteAddresses holds the link addresses of VMs of other data centres.
	remoteAddresses sync.Map
	// cachedView is the newest view.
	// viewStale is set when something has changed since the cached view was built.
	cachedView atomic.Pointer[view]
	viewStale  atomic.Bool

	// mu guards the fields below.
	// The replicated kinds have their own locks and are not called while mu is held.
	mu              sync.Mutex
	kinds           map[string]replicatedKind
	relay           relayExchange
	table           *vm.Table
	listedAddresses map[string]bool // link addresses at which VMs may be found
	memberIPs       map[string]bool
	// loggedLive is the number of live VMs at the last heartbeat.
	loggedLive int
	// leaves holds the VMs that use this VM as their hub.
	leaves map[contract.VMID]leaf
	// unresponsiveUntil holds the link addresses that did not reply,
	// and the time until which each address is skipped.
	unresponsiveUntil map[string]time.Time
	// othersUse is the use of the other VMs of this data centre as last known.
	othersUse CentreUse
	// counts holds the number of VMs per data centre.
	counts map[contract.DataCentreID]dataCentreCount
	// rankKnown is set once this VM knows its rank
	// in its data centre from the replies of other VMs.
	rankKnown bool
	// unknownToHub holds the link addresses of VMs of this data centre
	// that this leaf knows and the hub of this leaf does not know.
	unknownToHub map[contract.VMID]string
	// activePulls holds the pulls (requests for changes) in progress, by kind of objects.
	activePulls map[string]activePull
	// announced holds, for each kind of objects,
	// the revision up to which the last round of messages announced changes.
	announced map[string]contract.Revision
	// leaseHolder is the link address of the lease holder.
	leaseHolder leaseHolder
	// leafLoad holds the load reported by this VM's leaves,
	// and hubLoad holds the load reported by other hubs while this VM holds the lease.
	leafLoad, hubLoad loadReports
	// demand holds the demand of workspaces that other VMs have reported.
	demand demandReports
}

// PeersOptions configure Peers.
type PeersOptions struct {
	Endpoint *link.Endpoint
	Self     vm.Member
	// Seeds are link addresses
	// (UDP addresses of endpoints of package link) at which other VMs may be found.
	Seeds []string
	// Regions names the region of each data centre.
	// The data centres of a region share one watcher of the store.
	// If Regions is empty, all data centres share one watcher.
	Regions map[contract.DataCentreID]string
	// FirstStart is set if all VMs start for the very first time.
	FirstStart bool
	// Lease and Usage belong to the lease whose holder makes the calls to the platform for all VMs.
	// Lease and Usage are nil where there is no lease.
	Lease *leader.LeaseClient
	Usage *leader.UsageLedger
	Log   *zap.Logger
	Now   func() time.Time
}

// NewPeers returns the Peers of a VM and registers its message handlers.
func NewPeers(opts *PeersOptions) *Peers {
	p := &Peers{
		lease: opts.Lease, usage: opts.Usage,
		endpoint: opts.Endpoint, dc: opts.Self.DataCentre, regions: opts.Regions, log: opts.Log, now: opts.Now, started: opts.Now(),
		awake:       awakeTime{last: opts.Now()},
		discoverNow: make(chan struct{}, 1), unknownPeer: make(chan struct{}, 1), rejected: make(chan struct{}, 1),
		kinds: make(map[string]replicatedKind), seeds: slices.DeleteFunc(slices.Clone(opts.Seeds), func(s string) bool { return s == opts.Self.ControlAddress }),
		table: vm.NewTable(opts.Self), listedAddresses: make(map[string]bool), memberIPs: make(map[string]bool),
		leaves: make(map[contract.VMID]leaf), unresponsiveUntil: make(map[string]time.Time), counts: make(map[contract.DataCentreID]dataCentreCount),
		leafLoad: make(loadReports), hubLoad: make(loadReports), demand: newDemandReports(),
		announced: make(map[string]contract.Revision), unknownToHub: make(map[contract.VMID]string), activePulls: make(map[string]activePull),
	}
	p.changeRounds = newRounds(changeInterval, p.sendChanges)
	p.confirmationRounds, p.urgentRounds = newRounds(confirmationInterval, p.sendStatus), newRounds(urgentInterval, p.sendStatus)
	p.firstStart = opts.FirstStart && len(p.seeds) > 0
	p.isSeed = len(p.seeds) < len(opts.Seeds)
	p.reports.ownRounds, p.reports.forwardRounds = newCoalescer(reportInterval), newCoalescer(forwardInterval)
	for _, s := range opts.Seeds {
		p.recordIP(s)
	}
	p.endpoint.InOtherDataCentre = func(address string) bool { _, remote := p.remoteAddresses.Load(address); return remote }
	link.Handle(p.endpoint, link.KindGossip, p.handleGossip)
	link.Handle(p.endpoint, link.KindObjectChanges, p.handleChangesRequest)
	link.Handle(p.endpoint, link.KindUpstreamReport, p.handleReport)
	link.Handle(p.endpoint, link.KindUsageReport, p.handleUsageReport)
	return p
}

// relayExchange is the part of the relay that exchanges state with other VMs:
// counts of good and bad responses of releases on trial,
// request contents that crash upstreams, and observations of upstreams.
type relayExchange interface {
	Evidence(to rollout.Recipient) rollout.TrialEvidence
	MergeEvidence(e rollout.TrialEvidence) (worse bool)
	OrderAges() []relay.OrderAge
	MergeOrderAges(ages []relay.OrderAge)
	Suspects() []quarantine.Update
	MergeSuspects(suspects []quarantine.Update, from contract.VMID) (urgent bool)
	MergeSent(sent []relay.SentPrompt)
	MergeConfidence(reports []relay.ConfidenceReport)
	MergeBackoffs(backoffs []relay.Backoff)
	MergeLimits(limits []upstream.LimitUpdate, fresh bool, from contract.VMID)
	Limits() []upstream.LimitUpdate
	LimitsDigest() uint64
	OfferedLoad() map[contract.ServiceID]scaling.Load
	Demand() fairshare.Demands
	SetOthersDemand(d fairshare.Demands)
}

// attachRelay sets the relay whose state is exchanged with other VMs.
func (p *Peers) attachRelay(exchange relayExchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.relay = exchange
}

// registerKind adds a kind of objects to exchange with other VMs.
func (p *Peers) registerKind(kind string, objects replicatedKind) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kinds[kind] = objects
}

// status returns this VM's status of a kind of objects,
// and whether this VM has received the objects of this kind.
func (p *Peers) status(kind string) (KindStatus, bool) {
	objects := p.kind(kind)
	if objects == nil {
		return KindStatus{}, false
	}
	return objects.status()
}

// kind returns a kind of objects, or nil if it is not registered.
func (p *Peers) kind(name string) replicatedKind {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.kinds[name]
}

// recordIP adds the IP address of a VM of the deployment.
// The caller holds mu or has not shared p yet.
func (p *Peers) recordIP(address string) {
	if host, _, err := net.SplitHostPort(address); err == nil {
		p.memberIPs[host] = true
	}
}

// KnownIP reports whether an IP address belongs to a VM of the deployment. For an unknown address,
// KnownIP triggers another read of the store's list of VMs, which may contain the VM by now.
func (p *Peers) KnownIP(ip string) bool {
	p.mu.Lock()
	known := p.memberIPs[ip]
	p.mu.Unlock()
	if !known {
		notify(p.unknownPeer)
	}
	return known
}

// UnknownPeer returns a channel that signals contact from an unknown VM.
func (p *Peers) UnknownPeer() <-chan struct{} { return p.unknownPeer }

// Rejected returns a channel that signals that a VM does not know this VM.
func (p *Peers) Rejected() <-chan struct{} { return p.rejected }

// notify sends a signal on c unless one is already pending.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// AddListed adds the link addresses of the VMs that the store lists.
func (p *Peers) AddListed(addresses []string) {
	p.mu.Lock()
	for _, address := range addresses {
		p.addListedAddress(address)
	}
	p.mu.Unlock()
	p.viewStale.Store(true)
	notify(p.discoverNow)
}

// addListedAddress adds a link address at which a VM may be found. The caller holds mu.
func (p *Peers) addListedAddress(address string) {
	if address != p.table.Self().ControlAddress {
		p.listedAddresses[address] = true
		p.recordIP(address)
	}
}

// HasSeeds reports whether this VM has addresses at which other VMs may be found.
func (p *Peers) HasSeeds() bool { return len(p.seeds) > 0 }

// IsSeed reports whether starting VMs contact this VM first.
func (p *Peers) IsSeed() bool { return p.isSeed }

// Joined reports whether any other VM has replied to this VM.
func (p *Peers) Joined() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rankKnown || len(p.table.Live(p.now())) > 1
}

// Alone reports whether this VM knows no other live VM.
func (p *Peers) Alone() bool { return p.currentView().live == 1 }

// EstimatedVMs returns an upper estimate of the number of VMs in the deployment.
func (p *Peers) EstimatedVMs() int { return p.currentView().total }

// Counted reports whether the other VMs count this VM among those that share what is limited for all.
// The seeds do not know a VM that is not yet in the store's list of VMs, and reject it.
// A VM that no seed has answered within seedPeriod, in which it was running, is taken to be cut off,
// and counts itself.
func (p *Peers) Counted() bool {
	return !p.HasSeeds() || p.seedReplied.Load() || p.awake.until(p.now()) >= seedPeriod
}

// GossipScope returns the group of VMs whose requests to upstreams are reported to this VM.
func (p *Peers) GossipScope() upstream.GossipScope { return p.currentView().scope }

// Rank returns the rank of this VM among the VMs that may watch the store for its region.
func (p *Peers) Rank() Rank { return p.currentView().rank }

// IsDelegate reports whether this VM is one of the delegates of its data centre
// (the VMs that exchange messages with other data centres).
func (p *Peers) IsDelegate() bool { return p.currentView().rank.Local < delegates }

// AsWatcher returns this VM as a candidate for watching the store.
func (p *Peers) AsWatcher() Watcher {
	p.mu.Lock()
	defer p.mu.Unlock()
	self := p.table.Self()
	return Watcher{VM: self.VM, CapacityUnits: self.CapacityUnits, Incarnation: self.Incarnation}
}

// sameRegion reports whether a data centre shares a watcher of the store
// with the data centre of this VM.
func (p *Peers) sameRegion(dc contract.DataCentreID) bool { return p.regions[dc] == p.regions[p.dc] }

// Close closes all links.
func (p *Peers) Close() error { return p.endpoint.Close() }
