package explain

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"
)

// Causes of lost requests. A lost request failed or was late. Each lost request has one
// cause. The cause of a late request is the cause of the largest part of its delay.
const (
	causeQueue        = "late: waited at the engine"
	causePrefill      = "late: its prompt was read"
	causeEscalated    = "late: a smaller model's answer was given up first"
	causeRetried      = "late: another attempt had failed first"
	causeSlowUpstream = "late: the upstream was slow"
	causePaused       = "late: paused within the stream"
	causeForwarded    = "late: events were forwarded late"
	causeCallerLeft   = "the caller left"
	causeFailed       = "failed: the upstream's own answer"
)

// lateEvent is how long after an engine made an event callers count the event as late.
// Forwarding an event for longer makes the stream late, however soon the engine made the event.
const lateEvent = 200 * time.Millisecond

// requestLog collects the log lines of one request at one VM. Each line in escalations
// records that the answer of a smaller model was discarded.
type requestLog struct {
	outcome     *Line
	attempts    []*Line
	escalations []*Line
	retries     []*Line
}

// Losses prints, for each route, how many requests were answered in time, and the
// causes of the other requests, which failed or were late. If a VM logged several outcomes
// of a request, the latest outcome counts. Losses also prints, for each upstream, how many of
// its streams paused for longer than their target.
func Losses(w io.Writer, lines []*Line) error {
	requests := make(map[string]*requestLog)
	for _, l := range lines {
		id := l.VM + " " + l.Value("request")
		if l.Value("request") == "" {
			continue
		}
		r := requests[id]
		if r == nil {
			r = &requestLog{}
			requests[id] = r
		}
		switch l.Event {
		case "attempt":
			r.attempts = append(r.attempts, l)
		case "given-up":
			r.escalations = append(r.escalations, l)
		case "retry":
			r.retries = append(r.retries, l)
		case "delivered", "refused", "cut", "caller-gone":
			r.outcome = l
		}
	}
	if err := writeLosses(w, requests); err != nil {
		return err
	}
	return writeLatePauses(w, requests)
}

// routeLosses counts all requests of a route, the requests that were answered in time, and
// the lost requests by cause.
type routeLosses struct {
	requests, inTime int
	causes           map[string]int
}

// writeLosses prints the table of losses by route and cause.
func writeLosses(w io.Writer, requests map[string]*requestLog) error {
	routes := make(map[string]*routeLosses)
	for _, r := range requests {
		if r.outcome == nil {
			continue // the request is still running, or its VM was killed
		}
		if r.outcome.Value("forwarded") == "true" {
			continue // counted at the VM that has passed it on
		}
		name := r.outcome.Value("route")
		if routes[name] == nil {
			routes[name] = &routeLosses{causes: make(map[string]int)}
		}
		routes[name].requests++
		if cause := r.cause(); cause != "" {
			routes[name].causes[cause]++
		} else {
			routes[name].inTime++
		}
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, name := range sortedKeys(routes) {
		l := routes[name]
		if _, err := fmt.Fprintf(t, "%s\tasked %d\tin time %d\t%s\n", name, l.requests, l.inTime, percentage(l.inTime, l.requests)); err != nil {
			return err
		}
		causes := sortedKeys(l.causes)
		slices.SortStableFunc(causes, func(a, b string) int { return l.causes[b] - l.causes[a] })
		for _, c := range causes {
			if _, err := fmt.Fprintf(t, "\t%s\t%d\t%s\n", c, l.causes[c], percentage(l.causes[c], l.requests)); err != nil {
				return err
			}
		}
	}
	return t.Flush()
}

// percentage formats n as a percentage of total.
func percentage(n, total int) string { return fmt.Sprintf("%.1f%%", 100*float64(n)/float64(total)) }

// sortedKeys returns the keys of m, sorted.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// cause returns why the request failed or was late, or "" if it was answered in time.
func (r *requestLog) cause() string {
	switch r.outcome.Event {
	case "refused":
		return "refused: " + r.outcome.Value("reason")
	case "cut":
		return "cut: " + r.outcome.Value("reason")
	case "caller-gone":
		return causeCallerLeft
	}
	if status := r.outcome.Value("status"); status >= "400" {
		return causeFailed
	}
	if first, objective := millisField(r.outcome, "first_ms"), millisField(r.outcome, "objective_ms"); objective > 0 && first > objective {
		return r.lateCause()
	}
	return streamLateCause(r.outcome)
}

// lateCause returns the cause of the largest part of the time until the answer began.
func (r *requestLog) lateCause() string {
	parts := make(map[string]time.Duration)
	for i, a := range r.attempts {
		elapsed, prefill := millisField(a, "first_ms"), millisField(a, "read_ms")
		switch {
		case i == len(r.attempts)-1:
			parts[causePrefill] += min(prefill, elapsed)
			parts[causeQueue] += max(elapsed-prefill, 0)
		case i < len(r.escalations):
			parts[causeEscalated] += elapsed
		default:
			parts[causeRetried] += elapsed
		}
	}
	if len(r.attempts) == 0 { // the upstream is a plain service
		parts[causeSlowUpstream] = 1
	}
	if len(r.retries) > 0 {
		attributed := time.Duration(0)
		for _, p := range parts {
			attributed += p
		}
		parts[causeRetried] += max(millisField(r.outcome, "first_ms")-attributed, 0)
	}
	largest := causeSlowUpstream
	for _, c := range sortedKeys(parts) {
		if parts[c] > parts[largest] {
			largest = c
		}
	}
	return largest
}

// millisField returns a field in milliseconds as a duration.
// It returns 0 if the field is missing or not a number.
func millisField(l *Line, key string) time.Duration {
	n, err := strconv.ParseInt(l.Value(key), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}
