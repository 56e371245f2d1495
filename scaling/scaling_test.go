package scaling

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woaddoor/contract"
)

const service = contract.ServiceID("s")

// testLimits are those of a deployment: cheap upstreams at a seventh of the price.
var testLimits = Limits{Min: 1, Max: 46, Boot: 4 * time.Second, PreemptiblePrice: 0.15}

var centres = []contract.DataCentreID{"a", "b", "c", "d"}

// cloud gives what is ordered: preemptible upstreams after a while, standard ones too, and it
// takes all preemptible ones of a data centre away when it likes.
type cloud struct {
	situation Situation
	// coming are upstreams that have been ordered, by when they serve.
	coming map[Subject][]time.Time
	now    time.Time
	orders int
	price  float64 // of all seconds so far, in those of a standard upstream
}

func newCloud(each int, limits Limits) *cloud {
	c := &cloud{coming: make(map[Subject][]time.Time), now: time.Unix(0, 0)}
	c.situation = Situation{
		Service: service, Limits: limits, Sized: make(map[contract.DataCentreID]int),
		Stands: make(map[contract.DataCentreID]Stand), Ordered: make(map[Subject]int),
	}
	for _, dc := range centres {
		c.situation.Sized[dc] = each
		c.situation.Stands[dc] = Stand{Standard: each}
	}
	return c
}

// step lets half a second pass and carries out what is decided.
func (c *cloud) step() {
	const span = 500 * time.Millisecond
	c.now = c.now.Add(span)
	for _, dc := range centres {
		for _, preemptible := range []bool{false, true} {
			c.arrive(Subject{service, dc, preemptible})
		}
		st := c.situation.Stands[dc]
		c.price += span.Seconds() * (float64(st.Standard) + c.situation.Limits.PreemptiblePrice*float64(st.Preemptible))
	}
	for _, o := range Next(c.situation) {
		c.orders++
		c.carryOut(o)
	}
}

// arrive lets the upstreams serve that have booted. The order is not under way any more then.
func (c *cloud) arrive(x Subject) {
	due := c.coming[x]
	for len(due) > 0 && !due[0].After(c.now) {
		c.change(x, 1)
		due = due[1:]
	}
	c.coming[x] = due
	if len(due) == 0 {
		delete(c.situation.Ordered, x)
	}
}

func (c *cloud) change(x Subject, n int) {
	st := c.situation.Stands[x.DataCentre]
	if x.Preemptible {
		st.Preemptible += n
	} else {
		st.Standard += n
	}
	c.situation.Stands[x.DataCentre] = st
}

func (c *cloud) carryOut(o Order) {
	there := c.situation.Stands[o.DataCentre].of(o.Preemptible)
	if o.Count < there {
		c.coming[o.Subject] = nil
		c.change(o.Subject, o.Count-there)
		return
	}
	for range o.Count - there - len(c.coming[o.Subject]) {
		c.coming[o.Subject] = append(c.coming[o.Subject], c.now.Add(c.situation.Limits.Boot))
	}
	c.situation.Ordered[o.Subject] = o.Count
}

// serving returns how many upstreams serve.
func (c *cloud) serving() int {
	n := 0
	for _, st := range c.situation.Stands {
		n += st.Standard + st.Preemptible
	}
	return n
}

func (c *cloud) run(d time.Duration) (least int) {
	least = c.serving()
	for end := c.now.Add(d); c.now.Before(end); {
		c.step()
		least = min(least, c.serving())
	}
	return least
}

// TestCheapOnesTakeThePlaceOfOthers starts with upstreams that all cost the full price. Cheap
// ones take their place, at no moment do fewer serve than before, and nothing is ordered once
// they stand.
func TestCheapOnesTakeThePlaceOfOthers(t *testing.T) {
	is := is.New(t)
	c := newCloud(22, testLimits)
	is.Equal(c.run(20*time.Second), 88)
	for _, dc := range centres {
		is.Equal(c.situation.Stands[dc], Stand{Standard: 1, Preemptible: 21})
	}
	before, orders := c.price, c.orders
	c.run(time.Minute)
	is.Equal(c.orders, orders) // no flapping
	is.True(c.price-before < 0.25*88*60)
}

// TestLossOfDataCentres takes the cheap upstreams of two data centres away at once, under work
// that was known before: what is left keeps up, and what is gone is ordered again.
func TestLossOfDataCentres(t *testing.T) {
	is := is.New(t)
	c := newCloud(22, testLimits)
	c.situation.Need = 80
	c.run(30 * time.Second)
	for _, dc := range centres[:lostCentres] {
		st := c.situation.Stands[dc]
		st.Preemptible = 0
		c.situation.Stands[dc] = st
	}
	is.True(float64(c.serving()) >= crowding*c.situation.Need)
	is.True(!c.situation.short())
	standard := 0
	c.run(20 * time.Second)
	for _, st := range c.situation.Stands {
		standard += st.Standard
	}
	is.Equal(standard, len(centres)) // none at the full price, since the work is done
	is.True(float64(c.serving()) >= c.situation.Need)
}

// TestMoreWork has the work grow beyond what stands: more are ordered, cheap ones where there
// are any.
func TestMoreWork(t *testing.T) {
	is := is.New(t)
	for _, limits := range []Limits{testLimits, {Min: 1, Max: 46, Boot: 4 * time.Second}} {
		c := newCloud(10, limits)
		c.run(20 * time.Second)
		c.situation.Need = 100
		c.run(20 * time.Second)
		is.True(c.serving() >= 100)
		c.situation.Need = 10_000
		c.run(20 * time.Second)
		is.True(c.serving() <= len(centres)*limits.Max)
	}
}

// TestNoneDuringARelease has a release stand beside what serves: an order would take away
// upstreams that it needs. One that the work needs is made all the same.
func TestNoneDuringARelease(t *testing.T) {
	is := is.New(t)
	c := newCloud(22, testLimits)
	c.situation.Releasing = true
	is.Equal(len(Next(c.situation)), 0)
	c.situation.Need = 1000
	is.True(len(Next(c.situation)) > 0)
	c.situation.Released = true
	is.Equal(len(Next(c.situation)), 0)
}

// TestBounds draws situations: orders stay within the bounds of both kinds together, and none
// repeats what is there.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Situation{
			Service: service, Sized: make(map[contract.DataCentreID]int), Stands: make(map[contract.DataCentreID]Stand), Ordered: make(map[Subject]int),
			Need: rapid.Float64Range(0, 300).Draw(t, "need"), Releasing: rapid.Bool().Draw(t, "releasing"),
		}
		s.Limits = Limits{Min: rapid.IntRange(0, 3).Draw(t, "min"), Max: rapid.IntRange(3, 40).Draw(t, "max"), PreemptiblePrice: rapid.Float64Range(0, 1.5).Draw(t, "price")}
		for _, dc := range centres[:rapid.IntRange(1, 4).Draw(t, "centres")] {
			s.Sized[dc] = rapid.IntRange(0, 40).Draw(t, "sized")
			s.Stands[dc] = Stand{Standard: rapid.IntRange(0, 20).Draw(t, "standard"), Preemptible: rapid.IntRange(0, 20).Draw(t, "preemptible")}
			if rapid.Bool().Draw(t, "ordered") {
				s.Ordered[Subject{service, dc, true}] = rapid.IntRange(0, 20).Draw(t, "count")
			}
		}
		for _, o := range Next(s) {
			if o.Count < 0 || o.Count > s.Limits.Max {
				t.Fatalf("%+v is beyond 0 to %d", o, s.Limits.Max)
			}
			if o.Count == s.there(o.Subject) {
				t.Fatalf("%+v is there already", o)
			}
			if o.Preemptible && o.Count > s.there(o.Subject) && o.Count+s.there(Subject{service, o.DataCentre, false}) > s.Limits.Max {
				t.Fatalf("%+v is too many beside %d", o, s.there(Subject{service, o.DataCentre, false}))
			}
		}
	})
}

// TestNeed replays the work of a minute: prompts that take 0.2 s to read, 50 a second, for
// which answers may begin within 4 s. Ten upstreams would read all the time; at 14, prompts
// wait for as long as they may.
func TestNeed(t *testing.T) {
	is := is.New(t)
	w := Work{Reading: 5, Prompts: 25}.Plus(Work{Reading: 5, Prompts: 25})
	is.Equal(w.Need(64, 4*time.Second), 10/(0.5/0.7))
	is.Equal(w.Need(64, 0), 20.0)
	is.True(w.Need(64, time.Second) > 20) // hardly any wait is allowed
	w.Places = 640
	is.Equal(w.Need(64, 4*time.Second), 20.0)
}

// TestPeak shows that a need counts for a minute after it has passed, and the largest since
// after that.
func TestPeak(t *testing.T) {
	is := is.New(t)
	var p Peak
	at := time.Unix(0, 0)
	is.Equal(p.Note(10, at), 10.0)
	is.Equal(p.Note(3, at.Add(20*time.Second)), 10.0)
	is.Equal(p.Note(5, at.Add(40*time.Second)), 10.0)
	is.Equal(p.Note(4, at.Add(61*time.Second)), 5.0)
	is.Equal(p.Note(12, at.Add(62*time.Second)), 12.0)
}
