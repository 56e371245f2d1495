package main

import (
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"woaddoor/internal/measure/model"
)

// Size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// writePlots writes the plots of docs/MEASURES.md into dir as SVG files.
func writePlots(dir string, seed uint64) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	if err := plotGoodput(filepath.Join(dir, "goodput.svg"), seed); err != nil {
		return err
	}
	return plotChoice(filepath.Join(dir, "choice.svg"), seed)
}

// savePlot writes a plot to path as SVG. x and y are the labels of the axes; lines
// alternates names and points.
func savePlot(path, title, x, y string, lines ...any) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top = true
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}

// plotGoodput plots the rate of answers that meet their deadline against the offered load.
func plotGoodput(path string, seed uint64) error {
	var without, with plotter.XYs
	for _, load := range []float64{0.5, 0.8, 1, 1.2, 1.5, 2, 2.5, 3} {
		withoutQueue, _ := overload(seed, 0, load)
		withQueue, _ := overload(seed, queueCapacity(), load)
		without = append(without, plotter.XY{X: load * 100, Y: withoutQueue})
		with = append(with, plotter.XY{X: load * 100, Y: withQueue})
	}
	return savePlot(path, "Answers in time under overload", "load offered, %", "answers in time a second", "no queue", without, "woaddoor", with)
}

// plotChoice plots the p95 time to the first token against the load.
func plotChoice(path string, seed uint64) error {
	var lines []any
	for _, strategy := range choosers {
		if strategy.name == "least reported" {
			continue // the times of this strategy are seconds, off the scale of the other strategies
		}
		var points plotter.XYs
		for _, load := range []float64{0.3, 0.5, 0.7, 0.8, 0.9, 0.95, 1, 1.05} {
			s := newSite(seed, engines, vms, 1, 0, strategy.make)
			first, _, _ := s.offerLoad(load * uncachedCapacity(engines))
			points = append(points, plotter.XY{X: load * 100, Y: model.QuantilesOf(first).P95})
		}
		lines = append(lines, strategy.name, points)
	}
	return savePlot(path, "First token, p95", "load, % of the uncached rate", "ms", lines...)
}
