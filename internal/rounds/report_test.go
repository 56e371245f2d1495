package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const sampleReport = `{"G": 0.6, "fault": null, "breaks": {}, "missed": ["a duty"],
"parts": [["whole day", 0.56, 0.8]],
"prices": [["GB between zones", 0.01, 0.03], ["cloud calls", 5, 0.01], ["probes", 1, 0.002]],
"classes": [{"name": "a", "n": 10, "worth": 0.9}]}`

// TestTable checks that a report is read, that a day with a broken rule is worth
// nothing, and that prices without a column of their own are summed.
func TestTable(t *testing.T) {
	is := is.New(t)
	read := func(text string) *report {
		file := filepath.Join(t.TempDir(), "r.json")
		is.NoErr(os.WriteFile(file, []byte(text), 0o600))
		r, err := readReport(file)
		is.NoErr(err)
		return r
	}
	good := read(sampleReport)
	broken := read(strings.Replace(sampleReport, `"breaks": {}`, `"breaks": {"LOST": 3}`, 1))
	var out strings.Builder
	printTable(&out, []string{"quiet-1", "trouble-1"}, []*play{{day: "quiet-1", out: good}, {day: "trouble-1", out: good}, {day: "trouble-1", out: broken}})
	lines := strings.Split(out.String(), "\n")
	is.Equal(lines[2], "| quiet-1 | 0.600 | 0.000 | 0.800 | 0.000 | 0.030 | 0.000 | 0.000 | 0.000 | 0.010 | 0.002 | 0.90 | missed 1 of 1 |")
	is.True(strings.HasPrefix(lines[3], "| trouble-1 | 0.300 | 0.424 |"))
	is.True(strings.Contains(lines[3], "LOST 1, missed 2 of 2"))
	is.True(strings.HasPrefix(lines[5], "| with trouble | 0.300 |"))
}
