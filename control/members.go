package control

import (
	"context"
	"time"

	"woaddoor/config"
	"woaddoor/contract"
	"woaddoor/link"
	"woaddoor/logs"
	"woaddoor/platform"
	"woaddoor/protocol"
	"woaddoor/rollout"
	"woaddoor/vm"
)

// Timings of membership.
const (
	heartbeatEvery   = time.Second
	heartbeatTimeout = 900 * time.Millisecond
	listEvery        = 2 * time.Second
	listTimeout      = 2 * time.Second
	// entryDeadAfter is how long the entry process may be silent before its
	// incarnation is no longer told.
	entryDeadAfter = 4 * time.Second
	// farHeartbeats is how many VMs of each other data centre are told.
	farHeartbeats = 2
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

// heartbeatLoop tells peers who lives: all of the own data centre, and some of
// each other one, so that the messages of a VM do not grow with the regions.
func (s *Server) heartbeatLoop(ctx context.Context) {
	for ctx.Err() == nil {
		beat, addresses := s.beat()
		for _, address := range addresses {
			go s.sendBeat(ctx, address, beat)
		}
		pause(ctx, heartbeatEvery)
	}
}

func (s *Server) beat() (protocol.Heartbeat, []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.table.SetSelf(s.self())
	live := s.table.Live(now)
	beat := protocol.Heartbeat{Members: live, Evidence: s.seen}
	for v := range s.halts {
		beat.Halts = append(beat.Halts, v)
	}
	return beat, s.beatTargets(live)
}

// beatTargets returns whom to tell: those known to live, and those of the
// settings that are not known, which may have just been started.
func (s *Server) beatTargets(live []vm.Member) []string {
	known := make(map[contract.VMID]bool, len(live))
	var addresses []string
	far := make(map[contract.DataCentreID]int)
	for _, m := range live {
		known[m.VM] = true
		if m.VM == s.opts.Settings.VM {
			continue
		}
		if m.DataCentre != s.opts.Settings.DataCentre {
			if far[m.DataCentre]++; far[m.DataCentre] > farHeartbeats {
				continue
			}
		}
		addresses = append(addresses, m.ControlLink)
	}
	for _, p := range s.opts.Settings.Peers {
		if !known[p.VM] {
			addresses = append(addresses, p.ControlLink)
		}
	}
	return addresses
}

func (s *Server) sendBeat(ctx context.Context, address string, beat protocol.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	got, err := link.Call[protocol.Heartbeat, protocol.Heartbeat](ctx, s.endpoint, address, link.KindHeartbeat, beat)
	if err != nil {
		s.metrics.beatFailures.Inc(1)
		s.log.Debug("heartbeat-failed", logs.Failure(err)...)
		return
	}
	s.takeBeat(got)
}

func (s *Server) takeBeat(b protocol.Heartbeat) {
	s.heard(b.Members, b.Halts)
	s.locked(func() { s.seen = rollout.Merge(s.seen, b.Evidence).Prune(s.config.Progress) })
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
		pause(ctx, listEvery)
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
func leavingOf(c *config.Config, entries []platform.VMEntry) []contract.UpstreamID {
	addresses := make(map[string]bool)
	for _, e := range entries {
		if e.Upstream && e.State == platform.VMLeaving {
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
