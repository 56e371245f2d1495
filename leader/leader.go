// Package leader has one VM act for all, under a lease in the platform's store.
//
// The platform does not look at the number that a call carries, so a call is only made
// while the lease has as long to run as a call may take, and a VM that takes the lease
// over waits as long before its first one. Who may take it hears of each renewal from
// other VMs: the store is asked by the holder alone while it lives.
package leader

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"woaddoor/clock"
	"woaddoor/contract"
	"woaddoor/logs"
)

// Act is something that one VM does for all. It is called often, and makes at most one
// call to the platform each time, under the number given.
type Act interface {
	Act(ctx context.Context, n contract.FencingNumber)
}

// RefusedError is a call that the platform has turned down for good.
type RefusedError struct{ Err error }

// Error returns the platform's words.
func (e *RefusedError) Error() string { return "refused: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Err }

// Options set up a Leader.
type Options struct {
	Keeper *Keeper
	// Turn returns how long after the lease has become free this VM takes it, and
	// whether it may at all: few VMs of each data centre do, one after the other.
	Turn func() (time.Duration, bool)
	// Changed is called, without waiting, when others are to hear of the lease at once.
	Changed func()
	Acts    []Act
	Log     *zap.Logger
	// Registry counts what becomes of the lease.
	Registry metrics.Registry
}

// Leader is one VM's part.
type Leader struct {
	opts *Options

	// turn is held while the lease is looked at and acted under, so that it is given up
	// with no call under way.
	turn sync.Mutex
	// The fields below are used while turn is held. holder and fencing are those that
	// were logged last.
	holder   contract.VMLife
	fencing  contract.FencingNumber
	resigned bool
	// failed is how many calls have failed in a row, and pause until when none is made.
	failed int
	pause  time.Time
	// allowedAt is when this VM was first allowed to take a lease of which it knows
	// nothing.
	allowedAt time.Time
}

// New returns a leader that holds nothing.
func New(opts *Options) *Leader { return &Leader{opts: opts} }

// Timings of a leader.
const (
	// lookEvery is how often a VM looks whether something is to be done.
	lookEvery = 100 * time.Millisecond
	// pauseLeast and pauseMost bound the pause after failed calls, each of which is paid for.
	// The holder loses the lease within seconds and makes its first holderTries with the
	// least pause.
	pauseLeast  = 200 * time.Millisecond
	pauseMost   = 3200 * time.Millisecond
	holderTries = 8
)

// Run takes, renews and acts until ctx ends.
func (l *Leader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		l.look(ctx)
		clock.Pause(ctx, lookEvery)
	}
}

// Resign gives the lease up, if this VM holds it, and takes it no more.
func (l *Leader) Resign(ctx context.Context) {
	l.turn.Lock()
	defer l.turn.Unlock()
	l.resigned = true
	if !l.opts.Keeper.Mine() {
		return
	}
	if err := l.opts.Keeper.Resign(ctx); err != nil {
		l.opts.Log.Warn("lease-not-resigned", logs.Failure(err)...)
		return
	}
	l.note()
}

// look makes the write that is due and acts.
func (l *Leader) look(ctx context.Context) {
	l.turn.Lock()
	defer l.turn.Unlock()
	if l.resigned {
		return
	}
	if l.mayStep() {
		l.step(ctx)
	}
	l.note()
	for _, act := range l.opts.Acts {
		if n, ready := l.opts.Keeper.Ready(true); ready && ctx.Err() == nil {
			act.Act(ctx, n)
		}
	}
}

// mayStep tells whether this VM reads or writes the lease now, if that is due.
func (l *Leader) mayStep() bool {
	now := time.Now()
	if now.Before(l.pause) {
		return false
	}
	if l.opts.Keeper.Mine() {
		return true
	}
	turn, may := l.opts.Turn()
	if !may {
		l.allowedAt = time.Time{}
		return false
	}
	if _, _, known := l.opts.Keeper.Known(); known {
		return l.opts.Keeper.FreeIn()+turn <= 0
	}
	if l.allowedAt.IsZero() {
		l.allowedAt = now
	}
	return now.Sub(l.allowedAt) >= turn
}

// step has the lease read or written.
func (l *Leader) step(ctx context.Context) {
	err := l.opts.Keeper.Step(ctx)
	if err == nil {
		if l.failed > 0 {
			l.opts.Log.Info("lease-store-regained", zap.Int("failed_calls", l.failed))
		}
		l.failed = 0
		return
	}
	failed := l.failed
	if l.opts.Keeper.Mine() {
		failed = max(failed-holderTries, 0)
	}
	l.pause = time.Now().Add(pauseAfter(failed, pauseLeast, pauseMost))
	if l.failed == 0 {
		l.opts.Log.Warn("lease-store-lost", append(logs.Failure(err), zap.Bool("holds", l.opts.Keeper.Mine()))...)
	}
	l.failed++
	l.count("lease_calls_failed_total")
}

// pauseAfter returns the pause after a call that failed behind a number of others: the least one,
// twice as long each time, up to the most.
func pauseAfter(failed int, least, most time.Duration) time.Duration {
	const mostDoublings = 8 // keeps the shift from an overflow
	return min(least<<min(failed, mostDoublings), most)
}

// note logs and tells others when the lease has changed hands.
func (l *Leader) note() {
	seen, age, known := l.opts.Keeper.Known()
	if !known || seen.Object.Holder == l.holder && seen.Object.Fencing == l.fencing {
		return
	}
	l.opts.Log.Info("lease", zap.String("holder", string(seen.Object.Holder.VM)), zap.Uint64("fencing", uint64(seen.Object.Fencing)),
		zap.String("before", string(l.holder.VM)), zap.Uint64("fencing_before", uint64(l.fencing)),
		zap.Uint64("version", uint64(seen.Version)), zap.Duration("age", age.Round(time.Millisecond)), zap.Bool("mine", l.opts.Keeper.Mine()))
	l.holder, l.fencing = seen.Object.Holder, seen.Object.Fencing
	l.count("lease_changes_total")
	l.opts.Changed()
}

func (l *Leader) count(name string) { metrics.GetOrRegisterCounter(name, l.opts.Registry).Inc(1) }
