package entry

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"woaddoor/clock"
	"woaddoor/config"
	"woaddoor/contract"
	"woaddoor/document"
	"woaddoor/link"
	"woaddoor/logs"
	"woaddoor/permit"
	"woaddoor/protocol"
	"woaddoor/vm"
)

// view is the state that this process got from control processes:
// the configuration and the live VMs.
// A view is immutable once stored in Server.view.
type view struct {
	snapshot permit.Snapshot
	revision contract.Revision
	members  []vm.Member
	// lastListed holds the time at which an answer of a control process last listed each member.
	lastListed map[contract.VMID]time.Time
	// membersAskedAt is when the last request that returned the members was sent.
	membersAskedAt time.Time
	// replica holds the newest configuration document. Server.applyMu guards replica.
	replica *document.Replica
	// document is the document in replica when this view was made.
	document *document.Document
}

// age returns the time since the configuration was last known to be the newest one.
func (v *view) age(now time.Time) time.Duration {
	if v.snapshot.FreshAt.IsZero() {
		return staleAfter // never confirmed as the newest: peers have to be asked
	}
	return now.Sub(v.snapshot.FreshAt)
}

// emptyView returns the view of a process that has not received a configuration yet.
func emptyView() *view {
	r := document.NewReplica()
	return &view{snapshot: permit.Snapshot{Config: &config.Config{}}, replica: r, document: r.Document()}
}

// Timings of the pulls from control processes.
const (
	// pullMaxWait is how long a control process may delay its answer to wait for a newer configuration.
	pullMaxWait = 500 * time.Millisecond
	// pullRetryDelay is the pause after a failed pull, and between checks whether peers have to be asked.
	pullRetryDelay = 100 * time.Millisecond
	// pullTimeout bounds one pull. If this VM's control process hangs, pullTimeout is short enough
	// for a change to arrive through a peer's control process within the time allowed for changes
	// to take effect.
	pullTimeout = pullMaxWait + 500*time.Millisecond
)

// pullLoop keeps the view up to date by pulling from this VM's control process.
// The pulls also report this process as alive. pullLoop asks no other control process,
// so that an unreachable peer cannot delay it.
func (s *Server) pullLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if err := s.pullFrom(ctx, s.opts.Settings.Control.LinkAddress); err != nil {
			s.recordPullFailure(err)
			clock.Sleep(ctx, pullRetryDelay)
		}
	}
}

// membersInterval is how often a pull also asks for the list of live VMs.
const membersInterval = time.Second

// staleAfter is the age of the configuration from which the control processes of peers are asked as
// well.
const staleAfter = 2 * time.Second

// peerPullLoop pulls from the control processes of peers while the configuration is stale:
// this VM's control process has then crashed, hangs or has no recent configuration itself.
func (s *Server) peerPullLoop(ctx context.Context) {
	for next := 0; ctx.Err() == nil; {
		if s.view.Load().age(s.clock.Now()) < staleAfter {
			clock.Sleep(ctx, pullRetryDelay)
			continue
		}
		peers := s.peerControlAddresses()
		if len(peers) == 0 {
			clock.Sleep(ctx, pullRetryDelay)
			continue
		}
		if err := s.pullFrom(ctx, peers[next%len(peers)]); err != nil {
			s.recordPullFailure(err)
		}
		next++
	}
}

// recordPullFailure counts and logs a failed pull.
func (s *Server) recordPullFailure(err error) {
	s.metrics.pullFailures.Inc(1)
	s.log.Warn("pull-failed", logs.ErrorFields(err)...)
}

// controlAddresses returns the addresses of control processes, first that of this VM's own process.
func (s *Server) controlAddresses() []string {
	return append([]string{s.opts.Settings.Control.LinkAddress}, s.peerControlAddresses()...)
}

// peerControlAddresses returns the addresses of the control processes of live peers.
// Peers in this VM's data centre come first. If no peer is known, the addresses in the settings are
// returned.
func (s *Server) peerControlAddresses() []string {
	var local, remote []string
	for _, m := range s.view.Load().members {
		switch {
		case m.VM == s.opts.Settings.VM:
		case m.DataCentre == s.opts.Settings.DataCentre:
			local = append(local, m.ControlAddress)
		default:
			remote = append(remote, m.ControlAddress)
		}
	}
	addresses := append(local, remote...)
	if len(addresses) > 0 {
		return addresses
	}
	return s.opts.Settings.PeerControlLinks()
}

// pullFrom pulls from one control process and applies the answer to the view.
func (s *Server) pullFrom(ctx context.Context, address string) error {
	v := s.view.Load()
	current := v.document
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	askedAt := s.clock.Now()
	req := protocol.PullRequest{HeldRevision: current.Revision, HeldHash: current.Hash().Short(), MaxWait: pullMaxWait}
	if askedAt.Sub(v.membersAskedAt) >= membersInterval {
		req.MemberScope = protocol.AllMembers
	}
	if address == s.opts.Settings.Control.LinkAddress {
		req.Entry = s.entryState()
	}
	answer, err := link.Call[protocol.PullRequest, protocol.PullResponse](ctx, s.endpoint, address, link.KindPullConfig, req)
	if err != nil {
		return err
	}
	return contract.WrapStep(contract.StepPull, address, s.applyPull(answer, current.Revision, askedAt))
}

// entryState returns the state that this process reports to its control process with each pull.
func (s *Server) entryState() *protocol.EntryState {
	st := &protocol.EntryState{
		Incarnation: s.incarnation, Address: s.opts.Settings.Entry.AdvertisedLink,
		Revision: s.view.Load().revision, Stopping: s.stopping.Load(),
	}
	s.locked(func() {
		st.RolloutEvidence = s.rolloutMonitor.Evidence()
		for v := range s.rolloutMonitor.Halted() {
			st.HaltedVersions = append(st.HaltedVersions, v)
		}
	})
	return st
}

// errInvalidConfig is returned for a configuration document that cannot be used.
// The old document stays in use.
var errInvalidConfig = errors.New("invalid configuration")

// applyPull applies the answer of a pull and stores the resulting view.
// applyPull returns an error if the patch no longer applies because the other pull loop changed the
// document first. The next pull then gets the rest.
func (s *Server) applyPull(answer protocol.PullResponse, askedRevision contract.Revision, askedAt time.Time) error {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	v := s.view.Load()
	doc := v.replica.Document()
	if answer.Patch != nil && answer.Patch.To > doc.Revision {
		next, err := answer.Patch.Apply(doc)
		if err != nil {
			return err
		}
		doc = next
	}
	behind := answer.Patch != nil && answer.Patch.To < doc.Revision
	switch freshAt := askedAt.Add(-answer.ConfigAge); {
	case !answer.AgeKnown || behind:
	case answer.Patch == nil:
		// The answer confirms askedRevision as the newest revision.
		// askedRevision may no longer be the current revision, because the other pull loop may have
		// changed the document in the meantime.
		v.replica.Confirm(askedRevision, freshAt)
	default:
		v.replica.Update(doc, freshAt)
	}
	next := *v
	next.document = v.replica.Document()
	next.revision = next.document.Revision
	if answer.Members != nil {
		next.members, next.lastListed = mergeMembers(v.members, v.lastListed, answer.Members, askedAt)
		next.membersAskedAt = askedAt
	}
	if next.revision != v.revision {
		c, err := config.FromDocument(v.replica.Document())
		if err != nil {
			s.log.Error("configuration-unusable", logs.ErrorFields(err)...)
			return errors.Join(errInvalidConfig, err)
		}
		next.snapshot.Config = c
		s.log.Info("configuration-in-force", zap.Uint64("revision", uint64(next.revision)))
	}
	next.snapshot.FreshAt = v.replica.FreshAt()
	s.locked(func() {
		if answer.Members != nil {
			s.recordKeepers(next.members, s.clock.Now())
		}
		for _, halted := range answer.HaltedVersions {
			s.rolloutMonitor.Halt(halted)
		}
		next.snapshot.Halted = s.rolloutMonitor.Halted()
		s.applyConfig(&next, next.revision != v.revision)
		leaving := make(map[contract.UpstreamID]bool, len(answer.LeavingUpstreams))
		for _, id := range answer.LeavingUpstreams {
			leaving[id] = true
		}
		s.upstreams.MarkLeaving(leaving)
		// The view is stored with mu held, as in haltLocally, so that a concurrent halt is not lost.
		s.view.Store(&next)
	})
	return nil
}

// applyConfig passes a changed configuration to the upstream table, the rollout monitor and the queues. The
// caller must hold mu.
func (s *Server) applyConfig(v *view, changed bool) {
	if !changed {
		return
	}
	c := v.snapshot.Config
	s.upstreams.Configure(c.Pools)
	s.rolloutMonitor.Prune(c.Progress)
	total := 0
	for _, w := range c.Workspaces {
		total += max(w.Weight, 1)
	}
	s.engineQueue.SetTotalWeight(total)
	s.serviceQueue.SetTotalWeight(total)
	select {
	case s.reconfigured <- struct{}{}:
	default:
	}
}

// admissionFactor is the number of requests that all VMs together admit per slot of the upstreams.
// The factor is above 1, so that the upstreams' own queues keep the upstreams busy.
// docs/MEASURES.md has the measurements.
const admissionFactor = 1.5

// updateCapacity sets how many requests this VM admits,
// computed from the slots of the usable upstreams.
// The caller must hold mu.
func (s *Server) updateCapacity() {
	members := s.view.Load().members
	s.engineQueue.SetCapacity(s.capacity(config.EnginePool, members))
	s.serviceQueue.SetCapacity(s.capacity(config.ServicePool, members))
}

// capacity returns how many requests this VM admits to pools of a kind (engines or services).
// The result is this VM's share of the slots of those pools in its data centre,
// times admissionFactor.
func (s *Server) capacity(kind config.PoolKind, members []vm.Member) int {
	dataCentre := s.opts.Settings.DataCentre
	vms := 0
	for _, m := range members {
		if m.DataCentre == dataCentre && !m.Leaving {
			vms++
		}
	}
	slots := s.upstreams.UsableSlots(kind, dataCentre, s.clock.Now())
	share := admissionFactor * float64(slots) / float64(max(vms, 1))
	return min(max(int(share), 1), s.opts.Settings.Entry.MaxInFlight)
}
