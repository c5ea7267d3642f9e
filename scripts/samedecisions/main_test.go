package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// recorded is a journal entry with two days, in the format that the bench writes.
const recorded = `{"v":1,"id":"aaaa0001","at":["2026-12-02T02:09:44Z","2026-12-02T02:09:55Z"],"cmd":"score","sim":true,
"head":"0dcecd2","build_s":1.9,"mode":"quick","site":"bilbao-main-later","site_sha":"f1aad01e","panel":"f882c1a4",
"ok":true,"error":null,"score":0.6477,"days_left_out":0,
"days":[{"G":0.7761,"cpu_late":0.0,"cpu_us_event":2.1846,"fault":null,"name":"rough-1","rules":{"drain":0,"dup":0},
"signature":{"attempts_per_try":0.97},"troubles":["answer_lost","crash"]},
{"G":0.5879,"cpu_late":0.0,"cpu_us_event":3.277,"fault":null,"name":"overload","rules":{"drain":0,"dup":0},
"signature":{"attempts_per_try":0.696},"troubles":["flush"]}],"digest":"0.648, -0.000 against a snapshot"}`

// compareWith writes the recorded entry and a copy with the replacements applied to a journal, compares the two and
// returns the report.
func compareWith(t *testing.T, replacements ...string) (string, error) {
	t.Helper()
	journal := t.TempDir()
	changed := strings.NewReplacer(append([]string{"aaaa0001", "bbbb0002"}, replacements...)...).Replace(recorded)
	for name, text := range map[string]string{
		"20261202T020944-aaaa0001.json": recorded,
		"20261202T023534-bbbb0002.json": changed,
	} {
		if err := os.WriteFile(filepath.Join(journal, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var out bytes.Buffer
	err := compareAll(&out, journal, []string{"aaaa0001"}, []string{"bbbb0002"})
	return out.String(), err
}

func TestEntriesThatDifferInCPUTimeOrDescriptionAreEqual(t *testing.T) {
	cases := map[string][]string{
		"nothing changed":                    nil,
		"CPU an event":                       {`"cpu_us_event":2.1846`, `"cpu_us_event":9.5`},
		"share late by CPU":                  {`"cpu_late":0.0,"cpu_us_event":3.277`, `"cpu_late":0.25,"cpu_us_event":3.1`},
		"time of the run":                    {"2026-12-02T02:09:44Z", "2026-12-02T02:35:34Z"},
		"commit, build":                      {`"head":"0dcecd2","build_s":1.9`, `"head":"42bfc68","build_s":0.1`},
		"comparison printed with a snapshot": {"-0.000 against", "+0.001 against"},
	}
	for name, replacements := range cases {
		t.Run(name, func(t *testing.T) {
			out, err := compareWith(t, replacements...)
			if err != nil {
				t.Fatalf("equal entries: %v\n%s", err, out)
			}
			if !strings.Contains(out, "equal on 2 days") {
				t.Errorf("report: %q", out)
			}
		})
	}
}

func TestADifferentFigureIsFoundAndNamed(t *testing.T) {
	cases := []struct {
		name     string
		old, new string
		report   string
	}{
		{"figure of a day", `"G":0.5879`, `"G":0.5880`, "days[1].G: before 0.5879, after 0.5880"},
		{"same value, other digits", `"G":0.5879`, `"G":0.58790`, "days[1].G: before 0.5879, after 0.58790"},
		{"rule broken", `"dup":0}`, `"dup":1}`, "days[0].rules.dup: before 0, after 1"},
		{"signature", `:0.696}`, `:0.697}`, "days[1].signature.attempts_per_try: before 0.696, after 0.697"},
		{"figure absent", `"signature":{"attempts_per_try":0.97}`, `"signature":{}`,
			"days[0].signature.attempts_per_try: before 0.97, after absent"},
		{"new figure", `"fault":null,"name":"overload"`, `"fault":null,"cut":2,"name":"overload"`,
			"days[1].cut: before absent, after 2"},
		{"null where nothing was", `"fault":null,"name":"overload"`, `"fault":null,"cut":null,"name":"overload"`,
			"days[1].cut: before absent, after null"},
		{"fault", `"fault":null,"name":"rough-1"`, `"fault":{"at":3},"name":"rough-1"`,
			`days[0].fault: before null, after {"at":3}`},
		{"list shorter", `["answer_lost","crash"]`, `["answer_lost"]`, `days[0].troubles[1]: before "crash", after absent`},
		{"score", `"score":0.6477`, `"score":0.6476`, "score: before 0.6477, after 0.6476"},
		{"run failed", `"ok":true`, `"ok":false`, "ok: before true, after false"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			out, err := compareWith(t, c.old, c.new)
			if !errors.Is(err, errDifferent) {
				t.Fatalf("error %v, want %v\n%s", err, errDifferent, out)
			}
			if !strings.Contains(out, c.report) {
				t.Errorf("report lacks %q:\n%s", c.report, out)
			}
		})
	}
}

func TestOnlyTheFirstDifferencesArePrinted(t *testing.T) {
	var found []difference
	for range maxPrinted + 3 {
		found = append(found, difference{path: "days[0].G", before: "1", after: "2"})
	}
	var out bytes.Buffer
	report(&out, &entry{}, &entry{}, found)
	if got := strings.Count(out.String(), "days[0].G"); got != maxPrinted {
		t.Errorf("%d differences printed, want %d", got, maxPrinted)
	}
	if !strings.Contains(out.String(), "and 3 more") {
		t.Errorf("report does not count the rest: %q", out.String())
	}
}

func TestEntriesThatCannotBeComparedAreErrors(t *testing.T) {
	cases := map[string][]string{
		"another deployment":       {`"site":"bilbao-main-later"`, `"site":"addis-main"`},
		"another form of the same": {`"site_sha":"f1aad01e"`, `"site_sha":"00000000"`},
		"other days":               {`"panel":"f882c1a4"`, `"panel":"00000000"`},
		"another command":          {`"cmd":"score"`, `"cmd":"explain"`},
		"no simulator":             {`"sim":true`, `"sim":false`},
		"no days":                  {`"days":[`, `"days":[],"old":[`},
		"no JSON":                  {`{"v":1`, `"v":1`},
	}
	for name, replacements := range cases {
		t.Run(name, func(t *testing.T) {
			out, err := compareWith(t, replacements...)
			if err == nil || errors.Is(err, errDifferent) {
				t.Fatalf("error %v, want one that says why\n%s", err, out)
			}
		})
	}
}

func TestListsOfEntriesArePairedInOrder(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name+".json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	first := write("first", recorded)
	second := write("second", strings.ReplaceAll(recorded, "bilbao-main-later", "addis-main"))
	changed := write("changed", strings.ReplaceAll(recorded, "0.5879", "0.6"))

	var out bytes.Buffer
	if err := compareAll(&out, dir, splitList(first+" "+second), splitList(first+","+second)); err != nil {
		t.Errorf("equal pairs: %v", err)
	}
	err := compareAll(&out, dir, []string{changed, second}, []string{first, second})
	if !errors.Is(err, errDifferent) || !strings.Contains(out.String(), "addis-main") {
		t.Errorf("a difference in the first pair must not hide the second: %v\n%s", err, out.String())
	}
	for _, lists := range [][2][]string{{{}, {}}, {{first}, {first, second}}, {{"none"}, {first}}} {
		if err := compareAll(&out, dir, lists[0], lists[1]); err == nil || errors.Is(err, errDifferent) {
			t.Errorf("entries %v and %v: error %v", lists[0], lists[1], err)
		}
	}
}
