package rollout

import (
	"woaddoor/config"
	"woaddoor/contract"
)

// Observer is one incarnation (one run) of a VM's process, which counts responses.
type Observer struct {
	VM          contract.VMID        `cbor:"1,keyasint"`
	Incarnation contract.Incarnation `cbor:"2,keyasint"`
}

// ObservedCounts holds the good and bad responses that one observer has counted
// for a version at a step (a stage of its rollout).
type ObservedCounts struct {
	Observer Observer           `cbor:"1,keyasint"`
	Version  contract.VersionID `cbor:"2,keyasint"`
	Step     int                `cbor:"3,keyasint"`
	Counts   Counts             `cbor:"4,keyasint"`
}

// Evidence is a set of counts of good and bad responses, with one entry for each observer, version
// and step. Merging two sets keeps the larger counts.
// Sets may therefore arrive repeatedly and in any order.
type Evidence []ObservedCounts

// countKey identifies an entry of Evidence.
type countKey struct {
	observer Observer
	version  contract.VersionID
	step     int
}

// key returns the key of the entry.
func (c ObservedCounts) key() countKey { return countKey{c.Observer, c.Version, c.Step} }

// Merge returns the union of two sets of evidence (counts of good and bad responses).
// Of two entries with the same key, Merge keeps the larger counts.
func Merge(a, b Evidence) Evidence {
	merged := make(Evidence, 0, len(a)+len(b))
	index := make(map[countKey]int, len(a)+len(b))
	for _, c := range append(append(Evidence{}, a...), b...) {
		i, found := index[c.key()]
		if !found {
			index[c.key()] = len(merged)
			merged = append(merged, c)
			continue
		}
		merged[i].Counts.Good = max(merged[i].Counts.Good, c.Counts.Good)
		merged[i].Counts.Bad = max(merged[i].Counts.Bad, c.Counts.Bad)
	}
	return merged
}

// Sum returns the total counts of all observers for a version at a step.
func (e Evidence) Sum(v contract.VersionID, step int) Counts {
	var sum Counts
	for _, c := range e {
		if c.Version == v && c.Step == step {
			sum.Good += c.Counts.Good
			sum.Bad += c.Counts.Bad
		}
	}
	return sum
}

// Filter returns the counts of those observers for which include returns true.
func (e Evidence) Filter(include func(Observer) bool) Evidence {
	var kept Evidence
	for _, c := range e {
		if include(c.Observer) {
			kept = append(kept, c)
		}
	}
	return kept
}

// Total adds up the counts of all observers and attributes the sums to one observer,
// the parameter as.
// Two VMs that know different subsets of the observers may compute different totals for
// the same observer.
// Merging keeps the larger total, which never exceeds the true total.
func (e Evidence) Total(as Observer) Evidence {
	sums := make(map[countKey]Counts)
	var order []countKey
	for _, c := range e {
		k := countKey{as, c.Version, c.Step}
		sum, found := sums[k]
		if !found {
			order = append(order, k)
		}
		sum.Good += c.Counts.Good
		sum.Bad += c.Counts.Bad
		sums[k] = sum
	}
	total := make(Evidence, 0, len(order))
	for _, k := range order {
		total = append(total, ObservedCounts{as, k.version, k.step, sums[k]})
	}
	return total
}

// Prune returns the counts that belong to the current steps of the rollouts in progress.
func (e Evidence) Prune(progress map[contract.ModelID]*config.Progress) Evidence {
	var kept Evidence
	for _, c := range e {
		p, ok := progress[c.Version.Model()]
		if ok && p.To == c.Version && p.Step == c.Step && p.State == config.Ramping {
			kept = append(kept, c)
		}
	}
	return kept
}

// Monitor counts the responses of versions in rollout on one VM.
// Monitor halts a bad version on this VM immediately.
// Monitor does no I/O and is not safe for concurrent use.
type Monitor struct {
	self   Observer
	counts map[countKey]Counts
	alarms map[alarmKey]*CUSUMAlarm
	halted map[contract.VersionID]bool
}

// alarmKey identifies an alarm of a Monitor.
type alarmKey struct {
	version   contract.VersionID
	workspace contract.WorkspaceID // empty for the alarm over all workspaces
}

// NewMonitor returns a monitor for one incarnation of an entry process.
func NewMonitor(self Observer) *Monitor {
	return &Monitor{
		self: self, counts: make(map[countKey]Counts), alarms: make(map[alarmKey]*CUSUMAlarm),
		halted: make(map[contract.VersionID]bool),
	}
}

// Observe records a response of a version in rollout.
// A response is bad if it got a bad rating, failed or was too slow.
// The parameter workspaces is the number of workspaces that share the false-alarm rate.
// Observe returns whether the version is halted on this VM.
func (m *Monitor) Observe(ro *config.Rollout, step int, workspaces int, w contract.WorkspaceID, bad bool) bool {
	k := countKey{m.self, ro.To, step}
	c := m.counts[k]
	if bad {
		c.Bad++
	} else {
		c.Good++
	}
	m.counts[k] = c
	overallAlarm := m.alarmFor(ro, workspaces, "").Observe(bad)
	workspaceAlarm := m.alarmFor(ro, workspaces, w).Observe(bad)
	if overallAlarm || workspaceAlarm || NewSequentialTest(ro).Evaluate(c) == Bad {
		m.halted[ro.To] = true
	}
	return m.halted[ro.To]
}

// alarmFor returns the alarm of a version for workspace w.
// If w is empty, alarmFor returns the version's alarm over all workspaces.
func (m *Monitor) alarmFor(ro *config.Rollout, workspaces int, w contract.WorkspaceID) *CUSUMAlarm {
	k := alarmKey{ro.To, w}
	a, ok := m.alarms[k]
	if !ok {
		a = NewCUSUMAlarm(ro, workspaces+1)
		m.alarms[k] = a
	}
	return a
}

// Halt marks a version as halted by another VM.
func (m *Monitor) Halt(v contract.VersionID) { m.halted[v] = true }

// Halted returns a copy of the set of versions halted on this VM.
func (m *Monitor) Halted() map[contract.VersionID]bool {
	out := make(map[contract.VersionID]bool, len(m.halted))
	for v := range m.halted {
		out[v] = true
	}
	return out
}

// Evidence returns the counts of good and bad responses that this monitor holds.
func (m *Monitor) Evidence() Evidence {
	var e Evidence
	for k, c := range m.counts {
		e = append(e, ObservedCounts{Observer: k.observer, Version: k.version, Step: k.step, Counts: c})
	}
	return e
}

// Prune drops the counts of rollout steps that are no longer in progress.
// Prune keeps halts, which are permanent.
func (m *Monitor) Prune(progress map[contract.ModelID]*config.Progress) {
	for k := range m.counts {
		p, ok := progress[k.version.Model()]
		if !ok || p.To != k.version || p.Step != k.step {
			delete(m.counts, k)
		}
	}
}
