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
	cluster, load := newCluster(t, 2)
	folder := filepath.Join(cluster.Dir, "record")
	process := startRollout(t, cluster, currentProgram, folder,
		strings.Replace(settingsChange(1), `"base_ms":1000`, `"base_ms":3000`, 1))
	waitUntil(t, cluster, "the baseline is observed", func() bool {
		return recordedState(folder).Phase == rollout.PhaseBaseline || process.Exited()
	})
	if err := os.Rename(folder, folder+".gone"); err != nil { // as with a full disk, nothing can be written
		t.Fatal(err)
	}
	waitUntil(t, cluster, "the failure is logged", func() bool {
		return strings.Contains(process.Log(), "rollout_not_recorded") || process.Exited()
	})
	r, _, _ := coordinator.OpenUnlocked(folder + ".gone").Record()
	if !everyStatus(t, cluster, func(s supervisor.Status) bool {
		return s.RunningSpec == r.FromSpec.Digest() && s.Fence.Compare(r.State.Fence) <= 0
	}) {
		t.Error("orders were sent for a state that was not recorded")
	}
	if err := os.Rename(folder+".gone", folder); err != nil {
		t.Fatal(err)
	}
	if err := process.WaitExit(); err != nil || recordedState(folder).Phase != rollout.PhaseDone {
		t.Fatalf("%v: %s", err, process.Log())
	}
	stopAndCheckRules(t, cluster, load)
}

// The disks of the coordinator and the supervisors are full or slow in turn, wall clocks differ by 14 minutes, and
// controllers start slowly: the rollout waits until the faults are gone, and reaches all controllers.
func TestDisksThatAreFullOrSlowAndClocksApart(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, testcluster.Config{
		Program:       faultProgram,
		Seed:          3,
		Controllers:   3,
		Engines:       2,
		StartDelayMS:  300,
		ClockOffsetMS: map[int]int{0: -420_000, 2: 420_000},
	})
	load := cluster.StartLoad(1, 1, 10*time.Millisecond, false)
	disk := func(name, how string) {
		t.Helper()
		if err := cluster.SetDisk(name, how); err != nil {
			t.Fatal(err)
		}
	}
	folder := filepath.Join(cluster.Dir, "record")
	process := startRollout(t, cluster, faultProgram, folder, settingsChange(1))
	waitUntil(t, cluster, "the baseline is observed", func() bool {
		return recordedState(folder).Phase == rollout.PhaseBaseline || process.Exited()
	})
	disk(testcluster.CoordinatorDisk, "full")
	waitUntil(t, cluster, "the failure is logged", func() bool {
		return strings.Contains(process.Log(), "rollout_not_recorded") || process.Exited()
	})
	for _, m := range cluster.Members {
		disk(m.Name, "full")
	}
	disk(testcluster.CoordinatorDisk, "300ms")
	waitUntil(t, cluster, "a supervisor refuses an order that it cannot record", func() bool {
		return strings.Contains(process.Log(), "order_not_taken") || process.Exited()
	})
	if at := recordedState(folder).Fence; !strings.Contains(process.Log(), "507") ||
		!everyStatus(t, cluster, func(s supervisor.Status) bool { return s.Fence.Compare(at) < 0 }) {
		t.Errorf("%s", process.Log())
	}
	for _, m := range cluster.Members {
		disk(m.Name, "300ms")
	}
	if err := process.WaitExit(); err != nil || recordedState(folder).Phase != rollout.PhaseDone {
		t.Fatalf("%v: %s", err, process.Log())
	}
	r, _, _ := coordinator.OpenUnlocked(folder).Record()
	if !everyStatus(
		t,
		cluster,
		func(s supervisor.Status) bool { return s.RunningSpec == r.ToSpec.Digest() && s.Crashes == 0 },
	) {
		t.Error("not all run it")
	}
	stopAndCheckRules(t, cluster, load)
}

// A supervisor records its order and is killed before it replies; meanwhile a controller on the old version is
// terminated by hand. The rollout completes nevertheless.
func TestAMemberThatDiesWithItsOrder(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, testcluster.Config{Program: faultProgram, Seed: 13, Controllers: 3, Engines: 2})
	load := cluster.StartLoad(13, 1, 10*time.Millisecond, false)
	folder := filepath.Join(cluster.Dir, "record")
	process := startRollout(t, cluster, faultProgram, folder,
		strings.Replace(settingsChange(1), `"bake_ms":300`, `"bake_ms":1000`, 1))
	waitUntil(t, cluster, "the first stage bakes", func() bool {
		return recordedState(folder).Phase == rollout.PhaseBaking || process.Exited()
	})
	r, _, _ := coordinator.OpenUnlocked(folder).Record()
	var next, old *testcluster.Member
	for _, m := range cluster.Members {
		if !slices.Contains(r.Stages[0], m.Name) {
			next, old = m, next
		}
	}
	if next == nil || old == nil {
		t.Fatalf("%v", r.Stages)
	}
	s, err := cluster.Status(old)
	if err != nil {
		t.Fatal(err)
	}
	signalProcess(t, s.PID, syscall.SIGTERM) // by hand: its supervisor restarts it
	if err := cluster.SetDisk(next.Name, "400ms"); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, cluster, "the order is recorded, but not acknowledged", func() bool {
		text, _ := os.ReadFile(filepath.Join(cluster.Dir, next.Name, "held.json"))
		return strings.Contains(string(text), `"budget_free"`) || process.Exited()
	})
	next.Supervisor.Kill()
	if err := cluster.SetDisk(next.Name, ""); err != nil {
		t.Fatal(err)
	}
	if err := cluster.StartSupervisor(next); err != nil {
		t.Fatal(err)
	}
	if err := process.WaitExit(); err != nil || recordedState(folder).Phase != rollout.PhaseDone {
		t.Fatalf("%v, %+v: %s", err, recordedState(folder), process.Log())
	}
	if !everyStatus(t, cluster, func(s supervisor.Status) bool {
		return s.RunningSpec == r.ToSpec.Digest() && s.Serving
	}) {
		t.Error("not all run it")
	}
	stopAndCheckRules(t, cluster, load)
}

// A supervisor may tell a controller to reload just after it has started it. SIGHUP would end the controller, so the
// supervisor ignores it, and the controller inherits that until it installs its own handler.
func TestControllersDoNotEndByAnEarlyHangup(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, testcluster.Config{Program: currentProgram, Seed: 12, Controllers: 1, Engines: 1})
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cluster.Members[0].Supervisor.Pid()))
	if err != nil {
		t.Fatal(err)
	}
	var ignored uint64
	for line := range strings.Lines(string(status)) {
		_, _ = fmt.Sscanf(line, "SigIgn: %x", &ignored) // fails for all lines but one
	}
	if ignored&(1<<(uint(syscall.SIGHUP)-1)) == 0 {
		t.Errorf("SIGHUP is not among the signals that the supervisor ignores: %x", ignored)
	}
	if err := cluster.Stop(); err != nil {
		t.Error(err)
	}
}
