package supervisor

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"swiftreel/internal/assignment"
	"swiftreel/internal/change"
	"swiftreel/internal/jobstats"
	"swiftreel/internal/monotonic"
	"swiftreel/internal/quota"
)

// writeFile writes an executable file.
func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o700); err != nil {
		t.Fatal(err)
	}
}

func readFile(t *testing.T, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func TestRestartDelayDoublesWithConsecutiveCrashes(t *testing.T) {
	var backoff restartBackoff
	var delays []time.Duration
	for range 9 {
		delays = append(delays, backoff.recordCrash(time.Second))
	}
	if delays[0] != minRestartDelay || delays[3] != 8*minRestartDelay || delays[8] != maxRestartDelay ||
		backoff.crashes != 9 {
		t.Errorf("%v", delays)
	}
	if delay := backoff.recordCrash(time.Minute); delay != minRestartDelay {
		t.Errorf("delay after a long run: %v", delay)
	}
}

func TestStatusKeepsFieldsOfAnotherVersion(t *testing.T) {
	s, err := ReadStatus(
		[]byte(
			`{"format":2,"name":"c1","serves":true,"mood":"good","work":{"\"lookup\" \"a b\"":{"jobs":3,"within":2}}}`,
		),
	)
	if err != nil || !s.Serving || string(s.UnknownFields["mood"]) != `"good"` || len(s.UnknownFields) != 1 {
		t.Fatalf("%+v %v", s, err)
	}
	for g, w := range s.JobCounts {
		if g.Type != "lookup" || g.Tenant != "a b" || w.Jobs != 3 {
			t.Errorf("%v %v", g, w)
		}
	}
	if _, err := ReadStatus([]byte(`{"work":{"lookup":{}}}`)); err == nil {
		t.Error("a malformed group key was accepted")
	}
}

func TestStoredOrderIsReadCompletelyOrNotAtAll(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "program")
	file := filepath.Join(dir, "operator.json")
	writeFile(t, program, "x")
	writeFile(t, file, `{"shape":{"cancel":false},"fleet":{"members":[]}}`)
	o := Options{Name: "c1", StateDir: filepath.Join(dir, "state"), OperatorFile: file, ProgramPath: program}
	s, err := New(o)
	if err != nil || string(s.order.Spec.Topology) != `{"cancel":false}` || s.order.Fence != (change.Fence{}) {
		t.Fatalf("%+v %v", s, err)
	}
	fence := change.Fence{Number: 4, Term: 2, Revision: 9}
	order := change.Order{Format: 1, Fence: fence, CoordinatorID: "x", Member: "c1", Spec: s.order.Spec}
	if err := s.AcceptOrder(order); err != nil {
		t.Fatal(err)
	}
	c := &controller{operatorFile: s.statePath("operator-1.json")}
	wanted := controllerConfig{spec: s.order.Spec.Digest(), hasPredecessor: true}
	if !s.writeOperatorFile(c, s.order, assignment.Accepted{}, true) || c.config != wanted {
		t.Fatal(s.failure)
	}
	var sections map[string]json.RawMessage
	if err := json.Unmarshal(readFile(t, c.operatorFile), &sections); err != nil {
		t.Fatal(err)
	}
	if sections["fleet"] != nil || !strings.Contains(string(sections["tally"]), string(s.order.Spec.Digest())) {
		t.Errorf("%s", sections)
	}
	if s, err = New(o); err != nil || s.order.Fence != order.Fence || s.order.CoordinatorID != "x" {
		t.Errorf("read back as %+v, %v", s.order, err)
	}
	text := readFile(t, s.statePath("held.json"))
	writeFile(t, s.statePath("held.json"), string(text[:len(text)/2]))
	if _, err := New(o); err == nil || !strings.Contains(err.Error(), "held.json") {
		t.Errorf("truncated held.json: %v", err)
	}
}

func TestProgramThatCannotRunNeverReplacesOneThatDoes(t *testing.T) {
	for i, c := range []struct {
		situation situation
		want      action
	}{
		{situation{}, startController},
		{situation{backingOff: true}, noAction},
		{situation{drainingCount: 1}, startController},
		{situation{drainingCount: 2}, noAction},
		{situation{hasCurrent: true, currentMatches: true}, configureCurrent},
		{situation{hasCurrent: true, currentMatches: true, currentConfigured: true}, noAction},
		{situation{hasCurrent: true}, startController},
		{situation{hasCurrent: true, drainingCount: 1}, noAction},
		{situation{hasCurrent: true, backingOff: true}, noAction},
		{situation{hasCurrent: true, hasNext: true, nextMatches: true}, noAction},
		{situation{hasCurrent: true, hasNext: true, nextMatches: true, nextReady: true}, promoteNext},
		{situation{hasCurrent: true, hasNext: true, nextReady: true}, discardNext},
		{situation{hasCurrent: true, currentMatches: true, hasNext: true, nextMatches: true}, discardNext},
		{situation{hasNext: true}, promoteNext},
		{situation{drainOrdered: true, hasCurrent: true, hasNext: true}, stopControllers},
		{situation{drainOrdered: true}, noAction},
	} {
		if got := c.situation.decide(); got != c.want {
			t.Errorf("%d: %+v: %d, not %d", i, c.situation, got, c.want)
		}
	}
	// For all situations: no third controller is started, and the next controller is promoted only if it is ready or
	// there is no current one.
	for n := range 1 << 8 {
		bit := func(i int) bool { return n>>i&1 == 1 }
		s := situation{
			drainOrdered:   bit(0),
			hasCurrent:     bit(1),
			currentMatches: bit(2),
			hasNext:        bit(3),
			nextMatches:    bit(4),
			nextReady:      bit(5),
			drainingCount:  n >> 6 & 1,
			backingOff:     bit(7),
		}
		switch got := s.decide(); {
		case got == startController && (s.hasNext || s.hasCurrent && s.drainingCount > 0 || s.drainOrdered || s.backingOff):
			t.Errorf("%+v starts another controller", s)
		case got == promoteNext && s.hasCurrent && (!s.nextReady || !s.nextMatches):
			t.Errorf("%+v promotes the next controller", s)
		}
	}
}

func TestFailureOutOfServiceIsClearedOnceItsCauseIsGone(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "program")
	writeFile(t, program, "x")
	s, err := New(Options{Name: "c1", StateDir: filepath.Join(dir, "state"), ProgramPath: program})
	if err != nil {
		t.Fatal(err)
	}
	s.order.Drain = true
	if err := os.Remove(program); err != nil {
		t.Fatal(err)
	}
	s.verifyProgram(s.order.Spec.Program)
	s.step(t.Context())
	if status := s.Status(); status.Failure == "" || !status.Drained {
		t.Fatalf("%+v", status)
	}
	writeFile(t, program, "y") // a program with another digest
	s.failureCheckedAt = time.Time{}
	if s.step(t.Context()); s.Status().Failure == "" {
		t.Error("a program with another digest cleared the failure")
	}
	writeFile(t, program, "x")
	s.failureCheckedAt = time.Time{}
	if s.step(t.Context()); s.Status().Failure != "" || !s.Status().Drained {
		t.Errorf("%+v", s.Status())
	}
}

// A share counts as applied only once the controller has accepted it. If acceptance by the supervisor were enough, a
// reduced share would be reported as applied while the controller still uses the larger one.
func TestShareIsAppliedOnceTheControllerHasAcceptedIt(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "program")
	writeFile(t, program, "x")
	s, err := New(Options{Name: "c1", StateDir: filepath.Join(dir, "state"), ProgramPath: program})
	if err != nil {
		t.Fatal(err)
	}
	var got []jobstats.Share
	healthy := false
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var p jobstats.Share
		if !healthy || json.NewDecoder(r.Body).Decode(&p) != nil {
			http.Error(w, "not now", http.StatusServiceUnavailable)
			return
		}
		got = append(got, p)
		w.WriteHeader(http.StatusNoContent)
	}))
	defer server.Close()
	c := &controller{
		program: s.order.Spec.Program,
		exited:  make(chan struct{}),
		address: strings.TrimPrefix(server.URL, "http://"),
	}
	c.report.Ready = true
	c.command = exec.Command("true")
	c.command.Process = &os.Process{Pid: os.Getpid()}
	s.current = c
	accept := func(sequence, share int64) {
		t.Helper()
		assigned := assignment.Assignment{Term: 1, Sequence: sequence, Leader: "a", Member: "c1", Incarnation: s.incarnation,
			Shares: quota.Shares{quota.FleetThreads: share, quota.TenantQuota("acme"): 7}, SharesUntil: monotonic.Now() + 60e9}
		if err := s.AcceptAssignment(assigned); err != nil {
			t.Fatal(err)
		}
	}
	accept(3, 500_000)
	if c.postShare(t.Context(), &s.httpClient, shareOf(s.assignment)) == nil || s.Status().AppliedAssignment != 0 {
		t.Error("a share that the controller did not accept counts as applied")
	}
	healthy = true
	if c.postShare(t.Context(), &s.httpClient, shareOf(s.assignment)) != nil || len(got) != 1 ||
		got[0].PerMillion != 500_000 ||
		got[0].TenantQuotas["acme"] != 7 {
		t.Fatalf("%+v", got)
	}
	c.appliedAssignment = assignmentID{term: 1, sequence: 3}
	if s.Status().AppliedAssignment != 3 {
		t.Error("a share that the controller accepted does not count as applied")
	}
	if accept(4, 100_000); s.Status().AppliedAssignment != 0 {
		t.Error("the next share counts as applied before the controller has accepted it")
	}
	s.draining = append(s.draining, &controller{command: c.command})
	c.appliedAssignment = assignmentID{term: 1, sequence: 4}
	if s.Status().AppliedAssignment != 0 {
		t.Error("a share counts as applied while a draining process applies an earlier one")
	}
}

func TestErrorsOfOrdersHaveTypes(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "program")
	writeFile(t, program, "x")
	s, err := New(Options{Name: "c1", StateDir: filepath.Join(dir, "state"), ProgramPath: program})
	if err != nil {
		t.Fatal(err)
	}
	var wrongMember *WrongMemberError
	err = s.AcceptOrder(change.Order{Member: "c2"})
	if !errors.As(err, &wrongMember) || wrongMember.Addressed != "c2" || wrongMember.Reached != "c1" {
		t.Errorf("order for another member: %v", err)
	}
	ordered := s.order.Spec.Program
	writeFile(t, program, "y")
	if s.verifyProgram(ordered) || !strings.Contains(s.failure, string(ordered.Digest)) {
		t.Errorf("program with another digest: %q", s.failure)
	}
	if err := os.RemoveAll(filepath.Join(dir, "state")); err != nil {
		t.Fatal(err)
	}
	order := newOrder(1, ordered, firstTopology, "")
	if err := s.AcceptOrder(order); !errors.Is(err, ErrOrderNotRecorded) {
		t.Errorf("missing state directory: %v", err)
	}
}
