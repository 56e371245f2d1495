package relay

import (
	"time"

	"go.uber.org/zap"

	"woaddoor/contract"
)

// streamTiming records how evenly a streamed answer reached its caller.
// The zero value has seen no event.
type streamTiming struct {
	// lastEventAt is when the newest event was received.
	lastEventAt time.Time
	// longestPause is the longest time between two events.
	// pausedAt is the upstream whose event ended that pause, and
	// pausedAfter is the number of events that preceded it.
	longestPause time.Duration
	pausedAt     contract.UpstreamID
	pausedAfter  int
	// longestForward is the longest time from receiving events until the caller's connection
	// accepted them.
	longestForward time.Duration
}

// recordEvents records that events of an upstream were received,
// and that earlier events of the stream preceded them.
func (t *streamTiming) recordEvents(from contract.UpstreamID, earlier int, now time.Time) {
	if pause := now.Sub(t.lastEventAt); earlier > 0 && pause > t.longestPause {
		t.longestPause, t.pausedAt, t.pausedAfter = pause, from, earlier
	}
	t.lastEventAt = now
}

// recordForwarded records how long it took to pass received events on.
func (t *streamTiming) recordForwarded(took time.Duration) {
	t.longestForward = max(t.longestForward, took)
}

// fields returns the log fields of a stream with the given target for its longest pause.
// It returns none if the stream has had no pause.
func (t *streamTiming) fields(target time.Duration) []zap.Field {
	if t.longestPause == 0 {
		return nil
	}
	return []zap.Field{
		zap.Int64("pause_ms", t.longestPause.Milliseconds()), zap.Int64("pause_target_ms", target.Milliseconds()),
		zap.String("paused_at", string(t.pausedAt)), zap.Int("paused_after", t.pausedAfter),
		zap.Int64("forward_ms", t.longestForward.Milliseconds()),
	}
}
