package usage

import (
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woaddoor/contract"
)

// testRules use windows of 5 s, with reports due 10 s after their end.
var testRules = Rules{Window: 5 * time.Second, ReportDeadline: 10 * time.Second}

// TestSumsConverge draws VMs that count requests and exchange parts late, twice, in any order
// and through other VMs. A VM that has received all parts must have the true sums.
func TestSumsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := make([]*Counter, rapid.IntRange(2, 5).Draw(t, "vms"))
		incarnations := make([]contract.VMInstance, len(vms))
		for i := range vms {
			vms[i] = NewCounter()
			incarnations[i] = contract.VMInstance{VM: contract.VMID(strconv.Itoa(i)), Incarnation: 1}
		}
		expected := make(map[Window]Counts)
		var inFlight []Part
		drawVM := func(label string) int { return rapid.IntRange(0, len(vms)-1).Draw(t, label) }
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				i, w := drawVM("counts"), Window(rapid.IntRange(0, 2).Draw(t, "window"))
				id := contract.WorkspaceID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"))
				vms[i].CountStart(incarnations[i], w, id)
				if expected[w] == nil {
					expected[w] = make(Counts)
				}
				expected[w][id]++
			case 2:
				parts, _ := vms[drawVM("sender")].ChangedSince(0)
				inFlight = append(inFlight, parts...)
			case 3:
				if len(inFlight) > 0 { // deliver one part, which may be delivered again
					vms[drawVM("receiver")].Merge(inFlight[rapid.IntRange(0, len(inFlight)-1).Draw(t, "part")])
				}
			case 4: // a VM passes on all parts that it knows
				i := drawVM("hub")
				parts, _ := vms[drawVM("sender to hub")].ChangedSince(0)
				for _, p := range parts {
					vms[i].Merge(p)
				}
			}
		}
		merged := NewCounter()
		for _, s := range vms {
			parts, _ := s.ChangedSince(0)
			for _, p := range parts {
				merged.Merge(p)
			}
		}
		for w, want := range expected {
			if got := merged.Total(w); !maps.Equal(got, want) {
				t.Fatalf("window %d: got %v, want %v", w, got, want)
			}
		}
	})
}

// TestChangedSinceReturnsChangedParts checks that a part is returned again
// only after its counts have grown.
func TestChangedSinceReturnsChangedParts(t *testing.T) {
	is := is.New(t)
	s := NewCounter()
	self := contract.VMInstance{VM: "me"}
	s.CountStart(self, 1, "w")
	parts, change := s.ChangedSince(0)
	is.Equal(len(parts), 1)
	s.Merge(Part{contract.VMInstance{VM: "other"}, 1, Counts{"w": 2}})
	s.Merge(Part{contract.VMInstance{VM: "other"}, 1, Counts{"w": 2}})
	parts, change = s.ChangedSince(change)
	is.Equal(parts, []Part{{contract.VMInstance{VM: "other"}, 1, Counts{"w": 2}}})
	s.Merge(Part{contract.VMInstance{VM: "other"}, 1, Counts{"w": 1}}) // outdated
	parts, _ = s.ChangedSince(change)
	is.Equal(len(parts), 0)
	is.Equal(s.Total(1), Counts{"w": 3})
	s.DropBefore(2)
	is.Equal(len(s.Windows()), 0)
}

// TestWindowNumbers checks window numbers against an example of the platform with windows of 5 s.
func TestWindowNumbers(t *testing.T) {
	is := is.New(t)
	start := time.Unix(353445120*5, 0)
	is.Equal(WindowOf(start, 5*time.Second), Window(353445120))
	is.Equal(WindowOf(start.Add(-time.Nanosecond), 5*time.Second), Window(353445119))
	is.Equal(Window(353445120).End(5*time.Second), start.Add(5*time.Second))
}

// TestCloseTiming checks when a window is closed: once all peers have sent their counts since
// its end, or when the wait for silent peers is over. Its counts must not change afterwards.
func TestCloseTiming(t *testing.T) {
	is := is.New(t)
	const w = Window(100)
	end := w.End(testRules.Window)
	s := NewCounter()
	s.CountStart(contract.VMInstance{VM: "a"}, w, "x")
	for _, c := range []struct {
		reportedAt, now time.Duration // relative to the end of the window
		wantClosed      bool
	}{
		{0, -time.Second, false},
		{time.Second, testRules.minCloseDelay() - 1, false},
		{time.Second, testRules.minCloseDelay(), true},
		{-time.Second, testRules.minCloseDelay(), false},
		{-time.Second, testRules.maxCloseDelay() - 1, false},
		{-time.Second, testRules.maxCloseDelay(), true},
	} {
		_, closed := testRules.Close(Record{}, s, end.Add(c.reportedAt), end.Add(c.now))
		is.Equal(closed, c.wantClosed)
	}
	now := end.Add(testRules.minCloseDelay())
	r, _ := testRules.Close(Record{}, s, now, now)
	is.Equal(r, Record{ClosedThrough: w, Unreported: []ClosedWindow{{w, Counts{"x": 1}}}})
	s.CountStart(contract.VMInstance{VM: "b"}, w, "x") // arrives after the window was closed
	again, changed := testRules.Close(r, s, now, now)
	is.True(!changed)
	is.Equal(again.Unreported, r.Unreported)
	is.Equal(r.Without(w), Record{ClosedThrough: w, Unreported: []ClosedWindow{}})
	is.Equal(testRules.Overdue(r, end.Add(testRules.ReportDeadline)), nil)
	is.Equal(testRules.Overdue(r, end.Add(testRules.ReportDeadline+1)), []Window{w})
}

// TestCloseSkipsExpiredWindows checks that a lease holder that takes over after the deadline
// of a window skips it and still closes the next one.
func TestCloseSkipsExpiredWindows(t *testing.T) {
	is := is.New(t)
	s := NewCounter()
	s.CountStart(contract.VMInstance{VM: "a"}, 100, "x")
	s.CountStart(contract.VMInstance{VM: "a"}, 102, "x")
	now := Window(102).End(testRules.Window).Add(testRules.minCloseDelay())
	r, changed := testRules.Close(Record{}, s, now, now)
	is.True(changed)
	is.Equal(r.ClosedThrough, Window(102))
	is.True(slices.Equal([]Window{102}, closedWindows(r)))
}

// closedWindows returns the windows that were closed and still have to be reported.
func closedWindows(r Record) []Window {
	var out []Window
	for _, f := range r.Unreported {
		out = append(out, f.Window)
	}
	return out
}
