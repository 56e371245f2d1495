package upstream

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/contract"
)

// restFleet plays requests to plain upstreams, some of which turn all away for a while and
// ask each VM that they turn away for a rest.
type restFleet struct {
	vms    []*Table
	now    time.Time
	random *rand.Rand
	events replayEvents
	// turned counts the requests that were turned away, after holds when requests came to
	// each upstream that had turned some away, once it takes them again.
	turned int
	after  map[contract.UpstreamID][]time.Time
}

// most returns how many requests came at most to one returning upstream within a span.
func (f *restFleet) most(span time.Duration) int {
	most := 0
	for _, times := range f.after {
		for i, from := range times {
			n, _ := slices.BinarySearchFunc(times[i:], from.Add(span), time.Time.Compare)
			most = max(most, n)
		}
	}
	return most
}

// Load of a restFleet: 40 upstreams of 8 places, of which 8 turn requests away.
const (
	restUpstreams = 40
	restTurning   = 8
	restPlaces    = 8
	restTurnsFor  = 5 * time.Second
	restAsked     = 3 * time.Second
	restRate      = 600 // requests a second of all VMs
	restTakes     = 50 * time.Millisecond
	// toldIn is how long it takes to tell another VM.
	toldIn = 30 * time.Millisecond
)

func newRestFleet(vms int) *restFleet {
	f := &restFleet{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(3, 3)), after: make(map[contract.UpstreamID][]time.Time)}
	var entries []Entry
	for n := range restUpstreams {
		e := saidEntry(fmt.Sprintf("u%02d", n), "d", 1)
		e.Slots = restPlaces
		entries = append(entries, e)
	}
	for range vms {
		tb := NewTable(Options{Listed: true})
		saidList(tb, f.now, entries...)
		f.vms = append(f.vms, tb)
	}
	return f
}

// later has something happen after a time.
func (f *restFleet) later(d time.Duration, do func()) {
	heap.Push(&f.events, replayEvent{f.now.Add(d), do})
}

// due has happen what is due.
func (f *restFleet) due() {
	for f.events.Len() > 0 && !f.events[0].at.After(f.now) {
		heap.Pop(&f.events).(replayEvent).do()
	}
}

// play plays the requests of ten seconds; tell has VMs tell each other of rests.
func (f *restFleet) play(tell bool) {
	start := f.now
	for f.now.Sub(start) < 10*time.Second {
		f.now = f.now.Add(time.Duration(f.random.ExpFloat64() / restRate * float64(time.Second)))
		f.due()
		f.send(f.vms[f.random.IntN(len(f.vms))], start, nil, tell)
	}
}

// send sends a request, and once more elsewhere for each that turns it away.
func (f *restFleet) send(tb *Table, start time.Time, exclude []contract.UpstreamID, tell bool) {
	q := anyEngine
	q.Exclude = exclude
	id, err := tb.Pick(q, f.now, f.random)
	if err != nil {
		return
	}
	tb.Sent(id)
	in := f.now.Sub(start)
	turns := id < contract.UpstreamID(fmt.Sprintf("u%02d", restTurning))
	if turns && in < restTurnsFor {
		f.turned++
		tb.Done(id, TurnedAway, 0, f.now)
		tb.TakeWord(tb.Life(id), Said{Rest: restAsked}, f.now)
		if tell {
			f.later(toldIn, func() {
				for _, other := range f.vms {
					if other != tb {
						other.RestTold(id, restAsked-toldIn, f.now)
					}
				}
			})
		}
		f.send(tb, start, append(exclude, id), tell)
		return
	}
	if turns && in < restTurnsFor+restAsked {
		f.after[id] = append(f.after[id], f.now)
	}
	tb.Accepted(id)
	f.later(restTakes, func() { tb.Done(id, Good, restTakes, f.now) })
}

// TestRestTold plays 600 requests a second before 40 upstreams, 8 of which turn all away for
// 5 s. Where 60 VMs each find that out alone, 451 requests are turned away; told by the
// first, they ask others, and 24 are. What is told binds nobody: the eight get requests
// again, and no more at a time than they have places.
func TestRestTold(t *testing.T) {
	for _, vms := range []int{6, 60} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			is := is.New(t)
			alone, told := newRestFleet(vms), newRestFleet(vms)
			alone.play(false)
			told.play(true)
			t.Logf("%d VMs: %d turned away alone, %d told; back at %d and %d of %d upstreams, %d and %d at one within %v", vms,
				alone.turned, told.turned, len(alone.after), len(told.after), restTurning, alone.most(restTakes), told.most(restTakes), restTakes)
			is.True(3*told.turned <= alone.turned || vms < 10)
			is.True(told.turned <= alone.turned)
			is.Equal(len(told.after), restTurning)
			is.True(told.most(restTakes) <= restPlaces)
		})
	}
}
