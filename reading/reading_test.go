package reading

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woaddoor/contract"
)

var began = time.Unix(100, 0)

// TestQueueWait checks what a prompt waits for, and how the beginning of an
// answer corrects it.
func TestQueueWait(t *testing.T) {
	const second = time.Second
	t.Run("in turn", func(t *testing.T) {
		is := is.New(t)
		var q Queue
		q.Add(second, true, began)
		q.Add(2*second, false, began)
		is.Equal(q.Wait(began), 3*second)
		is.Equal(q.Wait(began.Add(second/2)), 5*second/2)
	})
	t.Run("began early", func(t *testing.T) {
		is := is.New(t)
		var q Queue
		first := q.Add(2*second, true, began)
		q.Add(second, true, began)
		q.Began(first, began.Add(second))
		is.Equal(q.Wait(began.Add(second)), second) // what came before has been read
	})
	t.Run("overdue", func(t *testing.T) {
		is := is.New(t)
		var q Queue
		q.Add(second, true, began)
		is.Equal(q.Wait(began.Add(3*second/2)), second/2) // the engine has more to do than is known
	})
	t.Run("told and due", func(t *testing.T) {
		is := is.New(t)
		var q Queue
		q.Add(second, false, began)
		is.Equal(q.Wait(began.Add(3*second/2)), time.Duration(0)) // its end is not seen
	})
	t.Run("dropped", func(t *testing.T) {
		is := is.New(t)
		var q Queue
		q.Add(second, true, began)
		second2 := q.Add(5*second, true, began)
		q.Add(second, true, began)
		q.Drop(second2, began)
		is.Equal(q.Wait(began), 2*second)
	})
}

// TestQueueSpans checks what a busy engine tells of its pace: the time between two
// answers in which it had more to read all along, and nothing where it was idle.
func TestQueueSpans(t *testing.T) {
	is := is.New(t)
	var q Queue
	first := q.Add(time.Second, true, began)
	q.Add(time.Second, false, began)
	third := q.Add(3*time.Second, true, began)
	is.Equal(q.Began(first, began.Add(time.Second)), Span{}) // nothing is known of the time before it
	is.Equal(q.Began(third, began.Add(9*time.Second)), Span{Took: 8 * time.Second, Planned: 4 * time.Second, Own: 3 * time.Second})
	late := q.Add(time.Second, true, began.Add(20*time.Second))
	is.Equal(q.Began(late, began.Add(21*time.Second)), Span{}) // it was idle before
}

// naiveQueue computes the same by replaying every read from the start.
type naiveQueue struct {
	at    time.Time // up to when reads are done
	reads []read
}

func (n *naiveQueue) advance(now time.Time) {
	for len(n.reads) > 0 && now.Sub(n.at) >= n.reads[0].takes {
		n.at = n.at.Add(n.reads[0].takes)
		n.reads = n.reads[1:]
	}
	if len(n.reads) == 0 {
		n.at = now
	}
}

func (n *naiveQueue) wait(now time.Time) time.Duration {
	var sum time.Duration
	for _, r := range n.reads {
		sum += r.takes
	}
	return sum - now.Sub(n.at)
}

// TestQueueAgreesWithReplay checks, over drawn reads that end when they are
// expected to, that the wait is what a replay of all reads gives.
func TestQueueAgreesWithReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		n := naiveQueue{at: began}
		now := began
		for range rapid.IntRange(1, 40).Draw(t, "reads") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "passed")) * time.Millisecond)
			takes := time.Duration(rapid.IntRange(1, 1500).Draw(t, "takes")) * time.Millisecond
			n.advance(now)
			if got, want := q.Wait(now), n.wait(now); got != want {
				t.Fatalf("wait %v, a replay gives %v", got, want)
			}
			q.Add(takes, false, now)
			n.reads = append(n.reads, read{takes: takes})
		}
	})
}

// TestQueueNeverNegative checks, over drawn events, that no wait is below zero
// and that nothing is left once all own reads have ended and the others are due.
func TestQueueNeverNegative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		var own []Ticket
		now := began
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "passed")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"send", "told", "began", "drop"}).Draw(t, "event") {
			case "send":
				own = append(own, q.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "takes"))*time.Millisecond, true, now))
			case "told":
				q.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "takes"))*time.Millisecond, false, now)
			case "began":
				if len(own) > 0 {
					q.Began(own[0], now)
					own = own[1:]
				}
			case "drop":
				if n := len(own); n > 0 {
					q.Drop(own[n-1], now)
					own = own[:n-1]
				}
			}
			if q.Wait(now) < 0 {
				t.Fatalf("waits %v", q.Wait(now))
			}
		}
		for _, ticket := range own {
			q.Drop(ticket, now)
		}
		now = now.Add(time.Hour)
		if q.Wait(now) != 0 {
			t.Fatalf("waits %v when nothing is left", q.Wait(now))
		}
	})
}

// naiveKept keeps a plain list of what was read, newest last.
type naiveKept struct {
	capacity int
	list     []kept
}

func (n *naiveKept) touch(id partOf, tokens int) {
	for i, e := range n.list {
		if e.part == id && id != (partOf{}) {
			n.list = append(append(n.list[:i:i], n.list[i+1:]...), e)
			return
		}
	}
	n.list = append(n.list, kept{id, tokens})
}

func (n *naiveKept) read(p Prompt) {
	shared := 0
	for _, part := range p.Parts[:max(len(p.Parts)-1, 1)] {
		shared += part.Tokens
		n.touch(partOf{p.Model, part.Key}, part.Tokens)
	}
	if own := max(p.Tokens-shared, 0); len(n.list) > 0 && n.list[len(n.list)-1].part == (partOf{}) {
		n.list[len(n.list)-1].tokens += own
	} else {
		n.list = append(n.list, kept{tokens: own})
	}
	for n.total() > n.capacity {
		n.list = n.list[1:]
	}
}

func (n *naiveKept) total() int {
	sum := 0
	for _, e := range n.list {
		sum += e.tokens
	}
	return sum
}

func (n *naiveKept) of(p Prompt) int {
	sum := 0
	for _, part := range p.Parts {
		found := false
		for _, e := range n.list {
			found = found || e.part == partOf{p.Model, part.Key}
		}
		if !found {
			break
		}
		sum += part.Tokens
	}
	return min(sum, p.Tokens)
}

// TestKeptAgreesWithList checks, over drawn prompts of two models, what is kept
// against a plain list.
func TestKeptAgreesWithList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(500, 4000).Draw(t, "capacity")
		k, n := NewKept(capacity), naiveKept{capacity: capacity}
		for i := range rapid.IntRange(1, 60).Draw(t, "prompts") {
			subject := rapid.Uint64Range(1, 8).Draw(t, "subject")
			parts := []Part{
				{Key: subject % 2, Tokens: 100}, {Key: 10 + subject, Tokens: 100 * int(subject)}, {Key: uint64(1000 + i), Tokens: 60},
			}
			p := Prompt{Model: contract.ModelID(rapid.SampledFrom([]string{"small", "large"}).Draw(t, "model")), Tokens: 160 + 100*int(subject), Parts: parts}
			if got, want := k.Of(p), n.of(p); got != want {
				t.Fatalf("keeps %d tokens, a list says %d", got, want)
			}
			k.Read(p)
			n.read(p)
			if k.total > capacity {
				t.Fatalf("keeps %d tokens in %d", k.total, capacity)
			}
		}
	})
}

// TestKeptNeedsEarlierParts checks that a part without those before it saves
// nothing, and that models do not share.
func TestKeptNeedsEarlierParts(t *testing.T) {
	is := is.New(t)
	k := NewKept(0)
	k.Read(Prompt{Model: "large", Tokens: 300, Parts: []Part{{1, 100}, {2, 100}, {3, 100}}})
	is.Equal(k.Of(Prompt{Model: "large", Tokens: 300, Parts: []Part{{1, 100}, {2, 100}, {4, 100}}}), 200)
	is.Equal(k.Of(Prompt{Model: "large", Tokens: 300, Parts: []Part{{9, 100}, {2, 100}, {4, 100}}}), 0)
	is.Equal(k.Of(Prompt{Model: "small", Tokens: 300, Parts: []Part{{1, 100}, {2, 100}, {4, 100}}}), 0)
}

// TestRatesFindTheTime checks that the time a token is found from a prior that
// is far off, although part of the answers waited behind what nobody knew of and
// others found parts kept.
func TestRatesFindTheTime(t *testing.T) {
	for _, c := range []struct{ token, waited, found int }{{5, 30, 0}, {90, 0, 30}, {400, 20, 20}, {13, 25, 25}} {
		t.Run(fmt.Sprintf("%d us a token", c.token), func(t *testing.T) {
			for seed := range uint64(50) {
				random := rand.New(rand.NewPCG(seed, 1))
				r := NewRates(map[contract.ModelID]float64{"large": 0.1})
				for range 400 {
					tokens := leastRead + random.IntN(20000)
					took := Base + time.Duration(tokens*c.token)*time.Microsecond
					whole := true
					switch kind := random.IntN(100); {
					case kind < c.waited:
						took *= 3
					case kind < c.waited+c.found:
						took = Base + time.Duration(tokens*c.token/4)*time.Microsecond
					case kind > 90:
						took, whole = 5*took, false
					}
					r.Observe("large", tokens, took, whole)
				}
				got := r.Reading("large", 10000).Seconds() / 0.01 / float64(c.token)
				if got < 0.6 || got > 1.6 {
					t.Fatalf("seed %d: %.2f of the time", seed, got)
				}
			}
		})
	}
}

// TestRatesTold checks that a VM that has just started reads another's word, and
// believes its own times once it has some.
func TestRatesTold(t *testing.T) {
	is := is.New(t)
	r := NewRates(map[contract.ModelID]float64{"large": 0.1})
	r.Told("large", 100*time.Microsecond)
	is.True(r.Reading("large", 10000) > 990*time.Millisecond)
	for range 20 {
		r.Observe("large", 10000, Base+500*time.Millisecond, true)
	}
	r.Told("large", 100*time.Microsecond)
	is.True(r.Reading("large", 10000) < 600*time.Millisecond)
}

// TestRatesDoNotEcho replays what happened when VMs took over what the others had
// taken over, each with a factor for slow engines on top: times grew without
// bound. Only own times are passed on, and none is beyond what engines take.
func TestRatesDoNotEcho(t *testing.T) {
	is := is.New(t)
	a, b := NewRates(nil), NewRates(nil)
	a.Told("large", 100*time.Microsecond)
	for range 50 {
		for _, pair := range [][2]*Rates{{a, b}, {b, a}} {
			if token, ok := pair[0].Known("large"); ok {
				pair[1].Told("large", 3*token)
			}
		}
	}
	is.True(a.Reading("large", 1) <= 100*time.Microsecond)
	for range 100 {
		a.Observe("large", leastRead, time.Hour, true)
	}
	is.True(a.Reading("large", 1) <= 2*time.Millisecond)
}
