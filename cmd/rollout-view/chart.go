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
	maxChartPoints = 150 // of a line; if there are more samples, they are averaged
	chartWidth     = 16 * vg.Centimeter
	chartHeight    = 7 * vg.Centimeter
	minAxisTop     = 0.001 // height of the transition lines if all values are zero
	nsPerMS        = 1e6
	percent        = 100
)

// weightedSum is the sum of a metric over jobs, and the number of those jobs.
type weightedSum struct {
	sum    float64
	weight float64
}

// chart plots one metric of both versions over the course of a change.
type chart struct {
	title string
	value func(coordinator.VersionSummary) weightedSum
}

var charts = []chart{
	{"jobs that missed their SLA time, %", percentOfJobs(func(v coordinator.VersionSummary) uint64 { return v.Missed })},
	{"throttled, %", percentOfJobs(func(v coordinator.VersionSummary) uint64 { return v.Throttled })},
	{"cancelled for good, %", percentOfJobs(func(v coordinator.VersionSummary) uint64 { return v.Cancelled })},
	{"median latency, ms", latencyMS(func(v coordinator.VersionSummary) int64 { return v.MedianNS })},
	{"99th percentile of latency, ms", latencyMS(func(v coordinator.VersionSummary) int64 { return v.P99NS })},
}

// percentOfJobs returns the percentage of jobs that count selects, weighted by the number of jobs.
func percentOfJobs(count func(coordinator.VersionSummary) uint64) func(coordinator.VersionSummary) weightedSum {
	return func(sample coordinator.VersionSummary) weightedSum {
		return weightedSum{sum: percent * float64(count(sample)), weight: float64(sample.Jobs)}
	}
}

// latencyMS returns a latency in milliseconds, weighted by the number of jobs.
func latencyMS(nanoseconds func(coordinator.VersionSummary) int64) func(coordinator.VersionSummary) weightedSum {
	return func(sample coordinator.VersionSummary) weightedSum {
		jobs := float64(sample.Jobs)
		return weightedSum{sum: float64(nanoseconds(sample)) / nsPerMS * jobs, weight: jobs}
	}
}

// version is one of the two versions that a chart compares.
type version struct {
	name     string
	color    color.Color
	sampleOf func(coordinator.PollSummary) coordinator.VersionSummary
}

func oldVersion(sample coordinator.PollSummary) coordinator.VersionSummary { return sample.Old }
func newVersion(sample coordinator.PollSummary) coordinator.VersionSummary { return sample.New }

var versions = []version{
	{"old", color.RGBA{R: 90, G: 90, B: 90, A: 255}, oldVersion},
	{"new", color.RGBA{R: 20, G: 90, B: 200, A: 255}, newVersion},
}

// draw returns the chart as SVG. It needs at least one sample. Vertical lines mark where a phase or a stage begins.
func (c chart) draw(samples []coordinator.PollSummary) (template.HTML, error) {
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

// addLine adds the line of a version, unless it has no jobs.
func (c chart) addLine(p *plot.Plot, version version, samples []coordinator.PollSummary) error {
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

// points averages consecutive samples, weighted by their jobs, so that a line has at most maxChartPoints points.
func (c chart) points(version version, samples []coordinator.PollSummary) plotter.XYs {
	perPoint := (len(samples) + maxChartPoints - 1) / maxChartPoints
	var points plotter.XYs
	for first := 0; first < len(samples); first += perPoint {
		var total weightedSum
		for _, sample := range samples[first:min(len(samples), first+perPoint)] {
			value := c.value(version.sampleOf(sample))
			total.sum += value.sum
			total.weight += value.weight
		}
		if total.weight > 0 {
			points = append(points, plotter.XY{X: secondsSinceFirst(samples, first), Y: total.sum / total.weight})
		}
	}
	return points
}

func secondsSinceFirst(samples []coordinator.PollSummary, i int) float64 {
	return samples[i].Time.Sub(samples[0].Time).Seconds()
}

// addTransitions draws a vertical line where a phase or a stage begins.
func addTransitions(p *plot.Plot, samples []coordinator.PollSummary) {
	top := max(p.Y.Max, minAxisTop)
	for i := 1; i < len(samples); i++ {
		if samples[i].Stage == samples[i-1].Stage && samples[i].Phase == samples[i-1].Phase {
			continue
		}
		x := secondsSinceFirst(samples, i)
		line, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: top}})
		if err != nil {
			continue // skip a time that cannot be plotted
		}
		line.Dashes = []vg.Length{2, 2}
		line.Color = color.Gray{Y: 190}
		p.Add(line)
	}
}

// renderSVG returns a plot as an SVG element for embedding in HTML, without the XML declaration.
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
