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

// UsageAPI is the part of the platform's API that takes usage reports.
// The counts of a usage window may be reported repeatedly if the counts are the same.
type UsageAPI interface {
	Report(ctx context.Context, n contract.FencingToken, f usage.ClosedWindow) error
}

// UsageReporterOptions configure a UsageReporter.
type UsageReporterOptions struct {
	Lease  *LeaseClient
	Ledger *UsageLedger
	Rules  usage.Rules
	API    UsageAPI
	// Now returns the wall-clock time.
	Now      func() time.Time
	Log      *zap.Logger
	Registry metrics.Registry
}

// UsageReporter reports the usage of each window (span of wall-clock time) once.
// UsageReporter is a Task.
type UsageReporter struct {
	opts *UsageReporterOptions
	// fencing is the fencing token of the last run,
	// and fencingSince is the time of the first run under this token.
	fencing      contract.FencingToken
	fencingSince time.Time
	// finished are the usage windows that this VM has reported or given up,
	// until the stored record no longer contains them.
	finished map[usage.Window]bool
	// failedCalls counts consecutive failed reports. No report is sent before retryAt.
	failedCalls int
	retryAt     time.Time
}

// NewUsageReporter returns a usage reporter that has reported nothing.
func NewUsageReporter(opts *UsageReporterOptions) *UsageReporter {
	return &UsageReporter{opts: opts, finished: make(map[usage.Window]bool)}
}

// Limits of the delay after a failed report.
const (
	minReportBackoff = 400 * time.Millisecond
	maxReportBackoff = 1600 * time.Millisecond
)

// collectionDelay is how long a new lease holder collects usage counts
// before it closes any usage window.
// Other VMs first have to learn that the new holder holds the lease.
const collectionDelay = 700 * time.Millisecond

// Run closes usage windows that are over, or reports the first closed window that is not finished.
// Counts are reported only once the store contains them;
// otherwise another VM could close the window
// with different counts and report the different counts.
func (r *UsageReporter) Run(ctx context.Context, n contract.FencingToken) {
	now := r.opts.Now()
	if n != r.fencing {
		r.fencing, r.fencingSince = n, now
	}
	record := r.storedUsage()
	r.pruneFinished(record)
	r.expireWindows(record, now)
	if now.Sub(r.fencingSince) >= collectionDelay {
		if next, changed := r.opts.Ledger.CloseWindows(record); changed {
			r.writeRecord(next, true)
			return
		}
	}
	f, open := r.firstOpen(record)
	switch {
	case open && !now.Before(r.retryAt):
		r.report(ctx, n, f)
	case !open && len(record.Unreported) > 0:
		r.writeRecord(record, false) // written with the next renewal, so that a later holder does not repeat the reports
	}
}

// storedUsage returns the usage part of the stored record.
func (r *UsageReporter) storedUsage() usage.Record {
	record, err := storedRecord(r.opts.Lease)
	if err != nil {
		r.opts.Log.Error("lease-record-malformed", logs.ErrorFields(err)...)
	}
	return record.Usage
}

// writeRecord stores a usage record without the finished windows (reported or given up).
func (r *UsageReporter) writeRecord(next usage.Record, urgent bool) {
	for w := range r.finished {
		next = next.Without(w)
	}
	if err := updateRecord(r.opts.Lease, urgent, func(record *Record) { record.Usage = next }); err != nil {
		r.opts.Log.Error("usage-record-failed", logs.ErrorFields(err)...)
	}
}

// firstOpen returns the first closed window that is not finished (neither reported nor given up).
func (r *UsageReporter) firstOpen(record usage.Record) (usage.ClosedWindow, bool) {
	for _, f := range record.Unreported {
		if !r.finished[f.Window] {
			return f, true
		}
	}
	return usage.ClosedWindow{}, false
}

// pruneFinished forgets finished usage windows that the stored record no longer contains.
func (r *UsageReporter) pruneFinished(record usage.Record) {
	closed := make(map[usage.Window]bool, len(record.Unreported))
	for _, f := range record.Unreported {
		closed[f.Window] = true
	}
	maps.DeleteFunc(r.finished, func(w usage.Window, _ bool) bool { return !closed[w] })
}

// expireWindows gives up the usage windows whose deadline for reporting has passed.
func (r *UsageReporter) expireWindows(record usage.Record, now time.Time) {
	for _, w := range r.opts.Rules.Overdue(record, now) {
		if !r.finished[w] {
			r.finish(w, "missed", zap.Duration("after", now.Sub(w.End(r.opts.Rules.Window)).Round(time.Millisecond)))
		}
	}
}

// report sends the report of one usage window.
func (r *UsageReporter) report(ctx context.Context, n contract.FencingToken, f usage.ClosedWindow) {
	err := r.opts.API.Report(ctx, n, f)
	var refused *RefusedError
	total := int64(0)
	for _, c := range f.Counts {
		total += c
	}
	switch {
	case err == nil:
		r.failedCalls = 0
		r.finish(f.Window, "reported", zap.Uint64("fencing", uint64(n)), zap.Int("workspaces", len(f.Counts)), zap.Int64("requests", total))
	case errors.As(err, &refused):
		r.finish(f.Window, "refused", append(logs.ErrorFields(err), zap.Uint64("fencing", uint64(n)))...)
	default:
		r.retryAt = r.opts.Now().Add(backoff(r.failedCalls, minReportBackoff, maxReportBackoff))
		r.failedCalls++
		r.opts.Log.Warn("usage-report-failed", append(logs.ErrorFields(err), zap.Int64("window", int64(f.Window)), zap.Uint64("fencing", uint64(n)))...)
	}
}

// finish records that a usage window is reported or given up, and logs the outcome.
func (r *UsageReporter) finish(w usage.Window, outcome string, fields ...zap.Field) {
	r.finished[w] = true
	metrics.GetOrRegisterCounter(fmt.Sprintf("usage_windows_total{end=%q}", outcome), r.opts.Registry).Inc(1)
	r.opts.Log.Info("usage-window", append([]zap.Field{zap.Int64("window", int64(w)), zap.String("end", outcome)}, fields...)...)
}
