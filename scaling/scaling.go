// Package scaling decides how many upstreams of a service stand in each data centre, where
// the platform lets that be ordered and each second of one is paid for. It is pure: what
// stands, what it has to do and the time are given.
//
// Preemptible upstreams cost a part of the others, and the platform may take away all of a
// data centre at once. They take the place of the others as far as the work is still done
// when those of the two data centres that have most of them are gone. Upstreams that work
// are given away only once what takes their place serves; what is gone is replaced at once
// only where the work needs it, since a new upstream holds no prompts and begins cold.
package scaling

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"woaddoor/contract"
)

// Subject is what one order is for: the upstreams of one kind in one data centre.
type Subject struct {
	Service     contract.ServiceID    `json:"service"`
	DataCentre  contract.DataCentreID `json:"data_centre"`
	Preemptible bool                  `json:"preemptible,omitempty"`
}

// Order is how many upstreams of a subject are to stand.
type Order struct {
	Subject
	Count int `json:"count"`
}

// Record is what all that order upstreams share: nothing can be read back.
type Record struct {
	// Sized is how many upstreams stood when they were first counted.
	Sized map[contract.ServiceID]map[contract.DataCentreID]int `json:"sized,omitempty"`
	// Ordered are the orders in force.
	Ordered []Order `json:"ordered,omitempty"`
}

// Order returns the record once an order was made.
func (r Record) Order(o Order) Record {
	r.Ordered = slices.DeleteFunc(slices.Clone(r.Ordered), func(had Order) bool { return had.Subject == o.Subject })
	r.Ordered = append(r.Ordered, o)
	return r
}

// Size returns the record once the upstreams of a service were counted.
func (r Record) Size(s contract.ServiceID, counted map[contract.DataCentreID]int) Record {
	r.Sized = maps.Clone(r.Sized)
	if r.Sized == nil {
		r.Sized = make(map[contract.ServiceID]map[contract.DataCentreID]int)
	}
	r.Sized[s] = counted
	return r
}

// Of returns the orders of a service.
func (r Record) Of(s contract.ServiceID) map[Subject]int {
	out := make(map[Subject]int)
	for _, o := range r.Ordered {
		if o.Service == s {
			out[o.Subject] = o.Count
		}
	}
	return out
}

// Limits are what may be ordered of a service.
type Limits struct {
	// Min and Max bound how many stand in each data centre, of both kinds together.
	Min, Max int
	// Boot is how long a new one takes to serve.
	Boot time.Duration
	// PreemptiblePrice is what a preemptible one costs, in parts of the price of the others;
	// zero where there are none to be had.
	PreemptiblePrice float64
}

// Stand is what of a service is in a data centre and does not leave.
type Stand struct {
	// Standard and Preemptible are how many there are of each kind, cold ones among them.
	Standard, Preemptible int
	// Cold is how many of all do not bear their full work yet, ColdPreemptible how many of
	// the preemptible ones.
	Cold, ColdPreemptible int
}

func (s Stand) of(preemptible bool) int {
	if preemptible {
		return s.Preemptible
	}
	return s.Standard
}

// Situation is what is known of a service.
type Situation struct {
	Service contract.ServiceID
	Limits  Limits
	// Sized is how many stood in each data centre when they were first counted: the
	// operator's own measure of what the service needs.
	Sized map[contract.DataCentreID]int
	// Stands are what is there now.
	Stands map[contract.DataCentreID]Stand
	// Ordered are the orders that may still be on their way. What was ordered before that
	// and is not there is not coming.
	Ordered map[Subject]int
	// Need is how many upstreams the work of late asks for.
	Need float64
	// Releasing tells that a release is being brought in: its upstreams stand beside the
	// others, and an order would take some of them away. Released tells that one has been:
	// upstreams that are ordered come with the software from before it.
	Releasing, Released bool
}

// Parameters of what stands beyond the need.
const (
	// lostCentres is how many data centres may lose their preemptible upstreams together.
	lostCentres = 2
	// crowding is how much of the need has to be there while they are gone: upstreams are
	// busier then than they are to be at other times, and keep up.
	crowding = 0.65
)

// Next returns the orders to make, those that add upstreams first.
func Next(s Situation) []Order {
	if s.Released || s.Releasing && !s.short() {
		return nil
	}
	var out []Order
	for _, dc := range slices.Sorted(maps.Keys(s.Sized)) {
		for _, o := range []Order{s.order(dc, true, s.preemptible(dc)), s.order(dc, false, s.standard(dc))} {
			if o.Count != s.there(o.Subject) {
				out = append(out, o)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b Order) int { return cmp.Compare(s.removes(a), s.removes(b)) })
	return out
}

func (s Situation) order(dc contract.DataCentreID, preemptible bool, n int) Order {
	return Order{Subject{s.Service, dc, preemptible}, n}
}

// removes returns 1 for an order that takes upstreams away, else 0.
func (s Situation) removes(o Order) int {
	if o.Count < s.there(o.Subject) {
		return 1
	}
	return 0
}

// there returns how many of a subject are there or on their way.
func (s Situation) there(x Subject) int {
	if n, ok := s.Ordered[x]; ok {
		return n
	}
	return s.Stands[x.DataCentre].of(x.Preemptible)
}

// cheap tells whether preemptible upstreams cost less than others.
func (s Situation) cheap() bool {
	return s.Limits.PreemptiblePrice > 0 && s.Limits.PreemptiblePrice < 1
}

// sizedInAll returns for how many upstreams the service was sized.
func (s Situation) sizedInAll() int {
	sized := 0
	for _, n := range s.Sized {
		sized += n
	}
	return sized
}

// total returns how many upstreams are to stand in all: as many as the service was sized
// for, or its work needs; where they are preemptible, as many more as the loss of some data
// centres' asks for.
func (s Situation) total() float64 {
	total := max(float64(s.sizedInAll()), s.Need)
	if left := len(s.Sized) - lostCentres; s.cheap() && left > 0 {
		total = max(total, crowding*s.Need*float64(len(s.Sized))/float64(left))
	}
	return total
}

// wanted returns how many are to stand in a data centre.
func (s Situation) wanted(dc contract.DataCentreID) int {
	sized := s.sizedInAll()
	if sized == 0 {
		return s.Limits.Min
	}
	n := math.Ceil(float64(s.Sized[dc]) * s.total() / float64(sized))
	return min(max(int(n), s.Limits.Min), s.Limits.Max)
}

// kept is how many standard upstreams stay in each data centre beside preemptible ones.
func (s Situation) kept() int { return max(s.Limits.Min, 1) }

// preemptible returns how many preemptible upstreams are to be in a data centre: all that are
// wanted but for those that are kept, as far as both may stand together.
func (s Situation) preemptible(dc contract.DataCentreID) int {
	if !s.cheap() {
		return s.there(Subject{s.Service, dc, true})
	}
	room := s.Limits.Max - s.there(Subject{s.Service, dc, false})
	return max(min(s.wanted(dc)-s.kept(), room), 0)
}

// standard returns how many standard upstreams are to be in a data centre: fewer as
// preemptible ones serve, and more again only where all that serves does too little.
func (s Situation) standard(dc contract.DataCentreID) int {
	if !s.cheap() {
		return s.wanted(dc)
	}
	now := s.there(Subject{s.Service, dc, false})
	st := s.Stands[dc]
	replaced := s.wanted(dc) - (st.Preemptible - st.ColdPreemptible)
	if s.short() {
		return min(max(now, replaced), max(s.Limits.Max-st.Preemptible, 0))
	}
	return max(s.kept(), min(now, replaced))
}

// short tells whether what serves, or will once it is warm, does too little for the work.
func (s Situation) short() bool {
	there := 0
	for _, n := range s.Stands {
		there += n.Standard + n.Preemptible
	}
	return float64(there) < crowding*s.Need
}
