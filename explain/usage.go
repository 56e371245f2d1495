package explain

import (
	"cmp"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"
)

// Log events of the lease (whose holder acts on behalf of all VMs) and of the usage reports.
const (
	eventLease             = "lease"
	eventUsageWindow       = "usage-window"
	eventUsageReportFailed = "usage-report-failed"
)

// Usage prints which VM held the lease to act on behalf of all VMs, and since when, and
// the outcome of the usage report of each window. windowLength is the length of a window.
func Usage(w io.Writer, lines []*Line, windowLength time.Duration) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	printed := make(map[string]bool) // the fencing tokens whose lease holder was printed
	failed := make(map[string]int)
	for _, l := range lines {
		switch l.Event {
		case eventLease:
			if token := l.Value("fencing"); l.Value("mine") == "true" && !printed[token] {
				printed[token] = true
				fmt.Fprintf(out, "%s\t%s holds the lease, number %s\tbefore it %s\n", l.At.Format(time.RFC3339), l.VM, token, cmp.Or(l.Value("before"), "nobody"))
			}
		case eventUsageReportFailed:
			failed[l.Value("window")]++
		case eventUsageWindow:
			fmt.Fprintf(out, "%s\twindow %s from %s\t%s by %s, number %s, %s requests of %s workspaces, %d calls failed before\n", l.At.Format(time.RFC3339),
				l.Value("window"), windowStart(l.Value("window"), windowLength), l.Value("end"), l.VM, quoteIfNeeded(l.Value("fencing")),
				quoteIfNeeded(l.Value("requests")), quoteIfNeeded(l.Value("workspaces")), failed[l.Value("window")])
		}
	}
	return out.Flush()
}

// windowStart formats the start time of the window with the given number. Window n starts n
// window lengths after the Unix epoch.
func windowStart(number string, length time.Duration) string {
	n, err := strconv.ParseInt(number, 10, 64)
	if err != nil {
		return "an unknown time"
	}
	return time.Unix(0, n*int64(length)).UTC().Format(time.RFC3339)
}
