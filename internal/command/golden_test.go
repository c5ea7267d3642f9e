package command

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"swiftreel/internal/golden"
)

// testdata returns the path of a file in testdata, which has a problem, two plans for it, an invalid operator file
// and the golden files with the output of the commands.
func testdata(name string) string { return filepath.Join("testdata", name) }

// replacements remove what depends on the build, the machine or the time from the output.
var replacements = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`by (\w+) in [0-9.µmns]+`), "by $1 in TIME"},
	{regexp.MustCompile(`"version": "[^"]*"`), `"version": "V"`},
	{regexp.MustCompile(`"commit": "[^"]*"`), `"commit": "C"`},
	{regexp.MustCompile(`"dirty": (true|false)`), `"dirty": D`},
	{regexp.MustCompile(`"go": "go[^"]*"`), `"go": "G"`},
	{regexp.MustCompile(`"digest": "[0-9a-f]{32}"`), `"digest": "X"`},
	{regexp.MustCompile(`^swiftreel \S+ commit=\S* dirty=\w+ digest=[0-9a-f]{32} (.*) go\S+`),
		`swiftreel V commit=C dirty=D digest=X $1 G`},
}

// The output and the exit codes of the commands are read by scripts and operators.
func TestCommandOutputMatchesGoldenFiles(t *testing.T) {
	for _, c := range []struct {
		golden string
		code   int
		args   []string
	}{
		{"check-good.json", 0, []string{"check", "--json", "--kind", "plan", testdata("plan.json")}},
		{"check-bad.json", ExitBadInput, []string{"check", "--json", testdata("operator-bad.json")}},
		{"check-bad.txt", ExitBadInput, []string{"check", testdata("operator-bad.json")}},
		{"check-kind.txt", ExitBadInput, []string{"check", "--kind", "none", testdata("plan.json")}},
		{"check-missing.txt", ExitBadInput, []string{"check", testdata("none.json")}},
		{"plan-show.json", 0, []string{"plan", "show", "--json", testdata("plan.json")}},
		{"plan-show.txt", 0, []string{"plan", "show", testdata("plan.json")}},
		{"plan-check.txt", 0, []string{"plan", "check", testdata("plan.json"), testdata("problem.json")}},
		{"plan-check-other.txt", ExitBadInput,
			[]string{"plan", "check", testdata("plan.json"), testdata("problem-none-fits.json")}},
		{"plan-diff.json", 0, []string{"plan", "diff", "--json", testdata("plan.json"), testdata("plan-other.json")}},
		{"plan-diff-none.json", 0, []string{"plan", "diff", "--json", testdata("plan.json"), testdata("plan.json")}},
		{"plan-diff.txt", 0, []string{"plan", "diff", testdata("plan.json"), testdata("plan-other.json")}},
		{"solve.json", 0, []string{"solve", "--json", "--method", "proportional", testdata("problem.json")}},
		{"solve.txt", 0, []string{"solve", "--time", "20s", "--explain", testdata("problem.json")}},
		{"solve-none-fits.json", ExitUnsatisfied,
			[]string{"solve", "--json", "--time", "20s", testdata("problem-none-fits.json")}},
		{"solve-none-fits.txt", ExitUnsatisfied, []string{"solve", "--time", "20s", testdata("problem-none-fits.json")}},
		{"version.json", 0, []string{"version", "--json"}},
		{"version.txt", 0, []string{"version"}},
	} {
		t.Run(c.golden, func(t *testing.T) {
			var out bytes.Buffer
			code := Run(c.args, &out, &out, func(ServeOptions) error { t.Error("serve was called"); return nil })
			if code != c.code {
				t.Errorf("exit code %d, want %d", code, c.code)
			}
			text := out.String()
			for _, v := range replacements {
				text = v.pattern.ReplaceAllString(text, v.replacement)
			}
			golden.Check(t, c.golden, []byte(text))
		})
	}
}

// The plan file that solve writes is byte for byte the output of --json.
func TestWrittenPlanEqualsPrintedPlan(t *testing.T) {
	path := filepath.Join(t.TempDir(), "plan.json")
	var out bytes.Buffer
	if code := Run(
		[]string{"solve", "--json", "--method", "proportional", "--out", path, testdata("problem.json")},
		&out,
		&out,
		nil,
	); code != 0 {
		t.Fatal(code, out.String())
	}
	text, err := os.ReadFile(path)
	if err != nil || string(text) != out.String() || !strings.HasSuffix(out.String(), "\n}\n") {
		t.Errorf("%v: plan file\n%s\noutput\n%s", err, text, out.String())
	}
	if left, err := filepath.Glob(path + "*"); err != nil || len(left) != 1 {
		t.Errorf("files left behind: %v %v", left, err)
	}
}

// The flags of serving, including the former spelling -trace.
func TestServeFlags(t *testing.T) {
	for _, c := range []struct {
		args []string
		want ServeOptions
	}{
		{nil, ServeOptions{}}, {[]string{"-trace"}, ServeOptions{Trace: true}},
		{[]string{"--trace", "--operator", "f"}, ServeOptions{Trace: true, Operator: "f"}},
	} {
		var got ServeOptions
		if code := Run(c.args, os.Stdout, os.Stderr, func(s ServeOptions) error { got = s; return nil }); code != 0 ||
			got != c.want {
			t.Errorf("%v: %d, %+v", c.args, code, got)
		}
	}
	var out bytes.Buffer
	if code := Run(nil, &out, &out, func(ServeOptions) error { return os.ErrClosed }); code != ExitFailed ||
		out.String() != "swiftreel: file already closed\n" {
		t.Errorf("%d %q", code, out.String())
	}
}
