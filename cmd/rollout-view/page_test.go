package main

import (
	"crypto/sha256"
	"fmt"
	"regexp"
	"testing"

	"swiftreel/internal/coordinator"
	"swiftreel/internal/golden"
)

// The golden files in testdata hold the page and the table of testdata/folder, and digests of the charts.

var svgElement = regexp.MustCompile(`(?s)<svg.*?</svg>`)

func TestReportPageMatchesGoldenFiles(t *testing.T) {
	store := coordinator.OpenUnlocked("testdata/folder")
	record, found, err := store.Record()
	if err != nil || !found {
		t.Fatal(found, err)
	}
	text, err := report(store, record)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "page.golden", svgElement.ReplaceAll(text, []byte("<svg/>")))
	golden.Check(t, "table.golden", []byte(table(store, nil)))

	drawn := svgElement.FindAll(text, -1)
	if len(drawn) != len(charts) {
		t.Fatalf("the page has %d charts", len(drawn))
	}
	var digests []byte
	for i, chart := range drawn {
		sum := sha256.Sum256(chart)
		digests = fmt.Appendf(digests, "chart %d %x\n", i, sum[:8])
	}
	golden.Check(t, "charts.golden", digests)
}
