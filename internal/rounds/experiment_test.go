package main

import (
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const sampleExperiment = `[experiment]
days = quiet-1, scale-1
seeds = 2
jobs = 3

[way plain]
without = price, homes

[way dearer]
worth-of-cost = 30

[deployment further]
site = further/x.toml
small = no
`

// TestReadExperiment checks that an experiment is parsed and that the baseline comes first.
func TestReadExperiment(t *testing.T) {
	is := is.New(t)
	x, err := readExperiment("e.ini", []byte(sampleExperiment))
	is.NoErr(err)
	is.Equal(x.days, []string{"quiet-1", "scale-1"})
	is.Equal(len(x.variants), 3)
	is.Equal(x.variants[0], variant{name: baseline})
	is.Equal(x.variants[1], variant{"dearer", []string{"worth-of-cost = 30"}})
	is.Equal(x.deployments, []deployment{{name: "further", site: "further/x.toml"}})
	is.Equal(x.reportFile(x.variants[0], plannedDay{x.deployments[0], "quiet-1", 1}), "as-it-stands.further.quiet-1.1.json")
}

// TestReadExperimentErrors checks that an invalid file gives an error that names file,
// line and key.
func TestReadExperimentErrors(t *testing.T) {
	for name, c := range map[string]struct{ from, to, want string }{
		"unknown setting":     {"worth-of-cost = 30", "worth = 30", "e.ini:10: [way dearer] worth"},
		"value out of bounds": {"worth-of-cost = 30", "worth-of-cost = -3", "[way dearer] worth-of-cost"},
		"unknown mechanism":   {"without = price, homes", "without = luck", "luck"},
		"unknown section":     {"[way plain]", "[path plain]", "[path plain]"},
		"no variant":          {"[way plain]\nwithout = price, homes\n\n[way dearer]\nworth-of-cost = 30\n", "", "[way NAME]"},
		"no site":             {"site = further/x.toml", "sites = x", "site"},
		"too many seeds":      {"seeds = 2", "seeds = 2000", "seeds"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(sampleExperiment, c.from, c.to, 1)
			is.True(text != sampleExperiment)
			_, err := readExperiment("e.ini", []byte(text))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}

// TestExperimentResumes checks that days which already have a report are not run again.
func TestExperimentResumes(t *testing.T) {
	is := is.New(t)
	x, err := readExperiment("e.ini", []byte(sampleExperiment))
	is.NoErr(err)
	out := t.TempDir()
	is.Equal(len(x.missingDays(out, x.variants[0])), 4)
	is.NoErr(os.WriteFile(filepath.Join(out, x.reportFile(x.variants[0], plannedDay{x.deployments[0], "quiet-1", 2})), []byte("{}"), 0o600))
	is.Equal(len(x.missingDays(out, x.variants[0])), 3)
	is.Equal(len(x.missingDays(out, x.variants[1])), 4)
}

// resultsWithDifferences returns the results of two variants whose worth differs by the
// given amounts. The days themselves differ much more.
func resultsWithDifferences(differences ...float64) []result {
	var all []result
	for i, d := range differences {
		base := 0.5 + 0.1*float64(i)
		all = append(all,
			result{baseline, "d", "quiet-1", i, &report{Worth: base}},
			result{"other", "d", "quiet-1", i, &report{Worth: base + d}})
	}
	return all
}

// TestPairedDifference checks the difference of two variants and its verdict. The days
// have very different worths, which must not matter because equal days are paired.
func TestPairedDifference(t *testing.T) {
	worth := func(r *report) float64 { return r.Worth }
	for name, c := range map[string]struct {
		differences []float64
		verdict     string
	}{
		"better":          {[]float64{0.02, 0.03, 0.025, 0.02}, "better"},
		"worse":           {[]float64{-0.02, -0.03, -0.025, -0.02}, "worse"},
		"not significant": {[]float64{0.02, -0.03, 0.01, -0.005}, "no difference seen"},
		"single pair":     {[]float64{0.3}, "no difference seen"},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(pairedDifference(resultsWithDifferences(c.differences...), "d", baseline, "other", worth).verdict(), c.verdict)
		})
	}
	is := is.New(t)
	d := pairedDifference(resultsWithDifferences(0.01, 0.03), "d", baseline, "other", worth)
	is.True(math.Abs(d.mean-0.02) < 1e-9)
	is.True(math.Abs(d.halfWidth-0.127) < 0.001) // 12.706 (Student's t) * 0.01414 (deviation) / sqrt(2)
	is.Equal(d.pairs, 2)
}

// TestWriteResults checks that the table lists broken rules, and that the CSV file and the
// plot are written.
func TestWriteResults(t *testing.T) {
	is := is.New(t)
	x := &experiment{variants: []variant{{name: baseline}, {name: "other"}}, deployments: []deployment{{name: "d"}}}
	results := resultsWithDifferences(0.02, 0.03)
	results[1].report.Breaks = map[string]json.RawMessage{"LOST": nil}
	var table strings.Builder
	printDifferences(&table, x, results)
	is.True(strings.Contains(table.String(), "| d | "))
	is.True(strings.Contains(table.String(), "LOST quiet-1 seed 0"))
	var csv strings.Builder
	is.NoErr(writeCSV(&csv, results))
	is.Equal(strings.Count(csv.String(), "\n"), 5)
	file := filepath.Join(t.TempDir(), "worth.svg")
	is.NoErr(plotDifferences(file, x, results))
	raw, err := os.ReadFile(file)
	is.NoErr(err)
	is.True(strings.Contains(string(raw), "<svg"))
}

// TestAblationFile checks that the experiment in days/ablation.ini can be parsed.
func TestAblationFile(t *testing.T) {
	is := is.New(t)
	file := filepath.Join("..", "..", "days", "ablation.ini")
	text, err := os.ReadFile(file)
	is.NoErr(err)
	x, err := readExperiment(file, text)
	is.NoErr(err)
	is.Equal(len(x.variants), 11)
}
