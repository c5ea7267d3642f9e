// Package scripts contains only the tests of the scripts in this directory.
package scripts

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// passingTests and redTests are the test files of the two packages of the generated module.
const (
	passingTests = `package calm

import "testing"

func TestCalm(t *testing.T) {}
`
	redTests = `package red

import "testing"

func TestRed(t *testing.T)      { t.Error("planted failure") }
func TestAlsoRed(t *testing.T)  { t.Error("planted failure beside it") }
func TestPanics(t *testing.T)   { panic("planted panic") }
func TestPasses(t *testing.T)   {}
func TestRedirect(t *testing.T) {}
`
)

// runKnownRed runs test-known-red in a generated module with the given KNOWN-RED.txt ("" for none). The tests listed in
// without are left out of package red. It returns the output and whether the script succeeded.
func runKnownRed(t *testing.T, knownRed string, without ...string) (string, bool) {
	t.Helper()
	script, err := filepath.Abs("test-known-red")
	if err != nil {
		t.Fatal(err)
	}
	var kept []string
	for line := range strings.Lines(redTests) {
		if !containsAny(line, without) {
			kept = append(kept, line)
		}
	}
	files := map[string]string{
		"go.mod":            "module scratch\n\ngo 1.26.0\n",
		"calm/calm_test.go": passingTests,
		"red/red_test.go":   strings.Join(kept, ""),
	}
	if knownRed != "" {
		files["KNOWN-RED.txt"] = knownRed
	}
	module := t.TempDir()
	for name, text := range files {
		path := filepath.Join(module, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o750); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	command := exec.CommandContext(t.Context(), "bash", script, "go test -count=1 ./...")
	command.Dir = module
	out, err := command.CombinedOutput()
	return string(out), err == nil
}

func containsAny(line string, names []string) bool {
	for _, name := range names {
		if strings.Contains(line, "func "+name+"(") {
			return true
		}
	}
	return false
}

func TestOnlyListedTestsMayFail(t *testing.T) {
	cases := []struct {
		name     string
		knownRed string
		without  []string
		passes   bool
		prints   []string
	}{
		{
			name:    "no list, all pass",
			without: []string{"TestRed", "TestAlsoRed", "TestPanics"},
			passes:  true,
		},
		{
			name:    "no list, one fails",
			without: []string{"TestAlsoRed", "TestPanics"},
			prints:  []string{"--- FAIL: TestRed"},
		},
		{
			name:     "the one that fails is listed",
			knownRed: "red TestRed: planted, issue 40\n",
			without:  []string{"TestAlsoRed", "TestPanics"},
			passes:   true,
			prints:   []string{"--- FAIL: TestRed", "known red: red TestRed: planted, issue 40"},
		},
		{
			name:     "another fails beside the listed one",
			knownRed: "red TestRed: planted, issue 40\n",
			without:  []string{"TestPanics"},
			prints:   []string{"--- FAIL: TestAlsoRed", "known red: red TestRed: planted, issue 40"},
		},
		{
			name:     "two are listed, without a line end at the end of the file",
			knownRed: "red TestRed: planted, issue 40\nred TestAlsoRed: planted, with a comma, issue 41",
			without:  []string{"TestPanics"},
			passes:   true,
			prints:   []string{"known red: red TestRed", "known red: red TestAlsoRed: planted, with a comma, issue 41"},
		},
		{
			name:     "a listed test that panics hides no other failure",
			knownRed: "red TestPanics: planted, issue 40\n",
			without:  []string{"TestAlsoRed"},
			prints:   []string{"--- FAIL: TestRed", "known red: red TestPanics: planted, issue 40"},
		},
		{
			name:     "a listed test that panics is passed over",
			knownRed: "red TestPanics: planted, issue 40\n",
			without:  []string{"TestRed", "TestAlsoRed"},
			passes:   true,
			prints:   []string{"planted panic", "known red: red TestPanics: planted, issue 40"},
		},
		{
			name: "commands are printed and not run",
			knownRed: "command `exit 7`: planted, issue 40\n" +
				"command `make soak SOAK=\"-tags fault -seed 902\"`: planted, with a comma, issue 41\n",
			without: []string{"TestRed", "TestAlsoRed", "TestPanics"},
			passes:  true,
			prints:  []string{"known red, not run: command `exit 7`", "known red, not run: command `make soak"},
		},
		{
			name:     "the tests of the soak are no soak",
			knownRed: "command `go test ./internal/soak`: planted, issue 40\n",
			without:  []string{"TestRed", "TestAlsoRed", "TestPanics"},
			passes:   true,
			prints:   []string{"known red, not run: command `go test ./internal/soak`"},
		},
		{
			name:     "beside a command no test may fail",
			knownRed: "command `exit 7`: planted, issue 40\n",
			without:  []string{"TestAlsoRed", "TestPanics"},
			prints:   []string{"--- FAIL: TestRed"},
		},
		{
			name:     "as many lines as there are failures",
			knownRed: "red TestRed: planted, issue 40\n" + strings.Repeat("command `exit 7`: planted, issue 40\n", 4),
			without:  []string{"TestAlsoRed", "TestPanics"},
			passes:   true,
			prints:   []string{"known red: red TestRed: planted, issue 40"},
		},
		{
			name:     "a listed test passes",
			knownRed: "red TestPasses: thought to fail, issue 40\n",
			without:  []string{"TestRed", "TestAlsoRed", "TestPanics"},
			passes:   true,
			prints:   []string{"passes now (take it off KNOWN-RED.txt): red TestPasses"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			out, passed := runKnownRed(t, c.knownRed, c.without...)
			if passed != c.passes {
				t.Errorf("passed: %v, want %v\n%s", passed, c.passes, out)
			}
			for _, text := range c.prints {
				if !strings.Contains(out, text) {
					t.Errorf("does not print %q:\n%s", text, out)
				}
			}
		})
	}
}

func TestListOfAnotherFormIsRefused(t *testing.T) {
	const line = "red TestRed: planted, issue 40\n"
	cases := map[string]struct {
		knownRed, prints string
	}{
		"no number of issue":   {"red TestRed: planted, soon\n", "no line of the form"},
		"command, no issue":    {"command `make proof-x`: seen once\n", "no line of the form"},
		"command, no cause":    {"command `make proof-x`: , issue 40\n", "no line of the form"},
		"no command":           {"command ``: seen once, issue 40\n", "no line of the form"},
		"command not quoted":   {"command make proof-x: seen once, issue 40\n", "no line of the form"},
		"soak without a seed":  {"command `make soak`: seen once, issue 40\n", "a soak without -seed"},
		"run without a seed":   {"command `go run ./internal/proof/soak`: once, issue 40\n", "a soak without -seed"},
		"no cause":             {"red TestRed\n", "no line of the form"},
		"no issue":             {"red TestRed: planted\n", "no line of the form"},
		"blank line":           {line + "\n", "no line of the form"},
		"pattern for a name":   {"red Test.*: planted, issue 40\n", "no line of the form"},
		"subtest":              {"red TestRed/one: planted, issue 40\n", "no line of the form"},
		"no such package":      {"blue TestRed: planted, issue 40\n", "no such package: blue"},
		"no such test":         {"red TestNone: planted, issue 40\n", "red has no test TestNone"},
		"test of that prefix":  {"red TestRedir: planted, issue 40\n", "red has no test TestRedir"},
		"all packages at once": {"... TestRed: planted, issue 40\n", "no line of the form"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			out, passed := runKnownRed(t, c.knownRed, "TestAlsoRed", "TestPanics")
			if passed {
				t.Errorf("passed:\n%s", out)
			}
			if !strings.Contains(out, c.prints) {
				t.Errorf("does not print %q:\n%s", c.prints, out)
			}
		})
	}
}
