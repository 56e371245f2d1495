package relay

import (
	"time"

	"woaddoor/contract"
	"woaddoor/rollout"
	"woaddoor/upstream"
)

// SetOrder takes in an order, or a newer state of it.
func (r *Relay) SetOrder(o rollout.Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.canaries[o.Service]
	if c != nil && c.Order().Revision > o.Revision {
		return // late word of an earlier order
	}
	r.noteEnd(o)
	if c != nil && c.Order().Release == o.Release {
		c.Update(o)
		return
	}
	r.canaries[o.Service] = rollout.NewCanary(o, r.opts.CanaryShare, r.opts.Now())
}

// noteEnd notes how an order ended. The caller holds mu.
func (r *Relay) noteEnd(o rollout.Order) {
	if r.undone[o.Service] == nil {
		r.undone[o.Service] = make(map[string]bool)
	}
	switch o.State {
	case rollout.OrderUndone:
		r.undone[o.Service][o.Release] = true
	case rollout.OrderCompleted:
		r.settled[o.Service] = o.Release
		delete(r.undone[o.Service], o.Release)
	default:
		delete(r.undone[o.Service], o.Release)
	}
}

// Verdict is how an order is to end.
type Verdict struct {
	Order rollout.Order
	State rollout.OrderState
	// Trial and Others are what this VM has seen.
	Trial, Others rollout.Counts
}

// Verdicts returns the orders that are to end now, by what this VM knows.
func (r *Relay) Verdicts() []Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Verdict
	for _, c := range r.canaries {
		if state, due := c.Verdict(r.opts.Now()); due {
			trial, others := c.Counts()
			out = append(out, Verdict{c.Order(), state, trial, others})
		}
	}
	return out
}

// Evidence returns what this VM tells another of releases on trial.
func (r *Relay) Evidence(to rollout.Hearer) rollout.Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	var e rollout.Evidence
	for _, c := range r.canaries {
		e = append(e, c.Evidence(to, r.opts.Self, r.opts.DataCentre)...)
	}
	return e
}

// OrderAge is how long ago an order was given.
type OrderAge struct {
	Service contract.ServiceID `cbor:"1,keyasint"`
	Release string             `cbor:"2,keyasint"`
	Age     time.Duration      `cbor:"3,keyasint"`
}

// OrderAges returns the ages of open orders that this VM knows by its own clock.
func (r *Relay) OrderAges() []OrderAge {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ages []OrderAge
	for id, c := range r.canaries {
		o := c.Order()
		if age, own := c.Age(r.opts.Now()); own && o.State == rollout.OrderOpen {
			ages = append(ages, OrderAge{id, o.Release, age})
		}
	}
	return ages
}

// HearAges takes in the ages that another VM knows.
func (r *Relay) HearAges(ages []OrderAge) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range ages {
		if c := r.canaries[a.Service]; c != nil && c.Order().Release == a.Release {
			c.Told(a.Age, r.opts.Now())
		}
	}
}

// Hear takes in what other VMs have counted, and tells whether more bad answers are
// known by it.
func (r *Relay) Hear(e rollout.Evidence) (worse bool) {
	if len(e) == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.canaries {
		before := c.Known()
		if c.Hear(e, r.opts.Self, r.opts.DataCentre) {
			r.logVerdict(c)
			r.wake()
		}
		worse = worse || c.Known().Bad > before.Bad
	}
	return worse
}

// wake asks for the verdicts to be looked at. The caller holds mu.
func (r *Relay) wake() {
	if r.opts.Wake != nil {
		r.opts.Wake()
	}
}

// Level compares the upstreams with one another, and is called every second or
// so.
func (r *Relay) Level() {
	// Both before mu: they take a lock of their own.
	var g upstream.Group
	if r.opts.Group != nil {
		g = r.opts.Group()
	}
	owners := upstream.Owners{Self: r.opts.Self.VM, VMs: []contract.VMID{r.opts.Self.VM}}
	if r.opts.Owners != nil {
		owners = r.opts.Owners()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.group = g
	r.table.SetGroup(g)
	r.table.SetOwners(r.opts.DataCentre, owners)
	r.table.Level(r.opts.DataCentre, r.opts.Now())
	r.noteRests(r.opts.Now())
	r.doubts.Expire(r.opts.Now())
	r.cases.Expire(r.opts.Now())
}

// Releases tells whether a release of a service is being brought in, and whether one has
// been.
func (r *Relay) Releases(s contract.ServiceID) (under, brought bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.canaries[s]
	under = c != nil && c.Order().State == rollout.OrderOpen && r.opts.Now().Sub(c.Order().Issued) < c.Order().Length
	return under, r.settled[s] != ""
}
