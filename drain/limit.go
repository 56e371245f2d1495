package drain

import "time"

const (
	// maxShut is the longest time without a new connection. The load balancer counts on a VM that says that it
	// is ready to accept some.
	maxShut = 500 * time.Millisecond
	// roomShare is the part of the limit that must have become free before the gate is opened again.
	roomShare = 1.0 / 8
	// maxLimitAge is how long a limit that was set last holds.
	maxLimitAge = 250 * time.Millisecond
	// closeAfterShut is how long after the gate was last shut callers are asked to close their connections.
	closeAfterShut = time.Second
)

// SetLimit limits the number of busy connections; 0 means no limit. While it is reached, the system refuses new
// connections. The argument stale is the limit if SetLimit has not been called for maxLimitAge, as after a suspension.
// SetLimit has no effect on a Listener without a Gate. It must be called again and again while there is a limit, since
// it also opens a gate that has been shut for too long.
func (l *Listener) SetLimit(limit, stale int) {
	if l.gate == nil {
		return
	}
	l.limit.Store(int64(limit))
	l.staleLimit.Store(int64(stale))
	l.limitSetAt.Store(time.Now().UnixNano())
	l.openIfRoom()
	if since := l.gate.ShutSince(); !since.IsZero() && time.Since(since) >= maxShut {
		l.open() // for one connection: the next one that is accepted shuts the gate
	}
}

// currentLimit returns the limit of busy connections, or 0.
func (l *Listener) currentLimit() int64 {
	if limit := l.limit.Load(); limit > 0 {
		return limit
	}
	if time.Since(time.Unix(0, l.limitSetAt.Load())) > maxLimitAge {
		return l.staleLimit.Load()
	}
	return 0
}

// shutIfFull shuts the gate if the limit of busy connections is reached.
func (l *Listener) shutIfFull() {
	if limit := l.currentLimit(); limit > 0 && l.busy.Load() >= limit {
		l.gate.Shut()
	}
}

// openIfRoom opens the gate if it is shut and there is room below the limit.
func (l *Listener) openIfRoom() {
	if l.gate == nil || l.gate.ShutSince().IsZero() {
		return
	}
	limit := l.currentLimit()
	if room := max(1, int64(roomShare*float64(limit))); limit == 0 || l.busy.Load() <= limit-room {
		l.open()
	}
}

func (l *Listener) open() {
	if err := l.gate.Open(); err != nil && l.OnOpenFailed != nil {
		l.OnOpenFailed(err)
	}
}

// Limited reports whether the limit of busy connections has been reached within the last second. Callers should
// then be asked to close their connections, so that their next requests reach other VMs.
func (l *Listener) Limited() bool {
	return l.gate != nil && time.Since(l.gate.LastShut()) < closeAfterShut
}

// ShutTotals returns how often the limit has been reached, and for how long in all.
func (l *Listener) ShutTotals() (times int, total time.Duration) {
	if l.gate == nil {
		return 0, 0
	}
	return l.gate.ShutTotals()
}
