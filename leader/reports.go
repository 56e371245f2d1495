package leader

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/logs"
	"woaddoor/usage"
)

// Reporter reports the usage of a window. It may be asked again for the same counts.
type Reporter interface {
	Report(ctx context.Context, n contract.FencingNumber, f usage.Fixed) error
}

// ReportsOptions set up Reports.
type ReportsOptions struct {
	Keeper   *Keeper
	Book     *Book
	Terms    usage.Terms
	Reporter Reporter
	// Now is the time of day.
	Now      func() time.Time
	Log      *zap.Logger
	Registry metrics.Registry
}

// Reports has the usage of each window reported once. It is an Act.
type Reports struct {
	opts *ReportsOptions
	// number is that under which this VM last acted, and since when it has.
	number contract.FencingNumber
	since  time.Time
	// done are the windows that this VM has reported or given up, until the record says so.
	done map[usage.Window]bool
	// failed is how many calls have failed in a row, and pause until when none is made.
	failed int
	pause  time.Time
}

// NewReports returns the reports of a VM that has made none.
func NewReports(opts *ReportsOptions) *Reports {
	return &Reports{opts: opts, done: make(map[usage.Window]bool)}
}

// Pauses after failed reports.
const (
	reportLeast = 400 * time.Millisecond
	reportMost  = 1600 * time.Millisecond
)

// gatherFirst is how long a VM that has taken the lease gathers what others have counted,
// before it fixes anything: they first have to hear of it.
const gatherFirst = 700 * time.Millisecond

// Act fixes the windows that are over and reports the first that is fixed and open. What is
// fixed is only reported once the store has taken it: another VM would else fix it otherwise.
func (r *Reports) Act(ctx context.Context, n contract.FencingNumber) {
	now := r.opts.Now()
	if n != r.number {
		r.number, r.since = n, now
	}
	record := r.record()
	r.forget(record)
	r.giveUp(record, now)
	if now.Sub(r.since) >= gatherFirst {
		if next, changed := r.opts.Book.Close(record); changed {
			r.fix(next, true)
			return
		}
	}
	f, open := r.first(record)
	switch {
	case open && !now.Before(r.pause):
		r.report(ctx, n, f)
	case !open && len(record.Fixed) > 0:
		r.fix(record, false) // with the next renewal: who comes after need not repeat it
	}
}

// record returns the part of the record that is in force.
func (r *Reports) record() usage.Record {
	record, err := inForce(r.opts.Keeper)
	if err != nil {
		r.opts.Log.Error("lease-record-malformed", logs.Failure(err)...)
	}
	return record.Usage
}

// fix has the store take a record, without what is done.
func (r *Reports) fix(next usage.Record, urgent bool) {
	for w := range r.done {
		next = next.Done(w)
	}
	if err := fix(r.opts.Keeper, urgent, func(record *Record) { record.Usage = next }); err != nil {
		r.opts.Log.Error("usage-record-failed", logs.Failure(err)...)
	}
}

// first returns the first window that is fixed and not done.
func (r *Reports) first(record usage.Record) (usage.Fixed, bool) {
	for _, f := range record.Fixed {
		if !r.done[f.Window] {
			return f, true
		}
	}
	return usage.Fixed{}, false
}

// forget drops what is done and has left the record.
func (r *Reports) forget(record usage.Record) {
	fixed := make(map[usage.Window]bool, len(record.Fixed))
	for _, f := range record.Fixed {
		fixed[f.Window] = true
	}
	maps.DeleteFunc(r.done, func(w usage.Window, _ bool) bool { return !fixed[w] })
}

// giveUp notes the windows for which it is too late.
func (r *Reports) giveUp(record usage.Record, now time.Time) {
	for _, w := range r.opts.Terms.Missed(record, now) {
		if !r.done[w] {
			r.end(w, "missed", zap.Duration("after", now.Sub(w.End(r.opts.Terms.Window)).Round(time.Millisecond)))
		}
	}
}

// report makes one call.
func (r *Reports) report(ctx context.Context, n contract.FencingNumber, f usage.Fixed) {
	err := r.opts.Reporter.Report(ctx, n, f)
	var refused *RefusedError
	total := int64(0)
	for _, c := range f.Counts {
		total += c
	}
	switch {
	case err == nil:
		r.failed = 0
		r.end(f.Window, "reported", zap.Uint64("fencing", uint64(n)), zap.Int("workspaces", len(f.Counts)), zap.Int64("requests", total))
	case errors.As(err, &refused):
		r.end(f.Window, "refused", append(logs.Failure(err), zap.Uint64("fencing", uint64(n)))...)
	default:
		r.pause = r.opts.Now().Add(pauseAfter(r.failed, reportLeast, reportMost))
		r.failed++
		r.opts.Log.Warn("usage-report-failed", append(logs.Failure(err), zap.Int64("window", int64(f.Window)), zap.Uint64("fencing", uint64(n)))...)
	}
}

// end notes how the report of a window has ended.
func (r *Reports) end(w usage.Window, how string, fields ...zap.Field) {
	r.done[w] = true
	metrics.GetOrRegisterCounter(fmt.Sprintf("usage_windows_total{end=%q}", how), r.opts.Registry).Inc(1)
	r.opts.Log.Info("usage-window", append([]zap.Field{zap.Int64("window", int64(w)), zap.String("end", how)}, fields...)...)
}
