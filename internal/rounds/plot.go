package main

import (
	"fmt"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// intervals holds the points of a plot with their confidence intervals.
type intervals struct {
	plotter.XYs
	plotter.YErrors
}

// plotDifferences plots, for each deployment, the difference in worth (score) between each
// variant and the baseline.
func plotDifferences(file string, x *experiment, results []result) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("worth against the way that stands, %g%% confidence", 100*confidenceLevel)
	p.Y.Label.Text = "difference"
	var names []string
	for _, dep := range x.deployments {
		names = append(names, dep.name)
	}
	for n, v := range x.variants[1:] {
		points := intervals{}
		for i, dep := range x.deployments {
			d := pairedDifference(results, dep.name, baseline, v.name, func(r *report) float64 { return r.Worth })
			halfWidth := d.halfWidth
			if math.IsInf(halfWidth, 1) {
				halfWidth = 0
			}
			at := float64(i) + 0.8*(float64(n)+0.5)/float64(len(x.variants)-1) - 0.4
			points.XYs = append(points.XYs, plotter.XY{X: at, Y: d.mean})
			points.YErrors = append(points.YErrors, struct{ Low, High float64 }{halfWidth, halfWidth})
		}
		if err := addIntervals(p, n, v.name, points); err != nil {
			return err
		}
	}
	p.Add(plotter.NewGrid())
	p.NominalX(names...)
	p.Legend.Top = true
	return p.Save(plotWidth, plotHeight, file)
}

// addIntervals adds the points of the n-th variant of the policy settings to a plot,
// with error bars.
func addIntervals(p *plot.Plot, n int, name string, points intervals) error {
	dots, err := plotter.NewScatter(points.XYs)
	if err != nil {
		return err
	}
	dots.Color = plotutil.Color(n)
	bars, err := plotter.NewYErrorBars(points)
	if err != nil {
		return err
	}
	bars.Color = plotutil.Color(n)
	p.Add(dots, bars)
	p.Legend.Add(name, dots)
	return nil
}
