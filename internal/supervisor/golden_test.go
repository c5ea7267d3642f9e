package supervisor

import (
	"bytes"
	"encoding/json"
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

// TestStateFilesMatchGoldenFiles compares the stored order and the operator files of controllers byte for byte with
// golden files.
func TestStateFilesMatchGoldenFiles(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	s, err := New(testOptions(t, dir))
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
	spec := change.Spec{
		Program:  change.Program{Path: "/opt/controller", Digest: "d1"},
		Topology: json.RawMessage(firstTopology),
	}
	order := change.Order{
		Format:        change.Format,
		Fence:         change.Fence{Number: 5, Term: 6, Revision: 7},
		CoordinatorID: "x",
		Member:        "c1",
		Spec:          spec,
		Drain:         true,
		Reason:        "why",
	}
	if err := s.AcceptOrder(order); err != nil {
		t.Fatal(err)
	}
	check("held.json", "files/held.json")
	c := &controller{operatorFile: s.statePath("operator-1.json")}
	if !s.writeOperatorFile(c, s.order, assignment.Accepted{}, false) {
		t.Fatal(s.failure)
	}
	check("operator-1.json", "files/operator-no-plan.json")
	assigned := assignment.Accepted{
		Term:      1,
		Sequence:  2,
		Leader:    "c2",
		Plan:      change.JSONDigest(json.RawMessage(leaderPlan)),
		PlanUntil: 123456789,
		PlanText:  json.RawMessage(leaderPlan),
	}
	s.current = &controller{}
	s.current.report.TypeStats, s.current.report.EngineHealth = json.RawMessage(
		`{"lookup":{"mean":12.5}}`,
	), json.RawMessage(
		`{"e1":{"ok":true}}`,
	)
	if !s.writeOperatorFile(c, s.order, assigned, true) {
		t.Fatal(s.failure)
	}
	check("operator-1.json", "files/operator-leader-plan.json")
	withPlan := s.order
	withPlan.Spec.Plan = json.RawMessage(orderedPlan)
	withPlan.Spec.Topology = nil
	s.current.operatorFile = s.statePath("operator-2.json")
	if !s.writeOperatorFile(s.current, withPlan, assigned, false) {
		t.Fatal(s.failure)
	}
	check("operator-2.json", "files/operator-ordered-plan.json")
}

// TestOldestPlansAreRemoved checks that prunePlanFiles keeps the newest plan files and the one that it is told to keep.
func TestOldestPlansAreRemoved(t *testing.T) {
	s, err := New(testOptions(t, filepath.Join(t.TempDir(), "state")))
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now().Add(-time.Hour)
	for i, name := range []string{"plan-e.json", "plan-b.json", "plan-d.json", "plan-a.json", "plan-c.json"} {
		if err := os.WriteFile(s.statePath(name), []byte("{}"), 0o600); err != nil {
			t.Fatal(err)
		}
		at := began.Add(time.Duration(i) * time.Minute)
		if err := os.Chtimes(s.statePath(name), at, at); err != nil {
			t.Fatal(err)
		}
	}
	s.prunePlanFiles("plan-b.json")
	left, err := filepath.Glob(s.statePath("plan-*.json"))
	if err != nil {
		t.Fatal(err)
	}
	for i := range left {
		left[i] = filepath.Base(left[i])
	}
	if got := strings.Join(left, " "); got != "plan-a.json plan-b.json plan-c.json plan-d.json" {
		t.Errorf("remaining files: %s", got)
	}
}

func TestStatusEncodingMatchesGoldenFile(t *testing.T) {
	s := Status{
		Format: 2,
		Name:   "c1",
		Spec: change.Spec{
			Program:  change.Program{Path: "/p", Digest: "d"},
			Topology: json.RawMessage(`{"a":1}`),
			Plan:     json.RawMessage(`{"b":2}`),
		},
		RunningSpec:    "r",
		Version:        "v",
		SettingsDigest: "s",
		Fence:          change.Fence{Number: 1, Term: 2, Revision: 3},
		OrderedBy:      "x",
		Serving:        true,
		Drained:        true,
		Failure:        "why",
		Crashes:        4,
		PID:            5,
		DrainingPIDs:   []int{6, 7},
		PendingAnswers: 8,
		SinceOrderMS:   9,
		SinceRequestMS: 10,
		MemoryMB:       11.5,
		CPUNS:          12,
		StartedUnixNS:  13,
		Probes:         14,
		EjectedEngines: 15,
		JobCounts: map[canary.Group]canary.JobCounts{
			{Type: "lookup", Tenant: "a b"}: {
				Jobs:           3,
				WithinSLA:      2,
				Done:           2,
				Throttled:      1,
				Cancelled:      1,
				Dispatches:     4,
				Retries:        1,
				LatencyBuckets: []uint64{1, 1},
			},
		},
		Incarnation: "life",
		MonotonicNS: 16,
		Assignment: assignment.Accepted{
			Term:        17,
			Sequence:    18,
			Leader:      "c2",
			Shares:      quota.Shares{quota.FleetThreads: 19, quota.TenantQuota("acme"): 20},
			SharesUntil: 21,
			Plan:        "p",
			PlanUntil:   22,
		},
		SharePerMillion:   23,
		AppliedAssignment: 24,
		ReadyEngineCount:  25,
		ReadyEngines:      []string{"e1", "e2"},
	}
	for i, v := 0, reflect.ValueOf(s); i < v.NumField(); i++ {
		if f := v.Type().Field(i); v.Field(i).IsZero() && f.Tag.Get("json") != "-" {
			t.Errorf("%s is zero, so the golden file does not cover its key", f.Name)
		}
	}
	text, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "status.json", text)
	read, err := ReadStatus(text)
	// ReadStatus takes the known keys from the encoding of an empty status, which omits engines: it is also in
	// UnknownFields.
	if err != nil || len(read.UnknownFields) != 1 || read.UnknownFields["engines"] == nil {
		t.Fatalf("%v: unknown fields %v", err, read.UnknownFields)
	}
	again, err := json.MarshalIndent(read, "", " ")
	if err != nil || !bytes.Equal(again, text) {
		t.Errorf("%v: decoded and encoded again:\n%s", err, again)
	}
}

// varyingFields matches the fields of a status that differ from run to run.
var varyingFields = regexp.MustCompile(`"(life|boot_ns|pid|order_ms|asked_ms|memory_mb|cpu_ns|started|` +
	`part_until_boot_ns|plan_until_boot_ns)":("[^"]*"|[-0-9.e+]+)`)

// TestHTTPResponsesMatchGoldenFiles sends requests to an idle supervisor and to one that runs a controller.
func TestHTTPResponsesMatchGoldenFiles(t *testing.T) {
	idle, err := New(testOptions(t, filepath.Join(t.TempDir(), "idle")))
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(idle.Handler())
	defer server.Close()
	normalize := func(body []byte) []byte { return varyingFields.ReplaceAll(body, []byte(`"$1":0`)) }
	golden.Check(t, "http/status-idle.json", normalize((&testSupervisor{url: server.URL}).get(t, "/v1/status")))

	r := startSupervisor(t, filepath.Join(t.TempDir(), "state"))
	s := r.await(t, "controller not serving", func(s Status) bool { return s.Serving && s.ReadyEngineCount == 2 })
	o := newOrder(9, testProgram(t, "controller"), secondTopology, orderedPlan)
	o.Reason = "a test"
	if code, body := r.post(t, "/v1/order", o); code != http.StatusNoContent || body != "" {
		t.Errorf("%d %q", code, body)
	}
	assigned := assignment.Assignment{
		Format:      change.Format,
		Term:        3,
		Sequence:    1,
		Leader:      "c2",
		Member:      "c1",
		Incarnation: s.Incarnation,
		Shares:      quota.Shares{quota.FleetThreads: 400_000, quota.TenantQuota("acme"): 7},
		SharesUntil: monotonic.Now() + int64(10*time.Minute),
		Plan:        change.JSONDigest(json.RawMessage(leaderPlan)),
		PlanUntil:   monotonic.Now() + int64(10*time.Minute),
		PlanText:    json.RawMessage(leaderPlan),
	}
	if code, body := r.post(t, "/v1/word", assigned); code != http.StatusNoContent || body != "" {
		t.Errorf("%d %q", code, body)
	}
	r.await(t, "order and assignment not in effect", func(s Status) bool {
		return s.RunningSpec == o.Spec.Digest() && s.AppliedAssignment == 1 && s.SharePerMillion == 400_000
	})
	golden.Check(t, "http/status.json", normalize(r.get(t, "/v1/status")))
	golden.Check(t, "http/status-engines.json", normalize(r.get(t, "/v1/status?engines=1")))

	wrongMember := o
	wrongMember.Member = "c9"
	wrongIncarnation := assigned
	wrongIncarnation.Incarnation = "another"
	for what, c := range map[string]struct {
		path     string
		send     any
		code     int
		contains string
	}{
		"a truncated order":                {"/v1/order", `{"format":2`, http.StatusUnprocessableEntity, "/:"},
		"an order with an unknown field":   {"/v1/order", `{"hurry":true}`, http.StatusUnprocessableEntity, "hurry"},
		"an order for another member":      {"/v1/order", wrongMember, http.StatusConflict, "c9"},
		"a truncated assignment":           {"/v1/word", `{"format":2`, http.StatusUnprocessableEntity, "/:"},
		"a repeated assignment":            {"/v1/word", assigned, http.StatusConflict, "3"},
		"another incarnation's assignment": {"/v1/word", wrongIncarnation, http.StatusConflict, ""},
	} {
		if code, body := r.post(t, c.path, c.send); code != c.code || body == "" || !strings.Contains(body, c.contains) {
			t.Errorf("%s: %d %q", what, code, body)
		}
	}
}

// The fake controller reads only the section tally. The golden operator file must have that section with the listen
// address, the predecessor flag and the state of the current controller.
func TestGoldenOperatorFileHoldsStatsSection(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "files", "operator-leader-plan.json"))
	if err != nil {
		t.Fatal(err)
	}
	var sections struct {
		Tally operator.Stats `json:"tally"`
	}
	if err := json.Unmarshal(text, &sections); err != nil {
		t.Fatal(err)
	}
	stats := sections.Tally
	hasState := len(stats.TypeStats) > 0 && len(stats.EngineHealth) > 0
	if stats.Listen != "127.0.0.1:0" || !stats.Predecessor || !hasState {
		t.Errorf("%+v", stats)
	}
}
