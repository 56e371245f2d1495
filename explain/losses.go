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
	causeQueue   = "late: waited at the engine"
	causeReading = "late: its prompt was read"
	causeGivenUp = "late: a smaller model's answer was given up first"
	causeRetried = "late: another attempt had failed first"
	causeAnswer  = "late: the upstream was slow"
	causeGone    = "the caller left"
	causeFailed  = "failed: the upstream's own answer"
)

// request is what the log tells of one request at one VM.
type request struct {
	end      *Line
	attempts []*Line
	givenUp  []*Line
	retries  []*Line
}

// Losses writes, for each route, how many requests were answered in time and why
// the others were not, by their newest end at each VM that logged one.
func Losses(w io.Writer, lines []*Line) error {
	requests := make(map[string]*request)
	for _, l := range lines {
		id := l.VM + " " + l.Value("request")
		if l.Value("request") == "" {
			continue
		}
		r := requests[id]
		if r == nil {
			r = &request{}
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
			r.end = l
		}
	}
	return writeLosses(w, requests)
}

// routeLosses counts the requests of a route, by cause.
type routeLosses struct {
	asked, inTime int
	causes        map[string]int
}

func writeLosses(w io.Writer, requests map[string]*request) error {
	routes := make(map[string]*routeLosses)
	for _, r := range requests {
		if r.end == nil {
			continue // under way, or its VM was killed
		}
		name := r.end.Value("route")
		if routes[name] == nil {
			routes[name] = &routeLosses{causes: make(map[string]int)}
		}
		routes[name].asked++
		if cause := r.cause(); cause != "" {
			routes[name].causes[cause]++
		} else {
			routes[name].inTime++
		}
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, name := range sortedKeys(routes) {
		l := routes[name]
		if _, err := fmt.Fprintf(t, "%s\tasked %d\tin time %d\t%s\n", name, l.asked, l.inTime, part(l.inTime, l.asked)); err != nil {
			return err
		}
		causes := sortedKeys(l.causes)
		slices.SortStableFunc(causes, func(a, b string) int { return l.causes[b] - l.causes[a] })
		for _, c := range causes {
			if _, err := fmt.Fprintf(t, "\t%s\t%d\t%s\n", c, l.causes[c], part(l.causes[c], l.asked)); err != nil {
				return err
			}
		}
	}
	return t.Flush()
}

func part(n, of int) string { return fmt.Sprintf("%.1f%%", 100*float64(n)/float64(of)) }

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// cause returns why a request was not answered well and in time, or "".
func (r *request) cause() string {
	switch r.end.Event {
	case "refused":
		return "refused: " + r.end.Value("reason")
	case "cut":
		return "cut: " + r.end.Value("reason")
	case "caller-gone":
		return causeGone
	}
	if status := r.end.Value("status"); status >= "400" {
		return causeFailed
	}
	if first, objective := millis(r.end, "first_ms"), millis(r.end, "objective_ms"); objective == 0 || first <= objective {
		return ""
	}
	return r.late()
}

// late returns the largest part of the time to the first answer.
func (r *request) late() string {
	parts := make(map[string]time.Duration)
	for i, a := range r.attempts {
		took, reading := millis(a, "first_ms"), millis(a, "read_ms")
		switch {
		case i == len(r.attempts)-1:
			parts[causeReading] += min(reading, took)
			parts[causeQueue] += max(took-reading, 0)
		case i < len(r.givenUp):
			parts[causeGivenUp] += took
		default:
			parts[causeRetried] += took
		}
	}
	if len(r.attempts) == 0 { // a plain service
		parts[causeAnswer] = 1
	}
	if len(r.retries) > 0 {
		known := time.Duration(0)
		for _, p := range parts {
			known += p
		}
		parts[causeRetried] += max(millis(r.end, "first_ms")-known, 0)
	}
	most := causeAnswer
	for _, c := range sortedKeys(parts) {
		if parts[c] > parts[most] {
			most = c
		}
	}
	return most
}

// millis reads a field of milliseconds; zero when it is missing or no number.
func millis(l *Line, key string) time.Duration {
	n, err := strconv.ParseInt(l.Value(key), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}
