package leader

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/logs"
	"woaddoor/route"
	"woaddoor/scaling"
	"woaddoor/upstream"
)

// Orderer orders how many upstreams stand. It fails with a *RefusedError where none can be
// had now.
type Orderer interface {
	Scale(ctx context.Context, n contract.FencingNumber, o scaling.Order) error
}

// ScalerOptions set up a Scaler.
type ScalerOptions struct {
	Keeper  *Keeper
	Orderer Orderer
	// Services and Upstreams are those of the configuration and of the store's list, and
	// Age is how old the store's word on the list is.
	Services  func() map[contract.ServiceID]*route.Service
	Upstreams func() []upstream.Entry
	Age       func() time.Duration
	// Work is what all VMs together give the upstreams of each service to do.
	Work func() map[contract.ServiceID]scaling.Work
	// Releases tells whether a release of a service is being brought in, and whether one has
	// been. Objective is within which time its answers are to begin.
	Releases  func(contract.ServiceID) (under, brought bool)
	Objective func(contract.ServiceID) time.Duration
	Now       func() time.Time
	Log       *zap.Logger
	Registry  metrics.Registry
}

// Scaler has upstreams ordered by need. It is an Act.
type Scaler struct {
	opts *ScalerOptions
	// peaks are the largest needs of late, by service.
	peaks map[contract.ServiceID]*scaling.Peak
	// seen is since when each upstream has been listed.
	seen map[contract.Life]time.Time
	// looked is when this VM last decided, and paused until when no order of a subject is
	// made that has failed.
	looked time.Time
	paused map[scaling.Subject]time.Time
	// made are the last orders, of this VM or an earlier holder, and since when they are
	// known.
	made map[scaling.Subject]madeOrder
	// counted is how many upstreams of each service were listed last, and since when.
	counted map[contract.ServiceID]counted
}

// madeOrder is what was ordered of a subject, and when.
type madeOrder struct {
	count int
	at    time.Time
}

// counted is a number and since when it has stood.
type counted struct {
	n     int
	since time.Time
}

// NewScaler returns a scaler that has ordered nothing.
func NewScaler(opts *ScalerOptions) *Scaler {
	return &Scaler{
		opts: opts, peaks: make(map[contract.ServiceID]*scaling.Peak), seen: make(map[contract.Life]time.Time),
		paused: make(map[scaling.Subject]time.Time), made: make(map[scaling.Subject]madeOrder), counted: make(map[contract.ServiceID]counted),
	}
}

// Timings of a scaler.
const (
	// scaleEvery is how often it is decided how many upstreams stand.
	scaleEvery = 500 * time.Millisecond
	// staleList is how old the list may be: nothing is ordered from old news.
	staleList = 5 * time.Second
	// orderPause is the pause after an order that failed, refusedPause after one that the
	// platform turned down: it has none to give.
	orderPause   = time.Second
	refusedPause = 4 * time.Second
	// listLag is how much later than it serves a new upstream is on the list, and how much
	// longer than that one that was given away stays there.
	listLag = 3 * time.Second
	// sizeAfter is for how long the list has to have stood before it is taken for what the
	// operator has given the service.
	sizeAfter = time.Second
)

// Act makes the first order that is due.
func (s *Scaler) Act(ctx context.Context, n contract.FencingNumber) {
	now := s.opts.Now()
	if now.Sub(s.looked) < scaleEvery {
		return
	}
	s.looked = now
	if age := s.opts.Age(); age < 0 || age > staleList {
		return
	}
	entries := s.opts.Upstreams()
	s.note(entries, now)
	record, err := inForce(s.opts.Keeper)
	if err != nil {
		s.opts.Log.Error("lease-record-malformed", logs.Failure(err)...)
	}
	work := s.opts.Work()
	services := s.opts.Services()
	for _, id := range slices.Sorted(maps.Keys(services)) {
		limits := services[id].Scaling
		if limits == nil {
			continue
		}
		if s.scale(ctx, n, id, *limits, record.Scaling, ofService(entries, id), work[id], now) {
			return
		}
	}
}

// note notes since when upstreams are listed.
func (s *Scaler) note(entries []upstream.Entry, now time.Time) {
	listed := make(map[contract.Life]bool, len(entries))
	for _, e := range entries {
		listed[e.Life()] = true
		if _, ok := s.seen[e.Life()]; !ok {
			s.seen[e.Life()] = now
		}
	}
	maps.DeleteFunc(s.seen, func(l contract.Life, _ time.Time) bool { return !listed[l] })
}

func ofService(entries []upstream.Entry, id contract.ServiceID) []upstream.Entry {
	return slices.DeleteFunc(slices.Clone(entries), func(e upstream.Entry) bool { return e.Service != id })
}

// scale decides on one service and makes the first order that is due, and tells whether it
// made one.
func (s *Scaler) scale(ctx context.Context, n contract.FencingNumber, id contract.ServiceID, limits scaling.Limits, record scaling.Record, entries []upstream.Entry, work scaling.Work, now time.Time) bool {
	stands := s.stands(entries, now)
	sized := record.Sized[id]
	if sized == nil {
		s.size(id, stands, now)
		return false
	}
	need := s.need(id, work, entries, now)
	releasing, released := s.opts.Releases(id)
	next := scaling.Next(scaling.Situation{
		Service: id, Limits: limits, Sized: sized, Stands: stands, Ordered: s.underWay(record.Of(id), limits, now),
		Need: need, Releasing: releasing, Released: released,
	})
	for _, o := range next {
		if now.Before(s.paused[o.Subject]) {
			continue
		}
		s.order(ctx, n, o, stands[o.DataCentre], need)
		return true
	}
	return false
}

// underWay returns the orders that may not show on the list yet. Those of an earlier holder
// are taken for new when they are first seen.
func (s *Scaler) underWay(ordered map[scaling.Subject]int, limits scaling.Limits, now time.Time) map[scaling.Subject]int {
	for x, count := range ordered {
		if _, ok := s.made[x]; !ok {
			s.made[x] = madeOrder{count, now}
		}
	}
	out := make(map[scaling.Subject]int, len(s.made))
	for x, o := range s.made {
		if now.Sub(o.at) < limits.Boot+listLag {
			out[x] = o.count
		}
	}
	return out
}

// stands counts the upstreams that do not leave.
func (s *Scaler) stands(entries []upstream.Entry, now time.Time) map[contract.DataCentreID]scaling.Stand {
	stands := make(map[contract.DataCentreID]scaling.Stand)
	for _, e := range entries {
		if e.Leaving {
			continue
		}
		st := stands[e.DataCentre]
		cold := now.Sub(s.seen[e.Life()]) < e.Cold
		if cold {
			st.Cold++
		}
		if e.Preemptible {
			st.Preemptible++
		} else {
			st.Standard++
		}
		if cold && e.Preemptible {
			st.ColdPreemptible++
		}
		stands[e.DataCentre] = st
	}
	return stands
}

// size notes how many upstreams stand before any is ordered.
func (s *Scaler) size(id contract.ServiceID, stands map[contract.DataCentreID]scaling.Stand, now time.Time) {
	each := make(map[contract.DataCentreID]int)
	total := 0
	for dc, st := range stands {
		each[dc] = st.Standard + st.Preemptible
		total += each[dc]
	}
	if c := s.counted[id]; c.n != total {
		s.counted[id] = counted{total, now}
	}
	if total == 0 || now.Sub(s.counted[id].since) < sizeAfter {
		return
	}
	if err := fix(s.opts.Keeper, true, func(r *Record) { r.Scaling = r.Scaling.Size(id, each) }); err != nil {
		s.opts.Log.Error("scaling-record-failed", logs.Failure(err)...)
		return
	}
	s.opts.Log.Info("upstreams-sized", zap.String("service", string(id)), zap.Int("upstreams", total), zap.Int("data_centres", len(each)))
}

// need returns how many upstreams the work of late needs.
func (s *Scaler) need(id contract.ServiceID, w scaling.Work, entries []upstream.Entry, now time.Time) float64 {
	slots := 0
	for _, e := range entries {
		slots = max(slots, e.Slots)
	}
	p := s.peaks[id]
	if p == nil {
		p = &scaling.Peak{}
		s.peaks[id] = p
	}
	return p.Note(w.Need(slots, s.opts.Objective(id)), now)
}

// order makes one order.
func (s *Scaler) order(ctx context.Context, n contract.FencingNumber, o scaling.Order, st scaling.Stand, need float64) {
	err := s.opts.Orderer.Scale(ctx, n, o)
	fields := []zap.Field{
		zap.String("service", string(o.Service)), zap.String("data_centre", string(o.DataCentre)), zap.Bool("preemptible", o.Preemptible),
		zap.Int("count", o.Count), zap.Int("standard", st.Standard), zap.Int("preemptible", st.Preemptible), zap.Int("cold", st.Cold),
		zap.Float64("need", need), zap.Uint64("fencing", uint64(n)),
	}
	var refused *RefusedError
	switch {
	case err == nil:
		s.made[o.Subject] = madeOrder{o.Count, s.opts.Now()}
		s.end("made")
		s.opts.Log.Info("upstreams-ordered", fields...)
		if err := fix(s.opts.Keeper, false, func(r *Record) { r.Scaling = r.Scaling.Order(o) }); err != nil {
			s.opts.Log.Error("scaling-record-failed", logs.Failure(err)...)
		}
		return
	case errors.As(err, &refused):
		s.paused[o.Subject] = s.opts.Now().Add(refusedPause)
		s.end("refused")
	default:
		s.paused[o.Subject] = s.opts.Now().Add(orderPause)
		s.end("failed")
	}
	s.opts.Log.Warn("upstreams-not-ordered", append(fields, logs.Failure(err)...)...)
}

func (s *Scaler) end(how string) {
	metrics.GetOrRegisterCounter(fmt.Sprintf("upstream_orders_total{end=%q}", how), s.opts.Registry).Inc(1)
}
