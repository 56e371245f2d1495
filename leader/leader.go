// Package leader lets one VM at a time (the leader) make the calls to the platform for all VMs,
// under a lease in the platform's store.
//
// The platform does not check the fencing token of a call.
// A call is therefore made only while the lease lasts at least as long as the call may take,
// and a VM that takes the lease over waits as long as a call may take before its first call.
// VMs that may take the lease learn of renewals from other VMs:
// while the holder is alive, the holder alone accesses the lease in the store.
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

// Task is a task that the lease holder runs for all VMs. A task runs often
// and makes at most one call to the platform each time, under the fencing token n.
type Task interface {
	Run(ctx context.Context, n contract.FencingToken)
}

// RefusedError is the error of a call that the platform has permanently refused.
type RefusedError struct{ Err error }

// Error returns the message of the platform's error.
func (e *RefusedError) Error() string { return "refused: " + e.Err.Error() }

// Unwrap returns the platform's error.
func (e *RefusedError) Unwrap() error { return e.Err }

// Options configure a Leader.
type Options struct {
	Lease *LeaseClient
	// TakeoverDelay returns how long this VM waits before it takes an available lease,
	// and whether it may take the lease at all.
	// Only a few VMs of each data centre may take the lease, each after a different delay.
	TakeoverDelay func() (time.Duration, bool)
	// OnChange is called when other VMs have to learn of a change of the lease at once.
	// OnChange must not block.
	OnChange func()
	Tasks    []Task
	Log      *zap.Logger
	// Registry counts changes of the lease and failed calls to its store.
	Registry metrics.Registry
}

// Leader takes and renews the lease for one VM, and runs the tasks while it holds the lease.
type Leader struct {
	opts *Options

	// mu is held while the lease is read or written and while tasks run,
	// so that the lease is resigned only when no call is in progress.
	mu sync.Mutex
	// mu guards the fields below. loggedHolder and loggedFencing are the lease holder
	// and the fencing token that were logged last.
	loggedHolder  contract.VMInstance
	loggedFencing contract.FencingToken
	resigned      bool // whether this VM gave the lease up and takes it no more
	// failedCalls counts consecutive failed calls. No call is made before retryAt.
	failedCalls int
	retryAt     time.Time
	// eligibleSince is when this VM became allowed to take a lease of which it knows nothing.
	eligibleSince time.Time
}

// New returns a leader that does not hold the lease.
func New(opts *Options) *Leader { return &Leader{opts: opts} }

// Timings of a leader.
const (
	// tickInterval is the time between two checks for work that is due.
	tickInterval = 100 * time.Millisecond
	// minLeaseBackoff and maxLeaseBackoff limit the delay after a failed call,
	// because every call costs money. The lease holder would lose the lease within seconds,
	// so the holder makes its first holderFastRetries retries with the minimum delay.
	minLeaseBackoff   = 200 * time.Millisecond
	maxLeaseBackoff   = 3200 * time.Millisecond
	holderFastRetries = 8
)

// Run takes and renews the lease and runs the tasks until ctx is done.
func (l *Leader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		l.tick(ctx)
		clock.Sleep(ctx, tickInterval)
	}
}

// Resign gives the lease up if this VM holds it. The VM does not take the lease again.
func (l *Leader) Resign(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resigned = true
	if !l.opts.Lease.HeldBySelf() {
		return
	}
	if err := l.opts.Lease.Resign(ctx); err != nil {
		l.opts.Log.Warn("lease-not-resigned", logs.ErrorFields(err)...)
		return
	}
	l.logChange()
}

// tick reads or writes the lease if a read or write is due,
// and runs the tasks if this VM may make calls.
func (l *Leader) tick(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.resigned {
		return
	}
	if l.maySync() {
		l.syncLease(ctx)
	}
	l.logChange()
	for _, task := range l.opts.Tasks {
		if n, ready := l.opts.Lease.ActiveFencing(true); ready && ctx.Err() == nil {
			task.Run(ctx, n)
		}
	}
}

// maySync reports whether this VM may access the lease store now.
func (l *Leader) maySync() bool {
	now := time.Now()
	if now.Before(l.retryAt) {
		return false
	}
	if l.opts.Lease.HeldBySelf() {
		return true
	}
	delay, eligible := l.opts.TakeoverDelay()
	if !eligible {
		l.eligibleSince = time.Time{}
		return false
	}
	if _, _, known := l.opts.Lease.Latest(); known {
		return l.opts.Lease.AvailableIn()+delay <= 0
	}
	if l.eligibleSince.IsZero() {
		l.eligibleSince = now
	}
	return now.Sub(l.eligibleSince) >= delay
}

// syncLease reads or writes the lease object if a read or write is due.
func (l *Leader) syncLease(ctx context.Context) {
	err := l.opts.Lease.Sync(ctx)
	if err == nil {
		if l.failedCalls > 0 {
			l.opts.Log.Info("lease-store-regained", zap.Int("failed_calls", l.failedCalls))
		}
		l.failedCalls = 0
		return
	}
	failed := l.failedCalls
	if l.opts.Lease.HeldBySelf() {
		failed = max(failed-holderFastRetries, 0)
	}
	l.retryAt = time.Now().Add(backoff(failed, minLeaseBackoff, maxLeaseBackoff))
	if l.failedCalls == 0 {
		l.opts.Log.Warn("lease-store-lost", append(logs.ErrorFields(err), zap.Bool("holds", l.opts.Lease.HeldBySelf()))...)
	}
	l.failedCalls++
	l.incrementCounter("lease_calls_failed_total")
}

// backoff returns the delay after a failed call that follows a number of earlier failures.
// The delay is the minimum, doubled for each earlier failure, up to the maximum.
func backoff(failures int, minimum, maximum time.Duration) time.Duration {
	const maxDoublings = 8 // prevents an overflow of the shift
	return min(minimum<<min(failures, maxDoublings), maximum)
}

// logChange logs a change of the lease holder and notifies other VMs of the change.
func (l *Leader) logChange() {
	latest, age, known := l.opts.Lease.Latest()
	if !known || latest.Object.Holder == l.loggedHolder && latest.Object.Fencing == l.loggedFencing {
		return
	}
	l.opts.Log.Info("lease", zap.String("holder", string(latest.Object.Holder.VM)), zap.Uint64("fencing", uint64(latest.Object.Fencing)),
		zap.String("before", string(l.loggedHolder.VM)), zap.Uint64("fencing_before", uint64(l.loggedFencing)),
		zap.Uint64("version", uint64(latest.Version)), zap.Duration("age", age.Round(time.Millisecond)), zap.Bool("mine", l.opts.Lease.HeldBySelf()))
	l.loggedHolder, l.loggedFencing = latest.Object.Holder, latest.Object.Fencing
	l.incrementCounter("lease_changes_total")
	l.opts.OnChange()
}

// incrementCounter adds one to a metric.
func (l *Leader) incrementCounter(name string) {
	metrics.GetOrRegisterCounter(name, l.opts.Registry).Inc(1)
}
