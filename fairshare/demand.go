package fairshare

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"woaddoor/contract"
)

// Averaging is the time over which work is averaged. Fractions of admitted requests lag by this
// time. A shorter time would be noisy: a VM of a large deployment receives only a few requests of
// a service per second.
const Averaging = 2 * time.Second

// Class is the part of a service's requests that is counted together.
type Class struct {
	Workspace contract.WorkspaceID
	// Priority is the priority of the requests; 0 is the most urgent.
	Priority int
}

// Work is the work of a class per second: prefill seconds, or requests of a plain service.
type Work struct {
	// Offered is the work of all requests that arrived, Admitted of those that were sent on.
	Offered, Admitted float64
}

// Demand is the work of each class of a service.
type Demand map[Class]Work

// Add adds the work of other to d.
func (d Demand) Add(other Demand) {
	for class, work := range other {
		sum := d[class]
		d[class] = Work{Offered: sum.Offered + work.Offered, Admitted: sum.Admitted + work.Admitted}
	}
}

// Sum returns the work of all classes together.
func (d Demand) Sum() Work {
	var sum Work
	for _, work := range d {
		sum.Offered += work.Offered
		sum.Admitted += work.Admitted
	}
	return sum
}

// classesByWorkspace returns the classes of each workspace, sorted by workspace and priority.
func (d Demand) classesByWorkspace() [][]Class {
	sorted := slices.SortedFunc(maps.Keys(d), func(a, b Class) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Priority, b.Priority))
	})
	var groups [][]Class
	for _, class := range sorted {
		if n := len(groups); n == 0 || groups[n-1][0].Workspace != class.Workspace {
			groups = append(groups, nil)
		}
		last := len(groups) - 1
		groups[last] = append(groups[last], class)
	}
	return groups
}

// rate is an exponentially weighted average per second over Averaging.
type rate struct {
	perSecond float64
	updated   time.Time
}

// at returns the average at a time.
func (r rate) at(now time.Time) float64 {
	return r.perSecond * math.Exp(-now.Sub(r.updated).Seconds()/Averaging.Seconds())
}

// add counts an amount.
func (r *rate) add(amount float64, now time.Time) {
	r.perSecond, r.updated = r.at(now)+amount/Averaging.Seconds(), now
}

// classRates are the averages of one class at this VM: its offered and admitted work, and the
// number of its requests.
type classRates struct{ offered, admitted, requests rate }

// minRate is the work per second below which a class is deleted. Reports round to thousandths.
const minRate = 0.0005

// counter counts the work of each class at this VM.
type counter map[Class]*classRates

// of returns the averages of a class and creates them if there are none.
func (c counter) of(class Class) *classRates {
	rates, ok := c[class]
	if !ok {
		rates = &classRates{}
		c[class] = rates
	}
	return rates
}

// demand returns the counted work and deletes classes without recent work.
func (c counter) demand(now time.Time) Demand {
	d := make(Demand, len(c))
	for class, rates := range c {
		work := Work{Offered: rates.offered.at(now), Admitted: rates.admitted.at(now)}
		if work.Offered < minRate {
			delete(c, class)
			continue
		}
		d[class] = work
	}
	return d
}
