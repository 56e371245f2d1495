package site

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"woaddoor/clock"
	"woaddoor/contract"
	"woaddoor/logs"
)

// Timings of a follower, which keeps one kind of objects up to date.
const (
	// watchDurationAfterFailure is how long a watch stays open after a failed call.
	// A call that the store does not answer is abandoned only after this time,
	// and every VM must know changes within seconds of the store's recovery.
	watchDurationAfterFailure = 200 * time.Millisecond
	// storeReachableWithin is the maximum age of a store confirmation from a peer
	// that shows that the store is reachable.
	storeReachableWithin = time.Second
	// changeBatchPause is the pause between a change and the next watch.
	// Changes come in bursts, so one call then returns several.
	changeBatchPause = 80 * time.Millisecond
	// idleCheckInterval and maxIdleInterval bound the time between two checks
	// whether a VM that does not watch the store should start to watch.
	// An idle VM checks about once per watch. A VM that was frozen checks soon after it resumes.
	idleCheckInterval = 50 * time.Millisecond
	maxIdleInterval   = 500 * time.Millisecond
	// minIdleInterval is the shortest pause between two checks whether to watch the store.
	// Without minIdleInterval, a VM that is due to call the store within milliseconds
	// would check without a pause.
	minIdleInterval = 2 * time.Millisecond
	// minRetryPause and maxRetryPause bound the pause after a failed call.
	// Rejected calls are billed too,
	// and a configuration must be known within seconds of the store's recovery.
	minRetryPause = 150 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
	// maxRetryRanks is the highest local rank that lengthens the pause after a failed call:
	// a VM of rank n pauses n+1 times as long as the first VM of its data centre,
	// whose calls mostly fail for the same reason.
	maxRetryRanks = 4
)

// follower keeps one kind of objects up to date, from the store and from peers.
type follower[T any] struct {
	source   Source[T]
	log      *zap.Logger
	registry metrics.Registry
	// apply applies changes. full means that the changes hold all existing objects.
	apply func(c Changes[T], full bool)
	// applyFirstPage applies the first page of the first list
	// before the rest of the list has arrived.
	applyFirstPage func(c Changes[T])
	// onStoreCall is called after each store call and reports whether the store responded.
	onStoreCall func(ok bool)

	// rank returns the rank of this VM among the VMs that may watch the store.
	rank func() Rank
	// announceChange is called when the store has returned a change,
	// and announceNoChange is called when the store has confirmed that there is no change.
	announceChange, announceNoChange func()
	now                              func() time.Time
	// requestWaiting is closed when client requests wait for state that this VM lacks.
	requestWaiting <-chan struct{}
	// randomRank is the random rank by which this VM delays its first call to the store
	// while client requests wait for state that this VM lacks and this VM knows no other VM.
	// randomRank is the same for all kinds of objects.
	randomRank int

	// failedCalls is the number of consecutive failed calls. Only run uses failedCalls.
	failedCalls int
	// relist is set when the store no longer has the change history,
	// so that all objects must be listed again.
	// historyGone is how many watches in a row have found the history gone.
	// Only run and the functions that run calls use relist and historyGone.
	relist      bool
	historyGone int

	// mu guards the fields below. mu is held while changes are applied,
	// so that changes from the store and from peers take effect one after the other.
	mu       sync.Mutex
	cache    *ObjectCache
	election *WatcherElection
	// decodeErrors holds the last logged decoding error of each object that cannot be decoded.
	decodeErrors map[string]string
}

// run keeps the objects up to date until ctx ends.
func (f *follower[T]) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.shouldWatch() {
			f.waitIdle(ctx)
			continue
		}
		err := f.syncOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if f.failedCalls > 0 {
				f.log.Info("store-regained", zap.String("kind", f.source.Name()), zap.Int("failed_calls", f.failedCalls))
			}
			f.failedCalls = 0
			continue
		}
		f.failedCalls++
		f.recordFailedCall()
		if f.failedCalls == 1 {
			revision, _ := f.revision()
			f.log.Warn("store-lost", append(logs.ErrorFields(err), zap.String("kind", f.source.Name()), zap.Stringer("revision", revision))...)
		}
		clock.Sleep(ctx, retryPause(f.failedCalls, f.rank()))
	}
}

// waitIdle waits until this VM has to check again whether it should call the store.
func (f *follower[T]) waitIdle(ctx context.Context) {
	f.mu.Lock()
	requestWaiting := f.requestWaiting
	if !f.election.requestsWaitingSince.IsZero() {
		requestWaiting = nil // already recorded
	}
	f.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-requestWaiting:
		f.mu.Lock()
		f.election.RecordWaitingRequest(f.randomRank, f.now())
		f.mu.Unlock()
	case <-time.After(f.idleInterval()):
	}
}

// shouldWatch reports whether this VM should call the store now,
// and logs when this VM begins to call the store.
func (f *follower[T]) shouldWatch() bool {
	rank := f.rank()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	_, known := f.cache.Revision()
	wasWatching := f.election.watching
	if f.election.ShouldWatch(known, rank, now) == wasWatching {
		return wasWatching
	}
	f.count("watches_begun_total", watchReason(known))
	f.log.Info("watch-begins", zap.String("kind", f.source.Name()), zap.Bool("known", known), zap.Duration("age", f.age(now)),
		zap.String("confirmed_by", string(f.election.newest.by.VM)), zap.Uint64("confirmation", f.election.newest.sequence),
		zap.Int("place", rank.Local), zap.Int("data_centre_place", rank.DataCentre))
	return true
}

// watchReason returns why a VM calls the store:
// either the VM has not received the objects of this kind yet,
// or the store's last confirmation is too old.
func watchReason(known bool) string {
	if known {
		return "stale"
	}
	return "unknown"
}

// count increments a counter that is labelled with this kind and a reason or source.
func (f *follower[T]) count(name, label string) {
	metrics.GetOrRegisterCounter(fmt.Sprintf("%s{kind=%q,by=%q}", name, f.source.Name(), label), f.registry).Inc(1)
}

// idleInterval returns how long this VM, which does not watch the store,
// may wait until the next check whether to start to watch the store.
func (f *follower[T]) idleInterval() time.Duration {
	rank := f.rank()
	f.mu.Lock()
	defer f.mu.Unlock()
	_, known := f.cache.Revision()
	due := f.election.WatchDueAt(known, rank).Sub(f.now())
	if !known { // the rank changes as other VMs become known, and requests may be waiting
		return min(max(due, minIdleInterval), idleCheckInterval)
	}
	return min(max(due, idleCheckInterval), maxIdleInterval)
}

// retryPause returns the pause after n failed calls. The pause is randomised
// so that VMs do not retry together, and the pause is longer for higher ranks.
func retryPause(failures int, rank Rank) time.Duration {
	pause := min(minRetryPause<<min(failures-1, 4), maxRetryPause) * time.Duration(1+min(rank.Local, maxRetryRanks))
	return time.Duration((0.5 + rand.Float64()) * float64(pause))
}

// syncOnce lists all objects of this kind
// if no objects are known or if the store no longer has the change history.
// Otherwise syncOnce watches the store for changes.
func (f *follower[T]) syncOnce(ctx context.Context) error {
	revision, known := f.revision()
	if !known || f.relist {
		c, err := f.source.List(ctx, f.acceptPage)
		f.onStoreCall(err == nil || errors.Is(err, ErrStopListing))
		switch {
		case errors.Is(err, ErrStopListing):
			return nil // a peer has sent the whole list meanwhile
		case err != nil:
			return err
		}
		f.relist = false
		f.applyFromStore(c, true)
		return nil
	}
	c, err := f.source.Watch(ctx, revision, f.watchDuration())
	f.onStoreCall(err == nil || errors.Is(err, ErrHistoryGone))
	if errors.Is(err, ErrHistoryGone) {
		f.log.Info("history-gone", zap.String("kind", f.source.Name()), zap.Stringer("revision", revision))
		f.relist = true
		if f.historyGone++; f.historyGone > 1 { // listing brought no revision that the store can watch from
			clock.Sleep(ctx, retryPause(f.historyGone-1, f.rank()))
		}
		return nil
	}
	if err != nil {
		return err
	}
	f.historyGone = 0
	f.applyFromStore(c, false)
	if len(c.Items) > 0 {
		clock.Sleep(ctx, changeBatchPause)
	}
	return nil
}

// acceptPage applies a page of the first list and reports whether more pages are needed.
// No more pages are needed if a peer has sent the whole list meanwhile.
func (f *follower[T]) acceptPage(c Changes[T], more bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, known := f.cache.Revision(); known {
		return f.relist
	}
	if more {
		f.applyFirstPage(c)
		f.log.Info("first-part", zap.String("kind", f.source.Name()), zap.Int("objects", len(c.Items)))
	}
	return true
}

// applyFromStore applies a response of the store and announces it to the peers.
func (f *follower[T]) applyFromStore(c Changes[T], full bool) {
	previous, _ := f.lastChange()
	f.applyChanges(c, full)
	f.mu.Lock()
	f.election.RecordStoreCall(true, f.now())
	f.cache.Confirm(c.Revision)
	f.mu.Unlock()
	if current, _ := f.lastChange(); current > previous {
		f.count("changes_told_total", "store")
		f.announceChange()
	} else {
		f.announceNoChange()
	}
}

// recordFailedCall records a failed store call.
func (f *follower[T]) recordFailedCall() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.election.RecordStoreCall(false, f.now())
}

// age returns the time since the last confirmation by the store,
// or zero before the first confirmation. The caller holds mu.
func (f *follower[T]) age(now time.Time) time.Duration {
	if _, known := f.cache.Revision(); !known {
		return 0
	}
	return f.election.Age(now).Round(time.Millisecond)
}

// watchDuration returns how long the next watch stays open.
func (f *follower[T]) watchDuration() time.Duration {
	if f.failedCalls > 0 {
		return watchDurationAfterFailure
	}
	return f.source.Timing().WatchDuration
}

// revision returns the revision up to which this VM is up to date, and whether it has any state.
func (f *follower[T]) revision() (contract.Revision, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cache.Revision()
}

// lastChange returns the revision of the newest known change, and whether this VM has any state.
func (f *follower[T]) lastChange() (contract.Revision, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, known := f.cache.Revision()
	return f.cache.LastChange(), known
}

// applyChanges applies the changes that are newer
// than the known state, from the store or from a peer.
func (f *follower[T]) applyChanges(c Changes[T], full bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logEraChange(c, full)
	d := Delta{Full: full, Revision: c.Revision}
	for _, i := range c.Items {
		d.Items = append(d.Items, i.RawObject)
	}
	accepted := Changes[T]{Revision: c.Revision}
	for n, changed := range f.cache.Apply(d) {
		if changed {
			accepted.Items = append(accepted.Items, c.Items[n])
			f.recordDecodeResult(c.Items[n])
		}
	}
	if len(accepted.Items) > 0 || full {
		f.apply(accepted, full)
	}
}

// logEraChange logs when a list shows that the store has returned from an older copy
// since the known state. The caller holds mu.
func (f *follower[T]) logEraChange(c Changes[T], full bool) {
	revision, known := f.cache.Revision()
	if !known || !full || c.Revision.Era() == revision.Era() {
		return
	}
	f.count("store_returns_total", "list")
	f.log.Warn("store-returned", zap.String("kind", f.source.Name()), zap.Stringer("had", revision), zap.Stringer("revision", c.Revision),
		zap.Int("objects", len(c.Items)), zap.Int("objects_before", f.cache.Count()))
}

// recordDecodeResult logs and counts when an object can no longer be decoded,
// when the reason changes and when the object can be decoded again. The caller holds mu.
func (f *follower[T]) recordDecodeResult(i Item[T]) {
	reason := ""
	if i.Err != nil && !i.Deleted {
		reason = i.Err.Error()
	}
	if f.decodeErrors[i.Name] == reason {
		return
	}
	fields := []zap.Field{zap.String("kind", f.source.Name()), zap.String("name", i.Name), zap.Stringer("revision", i.Revision)}
	if reason == "" {
		delete(f.decodeErrors, i.Name)
		f.log.Info("object-understood", append(fields, zap.Bool("gone", i.Deleted))...)
		return
	}
	f.decodeErrors[i.Name] = reason
	f.count("objects_malformed_total", "told")
	f.log.Error("object-malformed", append(fields, zap.String("why", reason))...)
}
