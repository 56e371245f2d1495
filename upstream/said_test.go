package upstream

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woaddoor/config"
	"woaddoor/contract"
)

// saidTable is a table with two upstreams, u1 in data centre d and u2 in e.
func saidTable(born int64, now time.Time) *Table {
	t := NewTable(Options{Listed: true})
	saidList(t, now, saidEntry("u1", "d", born), saidEntry("u2", "e", 1))
	return t
}

func saidEntry(id, dc string, born int64) Entry {
	return Entry{ID: contract.UpstreamID(id), Service: "s", Address: id, DataCentre: contract.DataCentreID(dc), Release: "v1", Slots: 4, Born: born}
}

func saidList(t *Table, now time.Time, entries ...Entry) {
	t.ConfigureList(List{Entries: entries, Connections: func(contract.ServiceID) int { return 100 }, Now: now})
}

var anyEngine = Query{Kind: config.EnginePool, DataCentre: "d"}

// picked returns which upstream a request goes to, "" for none.
func picked(t *Table, now time.Time) contract.UpstreamID {
	id, err := t.Pick(anyEngine, now, rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		return ""
	}
	return id
}

// TestWordHolds has an upstream say something, then whatever might end it too early. Each
// word holds until the upstream starts again, or the longest rest has passed.
func TestWordHolds(t *testing.T) {
	const rest = 3 * time.Second
	for name, c := range map[string]struct {
		said  Said
		then  func(tb *Table, now time.Time)
		after time.Duration
		gets  bool // whether u1 gets requests then
	}{
		"leaving":                       {Said{Leaving: true}, nil, time.Hour, false},
		"leaving, listed ready":         {Said{Leaving: true}, func(tb *Table, now time.Time) { saidList(tb, now, saidEntry("u1", "d", 1)) }, time.Second, false},
		"leaving, missing for a while":  {Said{Leaving: true}, func(tb *Table, now time.Time) { saidList(tb, now); saidList(tb, now, saidEntry("u1", "d", 1)) }, time.Second, false},
		"leaving, a good answer":        {Said{Leaving: true}, func(tb *Table, now time.Time) { tb.Done("u1", Good, 0, now) }, time.Second, false},
		"leaving, an answer without it": {Said{Leaving: true}, func(tb *Table, now time.Time) { tb.TakeWord(contract.Life{Upstream: "u1", Born: 1}, Said{}, now) }, time.Second, false},
		"leaving, another life":         {Said{Leaving: true}, func(tb *Table, now time.Time) { saidList(tb, now, saidEntry("u1", "d", 2)) }, time.Second, true},
		"leaving, said of another life": {Said{}, func(tb *Table, now time.Time) {
			tb.TakeWord(contract.Life{Upstream: "u1", Born: 7}, Said{Leaving: true}, now)
		}, time.Second, true},
		"rest":                {Said{Rest: rest}, nil, rest - 1, false},
		"rest over":           {Said{Rest: rest}, nil, rest, true},
		"rest, a good answer": {Said{Rest: rest}, func(tb *Table, now time.Time) { tb.Done("u1", Good, 0, now) }, rest - 1, false},
		"rest, turned away":   {Said{Rest: rest}, func(tb *Table, now time.Time) { tb.Done("u1", TurnedAway, 0, now) }, rest - 1, false},
		"rest, a shorter one": {Said{Rest: rest}, func(tb *Table, now time.Time) {
			tb.TakeWord(contract.Life{Upstream: "u1", Born: 1}, Said{Rest: time.Second}, now)
		}, rest - 1, false},
		"rest, a longer one": {Said{Rest: rest}, func(tb *Table, now time.Time) {
			tb.TakeWord(contract.Life{Upstream: "u1", Born: 1}, Said{Rest: 2 * rest}, now)
		}, rest, false},
		"rest, listed again":         {Said{Rest: rest}, func(tb *Table, now time.Time) { saidList(tb, now, saidEntry("u1", "d", 1)) }, rest - 1, false},
		"rest, missing for a while":  {Said{Rest: rest}, func(tb *Table, now time.Time) { saidList(tb, now); saidList(tb, now, saidEntry("u1", "d", 1)) }, rest - 1, false},
		"rest, another life":         {Said{Rest: rest}, func(tb *Table, now time.Time) { saidList(tb, now, saidEntry("u1", "d", 2)) }, 0, true},
		"rest, ended and told of it": {Said{Rest: rest}, func(tb *Table, now time.Time) { tb.RestsEnded(now) }, rest - 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			tb := saidTable(1, now)
			tb.TakeWord(contract.Life{Upstream: "u1", Born: 1}, c.said, now)
			if c.then != nil {
				c.then(tb, now)
			}
			tb.forget(now)
			now = now.Add(c.after)
			saidOnly := Query{Kind: config.EnginePool, DataCentre: "d", Exclude: []contract.UpstreamID{"u2"}}
			_, err := tb.Pick(saidOnly, now, rand.New(rand.NewPCG(1, 1)))
			is.Equal(err == nil, c.gets)
			is.Equal(tb.Any(saidOnly, now), c.gets)
			is.Equal(tb.Another(saidOnly, true, now), c.gets)
			_, ok := tb.Best(saidOnly, now, rand.New(rand.NewPCG(1, 1)))
			is.Equal(ok, c.gets)
		})
	}
}

// TestWordOfTheLastOnes has all upstreams rest or leave: no choice finds one, however ill
// the others are, and what is told of when they return goes by the first that rests.
func TestWordOfTheLastOnes(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tb := saidTable(1, now)
	tb.TakeWord(contract.Life{Upstream: "u1", Born: 1}, Said{Rest: 2 * time.Second}, now)
	is.Equal(picked(tb, now), contract.UpstreamID("u2")) // farther away
	is.True(!tb.Outlook(anyEngine, now).Closed())
	for range 5 {
		tb.Done("u2", Down, 0, now)
	}
	is.Equal(picked(tb, now), contract.UpstreamID("u2")) // the last resort
	tb.TakeWord(contract.Life{Upstream: "u2", Born: 1}, Said{Leaving: true}, now)
	is.Equal(picked(tb, now), contract.UpstreamID(""))
	o := tb.Outlook(anyEngine, now)
	is.Equal(o, Outlook{Listed: 2, Resting: 1, Leaving: 1, In: 2 * time.Second, Rest: 2 * time.Second})
	is.True(o.Closed())
	tb.TakeWord(contract.Life{Upstream: "u1", Born: 1}, Said{Leaving: true}, now)
	is.True(!tb.Outlook(anyEngine, now).Closed()) // none will
}

// TestWordElsewhere checks what else goes by the word: a VM that reaches no other data
// centre and whose own upstreams leave is cut off, a data centre is not tried at one that
// leaves, and an engine that rests takes no prompts off the others.
func TestWordElsewhere(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tb := saidTable(1, now)
	tb.Reached("e", false, now)
	pools := []contract.PoolID{PoolID("s", "v1", "d"), PoolID("s", "v1", "e")}
	is.True(!tb.CutOff("d", pools, now))
	tb.states["u1"].readAt = now
	is.True(tb.states["u1"].reads(now))
	tb.TakeWord(contract.Life{Upstream: "u1", Born: 1}, Said{Rest: time.Second}, now)
	is.True(!tb.states["u1"].reads(now))
	is.True(!tb.CutOff("d", pools, now)) // it is back soon
	tb.TakeWord(contract.Life{Upstream: "u1", Born: 1}, Said{Leaving: true}, now)
	is.True(tb.CutOff("d", pools, now))
	random := rand.New(rand.NewPCG(1, 1))
	is.Equal(len(tb.Away(now, random)), 1)
	tb.TakeWord(contract.Life{Upstream: "u2", Born: 1}, Said{Leaving: true}, now)
	is.Equal(len(tb.Away(now, random)), 0)
}

// TestWordsAreForgotten bounds what is kept by the lives that are listed, or were of late.
func TestWordsAreForgotten(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tb := NewTable(Options{Listed: true})
	for n := range int64(1000) {
		saidList(tb, now, saidEntry("u1", "d", n+1))
		tb.TakeWord(contract.Life{Upstream: "u1", Born: n + 1}, Said{Leaving: true, Rest: math.MaxInt64 / 2}, now)
		now = now.Add(time.Second)
		tb.Level("d", now)
	}
	is.True(len(tb.said) <= int(forgetAfter/time.Second)+1)
	for range 2 * int(forgetAfter/time.Second) {
		now = now.Add(time.Second)
		tb.Level("d", now)
	}
	is.Equal(len(tb.said), 1) // listed still, and leaves still
	is.Equal(picked(tb, now), contract.UpstreamID(""))
}

// TestWordOfOneThatReports has an upstream that reports its load ask for a rest: its reports
// go on, and neither they nor a good answer end it, but another life does.
func TestWordOfOneThatReports(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tb := NewTable(Options{})
	tb.Configure(map[contract.PoolID]*config.Pool{"p": {ID: "p", Kind: config.EnginePool, Slots: 4, Upstreams: []config.Upstream{{ID: "u1", URL: "u1"}}}})
	report := func(life contract.Incarnation) { tb.Reported("u1", contract.Load{Incarnation: life}, now) }
	report(5)
	is.Equal(picked(tb, now), contract.UpstreamID("u1"))
	tb.TakeWord(tb.Life("u1"), Said{Rest: 2 * time.Second}, now)
	now = now.Add(time.Second)
	report(5)
	tb.Done("u1", Good, 0, now)
	is.Equal(picked(tb, now), contract.UpstreamID(""))
	report(6)
	is.Equal(picked(tb, now), contract.UpstreamID("u1"))
	now = now.Add(time.Second)
	report(6)
	is.Equal(picked(tb, now), contract.UpstreamID("u1"))
}

// TestTurnedAwayAgain plays 40 requests a second, which one of two upstreams turns away for
// 5 s without a word of how long: it gets few of them, is back soon after it has answered
// one, and a connection that is not free says nothing of it.
func TestTurnedAwayAgain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tb := saidTable(1, now)
	tries, back := 0, time.Duration(0)
	for at := time.Duration(0); at < 7*time.Second; at += 25 * time.Millisecond {
		now = time.Unix(1000, 0).Add(at)
		id := picked(tb, now)
		tb.Sent(id)
		switch {
		case id != "u1":
			tb.Done(id, Good, 0, now)
		case at < 5*time.Second:
			tries++
			tb.Done(id, TurnedAway, 0, now)
		default:
			if back == 0 {
				back = at - 5*time.Second
			}
			tb.Accepted(id)
			tb.Done(id, Good, 0, now)
		}
	}
	is.True(tries <= 10) // 67 at 60 ms each
	is.True(back <= time.Second)
	is.Equal(picked(tb, now), contract.UpstreamID("u1"))
	tb.Done("u1", Full, 0, now)
	is.Equal(picked(tb, now.Add(fullFor)), contract.UpstreamID("u1"))
	tb.Done("u1", TurnedAway, 0, now)
	tb.Done("u1", Full, 0, now)
	tb.Done("u1", Full, 0, now)
	is.Equal(picked(tb, now.Add(fullFor)), contract.UpstreamID("u1"))
}

// TestWordsDrawn draws words, lists, ends of requests and time, and compares who gets
// requests with a twin that keeps every word ever said.
func TestWordsDrawn(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		type word struct {
			life  contract.Life
			leave bool
			until time.Time
		}
		var words []word
		now := time.Unix(1000, 0)
		born := map[contract.UpstreamID]int64{"u1": 1, "u2": 1}
		tb := saidTable(1, now)
		for range rapid.IntRange(1, 40).Draw(r, "steps") {
			id := contract.UpstreamID(fmt.Sprint("u", rapid.IntRange(1, 2).Draw(r, "upstream")))
			switch rapid.IntRange(0, 4).Draw(r, "step") {
			case 0:
				said := Said{Leaving: rapid.IntRange(0, 9).Draw(r, "leaving") == 0, Rest: time.Duration(rapid.IntRange(0, 3000).Draw(r, "rest")) * time.Millisecond}
				l := contract.Life{Upstream: id, Born: born[id]}
				tb.TakeWord(l, said, now)
				words = append(words, word{l, said.Leaving, now.Add(said.Rest)})
			case 1:
				tb.Done(id, Result(rapid.IntRange(0, int(Broken)).Draw(r, "result")), 0, now)
			case 2:
				born[id] += int64(rapid.IntRange(0, 1).Draw(r, "again"))
				saidList(tb, now, saidEntry("u1", "d", born["u1"]), saidEntry("u2", "e", born["u2"]))
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(r, "pass")) * time.Millisecond)
			case 4:
				tb.Level("d", now)
				tb.RestsEnded(now)
			}
			got := picked(tb, now)
			for _, w := range words {
				if got == w.life.Upstream && born[got] == w.life.Born && (w.leave || now.Before(w.until)) {
					r.Fatalf("%s gets a request at %v in spite of %+v", got, now, w)
				}
			}
		}
	})
}
