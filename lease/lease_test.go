package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woaddoor/contract"
)

// maxCallDelay is the longest time that a call takes to arrive, as Options assumes.
const maxCallDelay = defaultDuration/marginDivisor - time.Millisecond

// engineSimulation is a store, an engine that ignores fencing tokens, and processes that read and
// write the store, are suspended, and make calls that arrive up to maxCallDelay later.
type engineSimulation struct {
	t       *rapid.T
	now     time.Time
	object  Object
	version contract.ObjectVersion
	handles []*Handle
	// calls holds the calls in progress, each with its fencing token.
	calls []call
	// engineFencing is the fencing token of the last call that arrived at the engine.
	engineFencing contract.FencingToken
}

// call is a call that is on its way to the engine.
type call struct {
	fencing   contract.FencingToken
	arrivesAt time.Time
}

// randomEvent draws an event of the simulation and applies it.
func (s *engineSimulation) randomEvent() {
	h := s.handles[rapid.IntRange(0, len(s.handles)-1).Draw(s.t, "process")]
	switch rapid.SampledFrom([]string{"read", "write", "write, reply lost", "call", "call", "time passes"}).Draw(s.t, "event") {
	case "read":
		h.ObserveRead(VersionedObject{s.object, s.version}, s.now)
	case "write":
		s.write(h, true)
	case "write, reply lost":
		s.write(h, false)
	case "call":
		if n, ok := h.ActiveFencing(s.now, true); ok {
			delay := time.Duration(rapid.Int64Range(0, int64(maxCallDelay)).Draw(s.t, "delay"))
			s.calls = append(s.calls, call{n, s.now.Add(delay)})
		}
	case "time passes":
		s.now = s.now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(s.t, "ms")) * time.Millisecond)
	}
}

// write applies the write that a process proposes, if its condition holds.
func (s *engineSimulation) write(h *Handle, replyArrives bool) {
	sentAt := s.now
	p, ok := h.Propose(s.now)
	// The process may be suspended between the decision and the write, or the reply may take long.
	s.now = s.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(s.t, "suspended s")) * time.Second)
	if !ok || p.Version != s.version {
		return
	}
	s.version++
	s.object = p.Object
	if replyArrives {
		h.ConfirmWrite(p, s.version, sentAt)
	}
}

// deliverCalls delivers the calls that have arrived by now, in the order of their arrival.
func (s *engineSimulation) deliverCalls() {
	for {
		earliest := -1
		for i, c := range s.calls {
			if !c.arrivesAt.After(s.now) && (earliest < 0 || c.arrivesAt.Before(s.calls[earliest].arrivesAt)) {
				earliest = i
			}
		}
		if earliest < 0 {
			return
		}
		c := s.calls[earliest]
		s.calls = append(s.calls[:earliest], s.calls[earliest+1:]...)
		if c.fencing < s.engineFencing {
			s.t.Fatalf("a call under fencing token %d arrived after one under %d", c.fencing, s.engineFencing)
		}
		s.engineFencing = c.fencing
	}
}

// TestFormerHolderCallsNeverArriveLast simulates suspensions, lost replies and slow
// calls. Even at an engine that ignores fencing tokens, no call of a former holder may
// arrive after one of a later holder.
func TestFormerHolderCallsNeverArriveLast(t *testing.T) {
	highestFencing := contract.FencingToken(0)
	rapid.Check(t, func(t *rapid.T) {
		s := &engineSimulation{t: t, now: time.Unix(0, 0)}
		for i := range 3 {
			s.handles = append(s.handles, NewHandle(Options{Self: contract.VMInstance{VM: contract.VMID(rune('a' + i)), Incarnation: 1}}))
		}
		for range rapid.IntRange(10, 150).Draw(t, "events") {
			s.randomEvent()
			s.deliverCalls()
		}
		highestFencing = max(highestFencing, s.engineFencing)
	})
	if highestFencing < 2 {
		t.Error("no run had two holders make calls: the simulation has too few faults")
	}
}

// TestPausedHolderMakesNoCalls checks that a holder makes no call after a suspension during which
// another process took the lease over. A naive holder, which relies on its last write, would.
func TestPausedHolderMakesNoCalls(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	a := NewHandle(Options{Self: contract.VMInstance{VM: "a"}})
	b := NewHandle(Options{Self: contract.VMInstance{VM: "b"}})
	p, ok := a.Propose(now)
	is.True(ok)
	a.ConfirmWrite(p, 1, now)
	b.ObserveRead(VersionedObject{p.Object, 1}, now)
	naiveHolds := a.latest.Object.Holder == a.opts.Self
	now = now.Add(defaultDuration) // the holder a is suspended
	p, ok = b.Propose(now)
	is.True(ok)
	b.ConfirmWrite(p, 2, now)
	is.True(naiveHolds) // a naive holder would make a call now
	_, ok = a.ActiveFencing(now, false)
	is.True(!ok)
	n, ok := b.ActiveFencing(now, false)
	is.True(ok)
	is.Equal(n, contract.FencingToken(2))
	_, ok = b.ActiveFencing(now, true)
	is.True(!ok) // waits for calls of the former holder that may still be in progress
}
