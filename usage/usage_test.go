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

// testTerms are windows of 5 s that are due 10 s after their end.
var testTerms = Terms{Window: 5 * time.Second, Late: 10 * time.Second}

// TestSumsAgree draws VMs that count and tell each other parts in any order, twice, late and
// over others. Whoever has heard of all parts has the true sums.
func TestSumsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := make([]*Sums, rapid.IntRange(2, 5).Draw(t, "vms"))
		lives := make([]contract.VMLife, len(vms))
		for i := range vms {
			vms[i] = NewSums()
			lives[i] = contract.VMLife{VM: contract.VMID(strconv.Itoa(i)), Incarnation: 1}
		}
		truth := make(map[Window]Counts)
		var onTheWay []Part
		vm := func(what string) int { return rapid.IntRange(0, len(vms)-1).Draw(t, what) }
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				i, w := vm("counts"), Window(rapid.IntRange(0, 2).Draw(t, "window"))
				id := contract.WorkspaceID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"))
				vms[i].Began(lives[i], w, id)
				if truth[w] == nil {
					truth[w] = make(Counts)
				}
				truth[w][id]++
			case 2:
				parts, _ := vms[vm("tells")].Since(0)
				onTheWay = append(onTheWay, parts...)
			case 3:
				if len(onTheWay) > 0 { // one arrives, and may arrive again
					vms[vm("hears")].Told(onTheWay[rapid.IntRange(0, len(onTheWay)-1).Draw(t, "part")])
				}
			case 4: // a life ends, what it counted is told by nobody but those who have heard
				i := vm("hub")
				parts, _ := vms[vm("teller")].Since(0)
				for _, p := range parts {
					vms[i].Told(p)
				}
			}
		}
		all := NewSums()
		for _, s := range vms {
			parts, _ := s.Since(0)
			for _, p := range parts {
				all.Told(p)
			}
		}
		for w, want := range truth {
			if got := all.Total(w); !maps.Equal(got, want) {
				t.Fatalf("window %d: %v, counted were %v", w, got, want)
			}
		}
	})
}

// TestSinceTellsWhatGrew shows that a part is told again only once it has grown.
func TestSinceTellsWhatGrew(t *testing.T) {
	is := is.New(t)
	s := NewSums()
	me := contract.VMLife{VM: "me"}
	s.Began(me, 1, "w")
	parts, mark := s.Since(0)
	is.Equal(len(parts), 1)
	s.Told(Part{contract.VMLife{VM: "other"}, 1, Counts{"w": 2}})
	s.Told(Part{contract.VMLife{VM: "other"}, 1, Counts{"w": 2}})
	parts, mark = s.Since(mark)
	is.Equal(parts, []Part{{contract.VMLife{VM: "other"}, 1, Counts{"w": 2}}})
	s.Told(Part{contract.VMLife{VM: "other"}, 1, Counts{"w": 1}}) // late
	parts, _ = s.Since(mark)
	is.Equal(len(parts), 0)
	is.Equal(s.Total(1), Counts{"w": 3})
	s.Forget(2)
	is.Equal(len(s.Windows()), 0)
}

// TestWindows checks the numbers of windows by an example of the platform's: windows of 5 s.
func TestWindows(t *testing.T) {
	is := is.New(t)
	start := time.Unix(353445120*5, 0)
	is.Equal(WindowOf(start, 5*time.Second), Window(353445120))
	is.Equal(WindowOf(start.Add(-time.Nanosecond), 5*time.Second), Window(353445119))
	is.Equal(Window(353445120).End(5*time.Second), start.Add(5*time.Second))
}

// TestClose shows when a window is fixed: once it has ended and all have told since, or when
// those that are silent are waited for no longer; never with other counts after that.
func TestClose(t *testing.T) {
	is := is.New(t)
	const w = Window(100)
	end := w.End(testTerms.Window)
	s := NewSums()
	s.Began(contract.VMLife{VM: "a"}, w, "x")
	for _, c := range []struct {
		heard, now time.Duration // after the end
		closes     bool
	}{
		{0, -time.Second, false},
		{time.Second, testTerms.gather() - 1, false},
		{time.Second, testTerms.gather(), true},
		{-time.Second, testTerms.gather(), false},
		{-time.Second, testTerms.await() - 1, false},
		{-time.Second, testTerms.await(), true},
	} {
		_, closes := testTerms.Close(Record{}, s, end.Add(c.heard), end.Add(c.now))
		is.Equal(closes, c.closes)
	}
	now := end.Add(testTerms.gather())
	r, _ := testTerms.Close(Record{}, s, now, now)
	is.Equal(r, Record{Through: w, Fixed: []Fixed{{w, Counts{"x": 1}}}})
	s.Began(contract.VMLife{VM: "b"}, w, "x") // told too late
	again, changed := testTerms.Close(r, s, now, now)
	is.True(!changed)
	is.Equal(again.Fixed, r.Fixed)
	is.Equal(r.Done(w), Record{Through: w, Fixed: []Fixed{}})
	is.Equal(testTerms.Missed(r, end.Add(testTerms.Late)), nil)
	is.Equal(testTerms.Missed(r, end.Add(testTerms.Late+1)), []Window{w})
}

// TestCloseTooLate shows a holder that comes when a window is over: it is passed over, and
// the next one is not held up by it.
func TestCloseTooLate(t *testing.T) {
	is := is.New(t)
	s := NewSums()
	s.Began(contract.VMLife{VM: "a"}, 100, "x")
	s.Began(contract.VMLife{VM: "a"}, 102, "x")
	now := Window(102).End(testTerms.Window).Add(testTerms.gather())
	r, changed := testTerms.Close(Record{}, s, now, now)
	is.True(changed)
	is.Equal(r.Through, Window(102))
	is.True(slices.Equal([]Window{102}, windowsOf(r)))
}

func windowsOf(r Record) []Window {
	var out []Window
	for _, f := range r.Fixed {
		out = append(out, f.Window)
	}
	return out
}
