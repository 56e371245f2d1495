package site

import (
	"context"
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"woaddoor/clock"
)

// Timings of the pause between a watch that has returned changes and the next watch.
const (
	// changeBatchPause is the pause where changes are not batched.
	// Changes come in bursts, so one call then returns several.
	changeBatchPause = 80 * time.Millisecond
	// batchDivisor is the bound of a kind divided by the pause where changes are batched.
	// The rest of the bound is needed for a lost watcher, a cut watch and the way to all VMs.
	batchDivisor = 10
	// changeAwaitedFor is how long after a list, an outage of the store or a change of the watcher
	// changes are awaited. Upstreams register again within two seconds of an outage,
	// and the VMs drop those that they have not seen again by the end of lapseGracePeriod.
	changeAwaitedFor = lapseGracePeriod
)

// Reasons for a pause and its length, in logs and metrics.
const (
	pauseBatched   = "batched"
	pauseAwaited   = "awaited" // a change is awaited
	pauseFirstList = "first-list"
	pauseDisabled  = "disabled" // the mechanism is disabled or does not apply to the kind
)

// WatchBatcher decides how long a VM waits before the next watch of one kind of objects,
// so that several changes share a call.
// WatchBatcher is a pure state machine and not safe for concurrent use.
type WatchBatcher struct {
	timing Timing
	// enabled is false if the mechanism is disabled.
	enabled bool
	// awaitedUntil is the time until which changes are awaited.
	awaitedUntil time.Time
}

// WatchPause is the pause before a watch and its reason.
// The store confirms the state only when a call ends, so the watch after a longer pause is
// shorter by Shortening: otherwise peers could take the watcher for lost and call the store too.
type WatchPause struct {
	Pause, Shortening time.Duration
	Reason            string
}

// NewWatchBatcher returns a WatchBatcher that does not await changes.
func NewWatchBatcher(t Timing, enabled bool) *WatchBatcher {
	return &WatchBatcher{timing: t, enabled: enabled}
}

// ExpectChanges records that changes are awaited from now on for changeAwaitedFor.
func (b *WatchBatcher) ExpectChanges(now time.Time) { b.awaitedUntil = now.Add(changeAwaitedFor) }

// PauseAfterChanges returns the pause after a watch that has returned changes.
// orderOpen means that a release order is in progress.
func (b *WatchBatcher) PauseAfterChanges(orderOpen bool, now time.Time) WatchPause {
	switch {
	case !b.enabled || b.timing.BatchPause <= changeBatchPause:
		return WatchPause{Pause: changeBatchPause, Reason: pauseDisabled}
	case orderOpen || now.Before(b.awaitedUntil):
		return WatchPause{Pause: changeBatchPause, Reason: pauseAwaited}
	}
	return WatchPause{Pause: b.timing.BatchPause, Shortening: b.timing.BatchPause, Reason: pauseBatched}
}

// PauseAfterFirstList returns the pause after the list with which a VM has started.
// hasPeers means that other VMs may watch the store for this VM.
// After a power loss of all VMs, each VM lists the objects for its own callers. Without the pause
// each of them then began a watch that only one of them needs; within it, a VM hears of
// the watcher that precedes it. The list is complete, so only a change of the pause is late.
func (b *WatchBatcher) PauseAfterFirstList(hasPeers bool) WatchPause {
	if !b.enabled || !hasPeers {
		return WatchPause{Reason: pauseDisabled}
	}
	pause := b.timing.WatchDuration * watchDivisor / batchDivisor
	return WatchPause{Pause: pause, Shortening: pause, Reason: pauseFirstList}
}

// pauseAfterFirstList pauses after the list with which this VM has started.
func (f *follower[T]) pauseAfterFirstList(ctx context.Context) {
	f.pause(ctx, f.batcher.PauseAfterFirstList(f.hasPeers), 0, false)
}

// pauseAfterChanges pauses after a watch that has returned a number of changes.
func (f *follower[T]) pauseAfterChanges(ctx context.Context, changes int) {
	metrics.GetOrRegisterCounter(fmt.Sprintf("watch_changes_total{kind=%q}", f.source.Name()), f.registry).Inc(int64(changes))
	orderOpen := f.orderOpen()
	f.pause(ctx, f.batcher.PauseAfterChanges(orderOpen, f.now()), changes, orderOpen)
}

// pause logs, counts and makes a pause.
func (f *follower[T]) pause(ctx context.Context, p WatchPause, changes int, orderOpen bool) {
	f.shortening = p.Shortening
	f.count("watch_pauses_total", p.Reason)
	revision, _ := f.revision()
	f.log.Info("watch-paused", zap.String("kind", f.source.Name()), zap.Int("changes", changes), zap.Stringer("revision", revision),
		zap.Duration("pause", p.Pause), zap.String("why", p.Reason), zap.Bool("order_open", orderOpen), zap.Int("failed_calls", f.failedCalls))
	clock.Sleep(ctx, p.Pause)
}
