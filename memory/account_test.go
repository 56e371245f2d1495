package memory

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woaddoor/contract"
)

// testOptions are the limits of the accounts under test.
var testOptions = Options{Total: 1000, Allowance: 10, StallAfter: time.Second, MaxRequests: 8, WorkspaceShare: 0.75}

// fixture is an account with the holders that had to give way.
type fixture struct {
	*Account
	now     time.Time
	evicted map[*Holder]Phase
}

func newFixture() *fixture {
	return &fixture{Account: NewAccount(testOptions), now: time.Unix(1000, 0), evicted: make(map[*Holder]Phase)}
}

// open opens a holder whose request belongs to a workspace.
func (f *fixture) open(owner contract.WorkspaceID) *Holder {
	var h *Holder
	h = f.Open(func(p Phase) { f.evicted[h] = p }, f.now)
	h.Begin(owner)
	return h
}

// TestAccount runs random requests and checks that what is held never exceeds the total, that the sums agree with
// what each holds, that a request that may have run never gives way before its caller stalls, that no workspace
// gives way to one that holds more, and that everything is given back.
func TestAccount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		var open []*Holder
		pick := func() *Holder { return open[rapid.IntRange(0, len(open)-1).Draw(t, "holder")] }
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "ms")) * time.Millisecond)
			action := rapid.IntRange(0, 6).Draw(t, "action")
			if len(open) == 0 {
				action = 0
			}
			switch action {
			case 0:
				open = append(open, f.open(rapid.SampledFrom([]contract.WorkspaceID{"", "a", "b"}).Draw(t, "owner")))
			case 1:
				f.takeChecked(t, pick(), contract.Bytes(rapid.IntRange(1, 600).Draw(t, "n")))
			case 2:
				pick().Give(contract.Bytes(rapid.IntRange(1, 600).Draw(t, "n")))
			case 3:
				pick().Enter(Phase(rapid.IntRange(int(Reading), int(Writing)).Draw(t, "phase")), f.now)
			case 4:
				pick().Progress(f.now)
			case 5:
				pick().End(f.now)
			case 6:
				pick().Close()
			}
			f.check(t, open)
		}
		for _, h := range open {
			h.Close()
		}
		if s := f.Stats(); s.Used != 0 || s.Holders != 0 || len(f.byOwner) != 0 || len(f.running) != 0 {
			t.Fatalf("something is held after all are closed: %+v %v %v", s, f.byOwner, f.running)
		}
	})
}

// takeChecked takes n bytes and checks who had to give way for them.
func (f *fixture) takeChecked(t *rapid.T, h *Holder, n contract.Bytes) {
	before := make(map[contract.WorkspaceID]contract.Bytes)
	for owner, used := range f.byOwner {
		before[owner] = used
	}
	owners := make(map[*Holder]contract.WorkspaceID)
	stalled := make(map[*Holder]bool)
	for v := range f.holders {
		owners[v], stalled[v] = v.owner, f.isStalled(v, f.now)
	}
	f.evicted = make(map[*Holder]Phase)
	granted := h.Take(n, f.now)
	own := f.byOwner[h.owner]
	if !granted && len(f.evicted) > 0 {
		t.Fatal("a request gave way in vain")
	}
	for v, phase := range f.evicted {
		switch {
		case v == h:
			t.Fatal("a holder gave way to itself")
		case phase == Running || phase == Writing && !stalled[v]:
			t.Fatalf("a request that may have run gave way while %v", phase)
		case owners[v] != h.owner && before[owners[v]] <= own:
			t.Fatalf("workspace %q with %d gave way to %q with %d", owners[v], before[owners[v]], h.owner, own)
		case !stalled[v] && owners[v] == h.owner && v.number < h.number && h.Phase() == Reading:
			t.Fatal("an older request that makes progress gave way to a younger one")
		}
	}
}

// check checks the sums of the account.
func (f *fixture) check(t *rapid.T, open []*Holder) {
	var used contract.Bytes
	byOwner := make(map[contract.WorkspaceID]contract.Bytes)
	for _, h := range open {
		if h.taken < 0 || h.Evicted() && h.taken != 0 || h.closed && h.taken != 0 {
			t.Fatalf("a holder holds %d", h.taken)
		}
		if c := f.charge(h.taken); c > 0 {
			used += c
			byOwner[h.owner] += c
		}
	}
	if used != f.used || used > f.opts.Total || fmt.Sprint(byOwner) != fmt.Sprint(f.byOwner) {
		t.Fatalf("%d is held of %d, the account says %d; %v, the account says %v", used, f.opts.Total, f.used, byOwner, f.byOwner)
	}
	for owner, n := range f.running {
		if n < 1 || owner != "" && float64(n) > f.opts.WorkspaceShare*float64(f.opts.MaxRequests) {
			t.Fatalf("workspace %q has %d requests", owner, n)
		}
	}
}

// TestStalledGivesWay guards against a crowd that stops short of its end and keeps everything until its deadline.
func TestStalledGivesWay(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	first, second := f.open(""), f.open("")
	is.True(first.Take(500, f.now))
	f.now = f.now.Add(time.Second / 2)
	is.True(second.Take(500, f.now))
	second.Progress(f.now)
	f.now = f.now.Add(time.Second / 2)
	third := f.open("")
	is.True(third.Take(500, f.now))
	is.True(first.Evicted()) // no progress for a second
	is.True(!second.Evicted())
	is.True(!f.open("").Take(500, f.now)) // the others make progress
	is.Equal(f.Stats().Denied, int64(1))
}

// TestAgeIsThatOfTheRequest guards against a connection that is kept open for the sake of its age: its next request is
// younger than one that has begun before.
func TestAgeIsThatOfTheRequest(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	kept, other := f.open(""), f.open("")
	kept.End(f.now)
	is.True(other.Take(600, f.now))
	is.True(!kept.Take(600, f.now))
	is.True(!other.Evicted())
}

// TestRunningKeepsItsMemory guards against requests that are ended although they may have run, and against
// requests that give way although it does not help.
func TestRunningKeepsItsMemory(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	oldest, running, reading := f.open(""), f.open(""), f.open("")
	is.True(running.Take(600, f.now))
	is.True(reading.Take(300, f.now))
	is.True(running.Run(f.now))
	f.now = f.now.Add(time.Hour)
	is.True(!oldest.Take(500, f.now)) // the one that is read holds too little
	is.Equal(len(f.evicted), 0)
	is.True(oldest.Take(300, f.now))
	is.True(reading.Evicted())
	is.True(!reading.Run(f.now))
	is.True(!running.Evicted())
}

// TestWorkspaceThatHoldsMoreIsNotServed checks that a workspace does not take from one that holds less.
func TestWorkspaceThatHoldsMoreIsNotServed(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	less, more := f.open("less"), f.open("more")
	is.True(less.Take(410, f.now))
	is.True(more.Take(510, f.now))
	f.now = f.now.Add(time.Hour)
	more.Progress(f.now)
	is.True(!more.Take(200, f.now))
	is.True(!less.Evicted())
}

// TestOldestIsServed guards against requests that end each other shortly before their ends: while all make
// progress, the oldest gets all that it needs.
func TestOldestIsServed(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	oldest := f.open("")
	for range 9 {
		is.True(oldest.Take(100, f.now))
		for range 5 {
			f.open("").Take(300, f.now)
		}
		f.now = f.now.Add(time.Second / 4)
		oldest.Progress(f.now)
	}
	is.True(!oldest.Evicted())
}

// TestWorkspaceThatHoldsLessIsServed guards against a crowd of one workspace that takes everything: another
// workspace gets its part, although the crowd makes progress.
func TestWorkspaceThatHoldsLessIsServed(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	for range 6 {
		f.open("crowd").Take(150, f.now)
	}
	is.True(f.byOwner["crowd"] >= 600)
	is.True(f.byOwner["crowd"] <= 750)
	other := f.open("other")
	for range 4 {
		is.True(other.Take(100, f.now))
	}
	is.True(!other.Evicted())
}

// TestSingleRequestMayTakeAll guards against a request within the limits that is refused in calm, because it takes more
// than the share of its workspace.
func TestSingleRequestMayTakeAll(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	h := f.open("a")
	is.True(h.Take(1000, f.now))
	is.True(!f.open("a").Take(20, f.now)) // the share holds for all others
}

// TestRequestsOfOneWorkspace guards against a crowd whose requests take all connections while upstreams are slow.
func TestRequestsOfOneWorkspace(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	var last *Holder
	for range 6 {
		last = f.Open(func(Phase) {}, f.now)
		is.True(last.Begin("crowd"))
	}
	is.True(!f.Open(func(Phase) {}, f.now).Begin("crowd"))
	is.True(f.Open(func(Phase) {}, f.now).Begin("other"))
	last.End(f.now)
	is.True(last.Begin("crowd"))
}

// TestReadAll checks what is read and held, for known and unknown lengths.
func TestReadAll(t *testing.T) {
	const limit = 600
	f := newFixture()
	now := func() time.Time { return f.now }
	for _, test := range []struct {
		name   string
		size   int
		length int64
		want   error
	}{
		{"empty", 0, 0, nil},
		{"empty, of unknown length", 0, UnknownLength, nil},
		{"small", 100, 100, nil},
		{"limit, of unknown length", limit, UnknownLength, nil},
		{"over the limit, of unknown length", limit + 1, UnknownLength, ErrTooLarge},
		{"over the limit", limit + 1, limit + 1, ErrTooLarge},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := f.open("")
			defer h.Close()
			got, err := ReadAll(strings.NewReader(strings.Repeat("a", test.size)), limit, test.length, h, now)
			is.True(errors.Is(err, test.want))
			if err == nil {
				is.True(bytes.Equal(got, bytes.Repeat([]byte("a"), test.size)))
			}
			is.Equal(h.taken, contract.Bytes(cap(got)))
		})
	}
}

// TestReadAllIsDenied checks that a body for which there is no room holds nothing afterwards.
func TestReadAllIsDenied(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	h := f.open("")
	_, err := ReadAll(io.LimitReader(zeros{}, 1<<20), 1<<20, UnknownLength, h, func() time.Time { return f.now })
	is.True(errors.Is(err, ErrNoRoom))
	is.Equal(f.Stats().Used, contract.Bytes(0))
}

// zeros is an endless reader.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }
