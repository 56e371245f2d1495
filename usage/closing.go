package usage

import (
	"slices"
	"time"
)

// Rules are the reporting rules of a deployment.
type Rules struct {
	// Window is the length of a usage window.
	// ReportDeadline is how long after the end of a window the report of that window is due.
	Window, ReportDeadline time.Duration
}

// Delays between the end of a window and its closing, as fractions of ReportDeadline.
const (
	// minDelayFraction applies if all peers have sent their counts since the window ended.
	// Counts take two rounds of messages between VMs to arrive.
	minDelayFraction = 0.2
	// maxDelayFraction limits the wait for silent peers, which may be disconnected for seconds.
	// The rest of ReportDeadline is for the report calls and one change of the lease holder.
	maxDelayFraction = 0.7
)

// minCloseDelay returns the shortest time from the end of a window to its closing.
func (t Rules) minCloseDelay() time.Duration {
	return time.Duration(minDelayFraction * float64(t.ReportDeadline))
}

// maxCloseDelay returns the time
// after the end of a window at which it is closed even if some peers are silent.
func (t Rules) maxCloseDelay() time.Duration {
	return time.Duration(maxDelayFraction * float64(t.ReportDeadline))
}

// ClosedWindow is a closed window, whose counts no longer change.
type ClosedWindow struct {
	Window Window `json:"window"`
	Counts Counts `json:"counts"`
}

// Record is the usage state shared by all holders of the lease.
// Windows up to ClosedThrough are closed.
// Closed windows in Unreported still have to be reported with exactly these counts.
// The other closed windows were reported, or their report would have been too late.
type Record struct {
	ClosedThrough Window         `json:"through"`
	Unreported    []ClosedWindow `json:"fixed,omitempty"`
}

// Without returns the record without one window, which was reported or given up.
func (r Record) Without(w Window) Record {
	r.Unreported = slices.DeleteFunc(slices.Clone(r.Unreported), func(f ClosedWindow) bool { return f.Window == w })
	return r
}

// pastDeadline reports whether it is too late to report a window to the platform.
func (t Rules) pastDeadline(w Window, now time.Time) bool {
	return now.Sub(w.End(t.Window)) > t.ReportDeadline
}

// Close closes all windows that can be closed now.
// Close returns the new record and whether the record has changed.
// reportedAt is the earliest of the times at which the peers last sent all their counts.
// Windows without counts need no report.
func (t Rules) Close(r Record, s *Counter, reportedAt, now time.Time) (Record, bool) {
	next := Record{ClosedThrough: r.ClosedThrough, Unreported: slices.Clone(r.Unreported)}
	for _, w := range s.Windows() {
		if w <= r.ClosedThrough || !t.shouldClose(w, reportedAt, now) {
			continue
		}
		next.ClosedThrough = max(next.ClosedThrough, w)
		if !t.pastDeadline(w, now) {
			next.Unreported = append(next.Unreported, ClosedWindow{w, s.Total(w)})
		}
	}
	return next, next.ClosedThrough != r.ClosedThrough
}

// shouldClose reports whether a window can be closed now: after the shortest delay
// if all peers have sent their counts since the window ended, otherwise after the longest delay.
func (t Rules) shouldClose(w Window, reportedAt, now time.Time) bool {
	end := w.End(t.Window)
	if now.Sub(end) >= t.maxCloseDelay() {
		return true
	}
	return now.Sub(end) >= t.minCloseDelay() && !reportedAt.Before(end)
}

// Overdue returns the closed windows that were not reported in time.
func (t Rules) Overdue(r Record, now time.Time) []Window {
	var out []Window
	for _, f := range r.Unreported {
		if t.pastDeadline(f.Window, now) {
			out = append(out, f.Window)
		}
	}
	return out
}
