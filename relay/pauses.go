package relay

import (
	"time"

	"go.uber.org/zap"

	"woaddoor/contract"
)

// streamTiming records how evenly a streamed answer reached its caller.
// The zero value has seen no event.
type streamTiming struct {
	// lastEventAt is when the newest event was received, and lastFrom is its upstream.
	lastEventAt time.Time
	lastFrom    contract.UpstreamID
	// longestPause is the longest time between two events.
	// pausedFrom and pausedAt are the upstreams whose events began and ended that pause.
	// They differ if the stream was resumed at another upstream during the pause.
	// pausedAfter is the number of events that preceded it.
	longestPause         time.Duration
	pausedFrom, pausedAt contract.UpstreamID
	pausedAfter          int
	// longestForward is the longest time from receiving events until the caller's connection
	// accepted them.
	longestForward time.Duration
}

// recordEvents records that events of an upstream were received,
// and that earlier events of the stream preceded them.
func (t *streamTiming) recordEvents(from contract.UpstreamID, earlier int, now time.Time) {
	if pause := now.Sub(t.lastEventAt); earlier > 0 && pause > t.longestPause {
		t.longestPause, t.pausedFrom, t.pausedAt, t.pausedAfter = pause, t.lastFrom, from, earlier
	}
	t.lastEventAt, t.lastFrom = now, from
}

// recordForwarded records how long it took to pass received events on.
func (t *streamTiming) recordForwarded(took time.Duration) {
	t.longestForward = max(t.longestForward, took)
}

// hasEvents reports whether any event of the stream was received.
func (t *streamTiming) hasEvents() bool { return !t.lastEventAt.IsZero() }

// fields returns the log fields of a stream with the given target for its longest pause.
// It returns none for an answer without events, and no pause if all events were received at once.
func (t *streamTiming) fields(target time.Duration) []zap.Field {
	if !t.hasEvents() {
		return nil
	}
	fields := []zap.Field{zap.Int64("forward_ms", t.longestForward.Milliseconds())}
	if t.longestPause == 0 {
		return fields
	}
	fields = append(fields,
		zap.Int64("pause_ms", t.longestPause.Milliseconds()), zap.Int64("pause_target_ms", target.Milliseconds()),
		zap.String("paused_at", string(t.pausedAt)), zap.Int("paused_after", t.pausedAfter))
	if t.pausedFrom != t.pausedAt {
		fields = append(fields, zap.String("paused_from", string(t.pausedFrom)))
	}
	return fields
}
