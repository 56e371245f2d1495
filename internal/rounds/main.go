// Command rounds measures one build of the product on the users' bench: it
// plays days of a site file, each on several seeds, and prints the mean worth
// with its parts, prices and broken rules as a Markdown table. It is the
// measurement behind each line of docs/POLICY.md.
//
// Run it at the root of a checkout:
//
//	go run ./internal/rounds --bench BENCH --site SITE --why "round 34: ..."
//
// With a regression set it plays all deployments of it, prints what they are worth
// against what was reached, and fails when a rule breaks or one falls:
//
//	go run ./internal/rounds --bench BENCH --set days/landing.ini --sites FOLDER --why "landing"
//
// With an experiment it plays several ways of deciding on the same days and seeds, and
// prints by how much each differs from the way that stands, as Markdown, CSV and SVG:
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

// dayRun is one day on one seed.
type dayRun struct {
	day    string
	seed   int
	report *report
	err    error
}

func main() {
	var a arguments
	kong.Parse(&a, kong.Description("Plays days on several seeds and prints worth, parts and prices."))
	if a.Set != "" {
		holds, err := a.runSet(os.Stdout)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		if err != nil || !holds {
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
	plays := a.plannedRuns()
	if err := a.runAll(plays); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	failed := 0
	for _, p := range plays {
		if p.err != nil {
			failed++
			fmt.Fprintf(os.Stderr, "%s, seed %d: not played: %v\n", p.day, p.seed, p.err)
		}
	}
	printTable(os.Stdout, a.Days, plays)
	if failed > 0 {
		os.Exit(1)
	}
}

// compareVariants plays an experiment and writes its results.
func (a *arguments) compareVariants(w io.Writer) error {
	text, err := os.ReadFile(a.Experiment)
	if err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	x, err := readExperiment(a.Experiment, text)
	if err != nil {
		return err
	}
	trials, failed := a.runExperiment(x)
	printDifferences(w, x, trials)
	file, err := os.Create(filepath.Join(a.Out, "trials.csv"))
	if err != nil {
		return errors.Join(failed, err)
	}
	err = errors.Join(writeCSV(file, trials), file.Close())
	return errors.Join(failed, err, plotDifferences(filepath.Join(a.Out, "worth.svg"), x, trials))
}

func (a *arguments) plannedRuns() []*dayRun {
	var plays []*dayRun
	for _, day := range a.Days {
		for seed := a.First; seed < a.First+a.Seeds; seed++ {
			plays = append(plays, &dayRun{day: day, seed: seed})
		}
	}
	return plays
}

// runAll plays all, a few at a time, and shows how far it is.
func (a *arguments) runAll(plays []*dayRun) error {
	dir, err := os.MkdirTemp("", "rounds")
	if err != nil {
		return fmt.Errorf("folder for reports: %w", err)
	}
	defer func() {
		if err := os.RemoveAll(dir); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}()
	if out, err := exec.Command(a.Bench, "build").CombinedOutput(); err != nil { // once, not by each play
		return fmt.Errorf("build: %w\n%s", err, out)
	}
	runConcurrently(len(plays), a.Jobs, "", func(i int) {
		p := plays[i]
		p.report, p.err = a.runDay(".", p.day, p.seed, filepath.Join(dir, strconv.Itoa(i)+".json"))
	})
	return nil
}

// runConcurrently does a number of things, a few at a time, and shows how far it is.
func runConcurrently(n, jobs int, name string, do func(i int)) {
	places := make(chan struct{}, max(jobs, 1))
	var all sync.WaitGroup
	var mu sync.Mutex // guards done
	done := 0
	for i := range n {
		places <- struct{}{}
		all.Add(1)
		go func() {
			defer func() { <-places; all.Done() }()
			do(i)
			mu.Lock()
			defer mu.Unlock()
			done++
			fmt.Fprintf(os.Stderr, "\r%s%d of %d days", name, done, n)
		}()
	}
	all.Wait()
	fmt.Fprintln(os.Stderr)
}

// runDay plays one day in a folder that holds the project, and reads its report.
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
	r, rerr := readReport(file)
	if rerr != nil {
		return nil, cmp.Or(err, rerr, fmt.Errorf("%s", strings.TrimSpace(string(out))))
	}
	return r, nil // a day with a broken rule ends with a status of its own
}

// reportsOf returns the plays of a day that were played.
func reportsOf(plays []*dayRun, day string) []*report {
	var out []*report
	for _, p := range plays {
		if p.day == day && p.err == nil {
			out = append(out, p.report)
		}
	}
	return slices.Clip(out)
}
