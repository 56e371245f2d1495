package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// TestMutatedLinesExistOnce checks that the quoted code of each rule occurs exactly once in its
// file. A rule whose code has been rewritten can no longer be tested, which would otherwise show
// only when all mutants are run.
func TestMutatedLinesExistOnce(t *testing.T) {
	for _, m := range mutants {
		text, err := os.ReadFile(filepath.Join("..", "..", m.file))
		if err != nil {
			t.Errorf("%s: %v", m.rule, err)
			continue
		}
		if n := bytes.Count(text, []byte(m.old)); n != 1 {
			t.Errorf("%s: %s contains %q %d times, want once", m.rule, m.file, m.old, n)
		}
	}
}
