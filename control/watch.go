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

// Timings of how configuration arrives.
const (
	watchTimeout = 3 * time.Second
	watchPause   = 250 * time.Millisecond
	relayWait    = 500 * time.Millisecond
	relayTimeout = relayWait + 500*time.Millisecond
	relayPause   = 200 * time.Millisecond
	// relayStale is the age of knowledge from which a watcher, too, asks its
	// peers: it may be cut off from the platform while they are not.
	relayStale = 2 * time.Second
	// maxRecent bounds the documents kept to make patches from.
	maxRecent = 32
)

// watchLoop watches the platform's root object while this VM is one of the
// watchers of its data centre. A watch counts as a call, so the others are
// told by link.
func (s *Server) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		watches := false
		s.locked(func() { watches = s.table.Watches(s.opts.Settings.Control.Watchers, s.clock.Now()) })
		if !watches {
			clock.Pause(ctx, watchPause)
			continue
		}
		if err := s.watchOnce(ctx); err != nil {
			s.metrics.watchFailures.Inc(1)
			s.log.Warn("watch-failed", logs.Failure(err)...)
			clock.Pause(ctx, watchPause)
		}
	}
}

// watchOnce waits for one answer of the platform. What it says is true of some
// moment after it was asked, so freshness counts from before the question.
func (s *Server) watchOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.opts.Settings.Control.WatchWait+watchTimeout)
	defer cancel()
	var after contract.ObjectVersion
	var pointed contract.Revision
	s.locked(func() { after, pointed = s.root, s.rootRevision })
	asked := s.clock.Now()
	o, err := s.store.Watch(ctx, document.RootName, after, s.opts.Settings.Control.WatchWait)
	if errors.Is(err, store.ErrUnchanged) {
		// Only what the unchanged root points at is confirmed. A newer document,
		// learned from a peer, is not: the answer may come from a replica of
		// the platform that lags.
		s.locked(func() { s.replica.Confirm(pointed, asked) })
		return nil
	}
	if err != nil {
		return contract.Fail(contract.StepWatch, "platform", err)
	}
	var held *document.Document
	s.locked(func() { held = s.replica.Held() })
	snap, err := history.Advance(ctx, s.store, held, o)
	if err != nil {
		return err
	}
	return s.learn(snap.Document, asked, o.Version)
}

// learn takes in a document that was the platform's newest at freshAt. A
// version of zero means that it came from a peer.
func (s *Server) learn(d *document.Document, freshAt time.Time, version contract.ObjectVersion) error {
	c, err := config.FromDocument(d)
	if err != nil {
		return contract.Fail(contract.StepWatch, "", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if version != 0 {
		s.root, s.rootRevision = version, d.Revision
	}
	if !s.replica.Learn(d, freshAt) {
		return nil
	}
	s.config = c
	s.recent = append(s.recent, d)
	if len(s.recent) > maxRecent {
		s.recent = s.recent[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	s.log.Info("configuration-learned", zap.Uint64("revision", uint64(d.Revision)), zap.Bool("from-platform", version != 0))
	return nil
}

// relayLoop asks peers for the newest configuration: always when this VM is
// not a watcher, and when the platform has not answered for a while.
func (s *Server) relayLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !s.needsRelay() {
			clock.Pause(ctx, relayPause)
			continue
		}
		if !s.relayOnce(ctx) {
			clock.Pause(ctx, relayPause)
		}
	}
}

func (s *Server) needsRelay() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	return !s.table.Watches(s.opts.Settings.Control.Watchers, now) || s.replica.Age(now) > relayStale
}

// relayOnce asks one peer after another until one makes this VM fresh.
func (s *Server) relayOnce(ctx context.Context) bool {
	for _, address := range s.peers() {
		if ctx.Err() != nil {
			return false
		}
		if err := s.relayFrom(ctx, address); err != nil {
			s.metrics.relayFailures.Inc(1)
			s.log.Debug("relay-failed", logs.Failure(err)...)
			continue
		}
		fresh := false
		s.locked(func() { fresh = s.replica.Age(s.clock.Now()) < relayStale })
		if fresh {
			return true
		}
	}
	return false
}

// peers returns the control processes to ask, best first: those known to live,
// else those of the settings.
func (s *Server) peers() []string {
	var sources []vm.Member
	s.locked(func() { sources = s.table.Sources(s.clock.Now()) })
	var addresses []string
	for _, m := range sources {
		addresses = append(addresses, m.ControlLink)
	}
	if len(addresses) > 1 {
		// The two best are asked in turn: either may wait for the other, when
		// they do not agree on who watches.
		s.relayTurn = !s.relayTurn
		if s.relayTurn {
			addresses[0], addresses[1] = addresses[1], addresses[0]
		}
	}
	if len(addresses) > 0 {
		return addresses
	}
	for _, p := range s.opts.Settings.Peers {
		addresses = append(addresses, p.ControlLink)
	}
	return addresses
}

func (s *Server) relayFrom(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	var held *document.Document
	s.locked(func() { held = s.replica.Held() })
	asked := s.clock.Now()
	got, err := link.Call[protocol.PullRequest, protocol.PullAnswer](ctx, s.endpoint, address, link.KindPull,
		protocol.PullRequest{Have: held.Revision, Hash: held.Hash().Short(), Wait: relayWait, Members: s.wantMembers()})
	if err != nil {
		return err
	}
	s.heard(got.Members, got.Halts)
	if !got.Known {
		return nil
	}
	freshAt := asked.Add(-got.Age)
	if got.Patch == nil {
		s.locked(func() {
			s.replica.Confirm(held.Revision, freshAt)
			s.takeLeaving(got.Leaving)
		})
		return nil
	}
	if got.Patch.To < held.Revision {
		return nil // the peer is behind
	}
	d, err := got.Patch.Apply(held)
	if err != nil {
		return contract.Fail(contract.StepPull, address, err)
	}
	return s.learn(d, freshAt, 0)
}

// membersEvery is how often a VM that is not a watcher asks for the VMs of
// other data centres, which it is not told by heartbeats.
const membersEvery = 15 * time.Second

func (s *Server) wantMembers() protocol.MemberScope {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if now.Sub(s.askedMembers) < membersEvery {
		return protocol.NoMembers
	}
	s.askedMembers = now
	return protocol.FarMembers
}

// pull answers an entry process or a peer.
func (s *Server) pull(ctx context.Context, req protocol.PullRequest) protocol.PullAnswer {
	s.takeEntry(req.Entry)
	timer := time.NewTimer(min(req.Wait, relayWait))
	defer timer.Stop()
	for {
		var newer bool
		var changed chan struct{}
		s.locked(func() {
			newer = s.replica.Held().Revision > req.Have
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
	return s.pullAnswer(req)
}

func (s *Server) pullAnswer(req protocol.PullRequest) protocol.PullAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	held := s.replica.Held()
	a := protocol.PullAnswer{Known: !s.replica.FreshAt().IsZero(), Halts: s.haltList()}
	if a.Known {
		a.Age = s.replica.Age(now)
	}
	if req.Members != protocol.NoMembers {
		a.Members = s.table.Far(delegates, now)
	}
	if req.Members == protocol.AllMembers {
		a.Members = append(a.Members, s.table.Near(now)...)
		a.Members = append(a.Members, s.table.Self())
	}
	for id := range s.leaving {
		a.Leaving = append(a.Leaving, id)
	}
	if held.Revision != req.Have {
		p := document.NewPatch(s.base(req), held)
		a.Patch = &p
	}
	return a
}

// base returns the document that the asker holds, if it is known here, so that
// only the difference is sent. The caller holds mu.
func (s *Server) base(req protocol.PullRequest) *document.Document {
	for _, d := range s.recent {
		if d.Revision == req.Have && d.Hash().Short() == req.Hash {
			return d
		}
	}
	return nil
}
