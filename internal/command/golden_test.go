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

// testdata holds a problem, two plans for it and a faulty operator's file; the golden files hold what the commands say.
func at(name string) string { return filepath.Join("testdata", name) }

// varying is what depends on the build, the machine or the moment.
var varying = []struct {
	text *regexp.Regexp
	put  string
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

// What scripts and people read of the commands.
func TestWhatTheCommandsSay(t *testing.T) {
	for _, c := range []struct {
		golden string
		code   int
		args   []string
	}{
		{"check-good.json", 0, []string{"check", "--json", "--kind", "plan", at("plan.json")}},
		{"check-bad.json", ExitBadInput, []string{"check", "--json", at("operator-bad.json")}},
		{"check-bad.txt", ExitBadInput, []string{"check", at("operator-bad.json")}},
		{"check-kind.txt", ExitBadInput, []string{"check", "--kind", "none", at("plan.json")}},
		{"check-missing.txt", ExitBadInput, []string{"check", at("none.json")}},
		{"plan-show.json", 0, []string{"plan", "show", "--json", at("plan.json")}},
		{"plan-show.txt", 0, []string{"plan", "show", at("plan.json")}},
		{"plan-check.txt", 0, []string{"plan", "check", at("plan.json"), at("problem.json")}},
		{"plan-check-other.txt", ExitBadInput, []string{"plan", "check", at("plan.json"), at("problem-none-fits.json")}},
		{"plan-diff.json", 0, []string{"plan", "diff", "--json", at("plan.json"), at("plan-other.json")}},
		{"plan-diff-none.json", 0, []string{"plan", "diff", "--json", at("plan.json"), at("plan.json")}},
		{"plan-diff.txt", 0, []string{"plan", "diff", at("plan.json"), at("plan-other.json")}},
		{"solve.json", 0, []string{"solve", "--json", "--method", "proportional", at("problem.json")}},
		{"solve.txt", 0, []string{"solve", "--time", "20s", "--explain", at("problem.json")}},
		{"solve-none-fits.json", ExitNoFit, []string{"solve", "--json", "--time", "20s", at("problem-none-fits.json")}},
		{"solve-none-fits.txt", ExitNoFit, []string{"solve", "--time", "20s", at("problem-none-fits.json")}},
		{"version.json", 0, []string{"version", "--json"}},
		{"version.txt", 0, []string{"version"}},
	} {
		t.Run(c.golden, func(t *testing.T) {
			var out bytes.Buffer
			code := Run(c.args, &out, &out, func(ServeOptions) error { t.Error("it serves"); return nil })
			if code != c.code {
				t.Errorf("exit code %d, want %d", code, c.code)
			}
			text := out.String()
			for _, v := range varying {
				text = v.text.ReplaceAllString(text, v.put)
			}
			golden.Check(t, c.golden, []byte(text))
		})
	}
}

// A plan that solve writes is the one that --json tells, to the byte.
func TestAPlanWrittenIsThePlanTold(t *testing.T) {
	path := filepath.Join(t.TempDir(), "plan.json")
	var out bytes.Buffer
	if code := Run(
		[]string{"solve", "--json", "--method", "proportional", "--out", path, at("problem.json")},
		&out,
		&out,
		nil,
	); code != 0 {
		t.Fatal(code, out.String())
	}
	text, err := os.ReadFile(path)
	if err != nil || string(text) != out.String() || !strings.HasSuffix(out.String(), "\n}\n") {
		t.Errorf("%v: written\n%s\ntold\n%s", err, text, out.String())
	}
	if left, err := filepath.Glob(path + "*"); err != nil || len(left) != 1 {
		t.Errorf("left beside it: %v %v", left, err)
	}
}

// The flags of serving, in the form of before there were commands as well.
func TestTheFlagsOfServing(t *testing.T) {
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
