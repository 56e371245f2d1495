package explain

import (
	"testing"

	"github.com/matryer/is"
)

const pauseSample = `
time=2026-05-07T06:48:44Z event=delivered vm=a request=r1 route=chat status=200 objective_ms=2000 first_ms=10 forward_ms=1 pause_ms=1200 pause_target_ms=1200 paused_at=u1
time=2026-05-07T06:48:44Z event=delivered vm=a request=r2 route=chat status=200 objective_ms=2000 first_ms=10 forward_ms=1 pause_ms=1201 pause_target_ms=1200 paused_at=u1
time=2026-05-07T06:48:44Z event=delivered vm=a request=r3 route=chat status=200 objective_ms=2000 first_ms=10 forward_ms=200 pause_ms=10 pause_target_ms=1200 paused_at=u2
time=2026-05-07T06:48:44Z event=delivered vm=a request=r4 route=chat status=200 objective_ms=2000 first_ms=10 forward_ms=201 pause_ms=10 pause_target_ms=1200 paused_at=u2
time=2026-05-07T06:48:44Z event=delivered vm=a request=r5 route=chat status=200 objective_ms=2000 first_ms=2510 forward_ms=300 pause_ms=1900 pause_target_ms=1200 paused_at=u2
time=2026-05-07T06:48:44Z event=delivered vm=a request=r6 route=chat status=200 objective_ms=2000 first_ms=10 forward_ms=1 pause_ms=1900 pause_target_ms=1200 paused_at=u2 paused_from=u3
time=2026-05-07T06:48:44Z event=delivered vm=a request=r7 route=untimed status=200 objective_ms=0 first_ms=10 forward_ms=1 pause_ms=1900 pause_target_ms=0 paused_at=u4
time=2026-05-07T06:48:44Z event=delivered vm=a request=r8 route=untimed status=200 objective_ms=0 first_ms=10 forward_ms=201
time=2026-05-07T06:48:44Z event=cut vm=a request=r9 route=untimed status=200 reason=deadline pause_ms=1900 pause_target_ms=1200 paused_at=u4
`

// TestLossesCountsLateStreams guards against streams that count as in time although they paused
// for longer than their target or their events were forwarded late, also on routes without an
// objective; against a pause replacing the cause of a late start; and against blaming the upstream
// at which a stream was resumed for the pause before.
func TestLossesCountsLateStreams(t *testing.T) {
	is.New(t).Equal(lossLines(t, pauseSample), []string{
		"chat asked 6 in time 2 33.3%",
		"late: paused within the stream 2 33.3%",
		"late: events were forwarded late 1 16.7%",
		"late: the upstream was slow 1 16.7%",
		"untimed asked 3 in time 1 33.3%",
		"cut: deadline 1 33.3%",
		"late: events were forwarded late 1 33.3%",
		"upstream u3 streams 1 late pauses 1 100.0%",
		"upstream u1 streams 2 late pauses 1 50.0%",
		"upstream u2 streams 3 late pauses 1 33.3%",
	})
}
