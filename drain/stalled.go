package drain

import (
	"time"

	"woaddoor/memory"
)

// longestStalled returns the connection that has made no progress for longest, of those on which a request or its
// answer is stalled, or nil. The caller holds mu.
func (l *Listener) longestStalled(now time.Time) *conn {
	var longest *conn
	longestFor := l.Limits.StallAfter
	for c := range l.conns {
		if c.holder == nil || c.serverIdle.Load() && !c.inHead.Load() && c.holder.Phase() != memory.Writing {
			continue // the next request may have arrived and not have been read yet
		}
		if stalled := c.holder.StalledFor(now); stalled >= longestFor {
			longest, longestFor = c, stalled
		}
	}
	return longest
}
