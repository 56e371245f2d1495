package fleet

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"woaddoor/contract"
	"woaddoor/document"
	"woaddoor/internal/standin/engine"
)

// rolloutPlan moves chat-small to its second version. Its rates are far apart, so
// that a step needs few answers and a test can run the rollout to its end.
const rolloutPlan = `[rollout chat-small]
from = chat-small@1
to = chat-small@2
steps = 50%, 100%
good-rate = 0.05
bad-rate = 0.5
false-alarm = 0.05
miss = 0.05
ratings-within = 2m
`

// startRollout starts a fleet whose engines have not loaded the new version yet,
// and applies rolloutPlan.
func startRollout(t *testing.T) (*Fleet, context.Context) {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*waitTimeout)
	t.Cleanup(cancel)
	f, err := Start(&Options{
		WorkDir: t.TempDir(), BinDir: binDir, VMs: 3, Engines: 2, DataCentres: []contract.DataCentreID{"dc1"},
		Engine: engine.Options{Versions: []contract.VersionID{"chat-small@1", "chat-large@1"}, IgnoreFencing: true},
	})
	t.Cleanup(func() { f.stopAndCheckLogs(t) })
	is.NoErr(err)
	f.apply(ctx, t, f.Config(""))
	is.NoErr(f.WaitForPeers(ctx))
	is.NoErr(f.WaitUntilServing(ctx, "chat-small"))
	f.apply(ctx, t, f.Config(rolloutPlan))
	return f, ctx
}

// acceptedStates returns the recorded states of the rollout, oldest first, each
// as "STATE STEP".
func acceptedStates(ctx context.Context, t *testing.T, f *Fleet) []string {
	t.Helper()
	changes, err := f.Operator().History(ctx, 100)
	if err != nil {
		t.Fatal(err)
	}
	var states []string
	for i := len(changes) - 1; i >= 0; i-- {
		for _, s := range changes[i].Sections {
			if s.Name == "progress chat-small" && s.To != "" {
				states = append(states, formatState(s.To))
			}
		}
	}
	return states
}

// formatState returns a progress section as "STATE STEP".
func formatState(s document.Section) string {
	fields := strings.Fields(strings.NewReplacer("state = ", "", "step = ", "", "to = ", "").Replace(string(s)))
	return fmt.Sprintf("%s %s", fields[0], fields[1])
}

// sendChatsUntil sends chat requests through the second and third VM until condition
// returns true. It returns how many were answered by the new version.
func sendChatsUntil(ctx context.Context, t *testing.T, f *Fleet, what string, condition func() bool) (onNew int) {
	t.Helper()
	sent := 0
	waitUntil(ctx, t, what, func() bool {
		for range 10 {
			sent++
			r, err := f.VMs[1+sent%2].Chat(ctx, APIKeyNorte, "chat-small", fmt.Sprint("hello ", sent))
			if err == nil && r.Status == http.StatusOK && r.Header.Get("Woaddoor-Version") == "chat-small@2" {
				onNew++
			}
		}
		return condition()
	})
	return onNew
}

// TestRolloutFailover kills one VM after the first step of a rollout whose
// engines load the new version under a lease. The others continue: no step is
// skipped or repeated, and each step is in the change history.
func TestRolloutFailover(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := startRollout(t)
	sendChatsUntil(ctx, t, f, "the rollout has begun", func() bool { return len(acceptedStates(ctx, t, f)) > 0 })
	f.VMs[0].Entry.Kill()
	f.VMs[0].Control.Kill()
	sendChatsUntil(ctx, t, f, "the rollout is done", func() bool {
		states := acceptedStates(ctx, t, f)
		return strings.HasPrefix(states[len(states)-1], "done")
	})
	is.Equal(acceptedStates(ctx, t, f), []string{"ramping 0", "ramping 1", "done 1"})
	for _, e := range f.Engines {
		is.True(e.RunCountOfVersion("chat-small@2") > 0)
	}
}

// TestBadVersionHalted rolls out a version whose answers are all rated bad. The
// version is halted on every VM, and new work goes back to the old version.
func TestBadVersionHalted(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := startRollout(t)
	f.Rating.SetScore("chat-small@2", 0)
	answeredByNew := sendChatsUntil(ctx, t, f, "the version is halted", func() bool {
		states := acceptedStates(ctx, t, f)
		return len(states) > 0 && strings.HasPrefix(states[len(states)-1], "halted")
	})
	is.True(answeredByNew > 0)
	is.True(answeredByNew < 100)
	waitUntil(ctx, t, "the halt is in force", func() bool {
		r, err := f.VMs[1].Chat(ctx, APIKeyNorte, "chat-small@2", "hello")
		return err == nil && r.Status == http.StatusGone
	})
	for range 20 {
		r, err := f.VMs[1].Chat(ctx, APIKeyNorte, "chat-small", "hello")
		is.NoErr(err)
		is.Equal(r.Header.Get("Woaddoor-Version"), "chat-small@1")
	}
}
