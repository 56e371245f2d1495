package usage

import (
	"slices"
	"time"
)

// Terms are what a deployment asks of reports.
type Terms struct {
	// Window is the length of a window, Late how long after its end a report is due.
	Window, Late time.Duration
}

// Parts of Late in which a window is closed.
const (
	// gatherPart is how long after a window's end its counts are gathered where all
	// tellers have told since: counts take two rounds of telling to arrive.
	gatherPart = 0.2
	// awaitPart is how long tellers that have fallen silent are waited for: they may be
	// cut off for seconds. The rest is for the calls, and for one change of hands.
	awaitPart = 0.7
)

// gather returns how long after a window's end its counts are gathered at least.
func (t Terms) gather() time.Duration { return time.Duration(gatherPart * float64(t.Late)) }

func (t Terms) await() time.Duration { return time.Duration(awaitPart * float64(t.Late)) }

// Fixed is a window whose counts do not change any more.
type Fixed struct {
	Window Window `json:"window"`
	Counts Counts `json:"counts"`
}

// Record is what all holders of the lease share. Windows up to Through are over: they were
// reported, or it was too late to. Those in Fixed are to be reported as they stand.
type Record struct {
	Through Window  `json:"through"`
	Fixed   []Fixed `json:"fixed,omitempty"`
}

// Done returns the record once a window was reported or given up.
func (r Record) Done(w Window) Record {
	r.Fixed = slices.DeleteFunc(slices.Clone(r.Fixed), func(f Fixed) bool { return f.Window == w })
	return r
}

// expired tells whether a report would come too late.
func (t Terms) expired(w Window, now time.Time) bool { return now.Sub(w.End(t.Window)) > t.Late }

// Close returns the record with the windows fixed that can be now, and whether it differs.
// heard is since when every teller has told of all that it knows. Windows of which nothing
// is known need no report.
func (t Terms) Close(r Record, s *Sums, heard, now time.Time) (Record, bool) {
	next := Record{Through: r.Through, Fixed: slices.Clone(r.Fixed)}
	for _, w := range s.Windows() {
		if w <= r.Through || !t.closes(w, heard, now) {
			continue
		}
		next.Through = max(next.Through, w)
		if !t.expired(w, now) {
			next.Fixed = append(next.Fixed, Fixed{w, s.Total(w)})
		}
	}
	return next, next.Through != r.Through
}

// closes tells whether a window is fixed now: soon after its end if all have told since.
func (t Terms) closes(w Window, heard, now time.Time) bool {
	end := w.End(t.Window)
	if now.Sub(end) >= t.await() {
		return true
	}
	return now.Sub(end) >= t.gather() && !heard.Before(end)
}

// Missed returns the fixed windows for which it is too late.
func (t Terms) Missed(r Record, now time.Time) []Window {
	var out []Window
	for _, f := range r.Fixed {
		if t.expired(f.Window, now) {
			out = append(out, f.Window)
		}
	}
	return out
}
