package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"swiftreel/internal/command"
	"swiftreel/internal/counters"
	"swiftreel/internal/fake"
	"swiftreel/internal/version"
)

const problem = `{"engines":[{"name":"e1","kind":"std","zone":"east","cores":16,"memory_mb":32000},
{"name":"e2","kind":"std","zone":"east","cores":16,"memory_mb":32000,"cost":9}],
"types":[{"name":"lookup","threads":1,"memory_mb":96,"work_ms":50,"value":1},
{"name":"import","threads":2,"memory_mb":500,"work_ms":900,"value":10}],
"tenants":[{"name":"acme"}],"zones":[{"name":"east"}],"must":{},
"demand":[{"type":"lookup","tenant":"acme","zone":"east","jobs_per_1000s":300000}]}`

// runCommand runs a command line and returns its exit code and output.
func runCommand(t *testing.T, args ...string) (int, string) {
	t.Helper()
	var out bytes.Buffer
	code := command.Run(args, &out, &out, func(command.ServeOptions) error { t.Error("controller started"); return nil })
	return code, out.String()
}

func writeFile(t *testing.T, path, text string) string {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestAPlanFromProblemToController(t *testing.T) {
	dir := t.TempDir()
	from, plan := writeFile(t, filepath.Join(dir, "problem.json"), problem), filepath.Join(dir, "plan.json")
	if code, out := runCommand(t, "solve", from, "--out", plan, "--explain", "--time", "20s"); code != 0 ||
		!strings.Contains(out, "optimal by solver") {
		t.Fatalf("%d: %s", code, out)
	}
	for _, args := range [][]string{
		{"plan", "show", plan}, {"plan", "check", plan, from}, {"plan", "diff", plan, plan},
		{"check", "--kind", "plan", plan}, {"check", "--kind", "problem", from},
		{"solve", from, "--json", "--method", "proportional"},
	} {
		if code, out := runCommand(t, args...); code != 0 {
			t.Errorf("%v: %d: %s", args, code, out)
		}
	}
	operatorPath := writeFile(t, filepath.Join(dir, "own.json"), `{}`)
	t.Setenv("ROUTER_OPERATOR", operatorPath)
	w := startController(t, "e1", "e2")
	// Jobs are sent one at a time, so that both engines are idle and the plan alone decides the engine.
	done := func(host string) {
		t.Helper()
		for range 6 {
			id := w.submit("lookup", "20000")
			c := w.nextCommand("fetch")
			if host != "" && c.host != host {
				t.Errorf("sent to %s", c.host)
			}
			c.from.Answer(c.ID, "data", "sheets=1", "one\tb\tc\n")
			w.expectAnswer(id, "")
		}
	}
	reload := func(counter, text string) { t.Helper(); w.reloadOperatorFile(operatorPath, counter, text) }
	done("")
	reload("reloads", `{"plan":{"file":"plan.json"}}`)
	done("e1")
	reload("reloads_failed", `{"plan":{"file":"none.json"}}`) // changes nothing
	done("e1")
	reload("reloads", `{}`)
	done("")
}

func TestVersionCommand(t *testing.T) {
	code, out := runCommand(t, "version", "--json")
	var b version.Build
	if err := json.Unmarshal([]byte(out), &b); code != 0 || err != nil || b.Version != version.Name ||
		len(b.Digest) != 32 || len(b.Formats) == 0 {
		t.Errorf("%d %v: %s", code, err, out)
	}
}

func TestAllProblemsOfBadFilesAreReported(t *testing.T) {
	dir := t.TempDir()
	for _, c := range []struct {
		args     []string
		text     string
		code     int
		problems []string
	}{
		{[]string{"check"}, `{"plan":{"demand_factor":"x"},"what":1}`, 2,
			[]string{"/: additional properties 'what' not allowed", "/plan: missing property 'file'",
				"/plan/demand_factor: got string"}},
		{[]string{"check", "--json"}, `{"plan":{"file":"none"}}`, 2, []string{"none"}},
		{[]string{"check"}, `{`, 2, []string{"is no JSON"}},
		{[]string{"check", "--kind", "problem"}, strings.Replace(problem, `"e2"`, `"e1"`, 1), 2,
			[]string{`/engines/1/name: "e1" stands twice`}},
		{[]string{"check", "--kind", "problem"}, strings.Replace(problem, `"cores":16`, `"cores":-16`, 2), 2,
			[]string{"/engines/0/cores", "/engines/1/cores"}},
		{[]string{"solve"}, `[]`, 2, []string{"got array, want object"}},
		{[]string{"solve", "--method", "guess"}, problem, 2, []string{"guess"}},
		{[]string{"solve", "--time", "0s"}, problem, 2, []string{"--time"}},
		{[]string{"solve", "--time", "20s"}, strings.Replace(problem, `"must":{}`,
			`"must":{"least_served":[{"type":"lookup","per_mille":1000}],"greatest_cost":0,"greatest_use_per_mille":100}`, 1), 3,
			[]string{"no answer fits", "conflict 1", "no engine is used over 100 per mille",
				"it fits with: a use of 250 per mille"}},
		{[]string{"plan", "show"},
			`{"status":"optimal","steps":[{"from_ms":5,"threads":[],"use":[],"shares":[],"weights":[],"served":[]}]}`, 2,
			[]string{"/steps/0/from_ms"}},
		{[]string{"nonsense"}, ``, 2, []string{"unknown command"}},
		{[]string{"check", "--kind", "change"}, `{"number":0,"kind":"settings","to":{}}`, 2, []string{"/number: ", "/to: "}},
		{[]string{"check", "--kind", "config"}, "{\n \"name\": 1}", 2, []string{"line 2, column"}},
		{[]string{"check"},
			`{"fleet":{"members":[{"name":"a","listen":"h:1"},{"name":"a","listen":"x"}],"voters":["a","b"]}}`, 2,
			[]string{`/fleet/members/1/name: "a" stands twice`, "/fleet/members/1/listen", "/fleet/voters: 2",
				`/fleet/voters/1: "b" is no member`}},
	} {
		path := writeFile(t, filepath.Join(dir, "file.json"), c.text)
		code, out := runCommand(t, append(c.args, path)...)
		if code != c.code {
			t.Errorf("%v of %s: %d: %s", c.args, c.text, code, out)
		}
		for _, problem := range c.problems {
			if !strings.Contains(out, problem) {
				t.Errorf("%v of %s prints %q, want %q", c.args, c.text, out, problem)
			}
		}
	}
}

// A large problem that is valid under the schema is read. A file over the size limit is rejected.
func TestLargeProblemIsReadOrRejected(t *testing.T) {
	dir, p := t.TempDir(), map[string]any{}
	if err := json.Unmarshal([]byte(problem), &p); err != nil {
		t.Fatal(err)
	}
	var engines []any
	name := strings.Repeat("x", 180)
	for i := range 2000 {
		e := map[string]any{"name": name + string(rune('a'+i%26)) + string(rune('a'+i/26%26)) +
			string(rune('a'+i/676)), "kind": name, "zone": "east", "cores": 8, "memory_mb": 1}
		engines = append(engines, e)
	}
	p["engines"] = engines
	text, _ := json.Marshal(p)
	path := writeFile(t, filepath.Join(dir, "large.json"), string(text)+strings.Repeat(" ", 10<<20))
	if code, out := runCommand(t, "check", "--kind", "problem", path); code != 0 {
		t.Errorf("%d: %.300s", code, out)
	}
	writeFile(t, path, string(text)+strings.Repeat(" ", 33<<20))
	if code, out := runCommand(t, "check", "--kind", "problem", path); code != 2 ||
		!strings.Contains(out, "over 33554432 bytes") {
		t.Errorf("%d: %.300s", code, out)
	}
}

// While plans are applied, removed and rejected and engines misbehave, every job still gets exactly one answer.
func TestPlansAreAppliedUnderLoad(t *testing.T) {
	dir := t.TempDir()
	from := writeFile(t, filepath.Join(dir, "problem.json"), problem)
	for name, method := range map[string]string{"a.json": "solver", "b.json": "proportional"} {
		code, out := runCommand(t, "solve", from, "--method", method, "--time", "20s", "--out", filepath.Join(dir, name))
		if code != 0 {
			t.Fatalf("%d: %s", code, out)
		}
	}
	operatorPath := writeFile(t, filepath.Join(dir, "own.json"), `{}`)
	t.Setenv("ROUTER_OPERATOR", operatorPath)
	w := startControllerWith(t, fake.NewFaultyEngine(4).Handle, "e1", "e2", "e3")
	var typicalClients sync.WaitGroup
	for i := range uint64(3) {
		typicalClients.Go(func() { w.sendTypicalJobs(7000+i, 80) })
	}
	for i := range 12 {
		texts := []string{`{"plan":{"file":"a.json"}}`, `{"plan":{"file":"b.json","demand_factor":1.1}}`, `{"plan":{}}`, `{}`}
		text := texts[i%len(texts)]
		writeFile(t, operatorPath, text)
		before := counters.Value("reloads") + counters.Value("reloads_failed")
		w.reload <- syscall.SIGHUP
		eventually(
			t,
			"not reloaded",
			func() bool { return counters.Value("reloads")+counters.Value("reloads_failed") > before },
		)
	}
	typicalClients.Wait()
}
