package explain

import (
	"cmp"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"
)

// Events of what one VM does for all.
const (
	eventLease             = "lease"
	eventUsageWindow       = "usage-window"
	eventUsageReportFailed = "usage-report-failed"
)

// Usage writes which VM has held the lease under which one acts for all, since when, and how the
// report of each window has ended, by the window's number. length is that of a window.
func Usage(w io.Writer, lines []*Line, length time.Duration) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	held := make(map[string]bool) // numbers whose taking was written
	failed := make(map[string]int)
	for _, l := range lines {
		switch l.Event {
		case eventLease:
			if n := l.Value("fencing"); l.Value("mine") == "true" && !held[n] {
				held[n] = true
				fmt.Fprintf(out, "%s\t%s holds the lease, number %s\tbefore it %s\n", l.At.Format(time.RFC3339), l.VM, n, cmp.Or(l.Value("before"), "nobody"))
			}
		case eventUsageReportFailed:
			failed[l.Value("window")]++
		case eventUsageWindow:
			fmt.Fprintf(out, "%s\twindow %s from %s\t%s by %s, number %s, %s requests of %s workspaces, %d calls failed before\n", l.At.Format(time.RFC3339),
				l.Value("window"), windowStart(l.Value("window"), length), l.Value("end"), l.VM, quoteIfNeeded(l.Value("fencing")),
				quoteIfNeeded(l.Value("requests")), quoteIfNeeded(l.Value("workspaces")), failed[l.Value("window")])
		}
	}
	return out.Flush()
}

// windowStart returns when a window begins, by its number.
func windowStart(number string, length time.Duration) string {
	n, err := strconv.ParseInt(number, 10, 64)
	if err != nil {
		return "an unknown time"
	}
	return time.Unix(0, n*int64(length)).UTC().Format(time.RFC3339)
}
