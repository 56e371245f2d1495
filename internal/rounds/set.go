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

// entry is one deployment of a regression set.
type entry struct {
	name string
	// site is its file, in the folder that the command names.
	site  string
	days  []string
	seeds int
	jobs  int
	// small plays the small twin of a large deployment.
	small bool
	// reached is the mean worth of the days with trouble that has to hold.
	reached float64
}

// mayFall is by how much the mean worth of a deployment may fall: the users' own
// bound, and about three times the spread of a mean of 15 days.
const mayFall = 0.03

// Bounds and defaults of a set's keys.
const (
	mostSeeds, mostJobs   = 20, 16
	defaultJobs           = 4
	defaultSeeds, oneSeed = 1, 1
)

// allDays are the standard days.
var allDays = []string{"quiet-1", "trouble-1", "scale-1", "trouble-2", "scale-2", "trouble-3"}

// readSet reads a regression set: a section for each deployment, in the order of
// their names.
func readSet(name string, text []byte) ([]entry, error) {
	f, err := config.ReadFile(name, text)
	if err != nil {
		return nil, err
	}
	var faults config.Faults
	var set []entry
	for _, section := range slices.Sorted(maps.Keys(f.Sections())) {
		r := config.NewReader(f, section, &faults)
		e := entry{
			name: section, site: r.Need("site", "expected a site file"),
			seeds: r.Int("seeds", defaultSeeds, oneSeed, mostSeeds), jobs: r.Int("jobs", defaultJobs, 1, mostJobs),
			small:   r.OneOf("small", "no", "yes", "no") == "yes",
			reached: r.Number("reached", 0, 0, 1),
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
		plays := one.plays()
		if err := one.run(plays); err != nil {
			return false, fmt.Errorf("%s: %w", e.name, err)
		}
		fmt.Fprintf(w, "\n%s\n\n", e.name)
		printTable(w, e.days, plays)
		verdict, ok := judge(e, plays)
		verdicts, holds = append(verdicts, verdict), holds && ok
	}
	fmt.Fprintf(w, "\n| deployment | with trouble | reached | verdict |\n|---|---|---|---|\n%s\n", strings.Join(verdicts, "\n"))
	return holds, nil
}

// judge returns the row of a deployment, and whether it holds: all days were
// played, no rule broke, and the worth did not fall.
func judge(e entry, plays []*play) (row string, holds bool) {
	var worth stats
	var troubles []string
	for _, p := range plays {
		switch {
		case p.err != nil:
			troubles = append(troubles, fmt.Sprintf("%s seed %d not played", p.day, p.seed))
			continue
		case len(p.out.Breaks) > 0:
			troubles = append(troubles, fmt.Sprintf("%s seed %d broke %s", p.day, p.seed, strings.Join(slices.Sorted(maps.Keys(p.out.Breaks)), " ")))
		case p.out.Fault != nil:
			troubles = append(troubles, fmt.Sprintf("%s seed %d: fault %s", p.day, p.seed, *p.out.Fault))
		}
		if !strings.HasPrefix(p.day, "quiet") {
			worth.add(p.out.worth())
		}
	}
	if worth.mean() < e.reached-mayFall {
		troubles = append(troubles, fmt.Sprintf("fell by %.3f", e.reached-worth.mean()))
	}
	verdict := "holds"
	if len(troubles) > 0 {
		verdict = strings.Join(troubles, "; ")
	}
	return fmt.Sprintf("| %s | %s | %s | %s |", e.name, figure(worth.mean()), figure(e.reached), verdict), len(troubles) == 0
}
