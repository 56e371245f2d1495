package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/contract"
)

// TestCrashIsConfirmedOnce checks that each suspected upstream incarnation is probed once,
// that its requests are returned once when a probe or the upstream list confirms the crash,
// and that a broken connection alone never confirms one.
func TestCrashIsConfirmedOnce(t *testing.T) {
	is := is.New(t)
	crashes := NewDoubts()
	now := time.Unix(1000, 0)
	first, second := contract.Life{Upstream: "u1", Born: 1}, contract.Life{Upstream: "u2", Born: 1}
	suspect := func(id string) Suspect { return Suspect{Route: id, Broke: now} }
	probe, confirmed := crashes.Broke(first, "a:1", suspect("1"))
	is.True(probe && !confirmed)
	probe, confirmed = crashes.Broke(first, "a:1", suspect("2"))
	is.True(!probe && !confirmed) // one probe is enough
	is.Equal(len(crashes.Ended(first)), 2)
	is.Equal(len(crashes.Ended(first)), 0) // already returned
	_, confirmed = crashes.Broke(first, "a:1", suspect("3"))
	is.True(confirmed) // a connection that breaks after the confirmation belongs to the same crash

	crashes.Broke(second, "b:1", suspect("4"))
	listed := contract.Life{Upstream: "u2", Born: 1}
	at := func(string) (contract.Life, bool) { return listed, true }
	is.Equal(len(crashes.Replaced(at)), 0) // the same incarnation is still listed: only its connection broke
	listed = contract.Life{Upstream: "u2", Born: 2}
	is.Equal(crashes.Replaced(at), []contract.Life{second})
	is.Equal(len(crashes.Ended(second)), 1)
	crashes.Expire(now.Add(confirmTimeout))
	is.True(crashes.Any())
	crashes.Expire(now.Add(confirmTimeout + 1))
	is.True(!crashes.Any())
}
