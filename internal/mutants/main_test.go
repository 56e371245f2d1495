package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// TestMutatedLinesExistOnce checks that the line of each rule stands once in its file: a rule
// whose line was rewritten is tried no more, and nobody sees it before all are.
func TestMutatedLinesExistOnce(t *testing.T) {
	for _, m := range mutants {
		text, err := os.ReadFile(filepath.Join("..", "..", m.file))
		if err != nil {
			t.Errorf("%s: %v", m.rule, err)
			continue
		}
		if n := bytes.Count(text, []byte(m.old)); n != 1 {
			t.Errorf("%s: %s holds %q %d times", m.rule, m.file, m.old, n)
		}
	}
}
