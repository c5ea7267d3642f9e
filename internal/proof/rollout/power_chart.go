package main

import (
	"fmt"
	"maps"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// drawPower draws a chart of the number of jobs that the new version had received when a harm was detected, with one
// line per fleet size.
func drawPower(path string, power map[int]plotter.XYs) error {
	p := plot.New()
	p.Title.Text = "found harm"
	p.X.Label.Text = "harm, % of jobs cancelled for good"
	p.Y.Label.Text = "jobs by the new version, median"
	p.X.Scale = plot.LogScale{}
	p.Y.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	for i, controllers := range slices.Sorted(maps.Keys(power)) {
		line, points, err := plotter.NewLinePoints(power[controllers])
		if err != nil {
			return err
		}
		line.Dashes = plotutil.Dashes(i)
		points.Shape = plotutil.Shape(i)
		p.Add(line, points)
		p.Legend.Add(fmt.Sprintf("%d controllers", controllers), line, points)
	}
	p.Legend.Top = true
	return p.Save(16*vg.Centimeter, 9*vg.Centimeter, path)
}
