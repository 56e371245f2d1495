// Command measure runs the decision packages against a simulated queueing model
// and prints the results as Markdown tables. Arrivals come from a seeded random
// generator, so that the same build prints the same figures each time. The
// exception is the overload table, whose figures vary slightly.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// arguments are the command-line flags.
type arguments struct {
	Only  string `help:"Run one measurement: choice, fairness, retries, stalls, cascades, rollouts, loss, lookup."`
	Plots string `help:"Write the pictures into this directory, and nothing else."`
	Seed  uint64 `help:"Seed of arrivals and choices." default:"20261"`
}

// measurement is a measurement that the flag --only can select.
type measurement struct {
	name string
	run  func(seed uint64) []*table
}

// measurements are all measurements, in the order in which they run.
var measurements = []measurement{
	{"choice", choice}, {"fairness", fairness}, {"retries", retries}, {"stalls", stalls},
	{"cascades", cascades}, {"rollouts", rollouts}, {"loss", loss}, {"lookup", lookup},
}

func main() {
	var a arguments
	kong.Parse(&a, kong.Name("measure"), kong.Description("Prints the measurements of the policy."))
	if a.Plots != "" {
		if err := writePlots(a.Plots, a.Seed); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	for _, m := range measurements {
		if a.Only != "" && a.Only != m.name {
			continue
		}
		for _, t := range m.run(a.Seed) {
			t.print(os.Stdout)
		}
	}
	fmt.Printf("seed %d\n", a.Seed)
}
