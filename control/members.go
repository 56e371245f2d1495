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

// Intervals, timeouts and fan-out of membership.
const (
	heartbeatInterval = 2 * time.Second
	heartbeatTimeout  = 1500 * time.Millisecond
	// nearContactAfter is how long a VM of this data centre may be silent before
	// this VM sends it heartbeats even if the other VM is the one to initiate
	// them; farContactAfter is the same for VMs of other data centres.
	nearContactAfter = 3 * time.Second
	farContactAfter  = 6 * time.Second
	vmListInterval   = 2 * time.Second
	vmListTimeout    = 2 * time.Second
	// entryDeadAfter is how long the entry process may be silent before this VM
	// stops reporting the incarnation of its entry process.
	entryDeadAfter = 6 * time.Second
	// farHeartbeatTargets is how many VMs of each other data centre a watcher
	// sends heartbeats to; delegateCount is how many VMs of its own data centre
	// such a heartbeat reports.
	farHeartbeatTargets = 1
	delegateCount       = 2
	// roundsPerFarHeartbeat is how often heartbeats also go to other data centres:
	// in one of this many rounds.
	roundsPerFarHeartbeat = 2
)

// selfMember returns the member entry that this VM reports about itself. The
// caller holds mu.
func (s *Server) selfMember() vm.Member {
	m := s.table.Self()
	m.Age = 0
	if s.clock.Now().Sub(s.entry.receivedAt) < entryDeadAfter {
		m.EntryIncarnation, m.Revision, m.Leaving = s.entry.incarnation, s.entry.revision, s.entry.leaving
	} else {
		m.EntryIncarnation = 0
	}
	return m
}

// updateEntryState stores the state that the entry process of this VM reports, and
// merges its roll-out evidence and halted versions.
func (s *Server) updateEntryState(entry *protocol.EntryState) {
	if entry == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry.Incarnation < s.entry.incarnation {
		return // a late report from an earlier incarnation
	}
	s.entry = entryState{entry.Incarnation, entry.Revision, entry.Stopping, s.clock.Now()}
	s.table.SetSelf(s.selfMember())
	s.evidence = rollout.Merge(s.evidence, entry.RolloutEvidence).Prune(s.config.Progress)
	for _, version := range entry.HaltedVersions {
		s.halted[version] = true
	}
}

// heartbeatLoop sends heartbeats to the VMs of this data centre and, while this VM
// is a watcher, to a few VMs of each other data centre.
func (s *Server) heartbeatLoop(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		for _, b := range s.planHeartbeats(round%roundsPerFarHeartbeat == 0) {
			go s.sendHeartbeat(ctx, b)
		}
		clock.Sleep(ctx, heartbeatInterval)
	}
}

// outgoingHeartbeat is a heartbeat message and the VM to send it to.
type outgoingHeartbeat struct {
	vm      contract.VMID
	address string
	message protocol.Heartbeat
}

// planHeartbeats returns the heartbeats to send in this round. includeFar is true
// in rounds that also go to other data centres.
func (s *Server) planHeartbeats(includeFar bool) []outgoingHeartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	selfOnly, allNear, far := s.nearHeartbeat(now, false), s.nearHeartbeat(now, true), s.farHeartbeat(now)
	var planned []outgoingHeartbeat
	knownVMs := map[contract.VMID]bool{s.opts.Settings.VM: true}
	for _, m := range s.table.LocalPeers(now) {
		knownVMs[m.VM] = true
		// Of each pair of VMs, the one whose name sorts first sends the heartbeat
		// and the other answers. The other VM sends one too if it has not heard
		// from the first for nearContactAfter.
		if s.opts.Settings.VM < m.VM || m.Age > nearContactAfter {
			message := selfOnly
			if s.digestDiffers[m.VM] {
				message = allNear
			}
			planned = append(planned, outgoingHeartbeat{m.VM, m.ControlAddress, message})
		}
	}
	sendsFar := includeFar && s.table.IsWatcher(s.opts.Settings.Control.Watchers, now)
	liveDataCentres := make(map[contract.DataCentreID]bool)
	for _, m := range s.table.RemoteDelegates(farHeartbeatTargets, now) {
		knownVMs[m.VM], liveDataCentres[m.DataCentre] = true, true
		if sendsFar && (s.opts.Settings.DataCentre < m.DataCentre || m.Age > farContactAfter) {
			planned = append(planned, outgoingHeartbeat{m.VM, m.ControlAddress, far})
		}
	}
	for _, p := range s.opts.Settings.Peers {
		isNear := p.DataCentre == s.opts.Settings.DataCentre
		switch {
		case knownVMs[p.VM], !isNear && (liveDataCentres[p.DataCentre] || !sendsFar):
		case isNear:
			planned = append(planned, outgoingHeartbeat{p.VM, p.ControlLink, allNear})
		default:
			planned = append(planned, outgoingHeartbeat{p.VM, p.ControlLink, far})
		}
	}
	return planned
}

// nearHeartbeat returns the heartbeat for VMs of this data centre. It reports this
// VM alone or, with includeNear, all VMs that it knows in this data centre. The
// caller holds mu.
func (s *Server) nearHeartbeat(now time.Time, includeNear bool) protocol.Heartbeat {
	s.table.SetSelf(s.selfMember())
	members := []vm.Member{s.table.Self()}
	if includeNear {
		members = append(members, s.table.LocalPeers(now)...)
	}
	ownEvidence := s.evidence.Filter(func(o rollout.Observer) bool { return o.VM == s.opts.Settings.VM })
	return protocol.Heartbeat{Members: members, HaltedVersions: s.haltedVersions(), RolloutEvidence: ownEvidence, MembersDigest: s.table.Digest(now)}
}

// farHeartbeat returns the heartbeat for VMs of other data centres: the delegates
// of this data centre and its summed roll-out evidence. The caller holds mu.
func (s *Server) farHeartbeat(now time.Time) protocol.Heartbeat {
	s.table.SetSelf(s.selfMember())
	ownDataCentre := s.opts.Settings.DataCentre
	localEvidence := s.evidence.Filter(func(o rollout.Observer) bool { return !isDataCentreTotal(o) })
	return protocol.Heartbeat{Members: s.table.Delegates(delegateCount, now), HaltedVersions: s.haltedVersions(), RolloutEvidence: localEvidence.Total(dataCentreTotal(ownDataCentre))}
}

// totalPrefix marks an observer that represents a whole data centre. It cannot
// clash with a VM name, because VM names contain no slash.
const totalPrefix = "total/"

// dataCentreTotal returns the observer under which the summed evidence of a data
// centre is reported.
func dataCentreTotal(dc contract.DataCentreID) rollout.Observer {
	return rollout.Observer{VM: contract.VMID(totalPrefix + string(dc))}
}

func isDataCentreTotal(o rollout.Observer) bool { return strings.HasPrefix(string(o.VM), totalPrefix) }

// haltedVersions returns the versions known to be halted. The caller holds mu.
func (s *Server) haltedVersions() []contract.VersionID {
	var versions []contract.VersionID
	for v := range s.halted {
		versions = append(versions, v)
	}
	return versions
}

// sendHeartbeat sends one heartbeat, merges the answer, and notes whether the
// peer's member digest differs from that of this VM.
func (s *Server) sendHeartbeat(ctx context.Context, b outgoingHeartbeat) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	answer, err := link.Call[protocol.Heartbeat, protocol.Heartbeat](ctx, s.endpoint, b.address, link.KindHeartbeat, b.message)
	if err != nil {
		s.metrics.heartbeatFailures.Inc(1)
		s.log.Debug("heartbeat-failed", logs.ErrorFields(err)...)
		return
	}
	s.mergeHeartbeat(answer)
	s.withLock(func() {
		if answer.MembersDigest == 0 || answer.MembersDigest == s.table.Digest(s.clock.Now()) {
			delete(s.digestDiffers, b.vm)
		} else {
			s.digestDiffers[b.vm] = true
		}
	})
}

// answerHeartbeat merges a heartbeat and returns one: to a sender in this data
// centre it reports this VM, or all VMs that it knows here if the digests differ;
// to a sender in another data centre it reports the delegates of this one.
func (s *Server) answerHeartbeat(b protocol.Heartbeat) protocol.Heartbeat {
	s.mergeHeartbeat(b)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if len(b.Members) > 0 && b.Members[0].DataCentre == s.opts.Settings.DataCentre {
		return s.nearHeartbeat(now, b.MembersDigest != s.table.Digest(now))
	}
	return s.farHeartbeat(now)
}

// mergeHeartbeat merges the members, halted versions and evidence of a heartbeat.
// It ignores the total of this VM's own data centre, whose parts it knows itself.
func (s *Server) mergeHeartbeat(b protocol.Heartbeat) {
	s.mergeMembers(b.Members, b.HaltedVersions)
	ownTotal := dataCentreTotal(s.opts.Settings.DataCentre)
	s.withLock(func() {
		evidence := b.RolloutEvidence.Filter(func(o rollout.Observer) bool { return o != ownTotal })
		s.evidence = rollout.Merge(s.evidence, evidence).Prune(s.config.Progress)
	})
}

// mergeMembers adds the members that a peer reports to the member table, and the
// halted versions to those already known.
func (s *Server) mergeMembers(members []vm.Member, halted []contract.VersionID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, m := range members {
		s.table.ApplyHeartbeat(m, now)
	}
	for _, v := range halted {
		s.halted[v] = true
	}
}

// vmListLoop reads the platform's VM list periodically while this VM is a watcher.
func (s *Server) vmListLoop(ctx context.Context) {
	for ctx.Err() == nil {
		isWatcher := false
		s.withLock(func() { isWatcher = s.table.IsWatcher(s.opts.Settings.Control.Watchers, s.clock.Now()) })
		if isWatcher {
			s.refreshVMList(ctx)
		}
		clock.Sleep(ctx, vmListInterval)
	}
}

// refreshVMList reads the platform's VM list once, and updates the member table and
// the leaving upstreams from it.
func (s *Server) refreshVMList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, vmListTimeout)
	defer cancel()
	entries, err := s.opts.VMs.VMs(ctx)
	if err != nil {
		s.log.Warn("list-failed", logs.ErrorFields(err)...)
		return
	}
	s.withLock(func() {
		s.table.SetPlatformList(entries)
		s.setLeavingUpstreams(leavingUpstreams(s.config, entries))
	})
}

// leavingUpstreams returns the upstreams whose VM the platform lists as leaving.
func leavingUpstreams(c *config.Config, entries []contract.VMEntry) []contract.UpstreamID {
	leavingURLs := make(map[string]bool)
	for _, e := range entries {
		if e.Upstream && e.State == contract.VMLeaving {
			leavingURLs["http://"+e.Address] = true
		}
	}
	var leaving []contract.UpstreamID
	for _, p := range c.Pools {
		for _, u := range p.Upstreams {
			if leavingURLs[u.URL] {
				leaving = append(leaving, u.ID)
			}
		}
	}
	return leaving
}

// setLeavingUpstreams replaces the set of leaving upstreams. The caller holds mu.
func (s *Server) setLeavingUpstreams(ids []contract.UpstreamID) {
	clear(s.leavingUpstreams)
	for _, id := range ids {
		s.leavingUpstreams[id] = true
	}
}
