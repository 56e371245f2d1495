// Package memory accounts for the memory that callers make a process hold: request heads and bodies while they arrive
// and for as long as their requests run, and answers until they are delivered. All of it is taken from one account and
// given back to it, so that many callers together cannot make the process hold more than its machine has.
//
// When the account is used up, somebody gives way: of the workspace that holds most, the request that has made no
// progress for longest, and without such a one the youngest. So a request that arrives without pauses is never ended
// by one that came later, and a workspace that holds less never gives way to one that holds more. Requests that may
// have run do not give way before their answer is written. Small requests do not touch the account: the allowance of
// each holder is part of the price of its connection, which the limit of connections covers.
//
// The package starts no goroutine and reads no clock.
package memory

import (
	"sync"
	"time"

	"woaddoor/contract"
)

// Options are the limits of an Account.
type Options struct {
	// Total is how much all holders may hold beyond their allowances. Zero means no limit.
	Total contract.Bytes
	// Allowance is how much each holder may hold without taking it from the total.
	Allowance contract.Bytes
	// StallAfter is the time without progress after which a holder gives way to any other of its workspace.
	StallAfter time.Duration
	// MaxRequests is how many requests all workspaces together may run at a time. Zero means no limit.
	MaxRequests int
	// WorkspaceShare is the part of Total, and of MaxRequests, that one workspace may take. A workspace with a single
	// request may take all of Total.
	WorkspaceShare float64
}

// Account is the memory that callers may make a process hold. It is safe for concurrent use.
type Account struct {
	opts Options

	// mu guards the fields below and those of the holders that are not atomic.
	mu      sync.Mutex
	holders map[*Holder]bool // those that hold more than their allowance
	used    contract.Bytes
	byOwner map[contract.WorkspaceID]contract.Bytes
	running map[contract.WorkspaceID]int
	opened  uint64
	stats   Stats
}

// Stats are the totals of an Account.
type Stats struct {
	// Total is the limit, Used what is held, Peak the most that was held at a time, and Holders how many hold it.
	Total, Used, Peak contract.Bytes
	Holders           int
	// Largest is the workspace that holds most, and LargestUsed what it holds.
	Largest     contract.WorkspaceID
	LargestUsed contract.Bytes
	// Denied counts what was not granted, and Evicted the holders that gave way.
	Denied, Evicted int64
}

// NewAccount returns an account of which nothing is held.
func NewAccount(o Options) *Account {
	return &Account{
		opts: o, holders: make(map[*Holder]bool), byOwner: make(map[contract.WorkspaceID]contract.Bytes), running: make(map[contract.WorkspaceID]int),
	}
}

// Open returns a holder that holds nothing. It is open until Close. The function evict is called, without a lock, when
// the holder has to give way in the given phase; it must not block.
func (a *Account) Open(evict func(Phase), now time.Time) *Holder {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := &Holder{account: a, evict: evict}
	a.renumber(h)
	h.Progress(now)
	return h
}

// renumber makes a holder the youngest.
func (a *Account) renumber(h *Holder) {
	a.opened++
	h.number = a.opened
}

// Stats returns the totals.
func (a *Account) Stats() Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.stats
	s.Total, s.Used, s.Holders = a.opts.Total, a.used, len(a.holders)
	for owner, used := range a.byOwner {
		if used > s.LargestUsed || used == s.LargestUsed && owner < s.Largest {
			s.Largest, s.LargestUsed = owner, used
		}
	}
	return s
}

// take makes a holder hold n bytes more, and returns whether it does. The victims have to give way for it; if it does
// not get enough all the same, nobody has to.
func (a *Account) take(h *Holder, n contract.Bytes, now time.Time) (granted bool, victims []victim) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.evicted.Load() || h.closed {
		return false, nil
	}
	more := a.charge(h.taken+n) - a.charge(h.taken)
	if more == 0 {
		h.taken += n
		return true, nil
	}
	for a.opts.Total > 0 && more > 0 {
		own, total := a.byOwner[h.owner]+more, a.used+more
		alone := a.byOwner[h.owner] == a.charge(h.taken) // a single request may take more than a workspace's share
		ownerFull := h.owner != "" && !alone && float64(own) > a.opts.WorkspaceShare*float64(a.opts.Total)
		if !ownerFull && total <= a.opts.Total {
			break
		}
		v := a.givesWay(h, own, ownerFull, now)
		if v == nil {
			a.stats.Denied++
			a.restore(victims)
			return false, nil
		}
		victims = append(victims, victim{v, v.Phase(), v.taken})
		a.set(v, 0)
	}
	for _, v := range victims {
		v.evicted.Store(true)
		a.stats.Evicted++
	}
	a.set(h, h.taken+n)
	a.stats.Peak = max(a.stats.Peak, a.used)
	return true, victims
}

// victim is a holder that has to give way, with the phase in which it was chosen and what it held.
type victim struct {
	*Holder
	in   Phase
	held contract.Bytes
}

// restore gives victims back what they held.
func (a *Account) restore(victims []victim) {
	for _, v := range victims {
		a.set(v.Holder, v.held)
	}
}

// charge returns how much of a holder's bytes are taken from the total.
func (a *Account) charge(taken contract.Bytes) contract.Bytes { return max(taken-a.opts.Allowance, 0) }

// set sets what a holder holds.
func (a *Account) set(h *Holder, taken contract.Bytes) {
	change := a.charge(taken) - a.charge(h.taken)
	h.taken = taken
	a.used += change
	if a.byOwner[h.owner] += change; a.byOwner[h.owner] == 0 {
		delete(a.byOwner, h.owner)
	}
	if a.charge(taken) > 0 {
		a.holders[h] = true
	} else {
		delete(a.holders, h)
	}
}

// givesWay returns the holder that has to give way so that h can hold more, or nil if h itself has to. The argument
// own is what the workspace of h would hold; if ownerFull is set, only that workspace gives way.
func (a *Account) givesWay(h *Holder, own contract.Bytes, ownerFull bool, now time.Time) *Holder {
	var worst *Holder
	for v := range a.holders {
		used := a.byOwner[v.owner]
		switch {
		case v == h || v.owner != h.owner && (ownerFull || used <= own):
			continue
		case !a.canGiveWay(v, now):
			continue
		case worst == nil || a.isWorse(v, worst, now):
			worst = v
		}
	}
	if worst == nil || worst.owner != h.owner || a.isStalled(worst, now) {
		return worst
	}
	if worst.number < h.number && h.canBeRefused() {
		return nil // h is the youngest
	}
	return worst
}

// canGiveWay reports whether a holder can give way: its request has not been sent to an upstream, or its caller
// does not read the answer.
func (a *Account) canGiveWay(v *Holder, now time.Time) bool {
	switch v.Phase() {
	case Reading:
		return true
	case Writing:
		return a.isStalled(v, now)
	}
	return false
}

// isWorse reports whether v has to give way before w: it is of the workspace that holds more, has made no progress
// for longer, or is younger.
func (a *Account) isWorse(v, w *Holder, now time.Time) bool {
	if v.owner != w.owner {
		if vUsed, wUsed := a.byOwner[v.owner], a.byOwner[w.owner]; vUsed != wUsed {
			return vUsed > wUsed
		}
		return v.owner < w.owner
	}
	vStalled, wStalled := a.isStalled(v, now), a.isStalled(w, now)
	if vStalled != wStalled {
		return vStalled
	}
	if vSince, wSince := v.progressAt.Load(), w.progressAt.Load(); vStalled && vSince != wSince {
		return vSince < wSince
	}
	return v.number > w.number
}

// isStalled reports whether a holder has made no progress for a while.
func (a *Account) isStalled(v *Holder, now time.Time) bool {
	return v.StalledFor(now) >= a.opts.StallAfter
}
