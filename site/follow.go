package site

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"woaddoor/clock"
	"woaddoor/contract"
	"woaddoor/logs"
)

// Timings of following a kind of objects.
const (
	// watchWait is how long one watch is held open. A shorter one finds a cut
	// sooner and costs more calls: at 4 s, three kinds cost 0.75 calls a second
	// and VM at rest.
	watchWait = 4 * time.Second
	// pauseMin and pauseMax bound the pause after a failed call: refused calls
	// are paid for, and a configuration has to be known within seconds of the
	// store's return.
	pauseMin = 150 * time.Millisecond
	pauseMax = 800 * time.Millisecond
)

// follower keeps up with one kind of objects.
type follower[T any] struct {
	source Source[T]
	log    *zap.Logger
	// apply takes in changes; full means that they are all objects there are.
	apply func(c Changes[T], full bool)
	// reached is told whether the store answered, at each call.
	reached func(ok bool)

	at     contract.Revision
	listed bool
	failed int
}

// run follows until ctx ends.
func (f *follower[T]) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if f.failed > 0 {
				f.log.Info("store-regained", zap.String("kind", f.source.Name()), zap.Int("failed_calls", f.failed))
			}
			f.failed = 0
			continue
		}
		f.failed++
		if f.failed == 1 {
			f.log.Warn("store-lost", append(logs.Failure(err), zap.String("kind", f.source.Name()), zap.Int64("revision", int64(f.at)))...)
		}
		clock.Pause(ctx, pauseAfter(f.failed))
	}
}

// pauseAfter returns the pause after n failed calls, spread so that VMs do not
// come back together.
func pauseAfter(n int) time.Duration {
	pause := min(pauseMin<<min(n-1, 4), pauseMax)
	return time.Duration((0.5 + rand.Float64()) * float64(pause))
}

// step lists once, then watches.
func (f *follower[T]) step(ctx context.Context) error {
	if !f.listed {
		c, err := f.source.List(ctx)
		f.reached(err == nil)
		if err != nil {
			return err
		}
		f.listed, f.at = true, c.Revision
		f.take(c, true)
		return nil
	}
	c, err := f.source.Watch(ctx, f.at, watchWait)
	f.reached(err == nil || errors.Is(err, ErrHistoryGone))
	if errors.Is(err, ErrHistoryGone) {
		f.log.Info("history-gone", zap.String("kind", f.source.Name()), zap.Int64("revision", int64(f.at)))
		f.listed = false
		return nil
	}
	if err != nil {
		return err
	}
	f.at = max(f.at, c.Revision)
	if len(c.Items) > 0 {
		f.take(c, false)
	}
	return nil
}

func (f *follower[T]) take(c Changes[T], full bool) {
	for _, i := range c.Items {
		if i.Err != nil {
			f.log.Error("object-malformed", zap.String("kind", f.source.Name()), zap.String("name", i.Name),
				zap.Int64("revision", int64(i.Revision)), zap.Error(i.Err))
		}
	}
	f.apply(c, full)
}
