package main

import (
	"encoding/json"
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

// TestPrintTable checks that a report is parsed, that a day with a broken rule has a worth
// of zero, and that prices without a column of their own are summed.
func TestPrintTable(t *testing.T) {
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
	printTable(&out, []string{"quiet-1", "trouble-1"}, []*dayRun{{day: "quiet-1", report: good}, {day: "trouble-1", report: good}, {day: "trouble-1", report: broken}})
	lines := strings.Split(out.String(), "\n")
	is.Equal(lines[2], "| quiet-1 | 0.600 | 0.000 | 0.800 | 0.000 | 0.030 | 0.000 | 0.000 | 0.000 | 0.010 | 0.002 | 0.90 | missed 1 of 1 |")
	is.True(strings.HasPrefix(lines[3], "| trouble-1 | 0.300 | 0.424 |"))
	is.True(strings.Contains(lines[3], "LOST 1, missed 2 of 2"))
	is.True(strings.HasPrefix(lines[5], "| with trouble | 0.300 |"))
}

// TestReadSet checks that a regression set is parsed, and that an invalid set gives an
// error that names file, line and key.
func TestReadSet(t *testing.T) {
	is := is.New(t)
	set, err := readSet("landing.ini", []byte("[a]\nsite = x.toml\nreached = 0.6\n\n[b]\nsite = y.toml\nsmall = yes\ndays = quiet-1, scale-1\nseeds = 3\n"))
	is.NoErr(err)
	is.Equal(len(set), 2)
	is.Equal(set[0].referenceWorth, 0.6)
	is.Equal(len(set[0].days), 6)
	is.Equal(set[1].days, []string{"quiet-1", "scale-1"})
	is.True(set[1].small)
	for text, want := range map[string]string{
		"[a]\nreached = 0.6\n":                 "site",
		"[a]\nsite = x\nreached = high\n":      "landing.ini:3",
		"[a]\nsite = x\nsmall = perhaps\n":     "small",
		"[a]\nsite = x\nworth = 0.6\n":         "worth",
		"[a]\nsite = x\n[a]\nsite = y\n":       "landing.ini:3",
		"[a]\nsite = x.toml\nthis is no key\n": "landing.ini:3",
	} {
		_, err := readSet("landing.ini", []byte(text))
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), want))
	}
}

// TestEvaluate checks what makes a deployment fail: a day that was not run, a broken rule,
// or a drop of the worth by more than maxWorthDrop. Quiet days do not count.
func TestEvaluate(t *testing.T) {
	is := is.New(t)
	day := func(name string, worth float64) *dayRun {
		return &dayRun{day: name, seed: 1, report: &report{Worth: worth}}
	}
	broken := day("trouble-1", 0.7)
	broken.report.Breaks = map[string]json.RawMessage{"LOST": nil}
	d := deployment{name: "a", referenceWorth: 0.6}
	for _, c := range []struct {
		runs     []*dayRun
		passes   bool
		wantText string
	}{
		{[]*dayRun{day("quiet-1", 0.1), day("trouble-1", 0.58)}, true, "holds"},
		{[]*dayRun{day("quiet-1", 0.9), day("trouble-1", 0.56)}, false, "fell by 0.040"},
		{[]*dayRun{day("trouble-1", 0.9), broken}, false, "broke LOST"},
		{[]*dayRun{day("trouble-1", 0.9), {day: "scale-1", seed: 2, err: os.ErrNotExist}}, false, "scale-1 seed 2 not run"},
	} {
		row, passes := evaluate(d, c.runs)
		is.Equal(passes, c.passes)
		is.True(strings.Contains(row, c.wantText))
	}
}
