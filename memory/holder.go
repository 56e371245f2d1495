package memory

import (
	"context"
	"sync/atomic"
	"time"

	"woaddoor/contract"
)

// Phase is what the process does for a holder.
type Phase int32

// The phases of a request.
const (
	// Reading means that the request arrives: it has not been sent to an upstream.
	Reading Phase = iota
	// Running means that the request may be at an upstream.
	Running
	// Writing means that an answer is written to the caller.
	Writing
)

// String returns the name of the phase as it appears in the log.
func (p Phase) String() string { return [...]string{"reading", "running", "writing"}[p] }

// Holder is a connection of a caller, or a request of another VM, for which memory is held. A nil Holder
// holds anything: nothing is accounted for it. Its methods are safe for concurrent use.
type Holder struct {
	account *Account
	evict   func(Phase)
	phase   atomic.Int32
	// progressAt is when the holder last made progress, in Unix nanoseconds.
	progressAt atomic.Int64
	evicted    atomic.Bool

	// The mutex of the account guards the fields below.
	number  uint64 // holders are numbered as they are opened and as their requests end
	owner   contract.WorkspaceID
	taken   contract.Bytes
	running bool // whether it counts among the requests of its owner
	closed  bool
}

// Phase returns the phase.
func (h *Holder) Phase() Phase { return Phase(h.phase.Load()) }

// Enter begins a phase, which counts as progress.
func (h *Holder) Enter(p Phase, now time.Time) {
	if h == nil {
		return
	}
	h.phase.Store(int32(p))
	h.Progress(now)
}

// Run begins the phase in which the request may be sent to an upstream. It returns false if the holder had to give
// way before: the request must not be sent then.
func (h *Holder) Run(now time.Time) bool {
	if h == nil {
		return true
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if h.evicted.Load() {
		return false
	}
	h.Enter(Running, now)
	return true
}

// Progress records that the caller has sent or received something substantial.
func (h *Holder) Progress(now time.Time) {
	if h != nil {
		h.progressAt.Store(now.UnixNano())
	}
}

// StalledFor returns the time since the last progress, or zero while the request runs.
func (h *Holder) StalledFor(now time.Time) time.Duration {
	if h.Phase() == Running {
		return 0
	}
	return now.Sub(time.Unix(0, h.progressAt.Load()))
}

// Evicted reports whether the holder had to give way.
func (h *Holder) Evicted() bool { return h != nil && h.evicted.Load() }

// canBeRefused reports whether the request can still be refused: it has not been sent to an upstream.
func (h *Holder) canBeRefused() bool { return h.Phase() == Reading }

// Begin makes a workspace the owner of what is held, for the time of a request. It returns false if the workspace
// has as many requests as it may have.
func (h *Holder) Begin(owner contract.WorkspaceID) bool {
	if h == nil {
		return true
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	limit := float64(a.opts.MaxRequests)
	if owner != "" {
		limit *= a.opts.WorkspaceShare
	}
	if a.opts.MaxRequests > 0 && float64(a.running[owner]+1) > limit {
		a.stats.Denied++
		return false
	}
	a.setOwner(h, owner)
	a.running[owner]++
	h.running = true
	return true
}

// setOwner moves what a holder holds to another owner.
func (a *Account) setOwner(h *Holder, owner contract.WorkspaceID) {
	taken := h.taken
	a.set(h, 0)
	h.owner = owner
	a.set(h, taken)
}

// Take makes the holder hold n bytes more, and returns whether it does. Others may have to give way for it.
func (h *Holder) Take(n contract.Bytes, now time.Time) bool {
	if h == nil {
		return true
	}
	granted, victims := h.account.take(h, n, now)
	for _, v := range victims {
		v.evict(v.in)
	}
	return granted
}

// Give gives n bytes back.
func (h *Holder) Give(n contract.Bytes) {
	if h == nil {
		return
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.set(h, max(h.taken-n, 0))
}

// End gives everything back at the end of a request. The holder then holds nothing for anybody.
func (h *Holder) End(now time.Time) {
	if h == nil {
		return
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.release(h)
	a.renumber(h)
	h.Enter(Reading, now)
}

// Close gives everything back. The holder gets nothing afterwards.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.release(h)
	h.closed = true
}

// release gives back what a holder holds and ends its request.
func (a *Account) release(h *Holder) {
	a.set(h, 0)
	if h.running {
		if a.running[h.owner]--; a.running[h.owner] == 0 {
			delete(a.running, h.owner)
		}
	}
	h.running, h.owner = false, ""
}

// holderKey is the key of the holder in a context.
type holderKey struct{}

// NewContext returns a context with a holder.
func NewContext(ctx context.Context, h *Holder) context.Context {
	return context.WithValue(ctx, holderKey{}, h)
}

// FromContext returns the holder in a context, or nil.
func FromContext(ctx context.Context) *Holder {
	h, _ := ctx.Value(holderKey{}).(*Holder)
	return h
}

// Stats returns the totals of the account of the holder.
func (h *Holder) Stats() Stats { return h.account.Stats() }
