package site

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"woaddoor/contract"
)

// Timing is how one kind of the store's objects is kept up with.
type Timing struct {
	// Every is how long one watch is held open.
	Every time.Duration
	// Stale is how old the store's word may be before a VM that goes by what
	// others tell asks the store itself; Step is added for each place in the
	// order of its data centre, so that the next one is enough.
	Stale, Step time.Duration
}

// Parts of a bound that Timing is made of. Watches may be cut without a word,
// all at once: half of the bound is left for the next one. A VM whose teller is
// gone has a quarter left to ask and to tell others.
const (
	everyPart = 2 // of the bound, divided
	stalePart = 0.75
	stepPart  = 8 // of the bound, divided
	// maxEvery keeps a change from being missed for long where a bound is wide.
	maxEvery = 5 * time.Second
)

// TimingFor returns the timing of a kind whose changes have to be in force
// everywhere within a bound after the store has taken them.
func TimingFor(bound time.Duration) Timing {
	bound = min(bound, everyPart*maxEvery)
	return Timing{Every: bound / everyPart, Stale: time.Duration(stalePart * float64(bound)), Step: bound / stepPart}
}

// Watcher is a VM that could watch.
type Watcher struct {
	VM       contract.VMID `cbor:"1,keyasint"`
	Strength int           `cbor:"2,keyasint,omitempty"`
}

// Place is where a VM stands among those that could ask the store.
type Place struct {
	// Near is its place in its data centre, DataCentre that of its data centre
	// among those that share a watcher; both from 0.
	Near, DataCentre int
	// Alone tells that no other VM of its data centre has answered it yet.
	Alone bool
}

const (
	// unsettledPlace is that of a VM that does not know the others yet.
	unsettledPlace = 4
	// fewPlaces is how many places wait about a step for each before them; later
	// ones wait ever longer, as the square.
	fewPlaces = 4
	// dataCentreStep lets one data centre's question answer the others': a call
	// and a word take milliseconds.
	dataCentreStep = 50 * time.Millisecond
	// introduced is how long a VM waits at the first start of the system, when
	// all start at once and no caller comes yet, for one to ask the store for
	// the others.
	introduced = 3 * time.Second
	// again is the same at a later start, when callers wait: as long as another VM
	// takes to answer. One that nobody has answered by then asks the store itself,
	// since the others may all have started again: with 0.4 s and waiting for its
	// place a fleet of six served 0.5 s later after the loss of all.
	again = 200 * time.Millisecond
)

// wait returns what a VM waits beyond the staleness of the word. The first places of a
// data centre come one after the other, so that one that the store serves is found
// within the bound; then ever fewer, since a store that has turned several away, here
// and in the other data centres, is away for all. With all places beyond the eighth at
// once a store that was away for 7 s was asked by each of 295 VMs: 2,324 calls a day.
// A VM that no other answers has nobody before it.
func (p Place) wait(t Timing) time.Duration {
	steps := p.Near + p.Near*p.Near/fewPlaces
	return t.Step*time.Duration(steps) + dataCentreStep*time.Duration(p.DataCentre)
}

// Places among VMs that start together while callers wait.
const (
	// wantedStep is what each waits for the one before it: a short list is read and
	// told within it. A store served 80 pages of 500 objects a second: 281 VMs that
	// each read 3,000 upstreams at once had them after 4 s and more.
	wantedStep = 100 * time.Millisecond
	// wantedPlaces is how many wait for each other, and from how many places a VM draws
	// its own that does not know the others.
	wantedPlaces = 10
	// aloneStep takes the place of wantedStep for a VM that knows no other yet: its
	// first caller is served within firstWait.
	aloneStep = 5 * time.Millisecond
)

// wantedWait returns what a VM waits for others of its data centre that callers come to
// as well, before it asks the store.
func (p Place) wantedWait(drawn int) time.Duration {
	if p.Alone {
		return aloneStep * time.Duration(drawn)
	}
	return wantedStep * time.Duration(min(p.Near, wantedPlaces))
}

// Duty decides whether this VM watches a kind of the store's objects for the
// others, or goes by what they tell. It is a pure state machine; its owner locks
// it.
//
// Whoever finds the store's word stale begins to watch, and goes on until it
// hears of another VM that watches and comes before it. So one VM watches where
// all can hear one another, and one on each side of a cut; nobody has to agree on
// who lives.
type Duty struct {
	self   Watcher
	timing Timing
	// asks is from when on a VM that knows nothing asks the store, but for its
	// place: zero for one that expects nobody to tell it.
	asks time.Time
	// wanted is since when callers wait for what this VM does not know; zero while
	// none does. drawn is its place among those that ask for them while it does not
	// know the others.
	wanted time.Time
	drawn  int
	// fresh is when the store last said that nothing newer is there, to whichever
	// VM.
	fresh time.Time
	// lead is the first in order of the VMs that are known to watch, and leadAt
	// when the store last answered it.
	lead     Watcher
	leadAt   time.Time
	watching bool
	failing  bool
}

// NewDuty returns the duty of a VM that knows nothing yet, and asks the store for all
// there is from a time on.
func NewDuty(self Watcher, t Timing, asks time.Time) *Duty {
	return &Duty{self: self, timing: t, asks: asks}
}

// Watches tells whether this VM is to ask the store now. known tells whether it
// knows the kind at all.
func (d *Duty) Watches(known bool, p Place, now time.Time) bool {
	d.watching = d.watching || now.After(d.Due(known, p))
	return d.watching
}

// Due returns after when this VM is to ask the store, unless it is told before.
func (d *Duty) Due(known bool, p Place) time.Time {
	switch {
	case !known && !d.wanted.IsZero():
		return d.wanted.Add(p.wantedWait(d.drawn))
	case !known:
		return d.asks.Add(p.wait(d.timing))
	}
	return d.fresh.Add(d.timing.Stale + p.wait(d.timing))
}

// Wanted notes that callers wait for what this VM may not know. drawn is its place among
// those that ask the store for them, as long as it does not know the others.
func (d *Duty) Wanted(drawn int, now time.Time) { d.wanted, d.drawn = now, drawn }

// Asked notes how this VM's own question ended.
func (d *Duty) Asked(ok bool, now time.Time) {
	d.failing = !ok
	if ok {
		d.fresh = now
		d.follow(d.self, now, now)
	}
}

// Told takes in that the store had answered a VM at a time, and lead, which comes
// first of those that watch, at leadAt. It tells whether the store's word became
// fresher by more than words differ in age, or another VM leads.
func (d *Duty) Told(when time.Time, lead Watcher, leadAt, now time.Time) bool {
	led := d.lead
	d.follow(lead, leadAt, now)
	if d.lead != d.self && now.Sub(d.leadAt) < d.timing.Stale && (d.failing || d.lead.before(d.self)) {
		d.watching = false
	}
	news := d.lead != led || when.Sub(d.fresh) > d.timing.Every/2
	if when.After(d.fresh) {
		d.fresh = when
	}
	return news
}

// follow takes in that a VM watches, unless one that comes before it does.
func (d *Duty) follow(v Watcher, at, now time.Time) {
	switch {
	case v == d.lead:
		if at.After(d.leadAt) {
			d.leadAt = at
		}
	case now.Sub(d.leadAt) >= d.timing.Stale && at.After(d.leadAt), now.Sub(at) < d.timing.Stale && v.before(d.lead):
		d.lead, d.leadAt = v, at
	}
}

// Age returns how old the store's word is.
func (d *Duty) Age(now time.Time) time.Duration { return now.Sub(d.fresh) }

// before orders two VMs that both watch, the same at both: the stronger one first.
func (w Watcher) before(o Watcher) bool {
	if w.Strength != o.Strength {
		return w.Strength > o.Strength
	}
	return cmp.Or(cmp.Compare(w.hash(), o.hash()), cmp.Compare(w.VM, o.VM)) < 0
}

func (w Watcher) hash() uint64 { return xxhash.Sum64String("watch\x00" + string(w.VM)) }
