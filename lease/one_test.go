package lease

import (
	"encoding/json"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woaddoor/contract"
)

// Timings of the drawn fleet: a lease, and the longest that a call is under way.
const (
	drawnLength = 3 * time.Second
	drawnCall   = drawnLength/marginPart - time.Millisecond
)

// fleet is a store and VMs that hold a lease by turns and make calls of a platform that
// takes every number. VMs are suspended, killed and started anew under their names, tell
// each other of the lease, and give it up; the store is away, loses answers and carries
// out writes late.
type fleet struct {
	t     *rapid.T
	now   time.Time
	seen  Seen
	vms   []*drawnVM
	late  []Proposal // writes without an answer that may be carried out yet
	calls []drawnCallAt
	// Of the calls that have arrived: the last number and VM, the VM of each number, and
	// when each VM's last one came.
	last    contract.FencingNumber
	lastVM  contract.VMID
	numbers map[contract.FencingNumber]contract.VMID
	arrived map[contract.VMID]time.Time
	// records are those that the store has taken, and holders how many lives acted.
	records int
	holders map[contract.VMLife]bool
}

type drawnVM struct {
	name   contract.VMID
	life   contract.Incarnation
	holder *Holder
}

type drawnCallAt struct {
	from    contract.VMID
	number  contract.FencingNumber
	arrives time.Time
}

func newFleet(t *rapid.T, vms int) *fleet {
	f := &fleet{
		t: t, now: time.Unix(0, 0), numbers: make(map[contract.FencingNumber]contract.VMID),
		arrived: make(map[contract.VMID]time.Time), holders: make(map[contract.VMLife]bool),
	}
	for i := range vms {
		f.vms = append(f.vms, &drawnVM{name: contract.VMID("vm" + strconv.Itoa(i))})
		f.start(f.vms[i])
	}
	return f
}

// start begins a new life of a VM, which knows nothing.
func (f *fleet) start(v *drawnVM) {
	v.life++
	v.holder = NewHolder(Options{Self: contract.VMLife{VM: v.name, Incarnation: v.life}, Length: drawnLength})
}

func (f *fleet) drawn() *drawnVM { return f.vms[rapid.IntRange(0, len(f.vms)-1).Draw(f.t, "vm")] }

// drawnActs are what happens, each as often as it stands here.
var drawnActs = []string{
	"step", "step", "step", "step", "step", "step", "step", "step", "call", "call", "call", "call", "call", "call", "tell", "tell",
	"time", "time", "time", "lost", "lost", "late", "away", "look", "look", "resign", "kill", "all killed", "suspended",
}

func (f *fleet) act() {
	v := f.drawn()
	switch rapid.SampledFrom(drawnActs).Draw(f.t, "act") {
	case "step":
		f.step(v, true)
	case "lost":
		f.step(v, false)
	case "late":
		f.carryOutLate()
	case "away": // the process decides and the store does nothing
		v.holder.Propose(f.now)
	case "call":
		f.call(v)
	case "tell":
		f.tell(v, f.drawn())
	case "look":
		if f.seen.Version != 0 {
			v.holder.Saw(f.seen, f.now)
		}
	case "resign":
		f.resign(v)
	case "kill":
		f.start(v)
	case "all killed":
		for _, v := range f.vms {
			f.start(v)
		}
	case "time":
		f.pass(time.Duration(rapid.IntRange(0, 800).Draw(f.t, "ms")) * time.Millisecond)
	case "suspended":
		f.pass(time.Duration(rapid.IntRange(1, 9).Draw(f.t, "s")) * time.Second)
	}
}

// step reads where that is needed and writes what is due. Time passes between the decision
// and the write, as for a process that is suspended there.
func (f *fleet) step(v *drawnVM, reply bool) {
	if v.holder.Unread(f.now) {
		if f.seen.Version == 0 {
			v.holder.Gone(f.now)
		} else {
			v.holder.Saw(f.seen, f.now)
		}
	}
	if v.holder.Mine() && rapid.Bool().Draw(f.t, "fixes") {
		v.holder.Fix(json.RawMessage(strconv.Itoa(f.records+1)), rapid.Bool().Draw(f.t, "urgent"))
	}
	p, ok := v.holder.Propose(f.now)
	if !ok {
		return
	}
	asked := f.now
	if rapid.IntRange(0, 3).Draw(f.t, "held up") == 0 {
		f.pass(time.Duration(rapid.IntRange(0, 5000).Draw(f.t, "held up ms")) * time.Millisecond)
	}
	if !reply && rapid.Bool().Draw(f.t, "carried out late") {
		f.late = append(f.late, p)
		return
	}
	taken := f.write(p)
	switch {
	case !reply:
	case taken:
		v.holder.Wrote(p, f.seen.Version, asked)
	default:
		v.holder.Saw(f.seen, f.now)
	}
}

// write carries out a write whose condition holds.
func (f *fleet) write(p Proposal) bool {
	if p.Version != f.seen.Version {
		return false
	}
	if record, _ := strconv.Atoi(string(p.Object.Record)); record < f.records {
		f.t.Fatalf("a record was taken back: %d after %d", record, f.records)
	} else {
		f.records = record
	}
	f.seen = Seen{p.Object, f.seen.Version + 1}
	return true
}

func (f *fleet) carryOutLate() {
	if len(f.late) > 0 {
		p := f.late[0]
		f.late = f.late[1:]
		f.write(p)
	}
}

// call has a VM make a call if it may, which arrives within its deadline.
func (f *fleet) call(v *drawnVM) {
	n, ok := v.holder.Ready(f.now, true)
	if !ok {
		return
	}
	f.holders[contract.VMLife{VM: v.name, Incarnation: v.life}] = true
	delay := time.Duration(rapid.Int64Range(0, int64(drawnCall)).Draw(f.t, "delay"))
	f.calls = append(f.calls, drawnCallAt{v.name, n, f.now.Add(delay)})
}

// tell has one VM tell another of the lease; the word may take a while.
func (f *fleet) tell(from, to *drawnVM) {
	s := from.holder.Seen()
	if s.Version == 0 || from == to {
		return
	}
	s.Object.Record = nil
	age := from.holder.Age(f.now)
	f.pass(time.Duration(rapid.IntRange(0, 900).Draw(f.t, "word ms")) * time.Millisecond)
	to.holder.Told(s, f.now.Add(-age))
}

// resign has a VM give the lease up, which it does only without a call under way.
func (f *fleet) resign(v *drawnVM) {
	if slices.ContainsFunc(f.calls, func(c drawnCallAt) bool { return c.from == v.name }) {
		return
	}
	p, ok := v.holder.Resign(f.now)
	if ok && f.write(p) {
		v.holder.Wrote(p, f.seen.Version, f.now)
	}
}

// pass lets time pass and calls arrive.
func (f *fleet) pass(d time.Duration) {
	f.now = f.now.Add(d)
	slices.SortStableFunc(f.calls, func(a, b drawnCallAt) int { return a.arrives.Compare(b.arrives) })
	for len(f.calls) > 0 && !f.calls[0].arrives.After(f.now) {
		f.arrive(f.calls[0])
		f.calls = f.calls[1:]
	}
}

func (f *fleet) arrive(c drawnCallAt) {
	if c.number < f.last {
		f.t.Fatalf("number %d of %s arrived after %d", c.number, c.from, f.last)
	}
	if other, used := f.numbers[c.number]; used && other != c.from {
		f.t.Fatalf("number %d was used by %s and %s", c.number, other, c.from)
	}
	if before, acted := f.arrived[c.from]; acted && f.lastVM != c.from && c.arrives.Sub(before) < drawnLength {
		f.t.Fatalf("%s acted, then %s, then %s again within %v", c.from, f.lastVM, c.from, c.arrives.Sub(before))
	}
	f.last, f.lastVM = c.number, c.from
	f.numbers[c.number], f.arrived[c.from] = c.from, c.arrives
}

// TestOneActs draws fleets in which everything fails. Before a platform that takes every
// number, none falls, none is of two VMs, no VM acts, then another, then the first again
// within one lease, and what a holder has fixed stays fixed.
func TestOneActs(t *testing.T) {
	most := 0
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, rapid.IntRange(2, 4).Draw(t, "vms"))
		for range rapid.IntRange(100, 1000).Draw(t, "acts") {
			f.act()
		}
		f.pass(drawnLength)
		most = max(most, len(f.holders))
	})
	if most < 3 {
		t.Errorf("at most %d lives acted in one run: the schedules are too tame", most)
	}
}

// take has a holder take the lease at once, and returns what the store then holds.
func take(t *testing.T, h *Holder, s Seen, now time.Time) Seen {
	t.Helper()
	is := is.New(t)
	p, ok := h.Propose(now)
	is.True(ok)
	is.Equal(p.Version, s.Version)
	h.Wrote(p, s.Version+1, now)
	return Seen{p.Object, s.Version + 1}
}

// holding returns a VM that has taken the lease, and what the store then holds.
func holding(t *testing.T, now time.Time) (*Holder, Seen) {
	t.Helper()
	a := newDrawn("a", 1)
	a.Gone(now)
	return a, take(t, a, Seen{}, now)
}

func newDrawn(name contract.VMID, life contract.Incarnation) *Holder {
	return NewHolder(Options{Self: contract.VMLife{VM: name, Incarnation: life}, Length: drawnLength})
}

// TestWhoResignedWaits shows three VMs that are stopped one after the other, each giving
// the lease up: the first, started anew, would act again within a second of its last call,
// after another had.
func TestWhoResignedWaits(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	resign := func(h *Holder, s Seen) Seen {
		p, ok := h.Resign(now)
		is.True(ok)
		h.Wrote(p, s.Version+1, now)
		return Seen{p.Object, s.Version + 1}
	}
	a := newDrawn("a", 1)
	a.Gone(now)
	s := resign(a, take(t, a, Seen{}, now))
	b := newDrawn("b", 1)
	b.Saw(s, now)
	s = resign(b, take(t, b, s, now))

	again := newDrawn("a", 2)
	again.Saw(s, now)
	_, ok := again.Propose(now)
	is.True(!ok)
	c := newDrawn("c", 1)
	c.Saw(s, now)
	_, ok = c.Propose(now)
	is.True(ok) // it has not acted
	_, ok = again.Propose(now.Add(drawnLength))
	is.True(ok)
}

// TestTakenWithItsRecord shows a VM that has heard of the lease from others, without its
// record. What the former holder had fixed would be gone if it wrote by that.
func TestTakenWithItsRecord(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	a, s := holding(t, now)
	a.Fix(json.RawMessage(`"fixed"`), true)
	s = take(t, a, s, now)
	is.Equal(string(s.Object.Record), `"fixed"`)

	b := newDrawn("b", 1)
	told := s
	told.Object.Record = nil
	b.Told(told, now)
	now = now.Add(drawnLength)
	_, ok := b.Propose(now)
	is.True(!ok)
	is.True(b.Unread(now))
	b.Saw(s, now)
	is.Equal(string(take(t, b, s, now).Object.Record), `"fixed"`)
}

// TestNumbersOutlastTheObject shows a lease whose object is gone from the store: a number
// that began anew would be lower than one that was used.
func TestNumbersOutlastTheObject(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	a, s := holding(t, now)
	a.Gone(now)
	is.True(take(t, a, Seen{}, now).Object.Fencing > s.Object.Fencing)
}

// TestFixedWithoutAnAnswer shows a renewal that is carried out and whose answer is lost. The
// holder makes another record meanwhile, for which the store has a newer object: to write that
// over what is fixed already would let two records of one thing be acted on.
func TestFixedWithoutAnAnswer(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	a, s := holding(t, now)
	a.Fix(json.RawMessage(`"first"`), true)
	p, ok := a.Propose(now)
	is.True(ok)
	carriedOut := Seen{p.Object, s.Version + 1}

	a.Fix(json.RawMessage(`"second"`), true)
	a.Saw(carriedOut, now) // the store says that another write was first
	is.True(a.Mine())
	p, ok = a.Propose(now.Add(drawnLength / marginPart))
	is.True(ok)
	is.Equal(string(p.Object.Record), `"first"`)
}

// TestRenewedWithItsRecord shows a renewal that is carried out and whose answer is lost, of which
// the holder hears from another VM, without the record: a renewal by that, or a call by what it
// does not know to be fixed, would undo what is fixed.
func TestRenewedWithItsRecord(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	a, s := holding(t, now)
	now = now.Add(drawnLength / marginPart)
	a.Fix(json.RawMessage(`"fixed"`), true)
	p, ok := a.Propose(now)
	is.True(ok)
	carriedOut := Seen{p.Object, s.Version + 1}

	told := carriedOut
	told.Object.Record = nil
	a.Told(told, now)
	is.True(a.Mine())
	_, ok = a.Ready(now, true)
	is.True(!ok)
	_, ok = a.Propose(now)
	is.True(!ok)
	is.True(a.Unread(now))
	a.Saw(carriedOut, now)
	_, ok = a.Ready(now, true)
	is.True(ok)
	is.Equal(string(a.Pending()), `"fixed"`)
}
