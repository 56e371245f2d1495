package main

import (
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"woaddoor/config"
)

// deployment is a deployment on which a regression set or an experiment runs.
type deployment struct {
	name string
	// site is the name of the site file, relative to the folder of --sites.
	site  string
	days  []string
	seeds int
	jobs  int
	// small selects the small version of a large deployment.
	small bool
	// referenceWorth is the mean worth (score) over the simulated days that are not quiet. The
	// command compares the mean worth of new runs with referenceWorth.
	referenceWorth float64
}

// maxWorthDrop is by how much the mean worth (score) of a deployment may drop below the
// reference. This limit is the users' own. It is about three times the standard deviation of a
// mean over 15 simulated days.
const maxWorthDrop = 0.03

// Limits and defaults of the keys in regression sets and experiments.
const (
	maxSeeds, maxJobs      = 20, 16
	defaultJobs            = 4
	defaultSeeds, minSeeds = 1, 1
)

// allDays are the standard simulated days of the bench.
var allDays = []string{"quiet-1", "trouble-1", "scale-1", "trouble-2", "scale-2", "trouble-3"}

// readSet parses a regression set: one section for each deployment, sorted by name.
func readSet(name string, text []byte) ([]deployment, error) {
	f, err := config.ParseINI(name, text)
	if err != nil {
		return nil, err
	}
	var faults config.Faults
	var set []deployment
	for _, section := range slices.Sorted(maps.Keys(f.Sections())) {
		r := config.NewReader(f, section, &faults)
		d := deployment{
			name: section, site: r.Required("site", "expected a site file"),
			seeds: r.Int("seeds", defaultSeeds, minSeeds, maxSeeds), jobs: r.Int("jobs", defaultJobs, 1, maxJobs),
			small:          r.OneOf("small", "no", "yes", "no") == "yes",
			referenceWorth: r.Number("reached", 0, 0, 1),
		}
		if d.days = r.List("days"); len(d.days) == 0 {
			d.days = allDays
		}
		r.RejectUnknownKeys()
		set = append(set, d)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return set, nil
}

// runSet runs a regression set and reports whether every deployment passes.
func (a *arguments) runSet(w io.Writer) (bool, error) {
	text, err := os.ReadFile(a.Set)
	if err != nil {
		return false, fmt.Errorf("regression set: %w", err)
	}
	set, err := readSet(a.Set, text)
	if err != nil {
		return false, err
	}
	passes := true
	var verdicts []string
	for _, d := range set {
		command := *a
		command.Site, command.Days, command.Seeds, command.Jobs, command.Small = filepath.Join(a.Sites, d.site), d.days, d.seeds, d.jobs, d.small
		runs := command.plannedRuns()
		if err := command.runAll(runs); err != nil {
			return false, fmt.Errorf("%s: %w", d.name, err)
		}
		fmt.Fprintf(w, "\n%s\n\n", d.name)
		printTable(w, d.days, runs)
		verdict, ok := evaluate(d, runs)
		verdicts, passes = append(verdicts, verdict), passes && ok
	}
	fmt.Fprintf(w, "\n| deployment | with trouble | reached | verdict |\n|---|---|---|---|\n%s\n", strings.Join(verdicts, "\n"))
	return passes, nil
}

// evaluate returns the table row of a deployment, and whether the deployment passes: all simulated
// days were run, no rule was broken, and the worth (score) dropped by at most maxWorthDrop.
func evaluate(d deployment, runs []*dayRun) (row string, passes bool) {
	var worth sampleStats
	var failures []string
	for _, run := range runs {
		switch {
		case run.err != nil:
			failures = append(failures, fmt.Sprintf("%s seed %d not run", run.day, run.seed))
			continue
		case len(run.report.Breaks) > 0:
			failures = append(failures, fmt.Sprintf("%s seed %d broke %s", run.day, run.seed, strings.Join(slices.Sorted(maps.Keys(run.report.Breaks)), " ")))
		case run.report.Fault != nil:
			failures = append(failures, fmt.Sprintf("%s seed %d: fault %s", run.day, run.seed, *run.report.Fault))
		}
		if !strings.HasPrefix(run.day, "quiet") {
			worth.add(run.report.worth())
		}
	}
	if worth.mean() < d.referenceWorth-maxWorthDrop {
		failures = append(failures, fmt.Sprintf("fell by %.3f", d.referenceWorth-worth.mean()))
	}
	verdict := "holds"
	if len(failures) > 0 {
		verdict = strings.Join(failures, "; ")
	}
	return fmt.Sprintf("| %s | %s | %s | %s |", d.name, formatNumber(worth.mean()), formatNumber(d.referenceWorth), verdict), len(failures) == 0
}
