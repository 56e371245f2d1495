package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"strings"
)

// report holds those fields of the bench's report of one simulated day that this command uses.
type report struct {
	// Worth is the bench's score of the simulated day.
	Worth float64 `json:"G"`
	// Fault is the error with which the simulated day ended, or nil.
	Fault  *string
	Parts  []part
	Prices []price
	// Breaks holds the broken rules by name, as the bench reports them.
	Breaks map[string]json.RawMessage
	// Missed lists what the bench required of the deployment on the simulated day
	// and the deployment did not do.
	Missed  []string
	Classes []class
}

// part is one component of the worth (score) of a simulated day.
type part struct {
	name   string
	weight float64 // weight of the part's value in the worth (score) of the day
	value  float64
}

// price is what the bench takes off the worth (score) of a simulated day for the use of a resource.
type price struct {
	name   string
	amount float64 // amount of the resource that was used
	taken  float64 // what the price takes off the worth (score) of the day
}

// class holds the results of one kind of request: how many requests were sent, and
// the worth (score) of these requests.
type class struct {
	Name  string
	Count int `json:"n"`
	Worth float64
}

func (p *part) UnmarshalJSON(b []byte) error {
	return json.Unmarshal(b, &[]any{&p.name, &p.weight, &p.value})
}

func (p *price) UnmarshalJSON(b []byte) error {
	return json.Unmarshal(b, &[]any{&p.name, &p.amount, &p.taken})
}

// readReport reads the report that the bench wrote to file.
func readReport(file string) (*report, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	r := &report{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("report %s: %w", file, err)
	}
	return r, nil
}

// worth returns the bench's score of a simulated day,
// or zero if the day broke a rule or ended with a fault.
func (r *report) worth() float64 {
	if len(r.Breaks) > 0 || r.Fault != nil {
		return 0
	}
	return r.Worth
}

// shownPrices are the prices (amounts that a simulated day pays for resources) that get a column
// of their own in the printed table: the bench's name of the price and the head of the column.
// One more column has the sum of what the day pays for all other resources.
var shownPrices = []struct{ name, head string }{
	{"worth paid for the use of models", "models"},
	{"GB between zones", "bytes"},
	{"1,000 tokens of shared parts read again", "read again"},
	{"GB of prompt memory moved", "moved"},
	{"machine-seconds", "machines"},
	{"cloud calls", "calls"},
}

// sampleStats accumulates the mean and the standard deviation of a sample.
type sampleStats struct{ sum, squares, n float64 }

// add adds x to the sample.
func (s *sampleStats) add(x float64) { s.sum, s.squares, s.n = s.sum+x, s.squares+x*x, s.n+1 }

// mean returns the mean of the sample, or zero if the sample is empty.
func (s *sampleStats) mean() float64 { return s.sum / max(s.n, 1) }

// deviation returns the sample standard deviation.
func (s *sampleStats) deviation() float64 {
	if s.n < 2 {
		return 0
	}
	return math.Sqrt(max(s.squares-s.n*s.mean()*s.mean(), 0) / (s.n - 1))
}

// printTable prints a row for each simulated day, then the means over all days and over the days
// with trouble. The name of a day with trouble does not begin with "quiet".
func printTable(w io.Writer, days []string, runs []*dayRun) {
	columns := []string{"day", "worth", "spread"}
	for _, p := range firstReport(runs).Parts {
		columns = append(columns, p.name)
	}
	for _, s := range shownPrices {
		columns = append(columns, s.head)
	}
	columns = append(columns, "other prices", "classes", "broken or missed")
	fmt.Fprintf(w, "| %s |\n|%s\n", strings.Join(columns, " | "), strings.Repeat("---|", len(columns)))
	var all, troubled []*report
	for _, day := range days {
		reports := reportsOf(runs, day)
		printRow(w, day, reports)
		all = append(all, reports...)
		if !strings.HasPrefix(day, "quiet") {
			troubled = append(troubled, reports...)
		}
	}
	printRow(w, "all", all)
	printRow(w, "with trouble", troubled)
}

// firstReport returns the report of the first successful run,
// or an empty report if no run succeeded.
func firstReport(runs []*dayRun) *report {
	for _, run := range runs {
		if run.err == nil {
			return run.report
		}
	}
	return &report{}
}

// printRow prints the mean of each figure over several reports as one row of the table.
func printRow(w io.Writer, name string, reports []*report) {
	if len(reports) == 0 {
		return
	}
	var worth sampleStats
	for _, r := range reports {
		worth.add(r.worth())
	}
	cells := []string{name, formatNumber(worth.mean()), formatNumber(worth.deviation())}
	for i := range reports[0].Parts {
		var s sampleStats
		for _, r := range reports {
			s.add(r.Parts[i].value)
		}
		cells = append(cells, formatNumber(s.mean()))
	}
	cells = append(cells, priceCells(reports)...)
	cells = append(cells, classCell(reports), brokenCell(reports))
	fmt.Fprintf(w, "| %s |\n", strings.Join(cells, " | "))
}

// priceCells returns, for each resource in shownPrices, the mean over all reports of the amount
// that a simulated day pays for the resource. The last cell is the mean over all reports
// of the total that a simulated day pays for all other resources.
func priceCells(reports []*report) []string {
	sums := make([]sampleStats, len(shownPrices)+1)
	for _, r := range reports {
		other := 0.0
		taken := make([]float64, len(shownPrices))
		for _, p := range r.Prices {
			i := slices.IndexFunc(shownPrices, func(s struct{ name, head string }) bool { return s.name == p.name })
			if i < 0 {
				other += p.taken
				continue
			}
			taken[i] = p.taken
		}
		for i, x := range append(taken, other) {
			sums[i].add(x)
		}
	}
	cells := make([]string, len(sums))
	for i := range sums {
		cells[i] = formatNumber(sums[i].mean())
	}
	return cells
}

// classCell returns the mean worth (score) of each kind of request, in the order of the report.
func classCell(reports []*report) string {
	cells := make([]string, len(reports[0].Classes))
	for i := range cells {
		var s sampleStats
		for _, r := range reports {
			if i < len(r.Classes) {
				s.add(r.Classes[i].Worth)
			}
		}
		cells[i] = fmt.Sprintf("%.2f", s.mean())
	}
	return strings.Join(cells, " ")
}

// brokenCell returns how many simulated days broke each rule, ended with a fault
// or had an entry in Missed (what the bench required and the deployment did not do).
func brokenCell(reports []*report) string {
	counts := make(map[string]int)
	for _, r := range reports {
		for rule := range r.Breaks {
			counts[rule]++
		}
		if r.Fault != nil {
			counts["fault"]++
		}
		if len(r.Missed) > 0 {
			counts["missed"]++
		}
	}
	if len(counts) == 0 {
		return ""
	}
	var cells []string
	for name, n := range counts {
		cells = append(cells, fmt.Sprintf("%s %d", name, n))
	}
	slices.Sort(cells)
	return fmt.Sprintf("%s of %d", strings.Join(cells, ", "), len(reports))
}

// formatNumber returns x with three decimals.
func formatNumber(x float64) string { return fmt.Sprintf("%.3f", x) }
