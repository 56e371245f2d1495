package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woaddoor/contract"
)

// orderDelay is the longest an order is under way, as Options assumes.
const orderDelay = defaultLength/marginPart - time.Millisecond

// world is a store and processes that read and write it, are paused, and give
// orders that arrive up to orderDelay later.
type world struct {
	t       *rapid.T
	now     time.Time
	object  Object
	version contract.ObjectVersion
	holders []*Holder
	// orders under way, with the number they carry.
	orders []order
	// engine is what an engine that ignores numbers last obeyed.
	engine contract.FencingNumber
}

type order struct {
	fencing contract.FencingNumber
	arrives time.Time
}

func (w *world) act() {
	h := w.holders[rapid.IntRange(0, len(w.holders)-1).Draw(w.t, "process")]
	switch rapid.SampledFrom([]string{"read", "write", "write, reply lost", "order", "order", "time"}).Draw(w.t, "act") {
	case "read":
		h.Saw(Seen{w.object, w.version}, w.now)
	case "write":
		w.write(h, true)
	case "write, reply lost":
		w.write(h, false)
	case "order":
		if n, ok := h.Ready(w.now, true); ok {
			delay := time.Duration(rapid.Int64Range(0, int64(orderDelay)).Draw(w.t, "delay"))
			w.orders = append(w.orders, order{n, w.now.Add(delay)})
		}
	case "time":
		w.now = w.now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(w.t, "ms")) * time.Millisecond)
	}
}

func (w *world) write(h *Holder, reply bool) {
	asked := w.now
	p, ok := h.Propose(w.now)
	// The process may be paused between deciding and writing, or the reply
	// may take long.
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(w.t, "pause s")) * time.Second)
	if !ok || p.Version != w.version {
		return
	}
	w.version++
	w.object = p.Object
	if reply {
		h.Wrote(p, w.version, asked)
	}
}

// arrive lets the orders that are due arrive, in the order of their arrival.
func (w *world) arrive() {
	for {
		first := -1
		for i, o := range w.orders {
			if !o.arrives.After(w.now) && (first < 0 || o.arrives.Before(w.orders[first].arrives)) {
				first = i
			}
		}
		if first < 0 {
			return
		}
		o := w.orders[first]
		w.orders = append(w.orders[:first], w.orders[first+1:]...)
		if o.fencing < w.engine {
			w.t.Fatalf("an order under %d arrived after one under %d", o.fencing, w.engine)
		}
		w.engine = o.fencing
	}
}

// TestOldOrdersNeverLast draws pauses, lost replies and slow orders. Even at an
// engine that ignores fencing numbers, no order of a former holder arrives
// after one of a later holder.
func TestOldOrdersNeverLast(t *testing.T) {
	most := contract.FencingNumber(0)
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: time.Unix(0, 0)}
		for i := range 3 {
			w.holders = append(w.holders, NewHolder(Options{Self: contract.VMLife{VM: contract.VMID(rune('a' + i)), Incarnation: 1}}))
		}
		for range rapid.IntRange(10, 150).Draw(t, "events") {
			w.act()
			w.arrive()
		}
		most = max(most, w.engine)
	})
	if most < 2 {
		t.Error("no schedule had two holders give orders: the schedules are too tame")
	}
}

// TestPausedHolder shows the naive check, "I hold it since I last wrote it",
// giving an order after a pause in which another took over.
func TestPausedHolder(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	a := NewHolder(Options{Self: contract.VMLife{VM: "a"}})
	b := NewHolder(Options{Self: contract.VMLife{VM: "b"}})
	p, ok := a.Propose(now)
	is.True(ok)
	a.Wrote(p, 1, now)
	b.Saw(Seen{p.Object, 1}, now)
	naive := a.seen.Object.Holder == a.opts.Self
	now = now.Add(defaultLength) // a is paused
	p, ok = b.Propose(now)
	is.True(ok)
	b.Wrote(p, 2, now)
	is.True(naive) // would give an order now
	_, ok = a.Ready(now, false)
	is.True(!ok)
	n, ok := b.Ready(now, false)
	is.True(ok)
	is.Equal(n, contract.FencingNumber(2))
	_, ok = b.Ready(now, true)
	is.True(!ok) // waits out what a may have under way
}
