package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap/zapcore"

	"woaddoor/contract"
)

// receipt is the arrival of n events of an upstream, at a time since the start of the stream.
type receipt struct {
	from contract.UpstreamID
	at   time.Duration
	n    int
}

// timingFields returns the log fields of a stream whose events arrived so.
func timingFields(receipts []receipt, forwarded ...time.Duration) map[string]any {
	var timing streamTiming
	earlier, start := 0, time.Unix(1000, 0)
	for _, r := range receipts {
		timing.recordEvents(r.from, earlier, start.Add(r.at))
		earlier += r.n
	}
	for _, took := range forwarded {
		timing.recordForwarded(took)
	}
	encoded := zapcore.NewMapObjectEncoder()
	for _, f := range timing.fields(100 * time.Millisecond) {
		f.AddTo(encoded)
	}
	return encoded.Fields
}

// TestStreamTimingFields guards against a later, shorter pause replacing the longest one, against
// counting the time to the first event as a pause, and against blaming the upstream at which
// a stream is resumed for the silence of the one before.
func TestStreamTimingFields(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		receipts  []receipt
		forwarded []time.Duration
		want      map[string]any
	}{
		"no event": {nil, nil, map[string]any{}},
		"all events at once": {
			[]receipt{{"u1", 900 * ms, 3}}, []time.Duration{250 * ms},
			map[string]any{"forward_ms": int64(250)},
		},
		"longest pause in the middle": {
			[]receipt{{"u1", 900 * ms, 2}, {"u1", 1050 * ms, 1}, {"u1", 1070 * ms, 1}}, []time.Duration{ms, 8 * ms, 2 * ms},
			map[string]any{"forward_ms": int64(8), "pause_ms": int64(150), "pause_target_ms": int64(100), "paused_at": "u1", "paused_after": int64(2)},
		},
		"resumed during the pause": {
			[]receipt{{"u1", 0, 1}, {"u1", 30 * ms, 1}, {"u2", 330 * ms, 1}, {"u2", 350 * ms, 1}}, nil,
			map[string]any{"forward_ms": int64(0), "pause_ms": int64(300), "pause_target_ms": int64(100), "paused_from": "u1", "paused_at": "u2", "paused_after": int64(2)},
		},
		"pause after the resumption": {
			[]receipt{{"u1", 0, 1}, {"u2", 30 * ms, 1}, {"u2", 230 * ms, 1}}, nil,
			map[string]any{"forward_ms": int64(0), "pause_ms": int64(200), "pause_target_ms": int64(100), "paused_at": "u2", "paused_after": int64(2)},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(timingFields(c.receipts, c.forwarded...), c.want)
		})
	}
}
