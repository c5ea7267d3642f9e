package schema

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestProblemsAreReportedWithTheirPaths(t *testing.T) {
	for _, c := range []struct {
		name, text string
		kind       Kind
		problems   []string
	}{
		{"fits", `{"plan":{"file":"plan.json"}}`, Operator, nil},
		{"not JSON", `{`, Operator, []string{"/: is no JSON: "}},
		{"two problems, sorted", `{"what":1,"plan":{"file":""}}`, Operator,
			[]string{"/: additional properties 'what' not allowed", "/plan/file: minLength: got 0, want 1"}},
		{"another kind", `{"plan":{"file":"plan.json"}}`, Plan,
			[]string{"/: additional properties 'plan' not allowed", "/: missing properties 'status', 'steps'"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var into map[string]any
			err := Parse("file.json", []byte(c.text), c.kind, &into)
			if c.problems == nil {
				if err != nil || into["plan"] == nil {
					t.Errorf("%v, read %v", err, into)
				}
				return
			}
			var invalid *ValidationError
			if !errors.As(err, &invalid) || invalid.File != "file.json" || len(invalid.Problems) != len(c.problems) {
				t.Fatalf("%v, want %q", err, c.problems)
			}
			for i, problem := range c.problems {
				if !strings.HasPrefix(invalid.Problems[i], problem) {
					t.Errorf("%q, want %q", invalid.Problems[i], problem)
				}
			}
			if want := "file.json: " + strings.Join(invalid.Problems, "; "); err.Error() != want {
				t.Errorf("%q, want %q", err, want)
			}
		})
	}
}

func TestOnlyTheFirstProblemsAreReported(t *testing.T) {
	members := strings.Repeat(`{},`, 2*maxProblems) + `{}`
	err := Parse("file.json", fmt.Appendf(nil, `{"fleet":{"members":[%s]}}`, members), Operator, new(map[string]any))
	var invalid *ValidationError
	if !errors.As(err, &invalid) || len(invalid.Problems) != maxProblems+1 {
		t.Fatal(err)
	}
	if last := invalid.Problems[maxProblems]; last != fmt.Sprintf("and %d more", maxProblems+1) {
		t.Errorf("the last is %q", last)
	}
}

func TestAFileThatCannotBeRead(t *testing.T) {
	dir := t.TempDir()
	if err := Read(filepath.Join(dir, "none.json"), Operator, new(map[string]any)); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("missing file: %v", err)
	}
	large := filepath.Join(dir, "large.json")
	if err := os.WriteFile(large, make([]byte, MaxBytes+1), 0o600); err != nil {
		t.Fatal(err)
	}
	var invalid *ValidationError
	err := Read(large, Operator, new(map[string]any))
	if !errors.As(err, &invalid) || invalid.Problems[0] != "/: over 33554432 bytes" {
		t.Errorf("large: %v", err)
	}
}
