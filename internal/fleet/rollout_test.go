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

// rolloutPlan moves chat-small to its second version with few answers a step,
// so that a test sees it through.
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

// startRollout starts a fleet whose engines do not hold the new version yet,
// and applies the plan.
func startRollout(t *testing.T) (*Fleet, context.Context) {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*patience)
	t.Cleanup(cancel)
	f, err := Start(&Options{
		Dir: t.TempDir(), BinDir: binDir, VMs: 3, Engines: 2, DataCentres: []contract.DataCentreID{"dc1"},
		Engine: engine.Options{Versions: []contract.VersionID{"chat-small@1", "chat-large@1"}, IgnoreFencing: true},
	})
	t.Cleanup(func() { f.end(t) })
	is.NoErr(err)
	f.apply(ctx, t, f.Config(""))
	is.NoErr(f.Acquainted(ctx))
	is.NoErr(f.Serving(ctx, "chat-small"))
	f.apply(ctx, t, f.Config(rolloutPlan))
	return f, ctx
}

// progress returns the states of the roll-out that were accepted, oldest first.
func progress(ctx context.Context, t *testing.T, f *Fleet) []string {
	t.Helper()
	changes, err := f.Operator().History(ctx, 100)
	if err != nil {
		t.Fatal(err)
	}
	var states []string
	for i := len(changes) - 1; i >= 0; i-- {
		for _, s := range changes[i].Sections {
			if s.Name == "progress chat-small" && s.To != "" {
				states = append(states, state(s.To))
			}
		}
	}
	return states
}

func state(s document.Section) string {
	words := strings.Fields(strings.NewReplacer("state = ", "", "step = ", "", "to = ", "").Replace(string(s)))
	return fmt.Sprintf("%s %s", words[0], words[1])
}

// drive sends chats over the living VMs until holds.
func drive(ctx context.Context, t *testing.T, f *Fleet, what string, holds func() bool) (onNew int) {
	t.Helper()
	n := 0
	until(ctx, t, what, func() bool {
		for range 10 {
			n++
			r, err := f.VMs[1+n%2].Chat(ctx, KeyNorte, "chat-small", fmt.Sprint("hello ", n))
			if err == nil && r.Status == http.StatusOK && r.Header.Get("Woaddoor-Version") == "chat-small@2" {
				onNew++
			}
		}
		return holds()
	})
	return onNew
}

// TestRolloutTakenOver has engines load a new version under a lease and ramps
// it, while the VM that stepped first is killed. No step is skipped or
// repeated, and each leaves its audit record.
func TestRolloutTakenOver(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := startRollout(t)
	drive(ctx, t, f, "the ramp begins", func() bool { return len(progress(ctx, t, f)) > 0 })
	f.VMs[0].Entry.Kill()
	f.VMs[0].Control.Kill()
	drive(ctx, t, f, "the ramp ends", func() bool {
		p := progress(ctx, t, f)
		return strings.HasPrefix(p[len(p)-1], "done")
	})
	is.Equal(progress(ctx, t, f), []string{"ramping 0", "ramping 1", "done 1"})
	for _, e := range f.Engines {
		is.True(e.RunsOf("chat-small@2") > 0)
	}
}

// TestBadVersionHalted ramps a version whose answers are all rated bad: it is
// halted on each VM at once, for good, and new work goes back to the old one.
func TestBadVersionHalted(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := startRollout(t)
	f.Rating.SetScore("chat-small@2", 0)
	exposed := drive(ctx, t, f, "the version is halted", func() bool {
		p := progress(ctx, t, f)
		return len(p) > 0 && strings.HasPrefix(p[len(p)-1], "halted")
	})
	is.True(exposed > 0)
	is.True(exposed < 100)
	until(ctx, t, "the halt is in force", func() bool {
		r, err := f.VMs[1].Chat(ctx, KeyNorte, "chat-small@2", "hello")
		return err == nil && r.Status == http.StatusGone
	})
	for range 20 {
		r, err := f.VMs[1].Chat(ctx, KeyNorte, "chat-small", "hello")
		is.NoErr(err)
		is.Equal(r.Header.Get("Woaddoor-Version"), "chat-small@1")
	}
}
