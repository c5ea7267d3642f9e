package main

import (
	"bytes"
	_ "embed" // for page.html
	"fmt"
	"html/template"
	"time"

	"swiftreel/internal/coordinator"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"stage": func(index int) int { return index + 1 },
	"time":  func(at time.Time) string { return at.Format("15:04:05.0") },
	"pc":    func(value float64) string { return fmt.Sprintf("%.3g", value) },
}).Parse(pageText))

// pageData is the input of the page's template.
type pageData struct {
	Record      coordinator.Record
	Charts      []template.HTML
	Transitions []coordinator.Transition
}

// minSamples is the number of samples that charts need.
const minSamples = 2

// report returns the HTML page of the last change in a store. record is its record.
func report(store *coordinator.RecordStore, record coordinator.Record) ([]byte, error) {
	samples, err := store.Samples()
	if err != nil {
		return nil, err
	}
	history, err := store.History()
	if err != nil {
		return nil, err
	}
	data := pageData{Record: record}
	for _, transition := range history {
		if transition.Number == record.Change.Number {
			data.Transitions = append(data.Transitions, transition)
		}
	}
	if len(samples) >= minSamples {
		if data.Charts, err = drawCharts(samples); err != nil {
			return nil, err
		}
	}
	var text bytes.Buffer
	if err := page.Execute(&text, data); err != nil {
		return nil, err
	}
	return text.Bytes(), nil
}

func drawCharts(samples []coordinator.PollSummary) ([]template.HTML, error) {
	var drawn []template.HTML
	for _, chart := range charts {
		svg, err := chart.draw(samples)
		if err != nil {
			return nil, err
		}
		drawn = append(drawn, svg)
	}
	return drawn, nil
}
