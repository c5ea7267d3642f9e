package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"swiftreel/internal/canary"
	"swiftreel/internal/coordinator"
	"swiftreel/internal/rollout"
)

// The report must be readable as a single file, without scripts and external resources, and must escape the text of the
// change.
func TestReportIsSelfContained(t *testing.T) {
	dir := t.TempDir()
	write := func(name string, values ...any) {
		var text []byte
		for _, v := range values {
			line, err := json.Marshal(v)
			if err != nil {
				t.Fatal(err)
			}
			text = append(append(text, line...), '\n')
		}
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var r coordinator.Record
	r.Change.Number, r.Change.Title, r.Stages = 7, "a <b>change</b>", [][]string{{"c1"}, {"c1", "c2"}}
	r.State = rollout.State{
		Phase:    rollout.PhaseReverted,
		Outcome:  "stage 1 does worse",
		Verdicts: []canary.Verdict{{Conclusion: canary.Regressed, Reason: "lookups", EValue: 900}},
	}
	write("change.json", r)
	var points []any
	began := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	for i := range 400 {
		p := coordinator.PollSummary{
			Time:   began.Add(time.Duration(i) * time.Second),
			Number: 7,
			Phase:  rollout.PhaseBaking,
			Old:    coordinator.VersionSummary{Jobs: 50, Missed: 1, MedianNS: 5e6, P99NS: 9e6},
		}
		if i >= 200 {
			p.Stage, p.New = 1, coordinator.VersionSummary{Jobs: 10, Missed: 4, MedianNS: 7e6, P99NS: 20e6}
		}
		points = append(points, p)
	}
	write("looks.jsonl", points...)
	write(
		"history.jsonl",
		coordinator.Transition{Time: began, Number: 7, Phase: rollout.PhaseRollback, Reason: "worse"},
		coordinator.Transition{Time: began, Number: 6, Phase: rollout.PhaseDone, Reason: "another change"},
	)
	f := coordinator.OpenUnlocked(dir)
	got, _, err := f.Record()
	if err != nil {
		t.Fatal(err)
	}
	page, err := report(f, got)
	if err != nil {
		t.Fatal(err)
	}
	text := string(page)
	if n := strings.Count(text, "<svg"); n != len(charts) {
		t.Errorf("the page has %d of %d charts", n, len(charts))
	}
	for _, wanted := range []string{"Change 7: back", "stage 1 does worse", "c1 c2", "going back", "a &lt;b&gt;change"} {
		if !strings.Contains(text, wanted) {
			t.Errorf("the page lacks %q", wanted)
		}
	}
	for _, unwanted := range []string{"<script", "src=", "another change", "<b>change"} {
		if strings.Contains(text, unwanted) {
			t.Errorf("the page contains %q", unwanted)
		}
	}
	if shown := table(f, nil); !strings.Contains(shown, "change 7") ||
		!strings.Contains(shown, "new 10 jobs, 4 missed") {
		t.Errorf("%s", shown)
	}
}
