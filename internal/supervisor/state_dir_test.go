package supervisor

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"swiftreel/internal/assignment"
	"swiftreel/internal/change"
	"swiftreel/internal/golden"
	"swiftreel/internal/monotonic"
	"swiftreel/internal/quota"
)

// generateStateDir writes testdata/state: a supervisor carries out an order without a plan, to which the leader assigns
// one, and then an order for another program that has its own plan.
func generateStateDir(t *testing.T, to string) {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "state")
	r := startSupervisor(t, dir)
	r.await(t, "controller not serving", func(s Status) bool { return s.Serving })
	first := newOrder(8, testProgram(t, "controller"), firstTopology, "")
	if code, body := r.post(t, "/v1/order", first); code != http.StatusNoContent {
		t.Fatal(code, body)
	}
	s := r.await(t, "first order not in effect", func(s Status) bool {
		return s.Serving && s.RunningSpec == first.Spec.Digest()
	})
	assigned := assignment.Assignment{
		Format:      change.Format,
		Term:        3,
		Sequence:    1,
		Leader:      "c2",
		Member:      "c1",
		Incarnation: s.Incarnation,
		Shares:      quota.Shares{quota.FleetThreads: 400_000},
		SharesUntil: monotonic.Now() + int64(
			time.Minute,
		),
		Plan:      change.JSONDigest(json.RawMessage(leaderPlan)),
		PlanUntil: monotonic.Now() + int64(10*time.Minute),
		PlanText:  json.RawMessage(leaderPlan),
	}
	if code, body := r.post(t, "/v1/word", assigned); code != http.StatusNoContent {
		t.Fatal(code, body)
	}
	r.await(t, "leader's plan not written", func(Status) bool {
		text, err := os.ReadFile(filepath.Join(dir, "operator-1.json"))
		return err == nil && strings.Contains(string(text), "until_boot_ns")
	})
	second := newOrder(9, testProgram(t, "controller-next"), secondTopology, orderedPlan)
	if code, body := r.post(t, "/v1/order", second); code != http.StatusNoContent {
		t.Fatal(code, body)
	}
	r.await(
		t,
		"second order not in effect",
		func(s Status) bool { return s.RunningSpec == second.Spec.Digest() && len(s.DrainingPIDs) == 0 },
	)
	r.stop()
	if err := os.CopyFS(to, os.DirFS(dir)); err != nil {
		t.Fatal(err)
	}
}

// An upgraded supervisor must load the state directory of an earlier build (testdata/state): the order is complete,
// orders that were refused before are still refused, and the next order is carried out.
func TestStateDirOfEarlierBuildIsLoaded(t *testing.T) {
	recorded := filepath.Join("testdata", "state")
	if golden.ShouldRecord(recorded) {
		generateStateDir(t, recorded)
	}
	dir := filepath.Join(t.TempDir(), "state")
	if err := os.CopyFS(dir, os.DirFS(recorded)); err != nil {
		t.Fatal(err)
	}
	stored := newOrder(9, testProgram(t, "controller-next"), secondTopology, orderedPlan)
	r := startSupervisor(t, dir)
	s := r.await(
		t,
		"stored order not in effect",
		func(s Status) bool { return s.Serving && s.RunningSpec == stored.Spec.Digest() },
	)
	if s.Fence != stored.Fence || s.OrderedBy != stored.CoordinatorID || s.Spec.Program != stored.Spec.Program ||
		s.Spec.Digest() != stored.Spec.Digest() || s.Drained || s.Failure != "" || s.Crashes != 0 {
		t.Errorf("%+v", s)
	}
	before, err := os.ReadFile(filepath.Join(dir, "held.json"))
	if err != nil {
		t.Fatal(err)
	}
	other := stored
	other.CoordinatorID = "conductor-b"
	for what, o := range map[string]change.Order{
		"with a lower fence":                   newOrder(8, stored.Spec.Program, firstTopology, ""),
		"of another coordinator":               other,
		"with the same fence and another spec": newOrder(9, stored.Spec.Program, firstTopology, ""),
	} {
		if code, _ := r.post(t, "/v1/order", o); code != http.StatusConflict {
			t.Errorf("order %s: status %d", what, code)
		}
	}
	if code, _ := r.post(t, "/v1/order", stored); code != http.StatusNoContent {
		t.Errorf("repeated order: status %d", code)
	}
	after, err := os.ReadFile(filepath.Join(dir, "held.json"))
	if err != nil || !bytes.Equal(before, after) {
		t.Errorf("%v: held.json was rewritten:\n%s", err, after)
	}
	for _, plan := range []string{orderedPlan, leaderPlan} {
		// A plan that is read back from held.json differs in white space; its digest is of the JSON value.
		digest := change.JSONDigest(json.RawMessage(plan))
		name := "plan-" + string(digest) + ".json"
		text := readFile(t, filepath.Join(dir, name))
		if change.JSONDigest(json.RawMessage(text)) != digest {
			t.Errorf("%s: %s", name, text)
		}
	}
	next := newOrder(10, testProgram(t, "controller"), firstTopology, orderedPlan)
	if code, body := r.post(t, "/v1/order", next); code != http.StatusNoContent {
		t.Fatal(code, body)
	}
	s = r.await(t, "next order not in effect", func(s Status) bool {
		return s.Serving && s.RunningSpec == next.Spec.Digest() && len(s.DrainingPIDs) == 0
	})
	if s.Fence != next.Fence {
		t.Errorf("%+v", s)
	}
	r.stop()
	again, err := New(testOptions(t, dir))
	if err != nil || again.Status().Fence != next.Fence || again.Status().Spec.Digest() != next.Spec.Digest() {
		t.Errorf("%v: %+v", err, again)
	}
}

// An order must be on disk before it takes effect.
func TestOrderThatCannotBeStoredIsRefused(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	s, err := New(testOptions(t, dir))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	code, _ := (&testSupervisor{url: server.URL}).post(
		t, "/v1/order", newOrder(9, testProgram(t, "controller"), firstTopology, ""),
	)
	if code != http.StatusInsufficientStorage || s.Status().Fence != (change.Fence{}) {
		t.Errorf("%d: %+v", code, s.Status())
	}
}
