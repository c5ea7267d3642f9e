package coordinator_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"swiftreel/internal/monotonic"
	"swiftreel/internal/rollout"
	"swiftreel/internal/supervisor"
	"swiftreel/internal/testcluster"
)

const planningProblem = `{
"engines":[{"name":"e1","kind":"std","zone":"east","cores":16,"memory_mb":32000},
 {"name":"e2","kind":"std","zone":"east","cores":16,"memory_mb":32000}],
"types":[{"name":"lookup","threads":1,"memory_mb":96,"work_ms":50,"value":1},
 {"name":"import","threads":1,"memory_mb":500,"work_ms":900,"value":10}],
"tenants":[{"name":"acme"}],"zones":[{"name":"east"}],"must":{},
"demand":[{"type":"lookup","tenant":"acme","zone":"east","jobs_per_1000s":30000}]}`

// A plan goes through a fleet as settings do, and a change after it takes it along; one with a lower number is refused.
func TestAPlanGoesThroughAFleet(t *testing.T) {
	t.Parallel()
	w, l := newCluster(t, 2)
	folder := filepath.Join(w.Dir, "record")
	runCommand(
		t,
		w,
		"solve",
		writeFile(t, w, "problem.json", planningProblem),
		"--out",
		filepath.Join(w.Dir, "plan.json"),
		"--time",
		"20s",
	)
	coordinated := func(file, text string) (string, error) {
		p, err := w.StartCoordinator(currentProgram, folder, "start", writeFile(t, w, file, text))
		if err != nil {
			t.Fatal(err)
		}
		err = p.WaitExit()
		return p.Log(), err
	}
	planChange := fmt.Sprintf(`{"number":2,"kind":"plan","to":{"plan":"plan.json"},%s}`, timingAndLimits)
	if text, err := coordinated("change.json", planChange); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	if text, err := coordinated("next.json", settingsChange(3)); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	if !everyStatus(t, w, func(s supervisor.Status) bool {
		return len(s.Spec.Plan) > 0 && len(s.Spec.Topology) > 0 && s.RunningSpec == s.Spec.Digest() &&
			s.Fence.Number == 3
	}) {
		t.Error("not all run both")
	}
	for _, m := range w.Members {
		if strings.Count(m.Supervisor.Log(), "msg=plan_taken") != 1 { // the same plan once more is no new one
			t.Errorf("%s: %s", m.Name, m.Supervisor.Log())
		}
	}
	if text, err := coordinated("late.json", settingsChange(1)); err == nil ||
		!strings.Contains(text, "has taken order") {
		t.Errorf("an earlier number: %v: %s", err, text)
	}
	stopAndCheckRules(t, w, l)
}

// A plan that the operator's file gives an end ends while a change is under way; the change goes through all the same.
func TestAPlanEndsInTheMidstOfAChange(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	file := filepath.Join(dir, "problem.json")
	if err := os.WriteFile(file, []byte(planningProblem), 0o600); err != nil {
		t.Fatal(err)
	}
	solve := exec.Command(currentProgram, "solve", file, "--out", filepath.Join(dir, "plan.json"), "--time", "20s")
	if text, err := solve.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	ends := monotonic.Now() + int64(6*time.Second)
	w, err := testcluster.Config{
		Program:        currentProgram,
		Seed:           9,
		Controllers:    2,
		Engines:        2,
		OperatorFields: fmt.Sprintf(`"plan":{"file":%q,"until_boot_ns":%d},`, filepath.Join(dir, "plan.json"), ends),
	}.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	l := w.StartLoad(1, 1, 10*time.Millisecond, false)
	folder := filepath.Join(w.Dir, "record")
	p := startRollout(t, w, currentProgram, folder,
		strings.Replace(settingsChange(1), `"bake_ms":300`, `"bake_ms":4000`, 1))
	waitUntil(t, w, "the first stage", func() bool {
		return recordedState(folder).Phase == rollout.PhaseBaking || p.Exited()
	})
	if monotonic.Now() > ends {
		t.Log("the machine is slow: it ended before the first stage")
	}
	if err := p.WaitExit(); err != nil || recordedState(folder).Phase != rollout.PhaseDone {
		t.Fatalf("%v: %s", err, p.Log())
	}
	for _, m := range w.Members {
		waitUntil(t, w, "its plan has ended", func() bool {
			return strings.Count(m.Supervisor.Log(), "msg=plan_ended") == 1
		})
		if strings.Count(m.Supervisor.Log(), "msg=plan_taken") != 1 {
			t.Errorf("%s", m.Supervisor.Log())
		}
	}
	stopAndCheckRules(t, w, l)
}
