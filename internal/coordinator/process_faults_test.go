package coordinator_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"swiftreel/internal/coordinator"
	"swiftreel/internal/rollout"
	"swiftreel/internal/supervisor"
	"swiftreel/internal/testcluster"
)

func TestNothingIsOrderedThatCannotBeRecorded(t *testing.T) {
	t.Parallel()
	w, l := newCluster(t, 2)
	folder := filepath.Join(w.Dir, "record")
	p := startRollout(t, w, currentProgram, folder,
		strings.Replace(settingsChange(1), `"base_ms":1000`, `"base_ms":3000`, 1))
	waitUntil(t, w, "all are watched", func() bool {
		return recordedState(folder).Phase == rollout.PhaseBaseline || p.Exited()
	})
	if err := os.Rename(folder, folder+".gone"); err != nil { // as a full disk does: nothing can be written
		t.Fatal(err)
	}
	waitUntil(t, w, "it says so", func() bool {
		return strings.Contains(p.Log(), "rollout_not_recorded") || p.Exited()
	})
	r, _, _ := coordinator.UnlockedFolder(folder + ".gone").Record()
	if !everyStatus(t, w, func(s supervisor.Status) bool {
		return s.RunningSpec == r.FromSpec.Digest() && s.Fence.Compare(r.State.Fence) <= 0
	}) {
		t.Error("orders went out past the record")
	}
	if err := os.Rename(folder+".gone", folder); err != nil {
		t.Fatal(err)
	}
	if err := p.WaitExit(); err != nil || recordedState(folder).Phase != rollout.PhaseDone {
		t.Fatalf("%v: %s", err, p.Log())
	}
	stopAndCheckRules(t, w, l)
}

// Disks that are full or slow at one place after the other, times of day a quarter of an hour apart, controllers that
// take their time to start: the change waits for what is mended, and reaches all.
func TestDisksThatAreFullOrSlowAndClocksApart(t *testing.T) {
	t.Parallel()
	w, err := testcluster.Config{
		Program:       steeredProgram,
		Seed:          3,
		Controllers:   3,
		Engines:       2,
		StartDelayMS:  300,
		ClockOffsetMS: map[int]int{0: -420_000, 2: 420_000},
	}.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	l := w.StartLoad(1, 1, 10*time.Millisecond, false)
	disk := func(name, how string) {
		t.Helper()
		if err := w.SetDisk(name, how); err != nil {
			t.Fatal(err)
		}
	}
	folder := filepath.Join(w.Dir, "record")
	p := startRollout(t, w, steeredProgram, folder, settingsChange(1))
	waitUntil(t, w, "all are watched", func() bool {
		return recordedState(folder).Phase == rollout.PhaseBaseline || p.Exited()
	})
	disk(testcluster.CoordinatorDisk, "full")
	waitUntil(t, w, "it says so", func() bool {
		return strings.Contains(p.Log(), "rollout_not_recorded") || p.Exited()
	})
	for _, m := range w.Members {
		disk(m.Name, "full")
	}
	disk(testcluster.CoordinatorDisk, "300ms")
	waitUntil(t, w, "a keeper refuses what it cannot record", func() bool {
		return strings.Contains(p.Log(), "order_not_taken") || p.Exited()
	})
	if at := recordedState(folder).Fence; !strings.Contains(p.Log(), "507") ||
		!everyStatus(t, w, func(s supervisor.Status) bool { return s.Fence.Compare(at) < 0 }) {
		t.Errorf("%s", p.Log())
	}
	for _, m := range w.Members {
		disk(m.Name, "300ms")
	}
	if err := p.WaitExit(); err != nil || recordedState(folder).Phase != rollout.PhaseDone {
		t.Fatalf("%v: %s", err, p.Log())
	}
	r, _, _ := coordinator.UnlockedFolder(folder).Record()
	if !everyStatus(
		t,
		w,
		func(s supervisor.Status) bool { return s.RunningSpec == r.ToSpec.Digest() && s.Crashes == 0 },
	) {
		t.Error("not all run it")
	}
	stopAndCheckRules(t, w, l)
}

// A keeper takes its order and dies before it says so, an old controller is ended by hand meanwhile: the change goes
// through.
func TestAMemberThatDiesWithItsOrder(t *testing.T) {
	t.Parallel()
	w, err := testcluster.Config{Program: steeredProgram, Seed: 13, Controllers: 3, Engines: 2}.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	l := w.StartLoad(13, 1, 10*time.Millisecond, false)
	folder := filepath.Join(w.Dir, "record")
	p := startRollout(t, w, steeredProgram, folder,
		strings.Replace(settingsChange(1), `"bake_ms":300`, `"bake_ms":1000`, 1))
	waitUntil(t, w, "the first stage bakes", func() bool {
		return recordedState(folder).Phase == rollout.PhaseBaking || p.Exited()
	})
	r, _, _ := coordinator.UnlockedFolder(folder).Record()
	var next, old *testcluster.Member
	for _, m := range w.Members {
		if !slices.Contains(r.Stages[0], m.Name) {
			next, old = m, next
		}
	}
	if next == nil || old == nil {
		t.Fatalf("%v", r.Stages)
	}
	s, err := w.Status(old)
	if err != nil {
		t.Fatal(err)
	}
	signalProcess(t, s.PID, syscall.SIGTERM) // by hand: its keeper starts it again
	if err := w.SetDisk(next.Name, "400ms"); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, w, "it is ordered, and has not said so", func() bool {
		text, _ := os.ReadFile(filepath.Join(w.Dir, next.Name, "held.json"))
		return strings.Contains(string(text), `"budget_free"`) || p.Exited()
	})
	next.Supervisor.Kill()
	if err := w.SetDisk(next.Name, ""); err != nil {
		t.Fatal(err)
	}
	if err := w.StartSupervisor(next); err != nil {
		t.Fatal(err)
	}
	if err := p.WaitExit(); err != nil || recordedState(folder).Phase != rollout.PhaseDone {
		t.Fatalf("%v, %+v: %s", err, recordedState(folder), p.Log())
	}
	if !everyStatus(t, w, func(s supervisor.Status) bool { return s.RunningSpec == r.ToSpec.Digest() && s.Serving }) {
		t.Error("not all run it")
	}
	stopAndCheckRules(t, w, l)
}

// A supervisor tells a controller to reload that it has just started: the controller inherits that SIGHUP is ignored,
// until it catches it.
func TestControllersDoNotEndByAnEarlyHangup(t *testing.T) {
	t.Parallel()
	w, err := testcluster.Config{Program: currentProgram, Seed: 12, Controllers: 1, Engines: 1}.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", w.Members[0].Supervisor.Pid()))
	if err != nil {
		t.Fatal(err)
	}
	var ignored uint64
	for line := range strings.Lines(string(status)) {
		_, _ = fmt.Sscanf(line, "SigIgn: %x", &ignored) // one line has it
	}
	if ignored&(1<<(uint(syscall.SIGHUP)-1)) == 0 {
		t.Errorf("a supervisor ignores the signals %x", ignored)
	}
	if err := w.Stop(); err != nil {
		t.Error(err)
	}
}
