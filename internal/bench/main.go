// Command bench measures the real programs: the time that the entry process adds
// to a request and to a chunk of a stream, its memory, the calls to the platform,
// and how the cost of the control processes grows with the fleet. All load goes
// to loopback, and the run is limited to runTimeout.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"woaddoor/internal/fleet"
)

// arguments are the command-line flags.
type arguments struct {
	Only string `help:"Run one measurement: added, chunks, memory, control, writes."`
}

// runTimeout bounds the whole run.
const runTimeout = 20 * time.Minute

// measurement is a measurement that the flag --only can select.
type measurement struct {
	name string
	run  func(ctx context.Context, binDir string) error
}

// measurements are all measurements, in the order in which they run.
var measurements = []measurement{
	{"added", measureAddedLatency}, {"chunks", measureChunks}, {"memory", measureMemory}, {"control", measureControl}, {"writes", measurePlatformCalls},
}

func main() {
	var a arguments
	kong.Parse(&a, kong.Name("bench"), kong.Description("Measures the programs."))
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run builds the programs and runs the selected measurements.
func run(a arguments) error {
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	binDir, err := os.MkdirTemp("", "woaddoor-bench")
	if err != nil {
		return err
	}
	defer os.RemoveAll(binDir)
	if err := fleet.Build(ctx, binDir); err != nil {
		return err
	}
	for _, m := range measurements {
		if a.Only != "" && a.Only != m.name {
			continue
		}
		if err := m.run(ctx, binDir); err != nil {
			return fmt.Errorf("%s: %w", m.name, err)
		}
	}
	return nil
}
