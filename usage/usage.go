// Package usage counts the requests that upstreams have started,
// by workspace and by window of wall-clock time, over all VMs,
// and decides which counts are reported for a window.
// Package usage is a pure state machine: its callers pass in the time and the counts of other VMs.
//
// Each VM counts the requests of its own callers.
// A Part holds the counts of one VM incarnation in one window.
// The counts of a part only grow, so parts may arrive late,
// twice, in any order and through any number of VMs without changing the sum over all incarnations.
// One VM at a time sends reports, under a lease.
// The lease holder stores the final counts of a window in the record of the lease before it
// reports these counts, so that all reports of a window are equal, whichever VM sends them.
package usage

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"woaddoor/contract"
)

// Window is the number of a span of wall-clock time:
// window k starts k window lengths after the start of 1970 (UTC).
type Window int64

// WindowOf returns the window of the given length that contains t.
func WindowOf(t time.Time, length time.Duration) Window {
	return Window(t.UnixNano() / int64(length))
}

// End returns the end of a window of the given length.
func (w Window) End(length time.Duration) time.Time {
	return time.Unix(0, (int64(w)+1)*int64(length))
}

// Counts holds the number of started requests of each workspace.
type Counts map[contract.WorkspaceID]int64

// mergeMax raises each count to the count in other if that count is larger,
// and reports whether any count has changed.
// Both Counts must belong to the same VM incarnation and window; either may be the newer one.
func (c Counts) mergeMax(other Counts) bool {
	raised := false
	for w, n := range other {
		if n > c[w] {
			c[w] = n
			raised = true
		}
	}
	return raised
}

// Part holds the counts of one VM incarnation in one window so far.
type Part struct {
	Source contract.VMInstance `cbor:"1,keyasint"`
	Window Window              `cbor:"2,keyasint"`
	Counts Counts              `cbor:"3,keyasint"`
}

// partKey identifies a Part.
type partKey struct {
	window Window
	source contract.VMInstance
}

// trackedPart holds the counts of a Part and the number of the change that last raised them.
type trackedPart struct {
	counts     Counts
	lastChange uint64
}

// Counter holds the parts (counts of one VM incarnation in one window) that a VM knows.
// Counter is not safe for concurrent use.
type Counter struct {
	parts map[partKey]*trackedPart
	// newestChange is the number of the last change to any part.
	newestChange uint64
}

// NewCounter returns an empty Counter.
func NewCounter() *Counter { return &Counter{parts: make(map[partKey]*trackedPart)} }

// CountStart counts one started request for an incarnation of this VM.
func (c *Counter) CountStart(source contract.VMInstance, window Window, w contract.WorkspaceID) {
	p := c.getOrCreate(source, window)
	p.counts[w]++
	c.markChanged(p)
}

// Merge merges a part (usage counts) that another VM has sent.
func (c *Counter) Merge(received Part) {
	p := c.getOrCreate(received.Source, received.Window)
	if p.counts.mergeMax(received.Counts) {
		c.markChanged(p)
	}
}

// getOrCreate returns the counts of a VM incarnation in a window,
// or empty counts if there are none.
func (c *Counter) getOrCreate(source contract.VMInstance, window Window) *trackedPart {
	key := partKey{window, source}
	p, ok := c.parts[key]
	if !ok {
		p = &trackedPart{counts: make(Counts)}
		c.parts[key] = p
	}
	return p
}

// markChanged gives a part of the usage counts the next change number.
func (c *Counter) markChanged(p *trackedPart) {
	c.newestChange++
	p.lastChange = c.newestChange
}

// ChangedSince returns the parts whose counts were raised after the given change number,
// and the number of the newest change. Change number 0 selects all parts.
func (c *Counter) ChangedSince(change uint64) ([]Part, uint64) {
	var out []Part
	for key, p := range c.parts {
		if p.lastChange > change {
			out = append(out, Part{key.source, key.window, maps.Clone(p.counts)})
		}
	}
	slices.SortFunc(out, func(a, b Part) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(a.Source.VM, b.Source.VM), cmp.Compare(a.Source.Incarnation, b.Source.Incarnation))
	})
	return out, c.newestChange
}

// Total returns the usage counts of a window, summed over all VM incarnations.
func (c *Counter) Total(w Window) Counts {
	total := make(Counts)
	for key, p := range c.parts {
		if key.window != w {
			continue
		}
		for id, n := range p.counts {
			total[id] += n
		}
	}
	return total
}

// Windows returns the usage windows that have counts, in ascending order.
func (c *Counter) Windows() []Window {
	seen := make(map[Window]bool)
	for key := range c.parts {
		seen[key.window] = true
	}
	return slices.Sorted(maps.Keys(seen))
}

// DropBefore drops the parts of all windows before the given one.
func (c *Counter) DropBefore(before Window) {
	maps.DeleteFunc(c.parts, func(key partKey, _ *trackedPart) bool { return key.window < before })
}
