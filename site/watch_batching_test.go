package site

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	"woaddoor/contract"
)

// batchTiming is the timing of the list of upstreams in the deployments with bounds of 3 s.
var batchTiming = TimingFor(3 * time.Second)

// TestPauseAfterChanges checks each rule of the pause: changes that are awaited, and kinds that
// VMs write themselves, must not wait for a batch.
func TestPauseAfterChanges(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	batched := WatchPause{Pause: 300 * time.Millisecond, Shortening: 300 * time.Millisecond, Reason: pauseBatched}
	b := NewWatchBatcher(batchTiming, true)
	is.Equal(b.PauseAfterChanges(false, now), batched)
	is.Equal(b.PauseAfterChanges(true, now), WatchPause{Pause: changeBatchPause, Reason: pauseAwaited})
	b.ExpectChanges(now)
	is.Equal(b.PauseAfterChanges(false, now.Add(changeAwaitedFor-1)), WatchPause{Pause: changeBatchPause, Reason: pauseAwaited})
	is.Equal(b.PauseAfterChanges(false, now.Add(changeAwaitedFor)), batched)
	unbatched := WatchPause{Pause: changeBatchPause, Reason: pauseDisabled}
	is.Equal(NewWatchBatcher(batchTiming, false).PauseAfterChanges(false, now), unbatched)
	is.Equal(NewWatchBatcher(batchTiming.WithoutBatching(), true).PauseAfterChanges(false, now), unbatched)
	is.Equal(NewWatchBatcher(TimingFor(500*time.Millisecond), true).PauseAfterChanges(false, now), unbatched)
}

// scriptedStore is a source whose objects change at given times. It runs in simulated time.
type scriptedStore struct {
	namedSource
	changedAt []time.Time // change n has revision n+2
	// calls counts all calls. fail returns the error of a watch that begins now, or nil.
	calls int
	fail  func(now time.Time) error
	// ended are the times at which watches without an error ended.
	ended []time.Time
}

func (s *scriptedStore) Timing() Timing { return batchTiming }

func (s *scriptedStore) List(_ context.Context, page func(Changes[Evacuation], bool) bool) (Changes[Evacuation], error) {
	s.calls++
	c := Changes[Evacuation]{Revision: s.revision(time.Now())}
	page(c, false)
	return c, nil
}

// revision returns the revision of the newest change at a time.
func (s *scriptedStore) revision(now time.Time) contract.Revision {
	r := contract.Revision(1)
	for _, at := range s.changedAt {
		if !at.After(now) {
			r++
		}
	}
	return r
}

func (s *scriptedStore) Watch(ctx context.Context, after contract.Revision, wait time.Duration) (Changes[Evacuation], error) {
	s.calls++
	if s.fail != nil {
		if err := s.fail(time.Now()); err != nil {
			if errors.Is(err, errCut) {
				time.Sleep(wait)
				s.ended = append(s.ended, time.Now())
				return Changes[Evacuation]{Revision: after}, nil
			}
			return Changes[Evacuation]{}, err
		}
	}
	if next := int(after) - 1; next < len(s.changedAt) {
		wait = min(wait, time.Until(s.changedAt[next]))
	}
	time.Sleep(wait)
	c := Changes[Evacuation]{Revision: s.revision(time.Now())}
	for r := after + 1; r <= c.Revision; r++ {
		c.Items = append(c.Items, evacuationItem(fmt.Sprint(r), r))
	}
	s.ended = append(s.ended, time.Now())
	return c, ctx.Err()
}

// batchRun is what a follower did with a scripted store.
type batchRun struct {
	calls   int
	longest time.Duration // until a change was known
	gap     time.Duration // between two confirmations by the store
	// batched is how often the follower paused for a batch.
	batched int64
}

// followStore runs a follower for 60 s while the objects change at the given times since its start.
func followStore(t *testing.T, enabled bool, changes []time.Duration, fail func(since time.Duration) error) (run batchRun) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		store := &scriptedStore{fail: func(now time.Time) error { return fail(now.Sub(began)) }}
		for _, at := range changes {
			store.changedAt = append(store.changedAt, began.Add(at))
		}
		f := newTestFollower("v", Rank{}, time.Now)
		f.source, f.batcher = store, NewWatchBatcher(batchTiming, enabled)
		f.election = NewWatcherElection(Watcher{VM: "v"}, batchTiming, time.Time{})
		f.apply = func(c Changes[Evacuation], _ bool) {
			for _, i := range c.Items {
				run.longest = max(run.longest, time.Since(store.changedAt[i.Revision-2]))
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		f.run(ctx)
		run.calls = store.calls
		run.batched = metrics.GetOrRegisterCounter("watch_pauses_total{kind=\"k\",by=\"batched\"}", f.registry).Count()
		for n := range store.ended[1:] {
			run.gap = max(run.gap, store.ended[n+1].Sub(store.ended[n]))
		}
	})
	return run
}

// errCut makes a watch end without an error and without the changes that it should return.
var errCut = errors.New("watch cut")

func neverFails(time.Duration) error { return nil }

// burst returns the times of changes from 10 s to 40 s after the start, 100 ms apart.
func burst() (at []time.Duration) {
	for d := 10 * time.Second; d < 40*time.Second; d += 100 * time.Millisecond {
		at = append(at, d)
	}
	return at
}

// TestManyChangesShareCalls replays 300 changes in 30 s. Each of them, or each two of them,
// cost a call of the watcher without the mechanism.
func TestManyChangesShareCalls(t *testing.T) {
	is := is.New(t)
	without, with := followStore(t, false, burst(), neverFails), followStore(t, true, burst(), neverFails)
	t.Logf("without %+v, with %+v", without, with)
	is.True(2*with.calls < without.calls)
	is.True(with.longest <= batchTiming.BatchPause)
}

// TestSingleChangeIsNotDelayed checks that a change after a quiet time ends the watch at once,
// and that the confirmations by the store, which tell peers that the watcher lives, come as
// often as without changes.
func TestSingleChangeIsNotDelayed(t *testing.T) {
	is := is.New(t)
	var changes []time.Duration
	for at := 10 * time.Second; at < 50*time.Second; at += 4 * time.Second {
		changes = append(changes, at)
	}
	run := followStore(t, true, changes, neverFails)
	t.Logf("%+v", run)
	is.Equal(run.longest, time.Duration(0))
	is.Equal(run.gap, batchTiming.WatchDuration)
}

// TestCutWatchAfterPause cuts the watches that begin within a second of a batch, as the platform may
// do with all watches at once. A change is then known half of the bound later, as without batching.
func TestCutWatchAfterPause(t *testing.T) {
	is := is.New(t)
	cut := func(since time.Duration) error {
		if since > 10*time.Second && since < 11*time.Second {
			return errCut
		}
		return nil
	}
	run := followStore(t, true, []time.Duration{10 * time.Second, 10001 * time.Millisecond}, cut)
	t.Logf("%+v", run)
	is.Equal(run.batched, int64(2))
	is.True(run.longest <= batchTiming.WatchDuration)
}

// TestNewWatcherAwaitsChanges: a VM that takes over from a lost watcher, or after the store was
// away for other VMs, must not delay the changes that follow.
func TestNewWatcherAwaitsChanges(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	f := newTestFollower("v", Rank{}, func() time.Time { return now })
	f.applyFromPeer(Delta{Kind: "k", Full: true, Revision: 5}, KindStatus{}, "peer")
	f.election.observe(confirmation{Watcher{VM: "peer"}, 1, now}, now)
	is.True(!f.shouldWatch())
	now = now.Add(testTiming.StaleAfter + 1)
	is.True(f.shouldWatch())
	is.Equal(f.batcher.PauseAfterChanges(false, now).Reason, pauseAwaited)
}

// TestAwaitedChangesAreNotBatched replays changes in quick succession after the start, after an
// outage of the store and after its history was gone: upstreams that register again then
// are dropped if a VM sees them too late.
func TestAwaitedChangesAreNotBatched(t *testing.T) {
	at := func(from time.Duration) (changes []time.Duration) {
		for d := from; d < from+2*time.Second; d += 50 * time.Millisecond {
			changes = append(changes, d)
		}
		return changes
	}
	errAway := errors.New("store away")
	gone := false
	for name, c := range map[string]struct {
		from time.Duration
		fail func(time.Duration) error
	}{
		"start": {10 * time.Millisecond, neverFails},
		"outage": {20200 * time.Millisecond, func(since time.Duration) error {
			if since > 10*time.Second && since < 20*time.Second {
				return errAway
			}
			return nil
		}},
		"history gone": {18050 * time.Millisecond, func(since time.Duration) error {
			if since < 18*time.Second || gone {
				return nil
			}
			gone = true
			return ErrHistoryGone
		}},
	} {
		run := followStore(t, true, at(c.from), c.fail)
		t.Logf("%s: %+v", name, run)
		if run.batched > 0 {
			t.Errorf("%s: %d pauses for a batch, want none", name, run.batched)
		}
	}
}

// TestBatchingKeepsBounds kills and restarts VMs, also between two watches, makes the store reject
// calls and partitions data centres, while the watcher pauses after changes. The time until
// every VM knows a change stays within the bound, because the last confirmation by the
// store is not older than without the pause.
func TestBatchingKeepsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newModelFleet(3, 2, testTiming, time.Unix(100, 0).Add(firstStartListDelay))
		f.batching = true
		checkChangesKnown(t, f, 0, testTiming.WatchDuration+2*time.Second, "freeze", "resume", "reject calls", "accept calls", "partition", "heal", "wait")
	})
}

// TestBatchingKeepsBoundsAfterRestarts is TestBatchingKeepsBounds with messages that take time.
func TestBatchingKeepsBoundsAfterRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newModelFleet(3, 2, testTiming, time.Unix(100, 0).Add(firstStartListDelay))
		f.batching = true
		checkWithDelayedMessages(t, f)
	})
}

// TestPowerLossOpensFewWatches starts all VMs of a region together while callers wait, so that each
// lists the objects. Each then opened a watch before it heard of the others.
func TestPowerLossOpensFewWatches(t *testing.T) {
	is := is.New(t)
	watches := func(batching bool) int {
		now := time.Unix(100, 0)
		f := newModelFleet(3, 20, testTiming, time.Time{})
		f.batching, f.messageDelay = batching, func() time.Duration { return 50 * time.Millisecond }
		for end := now.Add(time.Second); now.Before(end); now = now.Add(modelStep) {
			f.step(now)
		}
		return f.calls - len(f.vms)
	}
	t.Logf("without %d, with %d", watches(false), watches(true))
	is.Equal(watches(false), 60)
	is.Equal(watches(true), 1)
	alone := NewWatchBatcher(testTiming, true).PauseAfterFirstList(false)
	is.Equal(alone.Pause, time.Duration(0)) // no peer can watch instead
	is.Equal(NewWatchBatcher(testTiming, false).PauseAfterFirstList(true).Pause, time.Duration(0))
}
