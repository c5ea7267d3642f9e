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
	w, l := newCluster(t, 3)
	folder := filepath.Join(w.Dir, "record")
	neverPasses := strings.Replace(timingAndLimits, `"jobs_wanted":5`, `"jobs_wanted":100000`, 1)
	program := fmt.Sprintf(`{"number":1,"kind":"program","to":{"program":%q},%s}`, crashingProgram, neverPasses)
	p := startRollout(t, w, currentProgram, folder, program)
	err := p.WaitExit()
	if exitCode(err) != exitRolledBack {
		t.Fatalf("%v: %s", err, p.Log())
	}
	if s := recordedState(folder); s.Phase != rollout.PhaseReverted || s.Stage != 0 ||
		!strings.Contains(s.Outcome, "ended or failed to start") {
		t.Errorf("%+v", s)
	}
	if !everyStatus(t, w, func(s supervisor.Status) bool { return s.Version == "dev" && s.Serving }) {
		t.Error("not all are back")
	}
	stopAndCheckRules(t, w, l)
}

func TestAnUnreachableMemberConvergesOnceItAnswers(t *testing.T) {
	t.Parallel()
	w, l := newCluster(t, 3)
	folder := filepath.Join(w.Dir, "record")
	p := startRollout(t, w, currentProgram, folder, settingsChange(1))
	waitUntil(t, w, "the first stage bakes", func() bool {
		return recordedState(folder).Phase == rollout.PhaseBaking || p.Exited()
	})
	r, _, _ := coordinator.UnlockedFolder(folder).Record()
	var far *testcluster.Member
	for _, m := range w.Members {
		if !strings.Contains(fmt.Sprint(r.Stages[0]), m.Name) {
			far = m
		}
	}
	far.Link.SetMode(testcluster.LinkOneWay, 0) // it is asked, and its answers are lost
	waitUntil(t, w, "all that can be reached have passed", func() bool {
		return recordedState(folder).Phase == rollout.PhaseFinishing || p.Exited()
	})
	if p.Exited() {
		t.Fatalf("it ended without one: %s", p.Log())
	}
	far.Link.SetMode(testcluster.LinkUp, 0)
	if err := p.WaitExit(); err != nil || recordedState(folder).Phase != rollout.PhaseDone {
		t.Fatalf("%v: %s", err, p.Log())
	}
	if !everyStatus(t, w, func(s supervisor.Status) bool { return s.RunningSpec == r.ToSpec.Digest() }) {
		t.Error("not all run it")
	}
	stopAndCheckRules(t, w, l)
}

// While a controller cannot be reached the change is taken back by hand; it converges when it is heard again. Meanwhile
// somebody sends signals by hand.
func TestRollbackWhileSomeAreUnreachable(t *testing.T) {
	t.Parallel()
	w, l := newCluster(t, 3)
	folder := filepath.Join(w.Dir, "record")
	neverPasses := strings.Replace(settingsChange(1), `"jobs_wanted":5`, `"jobs_wanted":1000000`, 1)
	failsSoon := strings.Replace(neverPasses, `"apply_ms":20000`, `"apply_ms":5000`, 1)
	p := startRollout(t, w, currentProgram, folder, failsSoon)
	waitUntil(t, w, "the first stage bakes", func() bool {
		return recordedState(folder).Phase == rollout.PhaseBaking || p.Exited()
	})
	r, _, _ := coordinator.UnlockedFolder(folder).Record()
	var far *testcluster.Member
	for _, m := range w.Members {
		if m.Name == r.Stages[0][0] {
			far = m
		} else if s, err := w.Status(m); err == nil && s.PID > 0 {
			signalProcess(t, s.PID, syscall.SIGHUP) // as by hand: the same file is read once more
		}
	}
	far.Link.SetMode(testcluster.LinkSilent, 0)
	if err := coordinator.UnlockedFolder(folder).Submit(rollout.RequestRollback); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, w, "it is stuck, and names the one", func() bool {
		s := recordedState(folder)
		return s.Phase == rollout.PhaseDegraded && strings.Contains(s.Reason, far.Name) || p.Exited()
	})
	far.Link.SetMode(testcluster.LinkUp, 0)
	err := p.WaitExit()
	if exitCode(err) != exitRolledBack || recordedState(folder).Phase != rollout.PhaseReverted {
		t.Fatalf("%v, %+v: %s", err, recordedState(folder), p.Log())
	}
	if !everyStatus(
		t,
		w,
		func(s supervisor.Status) bool { return s.RunningSpec == r.FromSpec.Digest() && s.Crashes == 0 },
	) {
		t.Error("not all are back")
	}
	stopAndCheckRules(t, w, l)
}
