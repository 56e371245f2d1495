package site

import (
	"context"
	"maps"
	"time"

	"go.uber.org/zap"

	"woaddoor/logs"
	"woaddoor/relay"
	"woaddoor/rollout"
)

// applyOrders applies rollout orders from the store.
func (s *Site) applyOrders(c Changes[rollout.ReleaseOrder], _ bool) {
	for _, i := range c.Items {
		if i.Deleted || i.Err != nil {
			continue
		}
		o := i.Value
		o.IssuedAt = issuedAt(o, s.opts.Now())
		s.log.Info("order", zap.String("service", string(o.Service)), zap.String("release", o.Release), zap.Duration("length", o.Duration),
			zap.String("state", string(o.State)), zap.Duration("age", s.opts.Now().Sub(o.IssuedAt).Round(time.Millisecond)), zap.Stringer("revision", o.Revision))
		s.opts.Relay.SetOrder(o)
	}
}

// issuedAt returns when a rollout order was issued:
// at the time that another VM recorded, or now if the order is new. The clocks of VMs may differ,
// so the age of the order is limited to the range from zero to the length of the order.
func issuedAt(o rollout.ReleaseOrder, now time.Time) time.Time {
	if o.StartedAt.IsZero() {
		return now
	}
	age := min(max(now.Sub(o.StartedAt), 0), o.Duration)
	return now.Add(-age)
}

// writeKey identifies a write to the store by the object and its new state.
// A write that the store has lost is due anew in the store's next era.
type writeKey struct {
	object, state string
	era           uint64
}

// pendingWrite is a write to the store that this VM makes
// unless another VM makes the same write first.
type pendingWrite struct {
	due time.Time
	// tried is set after the first attempt to write.
	// While the store is unreachable, further attempts are pointless and still billed.
	tried bool
}

// Delays of writes to the store that any VM may make.
// The first write makes the writes of the other VMs unnecessary once the other VMs know of it,
// and a conflicting write costs a store call.
// VMs write in the order in which they would watch the store.
const (
	// writeRankStep is the delay per local rank (position among the VMs of the data centre).
	// writeDataCentreStep is the delay per preceding data centre.
	// Every VM knows of another VM's write within some 200 ms.
	// maxWriteRank is the highest rank that adds to the delay.
	writeRankStep       = 250 * time.Millisecond
	writeDataCentreStep = 100 * time.Millisecond
	maxWriteRank        = 6
	// writeRetryInterval is the pause before this VM repeats a write
	// that has failed or has no visible effect yet.
	writeRetryInterval = 500 * time.Millisecond
	// maxPendingWrites limits the number of pending writes. When more writes are pending,
	// the writes that were due more than pendingWriteExpiry ago are dropped.
	maxPendingWrites   = 1024
	pendingWriteExpiry = time.Minute
)

// mayWrite reports whether a write is due: first after this VM's write delay,
// and then repeatedly until its effect is visible. pending holds the caller's pending writes.
func (s *Site) mayWrite(pending map[writeKey]*pendingWrite, key writeKey, now time.Time) bool {
	if len(pending) > maxPendingWrites {
		maps.DeleteFunc(pending, func(_ writeKey, write *pendingWrite) bool { return now.Sub(write.due) > pendingWriteExpiry })
	}
	write, ok := pending[key]
	if !ok {
		write = &pendingWrite{due: now.Add(s.writeDelay())}
		pending[key] = write
	}
	if now.Before(write.due) || write.tried && s.storeUnreachable() {
		return false
	}
	write.tried = true
	write.due = now.Add(writeRetryInterval)
	return true
}

// writeOrderState writes the new state of a rollout order
// to the store once this VM's write delay has passed.
func (s *Site) writeOrderState(ctx context.Context, v relay.Verdict) {
	now := s.opts.Now()
	if !s.mayWrite(s.orderWrites, writeKey{v.Order.Name + "|" + v.Order.Release, string(v.State), v.Order.Revision.Era()}, now) {
		return
	}
	o := v.Order
	if o.StartedAt.IsZero() {
		o.StartedAt = o.IssuedAt
	}
	err := s.opts.WriteRolloutStatus(ctx, o, v.State)
	fields := []zap.Field{
		zap.String("service", string(o.Service)), zap.String("release", o.Release), zap.String("state", string(v.State)),
		zap.Stringer("revision", o.Revision),
	}
	fields = append(fields, relay.GroundsFields(v.Grounds)...)
	if err != nil {
		s.log.Warn("order-note-failed", append(fields, logs.ErrorFields(err)...)...)
		return
	}
	s.log.Info("order-noted", fields...)
}

// storeUnreachable reports whether the store does not respond to this VM.
func (s *Site) storeUnreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.upstreamList.storeUnreachable
}

// writeDelay returns how long this VM waits before a write.
func (s *Site) writeDelay() time.Duration { return writeDelayFor(s.opts.Peers.Rank()) }

// writeDelayFor returns how long a VM of a given rank waits
// before a write that other VMs would make too.
func writeDelayFor(rank Rank) time.Duration {
	return writeRankStep*time.Duration(min(rank.Local, maxWriteRank)) + writeDataCentreStep*time.Duration(rank.DataCentre)
}
