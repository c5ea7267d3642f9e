package supervisor

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"swiftreel/internal/assignment"
	"swiftreel/internal/canary"
	"swiftreel/internal/change"
	"swiftreel/internal/golden"
	"swiftreel/internal/monotonic"
	"swiftreel/internal/operator"
	"swiftreel/internal/quota"
)

func options(t *testing.T, state string) Options {
	t.Helper()
	return Options{Name: "c1", State: state, Operator: filepath.Join("testdata", "operator.json"), Program: filepath.Join("testdata", "controller"),
		Drain: 10 * time.Second, Env: append(os.Environ(), standInVariable+"="+os.Args[0]), Log: io.Discard}
}

func programAt(t *testing.T, name string) change.Program {
	t.Helper()
	path := filepath.Join("testdata", name)
	digest, err := change.OfFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return change.Program{Path: path, Digest: digest}
}

// running is a keeper that runs until the test ends, with its HTTP side.
type running struct {
	keeper *Keeper
	url    string
	stop   func()
}

func run(t *testing.T, state string) *running {
	t.Helper()
	keeper, err := New(options(t, state))
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(keeper.Handler())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- keeper.Run(ctx) }()
	stopped := false
	stop := func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		server.Close()
	}
	t.Cleanup(stop)
	return &running{keeper, server.URL, stop}
}

func (r *running) get(t *testing.T, path string) []byte {
	t.Helper()
	answer, err := http.Get(r.url + path)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil || answer.StatusCode != http.StatusOK || answer.Header.Get("Content-Type") != "application/json" {
		t.Fatalf("%s: %s %v %v", path, answer.Status, answer.Header, err)
	}
	return body
}

func (r *running) post(t *testing.T, path string, v any) (code int, body string) {
	t.Helper()
	text, is := v.(string)
	if !is {
		marshalled, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		text = string(marshalled)
	}
	answer, err := http.Post(r.url+path, "application/json", strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	raw, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	return answer.StatusCode, string(raw)
}

// await waits until the status is as wanted.
func (r *running) await(t *testing.T, what string, is func(Status) bool) Status {
	t.Helper()
	var s Status
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		var err error
		if s, err = ReadStatus(r.get(t, "/v1/status")); err != nil {
			t.Fatal(err)
		}
		if is(s) {
			return s
		}
	}
	t.Fatalf("%s: not within 30 s: %+v", what, s)
	return s
}

func orderOf(turn int64, program change.Program, shape, plan string) change.Order {
	o := change.Order{Format: change.Format, Fence: change.Fence{Number: 4, Term: 2, Turn: turn}, By: "conductor-a", Member: "c1",
		Want: change.Spec{Program: program}}
	if shape != "" {
		o.Want.Shape = json.RawMessage(shape)
	}
	if plan != "" {
		o.Want.Plan = json.RawMessage(plan)
	}
	return o
}

const (
	shapeFirst  = `{"budget_free":5}`
	shapeSecond = `{"budget_free":6,"cancel":true}`
	planOrdered = `{"method":"exact","value":11}`
	planOfOwner = `{"method":"exact","value":12}`
)

// recordState writes testdata/state: a keeper carries out an order without a plan and follows the owner's, then another
// program with a plan of its own.
func recordState(t *testing.T, to string) {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "state")
	r := run(t, dir)
	r.await(t, "its controller", func(s Status) bool { return s.Serves })
	first := orderOf(8, programAt(t, "controller"), shapeFirst, "")
	if code, body := r.post(t, "/v1/order", first); code != http.StatusNoContent {
		t.Fatal(code, body)
	}
	s := r.await(t, "the first order", func(s Status) bool { return s.Serves && s.Running == first.Want.Digest() })
	word := assignment.Assignment{Format: change.Format, Term: 3, Sequence: 1, Leader: "c2", Member: "c1", Incarnation: s.Life, Shares: quota.Shares{quota.Fleet: 400_000},
		SharesUntil: monotonic.Now() + int64(time.Minute), Plan: change.OfJSON(json.RawMessage(planOfOwner)), PlanUntil: monotonic.Now() + int64(10*time.Minute),
		PlanText: json.RawMessage(planOfOwner)}
	if code, body := r.post(t, "/v1/word", word); code != http.StatusNoContent {
		t.Fatal(code, body)
	}
	r.await(t, "the owner's plan", func(Status) bool {
		text, err := os.ReadFile(filepath.Join(dir, "operator-1.json"))
		return err == nil && strings.Contains(string(text), "until_boot_ns")
	})
	second := orderOf(9, programAt(t, "controller-next"), shapeSecond, planOrdered)
	if code, body := r.post(t, "/v1/order", second); code != http.StatusNoContent {
		t.Fatal(code, body)
	}
	r.await(t, "the second order", func(s Status) bool { return s.Running == second.Want.Digest() && len(s.Drains) == 0 })
	r.stop()
	if err := os.CopyFS(to, os.DirFS(dir)); err != nil {
		t.Fatal(err)
	}
}

// TestFolderOfAnEarlierBuildIsOpenedAndGoesOn opens the folder that the recorded program left and goes on with it: nothing
// of the order is lost, what was refused before still is, and the next order is carried out.
func TestFolderOfAnEarlierBuildIsOpenedAndGoesOn(t *testing.T) {
	recorded := filepath.Join("testdata", "state")
	if golden.Missing(recorded) {
		recordState(t, recorded)
	}
	dir := filepath.Join(t.TempDir(), "state")
	if err := os.CopyFS(dir, os.DirFS(recorded)); err != nil {
		t.Fatal(err)
	}
	held := orderOf(9, programAt(t, "controller-next"), shapeSecond, planOrdered)
	r := run(t, dir)
	s := r.await(t, "the recorded order", func(s Status) bool { return s.Serves && s.Running == held.Want.Digest() })
	if s.Fence != held.Fence || s.By != held.By || s.Spec.Program != held.Want.Program || s.Spec.Digest() != held.Want.Digest() || s.Drained || s.Failed != "" || s.Crashes != 0 {
		t.Errorf("%+v", s)
	}
	before, err := os.ReadFile(filepath.Join(dir, "held.json"))
	if err != nil {
		t.Fatal(err)
	}
	other := held
	other.By = "conductor-b"
	for what, o := range map[string]change.Order{"earlier": orderOf(8, held.Want.Program, shapeFirst, ""), "of another conductor": other,
		"with the same fence and another spec": orderOf(9, held.Want.Program, shapeFirst, "")} {
		if code, _ := r.post(t, "/v1/order", o); code != http.StatusConflict {
			t.Errorf("an order %s: %d", what, code)
		}
	}
	if code, _ := r.post(t, "/v1/order", held); code != http.StatusNoContent {
		t.Errorf("the same order again: %d", code)
	}
	after, err := os.ReadFile(filepath.Join(dir, "held.json"))
	if err != nil || !bytes.Equal(before, after) {
		t.Errorf("%v: the record was written anew:\n%s", err, after)
	}
	for _, plan := range []string{planOrdered, planOfOwner} {
		// The text of a plan read back from held.json has other blanks: its digest is that of its value.
		digest := change.OfJSON(json.RawMessage(plan))
		name := "plan-" + string(digest) + ".json"
		if text, err := os.ReadFile(filepath.Join(dir, name)); err != nil || change.OfJSON(json.RawMessage(text)) != digest {
			t.Errorf("%s: %s %v", name, text, err)
		}
	}
	next := orderOf(10, programAt(t, "controller"), shapeFirst, planOrdered)
	if code, body := r.post(t, "/v1/order", next); code != http.StatusNoContent {
		t.Fatal(code, body)
	}
	s = r.await(t, "the next order", func(s Status) bool { return s.Serves && s.Running == next.Want.Digest() && len(s.Drains) == 0 })
	if s.Fence != next.Fence {
		t.Errorf("%+v", s)
	}
	r.stop()
	again, err := New(options(t, dir))
	if err != nil || again.Status().Fence != next.Fence || again.Status().Spec.Digest() != next.Want.Digest() {
		t.Errorf("%v: %+v", err, again)
	}
}

// TestFilesOfAControllerAreAsRecorded holds the order's record and the operators' files that controllers get, to the byte.
func TestFilesOfAControllerAreAsRecorded(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	k, err := New(options(t, dir))
	if err != nil {
		t.Fatal(err)
	}
	check := func(file, name string) {
		t.Helper()
		text, err := os.ReadFile(filepath.Join(dir, file))
		if err != nil {
			t.Fatal(err)
		}
		golden.Check(t, name, text)
	}
	spec := change.Spec{Program: change.Program{Path: "/opt/controller", Digest: "d1"}, Shape: json.RawMessage(shapeFirst)}
	if err := k.Take(change.Order{Format: change.Format, Fence: change.Fence{Number: 5, Term: 6, Turn: 7}, By: "x", Member: "c1", Want: spec, Drain: true, Why: "why"}); err != nil {
		t.Fatal(err)
	}
	check("held.json", "files/held.json")
	c := &child{file: k.path("operator-1.json")}
	if !k.file(c, k.held, assignment.Accepted{}, false) {
		t.Fatal(k.failed)
	}
	check("operator-1.json", "files/operator-no-plan.json")
	word := assignment.Accepted{Term: 1, Sequence: 2, Leader: "c2", Plan: change.OfJSON(json.RawMessage(planOfOwner)), PlanUntil: 123456789, PlanText: json.RawMessage(planOfOwner)}
	k.now = &child{}
	k.now.report.Learned, k.now.report.Health = json.RawMessage(`{"lookup":{"mean":12.5}}`), json.RawMessage(`{"e1":{"ok":true}}`)
	if !k.file(c, k.held, word, true) {
		t.Fatal(k.failed)
	}
	check("operator-1.json", "files/operator-plan-of-owner.json")
	held := k.held
	held.Want.Plan = json.RawMessage(planOrdered)
	held.Want.Shape = nil
	k.now.file = k.path("operator-2.json")
	if !k.file(k.now, held, word, false) {
		t.Fatal(k.failed)
	}
	check("operator-2.json", "files/operator-ordered-plan.json")
}

// TestOldestPlansAreRemoved holds which plans' files are kept.
func TestOldestPlansAreRemoved(t *testing.T) {
	k, err := New(options(t, filepath.Join(t.TempDir(), "state")))
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now().Add(-time.Hour)
	for i, name := range []string{"plan-e.json", "plan-b.json", "plan-d.json", "plan-a.json", "plan-c.json"} {
		if err := os.WriteFile(k.path(name), []byte("{}"), 0o600); err != nil {
			t.Fatal(err)
		}
		at := began.Add(time.Duration(i) * time.Minute)
		if err := os.Chtimes(k.path(name), at, at); err != nil {
			t.Fatal(err)
		}
	}
	k.forget("plan-b.json")
	left, err := filepath.Glob(k.path("plan-*.json"))
	if err != nil {
		t.Fatal(err)
	}
	for i := range left {
		left[i] = filepath.Base(left[i])
	}
	if got := strings.Join(left, " "); got != "plan-a.json plan-b.json plan-c.json plan-d.json" {
		t.Errorf("left: %s", got)
	}
}

func TestStatusBodyIsAsRecorded(t *testing.T) {
	s := Status{Format: 2, Name: "c1", Spec: change.Spec{Program: change.Program{Path: "/p", Digest: "d"}, Shape: json.RawMessage(`{"a":1}`), Plan: json.RawMessage(`{"b":2}`)},
		Running: "r", Version: "v", Settings: "s", Fence: change.Fence{Number: 1, Term: 2, Turn: 3}, By: "x", Serves: true, Drained: true, Failed: "why",
		Crashes: 4, PID: 5, Drains: []int{6, 7}, Owed: 8, OrderMS: 9, AskedMS: 10, MemoryMB: 11.5, CPU: 12, Started: 13, Probes: 14, Aside: 15,
		Work: map[canary.Group]canary.Work{{Type: "lookup", Tenant: "a b"}: {Jobs: 3, Within: 2, Done: 2, Throttled: 1, Cancelled: 1, Dispatches: 4, Further: 1, Took: []uint64{1, 1}}},
		Life: "life", BootNS: 16, Word: assignment.Accepted{Term: 17, Sequence: 18, Leader: "c2", Shares: quota.Shares{quota.Fleet: 19, quota.TenantQuota("acme"): 20}, SharesUntil: 21, Plan: "p", PlanUntil: 22},
		Carries: 23, Carried: 24, EngineCount: 25, Engines: []string{"e1", "e2"}}
	for i, v := 0, reflect.ValueOf(s); i < v.NumField(); i++ {
		if f := v.Type().Field(i); v.Field(i).IsZero() && f.Tag.Get("json") != "-" {
			t.Errorf("%s is not filled: the golden file does not hold its key", f.Name)
		}
	}
	text, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "status.json", text)
	read, err := ReadStatus(text)
	// engines is left out of an empty status, by which ReadStatus knows its own keys: it stands in Others too.
	if err != nil || len(read.Others) != 1 || read.Others["engines"] == nil {
		t.Fatalf("%v: others %v", err, read.Others)
	}
	again, err := json.MarshalIndent(read, "", " ")
	if err != nil || !bytes.Equal(again, text) {
		t.Errorf("%v: read back it is written as\n%s", err, again)
	}
}

// volatile are the figures of a status that differ from run to run.
var volatile = regexp.MustCompile(`"(life|boot_ns|pid|order_ms|asked_ms|memory_mb|cpu_ns|started|part_until_boot_ns|plan_until_boot_ns)":("[^"]*"|[-0-9.e+]+)`)

// TestBodiesOverHTTPAreAsRecorded asks a keeper that runs a controller.
func TestBodiesOverHTTPAreAsRecorded(t *testing.T) {
	idle, err := New(options(t, filepath.Join(t.TempDir(), "idle")))
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(idle.Handler())
	defer server.Close()
	steady := func(body []byte) []byte { return volatile.ReplaceAll(body, []byte(`"$1":0`)) }
	golden.Check(t, "http/status-idle.json", steady((&running{url: server.URL}).get(t, "/v1/status")))

	r := run(t, filepath.Join(t.TempDir(), "state"))
	s := r.await(t, "its controller", func(s Status) bool { return s.Serves && s.EngineCount == 2 })
	o := orderOf(9, programAt(t, "controller"), shapeSecond, planOrdered)
	o.Why = "a test"
	if code, body := r.post(t, "/v1/order", o); code != http.StatusNoContent || body != "" {
		t.Errorf("%d %q", code, body)
	}
	word := assignment.Assignment{Format: change.Format, Term: 3, Sequence: 1, Leader: "c2", Member: "c1", Incarnation: s.Life, Shares: quota.Shares{quota.Fleet: 400_000, quota.TenantQuota("acme"): 7},
		SharesUntil: monotonic.Now() + int64(10*time.Minute), Plan: change.OfJSON(json.RawMessage(planOfOwner)), PlanUntil: monotonic.Now() + int64(10*time.Minute), PlanText: json.RawMessage(planOfOwner)}
	if code, body := r.post(t, "/v1/word", word); code != http.StatusNoContent || body != "" {
		t.Errorf("%d %q", code, body)
	}
	r.await(t, "order and word", func(s Status) bool { return s.Running == o.Want.Digest() && s.Carried == 1 && s.Carries == 400_000 })
	golden.Check(t, "http/status.json", steady(r.get(t, "/v1/status")))
	golden.Check(t, "http/status-engines.json", steady(r.get(t, "/v1/status?engines=1")))

	elsewhere := o
	elsewhere.Member = "c9"
	late := word
	late.Incarnation = "another"
	for what, c := range map[string]struct {
		path string
		send any
		code int
		told string
	}{
		"an order cut off":            {"/v1/order", `{"format":2`, http.StatusUnprocessableEntity, "/:"},
		"an order with a field more":  {"/v1/order", `{"hurry":true}`, http.StatusUnprocessableEntity, "hurry"},
		"an order for another member": {"/v1/order", elsewhere, http.StatusConflict, "c9"},
		"a word cut off":              {"/v1/word", `{"format":2`, http.StatusUnprocessableEntity, "/:"},
		"a word once more":            {"/v1/word", word, http.StatusConflict, "3"},
		"a word for an earlier life":  {"/v1/word", late, http.StatusConflict, ""},
	} {
		if code, body := r.post(t, c.path, c.send); code != c.code || body == "" || !strings.Contains(body, c.told) {
			t.Errorf("%s: %d %q", what, code, body)
		}
	}
}

// TestRecordThatCannotBeWrittenRefusesTheOrder: what is held is on disk before it counts.
func TestRecordThatCannotBeWrittenRefusesTheOrder(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	k, err := New(options(t, dir))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(k.Handler())
	defer server.Close()
	code, _ := (&running{url: server.URL}).post(t, "/v1/order", orderOf(9, programAt(t, "controller"), shapeFirst, ""))
	if code != http.StatusInsufficientStorage || k.Status().Fence != (change.Fence{}) {
		t.Errorf("%d: %+v", code, k.Status())
	}
}

// TestPartsOfAStandInsFile holds that what stand-ins read of an operator's file is the tally's part.
func TestPartsOfAStandInsFile(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "files", "operator-plan-of-owner.json"))
	if err != nil {
		t.Fatal(err)
	}
	var parts struct {
		Tally operator.Tally `json:"tally"`
	}
	if err := json.Unmarshal(text, &parts); err != nil || parts.Tally.Listen != "127.0.0.1:0" || !parts.Tally.Elder || len(parts.Tally.Learned) == 0 || len(parts.Tally.Health) == 0 {
		t.Errorf("%+v %v", parts.Tally, err)
	}
}
