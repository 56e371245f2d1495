// Package explain analyses the log lines of VMs. It prints the steps of a request
// with the state that the request's VM knew at each step of the request, the changes of this state,
// why requests failed or were late, and the usage reports.
package explain

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"woaddoor/contract"
)

// Line is one parsed log line.
type Line struct {
	At    time.Time
	Event string
	VM    string
	// Fields are the remaining fields of the log line, in the order in which they were written.
	Fields []Field
}

// Field is one key and its value in a log line.
type Field struct{ Key, Value string }

// Value returns the value of the first field with the key, or "" if there is none.
func (l *Line) Value(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// maxLineBytes is the maximum length of a line.
const maxLineBytes = 1 << 20

// Read parses the log lines of one file. A file may contain other output: lines
// that are not log lines are skipped and counted, and any prefix before "time=" is ignored.
func Read(r io.Reader) (lines []*Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		if l := parseLine(scanner.Text()); l != nil {
			lines = append(lines, l)
		} else {
			skipped++
		}
	}
	return lines, skipped, scanner.Err()
}

// parseLine parses one log line. It returns nil if the text is not a log line.
func parseLine(text string) *Line {
	at := strings.Index(text, "time=")
	if at < 0 {
		return nil
	}
	l := &Line{}
	d := logfmt.NewDecoder(strings.NewReader(text[at:]))
	if !d.ScanRecord() {
		return nil
	}
	for d.ScanKeyval() {
		key, value := string(d.Key()), string(d.Value())
		switch key {
		case "time":
			when, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return nil
			}
			l.At = when
		case "event":
			l.Event = value
		case "vm":
			l.VM = value
		default:
			l.Fields = append(l.Fields, Field{key, value})
		}
	}
	if d.Err() != nil || l.Event == "" {
		return nil
	}
	return l
}

// Sort orders lines by time. Lines with equal times keep their order. Lines of
// different VMs may be out of order, because their clocks may differ.
func Sort(lines []*Line) {
	sort.SliceStable(lines, func(a, b int) bool { return lines[a].At.Before(lines[b].At) })
}

// Request prints each log line of a request, followed by the states that were known to
// the VM when it wrote the line. Request reports whether there is any line of the request.
func Request(w io.Writer, lines []*Line, id contract.RequestID) (bool, error) {
	p := &printer{w: w, lines: lines}
	found := false
	for i, l := range lines {
		if l.Value("request") != string(id) {
			continue
		}
		found = true
		p.printLine(l)
		p.printKnownState(i)
	}
	return found, p.err
}

// printer prints log lines and keeps the first write error.
type printer struct {
	w     io.Writer
	lines []*Line
	err   error
}

// printf formats to w, unless an earlier write failed.
func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

// printLine prints a log line without its level, request id and empty fields.
func (p *printer) printLine(l *Line) {
	p.printf("%s %s %s", l.At.Format("15:04:05.000"), l.VM, l.Event)
	for _, f := range l.Fields {
		if f.Key != "level" && f.Key != "request" && f.Value != "" {
			p.printf(" %s=%s", f.Key, quoteIfNeeded(f.Value))
		}
	}
	p.printf("\n")
}

// quoteIfNeeded quotes v if it contains a space, "=" or a quotation mark.
func quoteIfNeeded(v string) string {
	if strings.ContainsAny(v, " =\"") {
		return fmt.Sprintf("%q", v)
	}
	return v
}

// stateEvent describes a log event that records a state known to a VM. The state lasts
// until the VM logs the event again or restarts.
type stateEvent struct {
	event string
	// matchField is a field, such as upstream. The state is printed only with log
	// lines that have the same value of this field.
	// Empty means with all log lines of requests at the VM.
	matchField string
	// shownFields are the fields of the event that are printed.
	shownFields []string
}

// stateEvents lists the known state events, in the order in which they are printed.
var stateEvents = []stateEvent{
	{"configuration", "", []string{"version", "revision", "from"}},
	{"upstream", "upstream", []string{"leaving", "gone", "release", "address", "revision"}},
	{"upstream-leaves", "upstream", []string{"born", "listed_leaving", "status"}},
	{"upstream-rests", "upstream", []string{"born", "for", "asked", "status"}},
	{"upstream-limit", "upstream", []string{"born", "version", "named", "per_second", "request", "peer"}},
	{"upstreams-short", "", []string{"service", "short", "begin_ms", "slots", "slots_in_use"}},
	{"order", "", []string{"service", "release", "state", "revision"}},
	{"release-bad", "", []string{"service", "release", "trial_bad", "trial_good", "others_bad", "others_good"}},
	{"request-held", "print", []string{"print", "ended", "first_seen_by", "by", "workspace", "route"}},
	{"store-lost", "", []string{"kind", "error"}},
	{"store-regained", "", []string{"kind"}},
	{"short", "", []string{"of", "processor_percent", "link_percent", "running", "limit", "others_percent", "others_short"}},
	{"short-ends", "", []string{"of", "lasted_ms", "shut_ms"}},
	{"signal", "", []string{"signal"}},
	{"start", "", nil},
}

// startShownFor is how long after the start of a VM its start event is still printed
// with the steps of a request.
const startShownFor = time.Minute

// printKnownState prints the states that were known to the VM when it wrote the log line
// at index, and since when the VM knew each state.
func (p *printer) printKnownState(index int) {
	l := p.lines[index]
	for _, e := range stateEvents {
		known := p.latestBefore(index, e)
		if known == nil || e.shownFields == nil && l.At.Sub(known.At) > startShownFor {
			continue
		}
		p.printf("    believed %s since %s (%s before)", e.event, known.At.Format("15:04:05.000"), l.At.Sub(known.At).Round(time.Millisecond))
		for _, key := range e.shownFields {
			if v := known.Value(key); v != "" {
				p.printf(" %s=%s", key, quoteIfNeeded(v))
			}
		}
		p.printf("\n")
	}
}

// latestBefore returns the latest line of state event e that the VM of the line at index
// wrote before that line and since the last start of its process, or nil.
func (p *printer) latestBefore(index int, e stateEvent) *Line {
	l := p.lines[index]
	for i := index - 1; i >= 0; i-- {
		earlier := p.lines[i]
		if earlier.VM != l.VM {
			continue
		}
		if earlier.Event == e.event && (e.matchField == "" || earlier.Value(e.matchField) == l.Value(e.matchField) && l.Value(e.matchField) != "") {
			return earlier
		}
		if earlier.Event == "start" {
			return nil
		}
	}
	return nil
}

// auditEvents are the events that Changes prints: changes of the configuration,
// upstreams, orders and evacuations, the states that upstreams report of themselves,
// quarantined request contents, the start and stop of VMs, their connection to the store, and when they are short of
// what their machines give them.
var auditEvents = map[string]bool{
	"configuration": true, "upstream": true, "order": true, "order-noted": true, "release-bad": true, "enlisted": true,
	"request-held": true, "request-released": true, "evacuation": true,
	"upstream-leaves": true, "upstream-rests": true, "upstream-rest-ends": true, "upstream-limit": true, "upstreams-short": true,
	"start": true, "stop": true, "signal": true, "reload": true, "store-lost": true, "store-regained": true, "vms": true,
	"short": true, "short-ends": true,
}

// Changes prints the changes in the order of the lines. Each change is printed once,
// for the first VM that logged it. Changes are identified by the revision of an object,
// by the fingerprint of a quarantined content and its epoch, or, for the rate limit of
// an upstream, by the incarnation of the upstream and the version of the limit.
func Changes(w io.Writer, lines []*Line) error {
	p := &printer{w: w, lines: lines}
	printed := make(map[string]bool)
	for _, l := range lines {
		if !auditEvents[l.Event] {
			continue
		}
		if revision := cmp.Or(l.Value("revision")+l.Value("epoch"), l.Value("version")); revision != "" {
			key := l.Event + "|" + revision + "|" + l.Value("upstream") + "|" + l.Value("born") + "|" + l.Value("gone") + "|" + l.Value("print")
			if printed[key] {
				continue
			}
			printed[key] = true
		}
		p.printLine(l)
	}
	return p.err
}
