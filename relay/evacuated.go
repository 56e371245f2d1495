package relay

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"woaddoor/contract"
)

// evacuation is a data centre whose upstreams are to get nothing more.
type evacuation struct {
	since time.Time // when this VM has heard of it
}

// The load of a data centre moves to the others over a while after its evacuation was
// heard of: all of it at once would meet engines that have not been sent the shared parts
// of its prompts.
const (
	// rampPart is the part of the bound of an evacuation that this takes: half of the
	// bound may pass before a watch that was cut is made again.
	rampPart = 5 // divided
	// rampMost bounds it: longer saves nothing.
	rampMost = time.Second
)

// ramp returns how long the load of a data centre takes to move.
func (r *Relay) ramp() time.Duration {
	if r.opts.Evacuation <= 0 {
		return rampMost
	}
	return min(r.opts.Evacuation/rampPart, rampMost)
}

// moved returns the part of the load that has moved away.
func (e evacuation) moved(ramp time.Duration, now time.Time) float64 {
	return min(max(float64(now.Sub(e.since))/float64(ramp), 0), 1)
}

// SetEvacuated takes in all data centres whose upstreams are to get nothing more. What
// runs there ends there.
func (r *Relay) SetEvacuated(centres []contract.DataCentreID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	was := r.evacuated
	r.evacuated = make(map[contract.DataCentreID]evacuation, len(centres))
	for _, dc := range centres {
		e, known := was[dc]
		if !known {
			e = evacuation{since: now}
			r.log.Info("evacuation-begins", zap.String("data_centre", string(dc)), zap.Int("running", r.table.Running(dc)))
		}
		r.evacuated[dc] = e
	}
	for dc, e := range was {
		if _, still := r.evacuated[dc]; !still {
			r.log.Info("evacuation-ends", zap.String("data_centre", string(dc)), zap.Duration("after", now.Sub(e.since).Round(time.Millisecond)))
			r.table.TakenBack(dc, now)
		}
	}
	r.logCold()
}

// Evacuated is what a VM tells of a data centre that is evacuated.
type Evacuated struct {
	DataCentre contract.DataCentreID
	// For is how long this VM has known, Running how many of its requests still run
	// there.
	For     time.Duration
	Running int
}

// Evacuated returns the data centres whose upstreams get nothing more.
func (r *Relay) Evacuated() []Evacuated {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	var out []Evacuated
	for dc, e := range r.evacuated {
		out = append(out, Evacuated{dc, now.Sub(e.since), r.table.Running(dc)})
	}
	return out
}

// spared leaves out the pools of data centres that are evacuated or where the request may not
// be, and candidates that have none left: to Pick, no pools would mean all of every service. While the load
// moves, a request is among those that have moved by its id, so that all that is
// decided on it goes by the same pools. The caller holds mu.
func (r *Relay) spared(j *job, order []candidates, now time.Time) []candidates {
	for i := range order {
		order[i].ids = r.inside(j.Request, order[i].ids)
	}
	if len(r.evacuated) > 0 {
		when := part(j.ID)
		for i := range order {
			order[i].ids = r.open(order[i].ids, when, now)
		}
	}
	return slices.DeleteFunc(order, func(c candidates) bool { return len(c.ids) == 0 })
}

// open returns the pools that are in no evacuated data centre, as a request sees it
// that moves when a part of the load has moved. The caller holds mu.
func (r *Relay) open(ids []contract.PoolID, when float64, now time.Time) []contract.PoolID {
	if len(r.evacuated) == 0 {
		return ids
	}
	return slices.DeleteFunc(slices.Clone(ids), func(id contract.PoolID) bool {
		e, ok := r.evacuated[r.centreOf[id]]
		moved := e.moved(r.ramp(), now)
		return ok && (moved == 1 || when < moved)
	})
}

// part returns a number from 0 to 1 that depends on the request alone.
func part(id contract.RequestID) float64 {
	return float64(xxhash.Sum64String(string(id))) / math.MaxUint64
}
