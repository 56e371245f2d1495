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

// Errors of a LeaseStore. After any other error a write may have taken effect,
// or may still take effect while the condition of the write holds.
var (
	// ErrConflict means that the stored object has another version than the write requires.
	ErrConflict = errors.New("lease object has another version")
	// ErrNotFound means that the store has no lease object.
	ErrNotFound = errors.New("lease object does not exist")
)

// LeaseStore reads and writes the object of one lease.
type LeaseStore interface {
	// Read returns the lease object, or ErrNotFound and the version contract.MissingVersion.
	Read(ctx context.Context) (lease.VersionedObject, error)
	// Write makes the write of a proposal and returns the lease object with its new version.
	// With ErrConflict, Write may return the stored object;
	// version zero means that Write does not return it.
	// With ErrNotFound, Write returns the version contract.MissingVersion.
	Write(ctx context.Context, p lease.Proposal) (lease.VersionedObject, error)
}

// LeaseClientOptions configure a LeaseClient.
type LeaseClientOptions struct {
	lease.Options
	Store LeaseStore
	Clock clock.Clock
	// Timeout limits each call to the store. Timeout must be less than Margin.
	Timeout time.Duration
}

// LeaseClient acquires, renews and resigns a lease in a store on behalf of one process.
// LeaseClient is safe for concurrent use, except that Read,
// Sync and Resign must be called by one goroutine.
type LeaseClient struct {
	opts *LeaseClientOptions

	// mu guards handle. mu is not held during calls to the store.
	mu     sync.Mutex
	handle *lease.Handle
}

// NewLeaseClient returns a client that does not hold the lease.
func NewLeaseClient(opts *LeaseClientOptions) *LeaseClient {
	return &LeaseClient{opts: opts, handle: lease.NewHandle(opts.Options)}
}

// withHandle calls f with the lease handle and the current time while withHandle holds mu.
func (c *LeaseClient) withHandle(f func(h *lease.Handle, now time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.handle, c.opts.Clock.Now())
}

// Read reads the lease object from the store.
func (c *LeaseClient) Read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	object, err := c.opts.Store.Read(ctx)
	switch {
	case errors.Is(err, ErrNotFound):
		c.withHandle(func(h *lease.Handle, now time.Time) { h.ObserveMissing(object.Version, now) })
	case err != nil:
		return err
	default:
		c.withHandle(func(h *lease.Handle, now time.Time) { h.ObserveRead(object, now) })
	}
	return nil
}

// Sync reads the lease object if necessary and makes the write that is due, if any.
func (c *LeaseClient) Sync(ctx context.Context) error {
	needsRead := false
	c.withHandle(func(h *lease.Handle, now time.Time) { needsRead = h.NeedsRead(now) })
	if needsRead {
		if err := c.Read(ctx); err != nil {
			return err
		}
	}
	return c.write(ctx, (*lease.Handle).Propose)
}

// Resign gives the lease up if this process holds the lease.
func (c *LeaseClient) Resign(ctx context.Context) error { return c.write(ctx, (*lease.Handle).Resign) }

// write makes the write that decide returns, if any.
func (c *LeaseClient) write(ctx context.Context, decide func(*lease.Handle, time.Time) (lease.Proposal, bool)) error {
	var p lease.Proposal
	var sentAt time.Time
	due := false
	c.withHandle(func(h *lease.Handle, now time.Time) {
		p, due = decide(h, now)
		sentAt = now
	})
	if !due {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	object, err := c.opts.Store.Write(ctx, p)
	switch {
	case errors.Is(err, ErrNotFound):
		c.withHandle(func(h *lease.Handle, now time.Time) { h.ObserveMissing(object.Version, now) })
	case errors.Is(err, ErrConflict) && object.Version == 0:
		c.withHandle(func(h *lease.Handle, _ time.Time) { h.Invalidate() })
	case errors.Is(err, ErrConflict):
		c.withHandle(func(h *lease.Handle, now time.Time) { h.ObserveRead(object, now) })
	case err != nil:
		return err
	default:
		c.withHandle(func(h *lease.Handle, _ time.Time) { h.ConfirmWrite(p, object.Version, sentAt) })
	}
	return nil
}

// ActiveFencing returns the fencing token under which a call may be made now;
// see lease.Handle.ActiveFencing.
func (c *LeaseClient) ActiveFencing(ignoresFencing bool) (n contract.FencingToken, ok bool) {
	c.withHandle(func(h *lease.Handle, now time.Time) { n, ok = h.ActiveFencing(now, ignoresFencing) })
	return n, ok
}

// UpdateRecord applies change to the record and stores the result with the next write, immediately
// if urgent is true. change gets the record to be written next, or else the stored record.
func (c *LeaseClient) UpdateRecord(change func(record json.RawMessage) (json.RawMessage, error), urgent bool) error {
	var err error
	c.withHandle(func(h *lease.Handle, _ time.Time) {
		var next json.RawMessage
		if next, err = change(h.LatestRecord()); err == nil {
			h.SetRecord(next, urgent)
		}
	})
	return err
}

// Latest returns the newest known lease object and how long that object has been unchanged.
// ok is false if no lease object is known.
func (c *LeaseClient) Latest() (object lease.VersionedObject, age time.Duration, ok bool) {
	c.withHandle(func(h *lease.Handle, now time.Time) {
		object, age, ok = h.Latest(), h.Age(now), !h.Latest().Version.Missing()
	})
	return object, age, ok
}

// ObservePeer records a version of the lease object
// that another VM knows and that has been unchanged for age.
func (c *LeaseClient) ObservePeer(s lease.VersionedObject, age time.Duration) {
	c.withHandle(func(h *lease.Handle, now time.Time) { h.ObservePeer(s, now.Add(-max(age, 0))) })
}

// HeldBySelf reports whether the newest known lease object names this process as the holder.
func (c *LeaseClient) HeldBySelf() (mine bool) {
	c.withHandle(func(h *lease.Handle, _ time.Time) { mine = h.HeldBySelf() })
	return mine
}

// AvailableIn returns the time until this process may acquire the lease. The time is zero
// or negative if this process may acquire the lease now or already holds the lease.
func (c *LeaseClient) AvailableIn() (in time.Duration) {
	c.withHandle(func(h *lease.Handle, now time.Time) { in = h.AvailableAt().Sub(now) })
	return in
}
