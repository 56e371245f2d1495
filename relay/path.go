package relay

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"woaddoor/contract"
	"woaddoor/exchange"
	"woaddoor/upstream"
)

// recordConnect records the result of an attempt to open a connection to an upstream.
func (r *Relay) recordConnect(e upstream.Entry, err error) {
	if err != nil {
		how := "timeout"
		if exchange.IsConnectionRefused(err) {
			how = "refused"
		}
		r.Metrics.countConnectFailure(e.Service, how)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordPath(e.Service, e.ID, err == nil, r.opts.Now())
}

// recordPath records whether a connection to an upstream was established,
// and logs a change of the state of the path to the service. The caller holds mu.
func (r *Relay) recordPath(s contract.ServiceID, id contract.UpstreamID, ok bool, now time.Time) {
	mayChange := !ok || r.paths.Failing(s)
	r.paths.RecordConnect(s, id, ok, now)
	if mayChange {
		r.logPath(s, now)
	}
}

// logPath logs the state of the path to a service if it has changed. The caller holds mu.
func (r *Relay) logPath(s contract.ServiceID, now time.Time) {
	state := r.pathState(s, now)
	if state == r.loggedPaths[s] {
		return
	}
	r.loggedPaths[s] = state
	status := r.paths.Status(s, now)
	r.log.Warn("path", zap.String("service", string(s)), zap.Stringer("state", state), zap.Int("failed", status.Failed), zap.Int("of", len(r.usableUpstreams(s, now))),
		zap.Int64("connected_ms", status.SinceConnect.Milliseconds()), zap.Int64("answered_ms", status.SinceAnswer.Milliseconds()))
}

// pathState returns the state of the path to a service. The caller holds mu.
func (r *Relay) pathState(s contract.ServiceID, now time.Time) upstream.PathState {
	if !r.paths.Failing(s) {
		return upstream.PathOpen
	}
	return r.paths.State(s, r.usableUpstreams(s, now), now)
}

// suspectPath records that an upstream has become silent: the path to it may be lost.
// The upstream's data centre is probed, and some upstreams of its service.
func (r *Relay) suspectPath(e upstream.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.DataCentre != r.opts.DataCentre {
		r.table.SuspectDataCentre(e.DataCentre)
	}
	if r.opts.Now().Sub(r.pathSuspectedAt[e.Service]) >= suspicionInterval {
		r.pathSuspectedAt[e.Service] = r.opts.Now()
		r.suspectedPaths[e.Service] = e.ID
	}
}

// Parameters of the probes of a path.
const (
	// suspicionInterval is the minimum time between two rounds of probes after upstreams of a service
	// have become silent: each probe opens a connection, and a single upstream may pause.
	suspicionInterval = 500 * time.Millisecond
	// suspicionProbes is the number of further upstreams that are probed
	// if no connection to a silent upstream can be established.
	suspicionProbes = 2
)

// checkPaths probes the paths that may be lost, and asks other VMs about the paths that are lost.
// The caller calls checkPaths periodically.
func (r *Relay) checkPaths(ctx context.Context) {
	var targets []upstream.Entry
	var lost []contract.ServiceID
	r.withLock(func() {
		now := r.opts.Now()
		for _, silent := range r.suspectedPaths {
			if e, ok := r.entries[silent]; ok {
				go r.probeSilent(ctx, e)
			}
		}
		clear(r.suspectedPaths)
		for s := range r.poolsByRelease {
			r.logPath(s, now)
			if r.pathState(s, now) == upstream.PathOpen {
				continue
			}
			targets = append(targets, r.randomUpstreams(s, 1, "", now)...)
			if r.pathState(s, now) == upstream.PathLost {
				lost = append(lost, s)
			}
		}
	})
	for _, e := range targets {
		go r.probePath(ctx, e)
	}
	for _, s := range lost {
		if r.opts.Forwarder != nil {
			go r.opts.Forwarder.Ask(ctx, s)
		}
	}
}

// probeSilent probes an upstream that has become silent, and others of its service if that fails.
func (r *Relay) probeSilent(ctx context.Context, e upstream.Entry) {
	if r.probePath(ctx, e) {
		return
	}
	var others []upstream.Entry
	r.withLock(func() { others = r.randomUpstreams(e.Service, suspicionProbes, e.ID, r.opts.Now()) })
	for _, other := range others {
		go r.probePath(ctx, other)
	}
}

// probePath tries to connect to an upstream, and reports whether it can be reached.
func (r *Relay) probePath(ctx context.Context, e upstream.Entry) bool {
	err := exchange.Probe(ctx, r.opts.Dial, e.Address)
	if ctx.Err() == nil {
		r.recordConnect(e, err)
	}
	return err == nil
}

// randomUpstreams returns up to n usable upstreams of a service except one. The caller holds mu.
func (r *Relay) randomUpstreams(s contract.ServiceID, n int, except contract.UpstreamID, now time.Time) []upstream.Entry {
	usable := r.usableUpstreams(s, now)
	r.random.Shuffle(len(usable), func(a, b int) { usable[a], usable[b] = usable[b], usable[a] })
	var picked []upstream.Entry
	for _, id := range usable {
		if len(picked) < n && id != except {
			picked = append(picked, r.entries[id])
		}
	}
	return picked
}

// otherUpstreamsWouldFail reports whether a request has no chance at a further upstream of this VM,
// because the path to all of them is lost: an attempt has failed,
// or another VM has passed on the request and can choose a further VM. The caller holds mu.
func (r *Relay) otherUpstreamsWouldFail(j *job, now time.Time) bool {
	if j.failures == 0 && !j.forwarded {
		return false
	}
	lost := r.pathState(j.service, now) == upstream.PathLost
	return lost && (j.forwarded || r.elsewhere(j.service) == ReachElsewhere) || j.failures > 0 && r.noDataCentreReached(j.service, now)
}

// elsewhere returns whether other VMs reach a service.
func (r *Relay) elsewhere(s contract.ServiceID) Reach {
	if r.opts.Forwarder == nil {
		return ReachUnknown
	}
	return r.opts.Forwarder.Elsewhere(s)
}

// reachTTL is how long a connection or an answer shows that this VM reaches a service.
const reachTTL = time.Second

// Reaches reports whether this VM reaches the upstreams of a service.
// Reaches tries to connect to one of them if none has answered lately.
func (r *Relay) Reaches(ctx context.Context, s contract.ServiceID) bool {
	open, recent := false, false
	var probe []upstream.Entry
	r.withLock(func() {
		now := r.opts.Now()
		open = r.pathState(s, now) == upstream.PathOpen
		recent = r.paths.ReachedWithin(s, reachTTL, now)
		if open && !recent {
			probe = r.randomUpstreams(s, 1, "", now)
		}
	})
	return open && (recent || len(probe) > 0 && r.probePath(ctx, probe[0]))
}

// HasRoom reports whether this VM may send a request to any upstream of a service now.
func (r *Relay) HasRoom(s contract.ServiceID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	pools := r.notEvacuated(poolsExcept(r.poolsByRelease[s], r.rolledBack[s]), 0, now)
	return len(pools) > 0 && r.table.CanPick(r.poolQuery(candidatePools{pools: pools}, nil), now)
}

// RoomHolders returns the VMs of this data centre that hold the room of a service, if its upstreams are
// brittle and only a few VMs do.
func (r *Relay) RoomHolders(s contract.ServiceID) []contract.VMID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.RoomHolders(s)
}

// usableUpstreams returns the upstreams of a service that requests may be sent to,
// apart from their health. The caller holds mu.
func (r *Relay) usableUpstreams(s contract.ServiceID, now time.Time) []contract.UpstreamID {
	return r.table.Wanted(r.notEvacuated(poolsExcept(r.poolsByRelease[s], r.rolledBack[s]), 0, now))
}

// CountPathsFailing returns the number of services
// to whose upstreams this VM can establish no connection.
func (r *Relay) CountPathsFailing() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, n := r.opts.Now(), 0
	for s := range r.poolsByRelease {
		if r.pathState(s, now) != upstream.PathOpen {
			n++
		}
	}
	return n
}

// countConnectFailure counts a connection to an upstream that could not be established.
func (m *Metrics) countConnectFailure(s contract.ServiceID, how string) {
	metrics.GetOrRegisterCounter("connects_failed_total{service=\""+string(s)+"\",how=\""+how+"\"}", m.Registry).Inc(1)
}
