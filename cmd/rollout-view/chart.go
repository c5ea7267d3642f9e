package main

import (
	"bytes"
	"html/template"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"swiftreel/internal/coordinator"
)

const (
	maxChartPoints = 150 // of a line; more samples are merged
	chartWidth     = 16 * vg.Centimeter
	chartHeight    = 7 * vg.Centimeter
	minAxisTop     = 0.001 // height of a stage's line where every value is zero
	nsPerMS        = 1e6
	percent        = 100
)

// weighted is a value of one sample, summed over its jobs, and the number of jobs.
type weighted struct {
	sum    float64
	weight float64
}

// chart is one figure of both versions over the course of a change.
type chart struct {
	title string
	value func(coordinator.VersionSample) weighted
}

var charts = []chart{
	{"jobs that missed their SLA time, %", share(func(v coordinator.VersionSample) uint64 { return v.Missed })},
	{"throttled, %", share(func(v coordinator.VersionSample) uint64 { return v.Throttled })},
	{"cancelled for good, %", share(func(v coordinator.VersionSample) uint64 { return v.Cancelled })},
	{"median latency, ms", latency(func(v coordinator.VersionSample) int64 { return v.MedianNS })},
	{"99th percentile of latency, ms", latency(func(v coordinator.VersionSample) int64 { return v.P99NS })},
}

// share is the part of the jobs that are counted, in percent.
func share(count func(coordinator.VersionSample) uint64) func(coordinator.VersionSample) weighted {
	return func(sample coordinator.VersionSample) weighted {
		return weighted{sum: percent * float64(count(sample)), weight: float64(sample.Jobs)}
	}
}

// latency is a time in milliseconds, weighted by the jobs that it was measured on.
func latency(nanoseconds func(coordinator.VersionSample) int64) func(coordinator.VersionSample) weighted {
	return func(sample coordinator.VersionSample) weighted {
		jobs := float64(sample.Jobs)
		return weighted{sum: float64(nanoseconds(sample)) / nsPerMS * jobs, weight: jobs}
	}
}

// version is one of the two lines of a chart.
type version struct {
	name  string
	color color.Color
	part  func(coordinator.Sample) coordinator.VersionSample
}

func oldVersion(sample coordinator.Sample) coordinator.VersionSample { return sample.Old }
func newVersion(sample coordinator.Sample) coordinator.VersionSample { return sample.New }

var versions = []version{
	{"old", color.RGBA{R: 90, G: 90, B: 90, A: 255}, oldVersion},
	{"new", color.RGBA{R: 20, G: 90, B: 200, A: 255}, newVersion},
}

// draw draws the chart of at least one sample as SVG. Vertical lines mark where a phase or a stage begins.
func (c chart) draw(samples []coordinator.Sample) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = c.title
	p.X.Label.Text = "s"
	for _, version := range versions {
		if err := c.addLine(p, version, samples); err != nil {
			return "", err
		}
	}
	p.Y.Min = 0
	addTransitions(p, samples)
	return renderSVG(p)
}

// addLine adds a version's line, where it has jobs.
func (c chart) addLine(p *plot.Plot, version version, samples []coordinator.Sample) error {
	points := c.points(version, samples)
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = version.color
	p.Add(line)
	p.Legend.Add(version.name, line)
	return nil
}

// points merges samples, so that a line has maxChartPoints at most.
func (c chart) points(version version, samples []coordinator.Sample) plotter.XYs {
	perPoint := (len(samples) + maxChartPoints - 1) / maxChartPoints
	var points plotter.XYs
	for first := 0; first < len(samples); first += perPoint {
		var total weighted
		for _, sample := range samples[first:min(len(samples), first+perPoint)] {
			value := c.value(version.part(sample))
			total.sum += value.sum
			total.weight += value.weight
		}
		if total.weight > 0 {
			points = append(points, plotter.XY{X: secondsSinceFirst(samples, first), Y: total.sum / total.weight})
		}
	}
	return points
}

func secondsSinceFirst(samples []coordinator.Sample, i int) float64 {
	return samples[i].Time.Sub(samples[0].Time).Seconds()
}

// addTransitions marks where a phase or a stage begins.
func addTransitions(p *plot.Plot, samples []coordinator.Sample) {
	top := max(p.Y.Max, minAxisTop)
	for i := 1; i < len(samples); i++ {
		if samples[i].Stage == samples[i-1].Stage && samples[i].Phase == samples[i-1].Phase {
			continue
		}
		x := secondsSinceFirst(samples, i)
		line, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: top}})
		if err != nil {
			continue // a time that cannot be drawn is left out
		}
		line.Dashes = []vg.Length{2, 2}
		line.Color = color.Gray{Y: 190}
		p.Add(line)
	}
}

// renderSVG returns a plot as it stands in a page, without the head of an XML file.
func renderSVG(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(chartWidth, chartHeight)
	p.Draw(draw.New(canvas))
	var text bytes.Buffer
	if _, err := canvas.WriteTo(&text); err != nil {
		return "", err
	}
	_, svg, _ := bytes.Cut(text.Bytes(), []byte("<svg"))
	return template.HTML("<svg" + string(svg)), nil
}
