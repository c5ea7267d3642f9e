package coordinator_test

import (
	"fmt"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"swiftreel/internal/coordinator"
	"swiftreel/internal/rollout"
	"swiftreel/internal/supervisor"
	"swiftreel/internal/testcluster"
)

func TestAProgramThatDiesIsRolledBack(t *testing.T) {
	t.Parallel()
	cluster, load := newCluster(t, 3)
	folder := filepath.Join(cluster.Dir, "record")
	neverPasses := strings.Replace(timingAndLimits, `"jobs_wanted":5`, `"jobs_wanted":100000`, 1)
	program := fmt.Sprintf(`{"number":1,"kind":"program","to":{"program":%q},%s}`, crashingProgram, neverPasses)
	process := startRollout(t, cluster, currentProgram, folder, program)
	err := process.WaitExit()
	if exitCode(err) != exitRolledBack {
		t.Fatalf("%v: %s", err, process.Log())
	}
	if s := recordedState(folder); s.Phase != rollout.PhaseReverted || s.Stage != 0 ||
		!strings.Contains(s.Outcome, "ended or failed to start") {
		t.Errorf("%+v", s)
	}
	if !everyStatus(t, cluster, func(s supervisor.Status) bool { return s.Version == "dev" && s.Serving }) {
		t.Error("not all run the old version")
	}
	stopAndCheckRules(t, cluster, load)
}

func TestAnUnreachableMemberConvergesOnceItAnswers(t *testing.T) {
	t.Parallel()
	cluster, load := newCluster(t, 3)
	folder := filepath.Join(cluster.Dir, "record")
	process := startRollout(t, cluster, currentProgram, folder, settingsChange(1))
	waitUntil(t, cluster, "the first stage bakes", func() bool {
		return recordedState(folder).Phase == rollout.PhaseBaking || process.Exited()
	})
	r, _, _ := coordinator.OpenUnlocked(folder).Record()
	var unreachable *testcluster.Member
	for _, m := range cluster.Members {
		if !strings.Contains(fmt.Sprint(r.Stages[0]), m.Name) {
			unreachable = m
		}
	}
	unreachable.Link.SetMode(testcluster.LinkOneWay, 0) // requests arrive, but replies are lost
	waitUntil(t, cluster, "all reachable members run the new version", func() bool {
		return recordedState(folder).Phase == rollout.PhaseFinishing || process.Exited()
	})
	if process.Exited() {
		t.Fatalf("the change ended without the unreachable member: %s", process.Log())
	}
	unreachable.Link.SetMode(testcluster.LinkUp, 0)
	if err := process.WaitExit(); err != nil || recordedState(folder).Phase != rollout.PhaseDone {
		t.Fatalf("%v: %s", err, process.Log())
	}
	if !everyStatus(t, cluster, func(s supervisor.Status) bool { return s.RunningSpec == r.ToSpec.Digest() }) {
		t.Error("not all run it")
	}
	stopAndCheckRules(t, cluster, load)
}

// A change is rolled back by an operator while a member is unreachable; that member follows once it is reachable again.
// Signals that are sent to the other controllers by hand make no difference.
func TestRollbackWhileSomeAreUnreachable(t *testing.T) {
	t.Parallel()
	cluster, load := newCluster(t, 3)
	folder := filepath.Join(cluster.Dir, "record")
	neverPasses := strings.Replace(settingsChange(1), `"jobs_wanted":5`, `"jobs_wanted":1000000`, 1)
	failsSoon := strings.Replace(neverPasses, `"apply_ms":20000`, `"apply_ms":5000`, 1)
	process := startRollout(t, cluster, currentProgram, folder, failsSoon)
	waitUntil(t, cluster, "the first stage bakes", func() bool {
		return recordedState(folder).Phase == rollout.PhaseBaking || process.Exited()
	})
	r, _, _ := coordinator.OpenUnlocked(folder).Record()
	var unreachable *testcluster.Member
	for _, m := range cluster.Members {
		if m.Name == r.Stages[0][0] {
			unreachable = m
		} else if s, err := cluster.Status(m); err == nil && s.PID > 0 {
			signalProcess(t, s.PID, syscall.SIGHUP) // as by hand: it reloads the same file
		}
	}
	unreachable.Link.SetMode(testcluster.LinkSilent, 0)
	if err := coordinator.OpenUnlocked(folder).Submit(rollout.RequestRollback); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, cluster, "the rollback is degraded, and the reason names the unreachable member", func() bool {
		s := recordedState(folder)
		return s.Phase == rollout.PhaseDegraded && strings.Contains(s.Reason, unreachable.Name) || process.Exited()
	})
	unreachable.Link.SetMode(testcluster.LinkUp, 0)
	err := process.WaitExit()
	if exitCode(err) != exitRolledBack || recordedState(folder).Phase != rollout.PhaseReverted {
		t.Fatalf("%v, %+v: %s", err, recordedState(folder), process.Log())
	}
	if !everyStatus(
		t,
		cluster,
		func(s supervisor.Status) bool { return s.RunningSpec == r.FromSpec.Digest() && s.Crashes == 0 },
	) {
		t.Error("not all run the old version")
	}
	stopAndCheckRules(t, cluster, load)
}
