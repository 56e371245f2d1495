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

// report is the bench's account of a day, as far as it is printed.
type report struct {
	Worth  float64 `json:"G"`
	Fault  *string
	Parts  []part
	Prices []price
	// Breaks counts broken rules by name.
	Breaks  map[string]json.RawMessage
	Missed  []string
	Classes []class
}

// part is a part of the worth: its name, weight and value.
type part struct {
	name   string
	weight float64
	value  float64
}

// price is what was taken off for a resource: its name, amount and part of the
// worth.
type price struct {
	name   string
	amount float64
	taken  float64
}

// class is how a kind of request fared.
type class struct {
	Name  string
	Asked int `json:"n"`
	Worth float64
}

func (p *part) UnmarshalJSON(b []byte) error {
	return json.Unmarshal(b, &[]any{&p.name, &p.weight, &p.value})
}

func (p *price) UnmarshalJSON(b []byte) error {
	return json.Unmarshal(b, &[]any{&p.name, &p.amount, &p.taken})
}

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

// worth returns what a day is worth: nothing with a broken rule or a fault.
func (r *report) worth() float64 {
	if len(r.Breaks) > 0 || r.Fault != nil {
		return 0
	}
	return r.Worth
}

// short names of prices that are shown apart; the rest are summed.
var shownPrices = []struct{ name, head string }{
	{"worth paid for the use of models", "models"},
	{"GB between zones", "bytes"},
	{"1,000 tokens of shared parts read again", "read again"},
	{"GB of prompt memory moved", "moved"},
	{"machine-seconds", "machines"},
	{"cloud calls", "calls"},
}

// sampleStats are the mean of figures and how far they spread.
type sampleStats struct{ sum, squares, n float64 }

func (s *sampleStats) add(x float64) { s.sum, s.squares, s.n = s.sum+x, s.squares+x*x, s.n+1 }

func (s *sampleStats) mean() float64 { return s.sum / max(s.n, 1) }

// deviation returns the sample's standard deviation.
func (s *sampleStats) deviation() float64 {
	if s.n < 2 {
		return 0
	}
	return math.Sqrt(max(s.squares-s.n*s.mean()*s.mean(), 0) / (s.n - 1))
}

// printTable prints a row a day, and the means over all days and over those with
// trouble.
func printTable(w io.Writer, days []string, plays []*dayRun) {
	heads := []string{"day", "worth", "spread"}
	for _, p := range firstReport(plays).Parts {
		heads = append(heads, p.name)
	}
	for _, s := range shownPrices {
		heads = append(heads, s.head)
	}
	heads = append(heads, "other prices", "classes", "broken or missed")
	fmt.Fprintf(w, "| %s |\n|%s\n", strings.Join(heads, " | "), strings.Repeat("---|", len(heads)))
	var every, troubled []*report
	for _, day := range days {
		reports := reportsOf(plays, day)
		printRow(w, day, reports)
		every = append(every, reports...)
		if !strings.HasPrefix(day, "quiet") {
			troubled = append(troubled, reports...)
		}
	}
	printRow(w, "all", every)
	printRow(w, "with trouble", troubled)
}

func firstReport(plays []*dayRun) *report {
	for _, p := range plays {
		if p.err == nil {
			return p.report
		}
	}
	return &report{}
}

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

// priceCells returns the means of the prices that are shown, and of the sum of
// all others.
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

// classCell returns the mean worth of each kind of request, in the report's
// order.
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

// brokenCell counts the days with a broken rule, a fault or a missed duty.
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

func formatNumber(x float64) string { return fmt.Sprintf("%.3f", x) }
