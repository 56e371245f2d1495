package control

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"woaddoor/clock"
	"woaddoor/config"
	"woaddoor/contract"
	"woaddoor/document"
	"woaddoor/history"
	"woaddoor/link"
	"woaddoor/logs"
	"woaddoor/protocol"
	"woaddoor/store"
	"woaddoor/vm"
)

// Timeouts and limits for receiving the configuration, by watches of the
// platform's store and by pulls from peers.
const (
	watchMargin     = 3 * time.Second
	watchRetryDelay = 250 * time.Millisecond
	pullWait        = 500 * time.Millisecond
	pullTimeout     = pullWait + 500*time.Millisecond
	pullRetryDelay  = 200 * time.Millisecond
	// staleAfter is the age of the configuration from which a watcher (a VM that watches the
	// platform's store) also pulls from its peers, because the platform may be unreachable only
	// from this VM.
	staleAfter = 2 * time.Second
	// maxRecentDocuments limits how many configuration documents are kept.
	// Patches for peers are made from the kept documents.
	maxRecentDocuments = 32
)

// watchLoop watches the root object in the platform's store while this VM is one of the watchers
// of its data centre. The platform counts each watch as a call, so the VMs that are not watchers
// get the configuration from their peers over the link.
func (s *Server) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		isWatcher := false
		s.withLock(func() { isWatcher = s.table.IsWatcher(s.opts.Settings.Control.Watchers, s.clock.Now()) })
		if !isWatcher {
			clock.Sleep(ctx, watchRetryDelay)
			continue
		}
		if err := s.watchOnce(ctx); err != nil {
			s.metrics.watchFailures.Inc(1)
			s.log.Warn("watch-failed", logs.ErrorFields(err)...)
			clock.Sleep(ctx, watchRetryDelay)
		}
	}
}

// watchOnce makes one watch call to the platform. The answer reflects the state at some time after
// the call began, so the freshness of the answer counts from the time before the call.
func (s *Server) watchOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.opts.Settings.Control.WatchWait+watchMargin)
	defer cancel()
	var knownVersion contract.ObjectVersion
	var rootRevision contract.Revision
	s.withLock(func() { knownVersion, rootRevision = s.rootVersion, s.rootRevision })
	askedAt := s.clock.Now()
	object, err := s.store.Watch(ctx, document.RootName, knownVersion, s.opts.Settings.Control.WatchWait)
	if errors.Is(err, store.ErrUnchanged) {
		// Confirm only the revision that the unchanged root object points at.
		// A newer document received from a peer is not confirmed, because the
		// answer may come from a lagging replica of the platform.
		s.withLock(func() { s.replica.Confirm(rootRevision, askedAt) })
		return nil
	}
	if err != nil {
		return contract.WrapStep(contract.StepWatch, "platform", err)
	}
	var held *document.Document
	s.withLock(func() { held = s.replica.Document() })
	snapshot, err := history.ReadSnapshotSince(ctx, s.store, held, object)
	if err != nil {
		return err
	}
	return s.adoptDocument(snapshot.Document, askedAt, object.Version)
}

// adoptDocument stores a configuration document that was the platform's newest at freshAt,
// unless this VM already holds a newer document. A rootVersion of 0 means that the document did not
// come from a watch of the root object, but from a peer or from this VM's own write.
func (s *Server) adoptDocument(d *document.Document, freshAt time.Time, rootVersion contract.ObjectVersion) error {
	parsed, err := config.FromDocument(d)
	if err != nil {
		return contract.WrapStep(contract.StepWatch, "", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if rootVersion != 0 {
		s.rootVersion, s.rootRevision = rootVersion, d.Revision
	}
	if !s.replica.Update(d, freshAt) {
		return nil
	}
	s.config = parsed
	s.recentDocuments = append(s.recentDocuments, d)
	if len(s.recentDocuments) > maxRecentDocuments {
		s.recentDocuments = s.recentDocuments[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	s.log.Info("configuration-learned", zap.Uint64("revision", uint64(d.Revision)), zap.Bool("from-platform", rootVersion != 0))
	return nil
}

// pullLoop pulls the newest configuration from peers while this VM is not a watcher (a VM that
// watches the platform's store), or while the platform has not answered for longer than staleAfter.
func (s *Server) pullLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !s.shouldPull() {
			clock.Sleep(ctx, pullRetryDelay)
			continue
		}
		if !s.pullFromPeers(ctx) {
			clock.Sleep(ctx, pullRetryDelay)
		}
	}
}

// shouldPull returns whether this VM needs the configuration from its peers.
func (s *Server) shouldPull() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	return !s.table.IsWatcher(s.opts.Settings.Control.Watchers, now) || s.replica.Age(now) > staleAfter
}

// pullFromPeers pulls from one peer after another until the configuration is fresh.
// pullFromPeers returns whether the configuration is fresh.
func (s *Server) pullFromPeers(ctx context.Context) bool {
	for _, address := range s.pullSources() {
		if ctx.Err() != nil {
			return false
		}
		if err := s.pullFromPeer(ctx, address); err != nil {
			s.metrics.pullFailures.Inc(1)
			s.log.Debug("relay-failed", logs.ErrorFields(err)...)
			continue
		}
		fresh := false
		s.withLock(func() { fresh = s.replica.Age(s.clock.Now()) < staleAfter })
		if fresh {
			return true
		}
	}
	return false
}

// pullSources returns the link addresses of the control processes to pull from, best first.
// The addresses are those of the live VMs or, if no VM is known to be live, those in the settings.
func (s *Server) pullSources() []string {
	var sources []vm.Member
	s.withLock(func() { sources = s.table.ConfigSources(s.clock.Now()) })
	var addresses []string
	for _, m := range sources {
		addresses = append(addresses, m.ControlAddress)
	}
	if len(addresses) > 1 {
		// Alternate between the two best peers.
		// If the VMs disagree on which VMs are watchers (VMs that watch the
		// platform's store), each of the two best peers may be waiting for the other.
		s.swapTopPeers = !s.swapTopPeers
		if s.swapTopPeers {
			addresses[0], addresses[1] = addresses[1], addresses[0]
		}
	}
	if len(addresses) > 0 {
		return addresses
	}
	return s.opts.Settings.PeerControlLinks()
}

// pullFromPeer pulls the configuration from the control process at the given address.
// pullFromPeer merges the members, the halted versions and the upstreams that are leaving,
// as listed in the answer.
func (s *Server) pullFromPeer(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var held *document.Document
	s.withLock(func() { held = s.replica.Document() })
	askedAt := s.clock.Now()
	answer, err := link.Call[protocol.PullRequest, protocol.PullResponse](ctx, s.endpoint, address, link.KindPullConfig,
		protocol.PullRequest{HeldRevision: held.Revision, HeldHash: held.Hash().Short(), MaxWait: pullWait, MemberScope: s.nextMemberScope()})
	if err != nil {
		return err
	}
	s.mergeMembers(answer.Members, answer.HaltedVersions)
	if !answer.AgeKnown {
		return nil
	}
	freshAt := askedAt.Add(-answer.ConfigAge)
	if answer.Patch == nil {
		s.withLock(func() {
			s.replica.Confirm(held.Revision, freshAt)
			s.setLeavingUpstreams(answer.LeavingUpstreams)
		})
		return nil
	}
	if answer.Patch.To < held.Revision {
		return nil // the peer holds an older revision
	}
	d, err := answer.Patch.Apply(held)
	if err != nil {
		return contract.WrapStep(contract.StepPull, address, err)
	}
	return s.adoptDocument(d, freshAt, 0)
}

// remoteMembersInterval is how often a VM asks its peers for the VMs of other data centres.
// Only watchers (VMs that watch the platform's store) receive heartbeats from other data centres.
const remoteMembersInterval = 15 * time.Second

// nextMemberScope returns which members the next pull asks for: once per remoteMembersInterval the
// VMs of other data centres, and otherwise no VMs.
func (s *Server) nextMemberScope() protocol.MemberScope {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if now.Sub(s.remoteMembersAskedAt) < remoteMembersInterval {
		return protocol.NoMembers
	}
	s.remoteMembersAskedAt = now
	return protocol.RemoteMembers
}

// answerPull answers a pull request of an entry process or of another control process.
// answerPull waits for a newer revision for at most the time in the request.
func (s *Server) answerPull(ctx context.Context, req protocol.PullRequest) protocol.PullResponse {
	s.updateEntryState(req.Entry)
	timer := time.NewTimer(min(req.MaxWait, pullWait))
	defer timer.Stop()
	for {
		var newer bool
		var changed chan struct{}
		s.withLock(func() {
			newer = s.replica.Document().Revision > req.HeldRevision
			changed = s.changed
		})
		if newer {
			break
		}
		select {
		case <-changed:
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		break
	}
	return s.buildPullAnswer(req)
}

// buildPullAnswer returns the answer to a pull request from the current state.
func (s *Server) buildPullAnswer(req protocol.PullRequest) protocol.PullResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	held := s.replica.Document()
	answer := protocol.PullResponse{AgeKnown: !s.replica.FreshAt().IsZero(), HaltedVersions: s.haltedVersions()}
	if answer.AgeKnown {
		answer.ConfigAge = s.replica.Age(now)
	}
	if req.MemberScope != protocol.NoMembers {
		answer.Members = s.table.RemoteDelegates(delegateCount, now)
	}
	if req.MemberScope == protocol.AllMembers {
		answer.Members = append(answer.Members, s.table.LocalPeers(now)...)
		answer.Members = append(answer.Members, s.table.NextHeartbeat())
	}
	for id := range s.leavingUpstreams {
		answer.LeavingUpstreams = append(answer.LeavingUpstreams, id)
	}
	if held.Revision != req.HeldRevision {
		patch := document.NewPatch(s.patchBase(req), held)
		answer.Patch = &patch
	}
	return answer
}

// patchBase returns the configuration document that the requester holds,
// if that document is among the recent documents. Only the difference from the document is then
// sent. Otherwise patchBase returns nil. The caller holds mu.
func (s *Server) patchBase(req protocol.PullRequest) *document.Document {
	for _, d := range s.recentDocuments {
		if d.Revision == req.HeldRevision && d.Hash().Short() == req.HeldHash {
			return d
		}
	}
	return nil
}
