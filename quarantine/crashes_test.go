package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/contract"
)

// TestCrashIsConfirmedOnce checks that each suspected upstream instance is probed once,
// that its requests are returned once when a probe or the upstream list confirms the crash,
// and that a broken connection alone never confirms one.
func TestCrashIsConfirmedOnce(t *testing.T) {
	is := is.New(t)
	crashes := NewCrashTracker()
	now := time.Unix(1000, 0)
	first, second := contract.UpstreamInstance{Upstream: "u1", Incarnation: 1}, contract.UpstreamInstance{Upstream: "u2", Incarnation: 1}
	suspect := func(id string) SuspectRequest { return SuspectRequest{Route: id, BrokenAt: now} }
	probe, confirmed := crashes.ConnectionBroke(first, "a:1", suspect("1"))
	is.True(probe && !confirmed)
	probe, confirmed = crashes.ConnectionBroke(first, "a:1", suspect("2"))
	is.True(!probe && !confirmed) // one probe is enough
	is.Equal(len(crashes.Confirm(first)), 2)
	is.Equal(len(crashes.Confirm(first)), 0) // already returned
	_, confirmed = crashes.ConnectionBroke(first, "a:1", suspect("3"))
	is.True(confirmed) // a connection that breaks after the confirmation belongs to the same crash

	crashes.ConnectionBroke(second, "b:1", suspect("4"))
	listed := contract.UpstreamInstance{Upstream: "u2", Incarnation: 1}
	at := func(string) (contract.UpstreamInstance, bool) { return listed, true }
	is.Equal(len(crashes.ReplacedInstances(at)), 0) // the same instance is still listed: only its connection broke
	listed = contract.UpstreamInstance{Upstream: "u2", Incarnation: 2}
	is.Equal(crashes.ReplacedInstances(at), []contract.UpstreamInstance{second})
	is.Equal(len(crashes.Confirm(second)), 1)
	crashes.Expire(now.Add(confirmTimeout))
	is.True(crashes.Any())
	crashes.Expire(now.Add(confirmTimeout + 1))
	is.True(!crashes.Any())
}

// TestEachBreakIsProbed guards against an upstream that a probe has reached crashing later
// without being probed again: its crash was known only seconds later, from the upstream list.
func TestEachBreakIsProbed(t *testing.T) {
	is := is.New(t)
	tracker := NewCrashTracker()
	instance := contract.UpstreamInstance{Upstream: "u", Incarnation: 1}
	probe, _ := tracker.ConnectionBroke(instance, "u:1", SuspectRequest{})
	is.True(probe)
	probe, _ = tracker.ConnectionBroke(instance, "u:1", SuspectRequest{})
	is.True(!probe) // one is in progress
	tracker.ProbeEnded(instance)
	probe, _ = tracker.ConnectionBroke(instance, "u:1", SuspectRequest{})
	is.True(probe)
	tracker.Confirm(instance)
	tracker.ProbeEnded(instance)
	probe, crashed := tracker.ConnectionBroke(instance, "u:1", SuspectRequest{})
	is.True(!probe)
	is.True(crashed)
}
