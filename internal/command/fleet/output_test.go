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

// The golden files in testdata hold what the commands print and send. Random member IDs are replaced by numbers in the
// order of their first occurrence.

func runCommand(args ...string) []byte {
	var out, errs bytes.Buffer
	code := Run(args, &out, &errs)
	return fmt.Appendf(nil, "%sstderr: %sexit code %d\n", out.String(), errs.String(), code)
}

func TestRolloutStatusAndHistoryOutput(t *testing.T) {
	for _, folder := range []string{"baking-later", "stuck", "stopped", "paused"} {
		at := filepath.Join("testdata", "folders", folder)
		for _, args := range [][]string{{"status"}, {"status", "--json"}, {"history"}, {"history", "--json"}} {
			golden.Check(
				t,
				folder+"-"+strings.Join(args, "")+".golden",
				runCommand(append([]string{"rollout", "--record", at}, args...)...),
			)
		}
	}
	golden.Check(t, "status-none.golden", runCommand("rollout", "--record", "testdata/none", "status"))
}

func TestRolloutCheckOutput(t *testing.T) {
	golden.Check(t, "check-good.golden", runCommand("rollout", "check", "testdata/change.json"))
	golden.Check(t, "check-bad.golden", runCommand("rollout", "check", "testdata/change-bad.json"))
	golden.Check(t, "check-none.golden", runCommand("rollout", "check", "testdata/change-none.json"))
}

// Every command, also under its former name, must print a help text.
func TestEveryCommandHasHelp(t *testing.T) {
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
		if text := string(runCommand(append(args, "--help")...)); !strings.HasSuffix(text, "exit code 0\n") ||
			len(text) < 100 {
			t.Errorf("%v: %s", args, text)
		}
	}
}

// fakeFleet serves the HTTP APIs of a fleet's supervisors and voters, and records the POST requests.
type fakeFleet struct {
	operatorFile string
	mu           sync.Mutex
	requests     []string
	voterStatus  func(name string) string
}

func newFakeFleet(t *testing.T, voterStatus func(name string) string) *fakeFleet {
	t.Helper()
	fleet := &fakeFleet{voterStatus: voterStatus}
	var members []string
	for _, name := range []string{"c1", "c2", "c3"} {
		s := httptest.NewServer(
			http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fleet.serve(t, name, w, r) }),
		)
		t.Cleanup(s.Close)
		members = append(members, fmt.Sprintf(`{"name":%q,"listen":%q}`, name, strings.TrimPrefix(s.URL, "http://")))
	}
	fleet.operatorFile = filepath.Join(t.TempDir(), "operator.json")
	text := fmt.Sprintf(`{"fleet":{"members":[%s],"voters":["c1","c2","c3"]}}`, strings.Join(members, ","))
	if err := os.WriteFile(fleet.operatorFile, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return fleet
}

func (fleet *fakeFleet) serve(t *testing.T, name string, w http.ResponseWriter, r *http.Request) {
	t.Helper()
	text, err := io.ReadAll(r.Body)
	if err != nil {
		t.Error(err)
	}
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	if r.Method == http.MethodPost {
		fleet.requests = append(
			fleet.requests,
			fmt.Sprintf("%s %s %s type=%q\n%s\n", name, r.Method, r.URL, r.Header.Get("Content-Type"), text),
		)
		w.WriteHeader(http.StatusNoContent)
		return
	}
	var file string
	switch r.URL.String() {
	case "/v1/owner":
		io.WriteString(w, fleet.voterStatus(name))
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
		t.Errorf("%s received an unexpected request for %s", name, r.URL)
		return
	}
	response, err := os.ReadFile(file)
	if err != nil {
		http.Error(w, "no controller", http.StatusServiceUnavailable)
		return
	}
	w.Write(response)
}

var (
	memberIDPattern = regexp.MustCompile(`[0-9]{15,20}`)
	namesPattern    = regexp.MustCompile(`"names":\{[^}]*\}`)
)

// takeRequests returns and clears the recorded requests, with random member IDs replaced by numbers.
func (fleet *fakeFleet) takeRequests() string {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	text := strings.Join(fleet.requests, "")
	fleet.requests = nil
	names := map[string]string{}
	for _, id := range regexp.MustCompile(`"id":([0-9]{15,20})`).FindAllStringSubmatch(text, -1) {
		if names[id[1]] == "" {
			names[id[1]] = fmt.Sprintf("<drawn %d>", len(names)+1)
		}
	}
	text = memberIDPattern.ReplaceAllStringFunc(text, func(s string) string { return names[s] })
	return namesPattern.ReplaceAllStringFunc(text, func(s string) string { // encoded in the order of the random IDs
		list := strings.Split(strings.TrimSuffix(strings.TrimPrefix(s, `"names":{`), "}"), ",")
		slices.Sort(list)
		return `"names":{` + strings.Join(list, ",") + "}"
	})
}

func memberStatus(name string) string {
	id := map[string]int{"c1": 11, "c2": 12, "c3": 13}[name]
	return fmt.Sprintf(
		`{"name":%q,"id":%d,"reign":4,"owner":"c1","may":%v,"leader":"c1","term":4,"voters":["c1","c2","c3"]}`,
		name,
		id,
		name == "c1",
	)
}

func nonMemberStatus(name string) string {
	return fmt.Sprintf(`{"name":%q,"id":0,"reign":0,"owner":"","may":false,"leader":"","term":0,"voters":null}`, name)
}

func TestFleetStatusAndLeaderOutput(t *testing.T) {
	fleet := newFakeFleet(t, memberStatus)
	golden.Check(t, "fleet-status.golden", runCommand("fleet", "status", "--operator", fleet.operatorFile))
	golden.Check(t, "fleet-status--json.golden", runCommand("fleet", "status", "--json", "--operator", fleet.operatorFile))
	golden.Check(t, "fleet-owner.golden", runCommand("fleet", "leader", "--operator", fleet.operatorFile))
	golden.Check(t, "fleet-owner--json.golden", runCommand("fleet", "leader", "--json", "--operator", fleet.operatorFile))
	golden.Check(t, "fleet-owner-none.golden",
		runCommand("fleet", "leader", "--operator", newFakeFleet(t, nonMemberStatus).operatorFile))
	golden.Check(t, "status-agreed.golden",
		runCommand("rollout", "--replicated", "--operator", fleet.operatorFile, "status", "--json"))
}

// Commands send the same requests under their present and their former names. The latter print a deprecation warning to
// stderr only.
func TestRequestsSentToVoters(t *testing.T) {
	for _, c := range []struct {
		name   string
		status func(string) string
		args   []string
		former []string // as typed before commands and flags were renamed
		lines  string   // deprecation warnings of the former names
	}{
		{"start", memberStatus, []string{"rollout", "start", "--replicated", "testdata/change.json"},
			[]string{"rollout", "start", "--agreed", "testdata/change.json"}, "--agreed is deprecated, use --replicated\n"},
		{"pause", memberStatus, []string{"rollout", "pause", "--replicated"},
			[]string{"rollout", "pause", "--agreed"}, "--agreed is deprecated, use --replicated\n"},
		{"resume", memberStatus, []string{"rollout", "resume", "--replicated"},
			[]string{"rollout", "resume", "--agreed"}, "--agreed is deprecated, use --replicated\n"},
		{"stop", memberStatus, []string{"rollout", "stop", "--replicated"},
			[]string{"rollout", "stop", "--agreed"}, "--agreed is deprecated, use --replicated\n"},
		{"back", memberStatus, []string{"rollout", "rollback", "--replicated"}, []string{"rollout", "back", "--agreed"},
			"swiftreel rollout back is deprecated, use swiftreel rollout rollback\n" +
				"--agreed is deprecated, use --replicated\n"},
		{"found", nonMemberStatus, []string{"fleet", "bootstrap"},
			[]string{"fleet", "found"}, "swiftreel fleet found is deprecated, use swiftreel fleet bootstrap\n"},
		{"found-twice", memberStatus, []string{"fleet", "bootstrap"},
			[]string{"fleet", "found"}, "swiftreel fleet found is deprecated, use swiftreel fleet bootstrap\n"},
		{"step-down", memberStatus, []string{"fleet", "step-down"}, nil, ""},
		{"recover-unsure", onlyFirstHasState, []string{"fleet", "recover", "c1"}, nil, ""},
		{"recover", onlyFirstHasState, []string{"fleet", "recover", "--the-others-lost-their-memory", "c1"}, nil, ""},
		{"recover-majority", memberStatus, []string{"fleet", "recover", "--the-others-lost-their-memory", "c1"}, nil, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			fleet := newFakeFleet(t, c.status)
			output := runCommand(append(c.args, "--operator", fleet.operatorFile)...)
			golden.Check(t, "sent-"+c.name+".golden", append([]byte(fleet.takeRequests()), output...))
			if c.former == nil {
				return
			}
			output = withoutLines(t, runCommand(append(c.former, "--operator", fleet.operatorFile)...), c.lines)
			golden.Check(t, "sent-"+c.name+".golden", append([]byte(fleet.takeRequests()), output...))
		})
	}
}

// withoutLines removes lines that must be at the beginning of stderr.
func withoutLines(t *testing.T, output []byte, lines string) []byte {
	t.Helper()
	before, after, found := strings.Cut(string(output), "stderr: "+lines)
	if !found {
		t.Errorf("%s lacks %s", output, lines)
	}
	return []byte(before + "stderr: " + after)
}

// Renamed read-only commands and flags print the same under their former names.
func TestFormerNamesOfReadingCommandsDoTheSame(t *testing.T) {
	fleet := newFakeFleet(t, memberStatus)
	output := runCommand("fleet", "owner", "--operator", fleet.operatorFile)
	golden.Check(t, "fleet-owner.golden",
		withoutLines(t, output, "swiftreel fleet owner is deprecated, use swiftreel fleet leader\n"))
	output = runCommand("fleet", "owner", "--json", "--operator", fleet.operatorFile)
	golden.Check(t, "fleet-owner--json.golden",
		withoutLines(t, output, "swiftreel fleet owner is deprecated, use swiftreel fleet leader\n"))
	output = runCommand("rollout", "--agreed", "--operator", fleet.operatorFile, "status", "--json")
	golden.Check(t, "status-agreed.golden", withoutLines(t, output, "--agreed is deprecated, use --replicated\n"))
}

// onlyFirstHasState returns the status of a voter in a fleet where only c1 has retained its state.
func onlyFirstHasState(name string) string {
	if name == "c1" {
		return strings.Replace(memberStatus(name), `"may":true`, `"may":false`, 1)
	}
	return nonMemberStatus(name)
}

// The request to remove a voter is repeated until the voter is removed, and the request to add one until it votes.
func TestRemoveAndReplaceVoterRequests(t *testing.T) {
	for _, c := range []struct {
		golden   string
		name     string
		lines    string
		newFleet func(*testing.T) *fakeFleet
	}{
		{"sent-forget", "remove-voter", "", newFleetRemovingVoter},
		{"sent-forget", "forget", "swiftreel fleet forget is deprecated, use swiftreel fleet remove-voter\n",
			newFleetRemovingVoter},
		{"sent-join", "replace-voter", "", newFleetReplacingVoter},
		{"sent-join", "join", "swiftreel fleet join is deprecated, use swiftreel fleet replace-voter\n",
			newFleetReplacingVoter},
	} {
		t.Run(c.name, func(t *testing.T) {
			fleet := c.newFleet(t)
			output := withoutLines(t, runCommand("fleet", c.name, "c3", "--operator", fleet.operatorFile), c.lines)
			golden.Check(t, c.golden+".golden", append(output, fleet.takeRequests()...))
		})
	}
}

// newFleetRemovingVoter returns a fleet whose leader removes c3 after the first request.
func newFleetRemovingVoter(t *testing.T) *fakeFleet {
	t.Helper()
	var fleet *fakeFleet
	fleet = newFakeFleet(t, func(name string) string {
		if name == "c1" && len(fleet.requests) > 0 {
			return strings.Replace(memberStatus(name), `,"c3"]`, `]`, 1)
		}
		return memberStatus(name)
	})
	return fleet
}

// newFleetReplacingVoter returns a fleet in which c3 votes with the member ID that it was last assigned.
func newFleetReplacingVoter(t *testing.T) *fakeFleet {
	t.Helper()
	var fleet *fakeFleet
	fleet = newFakeFleet(t, func(name string) string {
		var m struct {
			ID uint64 `json:"id"`
		}
		for _, s := range fleet.requests {
			if _, text, found := strings.Cut(s, "\n"); found && strings.HasPrefix(s, "c3 POST /v1/owner/found") {
				if err := json.Unmarshal([]byte(text), &m); err != nil {
					t.Error(err)
				}
			}
		}
		if name == "c3" && m.ID != 0 {
			return strings.Replace(memberStatus(name), `"id":13`, fmt.Sprintf(`"id":%d`, m.ID), 1)
		}
		return memberStatus(name)
	})
	return fleet
}
