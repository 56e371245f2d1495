package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
)

// result is one day of one way, at one deployment and on one seed.
type result struct {
	variant, deployment, day string
	seed                     int
	report                   *report
}

// runExperiment plays what has not been played before, and returns all of it. Reports
// are kept in a folder, so that an experiment which was broken off goes on there.
func (a *arguments) runExperiment(x *experiment) ([]result, error) {
	if err := os.MkdirAll(a.Out, 0o755); err != nil {
		return nil, fmt.Errorf("folder for reports: %w", err)
	}
	var all []result
	var failed error
	for _, w := range x.variants {
		trials, err := a.runVariant(x, w)
		all = append(all, trials...)
		failed = errors.Join(failed, err)
	}
	return all, failed
}

// runVariant plays all of one way in a copy of the commit that is checked out.
func (a *arguments) runVariant(x *experiment, w variant) ([]result, error) {
	if missing := x.missingDays(a.Out, w); len(missing) > 0 {
		if err := a.runDays(x, w, missing); err != nil {
			return nil, fmt.Errorf("way %s: %w", w.name, err)
		}
	}
	var trials []result
	var failed error
	for _, p := range x.plannedDays() {
		r, err := readReport(filepath.Join(a.Out, x.reportFile(w, p)))
		if err != nil {
			failed = errors.Join(failed, fmt.Errorf("way %s, %s: not played: %w", w.name, p, err))
			continue
		}
		trials = append(trials, result{w.name, p.deployment.name, p.day, p.seed, r})
	}
	return trials, failed
}

// plannedDay is one day that each way plays.
type plannedDay struct {
	deployment deployment
	day        string
	seed       int
}

func (p plannedDay) String() string {
	return fmt.Sprintf("%s, %s, seed %d", p.deployment.name, p.day, p.seed)
}

// plannedDays returns all days that each way plays.
func (x *experiment) plannedDays() []plannedDay {
	var list []plannedDay
	for _, e := range x.deployments {
		for _, day := range x.days {
			for seed := range x.seeds {
				list = append(list, plannedDay{e, day, seed + 1})
			}
		}
	}
	return list
}

// missingDays returns the days of a way that have no report yet.
func (x *experiment) missingDays(out string, w variant) []plannedDay {
	return slices.DeleteFunc(x.plannedDays(), func(p plannedDay) bool {
		_, err := os.Stat(filepath.Join(out, x.reportFile(w, p)))
		return err == nil
	})
}

// runDays plays days of a way, a few at a time, and shows how far it is.
func (a *arguments) runDays(x *experiment, w variant, list []plannedDay) error {
	dir, err := a.cloneAndBuild(w)
	if err != nil {
		return err
	}
	defer func() {
		if err := os.RemoveAll(dir); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}()
	runConcurrently(len(list), x.jobs, w.name+": ", func(i int) {
		p := list[i]
		one := *a
		one.Site, one.Small, one.Why = filepath.Join(a.Sites, p.deployment.site), p.deployment.small, a.Why+": "+w.name
		if _, err := one.runDay(dir, p.day, p.seed, filepath.Join(a.Out, x.reportFile(w, p))); err != nil {
			fmt.Fprintf(os.Stderr, "\n%s, %s: %v\n", w.name, p, err)
		}
	})
	return copyJournal(dir)
}

// settingsTemplate is the settings file that a way's settings are added to.
const settingsTemplate = "deploy/vm.ini"

// cloneAndBuild makes a copy of the commit that is checked out, with a way's settings, and
// builds it.
func (a *arguments) cloneAndBuild(w variant) (string, error) {
	dir, err := os.MkdirTemp("", "way")
	if err != nil {
		return "", fmt.Errorf("folder for a copy: %w", err)
	}
	if out, err := exec.Command("git", "clone", "--quiet", ".", dir).CombinedOutput(); err != nil {
		return "", fmt.Errorf("copy: %w\n%s", err, out)
	}
	if len(w.settings) > 0 {
		file, err := os.OpenFile(filepath.Join(dir, settingsTemplate), os.O_APPEND|os.O_WRONLY, 0)
		if err != nil {
			return "", fmt.Errorf("settings: %w", err)
		}
		_, err = file.WriteString("\n[policy]\n" + strings.Join(w.settings, "\n") + "\n")
		if err := errors.Join(err, file.Close()); err != nil {
			return "", fmt.Errorf("settings: %w", err)
		}
	}
	build := exec.Command(a.Bench, "build")
	build.Dir = dir
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return dir, nil
}

// journalDir is where the bench keeps an entry of each run.
const journalDir = "journal"

// copyJournal brings the entries of a copy's runs here.
func copyJournal(dir string) error {
	entries, err := filepath.Glob(filepath.Join(dir, journalDir, "*.json"))
	if err != nil {
		return err
	}
	for _, from := range entries {
		to := filepath.Join(journalDir, filepath.Base(from))
		if _, err := os.Stat(to); err == nil {
			continue
		}
		raw, err := os.ReadFile(from)
		if err != nil {
			return fmt.Errorf("journal: %w", err)
		}
		if err := os.WriteFile(to, raw, 0o644); err != nil {
			return fmt.Errorf("journal: %w", err)
		}
	}
	return nil
}
