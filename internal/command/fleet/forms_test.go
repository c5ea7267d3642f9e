package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"

	"swiftreel/internal/golden"
)

// What the commands print and send, as the program before did: testdata. Numbers drawn by chance are told apart by
// their order.

func run(args ...string) []byte {
	var out, errs bytes.Buffer
	code := Run(args, &out, &errs)
	return fmt.Appendf(nil, "%sstderr: %sexit code %d\n", out.String(), errs.String(), code)
}

func TestWhatIsToldOfARecordIsAsItWas(t *testing.T) {
	for _, folder := range []string{"baking-later", "stuck", "stopped", "paused"} {
		at := filepath.Join("testdata", "folders", folder)
		for _, args := range [][]string{{"status"}, {"status", "--json"}, {"history"}, {"history", "--json"}} {
			golden.Check(
				t,
				folder+"-"+strings.Join(args, "")+".golden",
				run(append([]string{"rollout", "--record", at}, args...)...),
			)
		}
	}
	golden.Check(t, "status-none.golden", run("rollout", "--record", "testdata/none", "status"))
}

func TestWhatACheckTellsIsAsItWas(t *testing.T) {
	golden.Check(t, "check-good.golden", run("rollout", "check", "testdata/change.json"))
	golden.Check(t, "check-bad.golden", run("rollout", "check", "testdata/change-bad.json"))
	golden.Check(t, "check-none.golden", run("rollout", "check", "testdata/change-none.json"))
}

// Help is what operators read first: commands, flags, exit codes.
func TestCommandsAndFlagsAreAsTheyWere(t *testing.T) {
	for _, args := range [][]string{
		{},
		{"supervise"}, {"keep"},
		{"rollout"}, {"rollout", "start"}, {"rollout", "resume"}, {"rollout", "pause"}, {"rollout", "stop"},
		{"rollout", "rollback"}, {"rollout", "back"}, {"rollout", "status"}, {"rollout", "history"}, {"rollout", "check"},
		{"fleet"}, {"fleet", "status"}, {"fleet", "leader"}, {"fleet", "owner"}, {"fleet", "bootstrap"}, {"fleet", "found"},
		{"fleet", "step-down"}, {"fleet", "recover"}, {"fleet", "remove-voter"}, {"fleet", "forget"},
		{"fleet", "replace-voter"}, {"fleet", "join"},
		{"store"}, {"store", "inspect"}, {"store", "verify"},
	} {
		if text := string(run(append(args, "--help")...)); !strings.HasSuffix(text, "exit code 0\n") ||
			len(text) < 100 {
			t.Errorf("%v: %s", args, text)
		}
	}
}

// asked is a fleet's supervisors and voters as far as commands see them.
type asked struct {
	file string // the operator's
	mu   sync.Mutex
	sent []string
	view func(name string) string
}

func newAsked(t *testing.T, view func(name string) string) *asked {
	t.Helper()
	a := &asked{view: view}
	var members []string
	for _, name := range []string{"c1", "c2", "c3"} {
		s := httptest.NewServer(
			http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { a.serve(t, name, w, r) }),
		)
		t.Cleanup(s.Close)
		members = append(members, fmt.Sprintf(`{"name":%q,"listen":%q}`, name, strings.TrimPrefix(s.URL, "http://")))
	}
	a.file = filepath.Join(t.TempDir(), "operator.json")
	text := fmt.Sprintf(`{"fleet":{"members":[%s],"voters":["c1","c2","c3"]}}`, strings.Join(members, ","))
	if err := os.WriteFile(a.file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return a
}

func (a *asked) serve(t *testing.T, name string, w http.ResponseWriter, r *http.Request) {
	t.Helper()
	text, err := io.ReadAll(r.Body)
	if err != nil {
		t.Error(err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.Method == http.MethodPost {
		a.sent = append(
			a.sent,
			fmt.Sprintf("%s %s %s type=%q\n%s\n", name, r.Method, r.URL, r.Header.Get("Content-Type"), text),
		)
		w.WriteHeader(http.StatusNoContent)
		return
	}
	var file string
	switch r.URL.String() {
	case "/v1/owner":
		io.WriteString(w, a.view(name))
		return
	case "/v1/owner/agreed":
		io.WriteString(
			w,
			`{"reign":4,"owner":"c1","items":{"change.json":"e30="},"seq":{"change.json":2},`+
				`"names":{"11":"c1","12":"c2","13":"c3"}}`,
		)
		return
	case "/v1/owner/item?name=change.json":
		file = "testdata/folders/baking-later/change.json"
	case "/v1/status":
		file = "testdata/status-" + name + ".json"
	default:
		t.Errorf("%s is asked for %s", name, r.URL)
		return
	}
	answer, err := os.ReadFile(file)
	if err != nil {
		http.Error(w, "no controller", http.StatusServiceUnavailable)
		return
	}
	w.Write(answer)
}

var (
	chance  = regexp.MustCompile(`[0-9]{15,20}`)
	numbers = regexp.MustCompile(`"names":\{[^}]*\}`)
)

// plain is what was sent, with numbers drawn by chance named in the order of their members.
func (a *asked) plain() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	text := strings.Join(a.sent, "")
	a.sent = nil
	names := map[string]string{}
	for _, id := range regexp.MustCompile(`"id":([0-9]{15,20})`).FindAllStringSubmatch(text, -1) {
		if names[id[1]] == "" {
			names[id[1]] = fmt.Sprintf("<drawn %d>", len(names)+1)
		}
	}
	text = chance.ReplaceAllStringFunc(text, func(s string) string { return names[s] })
	return numbers.ReplaceAllStringFunc(text, func(s string) string { // they stand in the order of the numbers
		list := strings.Split(strings.TrimSuffix(strings.TrimPrefix(s, `"names":{`), "}"), ",")
		slices.Sort(list)
		return `"names":{` + strings.Join(list, ",") + "}"
	})
}

func member(name string) string {
	id := map[string]int{"c1": 11, "c2": 12, "c3": 13}[name]
	return fmt.Sprintf(
		`{"name":%q,"id":%d,"reign":4,"owner":"c1","may":%v,"leader":"c1","term":4,"voters":["c1","c2","c3"]}`,
		name,
		id,
		name == "c1",
	)
}

func none(name string) string {
	return fmt.Sprintf(`{"name":%q,"id":0,"reign":0,"owner":"","may":false,"leader":"","term":0,"voters":null}`, name)
}

func TestWhatIsToldOfAFleetIsAsItWas(t *testing.T) {
	a := newAsked(t, member)
	golden.Check(t, "fleet-status.golden", run("fleet", "status", "--operator", a.file))
	golden.Check(t, "fleet-status--json.golden", run("fleet", "status", "--json", "--operator", a.file))
	golden.Check(t, "fleet-owner.golden", run("fleet", "leader", "--operator", a.file))
	golden.Check(t, "fleet-owner--json.golden", run("fleet", "leader", "--json", "--operator", a.file))
	golden.Check(t, "fleet-owner-none.golden", run("fleet", "leader", "--operator", newAsked(t, none).file))
	golden.Check(t, "status-agreed.golden", run("rollout", "--replicated", "--operator", a.file, "status", "--json"))
}

// Commands send the same under their present and their former names; the latter are told of on the error stream, and
// there only.
func TestWhatVotersAreSentIsAsItWas(t *testing.T) {
	for _, c := range []struct {
		name   string
		view   func(string) string
		args   []string
		former []string // as typed before commands and flags were renamed
		lines  string   // that the former names are told of by
	}{
		{"start", member, []string{"rollout", "start", "--replicated", "testdata/change.json"},
			[]string{"rollout", "start", "--agreed", "testdata/change.json"}, "--agreed is deprecated, use --replicated\n"},
		{"pause", member, []string{"rollout", "pause", "--replicated"},
			[]string{"rollout", "pause", "--agreed"}, "--agreed is deprecated, use --replicated\n"},
		{"resume", member, []string{"rollout", "resume", "--replicated"},
			[]string{"rollout", "resume", "--agreed"}, "--agreed is deprecated, use --replicated\n"},
		{"stop", member, []string{"rollout", "stop", "--replicated"},
			[]string{"rollout", "stop", "--agreed"}, "--agreed is deprecated, use --replicated\n"},
		{"back", member, []string{"rollout", "rollback", "--replicated"}, []string{"rollout", "back", "--agreed"},
			"swiftreel rollout back is deprecated, use swiftreel rollout rollback\n" +
				"--agreed is deprecated, use --replicated\n"},
		{"found", none, []string{"fleet", "bootstrap"},
			[]string{"fleet", "found"}, "swiftreel fleet found is deprecated, use swiftreel fleet bootstrap\n"},
		{"found-twice", member, []string{"fleet", "bootstrap"},
			[]string{"fleet", "found"}, "swiftreel fleet found is deprecated, use swiftreel fleet bootstrap\n"},
		{"step-down", member, []string{"fleet", "step-down"}, nil, ""},
		{"recover-unsure", onlyOne, []string{"fleet", "recover", "c1"}, nil, ""},
		{"recover", onlyOne, []string{"fleet", "recover", "--the-others-lost-their-memory", "c1"}, nil, ""},
		{"recover-majority", member, []string{"fleet", "recover", "--the-others-lost-their-memory", "c1"}, nil, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := newAsked(t, c.view)
			told := run(append(c.args, "--operator", a.file)...)
			golden.Check(t, "sent-"+c.name+".golden", append([]byte(a.plain()), told...))
			if c.former == nil {
				return
			}
			told = withoutLines(t, run(append(c.former, "--operator", a.file)...), c.lines)
			golden.Check(t, "sent-"+c.name+".golden", append([]byte(a.plain()), told...))
		})
	}
}

// withoutLines takes lines out that must stand at the beginning of the error stream.
func withoutLines(t *testing.T, told []byte, lines string) []byte {
	t.Helper()
	before, after, found := strings.Cut(string(told), "stderr: "+lines)
	if !found {
		t.Errorf("%s has no %s", told, lines)
	}
	return []byte(before + "stderr: " + after)
}

// Flags and commands that are renamed do the same under their former names.
func TestFormerNamesOfReadingCommandsDoTheSame(t *testing.T) {
	a := newAsked(t, member)
	told := run("fleet", "owner", "--operator", a.file)
	golden.Check(t, "fleet-owner.golden",
		withoutLines(t, told, "swiftreel fleet owner is deprecated, use swiftreel fleet leader\n"))
	told = run("fleet", "owner", "--json", "--operator", a.file)
	golden.Check(t, "fleet-owner--json.golden",
		withoutLines(t, told, "swiftreel fleet owner is deprecated, use swiftreel fleet leader\n"))
	told = run("rollout", "--agreed", "--operator", a.file, "status", "--json")
	golden.Check(t, "status-agreed.golden", withoutLines(t, told, "--agreed is deprecated, use --replicated\n"))
}

// onlyOne has its memory.
func onlyOne(name string) string {
	if name == "c1" {
		return strings.Replace(member(name), `"may":true`, `"may":false`, 1)
	}
	return none(name)
}

// A voter that is to go is told of until it is gone; one that is taken in, until it votes.
func TestForgetAndJoinAreSentAsTheyWere(t *testing.T) {
	for _, c := range []struct {
		golden string
		name   string
		lines  string
		asked  func(*testing.T) *asked
	}{
		{"sent-forget", "remove-voter", "", newLeaving},
		{"sent-forget", "forget", "swiftreel fleet forget is deprecated, use swiftreel fleet remove-voter\n", newLeaving},
		{"sent-join", "replace-voter", "", newJoining},
		{"sent-join", "join", "swiftreel fleet join is deprecated, use swiftreel fleet replace-voter\n", newJoining},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := c.asked(t)
			told := withoutLines(t, run("fleet", c.name, "c3", "--operator", a.file), c.lines)
			golden.Check(t, c.golden+".golden", append(told, a.plain()...))
		})
	}
}

// newLeaving is a fleet whose leader has let c3 go once it is asked to.
func newLeaving(t *testing.T) *asked {
	t.Helper()
	var a *asked
	a = newAsked(t, func(name string) string {
		if name == "c1" && len(a.sent) > 0 {
			return strings.Replace(member(name), `,"c3"]`, `]`, 1)
		}
		return member(name)
	})
	return a
}

// newJoining is a fleet in which c3 votes under the number that it was last given.
func newJoining(t *testing.T) *asked {
	t.Helper()
	var a *asked
	a = newAsked(t, func(name string) string {
		var m struct {
			ID uint64 `json:"id"`
		}
		for _, s := range a.sent {
			if _, text, is := strings.Cut(s, "\n"); is && strings.HasPrefix(s, "c3 POST /v1/owner/found") {
				if err := json.Unmarshal([]byte(text), &m); err != nil {
					t.Error(err)
				}
			}
		}
		if name == "c3" && m.ID != 0 {
			return strings.Replace(member(name), `"id":13`, fmt.Sprintf(`"id":%d`, m.ID), 1)
		}
		return member(name)
	})
	return a
}
