package site

import (
	"context"
	"maps"
	"time"

	"go.uber.org/zap"

	"woaddoor/logs"
	"woaddoor/relay"
	"woaddoor/rollout"
)

// applyOrders takes in orders to bring in a release.
func (s *Site) applyOrders(c Changes[rollout.Order], _ bool) {
	for _, i := range c.Items {
		if i.Deleted || i.Err != nil {
			continue
		}
		o := i.Value
		o.Issued = issued(o, s.opts.Now())
		s.log.Info("order", zap.String("service", string(o.Service)), zap.String("release", o.Release), zap.Duration("length", o.Length),
			zap.String("state", string(o.State)), zap.Duration("age", s.opts.Now().Sub(o.Issued).Round(time.Millisecond)), zap.Int64("revision", int64(o.Revision)))
		s.opts.Relay.SetOrder(o)
	}
}

// issued returns when an order was given: as another VM wrote it down, or now,
// when it is seen for the first time. The times of day of VMs may differ, so
// what was written counts only while it is possible.
func issued(o rollout.Order, now time.Time) time.Time {
	if o.Began.IsZero() {
		return now
	}
	age := min(max(now.Sub(o.Began), 0), o.Length)
	return now.Add(-age)
}

// noteKey names one thing to be written of an object, and what is to become of it.
type noteKey struct{ object, state string }

// note is when it is to be written next.
type note struct {
	due time.Time
	// tried is set once a write was made: while the store is away there is no
	// point in more, which are paid for.
	tried bool
}

// Spread of the writes over VMs: the first write makes the others needless once they
// have heard of it, and a conflict costs a call. Those that would watch write first.
const (
	// noteNear is what a VM waits for each place in its data centre, noteFar for
	// each data centre before its own: a write is known everywhere within some 200
	// ms. mostNoteNear bounds the places that count.
	noteNear     = 250 * time.Millisecond
	noteFar      = 100 * time.Millisecond
	mostNoteNear = 6
	// noteAgain is the pause before a write that failed, or whose effect was
	// not seen, is tried again.
	noteAgain = 500 * time.Millisecond
	// mostNotes is from how many notes on those are forgotten that were due noteForget
	// ago.
	mostNotes  = 1024
	noteForget = time.Minute
)

// mayNote tells whether something is to be written now: when this VM's turn has come, and
// again when its effect was not seen. notes are what the caller has to write.
func (s *Site) mayNote(notes map[noteKey]*note, key noteKey, now time.Time) bool {
	if len(notes) > mostNotes {
		maps.DeleteFunc(notes, func(_ noteKey, n *note) bool { return now.Sub(n.due) > noteForget })
	}
	n, ok := notes[key]
	if !ok {
		n = &note{due: now.Add(s.turn())}
		notes[key] = n
	}
	if now.Before(n.due) || n.tried && s.storeLost() {
		return false
	}
	n.tried = true
	n.due = now.Add(noteAgain)
	return true
}

// noteOrder writes what has become of an order when this VM's turn has come.
func (s *Site) noteOrder(ctx context.Context, v relay.Verdict) {
	now := s.opts.Now()
	if !s.mayNote(s.notes, noteKey{v.Order.Name + "|" + v.Order.Release, string(v.State)}, now) {
		return
	}
	o := v.Order
	if o.Began.IsZero() {
		o.Began = o.Issued
	}
	err := s.opts.NoteOrder(ctx, o, v.State)
	fields := []zap.Field{
		zap.String("service", string(o.Service)), zap.String("release", o.Release), zap.String("state", string(v.State)),
		zap.Int64("revision", int64(o.Revision)), zap.Int64("trial_good", v.Trial.Good), zap.Int64("trial_bad", v.Trial.Bad),
		zap.Int64("others_good", v.Others.Good), zap.Int64("others_bad", v.Others.Bad),
	}
	if err != nil {
		s.log.Warn("order-note-failed", append(fields, logs.Failure(err)...)...)
		return
	}
	s.log.Info("order-noted", fields...)
}

// storeLost tells whether the store does not answer this VM.
func (s *Site) storeLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listing.lost
}

// turn returns how long this VM waits before it writes.
func (s *Site) turn() time.Duration { return turnOf(s.opts.Peers.Place()) }

// turnOf returns how long a VM waits before it writes what others would write too.
func turnOf(p Place) time.Duration {
	return noteNear*time.Duration(min(p.Near, mostNoteNear)) + noteFar*time.Duration(p.DataCentre)
}
