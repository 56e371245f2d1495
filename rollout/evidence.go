package rollout

import (
	"woaddoor/config"
	"woaddoor/contract"
)

// Observer is one life of the process that counted.
type Observer struct {
	VM          contract.VMID        `cbor:"1,keyasint"`
	Incarnation contract.Incarnation `cbor:"2,keyasint"`
}

// Count is what one observer has counted of a version at a step.
type Count struct {
	Observer Observer           `cbor:"1,keyasint"`
	Version  contract.VersionID `cbor:"2,keyasint"`
	Step     int                `cbor:"3,keyasint"`
	Counts   Counts             `cbor:"4,keyasint"`
}

// Evidence is what is known to have been counted, a line an observer, version
// and step. Merging takes the larger counts, so it does not matter how often
// and in which order evidence arrives.
type Evidence []Count

type countKey struct {
	observer Observer
	version  contract.VersionID
	step     int
}

func (c Count) key() countKey { return countKey{c.Observer, c.Version, c.Step} }

// Merge returns what is known from both.
func Merge(a, b Evidence) Evidence {
	merged := make(Evidence, 0, len(a)+len(b))
	at := make(map[countKey]int, len(a)+len(b))
	for _, c := range append(append(Evidence{}, a...), b...) {
		i, had := at[c.key()]
		if !had {
			at[c.key()] = len(merged)
			merged = append(merged, c)
			continue
		}
		merged[i].Counts.Good = max(merged[i].Counts.Good, c.Counts.Good)
		merged[i].Counts.Bad = max(merged[i].Counts.Bad, c.Counts.Bad)
	}
	return merged
}

// Sum returns all counts of a version at a step.
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

// Of returns the counts of the observers that own tells of.
func (e Evidence) Of(own func(Observer) bool) Evidence {
	var kept Evidence
	for _, c := range e {
		if own(c.Observer) {
			kept = append(kept, c)
		}
	}
	return kept
}

// Total returns the sum over all observers as the counts of one. Two VMs that
// know different parts of the same observers may make totals under the same
// name: merging takes the larger, which is never more than there was.
func (e Evidence) Total(as Observer) Evidence {
	sums := make(map[countKey]Counts)
	var order []countKey
	for _, c := range e {
		k := countKey{as, c.Version, c.Step}
		sum, had := sums[k]
		if !had {
			order = append(order, k)
		}
		sum.Good += c.Counts.Good
		sum.Bad += c.Counts.Bad
		sums[k] = sum
	}
	total := make(Evidence, 0, len(order))
	for _, k := range order {
		total = append(total, Count{as, k.version, k.step, sums[k]})
	}
	return total
}

// Prune keeps the evidence of the roll-outs that are under way.
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

// Monitor counts the answers of versions in roll-out on one VM, and halts a
// bad one there at once. It is a pure state machine; its owner locks it.
type Monitor struct {
	self   Observer
	counts map[countKey]Counts
	alarms map[alarmKey]*Alarm
	halted map[contract.VersionID]bool
}

type alarmKey struct {
	version   contract.VersionID
	workspace contract.WorkspaceID // "" for the alarm over all
}

// NewMonitor returns the monitor of one life of an entry process.
func NewMonitor(self Observer) *Monitor {
	return &Monitor{
		self: self, counts: make(map[countKey]Counts), alarms: make(map[alarmKey]*Alarm),
		halted: make(map[contract.VersionID]bool),
	}
}

// Observe takes in an answer of a version in roll-out: whether it was bad by
// its rating, by failing or by being too slow. It returns whether the version
// is halted here from now on.
func (m *Monitor) Observe(ro *config.Rollout, step int, workspaces int, w contract.WorkspaceID, bad bool) bool {
	k := countKey{m.self, ro.To, step}
	c := m.counts[k]
	if bad {
		c.Bad++
	} else {
		c.Good++
	}
	m.counts[k] = c
	overall := m.alarm(ro, workspaces, "").Observe(bad)
	own := m.alarm(ro, workspaces, w).Observe(bad)
	if overall || own || NewTest(ro).Judge(c) == Bad {
		m.halted[ro.To] = true
	}
	return m.halted[ro.To]
}

func (m *Monitor) alarm(ro *config.Rollout, workspaces int, w contract.WorkspaceID) *Alarm {
	k := alarmKey{ro.To, w}
	a, ok := m.alarms[k]
	if !ok {
		a = NewAlarm(ro, workspaces+1)
		m.alarms[k] = a
	}
	return a
}

// Halt takes in a halt that arose elsewhere.
func (m *Monitor) Halt(v contract.VersionID) { m.halted[v] = true }

// Halted returns the versions halted here, a copy.
func (m *Monitor) Halted() map[contract.VersionID]bool {
	out := make(map[contract.VersionID]bool, len(m.halted))
	for v := range m.halted {
		out[v] = true
	}
	return out
}

// Evidence returns what this monitor has counted.
func (m *Monitor) Evidence() Evidence {
	var e Evidence
	for k, c := range m.counts {
		e = append(e, Count{Observer: k.observer, Version: k.version, Step: k.step, Counts: c})
	}
	return e
}

// Forget drops what concerns roll-outs that are no longer under way. Halts are
// kept: they are for good.
func (m *Monitor) Forget(progress map[contract.ModelID]*config.Progress) {
	for k := range m.counts {
		p, ok := progress[k.version.Model()]
		if !ok || p.To != k.version || p.Step != k.step {
			delete(m.counts, k)
		}
	}
}
