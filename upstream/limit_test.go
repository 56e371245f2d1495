package upstream

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woaddoor/contract"
)

func named(perSecond float64) Limit { return Limit{LimitNamed, perSecond} }

var noLimit = Limit{Word: LimitNone}

// TestLimitOfAnswers takes in what answers say, in the order in which they come. One to a
// request that was sent before the limit was learnt says nothing newer: answers overtake
// each other.
func TestLimitOfAnswers(t *testing.T) {
	type answer struct {
		said      Limit
		sent, got int // seconds
	}
	for name, c := range map[string]struct {
		answers []answer
		want    Limit
	}{
		"named":                           {[]answer{{named(2), 0, 1}}, named(2)},
		"over":                            {[]answer{{named(2), 0, 1}, {noLimit, 1, 2}}, noLimit},
		"one without it, sent before":     {[]answer{{named(2), 1, 2}, {noLimit, 1, 3}}, named(2)},
		"another number":                  {[]answer{{named(2), 0, 1}, {named(8), 1, 2}}, named(8)},
		"another number, sent before":     {[]answer{{named(2), 0, 1}, {named(8), 0, 2}}, named(2)},
		"over, and a late one that names": {[]answer{{named(2), 0, 1}, {noLimit, 2, 3}, {named(2), 1, 4}}, noLimit},
		"over, and named anew":            {[]answer{{named(2), 0, 1}, {noLimit, 2, 3}, {named(4), 3, 4}}, named(4)},
		"untold":                          {[]answer{{named(2), 0, 1}, {Limit{}, 2, 3}}, named(2)},
		"never named":                     {[]answer{{noLimit, 0, 1}}, Limit{}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(1000, 0)
			tb := saidTable(1, start)
			at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
			life := contract.Life{Upstream: "u1", Born: 1}
			for _, a := range c.answers {
				tb.TakeLimit(life, a.said, at(a.sent), at(a.got))
			}
			is.Equal(tb.Limited(life), c.want.Word == LimitNamed)
			if h := tb.said[life]; h != nil {
				is.Equal(h.limit.Limit, c.want)
			} else {
				is.Equal(c.want, Limit{})
			}
		})
	}
}

// TestLimitThroughLists keeps what a life has named through lists that name it, leave it out
// and bring it back; a new life has named nothing.
func TestLimitThroughLists(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tb := saidTable(1, now)
	tb.TakeLimit(contract.Life{Upstream: "u1", Born: 1}, named(0.1), now, now)
	is.Equal(tb.CountLimited(), 1)
	saidList(tb, now)
	is.Equal(tb.CountLimited(), 0)
	saidList(tb, now, saidEntry("u1", "d", 1))
	is.Equal(tb.CountLimited(), 1)
	saidList(tb, now, saidEntry("u1", "d", 2))
	is.Equal(tb.CountLimited(), 0)
}

// TestLimitsAgree tells three VMs the same news, each in an order of its own, some of it
// twice: they know the same in the end.
func TestLimitsAgree(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		news := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) LimitKnown {
			limit := noLimit
			if rapid.Bool().Draw(r, "named") {
				limit = named(float64(rapid.IntRange(0, 3).Draw(r, "per second")))
			}
			return LimitKnown{contract.Life{Upstream: "u1", Born: 1}, limit, uint64(rapid.IntRange(1, 4).Draw(r, "version"))}
		}), 1, 8).Draw(r, "news")
		var known []LimitKnown
		for range 3 {
			var l limit
			for _, k := range append(rapid.Permutation(news).Draw(r, "order"), news[0]) {
				l.merge(k, rapid.Bool().Draw(r, "fresh"), time.Unix(1000, 0))
			}
			known = append(known, l.known(contract.Life{}))
		}
		if known[0] != known[1] || known[1] != known[2] {
			r.Fatalf("three VMs know %v", known)
		}
	})
}

// TestShares gives the parts of limits: owners together send the limit, and in any 4 s no more
// than the upstream bears.
func TestShares(t *testing.T) {
	for _, vms := range []int{1, 2, 20, 59, 295} {
		for _, perSecond := range []float64{0, 0.1, 0.4, 0.99, 1, 1.6, 2, 7.5, 8, 20, 59, 200, 5000} {
			is := is.New(t)
			owners, s := shareOf(perSecond, vms)
			is.True(owners >= 1 && owners <= vms)
			each := float64(time.Second) / float64(s.every)
			is.True(float64(owners)*each <= 1.001*max(perSecond, 1))
			is.True(float64(owners)*each >= 0.999*perSecond) // none is left unused
			is.True(float64(owners*s.most) <= 1.5*perSecond*4+5)
			is.True(float64(owners*s.most) >= perSecond*limitWindow.Seconds())
		}
	}
}

// TestPace sends whenever a share allows it: what goes in any window fits, a pause saves no
// more than the burst, a lower limit counts what was sent under the higher one, a request
// that was not sent is given back, and what is beyond the limit is known.
func TestPace(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	_, high := shareOf(10, 1)
	_, low := shareOf(2, 1)
	p := pace{from: now}
	is.True(p.in(high, now) > 0) // nothing is saved at first
	greedy := func(s share, d time.Duration) (n int) {
		for end := now.Add(d); now.Before(end); now = now.Add(10 * time.Millisecond) {
			for p.in(s, now) == 0 {
				p.use(s, now)
				n++
			}
		}
		return n
	}
	is.True(greedy(high, limitWindow) >= high.most-2)
	is.True(p.beyond(high, now))
	is.Equal(greedy(low, 2*time.Second), 0) // what was sent in the last 4 s fills the lower limit
	greedy(low, limitWindow)
	is.True(greedy(low, limitWindow) <= low.most)
	now = now.Add(time.Minute)
	is.True(!p.beyond(low, now))
	is.Equal(greedy(low, 10*time.Millisecond), limitBurst)
	is.True(p.beyond(low, now))
	is.True(p.in(low, now) > 0)
	p.giveBack(low)
	is.Equal(p.in(low, now), time.Duration(0))
}

// TestBeyondLimit gives an upstream that has named a limit more than that only where others
// are busy, and never more than it bears.
func TestBeyondLimit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tb := saidTable(1, now) // u1 in this data centre, u2 in another
	tb.SetOwners("d", Owners{Self: "vm", VMs: []contract.VMID{"vm"}})
	tb.TakeLimit(contract.Life{Upstream: "u1", Born: 1}, named(2), now, now)
	send := func(busy bool) (came int) {
		for range int(limitWindow / (100 * time.Millisecond)) {
			now = now.Add(100 * time.Millisecond)
			if busy {
				for range 100 {
					tb.Sent("u2")
				}
			}
			id := picked(tb, now)
			tb.Sent(id)
			if id == "u1" {
				came++
			}
			tb.Done(id, Good, time.Millisecond, now)
			if busy {
				for range 100 {
					tb.Done("u2", Abandoned, 0, now)
				}
			}
		}
		return came
	}
	now = now.Add(time.Minute)
	idle := send(false)
	now = now.Add(time.Minute)
	busy := send(true)
	_, s := shareOf(2, 1)
	t.Logf("%d where the other is idle, %d where it is busy, %d are borne", idle, busy, s.most)
	is.True(idle <= int(2*limitWindow.Seconds())+limitBurst)
	is.True(busy > idle)
	is.True(busy <= s.most)
}

// TestOldNewsAsksNobodyLess has another VM tell again and again what both know already, though
// nobody hears an answer: an owner asks all the same.
func TestOldNewsAsksNobodyLess(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tb := saidTable(1, now)
	tb.SetOwners("d", Owners{Self: "vm", VMs: []contract.VMID{"vm"}})
	life := contract.Life{Upstream: "u1", Born: 1}
	tb.TakeLimit(life, named(0), now, now)
	known := tb.Limits(1)[0]
	now = now.Add(askEvery)
	tb.HearLimit(known, true, now)
	is.True(tb.unasked(anyEngine, now) == nil) // another VM has just heard of it
	now = now.Add(askEvery)
	tb.HearLimit(known, false, now)
	is.True(tb.unasked(anyEngine, now) != nil)
}
