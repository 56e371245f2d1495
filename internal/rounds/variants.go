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

// result is the report of one simulated day of one variant, deployment and seed.
type result struct {
	variant, deployment, day string
	seed                     int
	report                   *report
}

// runExperiment runs the simulated days that have no report yet, and returns the results of all
// days. The reports stay in the folder of the flag --out,
// so that an interrupted experiment can be resumed.
func (a *arguments) runExperiment(x *experiment) ([]result, error) {
	if err := os.MkdirAll(a.Out, 0o755); err != nil {
		return nil, fmt.Errorf("folder for reports: %w", err)
	}
	var all []result
	var failed error
	commit, err := currentCommit()
	if err != nil {
		return nil, err
	}
	for _, v := range x.variants {
		results, err := a.runVariant(x, commit, v)
		all = append(all, results...)
		failed = errors.Join(failed, err)
	}
	return all, failed
}

// runVariant runs the missing simulated days of one variant of the policy settings, and returns
// the results of all days of the variant.
func (a *arguments) runVariant(x *experiment, commit string, v variant) ([]result, error) {
	if missing := x.missingDays(a.Out, v); len(missing) > 0 {
		if err := a.runDays(x, commit, v, missing); err != nil {
			return nil, fmt.Errorf("variant %s: %w", v.name, err)
		}
	}
	var results []result
	var failed error
	for _, p := range x.plannedDays() {
		r, err := readReport(filepath.Join(a.Out, x.reportFile(v, p)))
		if err != nil {
			failed = errors.Join(failed, fmt.Errorf("variant %s, %s: not run: %w", v.name, p, err))
			continue
		}
		results = append(results, result{v.name, p.deployment.name, p.day, p.seed, r})
	}
	return results, failed
}

// plannedDay is a simulated day of a deployment with a seed. Every variant runs each plannedDay.
type plannedDay struct {
	deployment deployment
	day        string
	seed       int
}

func (p plannedDay) String() string {
	return fmt.Sprintf("%s, %s, seed %d", p.deployment.name, p.day, p.seed)
}

// plannedDays returns all simulated days that every variant of the policy settings runs.
func (x *experiment) plannedDays() []plannedDay {
	var days []plannedDay
	for _, d := range x.deployments {
		for _, day := range x.days {
			for seed := range x.seeds {
				days = append(days, plannedDay{d, day, seed + 1})
			}
		}
	}
	return days
}

// missingDays returns the simulated days of a variant that have no report yet.
func (x *experiment) missingDays(out string, v variant) []plannedDay {
	return slices.DeleteFunc(x.plannedDays(), func(p plannedDay) bool {
		_, err := os.Stat(filepath.Join(out, x.reportFile(v, p)))
		return err == nil
	})
}

// runDays runs simulated days of a variant in a clone of a commit, a few days at a time, and prints
// the progress. All variants of an experiment use the same commit, whatever is committed meanwhile.
func (a *arguments) runDays(x *experiment, commit string, v variant, days []plannedDay) error {
	dir, err := a.cloneAndBuild(commit, v)
	if err != nil {
		return err
	}
	defer func() {
		if err := os.RemoveAll(dir); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}()
	runConcurrently(len(days), x.jobs, v.name+": ", func(i int) {
		p := days[i]
		command := *a
		command.Site, command.Small, command.Why = filepath.Join(a.Sites, p.deployment.site), p.deployment.small, a.Why+": "+v.name
		if _, err := command.runDay(dir, p.day, p.seed, filepath.Join(a.Out, x.reportFile(v, p))); err != nil {
			fmt.Fprintf(os.Stderr, "\n%s, %s: %v\n", v.name, p, err)
		}
	})
	return copyJournal(dir)
}

// settingsTemplate is the settings file to which a variant's settings are appended.
const settingsTemplate = "deploy/vm.ini"

// currentCommit returns the commit that is checked out.
func currentCommit() (string, error) {
	out, err := exec.Command("git", "rev-parse", "HEAD").Output()
	if err != nil {
		return "", fmt.Errorf("current commit: %w", err)
	}
	return strings.TrimSpace(string(out)), nil
}

// cloneAndBuild clones a commit into a temporary folder, appends the variant's settings, builds
// it, and returns the folder.
func (a *arguments) cloneAndBuild(commit string, v variant) (string, error) {
	dir, err := os.MkdirTemp("", "way")
	if err != nil {
		return "", fmt.Errorf("folder for the clone: %w", err)
	}
	if out, err := exec.Command("git", "clone", "--quiet", ".", dir).CombinedOutput(); err != nil {
		return "", fmt.Errorf("clone: %w\n%s", err, out)
	}
	if out, err := exec.Command("git", "-C", dir, "checkout", "--quiet", "--detach", commit).CombinedOutput(); err != nil {
		return "", fmt.Errorf("checkout: %w\n%s", err, out)
	}
	if len(v.settings) > 0 {
		file, err := os.OpenFile(filepath.Join(dir, settingsTemplate), os.O_APPEND|os.O_WRONLY, 0)
		if err != nil {
			return "", fmt.Errorf("settings: %w", err)
		}
		_, err = file.WriteString("\n[policy]\n" + strings.Join(v.settings, "\n") + "\n")
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

// journalDir is the folder in which the bench keeps an entry for each run.
const journalDir = "journal"

// copyJournal copies the journal entries of the runs in the clone dir to this checkout.
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
