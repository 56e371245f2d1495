package site

import (
	"sync"
	"time"
)

// maxAwakeGap bounds the time between two heartbeats of a process that runs without interruption.
const maxAwakeGap = time.Second

// awakeTime measures how long a process has been running. Of a time for which it was suspended it
// counts at most maxAwakeGap. It is safe for concurrent use.
type awakeTime struct {
	mu    sync.Mutex
	total time.Duration // until last
	last  time.Time     // the start of the process, or its last heartbeat
	ticks bool          // whether there was a heartbeat
}

// heartbeat records that the process is running.
func (a *awakeTime) heartbeat(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.total, a.last, a.ticks = a.untilLocked(now), now, true
}

// until returns how long the process has been running at a time.
func (a *awakeTime) until(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.untilLocked(now)
}

func (a *awakeTime) untilLocked(now time.Time) time.Duration {
	gap := now.Sub(a.last)
	if a.ticks {
		gap = min(gap, maxAwakeGap)
	}
	return a.total + gap
}
