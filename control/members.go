package control

import (
	"context"
	"strings"
	"time"

	"woaddoor/clock"
	"woaddoor/config"
	"woaddoor/contract"
	"woaddoor/link"
	"woaddoor/logs"
	"woaddoor/protocol"
	"woaddoor/rollout"
	"woaddoor/vm"
)

// Timings of membership.
const (
	heartbeatEvery   = 2 * time.Second
	heartbeatTimeout = 1500 * time.Millisecond
	askAfter         = 3 * time.Second
	askFarAfter      = 6 * time.Second
	listEvery        = 2 * time.Second
	listTimeout      = 2 * time.Second
	// entryDeadAfter is how long the entry process may be silent before its
	// incarnation is no longer told.
	entryDeadAfter = 6 * time.Second
	// farBeats is how many VMs of each other data centre a watcher tells, and
	// delegates how many of its own it tells of.
	farBeats  = 1
	delegates = 2
	// farEvery is how many heartbeats within the data centre there are for each
	// to others.
	farEvery = 2
)

// self returns what this VM tells of itself. The caller holds mu.
func (s *Server) self() vm.Member {
	m := s.table.Self()
	m.Age = 0
	if s.clock.Now().Sub(s.entry.heardAt) < entryDeadAfter {
		m.EntryIncarnation, m.Revision, m.Leaving = s.entry.incarnation, s.entry.revision, s.entry.leaving
	} else {
		m.EntryIncarnation = 0
	}
	return m
}

// takeEntry takes in what this VM's entry process tells of itself.
func (s *Server) takeEntry(e *protocol.EntryState) {
	if e == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.Incarnation < s.entry.incarnation {
		return // late word of an earlier life
	}
	s.entry = entryState{e.Incarnation, e.Revision, e.Leaving, s.clock.Now()}
	s.table.SetSelf(s.self())
	s.seen = rollout.Merge(s.seen, e.Evidence).Prune(s.config.Progress)
	for _, v := range e.Halts {
		s.halts[v] = true
	}
}

// heartbeatLoop tells peers that this VM lives: those of its own data centre,
// and, while it is one of the watchers, a few of each other data centre.
func (s *Server) heartbeatLoop(ctx context.Context) {
	for tick := 0; ctx.Err() == nil; tick++ {
		for _, b := range s.beats(tick%farEvery == 0) {
			go s.sendBeat(ctx, b)
		}
		clock.Pause(ctx, heartbeatEvery)
	}
}

// beat is a heartbeat and whom it is for.
type beat struct {
	vm      contract.VMID
	address string
	message protocol.Heartbeat
}

// beats returns the heartbeats to send now; toFar tells whether other data
// centres are told this time.
func (s *Server) beats(toFar bool) []beat {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	near, whole, far := s.nearBeat(now, false), s.nearBeat(now, true), s.farBeat(now)
	var beats []beat
	known := map[contract.VMID]bool{s.opts.Settings.VM: true}
	for _, m := range s.table.Near(now) {
		known[m.VM] = true
		// One of two asks and the other answers: the one whose name is first,
		// and the other too when it has not heard for a while.
		if s.opts.Settings.VM < m.VM || m.Age > askAfter {
			message := near
			if s.differs[m.VM] {
				message = whole
			}
			beats = append(beats, beat{m.VM, m.ControlLink, message})
		}
	}
	watches := toFar && s.table.Watches(s.opts.Settings.Control.Watchers, now)
	heard := make(map[contract.DataCentreID]bool)
	for _, m := range s.table.Far(farBeats, now) {
		known[m.VM], heard[m.DataCentre] = true, true
		if watches && (s.opts.Settings.DataCentre < m.DataCentre || m.Age > askFarAfter) {
			beats = append(beats, beat{m.VM, m.ControlLink, far})
		}
	}
	for _, p := range s.opts.Settings.Peers {
		isNear := p.DataCentre == s.opts.Settings.DataCentre
		switch {
		case known[p.VM], !isNear && (heard[p.DataCentre] || !watches):
		case isNear:
			beats = append(beats, beat{p.VM, p.ControlLink, whole})
		default:
			beats = append(beats, beat{p.VM, p.ControlLink, far})
		}
	}
	return beats
}

// nearBeat is the heartbeat within the data centre: of this VM, or of all that
// it knows of there. The caller holds mu.
func (s *Server) nearBeat(now time.Time, all bool) protocol.Heartbeat {
	s.table.SetSelf(s.self())
	members := []vm.Member{s.table.Self()}
	if all {
		members = append(members, s.table.Near(now)...)
	}
	own := s.seen.Of(func(o rollout.Observer) bool { return o.VM == s.opts.Settings.VM })
	return protocol.Heartbeat{Members: members, Halts: s.haltList(), Evidence: own, Digest: s.table.Digest(now)}
}

// farBeat is the heartbeat to other data centres. The caller holds mu.
func (s *Server) farBeat(now time.Time) protocol.Heartbeat {
	s.table.SetSelf(s.self())
	home := s.opts.Settings.DataCentre
	here := s.seen.Of(func(o rollout.Observer) bool { return !isTotal(o) })
	return protocol.Heartbeat{Members: s.table.Delegates(delegates, now), Halts: s.haltList(), Evidence: here.Total(totalOf(home))}
}

// totalPrefix marks the observer that stands for a whole data centre. It is no
// name of a VM, which has no slash.
const totalPrefix = "total/"

func totalOf(dc contract.DataCentreID) rollout.Observer {
	return rollout.Observer{VM: contract.VMID(totalPrefix + string(dc))}
}

func isTotal(o rollout.Observer) bool { return strings.HasPrefix(string(o.VM), totalPrefix) }

// haltList returns the halted versions. The caller holds mu.
func (s *Server) haltList() []contract.VersionID {
	var halts []contract.VersionID
	for v := range s.halts {
		halts = append(halts, v)
	}
	return halts
}

func (s *Server) sendBeat(ctx context.Context, b beat) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	got, err := link.Call[protocol.Heartbeat, protocol.Heartbeat](ctx, s.endpoint, b.address, link.KindHeartbeat, b.message)
	if err != nil {
		s.metrics.beatFailures.Inc(1)
		s.log.Debug("heartbeat-failed", logs.Failure(err)...)
		return
	}
	s.takeBeat(got)
	s.locked(func() {
		if got.Digest == 0 || got.Digest == s.table.Digest(s.clock.Now()) {
			delete(s.differs, b.vm)
		} else {
			s.differs[b.vm] = true
		}
	})
}

// answerBeat answers a heartbeat in kind: to one of the own data centre with
// this VM, to one of another with those that stand for it.
func (s *Server) answerBeat(b protocol.Heartbeat) protocol.Heartbeat {
	s.takeBeat(b)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if len(b.Members) > 0 && b.Members[0].DataCentre == s.opts.Settings.DataCentre {
		return s.nearBeat(now, b.Digest != s.table.Digest(now))
	}
	return s.farBeat(now)
}

func (s *Server) takeBeat(b protocol.Heartbeat) {
	s.heard(b.Members, b.Halts)
	home := totalOf(s.opts.Settings.DataCentre)
	s.locked(func() {
		fresh := b.Evidence.Of(func(o rollout.Observer) bool { return o != home })
		s.seen = rollout.Merge(s.seen, fresh).Prune(s.config.Progress)
	})
}

// heard takes in who lives and what is halted.
func (s *Server) heard(members []vm.Member, halts []contract.VersionID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, m := range members {
		s.table.Heard(m, now)
	}
	for _, v := range halts {
		s.halts[v] = true
	}
}

// listLoop reads the platform's VM list, on the watchers alone.
func (s *Server) listLoop(ctx context.Context) {
	for ctx.Err() == nil {
		watches := false
		s.locked(func() { watches = s.table.Watches(s.opts.Settings.Control.Watchers, s.clock.Now()) })
		if watches {
			s.listOnce(ctx)
		}
		clock.Pause(ctx, listEvery)
	}
}

func (s *Server) listOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	entries, err := s.opts.VMs.VMs(ctx)
	if err != nil {
		s.log.Warn("list-failed", logs.Failure(err)...)
		return
	}
	s.locked(func() {
		s.table.Listed(entries)
		s.takeLeaving(leavingOf(s.config, entries))
	})
}

// leavingOf returns the upstreams whose VM is listed as leaving.
func leavingOf(c *config.Config, entries []contract.VMEntry) []contract.UpstreamID {
	addresses := make(map[string]bool)
	for _, e := range entries {
		if e.Upstream && e.State == contract.VMLeaving {
			addresses["http://"+e.Address] = true
		}
	}
	var leaving []contract.UpstreamID
	for _, p := range c.Pools {
		for _, u := range p.Upstreams {
			if addresses[u.URL] {
				leaving = append(leaving, u.ID)
			}
		}
	}
	return leaving
}

// takeLeaving replaces the leaving upstreams. The caller holds mu.
func (s *Server) takeLeaving(ids []contract.UpstreamID) {
	clear(s.leaving)
	for _, id := range ids {
		s.leaving[id] = true
	}
}
