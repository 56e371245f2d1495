package site

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
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
	// lostWait is that of the watches after a failure: a call that the store
	// leaves without an answer is given up only after it, and changes have to
	// be known within seconds of the store's return.
	lostWait = 200 * time.Millisecond
	// pauseMin and pauseMax bound the pause after a failed call: refused calls
	// are paid for, and a configuration has to be known within seconds of the
	// store's return.
	pauseMin = 150 * time.Millisecond
	pauseMax = 800 * time.Millisecond
)

// follower keeps up with one kind of objects, by the store and by what peers
// hand over.
type follower[T any] struct {
	source Source[T]
	log    *zap.Logger
	// apply takes in changes; full means that they are all objects there are.
	apply func(c Changes[T], full bool)
	// reached is told whether the store answered, at each call.
	reached func(ok bool)

	// failed is the number of calls that failed in a row; only run uses it.
	failed int
	relist bool

	// mu guards the ledger. It is held while changes are applied, so that those
	// from the store and from peers take effect one after the other.
	mu     sync.Mutex
	ledger *Ledger
}

func newFollower[T any](source Source[T], log *zap.Logger, apply func(Changes[T], bool), reached func(bool)) *follower[T] {
	return &follower[T]{source: source, log: log, apply: apply, reached: reached, ledger: NewLedger(source.Name())}
}

// run follows the store until ctx ends.
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
			at, _ := f.have()
			f.log.Warn("store-lost", append(logs.Failure(err), zap.String("kind", f.source.Name()), zap.Int64("revision", int64(at)))...)
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

// step lists when nothing, or no history, is known; else it watches.
func (f *follower[T]) step(ctx context.Context) error {
	at, known := f.have()
	if !known || f.relist {
		c, err := f.source.List(ctx)
		f.reached(err == nil)
		if err != nil {
			return err
		}
		f.relist = false
		f.take(c, true)
		return nil
	}
	c, err := f.source.Watch(ctx, at, f.wait())
	f.reached(err == nil || errors.Is(err, ErrHistoryGone))
	if errors.Is(err, ErrHistoryGone) {
		f.log.Info("history-gone", zap.String("kind", f.source.Name()), zap.Int64("revision", int64(at)))
		f.relist = true
		return nil
	}
	if err != nil {
		return err
	}
	f.take(c, false)
	return nil
}

// wait returns how long the next watch is held open.
func (f *follower[T]) wait() time.Duration {
	if f.failed > 0 {
		return lostWait
	}
	return watchWait
}

// have returns up to which revision this VM knows, if it knows anything.
func (f *follower[T]) have() (contract.Revision, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ledger.At()
}

// last returns the revision of the newest change that this VM knows.
func (f *follower[T]) last() (contract.Revision, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, known := f.ledger.At()
	return f.ledger.Last(), known
}

// since returns what a peer lacks.
func (f *follower[T]) since(after contract.Revision, holds bool) Delta {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ledger.Since(after, holds)
}

// feed takes in what a peer has handed over.
func (f *follower[T]) feed(d Delta, from string) {
	at, known := f.have()
	if known && d.At <= at || !known && !d.Full {
		return
	}
	c := Changes[T]{Revision: d.At}
	for _, raw := range d.Items {
		i := Item[T]{Raw: raw}
		if !raw.Deleted {
			i.Value, i.Err = f.source.Decode(raw)
		}
		c.Items = append(c.Items, i)
	}
	f.log.Info("told-by-peer", zap.String("kind", d.Kind), zap.String("peer", from), zap.Int64("had", int64(at)),
		zap.Int64("revision", int64(d.At)), zap.Int("objects", len(d.Items)), zap.Bool("full", d.Full))
	f.take(c, d.Full)
}

// take applies changes, whichever way they came.
func (f *follower[T]) take(c Changes[T], full bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := Delta{Full: full, At: c.Revision}
	for _, i := range c.Items {
		d.Items = append(d.Items, i.Raw)
		if i.Err != nil {
			f.log.Error("object-malformed", zap.String("kind", f.source.Name()), zap.String("name", i.Name),
				zap.Int64("revision", int64(i.Revision)), zap.Error(i.Err))
		}
	}
	f.ledger.Apply(d)
	if len(c.Items) > 0 || full {
		f.apply(c, full)
	}
}
