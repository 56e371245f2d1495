package relay

import (
	"context"
	"time"

	"go.uber.org/zap"

	"woaddoor/clock"
	"woaddoor/contract"
	"woaddoor/exchange"
	"woaddoor/logs"
	"woaddoor/upstream"
)

// Timing of the reachability checks.
const (
	// probeInterval is the interval between probes of data centres that appear unreachable.
	// A data centre that is reachable again is detected within one interval.
	// Each probe has a cost, because it opens a connection to an upstream.
	probeInterval = 250 * time.Millisecond
	// isolationDelay is how long a VM must be isolated (reach no upstream of a service)
	// before it reports its isolation.
	// A single lost packet does not count as isolation.
	isolationDelay = 500 * time.Millisecond
)

// ProbeDataCentres probes data centres that appear unreachable and the upstreams of services to
// which this VM may have lost its path, so that no request is needed to find out that they are
// reachable again.
// ProbeDataCentres returns when ctx ends.
func (r *Relay) ProbeDataCentres(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, probeInterval)
		var targets map[contract.DataCentreID]string
		r.withLock(func() { targets = r.table.ProbeTargets(r.opts.Now(), r.random) })
		for dc, address := range targets {
			go r.probeDataCentre(ctx, dc, address)
		}
		r.checkPaths(ctx)
		r.updateIsolation()
	}
}

// probeDataCentre probes a data centre through one of its upstreams.
func (r *Relay) probeDataCentre(ctx context.Context, dc contract.DataCentreID, address string) {
	err := exchange.Probe(ctx, r.opts.Dial, address)
	ok := err == nil || exchange.IsConnectionRefused(err)
	r.withLock(func() { r.table.RecordDataCentreProbe(dc, ok, r.opts.Now()) })
	if ok {
		r.log.Info("data-centre-reached", zap.String("data_centre", string(dc)), zap.String("by", address))
		return
	}
	r.log.Debug("data-centre-away", append(logs.ErrorFields(err), zap.String("data_centre", string(dc)))...)
}

// updateIsolation checks whether this VM is isolated, and logs changes.
func (r *Relay) updateIsolation() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	var isolated contract.ServiceID
	for id := range r.poolsByRelease {
		if r.isIsolated(id, now) {
			isolated = id
		}
	}
	switch {
	case isolated == "" && !r.isolatedSince.IsZero():
		r.log.Info("cut-off-ends", zap.Duration("after", now.Sub(r.isolatedSince).Round(time.Millisecond)))
		r.isolatedSince = time.Time{}
	case isolated != "" && r.isolatedSince.IsZero():
		r.log.Warn("cut-off", zap.String("service", string(isolated)), zap.Int("upstreams", len(r.entries)))
		r.isolatedSince = now
	}
}

// isIsolated reports whether other VMs can serve the requests for a service better than this VM:
// this VM has no path to its upstreams and another VM has,
// or all other data centres are unreachable and no upstream of this one works.
// If other VMs answer that they have no path either, the service itself is down;
// callers gain nothing from another VM, and other services would lose this one.
// While the VM's own data centre is evacuated,
// the upstreams of that data centre do not count as reachable.
// The operator's order to evacuate applies even if no other upstream is left.
// The caller holds mu.
func (r *Relay) isIsolated(s contract.ServiceID, now time.Time) bool {
	elsewhere := r.elsewhere(s)
	if elsewhere == ReachElsewhere && r.pathState(s, now) == upstream.PathLost {
		return true
	}
	return elsewhere != ReachNowhere && r.noDataCentreReached(s, now)
}

// noDataCentreReached reports whether all other data centres are unreachable and
// no upstream of a service works in this one. The caller holds mu.
func (r *Relay) noDataCentreReached(s contract.ServiceID, now time.Time) bool {
	return r.table.Isolated(r.opts.DataCentre, r.notEvacuated(poolsExcept(r.poolsByRelease[s], r.rolledBack[s]), 0, now), now)
}

// Isolated reports whether this VM has been isolated
// from all upstreams of a service for at least isolationDelay.
// Callers are better served by a VM that can reach some upstreams.
func (r *Relay) Isolated() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.isolatedSince.IsZero() && r.opts.Now().Sub(r.isolatedSince) >= isolationDelay
}
