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

// confidenceLevel is the level of the printed confidence intervals.
const confidenceLevel = 0.95

// difference is the mean difference of a metric between two variants of the policy settings. Each
// pair of values is of the same simulated day and the same seed.
type difference struct {
	mean, halfWidth float64 // halfWidth is half the width of the confidence interval
	pairs           int
}

// pairedDifference returns the mean difference of a metric, variant b minus variant a, over the
// simulated days of one deployment. A day that only one of the two variants has run does not count.
func pairedDifference(results []result, deployment, a, b string, metric func(*report) float64) difference {
	var s sampleStats
	for _, r := range results {
		if r.deployment != deployment || r.variant != b {
			continue
		}
		i := slices.IndexFunc(results, func(other result) bool {
			return other.variant == a && other.deployment == deployment && other.day == r.day && other.seed == r.seed
		})
		if i >= 0 {
			s.add(metric(r.report) - metric(results[i].report))
		}
	}
	d := difference{mean: s.mean(), halfWidth: math.Inf(1), pairs: int(s.n)}
	if s.n > 1 {
		student := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: s.n - 1}
		d.halfWidth = student.Quantile((1+confidenceLevel)/2) * s.deviation() / math.Sqrt(s.n)
	}
	return d
}

// verdict returns whether the confidence interval excludes zero, and on which side.
func (d difference) verdict() string {
	switch {
	case d.mean-d.halfWidth > 0:
		return "better"
	case d.mean+d.halfWidth < 0:
		return "worse"
	}
	return "no difference seen"
}

// String returns the mean and, if there are at least two pairs,
// half the width of its confidence interval.
func (d difference) String() string {
	if math.IsInf(d.halfWidth, 1) {
		return fmt.Sprintf("%+.3f", d.mean)
	}
	return fmt.Sprintf("%+.3f ± %.3f", d.mean, d.halfWidth)
}

// metric is a figure by which variants of the policy settings are compared.
type metric struct {
	name  string
	value func(*report) float64
}

// metricsOf returns the metrics of a day's report: the worth (the bench's score), the parts of
// the worth, and the prices. metricsOf does not set the worth of a day with a broken rule to zero:
// brokenDays lists the broken rules instead.
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

// printDifferences prints one table for each variant of the policy settings, with the differences
// between the variant and the baseline: a row for each deployment, a column for each metric.
func printDifferences(w io.Writer, x *experiment, results []result) {
	if len(results) == 0 {
		return
	}
	figures := metricsOf(results[0].report)
	for _, v := range x.variants[1:] {
		fmt.Fprintf(w, "\n%s against %s, %g%% confidence\n\n| deployment | verdict |", v.name, baseline, 100*confidenceLevel)
		for _, f := range figures {
			fmt.Fprintf(w, " %s |", f.name)
		}
		fmt.Fprintf(w, " pairs | broken |\n|%s\n", strings.Repeat("---|", len(figures)+4))
		for _, d := range x.deployments {
			worth := pairedDifference(results, d.name, baseline, v.name, figures[0].value)
			fmt.Fprintf(w, "| %s | %s |", d.name, worth.verdict())
			for _, f := range figures {
				fmt.Fprintf(w, " %s |", pairedDifference(results, d.name, baseline, v.name, f.value))
			}
			fmt.Fprintf(w, " %d | %s |\n", worth.pairs, brokenDays(results, d.name, v.name))
		}
	}
}

// brokenDays lists the simulated days of a variant that broke a rule or ended with a fault.
func brokenDays(results []result, deployment, variant string) string {
	var out []string
	for _, r := range results {
		if r.deployment != deployment || r.variant != variant {
			continue
		}
		for rule := range r.report.Breaks {
			out = append(out, fmt.Sprintf("%s %s seed %d", rule, r.day, r.seed))
		}
		if r.report.Fault != nil {
			out = append(out, fmt.Sprintf("fault %s seed %d", r.day, r.seed))
		}
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}

// writeCSV writes one line of CSV for each simulated day that was run.
func writeCSV(w io.Writer, results []result) error {
	out := csv.NewWriter(w)
	for n, r := range results {
		head, row := []string{"way", "deployment", "day", "seed"}, []string{r.variant, r.deployment, r.day, fmt.Sprint(r.seed)}
		for _, f := range metricsOf(r.report) {
			head, row = append(head, f.name), append(row, fmt.Sprintf("%.4f", f.value(r.report)))
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
