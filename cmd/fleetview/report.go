package main

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"swiftreel/internal/coordinator"
)

// bins is how many points a chart's line has at most: looks are put together.
const bins = 150

// chart is one figure of both versions over the change.
type chart struct {
	title string
	of    func(coordinator.Arm) (value, weight float64)
}

var charts = []chart{
	{"jobs that missed their SLA time, %", func(a coordinator.Arm) (float64, float64) { return 100 * float64(a.Missed), float64(a.Jobs) }},
	{"throttled, %", func(a coordinator.Arm) (float64, float64) { return 100 * float64(a.Throttled), float64(a.Jobs) }},
	{"cancelled for good, %", func(a coordinator.Arm) (float64, float64) { return 100 * float64(a.Cancelled), float64(a.Jobs) }},
	{"median latency, ms", func(a coordinator.Arm) (float64, float64) {
		return float64(a.MedianNS) / 1e6 * float64(a.Jobs), float64(a.Jobs)
	}},
	{"99th percentile of latency, ms", func(a coordinator.Arm) (float64, float64) {
		return float64(a.P99NS) / 1e6 * float64(a.Jobs), float64(a.Jobs)
	}},
}

var (
	oldColor = color.RGBA{R: 90, G: 90, B: 90, A: 255}
	newColor = color.RGBA{R: 20, G: 90, B: 200, A: 255}
)

// draw draws a chart as SVG; stages are marked by vertical lines.
func (c chart) draw(points []coordinator.Point) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text = c.title, "s"
	began := points[0].At
	per := (len(points) + bins - 1) / bins
	for name, of := range map[string]func(coordinator.Point) coordinator.Arm{"old": func(p coordinator.Point) coordinator.Arm { return p.Old }, "new": func(p coordinator.Point) coordinator.Arm { return p.New }} {
		var line plotter.XYs
		for i := 0; i < len(points); i += per {
			sum, weight := 0.0, 0.0
			for _, x := range points[i:min(len(points), i+per)] {
				v, w := c.of(of(x))
				sum, weight = sum+v, weight+w
			}
			if weight > 0 {
				line = append(line, plotter.XY{X: points[i].At.Sub(began).Seconds(), Y: sum / weight})
			}
		}
		if len(line) == 0 {
			continue
		}
		l, err := plotter.NewLine(line)
		if err != nil {
			return "", err
		}
		l.Color = map[string]color.Color{"old": oldColor, "new": newColor}[name]
		p.Add(l)
		p.Legend.Add(name, l)
	}
	p.Y.Min = 0
	top := p.Y.Max
	for i := 1; i < len(points); i++ {
		if points[i].Stage == points[i-1].Stage && points[i].Phase == points[i-1].Phase {
			continue
		}
		x := points[i].At.Sub(began).Seconds()
		if l, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: max(top, 0.001)}}); err == nil {
			l.Dashes, l.Color = []vg.Length{2, 2}, color.Gray{Y: 190}
			p.Add(l)
		}
	}
	canvas := vgsvg.New(16*vg.Centimeter, 7*vg.Centimeter)
	p.Draw(draw.New(canvas))
	var text bytes.Buffer
	if _, err := canvas.WriteTo(&text); err != nil {
		return "", err
	}
	_, svg, _ := bytes.Cut(text.Bytes(), []byte("<svg")) // without the XML head, as it stands in a page
	return template.HTML("<svg" + string(svg)), nil
}

var page = template.Must(template.New("page").Funcs(template.FuncMap{"stage": func(n int) int { return n + 1 },
	"time": func(t time.Time) string { return t.Format("15:04:05.0") }, "pc": func(v float64) string { return fmt.Sprintf("%.3g", v) }}).Parse(`<!doctype html>
<meta charset="utf-8"><title>Change {{.R.Change.Number}}</title>
<style>body{font:15px sans-serif;max-width:60em;margin:2em auto;color:#222}table{border-collapse:collapse}td,th{padding:.2em .7em;text-align:left;border-bottom:1px solid #ddd}svg{max-width:100%;height:auto}</style>
<h1>Change {{.R.Change.Number}}: {{.R.State.Phase}}</h1>
<p>{{.R.Change.Title}} ({{.R.Change.Kind}}) {{.R.From.Digest}} to {{.R.To.Digest}}. {{.R.State.Outcome}}</p>
<h2>Stages</h2><table><tr><th>stage<th>controllers{{range $i, $s := .R.Stages}}<tr><td>{{stage $i}}<td>{{range $s}}{{.}} {{end}}{{end}}</table>
<h2>Verdicts</h2><table><tr><th>verdict<th>odds of harm<th>jobs new<th>old<th>why{{range .R.State.Verdicts}}<tr><td>{{.Conclusion}}<td>{{pc .EValue}}<td>{{.NewJobs}}<td>{{.OldJobs}}<td>{{.Reason}}{{end}}</table>
<h2>Old against new</h2>{{range .Charts}}{{.}}{{end}}
<h2>Transitions</h2><table><tr><th>at<th>phase<th>stage<th>order<th>why{{range .Steps}}<tr><td>{{time .At}}<td>{{.Phase}}<td>{{stage .Stage}}<td>{{.Fence}}<td>{{.Why}}{{end}}</table>
`))

// report is the page of the last change.
func report(f *coordinator.Folder, r coordinator.Record) ([]byte, error) {
	points, err := f.Points()
	if err != nil {
		return nil, err
	}
	all, err := f.History()
	if err != nil {
		return nil, err
	}
	var steps []coordinator.Step
	for _, s := range all {
		if s.Number == r.Change.Number {
			steps = append(steps, s)
		}
	}
	var drawn []template.HTML
	for _, c := range charts {
		if len(points) < 2 {
			break
		}
		svg, err := c.draw(points)
		if err != nil {
			return nil, err
		}
		drawn = append(drawn, svg)
	}
	var text bytes.Buffer
	err = page.Execute(&text, struct {
		R      coordinator.Record
		Charts []template.HTML
		Steps  []coordinator.Step
	}{r, drawn, steps})
	return text.Bytes(), err
}
