package site

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"woaddoor/clock"
	"woaddoor/contract"
	"woaddoor/logs"
)

// Timings of following a kind of objects.
const (
	// lostWait is that of the watches after a failure: a call that the store
	// leaves without an answer is given up only after it, and changes have to
	// be known within seconds of the store's return.
	lostWait = 200 * time.Millisecond
	// heardOfLate is how old a peer's word of the store may be to show that the
	// store serves.
	heardOfLate = time.Second
	// gather is the pause after a change before the next watch: changes come in
	// bursts, and one call then brings several.
	gather = 80 * time.Millisecond
	// lookAgain and lookMost bound how long a VM that does not watch waits until it
	// looks whether it should: a VM at rest looks once a watch, and one that has
	// been frozen soon after it wakes.
	lookAgain = 50 * time.Millisecond
	lookMost  = 500 * time.Millisecond
	// lookLeast keeps a VM that is to ask within milliseconds from looking without
	// a pause.
	lookLeast = 2 * time.Millisecond
	// pauseMin and pauseMax bound the pause after a failed call: refused calls
	// are paid for, and a configuration has to be known within seconds of the
	// store's return.
	pauseMin = 150 * time.Millisecond
	pauseMax = 800 * time.Millisecond
	// laterPlaces bounds how many times longer those pause that watch beside others
	// who would come first: their calls fail for the same reason, mostly.
	laterPlaces = 4
)

// follower keeps up with one kind of objects, by the store and by what peers
// hand over.
type follower[T any] struct {
	source   Source[T]
	log      *zap.Logger
	registry metrics.Registry
	// apply takes in changes; full means that they are all objects there are.
	apply func(c Changes[T], full bool)
	// early takes in a part of the first list, ahead of the whole.
	early func(c Changes[T])
	// reached is told whether the store answered, at each call.
	reached func(ok bool)

	// place returns the place of this VM among those that could watch.
	place func() Place
	// news is called when the store has told of a change, confirmed when it has
	// told that there is none.
	news, confirmed func()
	now             func() time.Time
	// wanted is closed when callers wait for what this VM does not know.
	wanted <-chan struct{}
	// drawn is this VM's place among those that ask for callers while it knows no
	// other VM, the same for all kinds.
	drawn int

	// failed is the number of calls that failed in a row; only run uses it.
	failed int
	relist bool

	// mu guards the fields below. It is held while changes are applied, so that
	// those from the store and from peers take effect one after the other.
	mu     sync.Mutex
	ledger *Ledger
	duty   *Duty
	// malformed says why objects cannot be understood, as was logged last.
	malformed map[string]string
}

// run follows the store until ctx ends.
func (f *follower[T]) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.watches() {
			f.rest(ctx)
			continue
		}
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if f.failed > 0 {
				f.log.Info("store-regained", zap.String("kind", f.source.Name()), zap.Int("failed_calls", f.failed))
			}
			f.failed = 0
			continue
		}
		f.failed++
		f.lost()
		if f.failed == 1 {
			at, _ := f.have()
			f.log.Warn("store-lost", append(logs.Failure(err), zap.String("kind", f.source.Name()), zap.Int64("revision", int64(at)))...)
		}
		clock.Pause(ctx, pauseAfter(f.failed, f.place()))
	}
}

// rest waits until this VM has to look again whether it is to ask the store.
func (f *follower[T]) rest(ctx context.Context) {
	f.mu.Lock()
	wanted := f.wanted
	if !f.duty.wanted.IsZero() {
		wanted = nil // noted already
	}
	f.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-wanted:
		f.mu.Lock()
		f.duty.Wanted(f.drawn, f.now())
		f.mu.Unlock()
	case <-time.After(f.idle()):
	}
}

// watches tells whether this VM is to ask the store now, and logs when that
// changes.
func (f *follower[T]) watches() bool {
	place := f.place()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	_, known := f.ledger.At()
	was := f.duty.watching
	if f.duty.Watches(known, place, now) == was {
		return was
	}
	f.count("watches_begun_total", watchReason(known))
	f.log.Info("watch-begins", zap.String("kind", f.source.Name()), zap.Bool("known", known), zap.Duration("age", f.age(now)),
		zap.Int("place", place.Near), zap.Int("data_centre_place", place.DataCentre))
	return true
}

// watchReason says why a VM asks the store: it knows nothing of the kind, or the
// store's word has become too old.
func watchReason(known bool) string {
	if known {
		return "stale"
	}
	return "unknown"
}

// count counts something that happens to this kind, by a reason or source.
func (f *follower[T]) count(name, why string) {
	metrics.GetOrRegisterCounter(fmt.Sprintf("%s{kind=%q,by=%q}", name, f.source.Name(), why), f.registry).Inc(1)
}

// idle returns how long this VM, which does not watch, may wait until it looks again.
func (f *follower[T]) idle() time.Duration {
	place := f.place()
	f.mu.Lock()
	defer f.mu.Unlock()
	_, known := f.ledger.At()
	due := f.duty.Due(known, place).Sub(f.now())
	if !known { // its place changes as it meets others, and callers may wait
		return min(max(due, lookLeast), lookAgain)
	}
	return min(max(due, lookAgain), lookMost)
}

// pauseAfter returns the pause after n failed calls, spread so that VMs do not
// come back together, and longer for those behind others.
func pauseAfter(n int, p Place) time.Duration {
	pause := min(pauseMin<<min(n-1, 4), pauseMax) * time.Duration(1+min(p.Near, laterPlaces))
	return time.Duration((0.5 + rand.Float64()) * float64(pause))
}

// step lists when nothing, or no history, is known; else it watches.
func (f *follower[T]) step(ctx context.Context) error {
	at, known := f.have()
	if !known || f.relist {
		c, err := f.source.List(ctx, f.page)
		f.reached(err == nil || errors.Is(err, ErrEnough))
		switch {
		case errors.Is(err, ErrEnough):
			return nil // told by a peer meanwhile
		case err != nil:
			return err
		}
		f.relist = false
		f.told(c, true)
		return nil
	}
	c, err := f.source.Watch(ctx, at, f.wait())
	f.reached(err == nil || errors.Is(err, ErrHistoryGone))
	if errors.Is(err, ErrHistoryGone) {
		f.log.Info("history-gone", zap.String("kind", f.source.Name()), zap.Int64("revision", int64(at)))
		f.relist = true
		return nil
	}
	if err != nil {
		return err
	}
	f.told(c, false)
	if len(c.Items) > 0 {
		clock.Pause(ctx, gather)
	}
	return nil
}

// page takes in a part of the first list, and tells whether the rest is wanted: not when
// another VM has told all of it meanwhile.
func (f *follower[T]) page(c Changes[T], more bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, known := f.ledger.At(); known {
		return f.relist
	}
	if more {
		f.early(c)
		f.log.Info("first-part", zap.String("kind", f.source.Name()), zap.Int("objects", len(c.Items)))
	}
	return true
}

// told takes in what the store has told.
func (f *follower[T]) told(c Changes[T], full bool) {
	before, _ := f.last()
	f.take(c, full)
	f.mu.Lock()
	f.duty.Asked(true, f.now())
	f.ledger.Confirm(c.Revision)
	f.mu.Unlock()
	if after, _ := f.last(); after > before {
		f.count("changes_told_total", "store")
		f.news()
	} else {
		f.confirmed()
	}
}

// lost notes that a call has failed.
func (f *follower[T]) lost() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.duty.Asked(false, f.now())
}

// age returns how old the store's word is; zero before there is any. The caller
// holds mu.
func (f *follower[T]) age(now time.Time) time.Duration {
	if _, known := f.ledger.At(); !known {
		return 0
	}
	return f.duty.Age(now).Round(time.Millisecond)
}

// wait returns how long the next watch is held open.
func (f *follower[T]) wait() time.Duration {
	if f.failed > 0 {
		return lostWait
	}
	return f.source.Timing().Every
}

// have returns up to which revision this VM knows, if it knows anything.
func (f *follower[T]) have() (contract.Revision, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ledger.At()
}

// last returns the revision of the newest change that this VM knows.
func (f *follower[T]) last() (contract.Revision, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, known := f.ledger.At()
	return f.ledger.Last(), known
}

// take applies changes, whichever way they came.
func (f *follower[T]) take(c Changes[T], full bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := Delta{Full: full, At: c.Revision}
	for _, i := range c.Items {
		d.Items = append(d.Items, i.Raw)
	}
	news := Changes[T]{Revision: c.Revision}
	for n, taken := range f.ledger.Apply(d) {
		if taken {
			news.Items = append(news.Items, c.Items[n])
			f.judge(c.Items[n])
		}
	}
	if len(news.Items) > 0 || full {
		f.apply(news, full)
	}
}

// judge logs and counts when an object cannot be understood any more, for another
// reason than before, or again. The caller holds mu.
func (f *follower[T]) judge(i Item[T]) {
	why := ""
	if i.Err != nil && !i.Deleted {
		why = i.Err.Error()
	}
	if f.malformed[i.Name] == why {
		return
	}
	fields := []zap.Field{zap.String("kind", f.source.Name()), zap.String("name", i.Name), zap.Int64("revision", int64(i.Revision))}
	if why == "" {
		delete(f.malformed, i.Name)
		f.log.Info("object-understood", append(fields, zap.Bool("gone", i.Deleted))...)
		return
	}
	f.malformed[i.Name] = why
	f.count("objects_malformed_total", "told")
	f.log.Error("object-malformed", append(fields, zap.String("why", why))...)
}
