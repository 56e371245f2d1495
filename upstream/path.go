package upstream

import (
	"time"

	"woaddoor/contract"
)

// PathState is what a VM's own attempts show about its network path to the upstreams of a service.
type PathState uint8

const (
	// PathOpen means that connections to some upstream can be established,
	// or that too few failed to conclude otherwise.
	PathOpen PathState = iota
	// PathNoConnects means that no new connection can be established,
	// while upstreams still answer on connections that are open.
	PathNoConnects
	// PathLost means that no new connection can be established and that no upstream answers.
	PathLost
)

// String returns the name of the state as it appears in the log.
func (s PathState) String() string {
	switch s {
	case PathNoConnects:
		return "no-connects"
	case PathLost:
		return "lost"
	}
	return "open"
}

// Parameters of the state of a path.
const (
	// pathMinFailed is the number of upstreams to which no connection could be established, one
	// after another, from which on the path itself may have failed. One or two upstreams may have
	// crashed. If a service has fewer upstreams, all of them must have failed.
	pathMinFailed = 3
	// answerTTL is how long an answer on an open connection shows that the path carries requests.
	answerTTL = time.Second
)

// PathMonitor tracks, for each service, whether this VM can establish connections to upstreams and
// gets answers from them. Its state does not expire: after connections have failed, only
// an established connection shows that the path works again.
// A refused connection counts as failed, because a partition may refuse connections as well.
// Whether the path or the upstreams have failed is known only by comparison with other VMs.
//
// A PathMonitor is not safe for concurrent use: callers synchronize access.
type PathMonitor struct {
	paths map[contract.ServiceID]*path
}

// path is the state of the path to the upstreams of one service.
type path struct {
	// failed holds the upstreams to which no connection could be established since a connection was
	// last established to any upstream of the service.
	failed map[contract.UpstreamID]bool
	// connectedAt is when a connection was last established, failedAt when one last failed,
	// and answeredAt when an answer last began.
	connectedAt, failedAt, answeredAt time.Time
}

// NewPathMonitor returns a PathMonitor without observations.
func NewPathMonitor() *PathMonitor {
	return &PathMonitor{paths: make(map[contract.ServiceID]*path)}
}

func (m *PathMonitor) path(s contract.ServiceID) *path {
	p, ok := m.paths[s]
	if !ok {
		p = &path{failed: make(map[contract.UpstreamID]bool)}
		m.paths[s] = p
	}
	return p
}

// RecordConnect records whether a new connection to an upstream of a service was established.
func (m *PathMonitor) RecordConnect(s contract.ServiceID, id contract.UpstreamID, ok bool, now time.Time) {
	p := m.path(s)
	if ok {
		clear(p.failed)
		p.connectedAt = now
		return
	}
	p.failed[id] = true
	p.failedAt = now
}

// RecordAnswer records that an upstream of a service has begun to answer.
func (m *PathMonitor) RecordAnswer(s contract.ServiceID, now time.Time) { m.path(s).answeredAt = now }

// Failing reports whether connections to a service have failed since one was last established.
func (m *PathMonitor) Failing(s contract.ServiceID) bool {
	p, ok := m.paths[s]
	return ok && len(p.failed) > 0
}

// State returns the state of the path to a service, given the upstreams that could be used now.
func (m *PathMonitor) State(s contract.ServiceID, usable []contract.UpstreamID, now time.Time) PathState {
	p, ok := m.paths[s]
	if !ok || len(p.failed) == 0 || len(usable) == 0 {
		return PathOpen
	}
	failed := 0
	for _, id := range usable {
		if p.failed[id] {
			failed++
		}
	}
	switch {
	case failed < min(pathMinFailed, len(usable)):
		return PathOpen
	case now.Sub(p.answeredAt) < answerTTL:
		return PathNoConnects
	}
	return PathLost
}

// ReachedWithin reports whether, within the duration d before now,
// a connection to an upstream of a service was established or an upstream answered.
func (m *PathMonitor) ReachedWithin(s contract.ServiceID, d time.Duration, now time.Time) bool {
	p, ok := m.paths[s]
	return ok && (now.Sub(p.connectedAt) < d || now.Sub(p.answeredAt) < d)
}

// PathStatus describes the path to the upstreams of a service, for the log and the metrics.
type PathStatus struct {
	// Failed is the number of upstreams to which no connection could be established
	// since one was last established.
	Failed int
	// SinceConnect and SinceAnswer are the times since a connection was last established and since
	// an upstream last began to answer; negative if that never happened.
	SinceConnect, SinceAnswer time.Duration
}

// Status returns the status of the path to a service.
func (m *PathMonitor) Status(s contract.ServiceID, now time.Time) PathStatus {
	p := m.path(s)
	since := func(t time.Time) time.Duration {
		if t.IsZero() {
			return -1
		}
		return now.Sub(t)
	}
	return PathStatus{Failed: len(p.failed), SinceConnect: since(p.connectedAt), SinceAnswer: since(p.answeredAt)}
}

// Forget drops what is known of upstreams that are no longer listed.
func (m *PathMonitor) Forget(s contract.ServiceID, id contract.UpstreamID) {
	if p, ok := m.paths[s]; ok {
		delete(p.failed, id)
	}
}
