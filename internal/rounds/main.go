// Command rounds measures a build of the product with the users' benchmark
// program (the bench). The command runs the simulated days (scenarios) of a site
// file, each with several seeds. It prints a Markdown table of the mean worth (the
// bench's score of a day), the parts of the worth, the prices that the bench takes
// off the worth, and the broken rules. The figures in docs/POLICY.md come from this command.
//
// Run it at the root of a checkout:
//
//	go run ./internal/rounds --bench BENCH --site SITE --why "round 34: ..."
//
// With a regression set the command runs all deployments of the set, compares the worth (score)
// of each with its reference worth, and fails when a rule is broken or a worth has dropped:
//
//	go run ./internal/rounds --bench BENCH --set days/landing.ini --sites FOLDER --why "landing"
//
// With an experiment the command runs several variants of the policy settings on the same
// simulated days and seeds. It writes the differences between each variant
// and the baseline as Markdown, CSV and SVG:
//
//	go run ./internal/rounds --bench BENCH --experiment days/ablation.ini --sites FOLDER --out FOLDER --why "..."
package main

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/alecthomas/kong"
)

// arguments are the command-line flags.
type arguments struct {
	Bench      string   `help:"The users' bench." type:"path" required:""`
	Site       string   `help:"The site file." type:"path" xor:"what" required:""`
	Set        string   `help:"A regression set (INI), in place of a site." type:"path" xor:"what" required:""`
	Experiment string   `help:"An experiment (INI), in place of a site." type:"path" xor:"what" required:""`
	Sites      string   `help:"The folder that the site files of a set or an experiment are in." type:"path"`
	Out        string   `help:"The folder for an experiment's reports and results; what it holds is not played again." type:"path" default:"trial/experiment"`
	Small      bool     `help:"Play the small twins of a large deployment."`
	Days       []string `help:"Days to play." default:"quiet-1,trouble-1,scale-1,trouble-2,scale-2,trouble-3"`
	Seeds      int      `help:"How many seeds of each day." default:"3"`
	First      int      `help:"The first seed. 0 stands for the day's own." default:"1"`
	Jobs       int      `help:"Days played at a time." default:"4"`
	Cost       bool     `help:"Count processor time; runs then repeat less well."`
	Why        string   `help:"What the run is for; it goes into the journal." required:""`
}

// dayRun is the run of one simulated day of the bench with one seed.
type dayRun struct {
	day    string
	seed   int
	report *report
	err    error
}

func main() {
	var a arguments
	kong.Parse(&a, kong.Description("Runs days with several seeds and prints their worth, its parts and the prices."))
	if a.Set != "" {
		passes, err := a.runSet(os.Stdout)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		if err != nil || !passes {
			os.Exit(1)
		}
		return
	}
	if a.Experiment != "" {
		if err := a.compareVariants(os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	runs := a.plannedRuns()
	if err := a.runAll(runs); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	failed := 0
	for _, run := range runs {
		if run.err != nil {
			failed++
			fmt.Fprintf(os.Stderr, "%s, seed %d: not run: %v\n", run.day, run.seed, run.err)
		}
	}
	printTable(os.Stdout, a.Days, runs)
	if failed > 0 {
		os.Exit(1)
	}
}

// compareVariants runs an experiment and writes its results.
func (a *arguments) compareVariants(w io.Writer) error {
	text, err := os.ReadFile(a.Experiment)
	if err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	x, err := readExperiment(a.Experiment, text)
	if err != nil {
		return err
	}
	results, failed := a.runExperiment(x)
	printDifferences(w, x, results)
	file, err := os.Create(filepath.Join(a.Out, "trials.csv"))
	if err != nil {
		return errors.Join(failed, err)
	}
	err = errors.Join(writeCSV(file, results), file.Close())
	return errors.Join(failed, err, plotDifferences(filepath.Join(a.Out, "worth.svg"), x, results))
}

// plannedRuns returns one run for each simulated day and each seed of the command line.
func (a *arguments) plannedRuns() []*dayRun {
	var runs []*dayRun
	for _, day := range a.Days {
		for seed := a.First; seed < a.First+a.Seeds; seed++ {
			runs = append(runs, &dayRun{day: day, seed: seed})
		}
	}
	return runs
}

// runAll executes all runs, Jobs at a time, and prints the progress.
func (a *arguments) runAll(runs []*dayRun) error {
	dir, err := os.MkdirTemp("", "rounds")
	if err != nil {
		return fmt.Errorf("folder for reports: %w", err)
	}
	defer func() {
		if err := os.RemoveAll(dir); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}()
	if out, err := exec.Command(a.Bench, "build").CombinedOutput(); err != nil { // build once, not in every run
		return fmt.Errorf("build: %w\n%s", err, out)
	}
	runConcurrently(len(runs), a.Jobs, "", func(i int) {
		run := runs[i]
		run.report, run.err = a.runDay(".", run.day, run.seed, filepath.Join(dir, strconv.Itoa(i)+".json"))
	})
	return nil
}

// runConcurrently calls do for 0 to n-1, at most jobs at a time, and prints the progress.
func runConcurrently(n, jobs int, name string, do func(i int)) {
	slots := make(chan struct{}, max(jobs, 1))
	var running sync.WaitGroup
	var mu sync.Mutex // guards done
	done := 0
	for i := range n {
		slots <- struct{}{}
		running.Add(1)
		go func() {
			defer func() { <-slots; running.Done() }()
			do(i)
			mu.Lock()
			defer mu.Unlock()
			done++
			fmt.Fprintf(os.Stderr, "\r%s%d of %d days", name, done, n)
		}()
	}
	running.Wait()
	fmt.Fprintln(os.Stderr)
}

// runDay lets the bench run one simulated day with the checkout in the folder dir, and reads
// the report that the bench writes to file.
func (a *arguments) runDay(dir, day string, seed int, file string) (*report, error) {
	args := []string{"run", a.Site, day, "--report", file, "--jobs", "1", "--why", a.Why}
	if seed > 0 {
		args = append(args, "--seed", strconv.Itoa(seed))
	}
	if a.Small {
		args = append(args, "--small")
	}
	if !a.Cost {
		args = append(args, "--no-cpu")
	}
	cmd := exec.Command(a.Bench, args...)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	r, readErr := readReport(file)
	if readErr != nil {
		return nil, cmp.Or(err, readErr, fmt.Errorf("%s", strings.TrimSpace(string(out))))
	}
	return r, nil // err is ignored: the bench also exits with an error status when a rule is broken
}

// reportsOf returns the reports of the successful runs of one simulated day.
func reportsOf(runs []*dayRun, day string) []*report {
	var out []*report
	for _, run := range runs {
		if run.day == day && run.err == nil {
			out = append(out, run.report)
		}
	}
	return slices.Clip(out)
}
