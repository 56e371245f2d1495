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

// Intervals, timeouts and fan-out of heartbeats and of reading the VM list.
const (
	heartbeatInterval = 2 * time.Second
	heartbeatTimeout  = 1500 * time.Millisecond
	// Of each pair of VMs, one VM sends the heartbeats and the other VM answers them.
	// If the sending VM of a pair within this data centre is silent for localContactAfter,
	// this VM sends heartbeats to it instead. remoteContactAfter is the corresponding time for a VM
	// of another data centre.
	localContactAfter  = 3 * time.Second
	remoteContactAfter = 6 * time.Second
	vmListInterval     = 2 * time.Second
	vmListTimeout      = 2 * time.Second
	// entryDeadAfter is how long the entry process of this VM may be silent before this VM's
	// heartbeats no longer contain the incarnation of that process.
	entryDeadAfter = 6 * time.Second
	// remoteHeartbeatTargets is how many VMs of each other data centre a watcher (a VM that watches
	// the platform's store) sends heartbeats to. delegateCount is how many delegates,
	// that is VMs that represent their data centre, such a heartbeat lists.
	remoteHeartbeatTargets = 1
	delegateCount          = 2
	// A watcher (a VM that watches the platform's store) also sends heartbeats to other data
	// centres in one of every roundsPerRemoteHeartbeat rounds of heartbeats.
	roundsPerRemoteHeartbeat = 2
)

// selfMember returns the entry of this VM for the lists of members that this VM sends.
// The caller holds mu.
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

// updateEntryState stores the state that the entry process of this VM reports.
// updateEntryState also merges the process's halted versions and rollout evidence (counts of good
// and bad responses).
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
		for _, h := range s.planHeartbeats(round%roundsPerRemoteHeartbeat == 0) {
			go s.sendHeartbeat(ctx, h)
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

// planHeartbeats returns the heartbeats to send in this round of heartbeats. includeRemote is true
// in the rounds in which VMs of other data centres also receive heartbeats.
func (s *Server) planHeartbeats(includeRemote bool) []outgoingHeartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	selfOnly, allLocal, remote := s.localHeartbeat(now, false), s.localHeartbeat(now, true), s.remoteHeartbeat(now)
	var planned []outgoingHeartbeat
	knownVMs := map[contract.VMID]bool{s.opts.Settings.VM: true}
	for _, m := range s.table.LocalPeers(now) {
		knownVMs[m.VM] = true
		// Of each pair of VMs, the VM whose name sorts first sends the heartbeat and the other VM
		// answers. The other VM sends a heartbeat too if it has received none for
		// localContactAfter.
		if s.opts.Settings.VM < m.VM || m.Age > localContactAfter {
			message := selfOnly
			if s.digestDiffers[m.VM] {
				message = allLocal
			}
			planned = append(planned, outgoingHeartbeat{m.VM, m.ControlAddress, message})
		}
	}
	sendsRemote := includeRemote && s.table.IsWatcher(s.opts.Settings.Control.Watchers, now)
	liveDataCentres := make(map[contract.DataCentreID]bool)
	for _, m := range s.table.RemoteDelegates(remoteHeartbeatTargets, now) {
		knownVMs[m.VM], liveDataCentres[m.DataCentre] = true, true
		if sendsRemote && (s.opts.Settings.DataCentre < m.DataCentre || m.Age > remoteContactAfter) {
			planned = append(planned, outgoingHeartbeat{m.VM, m.ControlAddress, remote})
		}
	}
	for _, p := range s.opts.Settings.Peers {
		isLocal := p.DataCentre == s.opts.Settings.DataCentre
		switch {
		case knownVMs[p.VM], !isLocal && (liveDataCentres[p.DataCentre] || !sendsRemote):
		case isLocal:
			planned = append(planned, outgoingHeartbeat{p.VM, p.ControlLink, allLocal})
		default:
			planned = append(planned, outgoingHeartbeat{p.VM, p.ControlLink, remote})
		}
	}
	return planned
}

// localHeartbeat returns the heartbeat for VMs of this data centre.
// The heartbeat lists this VM alone. If includeLocal is true, the heartbeat lists all known VMs
// of this data centre. The caller holds mu.
func (s *Server) localHeartbeat(now time.Time, includeLocal bool) protocol.Heartbeat {
	s.table.SetSelf(s.selfMember())
	members := []vm.Member{s.table.NextHeartbeat()}
	if includeLocal {
		members = append(members, s.table.LocalPeers(now)...)
	}
	ownEvidence := s.evidence.Filter(func(o rollout.Observer) bool { return o.VM == s.opts.Settings.VM })
	return protocol.Heartbeat{Members: members, HaltedVersions: s.haltedVersions(), RolloutEvidence: ownEvidence, MembersDigest: s.table.Digest(now)}
}

// remoteHeartbeat returns the heartbeat for VMs of other data centres. The heartbeat contains the
// delegates of this data centre (the VMs that represent it) and its summed rollout evidence
// (counts of good and bad responses). The caller holds mu.
func (s *Server) remoteHeartbeat(now time.Time) protocol.Heartbeat {
	s.table.SetSelf(s.selfMember())
	s.table.NextHeartbeat() // numbers the entry of this VM, which Delegates may include
	ownDataCentre := s.opts.Settings.DataCentre
	localEvidence := s.evidence.Filter(func(o rollout.Observer) bool { return !isDataCentreTotal(o) })
	return protocol.Heartbeat{Members: s.table.Delegates(delegateCount, now), HaltedVersions: s.haltedVersions(), RolloutEvidence: localEvidence.Total(dataCentreTotal(ownDataCentre))}
}

// totalPrefix is the prefix of an observer name that stands for a whole data centre.
// The prefix cannot clash with a VM name, because VM names contain no slash.
const totalPrefix = "total/"

// dataCentreTotal returns the observer (the name in rollout evidence) under which the summed
// counts of a data centre are reported.
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

// sendHeartbeat sends one heartbeat and merges the answer.
// sendHeartbeat also records whether the peer knows other members than this VM,
// by comparing the digests of their member lists.
func (s *Server) sendHeartbeat(ctx context.Context, h outgoingHeartbeat) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	answer, err := link.Call[protocol.Heartbeat, protocol.Heartbeat](ctx, s.endpoint, h.address, link.KindHeartbeat, h.message)
	if err != nil {
		s.metrics.heartbeatFailures.Inc(1)
		s.log.Debug("heartbeat-failed", logs.ErrorFields(err)...)
		return
	}
	s.mergeHeartbeat(answer)
	s.withLock(func() {
		if answer.MembersDigest == 0 || answer.MembersDigest == s.table.Digest(s.clock.Now()) {
			delete(s.digestDiffers, h.vm)
		} else {
			s.digestDiffers[h.vm] = true
		}
	})
}

// answerHeartbeat merges a received heartbeat and returns the heartbeat that answers it.
// The answer to a VM of this data centre lists this VM, or all local VMs if the sender knows other
// members. The answer to a VM of another data centre lists the delegates of this data centre (the
// VMs that represent it).
func (s *Server) answerHeartbeat(received protocol.Heartbeat) protocol.Heartbeat {
	s.mergeHeartbeat(received)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if len(received.Members) > 0 && received.Members[0].DataCentre == s.opts.Settings.DataCentre {
		return s.localHeartbeat(now, received.MembersDigest != s.table.Digest(now))
	}
	return s.remoteHeartbeat(now)
}

// mergeHeartbeat merges the members, halted versions and rollout evidence (counts of good and bad
// responses) of a received heartbeat.
// mergeHeartbeat ignores the summed counts of this VM's own data centre,
// because this VM already has the counts of good and bad responses from each VM there.
func (s *Server) mergeHeartbeat(received protocol.Heartbeat) {
	s.mergeMembers(received.Members, received.HaltedVersions)
	ownTotal := dataCentreTotal(s.opts.Settings.DataCentre)
	s.withLock(func() {
		evidence := received.RolloutEvidence.Filter(func(o rollout.Observer) bool { return o != ownTotal })
		s.evidence = rollout.Merge(s.evidence, evidence).Prune(s.config.Progress)
	})
}

// mergeMembers adds the members that a peer reports to the member table. mergeMembers also adds the
// reported halted versions to the halted versions that this VM already knows.
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

// vmListLoop reads the platform's VM list periodically while this VM is a watcher
// (a VM that watches the platform's store).
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

// refreshVMList reads the platform's VM list once. From that list, refreshVMList updates the member
// table and the set of upstreams that are leaving.
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

// leavingUpstreams returns those upstreams whose VM the platform lists as leaving.
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

// setLeavingUpstreams replaces the set of upstreams that are leaving. The caller holds mu.
func (s *Server) setLeavingUpstreams(ids []contract.UpstreamID) {
	clear(s.leavingUpstreams)
	for _, id := range ids {
		s.leavingUpstreams[id] = true
	}
}
