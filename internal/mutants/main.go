// Command mutants removes each safety rule from a copy of the project, one at a time, and
// checks that the test named for the rule then fails. A test that passes without its rule
// does not check that rule.
package main

import (
	"bytes"
	"context"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// testTimeout is the time limit for the test of one mutant.
const testTimeout = 4 * time.Minute

func main() {
	survived := 0
	for _, m := range mutants {
		if len(os.Args) > 1 && !strings.Contains(m.rule, os.Args[1]) {
			continue
		}
		startedAt := time.Now()
		killed, err := tryMutant(m)
		if err != nil {
			fmt.Printf("%-50s cannot be tested: %v\n", m.rule, err)
			survived++
			continue
		}
		result := "fails without it"
		if !killed {
			result = "PASSES WITHOUT IT"
			survived++
		}
		fmt.Printf("%-50s %s %s: %s (%v)\n", m.rule, m.pkg, m.test, result, time.Since(startedAt).Round(time.Second))
	}
	fmt.Printf("%d rules; for %d of them the test passes without the rule or could not be run\n", len(mutants), survived)
	if survived > 0 {
		os.Exit(1)
	}
}

// tryMutant removes the rule in a copy of the project and returns whether the test then fails.
func tryMutant(m mutant) (bool, error) {
	dir, err := os.MkdirTemp("", "mutant")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(dir)
	if err := copyTree(dir); err != nil {
		return false, err
	}
	path := filepath.Join(dir, m.file)
	text, err := os.ReadFile(path)
	if err != nil {
		return false, err
	}
	if n := bytes.Count(text, []byte(m.old)); n != 1 {
		return false, fmt.Errorf("%s contains %q %d times, want once", m.file, m.old, n)
	}
	if err := os.WriteFile(path, bytes.Replace(text, []byte(m.old), []byte(m.new), 1), 0o600); err != nil {
		return false, err
	}
	if out, err := runCommand(dir, "go", "build", "./..."); err != nil {
		return false, fmt.Errorf("does not build: %s", out)
	}
	_, err = runCommand(dir, "go", "test", m.pkg, "-run", m.test, "-count", "1", "-timeout", testTimeout.String())
	return err != nil, nil
}

func runCommand(dir, name string, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout+time.Minute)
	defer cancel()
	cmd := exec.CommandContext(ctx, name, args...)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// copyTree copies the Go source and module files of the project to a folder.
func copyTree(destination string) error {
	return filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() {
			if path != "." && (strings.HasPrefix(d.Name(), ".") || path == "bin" || path == "trial") {
				return filepath.SkipDir
			}
			return os.MkdirAll(filepath.Join(destination, path), 0o700)
		}
		if !strings.HasSuffix(path, ".go") && path != "go.mod" && path != "go.sum" {
			return nil
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(destination, path), source, 0o600)
	})
}
