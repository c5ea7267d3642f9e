package fleet

import (
	"bytes"
	"encoding/json"
	"flag"
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
)

// What the commands print and send, as the program before did: testdata. Numbers drawn by chance are told apart by their order.

var record = flag.Bool("record", false, "write testdata/*.golden anew; only from a program whose forms are to stand")

func golden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *record {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s is\n%s\nwas\n%s", name, got, want)
	}
}

func run(args ...string) string {
	var out, errs bytes.Buffer
	code := Run(args, &out, &errs)
	return fmt.Sprintf("%sstderr: %sexit code %d\n", out.String(), errs.String(), code)
}

func TestWhatIsToldOfARecordIsAsItWas(t *testing.T) {
	for _, folder := range []string{"baking-later", "stuck", "stopped", "paused"} {
		at := filepath.Join("testdata", "folders", folder)
		for _, args := range [][]string{{"status"}, {"status", "--json"}, {"history"}, {"history", "--json"}} {
			golden(t, folder+"-"+strings.Join(args, ""), run(append([]string{"rollout", "--record", at}, args...)...))
		}
	}
	golden(t, "status-none", run("rollout", "--record", "testdata/none", "status"))
}

func TestWhatACheckTellsIsAsItWas(t *testing.T) {
	golden(t, "check-good", run("rollout", "check", "testdata/change.json"))
	golden(t, "check-bad", run("rollout", "check", "testdata/change-bad.json"))
	golden(t, "check-none", run("rollout", "check", "testdata/change-none.json"))
}

// Help is what operators read first: commands, flags, exit codes.
func TestCommandsAndFlagsAreAsTheyWere(t *testing.T) {
	for _, args := range [][]string{{}, {"keep"}, {"rollout"}, {"rollout", "start"}, {"rollout", "resume"}, {"rollout", "pause"}, {"rollout", "stop"}, {"rollout", "back"}, {"rollout", "status"},
		{"rollout", "history"}, {"rollout", "check"}, {"fleet"}, {"fleet", "status"}, {"fleet", "owner"}, {"fleet", "found"}, {"fleet", "step-down"}, {"fleet", "recover"}, {"fleet", "forget"},
		{"fleet", "join"}, {"store"}, {"store", "inspect"}, {"store", "verify"}} {
		if text := run(append(args, "--help")...); !strings.HasSuffix(text, "exit code 0\n") || len(text) < 100 {
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
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { a.serve(t, name, w, r) }))
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
	text, err := io.ReadAll(r.Body)
	if err != nil {
		t.Error(err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.Method == http.MethodPost {
		a.sent = append(a.sent, fmt.Sprintf("%s %s %s type=%q\n%s\n", name, r.Method, r.URL, r.Header.Get("Content-Type"), text))
		w.WriteHeader(http.StatusNoContent)
		return
	}
	var file string
	switch r.URL.String() {
	case "/v1/owner":
		io.WriteString(w, a.view(name))
		return
	case "/v1/owner/agreed":
		io.WriteString(w, `{"reign":4,"owner":"c1","items":{"change.json":"e30="},"seq":{"change.json":2},"names":{"11":"c1","12":"c2","13":"c3"}}`)
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
	return fmt.Sprintf(`{"name":%q,"id":%d,"reign":4,"owner":"c1","may":%v,"leader":"c1","term":4,"voters":["c1","c2","c3"]}`, name, id, name == "c1")
}

func none(name string) string {
	return fmt.Sprintf(`{"name":%q,"id":0,"reign":0,"owner":"","may":false,"leader":"","term":0,"voters":null}`, name)
}

func TestWhatIsToldOfAFleetIsAsItWas(t *testing.T) {
	a := newAsked(t, member)
	golden(t, "fleet-status", run("fleet", "status", "--operator", a.file))
	golden(t, "fleet-status--json", run("fleet", "status", "--json", "--operator", a.file))
	golden(t, "fleet-owner", run("fleet", "owner", "--operator", a.file))
	golden(t, "fleet-owner--json", run("fleet", "owner", "--json", "--operator", a.file))
	golden(t, "fleet-owner-none", run("fleet", "owner", "--operator", newAsked(t, none).file))
	golden(t, "status-agreed", run("rollout", "--agreed", "--operator", a.file, "status", "--json"))
}

func TestWhatVotersAreSentIsAsItWas(t *testing.T) {
	for _, c := range []struct {
		name string
		view func(string) string
		args []string
	}{
		{"start", member, []string{"rollout", "start", "--agreed", "testdata/change.json"}},
		{"pause", member, []string{"rollout", "pause", "--agreed"}},
		{"resume", member, []string{"rollout", "resume", "--agreed"}},
		{"stop", member, []string{"rollout", "stop", "--agreed"}},
		{"back", member, []string{"rollout", "back", "--agreed"}},
		{"found", none, []string{"fleet", "found"}},
		{"found-twice", member, []string{"fleet", "found"}},
		{"step-down", member, []string{"fleet", "step-down"}},
		{"recover-unsure", onlyOne, []string{"fleet", "recover", "c1"}},
		{"recover", onlyOne, []string{"fleet", "recover", "--the-others-lost-their-memory", "c1"}},
		{"recover-majority", member, []string{"fleet", "recover", "--the-others-lost-their-memory", "c1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := newAsked(t, c.view)
			told := run(append(c.args, "--operator", a.file)...)
			golden(t, "sent-"+c.name, a.plain()+told)
		})
	}
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
	var a *asked
	a = newAsked(t, func(name string) string {
		if name == "c1" && len(a.sent) > 0 {
			return strings.Replace(member(name), `,"c3"]`, `]`, 1)
		}
		return member(name)
	})
	golden(t, "sent-forget", run("fleet", "forget", "c3", "--operator", a.file)+a.plain())
	a = newAsked(t, func(name string) string {
		var m struct {
			ID uint64 `json:"id"`
		}
		for _, s := range a.sent {
			if _, text, is := strings.Cut(s, "\n"); is && strings.HasPrefix(s, "c3 POST /v1/owner/found") {
				json.Unmarshal([]byte(text), &m)
			}
		}
		if name == "c3" && m.ID != 0 {
			return strings.Replace(member(name), `"id":13`, fmt.Sprintf(`"id":%d`, m.ID), 1)
		}
		return member(name)
	})
	golden(t, "sent-join", run("fleet", "join", "c3", "--operator", a.file)+a.plain())
}
