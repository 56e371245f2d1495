package relay

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"woaddoor/contract"
)

// evacuation is the state of an evacuated data centre,
// whose upstreams must receive no more requests.
type evacuation struct {
	startedAt time.Time // when this VM learned of the evacuation
}

// The load of an evacuated data centre moves to the other data centres gradually.
// If the load moved at once, prompts would reach engines
// that have not yet cached the shared parts of these prompts.
const (
	// The load of an evacuated data centre moves within
	// the evacuation bound divided by rampDivisor.
	// Half of the evacuation bound may pass before a VM's broken watch
	// for changes in the platform's object store is restored.
	rampDivisor = 5
	// maxRamp is the longest time in which the load of an evacuated data centre moves.
	// A longer time has no benefit.
	maxRamp = time.Second
)

// evacuationRamp returns how long the load of a data centre takes to move to the others.
func (r *Relay) evacuationRamp() time.Duration {
	if r.opts.EvacuationBound <= 0 {
		return maxRamp
	}
	return min(r.opts.EvacuationBound/rampDivisor, maxRamp)
}

// movedFraction returns the fraction of an evacuated data centre's load
// that has moved to other data centres.
func (e evacuation) movedFraction(ramp time.Duration, now time.Time) float64 {
	return min(max(float64(now.Sub(e.startedAt))/float64(ramp), 0), 1)
}

// SetEvacuated replaces the set of evacuated data centres.
// Upstreams of an evacuated data centre receive no new requests; their running requests continue.
func (r *Relay) SetEvacuated(centres []contract.DataCentreID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	previous := r.evacuations
	r.evacuations = make(map[contract.DataCentreID]evacuation, len(centres))
	for _, dc := range centres {
		e, known := previous[dc]
		if !known {
			e = evacuation{startedAt: now}
			r.log.Info("evacuation-begins", zap.String("data_centre", string(dc)), zap.Int("running", r.table.InFlightIn(dc)))
		}
		r.evacuations[dc] = e
	}
	for dc, e := range previous {
		if _, still := r.evacuations[dc]; !still {
			r.log.Info("evacuation-ends", zap.String("data_centre", string(dc)), zap.Duration("after", now.Sub(e.startedAt).Round(time.Millisecond)))
			r.table.EvacuationCancelled(dc, now)
		}
	}
	r.logColdUpstreams()
}

// EvacuationStatus describes the progress of an evacuation as seen by this VM.
type EvacuationStatus struct {
	DataCentre contract.DataCentreID
	// Elapsed is the time since this VM learned of the evacuation.
	// Running is the number of requests of this VM that still run in the evacuated data centre.
	Elapsed time.Duration
	Running int
}

// Evacuations returns the status of all evacuated data centres.
func (r *Relay) Evacuations() []EvacuationStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	var out []EvacuationStatus
	for dc, e := range r.evacuations {
		out = append(out, EvacuationStatus{dc, now.Sub(e.startedAt), r.table.InFlightIn(dc)})
	}
	return out
}

// filterPools removes the pools that are in evacuated data centres
// or outside the regions that the request allows.
// filterPools then removes the candidates that have no pools left,
// because an empty pool list in a query would match all pools of all services.
// While the load of an evacuated data centre moves,
// the request ID determines whether a request has already moved.
// All decisions on one request therefore use the same pools. The caller holds mu.
func (r *Relay) filterPools(j *job, order []candidatePools, now time.Time) []candidatePools {
	for i := range order {
		order[i].pools = r.allowedPools(j.Request, order[i].pools)
	}
	if len(r.evacuations) > 0 {
		fraction := requestFraction(j.ID)
		for i := range order {
			order[i].pools = r.notEvacuated(order[i].pools, fraction, now)
		}
	}
	return slices.DeleteFunc(order, func(c candidatePools) bool { return len(c.pools) == 0 })
}

// notEvacuated returns the pools that a request may still use during evacuations.
// A request moves once the fraction of the load
// that has moved exceeds the requestFraction of the request.
// The caller holds mu.
func (r *Relay) notEvacuated(ids []contract.PoolID, fraction float64, now time.Time) []contract.PoolID {
	if len(r.evacuations) == 0 {
		return ids
	}
	return slices.DeleteFunc(slices.Clone(ids), func(id contract.PoolID) bool {
		e, ok := r.evacuations[r.dataCentreOf[id]]
		moved := e.movedFraction(r.evacuationRamp(), now)
		return ok && (moved == 1 || fraction < moved)
	})
}

// requestFraction returns a number from 0 to 1 that is derived from the request ID alone.
func requestFraction(id contract.RequestID) float64 {
	return float64(xxhash.Sum64String(string(id))) / math.MaxUint64
}
