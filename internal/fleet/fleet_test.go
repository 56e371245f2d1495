package fleet

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"woaddoor/contract"
	"woaddoor/history"
	"woaddoor/internal/standin/engine"
)

// binDir is the directory of the compiled programs under test.
var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "woaddoor")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if err := Build(context.Background(), dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binDir = dir
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// waitTimeout bounds how long a test waits for a condition. It is far longer
// than needed, so that a busy machine does not make a test fail.
const waitTimeout = 60 * time.Second

// startFleet starts a fleet of dcs data centres with vms VMs and two engines each, applies
// its configuration and waits until it serves. An engine generates a token in the time
// perToken.
func startFleet(t *testing.T, dcs, vms int, perToken time.Duration) (*Fleet, context.Context) {
	t.Helper()
	return startFleetWith(t, dcs, vms, perToken, "")
}

// startFleetWith starts a fleet as startFleet does, with extra lines for the [entry] section of the settings.
func startFleetWith(t *testing.T, dcs, vms int, perToken time.Duration, entrySettings string) (*Fleet, context.Context) {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*waitTimeout)
	t.Cleanup(cancel)
	opts := &Options{
		WorkDir: t.TempDir(), BinDir: binDir, VMs: vms, Engines: 2, EntrySettings: entrySettings,
		Engine: engine.Options{Versions: []contract.VersionID{"chat-small@1", "chat-small@2", "chat-large@1"}, TokenTime: perToken},
	}
	for i := range dcs {
		opts.DataCentres = append(opts.DataCentres, contract.DataCentreID(fmt.Sprintf("dc%d", i+1)))
	}
	f, err := Start(opts)
	t.Cleanup(func() { f.stopAndCheckLogs(t) })
	is.NoErr(err)
	f.apply(ctx, t, f.Config(""))
	is.NoErr(f.WaitForPeers(ctx))
	is.NoErr(f.WaitUntilServing(ctx, "chat-small"))
	return f, ctx
}

// apply replaces the accepted configuration with text.
func (f *Fleet) apply(ctx context.Context, t *testing.T, text string) {
	t.Helper()
	is := is.New(t)
	base, err := history.Load(ctx, f.Operator().Store)
	is.NoErr(err)
	_, err = f.Operator().Apply(ctx, "site.ini", []byte(text), int64(base.Root.Revision), history.ChangeInfo{Author: "test", Reason: "test", At: time.Now()})
	is.NoErr(err)
}

// stopAndCheckLogs stops the fleet, fails the test if any program logged a data
// race, and prints the logs of a failed test.
func (f *Fleet) stopAndCheckLogs(t *testing.T) {
	f.Stop()
	for _, vm := range f.VMs {
		for _, program := range programs {
			raw, err := os.ReadFile(f.LogFile(program, vm))
			if err == nil && bytes.Contains(raw, []byte("DATA RACE")) {
				t.Errorf("data race in %s of %s", program, vm.Name)
			}
		}
	}
	if t.Failed() {
		f.printLogTails(t)
	}
}

// programs are the names of the programs that run on each VM.
var programs = []string{"woaddoor-entry", "woaddoor-control"}

// printLogTails prints the last 6000 bytes of every log.
func (f *Fleet) printLogTails(t *testing.T) {
	const tail = 6000
	for _, vm := range f.VMs {
		for _, program := range programs {
			raw, err := os.ReadFile(f.LogFile(program, vm))
			if err == nil {
				t.Logf("%s of %s:\n%s", program, vm.Name, raw[max(0, len(raw)-tail):])
			}
		}
	}
}

// waitUntil fails the test when condition does not become true within waitTimeout.
func waitUntil(ctx context.Context, t *testing.T, what string, condition func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	if err := WaitFor(ctx, condition); err != nil {
		t.Fatalf("condition not reached: %s", what)
	}
}
