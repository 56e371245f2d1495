package explain

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"
)

// Causes of what is lost. Each request has one: the largest of its parts.
const (
	causeQueue        = "late: waited at the engine"
	causePrefill      = "late: its prompt was read"
	causeGivenUp      = "late: a smaller model's answer was given up first"
	causeRetried      = "late: another attempt had failed first"
	causeSlowUpstream = "late: the upstream was slow"
	causeCallerGone   = "the caller left"
	causeFailed       = "failed: the upstream's own answer"
)

// requestLog is what the log tells of one request at one VM.
type requestLog struct {
	outcome  *Line
	attempts []*Line
	givenUp  []*Line
	retries  []*Line
}

// Losses writes, for each route, how many requests were answered in time and why
// the others were not, by their newest end at each VM that logged one.
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
			r.givenUp = append(r.givenUp, l)
		case "retry":
			r.retries = append(r.retries, l)
		case "delivered", "refused", "cut", "caller-gone":
			r.outcome = l
		}
	}
	return writeLosses(w, requests)
}

// routeLosses counts the requests of a route, by cause.
type routeLosses struct {
	requests, inTime int
	causes           map[string]int
}

func writeLosses(w io.Writer, requests map[string]*requestLog) error {
	routes := make(map[string]*routeLosses)
	for _, r := range requests {
		if r.outcome == nil {
			continue // under way, or its VM was killed
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

func percentage(n, of int) string { return fmt.Sprintf("%.1f%%", 100*float64(n)/float64(of)) }

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// cause returns why a request was not answered well and in time, or "".
func (r *requestLog) cause() string {
	switch r.outcome.Event {
	case "refused":
		return "refused: " + r.outcome.Value("reason")
	case "cut":
		return "cut: " + r.outcome.Value("reason")
	case "caller-gone":
		return causeCallerGone
	}
	if status := r.outcome.Value("status"); status >= "400" {
		return causeFailed
	}
	if first, objective := millisField(r.outcome, "first_ms"), millisField(r.outcome, "objective_ms"); objective == 0 || first <= objective {
		return ""
	}
	return r.lateCause()
}

// lateCause returns the largest part of the time to the first answer.
func (r *requestLog) lateCause() string {
	parts := make(map[string]time.Duration)
	for i, a := range r.attempts {
		took, reading := millisField(a, "first_ms"), millisField(a, "read_ms")
		switch {
		case i == len(r.attempts)-1:
			parts[causePrefill] += min(reading, took)
			parts[causeQueue] += max(took-reading, 0)
		case i < len(r.givenUp):
			parts[causeGivenUp] += took
		default:
			parts[causeRetried] += took
		}
	}
	if len(r.attempts) == 0 { // a plain service
		parts[causeSlowUpstream] = 1
	}
	if len(r.retries) > 0 {
		known := time.Duration(0)
		for _, p := range parts {
			known += p
		}
		parts[causeRetried] += max(millisField(r.outcome, "first_ms")-known, 0)
	}
	most := causeSlowUpstream
	for _, c := range sortedKeys(parts) {
		if parts[c] > parts[most] {
			most = c
		}
	}
	return most
}

// millisField reads a field of milliseconds; zero when it is missing or no number.
func millisField(l *Line, key string) time.Duration {
	n, err := strconv.ParseInt(l.Value(key), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}
