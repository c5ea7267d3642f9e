package main

import (
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"swiftreel/internal/coordinator"
)

// The page and the table of a folder as the program before wrote them: testdata.

var record = flag.Bool("record", false, "write testdata/*.golden anew; only from a program whose page is to stand")

func golden(t *testing.T, name, got string) {
	t.Helper()
	path := "testdata/" + name + ".golden"
	if *record {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s is\n%s\nwas\n%s", name, got, want)
	}
}

var svg = regexp.MustCompile(`(?s)<svg.*?</svg>`)

func TestThePageOfAFolderIsAsItWas(t *testing.T) {
	f := coordinator.Look("testdata/folder")
	r, is, err := f.Record()
	if err != nil || !is {
		t.Fatal(is, err)
	}
	text, err := report(f, r)
	if err != nil {
		t.Fatal(err)
	}
	golden(t, "page", svg.ReplaceAllString(string(text), "<svg/>"))
	golden(t, "table", table(f, nil))

	// Either version's line may be drawn first. Both ways a chart is drawn are known by their digests.
	known := map[string][]string{}
	for range 100 {
		text, err := report(f, r)
		if err != nil {
			t.Fatal(err)
		}
		drawn := svg.FindAllString(string(text), -1)
		if len(drawn) != len(charts) {
			t.Fatalf("%d charts", len(drawn))
		}
		for i, s := range drawn {
			sum := sha256.Sum256([]byte(s))
			name := fmt.Sprintf("chart %d", i)
			if d := hex.EncodeToString(sum[:8]); !slices.Contains(known[name], d) {
				known[name] = append(known[name], d)
			}
		}
		if !*record {
			break
		}
	}
	var lines []string
	for name, digests := range known {
		for _, d := range digests {
			lines = append(lines, name+" "+d)
		}
	}
	slices.Sort(lines)
	if *record {
		golden(t, "charts", strings.Join(lines, "\n")+"\n")
	}
	want, err := os.ReadFile("testdata/charts.golden")
	if err != nil {
		t.Fatal(err)
	}
	for _, l := range lines {
		if !slices.Contains(strings.Split(string(want), "\n"), l) {
			t.Errorf("%s is not among\n%s", l, want)
		}
	}
}
