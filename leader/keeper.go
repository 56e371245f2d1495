package leader

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"woaddoor/clock"
	"woaddoor/contract"
	"woaddoor/lease"
)

// Errors of a LeaseStore. Every other error means that a write may have taken effect, or may
// yet while its condition holds.
var (
	// ErrTaken means that the object has another version.
	ErrTaken = errors.New("another was first")
	// ErrGone means that there is no object.
	ErrGone = errors.New("no lease object")
)

// LeaseStore reads and writes the object of one lease.
type LeaseStore interface {
	// Read returns the object, or ErrGone.
	Read(ctx context.Context) (lease.Seen, error)
	// Write carries out a proposal and returns its version. With ErrTaken it may return
	// the object as it is; a Version of zero means that it does not.
	Write(ctx context.Context, p lease.Proposal) (lease.Seen, error)
}

// KeeperOptions set up a Keeper.
type KeeperOptions struct {
	lease.Options
	Store LeaseStore
	Clock clock.Clock
	// Timeout bounds each call to the store; it has to be under Margin.
	Timeout time.Duration
}

// Keeper holds one process's part in a lease before a store. It is safe for concurrent
// use; Look, Step and Resign are called by one goroutine.
type Keeper struct {
	opts *KeeperOptions

	// mu guards holder. It is not held across calls.
	mu     sync.Mutex
	holder *lease.Holder
}

// NewKeeper returns a keeper that holds nothing.
func NewKeeper(opts *KeeperOptions) *Keeper {
	return &Keeper{opts: opts, holder: lease.NewHolder(opts.Options)}
}

func (k *Keeper) locked(f func(h *lease.Holder, now time.Time)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f(k.holder, k.opts.Clock.Now())
}

// Look reads the object.
func (k *Keeper) Look(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, k.opts.Timeout)
	defer cancel()
	seen, err := k.opts.Store.Read(ctx)
	switch {
	case errors.Is(err, ErrGone):
		k.locked(func(h *lease.Holder, now time.Time) { h.Gone(now) })
	case err != nil:
		return err
	default:
		k.locked(func(h *lease.Holder, now time.Time) { h.Saw(seen, now) })
	}
	return nil
}

// Step reads the object where that is needed and makes the write that is due, if any.
func (k *Keeper) Step(ctx context.Context) error {
	unread := false
	k.locked(func(h *lease.Holder, now time.Time) { unread = h.Unread(now) })
	if unread {
		if err := k.Look(ctx); err != nil {
			return err
		}
	}
	return k.write(ctx, (*lease.Holder).Propose)
}

// Resign gives the lease up if this process holds it.
func (k *Keeper) Resign(ctx context.Context) error { return k.write(ctx, (*lease.Holder).Resign) }

// write makes the write that a holder decides on, if any.
func (k *Keeper) write(ctx context.Context, decide func(*lease.Holder, time.Time) (lease.Proposal, bool)) error {
	var p lease.Proposal
	var asked time.Time
	due := false
	k.locked(func(h *lease.Holder, now time.Time) {
		p, due = decide(h, now)
		asked = now
	})
	if !due {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, k.opts.Timeout)
	defer cancel()
	seen, err := k.opts.Store.Write(ctx, p)
	switch {
	case errors.Is(err, ErrGone):
		k.locked(func(h *lease.Holder, now time.Time) { h.Gone(now) })
	case errors.Is(err, ErrTaken) && seen.Version == 0:
		k.locked(func(h *lease.Holder, _ time.Time) { h.Doubt() })
	case errors.Is(err, ErrTaken):
		k.locked(func(h *lease.Holder, now time.Time) { h.Saw(seen, now) })
	case err != nil:
		return err
	default:
		k.locked(func(h *lease.Holder, _ time.Time) { h.Wrote(p, seen.Version, asked) })
	}
	return nil
}

// Ready returns the fencing number under which an order may be given now; see
// lease.Holder.Ready.
func (k *Keeper) Ready(ignores bool) (n contract.FencingNumber, ok bool) {
	k.locked(func(h *lease.Holder, now time.Time) { n, ok = h.Ready(now, ignores) })
	return n, ok
}

// Change has the next write put a changed record into the object, due at once if that is
// urgent. change is given what is to be written so far.
func (k *Keeper) Change(change func(record json.RawMessage) (json.RawMessage, error), urgent bool) error {
	var err error
	k.locked(func(h *lease.Holder, _ time.Time) {
		var next json.RawMessage
		if next, err = change(h.Pending()); err == nil {
			h.Fix(next, urgent)
		}
	})
	return err
}

// Known returns the newest object that is known and for how long it has stood, and
// whether any is.
func (k *Keeper) Known() (seen lease.Seen, age time.Duration, ok bool) {
	k.locked(func(h *lease.Holder, now time.Time) { seen, age, ok = h.Seen(), h.Age(now), h.Seen().Version != 0 })
	return seen, age, ok
}

// Told takes in that another VM knows of a version that has stood for a while.
func (k *Keeper) Told(s lease.Seen, age time.Duration) {
	k.locked(func(h *lease.Holder, now time.Time) { h.Told(s, now.Add(-max(age, 0))) })
}

// Mine tells whether the newest object that is known names this process.
func (k *Keeper) Mine() (mine bool) {
	k.locked(func(h *lease.Holder, _ time.Time) { mine = h.Mine() })
	return mine
}

// FreeIn returns after how long this process may take the lease; zero or less when it may
// now, or holds it.
func (k *Keeper) FreeIn() (in time.Duration) {
	k.locked(func(h *lease.Holder, now time.Time) { in = h.FreeAt().Sub(now) })
	return in
}
