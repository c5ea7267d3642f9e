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

// A plan is rolled out like settings, and later changes keep it; a change with a lower number is refused.
func TestAPlanGoesThroughAFleet(t *testing.T) {
	t.Parallel()
	cluster, load := newCluster(t, 2)
	folder := filepath.Join(cluster.Dir, "record")
	runCommand(
		t,
		cluster,
		"solve",
		writeFile(t, cluster, "problem.json", planningProblem),
		"--out",
		filepath.Join(cluster.Dir, "plan.json"),
		"--time",
		"20s",
	)
	coordinated := func(file, text string) (string, error) {
		process, err := cluster.StartCoordinator(currentProgram, folder, "start", writeFile(t, cluster, file, text))
		if err != nil {
			t.Fatal(err)
		}
		err = process.WaitExit()
		return process.Log(), err
	}
	planChange := fmt.Sprintf(`{"number":2,"kind":"plan","to":{"plan":"plan.json"},%s}`, timingAndLimits)
	if text, err := coordinated("change.json", planChange); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	if text, err := coordinated("next.json", settingsChange(3)); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	if !everyStatus(t, cluster, func(s supervisor.Status) bool {
		return len(s.Spec.Plan) > 0 && len(s.Spec.Topology) > 0 && s.RunningSpec == s.Spec.Digest() &&
			s.Fence.Number == 3
	}) {
		t.Error("not all run both")
	}
	for _, m := range cluster.Members {
		if strings.Count(m.Supervisor.Log(), "msg=plan_taken") != 1 { // a change that keeps the plan does not apply it again
			t.Errorf("%s: %s", m.Name, m.Supervisor.Log())
		}
	}
	if text, err := coordinated("late.json", settingsChange(1)); err == nil ||
		!strings.Contains(text, "has taken order") {
		t.Errorf("an earlier number: %v: %s", err, text)
	}
	stopAndCheckRules(t, cluster, load)
}

// A plan from the operator's file expires during a change; the change completes nevertheless.
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
	cluster := startCluster(t, testcluster.Config{
		Program:        currentProgram,
		Seed:           9,
		Controllers:    2,
		Engines:        2,
		OperatorFields: fmt.Sprintf(`"plan":{"file":%q,"until_boot_ns":%d},`, filepath.Join(dir, "plan.json"), ends),
	})
	load := cluster.StartLoad(1, 1, 10*time.Millisecond, false)
	folder := filepath.Join(cluster.Dir, "record")
	process := startRollout(t, cluster, currentProgram, folder,
		strings.Replace(settingsChange(1), `"bake_ms":300`, `"bake_ms":4000`, 1))
	waitUntil(t, cluster, "the first stage bakes", func() bool {
		return recordedState(folder).Phase == rollout.PhaseBaking || process.Exited()
	})
	if monotonic.Now() > ends {
		t.Log("the machine is slow: the plan ended before the first stage")
	}
	if err := process.WaitExit(); err != nil || recordedState(folder).Phase != rollout.PhaseDone {
		t.Fatalf("%v: %s", err, process.Log())
	}
	for _, m := range cluster.Members {
		waitUntil(t, cluster, "its plan has ended", func() bool {
			return strings.Count(m.Supervisor.Log(), "msg=plan_ended") == 1
		})
		if strings.Count(m.Supervisor.Log(), "msg=plan_taken") != 1 {
			t.Errorf("%s", m.Supervisor.Log())
		}
	}
	stopAndCheckRules(t, cluster, load)
}
