package operator

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"swiftreel/internal/golden"
	"swiftreel/internal/handover"
)

// Load reads every key of files that operators and supervisors wrote, and fills in the defaults.
func TestLoadReadsEveryKey(t *testing.T) {
	for _, name := range []string{"full", "defaults"} {
		t.Run(name, func(t *testing.T) {
			f, err := Load(filepath.Join("testdata", name+".json"))
			if err != nil {
				t.Fatal(err)
			}
			if f.Plan.Answer.Steps == nil {
				t.Error("the plan that it names was not read")
			}
			text, err := json.MarshalIndent(f, "", " ")
			if err != nil {
				t.Fatal(err)
			}
			golden.Check(t, name+".golden.json", append(text, '\n'))
		})
	}
}

// Every key of the topology in a file replaces the right key of the settings.
func TestTopologyReplacesSettings(t *testing.T) {
	f, err := Load(filepath.Join("testdata", "full.json"))
	if err != nil {
		t.Fatal(err)
	}
	var settings map[string]any
	text, err := os.ReadFile(filepath.Join("testdata", "settings.json"))
	if err == nil {
		err = json.Unmarshal(text, &settings)
	}
	if err != nil {
		t.Fatal(err)
	}
	applied, err := f.Topology.Apply(settings)
	if err != nil {
		t.Fatal(err)
	}
	if text, err = json.MarshalIndent(applied, "", " "); err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "shape.golden.json", append(text, '\n'))
}

// The job types of the SPARQL part are converted to rules of the front end.
func TestTheRulesOfAFile(t *testing.T) {
	f, err := Load(filepath.Join("testdata", "full.json"))
	if err != nil {
		t.Fatal(err)
	}
	rules := f.SPARQL.Rules()
	if len(rules) != 3 {
		t.Fatalf("%d rules", len(rules))
	}
	if r := rules[0]; r.Type != "lookup" || r.MaxWork != 100e6 || r.MinWork != 0 || r.KeyedOnly || len(r.Forms) != 2 {
		t.Errorf("%+v", r)
	}
	if r := rules[1]; r.Type != "report" || r.MaxWork != 5000e6 || r.MinWork != 100e6 {
		t.Errorf("%+v", r)
	}
	if r := rules[2]; r.Type != "import" || !r.KeyedOnly || r.Forms[0] != "UPDATE" {
		t.Errorf("%+v", r)
	}
}

// Contradictions that the schema cannot detect are reported with their paths.
func TestContradictionsAreReported(t *testing.T) {
	for _, c := range []struct{ name, text, problem string }{
		{"listen", `{"sparql":{"listen":"x","types":[{"type":"a"}],"endpoints":{"e":"http://h/"}}}`,
			"/sparql/listen: address x: missing port in address"},
		{"timeout",
			`{"sparql":{"listen":"a:1","types":[{"type":"a"}],"endpoints":{"e":"http://h/"},` +
				`"timeout_ms":9,"most_timeout_ms":8}}`,
			"/sparql/timeout_ms: over most_timeout_ms"},
		{"endpoint", `{"sparql":{"listen":"a:1","types":[{"type":"a"}],"endpoints":{"e":"http://u@h/"}}}`,
			`/sparql/endpoints/e: "http://u@h/" is no endpoint`},
		{"work", `{"sparql":{"listen":"a:1","types":[{"type":"a","least_work_ms":5,"most_work_ms":5}],` +
			`"endpoints":{"e":"http://h/"}}}`, "/sparql/types/0/most_work_ms: not over least_work_ms"},
		{"no voters", `{"fleet":{"members":[{"name":"n","listen":"a:1"}],"parts":{}}}`,
			"/fleet: parts and planning are an owner's work: name voters"},
		{"two members", `{"fleet":{"members":[{"name":"n","listen":"a:1"},{"name":"m","listen":"a:1"}]}}`,
			`/fleet/members/1/listen: "a:1" stands twice`},
		{"voters", `{"fleet":{"members":[{"name":"n","listen":"a:1"}],"voters":["n"]}}`,
			"/fleet/voters: 1, three or five can have a majority that lasts"},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "file.json")
			if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			if _, err := Load(path); err == nil || err.Error() != path+": "+c.problem {
				t.Errorf("%v, want %s", err, c.problem)
			}
		})
	}
}

// A supervisor sets the drain timeout of its controllers in their environment; one of an earlier version does not.
func TestDrainTimeout(t *testing.T) {
	environment := func(text string) func(string) string {
		return func(name string) string {
			value, _ := strings.CutPrefix(text, name+"=")
			return value
		}
	}
	supervised := File{Stats: &Stats{}}
	for name, c := range map[string]struct {
		file File
		text string
		want time.Duration
	}{
		"not supervised":     {File{}, DrainEnvironment(time.Minute), 0},
		"told":               {supervised, DrainEnvironment(90 * time.Second), 90 * time.Second},
		"an earlier version": {supervised, "", defaultDrainMS * time.Millisecond},
		"no number":          {supervised, drainVariable + "=soon", defaultDrainMS * time.Millisecond},
	} {
		if got := c.file.DrainTimeout(environment(c.text)); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// A supervisor names the process that a controller replaces in its environment; one of an earlier version does not.
func TestPredecessor(t *testing.T) {
	replaced := handover.Predecessor{PID: 42, Address: "127.0.0.1:7"}
	replaces := File{Stats: &Stats{Predecessor: true}}
	for name, c := range map[string]struct {
		file  File
		text  string
		known bool
	}{
		"not supervised":     {File{}, PredecessorEnvironment(replaced), false},
		"replaces none":      {File{Stats: &Stats{}}, PredecessorEnvironment(replaced), false},
		"told":               {replaces, PredecessorEnvironment(replaced), true},
		"an earlier version": {replaces, "", false},
		"malformed":          {replaces, predecessorVariable + "=x@127.0.0.1:7", false},
	} {
		got, known := c.file.Predecessor(func(name string) string {
			value, _ := strings.CutPrefix(c.text, name+"=")
			return value
		})
		if known != c.known || known && got != replaced {
			t.Errorf("%s: %+v %v", name, got, known)
		}
	}
}

// A supervisor of an earlier version does not tell a controller of successors.
func TestLearnsOfSuccessors(t *testing.T) {
	supervised := File{Stats: &Stats{}}
	told := func(name string) string {
		value, _ := strings.CutPrefix(NoticesEnvironment(), name+"=")
		return value
	}
	untold := func(string) string { return "" }
	if !(File{}).LearnsOfSuccessors(untold) || !supervised.LearnsOfSuccessors(told) {
		t.Error("a controller that has no successor, or is told of each, does not learn of it")
	}
	if supervised.LearnsOfSuccessors(untold) {
		t.Error("a controller under a supervisor of an earlier version learns of its successors")
	}
}
