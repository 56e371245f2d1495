// Package explain reads the log lines of VMs and tells the life of a request,
// with what was believed at each step and how old that was, or what changed.
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

// Line is one log line.
type Line struct {
	At     time.Time
	Event  string
	VM     string
	Fields []Field
}

// Field is one key and value of a line, in the order in which they were written.
type Field struct{ Key, Value string }

// Value returns the value of a key, or "".
func (l *Line) Value(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// maxLine bounds one line, in bytes.
const maxLine = 1 << 20

// Read reads the lines of one file. Lines that are not log lines are left out
// and counted: a file may hold other output, and a prefix before time= is
// dropped.
func Read(r io.Reader) (lines []*Line, others int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		if l := parseLine(scanner.Text()); l != nil {
			lines = append(lines, l)
		} else {
			others++
		}
	}
	return lines, others, scanner.Err()
}

// parseLine returns the line in a text, nil when there is none.
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

// Sort orders lines by time. Those of one VM keep their order; times of day of
// VMs may differ.
func Sort(lines []*Line) {
	sort.SliceStable(lines, func(a, b int) bool { return lines[a].At.Before(lines[b].At) })
}

// Request writes the life of a request. It returns whether any line is of it.
func Request(w io.Writer, lines []*Line, id contract.RequestID) (bool, error) {
	e := &printer{w: w, lines: lines}
	found := false
	for i, l := range lines {
		if l.Value("request") != string(id) {
			continue
		}
		found = true
		e.printLine(l)
		e.printKnownState(i)
	}
	return found, e.err
}

// printer writes the steps of a request.
type printer struct {
	w     io.Writer
	lines []*Line
	err   error
}

func (e *printer) printf(format string, args ...any) {
	if e.err == nil {
		_, e.err = fmt.Fprintf(e.w, format, args...)
	}
}

// printLine writes a line of the request, without what every line carries.
func (e *printer) printLine(l *Line) {
	e.printf("%s %s %s", l.At.Format("15:04:05.000"), l.VM, l.Event)
	for _, f := range l.Fields {
		if f.Key != "level" && f.Key != "request" && f.Value != "" {
			e.printf(" %s=%s", f.Key, quoteIfNeeded(f.Value))
		}
	}
	e.printf("\n")
}

func quoteIfNeeded(v string) string {
	if strings.ContainsAny(v, " =\"") {
		return fmt.Sprintf("%q", v)
	}
	return v
}

// stateEvent is a kind of line that says what a VM believes from then on.
type stateEvent struct {
	event string
	// matchField is the field that has to be the same in the request's line; "" for
	// none.
	matchField string
	// shownFields are the fields that are told.
	shownFields []string
}

var stateEvents = []stateEvent{
	{"configuration", "", []string{"version", "revision", "from"}},
	{"upstream", "upstream", []string{"leaving", "gone", "release", "address", "revision"}},
	{"upstream-leaves", "upstream", []string{"born", "listed_leaving", "status"}},
	{"upstream-rests", "upstream", []string{"born", "for", "asked", "status"}},
	{"upstream-limit", "upstream", []string{"born", "version", "named", "per_second", "request", "peer"}},
	{"order", "", []string{"service", "release", "state", "revision"}},
	{"release-bad", "", []string{"service", "release", "trial_bad", "trial_good", "others_bad", "others_good"}},
	{"request-held", "print", []string{"print", "ended", "first_seen_by", "by", "workspace", "route"}},
	{"store-lost", "", []string{"kind", "error"}},
	{"store-regained", "", []string{"kind"}},
	{"signal", "", []string{"signal"}},
	{"start", "", nil},
}

// startShownFor is how long ago a change of the store's reach or of the process
// still explains a step.
const startShownFor = time.Minute

// printKnownState writes what the VM of a line believed then, and since when.
func (e *printer) printKnownState(at int) {
	l := e.lines[at]
	for _, b := range stateEvents {
		known := e.latestBefore(at, b)
		if known == nil || b.shownFields == nil && l.At.Sub(known.At) > startShownFor {
			continue
		}
		e.printf("    believed %s since %s (%s before)", b.event, known.At.Format("15:04:05.000"), l.At.Sub(known.At).Round(time.Millisecond))
		for _, key := range b.shownFields {
			if v := known.Value(key); v != "" {
				e.printf(" %s=%s", key, quoteIfNeeded(v))
			}
		}
		e.printf("\n")
	}
}

// latestBefore returns the newest line of a belief before a line, at its VM and in
// the same life of the process.
func (e *printer) latestBefore(at int, b stateEvent) *Line {
	l := e.lines[at]
	for i := at - 1; i >= 0; i-- {
		o := e.lines[i]
		if o.VM != l.VM {
			continue
		}
		if o.Event == b.event && (b.matchField == "" || o.Value(b.matchField) == l.Value(b.matchField) && l.Value(b.matchField) != "") {
			return o
		}
		if o.Event == "start" {
			return nil
		}
	}
	return nil
}

// auditEvents are the events that the audit trail holds: what changed in the
// configuration, upstreams, orders and evacuations, what upstreams said of themselves, which
// contents are held, and which VMs came and went.
var auditEvents = map[string]bool{
	"configuration": true, "upstream": true, "order": true, "order-noted": true, "release-bad": true, "enlisted": true,
	"request-held": true, "request-released": true, "evacuation": true,
	"upstream-leaves": true, "upstream-rests": true, "upstream-rest-ends": true, "upstream-limit": true,
	"start": true, "stop": true, "signal": true, "reload": true, "store-lost": true, "store-regained": true, "vms": true,
}

// Changes writes what changed, in order: each change of an object once, by its
// revision, a content's print and epoch, or a limit's life and version, with the VM that knew
// it first.
func Changes(w io.Writer, lines []*Line) error {
	e := &printer{w: w, lines: lines}
	told := make(map[string]bool)
	for _, l := range lines {
		if !auditEvents[l.Event] {
			continue
		}
		if revision := cmp.Or(l.Value("revision")+l.Value("epoch"), l.Value("version")); revision != "" {
			key := l.Event + "|" + revision + "|" + l.Value("upstream") + "|" + l.Value("born") + "|" + l.Value("gone") + "|" + l.Value("print")
			if told[key] {
				continue
			}
			told[key] = true
		}
		e.printLine(l)
	}
	return e.err
}
