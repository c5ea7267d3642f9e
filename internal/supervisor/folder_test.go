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

// recordState writes testdata/state: a supervisor carries out an order without a plan and follows the owner's, then
// another program with a plan of its own.
func recordState(t *testing.T, to string) {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "state")
	r := run(t, dir)
	r.await(t, "its controller", func(s Status) bool { return s.Serving })
	first := orderOf(8, programAt(t, "controller"), shapeFirst, "")
	if code, body := r.post(t, "/v1/order", first); code != http.StatusNoContent {
		t.Fatal(code, body)
	}
	s := r.await(t, "the first order", func(s Status) bool { return s.Serving && s.RunningSpec == first.Spec.Digest() })
	assigned := assignment.Assignment{
		Format:      change.Format,
		Term:        3,
		Sequence:    1,
		Leader:      "c2",
		Member:      "c1",
		Incarnation: s.Incarnation,
		Shares:      quota.Shares{quota.Fleet: 400_000},
		SharesUntil: monotonic.Now() + int64(
			time.Minute,
		),
		Plan:      change.JSONDigest(json.RawMessage(planOfOwner)),
		PlanUntil: monotonic.Now() + int64(10*time.Minute),
		PlanText:  json.RawMessage(planOfOwner),
	}
	if code, body := r.post(t, "/v1/word", assigned); code != http.StatusNoContent {
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
	r.await(
		t,
		"the second order",
		func(s Status) bool { return s.RunningSpec == second.Spec.Digest() && len(s.DrainingPIDs) == 0 },
	)
	r.stop()
	if err := os.CopyFS(to, os.DirFS(dir)); err != nil {
		t.Fatal(err)
	}
}

// TestFolderOfAnEarlierBuildIsOpenedAndGoesOn opens the folder that the recorded program left and goes on with it:
// nothing of the order is lost, what was refused before still is, and the next order is carried out.
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
	s := r.await(
		t,
		"the recorded order",
		func(s Status) bool { return s.Serving && s.RunningSpec == held.Spec.Digest() },
	)
	if s.Fence != held.Fence || s.OrderedBy != held.CoordinatorID || s.Spec.Program != held.Spec.Program ||
		s.Spec.Digest() != held.Spec.Digest() || s.Drained || s.Failure != "" || s.Crashes != 0 {
		t.Errorf("%+v", s)
	}
	before, err := os.ReadFile(filepath.Join(dir, "held.json"))
	if err != nil {
		t.Fatal(err)
	}
	other := held
	other.CoordinatorID = "conductor-b"
	for what, o := range map[string]change.Order{
		"earlier":                              orderOf(8, held.Spec.Program, shapeFirst, ""),
		"of another conductor":                 other,
		"with the same fence and another spec": orderOf(9, held.Spec.Program, shapeFirst, ""),
	} {
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
		digest := change.JSONDigest(json.RawMessage(plan))
		name := "plan-" + string(digest) + ".json"
		text := readFile(t, filepath.Join(dir, name))
		if change.JSONDigest(json.RawMessage(text)) != digest {
			t.Errorf("%s: %s", name, text)
		}
	}
	next := orderOf(10, programAt(t, "controller"), shapeFirst, planOrdered)
	if code, body := r.post(t, "/v1/order", next); code != http.StatusNoContent {
		t.Fatal(code, body)
	}
	s = r.await(t, "the next order", func(s Status) bool {
		return s.Serving && s.RunningSpec == next.Spec.Digest() && len(s.DrainingPIDs) == 0
	})
	if s.Fence != next.Fence {
		t.Errorf("%+v", s)
	}
	r.stop()
	again, err := New(options(t, dir))
	if err != nil || again.Status().Fence != next.Fence || again.Status().Spec.Digest() != next.Spec.Digest() {
		t.Errorf("%v: %+v", err, again)
	}
}

// TestRecordThatCannotBeWrittenRefusesTheOrder: what is held is on disk before it counts.
func TestRecordThatCannotBeWrittenRefusesTheOrder(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	s, err := New(options(t, dir))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	code, _ := (&running{url: server.URL}).post(t, "/v1/order", orderOf(9, programAt(t, "controller"), shapeFirst, ""))
	if code != http.StatusInsufficientStorage || s.Status().Fence != (change.Fence{}) {
		t.Errorf("%d: %+v", code, s.Status())
	}
}
