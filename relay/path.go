package relay

import (
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
	if ok && !r.paths.Failing(s) {
		r.paths.RecordConnect(s, id, true, now)
		return
	}
	r.paths.RecordConnect(s, id, ok, now)
	r.logPath(s, now)
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
