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

// deployment is one deployment of a regression set.
type deployment struct {
	name string
	// site is its file, in the folder that the command names.
	site  string
	days  []string
	seeds int
	jobs  int
	// small plays the small twin of a large deployment.
	small bool
	// referenceWorth is the mean worth of the days with trouble that has to hold.
	referenceWorth float64
}

// maxWorthDrop is by how much the mean worth of a deployment may fall: the users' own
// bound, and about three times the spread of a mean of 15 days.
const maxWorthDrop = 0.03

// Bounds and defaults of a set's keys.
const (
	maxSeeds, maxJobs      = 20, 16
	defaultJobs            = 4
	defaultSeeds, minSeeds = 1, 1
)

// allDays are the standard days.
var allDays = []string{"quiet-1", "trouble-1", "scale-1", "trouble-2", "scale-2", "trouble-3"}

// readSet reads a regression set: a section for each deployment, in the order of
// their names.
func readSet(name string, text []byte) ([]deployment, error) {
	f, err := config.ReadFile(name, text)
	if err != nil {
		return nil, err
	}
	var faults config.Faults
	var set []deployment
	for _, section := range slices.Sorted(maps.Keys(f.Sections())) {
		r := config.NewReader(f, section, &faults)
		e := deployment{
			name: section, site: r.Need("site", "expected a site file"),
			seeds: r.Int("seeds", defaultSeeds, minSeeds, maxSeeds), jobs: r.Int("jobs", defaultJobs, 1, maxJobs),
			small:          r.OneOf("small", "no", "yes", "no") == "yes",
			referenceWorth: r.Number("reached", 0, 0, 1),
		}
		if e.days = r.List("days"); len(e.days) == 0 {
			e.days = allDays
		}
		r.Done()
		set = append(set, e)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return set, nil
}

// runSet plays a set and tells whether all of it holds.
func (a *arguments) runSet(w io.Writer) (bool, error) {
	text, err := os.ReadFile(a.Set)
	if err != nil {
		return false, fmt.Errorf("regression set: %w", err)
	}
	set, err := readSet(a.Set, text)
	if err != nil {
		return false, err
	}
	holds := true
	var verdicts []string
	for _, e := range set {
		one := *a
		one.Site, one.Days, one.Seeds, one.Jobs, one.Small = filepath.Join(a.Sites, e.site), e.days, e.seeds, e.jobs, e.small
		plays := one.plannedRuns()
		if err := one.runAll(plays); err != nil {
			return false, fmt.Errorf("%s: %w", e.name, err)
		}
		fmt.Fprintf(w, "\n%s\n\n", e.name)
		printTable(w, e.days, plays)
		verdict, ok := evaluate(e, plays)
		verdicts, holds = append(verdicts, verdict), holds && ok
	}
	fmt.Fprintf(w, "\n| deployment | with trouble | reached | verdict |\n|---|---|---|---|\n%s\n", strings.Join(verdicts, "\n"))
	return holds, nil
}

// evaluate returns the row of a deployment, and whether it holds: all days were
// played, no rule broke, and the worth did not fall.
func evaluate(e deployment, plays []*dayRun) (row string, holds bool) {
	var worth sampleStats
	var troubles []string
	for _, p := range plays {
		switch {
		case p.err != nil:
			troubles = append(troubles, fmt.Sprintf("%s seed %d not played", p.day, p.seed))
			continue
		case len(p.report.Breaks) > 0:
			troubles = append(troubles, fmt.Sprintf("%s seed %d broke %s", p.day, p.seed, strings.Join(slices.Sorted(maps.Keys(p.report.Breaks)), " ")))
		case p.report.Fault != nil:
			troubles = append(troubles, fmt.Sprintf("%s seed %d: fault %s", p.day, p.seed, *p.report.Fault))
		}
		if !strings.HasPrefix(p.day, "quiet") {
			worth.add(p.report.worth())
		}
	}
	if worth.mean() < e.referenceWorth-maxWorthDrop {
		troubles = append(troubles, fmt.Sprintf("fell by %.3f", e.referenceWorth-worth.mean()))
	}
	verdict := "holds"
	if len(troubles) > 0 {
		verdict = strings.Join(troubles, "; ")
	}
	return fmt.Sprintf("| %s | %s | %s | %s |", e.name, formatNumber(worth.mean()), formatNumber(e.referenceWorth), verdict), len(troubles) == 0
}
