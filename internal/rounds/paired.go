package main

import (
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat/distuv"
)

// confidenceLevel is that of the intervals that are printed.
const confidenceLevel = 0.95

// difference is by how much one way is worth more than another, over pairs of days
// played on the same seed.
type difference struct {
	mean, halfWidth float64 // half of its confidence interval
	pairs           int
}

// pairedDifference returns the difference of a figure between two ways, of the days of one
// deployment.
func pairedDifference(trials []result, deployment, a, b string, of func(*report) float64) difference {
	var s sampleStats
	for _, t := range trials {
		if t.deployment != deployment || t.variant != b {
			continue
		}
		i := slices.IndexFunc(trials, func(o result) bool {
			return o.variant == a && o.deployment == deployment && o.day == t.day && o.seed == t.seed
		})
		if i >= 0 {
			s.add(of(t.report) - of(trials[i].report))
		}
	}
	d := difference{mean: s.mean(), halfWidth: math.Inf(1), pairs: int(s.n)}
	if s.n > 1 {
		student := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: s.n - 1}
		d.halfWidth = student.Quantile((1+confidenceLevel)/2) * s.deviation() / math.Sqrt(s.n)
	}
	return d
}

// verdict says what a difference means.
func (d difference) verdict() string {
	switch {
	case d.mean-d.halfWidth > 0:
		return "better"
	case d.mean+d.halfWidth < 0:
		return "worse"
	}
	return "no difference seen"
}

func (d difference) String() string {
	if math.IsInf(d.halfWidth, 1) {
		return fmt.Sprintf("%+.3f", d.mean)
	}
	return fmt.Sprintf("%+.3f ± %.3f", d.mean, d.halfWidth)
}

// metric is a figure that ways are compared by.
type metric struct {
	name  string
	value func(*report) float64
}

// metricsOf returns the parts and the prices of a report, after its worth. A day with a
// broken rule counts with what it was worth without: the rule is noted apart.
func metricsOf(r *report) []metric {
	figures := []metric{{"worth", func(r *report) float64 { return r.Worth }}}
	for i, p := range r.Parts {
		figures = append(figures, metric{p.name, func(r *report) float64 { return r.Parts[i].value }})
	}
	for _, s := range shownPrices {
		figures = append(figures, metric{"price: " + s.head, func(r *report) float64 {
			for _, p := range r.Prices {
				if p.name == s.name {
					return p.taken
				}
			}
			return 0
		}})
	}
	return figures
}

// printDifferences prints, for each way, its difference to the way that stands: a row a
// deployment, a column a figure.
func printDifferences(w io.Writer, x *experiment, trials []result) {
	if len(trials) == 0 {
		return
	}
	figures := metricsOf(trials[0].report)
	for _, v := range x.variants[1:] {
		fmt.Fprintf(w, "\n%s against %s, %g%% confidence\n\n| deployment | verdict |", v.name, baseline, 100*confidenceLevel)
		for _, f := range figures {
			fmt.Fprintf(w, " %s |", f.name)
		}
		fmt.Fprintf(w, " pairs | broken |\n|%s\n", strings.Repeat("---|", len(figures)+4))
		for _, e := range x.deployments {
			worth := pairedDifference(trials, e.name, baseline, v.name, figures[0].value)
			fmt.Fprintf(w, "| %s | %s |", e.name, worth.verdict())
			for _, f := range figures {
				fmt.Fprintf(w, " %s |", pairedDifference(trials, e.name, baseline, v.name, f.value))
			}
			fmt.Fprintf(w, " %d | %s |\n", worth.pairs, brokenDays(trials, e.name, v.name))
		}
	}
}

// brokenDays names the days of a way with a broken rule or a fault.
func brokenDays(trials []result, deployment, way string) string {
	var out []string
	for _, t := range trials {
		if t.deployment != deployment || t.variant != way {
			continue
		}
		for rule := range t.report.Breaks {
			out = append(out, fmt.Sprintf("%s %s seed %d", rule, t.day, t.seed))
		}
		if t.report.Fault != nil {
			out = append(out, fmt.Sprintf("fault %s seed %d", t.day, t.seed))
		}
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}

// writeCSV writes a line for each day that was played.
func writeCSV(w io.Writer, trials []result) error {
	out := csv.NewWriter(w)
	for n, t := range trials {
		head, row := []string{"way", "deployment", "day", "seed"}, []string{t.variant, t.deployment, t.day, fmt.Sprint(t.seed)}
		for _, f := range metricsOf(t.report) {
			head, row = append(head, f.name), append(row, fmt.Sprintf("%.4f", f.value(t.report)))
		}
		if n == 0 {
			if err := out.Write(head); err != nil {
				return err
			}
		}
		if err := out.Write(row); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}
