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

// trial is one day of one way, at one deployment and on one seed.
type trial struct {
	way, deployment, day string
	seed                 int
	report               *report
}

// runExperiment plays what has not been played before, and returns all of it. Reports
// are kept in a folder, so that an experiment which was broken off goes on there.
func (a *arguments) runExperiment(x *experiment) ([]trial, error) {
	if err := os.MkdirAll(a.Out, 0o755); err != nil {
		return nil, fmt.Errorf("folder for reports: %w", err)
	}
	var all []trial
	var failed error
	for _, w := range x.ways {
		trials, err := a.runWay(x, w)
		all = append(all, trials...)
		failed = errors.Join(failed, err)
	}
	return all, failed
}

// runWay plays all of one way in a copy of the commit that is checked out.
func (a *arguments) runWay(x *experiment, w way) ([]trial, error) {
	if missing := x.missing(a.Out, w); len(missing) > 0 {
		if err := a.playAll(x, w, missing); err != nil {
			return nil, fmt.Errorf("way %s: %w", w.name, err)
		}
	}
	var trials []trial
	var failed error
	for _, p := range x.plan() {
		r, err := readReport(filepath.Join(a.Out, x.id(w, p)))
		if err != nil {
			failed = errors.Join(failed, fmt.Errorf("way %s, %s: not played: %w", w.name, p, err))
			continue
		}
		trials = append(trials, trial{w.name, p.entry.name, p.day, p.seed, r})
	}
	return trials, failed
}

// planned is one day that each way plays.
type planned struct {
	entry entry
	day   string
	seed  int
}

func (p planned) String() string { return fmt.Sprintf("%s, %s, seed %d", p.entry.name, p.day, p.seed) }

// plan returns all days that each way plays.
func (x *experiment) plan() []planned {
	var list []planned
	for _, e := range x.deployments {
		for _, day := range x.days {
			for seed := range x.seeds {
				list = append(list, planned{e, day, seed + 1})
			}
		}
	}
	return list
}

// missing returns the days of a way that have no report yet.
func (x *experiment) missing(out string, w way) []planned {
	return slices.DeleteFunc(x.plan(), func(p planned) bool {
		_, err := os.Stat(filepath.Join(out, x.id(w, p)))
		return err == nil
	})
}

// playAll plays days of a way, a few at a time, and shows how far it is.
func (a *arguments) playAll(x *experiment, w way, list []planned) error {
	dir, err := a.copyFor(w)
	if err != nil {
		return err
	}
	defer func() {
		if err := os.RemoveAll(dir); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}()
	atOnce(len(list), x.jobs, w.name+": ", func(i int) {
		p := list[i]
		one := *a
		one.Site, one.Small, one.Why = filepath.Join(a.Sites, p.entry.site), p.entry.small, a.Why+": "+w.name
		if _, err := one.play(dir, p.day, p.seed, filepath.Join(a.Out, x.id(w, p))); err != nil {
			fmt.Fprintf(os.Stderr, "\n%s, %s: %v\n", w.name, p, err)
		}
	})
	return keepJournal(dir)
}

// template is the settings file that a way's settings are added to.
const template = "deploy/vm.ini"

// copyFor makes a copy of the commit that is checked out, with a way's settings, and
// builds it.
func (a *arguments) copyFor(w way) (string, error) {
	dir, err := os.MkdirTemp("", "way")
	if err != nil {
		return "", fmt.Errorf("folder for a copy: %w", err)
	}
	if out, err := exec.Command("git", "clone", "--quiet", ".", dir).CombinedOutput(); err != nil {
		return "", fmt.Errorf("copy: %w\n%s", err, out)
	}
	if len(w.settings) > 0 {
		file, err := os.OpenFile(filepath.Join(dir, template), os.O_APPEND|os.O_WRONLY, 0)
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

// journal is where the bench keeps an entry of each run.
const journal = "journal"

// keepJournal brings the entries of a copy's runs here.
func keepJournal(dir string) error {
	entries, err := filepath.Glob(filepath.Join(dir, journal, "*.json"))
	if err != nil {
		return err
	}
	for _, from := range entries {
		to := filepath.Join(journal, filepath.Base(from))
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
