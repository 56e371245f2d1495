package upstream

import (
	"slices"
	"time"

	"woaddoor/contract"
)

// An upstream is cold for a while after its start and falls over when it gets much
// more than it bears then. The bound is on the sends of all VMs together, and no VM
// knows at the moment of a send what the others send. So each cold upstream has a few
// owners among the VMs of its data centre, the same at every VM without a word between
// them (rendezvous hashing), and each owner may send it a whole number of requests a
// second; the other VMs send it nothing until it is warm.
//
// Owners together send half of the bound at the most, so that two views of who lives
// which have no owner in common stay within it. Equal shares for all VMs would be less
// than one request a second each where VMs are many: 61 VMs that each send one at the
// same moment are three times over a bound of 20.

// ColdBound is what an upstream of a service may get while it is cold. The zero value
// is of one that is never cold.
type ColdBound struct {
	// For is how long an upstream stays cold after a start.
	For time.Duration
	// Bears is how many requests a second it bears, and Most how many may come to it
	// in any second, from all VMs together.
	Bears, Most float64
}

// coldViews is how many views of who lives may have no owner in common and stay
// within the bound together: those of the two sides of a cut, or of a start.
const coldViews = 2

// share returns how many owners a cold upstream has among a number of VMs, and how
// many requests each may send it in a second: as much as it bears, by as many owners
// as that allows, so that the loss of one costs little.
func (b ColdBound) share(vms int) (owners, each int) {
	whole := int(min(b.Bears, b.Most/coldViews))
	if whole == 0 && b.Most >= 1 {
		whole = 1
	}
	for k := 1; k <= min(vms, whole); k++ {
		if k*(whole/k) >= owners*each {
			owners, each = k, whole/k
		}
	}
	return owners, each
}

// coldness is what is believed of an upstream's warmth.
type coldness struct {
	bound ColdBound
	// until is how long it is taken to be cold; by its entry's word, by its start, or
	// by what this VM's connections show.
	until time.Time
	// broken tells that its connections have failed since it last answered, at
	// brokeAt for the last time.
	broken  bool
	brokeAt time.Time
	// told is the revision of the entry whose word was taken in.
	told contract.Revision
	// sends are when this VM sent to it, within coldWindow.
	sends []time.Time
}

// Times of cold upstreams.
const (
	// coldWindow is the time within which an owner's sends are counted: a second, and
	// by how much the way to an upstream may bring two sends closer together.
	coldWindow = 1100 * time.Millisecond
	// doubtFor is for how long after its connections failed an upstream is taken to
	// be cold beyond the time of a start: it may return at any moment, and the next
	// try of it may be as late as closedMax.
	doubtFor = closedMax
	// doubtPart is the part of a data centre's upstreams of a service whose
	// connections fail within doubtFor that makes all of them doubted: they may
	// return together, and most VMs have tried few of them. Where a data centre came
	// back cold after 2 s, 23 requests came to an upstream in a second where 20 were
	// allowed.
	doubtPart  = 3 // divided
	doubtLeast = 2
)

// Reasons for which an upstream is taken to be cold.
const (
	coldStarted   = "started"
	coldSays      = "its entry says so"
	coldBroken    = "its connections fail"
	coldCentre    = "connections to its data centre fail"
	coldReturned  = "answers again"
	coldTakenBack = "its data centre's evacuation was taken back"
)

// Chill tells that upstreams are taken to be cold that were not before.
type Chill struct {
	Why       string
	Upstreams []contract.UpstreamID
	For       time.Duration
}

// Chilled returns what has turned cold since it was last called.
func (t *Table) Chilled() []Chill {
	out := t.chilled
	t.chilled = nil
	return out
}

// chill takes an upstream to be cold for a time.
func (t *Table) chill(s *state, d time.Duration, why string, now time.Time) {
	was := now.Before(s.cold.until)
	if until := now.Add(d); until.After(s.cold.until) {
		s.cold.until = until
	}
	if was || d <= 0 {
		return
	}
	i := slices.IndexFunc(t.chilled, func(c Chill) bool { return c.Why == why })
	if i < 0 {
		i = len(t.chilled)
		t.chilled = append(t.chilled, Chill{Why: why, For: d})
	}
	t.chilled[i].Upstreams = append(t.chilled[i].Upstreams, s.upstream.ID)
}

// chillEntry takes in what an entry says of its upstream's warmth. One that this VM
// has not known before, after it had a list, has started in traffic.
func (t *Table) chillEntry(s *state, e Entry, b ColdBound, fresh bool, now time.Time) {
	s.cold.bound = b
	if b.Most == 0 {
		return
	}
	if fresh && t.listed {
		t.chill(s, b.For, coldStarted, now)
	}
	if e.Cold > 0 && e.Revision != s.cold.told {
		t.chill(s, e.Cold, coldSays, now)
	}
	s.cold.told = e.Revision
}

// feelCold takes in what the end of a request tells of an upstream's warmth: one whose
// connections fail may have ended, and returns cold.
func (t *Table) feelCold(s *state, r Result, now time.Time) {
	c := &s.cold
	if c.bound.Most == 0 {
		return
	}
	switch r {
	case Unreachable, Down, Broken:
		c.broken, c.brokeAt = true, now
		t.chill(s, c.bound.For+doubtFor, coldBroken, now)
		t.doubtCentre(s, now)
	case Good, Failed, TurnedAway:
		if c.broken {
			c.broken = false
			t.chill(s, c.bound.For, coldReturned, now)
		}
	case Abandoned, Full:
	}
}

// doubtCentre takes all upstreams like one in its data centre to be cold when the
// connections to many of them have failed of late.
func (t *Table) doubtCentre(like *state, now time.Time) {
	alike, broke := 0, 0
	for _, s := range t.centres[like.pool.DataCentre] {
		if s.cold.bound.Most == 0 {
			continue
		}
		alike++
		if !s.cold.brokeAt.IsZero() && now.Sub(s.cold.brokeAt) <= like.cold.bound.For+doubtFor {
			broke++
		}
	}
	if broke < max(alike/doubtPart, doubtLeast) {
		return
	}
	for _, s := range t.centres[like.pool.DataCentre] {
		if s.cold.bound.Most > 0 {
			t.chill(s, s.cold.bound.For+doubtFor, coldCentre, now)
		}
	}
}

// TakenBack takes in that the evacuation of a data centre was taken back: its
// upstreams may have turned cold shortly before.
func (t *Table) TakenBack(dc contract.DataCentreID, now time.Time) {
	for _, s := range t.centres[dc] {
		if s.cold.bound.Most > 0 {
			t.chill(s, s.cold.bound.For, coldTakenBack, now)
		}
	}
}

// warm tells whether an upstream may get one more request of this VM now, as far as
// its warmth goes.
func (t *Table) warm(s *state, now time.Time) bool {
	if !now.Before(s.cold.until) {
		return true
	}
	if len(t.owned.VMs) == 0 || s.pool.DataCentre != t.owned.dc {
		return false
	}
	owners, each := s.cold.bound.share(len(t.owned.VMs))
	if t.owned.Unsure {
		each = min(each, 1)
	}
	return t.placeAt(s) < owners && s.cold.sent(now) < each
}

// sent returns how many requests this VM has sent there within coldWindow.
func (c *coldness) sent(now time.Time) int {
	c.sends = slices.DeleteFunc(c.sends, func(at time.Time) bool { return now.Sub(at) >= coldWindow })
	return len(c.sends)
}

// picked notes that a request goes there. It is noted of warm ones too: they may
// turn cold at any moment.
func (c *coldness) picked(now time.Time) {
	if c.bound.Most == 0 {
		return
	}
	c.sends = append(c.sends[:c.sent(now)], now)
}

// Cold returns how many upstreams are taken to be cold.
func (t *Table) Cold(now time.Time) int {
	n := 0
	for _, s := range t.ordered {
		if now.Before(s.cold.until) {
			n++
		}
	}
	return n
}
