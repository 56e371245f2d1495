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

// view is what this process knows of the world. It is not changed once stored.
type view struct {
	know     permit.Knowledge
	revision contract.Revision
	members  []vm.Member
	// named is when an answer has named each of them last.
	named map[contract.VMID]time.Time
	// askedMembers is when members were last brought.
	askedMembers time.Time
	// replica is used under Server.learning alone; held is what it held then.
	replica *document.Replica
	held    *document.Document
}

// age returns how old the knowledge is.
func (v *view) age(now time.Time) time.Duration {
	if v.know.FreshAt.IsZero() {
		return staleAfter // never known
	}
	return now.Sub(v.know.FreshAt)
}

func emptyView() *view {
	r := document.NewReplica()
	return &view{know: permit.Knowledge{Config: &config.Config{}}, replica: r, held: r.Held()}
}

// Timings of the pull.
const (
	pullWait  = 500 * time.Millisecond
	pullPause = 100 * time.Millisecond
	// pullTimeout bounds one pull, so that a frozen control process is passed
	// over for a peer's within the time that a change has to be in force.
	pullTimeout = pullWait + 500*time.Millisecond
)

// pullLoop keeps the view fresh from this VM's own control process, and tells
// it that this process lives. It asks nobody else, so that a cut-off peer does
// not hold this up.
func (s *Server) pullLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if err := s.pullFrom(ctx, s.opts.Settings.Control.Link); err != nil {
			s.pullFailed(err)
			clock.Pause(ctx, pullPause)
		}
	}
}

// membersEvery is how often the VMs known to live are asked for.
const membersEvery = time.Second

// staleAfter is the age of knowledge from which peers are asked too.
const staleAfter = 2 * time.Second

// peerLoop asks the control processes of peers while the own one is dead,
// frozen or does not know enough.
func (s *Server) peerLoop(ctx context.Context) {
	for next := 0; ctx.Err() == nil; {
		if s.view.Load().age(s.clock.Now()) < staleAfter {
			clock.Pause(ctx, pullPause)
			continue
		}
		peers := s.peerControls()
		if len(peers) == 0 {
			clock.Pause(ctx, pullPause)
			continue
		}
		if err := s.pullFrom(ctx, peers[next%len(peers)]); err != nil {
			s.pullFailed(err)
		}
		next++
	}
}

func (s *Server) pullFailed(err error) {
	s.metrics.pullFailures.Inc(1)
	s.log.Warn("pull-failed", logs.Failure(err)...)
}

// sources returns the control processes to ask, the own one first.
func (s *Server) sources() []string {
	return append([]string{s.opts.Settings.Control.Link}, s.peerControls()...)
}

// peerControls returns the control processes of peers: those known to live, in
// the own data centre first, else those of the settings.
func (s *Server) peerControls() []string {
	var near, far []string
	for _, m := range s.view.Load().members {
		switch {
		case m.VM == s.opts.Settings.VM:
		case m.DataCentre == s.opts.Settings.DataCentre:
			near = append(near, m.ControlLink)
		default:
			far = append(far, m.ControlLink)
		}
	}
	addresses := append(near, far...)
	if len(addresses) > 0 {
		return addresses
	}
	for _, p := range s.opts.Settings.Peers {
		addresses = append(addresses, p.ControlLink)
	}
	return addresses
}

// pullFrom asks one control process, and takes in what it knows.
func (s *Server) pullFrom(ctx context.Context, address string) error {
	v := s.view.Load()
	held := v.held
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	asked := s.clock.Now()
	req := protocol.PullRequest{Have: held.Revision, Hash: held.Hash().Short(), Wait: pullWait}
	if asked.Sub(v.askedMembers) >= membersEvery {
		req.Members = protocol.AllMembers
	}
	if address == s.opts.Settings.Control.Link {
		req.Entry = s.state()
	}
	got, err := link.Call[protocol.PullRequest, protocol.PullAnswer](ctx, s.endpoint, address, link.KindPull, req)
	if err != nil {
		return err
	}
	return contract.Fail(contract.StepPull, address, s.learn(got, held.Revision, asked))
}

// state is what this process tells its control process.
func (s *Server) state() *protocol.EntryState {
	st := &protocol.EntryState{
		Incarnation: s.incarnation, Link: s.opts.Settings.Entry.Advertise,
		Revision: s.view.Load().revision, Leaving: s.stopping.Load(),
	}
	s.locked(func() {
		st.Evidence = s.monitor.Evidence()
		for v := range s.monitor.Halted() {
			st.Halts = append(st.Halts, v)
		}
	})
	return st
}

var errBadDocument = errors.New("configuration does not pass its check")

// learn takes in an answer and stores the view that follows from it. A patch
// that no longer fits, since the other loop was first, is an error; the next
// pull brings what is missing.
func (s *Server) learn(got protocol.PullAnswer, have contract.Revision, asked time.Time) error {
	s.learning.Lock()
	defer s.learning.Unlock()
	v := s.view.Load()
	d := v.replica.Held()
	if got.Patch != nil && got.Patch.To > d.Revision {
		next, err := got.Patch.Apply(d)
		if err != nil {
			return err
		}
		d = next
	}
	behind := got.Patch != nil && got.Patch.To < d.Revision
	switch freshAt := asked.Add(-got.Age); {
	case !got.Known || behind:
	case got.Patch == nil:
		// It confirms the revision that was asked about, which may no longer be
		// the one held: the other loop may have been first.
		v.replica.Confirm(have, freshAt)
	default:
		v.replica.Learn(d, freshAt)
	}
	next := *v
	next.held = v.replica.Held()
	next.revision = next.held.Revision
	if got.Members != nil {
		next.members, next.named = mergeMembers(v.members, v.named, got.Members, asked)
		next.askedMembers = asked
	}
	if next.revision != v.revision {
		c, err := config.FromDocument(v.replica.Held())
		if err != nil {
			s.log.Error("configuration-unusable", logs.Failure(err)...)
			return errors.Join(errBadDocument, err)
		}
		next.know.Config = c
		s.log.Info("configuration-in-force", zap.Uint64("revision", uint64(next.revision)))
	}
	next.know.FreshAt = v.replica.FreshAt()
	s.locked(func() {
		for _, halted := range got.Halts {
			s.monitor.Halt(halted)
		}
		next.know.Halted = s.monitor.Halted()
		s.configure(&next, next.revision != v.revision)
		leaving := make(map[contract.UpstreamID]bool, len(got.Leaving))
		for _, id := range got.Leaving {
			leaving[id] = true
		}
		s.upstreams.Unlisted(leaving)
		// Stored under mu, as haltHere does: a halt in between is not lost.
		s.view.Store(&next)
	})
	return nil
}

// configure hands a new configuration to the decision state, under mu.
func (s *Server) configure(v *view, changed bool) {
	if !changed {
		return
	}
	c := v.know.Config
	s.upstreams.Configure(c.Pools)
	s.monitor.Forget(c.Progress)
	total := 0
	for _, w := range c.Workspaces {
		total += max(w.Share, 1)
	}
	s.engines.SetTotalShare(total)
	s.services.SetTotalShare(total)
	select {
	case s.reconfigured <- struct{}{}:
	default:
	}
}

// headroom is how much more than the upstreams' places the VMs admit together:
// the upstreams' own queues keep them busy. docs/MEASURES.md has the figures.
const headroom = 1.5

// size fits what this VM admits to the upstreams that can be used now. The
// caller holds mu.
func (s *Server) size() {
	members := s.view.Load().members
	s.engines.SetCapacity(s.capacity(config.EnginePool, members))
	s.services.SetCapacity(s.capacity(config.ServicePool, members))
}

// capacity returns this VM's part of the places of its data centre's pools.
func (s *Server) capacity(kind config.PoolKind, members []vm.Member) int {
	dc := s.opts.Settings.DataCentre
	vms := 0
	for _, m := range members {
		if m.DataCentre == dc && !m.Leaving {
			vms++
		}
	}
	places := s.upstreams.Places(kind, dc, s.clock.Now())
	part := headroom * float64(places) / float64(max(vms, 1))
	return min(max(int(part), 1), s.opts.Settings.Entry.MaxInFlight)
}
