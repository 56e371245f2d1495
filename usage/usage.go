// Package usage counts the requests that upstreams have begun to run, by workspace
// and window of the wall clock, over all VMs, and decides what is reported of a
// window. It is pure: the time and what VMs tell are given.
//
// Each VM counts what runs for its own callers. A Part is what one life of a VM has
// counted in one window; it only grows, so parts may be told late, twice, in any
// order and over any number of VMs, and the sum over lives is the same. One VM at
// a time reports, under a lease: what it reports of a window it first fixes in the
// lease's record, so that no two reports of one window differ, whoever sends them.
package usage

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"woaddoor/contract"
)

// Window is the number of a span of the wall clock: window k starts k lengths after
// the start of 1970.
type Window int64

// WindowOf returns the window of a length that a time falls into.
func WindowOf(t time.Time, length time.Duration) Window {
	return Window(t.UnixNano() / int64(length))
}

// End returns the end of a window.
func (w Window) End(length time.Duration) time.Time {
	return time.Unix(0, (int64(w)+1)*int64(length))
}

// Counts are how many requests of each workspace began to run.
type Counts map[contract.WorkspaceID]int64

// grow raises counts to those of a part of the same life that was told earlier or later,
// and tells whether any rose.
func (c Counts) grow(other Counts) bool {
	grown := false
	for w, n := range other {
		if n > c[w] {
			c[w] = n
			grown = true
		}
	}
	return grown
}

// Part is what one life of a VM has counted in one window so far.
type Part struct {
	Life   contract.VMLife `cbor:"1,keyasint"`
	Window Window          `cbor:"2,keyasint"`
	Counts Counts          `cbor:"3,keyasint"`
}

type partKey struct {
	window Window
	life   contract.VMLife
}

// part is a Part and the number of the change that last grew it.
type part struct {
	counts  Counts
	changed uint64
}

// Sums are the parts that a VM knows. Its owner locks it.
type Sums struct {
	parts map[partKey]*part
	// changes numbers what grows parts here.
	changes uint64
}

// NewSums returns sums of nothing.
func NewSums() *Sums { return &Sums{parts: make(map[partKey]*part)} }

// Began counts a request that began to run under a life of this VM.
func (s *Sums) Began(of contract.VMLife, at Window, w contract.WorkspaceID) {
	p := s.part(of, at)
	p.counts[w]++
	s.changed(p)
}

// Told takes in a part of another VM.
func (s *Sums) Told(told Part) {
	p := s.part(told.Life, told.Window)
	if p.counts.grow(told.Counts) {
		s.changed(p)
	}
}

func (s *Sums) part(of contract.VMLife, at Window) *part {
	key := partKey{at, of}
	p, ok := s.parts[key]
	if !ok {
		p = &part{counts: make(Counts)}
		s.parts[key] = p
	}
	return p
}

func (s *Sums) changed(p *part) {
	s.changes++
	p.changed = s.changes
}

// Since returns the parts that have grown since a change, and the number of the newest
// one. Change 0 comes before all.
func (s *Sums) Since(change uint64) ([]Part, uint64) {
	var out []Part
	for key, p := range s.parts {
		if p.changed > change {
			out = append(out, Part{key.life, key.window, maps.Clone(p.counts)})
		}
	}
	slices.SortFunc(out, func(a, b Part) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(a.Life.VM, b.Life.VM), cmp.Compare(a.Life.Incarnation, b.Life.Incarnation))
	})
	return out, s.changes
}

// Total returns the sum over all lives in a window.
func (s *Sums) Total(w Window) Counts {
	total := make(Counts)
	for key, p := range s.parts {
		if key.window != w {
			continue
		}
		for id, n := range p.counts {
			total[id] += n
		}
	}
	return total
}

// Windows returns the windows of which anything is known, in order.
func (s *Sums) Windows() []Window {
	seen := make(map[Window]bool)
	for key := range s.parts {
		seen[key.window] = true
	}
	return slices.Sorted(maps.Keys(seen))
}

// Forget drops the parts of all windows before one.
func (s *Sums) Forget(before Window) {
	maps.DeleteFunc(s.parts, func(key partKey, _ *part) bool { return key.window < before })
}
