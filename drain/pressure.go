package drain

import (
	"context"
	"time"

	"go.uber.org/zap"

	"woaddoor/memory"
)

// Pressure is what callers make the process hold, and what gave way for it.
type Pressure struct {
	// Memory are the totals of the account; zero without one.
	Memory memory.Stats
	// Conns is the number of open connections, and ConnLimit their limit; 0 means none.
	Conns, ConnLimit int
	// ConnsStalled and ConnsRejected count the connections that were closed for new ones while a request was in
	// progress on them, and those that were closed when they were accepted.
	ConnsStalled, ConnsRejected int64
}

// Pressure returns what the callers of the listener make the process hold.
func (l *Listener) Pressure() Pressure {
	p := Pressure{Conns: l.OpenConns(), ConnLimit: l.maxConns, ConnsStalled: l.StalledConns.Load(), ConnsRejected: l.RejectedConns.Load()}
	if l.Limits.Memory != nil {
		p.Memory = l.Limits.Memory.Stats()
	}
	return p
}

// pressureLogInterval is the shortest time between two log lines about callers who gave way.
const pressureLogInterval = time.Second

// LogPressure logs the limits, and then how many callers gave way or found no room, in one line for each
// pressureLogInterval in which there were any, until ctx ends.
func (l *Listener) LogPressure(ctx context.Context, log *zap.Logger) {
	last := l.Pressure()
	log.Info("caller-limits", zap.Int("connections", last.ConnLimit), zap.Int64("memory_bytes", int64(last.Memory.Total)))
	ticker := time.NewTicker(pressureLogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p := l.Pressure()
		if p.gaveWay() != last.gaveWay() {
			log.Warn("callers-gave-way", p.fieldsSince(last)...)
		}
		last = p
	}
}

// gaveWay returns how many callers gave way or found no room so far.
func (p Pressure) gaveWay() int64 {
	return p.Memory.Evicted + p.Memory.Denied + p.ConnsStalled + p.ConnsRejected
}

// fieldsSince returns the log fields with the counts since an earlier state.
func (p Pressure) fieldsSince(last Pressure) []zap.Field {
	return []zap.Field{
		zap.Int64("evicted", p.Memory.Evicted-last.Memory.Evicted), zap.Int64("denied", p.Memory.Denied-last.Memory.Denied),
		zap.Int64("stalled_connections", p.ConnsStalled-last.ConnsStalled), zap.Int64("rejected_connections", p.ConnsRejected-last.ConnsRejected),
		zap.Int64("held_bytes", int64(p.Memory.Used)), zap.Int64("limit_bytes", int64(p.Memory.Total)), zap.Int("holders", p.Memory.Holders),
		zap.String("largest_workspace", string(p.Memory.Largest)), zap.Int64("largest_bytes", int64(p.Memory.LargestUsed)),
		zap.Int("connections", p.Conns), zap.Int("connection_limit", p.ConnLimit),
	}
}
