package main

import (
	"crypto/sha256"
	"fmt"
	"regexp"
	"testing"

	"swiftreel/internal/coordinator"
	"swiftreel/internal/golden"
)

// The page and the table of a folder as the program before wrote them: testdata.

var svg = regexp.MustCompile(`(?s)<svg.*?</svg>`)

func TestThePageOfAFolderIsAsItWas(t *testing.T) {
	f := coordinator.UnlockedFolder("testdata/folder")
	r, is, err := f.Record()
	if err != nil || !is {
		t.Fatal(is, err)
	}
	text, err := report(f, r)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "page.golden", svg.ReplaceAll(text, []byte("<svg/>")))
	golden.Check(t, "table.golden", []byte(table(f, nil)))

	drawn := svg.FindAll(text, -1)
	if len(drawn) != len(charts) {
		t.Fatalf("%d charts", len(drawn))
	}
	var digests []byte
	for i, chart := range drawn {
		sum := sha256.Sum256(chart)
		digests = fmt.Appendf(digests, "chart %d %x\n", i, sum[:8])
	}
	golden.Check(t, "charts.golden", digests)
}
