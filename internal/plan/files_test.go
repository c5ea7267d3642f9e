package plan

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"swiftreel/internal/golden"
	"swiftreel/internal/schema"
)

func indented(t *testing.T, v any) []byte {
	t.Helper()
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	return append(text, '\n')
}

// A plan that swiftreel solve --out wrote is unchanged after decoding and encoding, and satisfies its problem.
func TestPlanAndProblemRoundTrip(t *testing.T) {
	a, err := Load(filepath.Join("testdata", "plan.json"))
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "plan.json", indented(t, a))
	p, err := LoadProblem(filepath.Join("testdata", "problem.json"))
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "problem.golden.json", indented(t, p))
	if err := Verify(p, a); err != nil {
		t.Error(err)
	}
	a.Steps[0].Threads[0].Threads++
	if Verify(p, a) == nil {
		t.Error("a plan with different threads was accepted")
	}
}

func TestDiff(t *testing.T) {
	a, err := Load(filepath.Join("testdata", "plan.json"))
	if err != nil {
		t.Fatal(err)
	}
	b, err := Load(filepath.Join("testdata", "plan-other.json"))
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "diff.golden.json", indented(t, Diff(a, b)))
	if list := Diff(a, a); len(list) > 0 {
		t.Errorf("a plan differs from itself: %v", list)
	}
}

// Contradictions in a plan that the schema cannot detect are reported with their paths.
func TestContradictionsInAPlanAreReported(t *testing.T) {
	for name, c := range map[string]struct {
		change  func(s map[string]any)
		problem string
	}{
		"begins late": {func(s map[string]any) { s["from_ms"] = 5 },
			"/steps/0/from_ms: steps begin at 0 and follow each other"},
		"used twice": {func(s map[string]any) {
			s["use"] = append(s["use"].([]any), map[string]any{"engine": "e1", "threads": 0, "may": 0, "has": 0})
		}, `/steps/0/use/3: engine "e1" stands twice`},
		"of no engine": {func(s map[string]any) { s["use"] = s["use"].([]any)[1:] },
			`/steps/0/threads/0: engine "e1" does not stand in use`},
		"shares": {func(s map[string]any) { s["shares"].([]any)[0].(map[string]any)["per_million"] = 999_999 },
			"/steps/0/shares: they sum to "},
	} {
		t.Run(name, func(t *testing.T) {
			a, err := Load(filepath.Join("testdata", "plan.json"))
			if err != nil {
				t.Fatal(err)
			}
			var text map[string]any
			if err := json.Unmarshal(indented(t, a), &text); err != nil {
				t.Fatal(err)
			}
			c.change(text["steps"].([]any)[0].(map[string]any))
			path := filepath.Join(t.TempDir(), "plan.json")
			writeJSON(t, path, text)
			_, err = Load(path)
			if err == nil || !hasProblem(err, c.problem) {
				t.Errorf("%v, want %s", err, c.problem)
			}
		})
	}
}

func writeJSON(t *testing.T, path string, v any) {
	t.Helper()
	if err := os.WriteFile(path, indented(t, v), 0o600); err != nil {
		t.Fatal(err)
	}
}

func hasProblem(err error, prefix string) bool {
	var invalid *schema.ValidationError
	if !errors.As(err, &invalid) {
		return false
	}
	return slices.ContainsFunc(invalid.Problems, func(problem string) bool { return strings.HasPrefix(problem, prefix) })
}
