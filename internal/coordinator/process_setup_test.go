package coordinator_test

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"swiftreel/internal/coordinator"
	"swiftreel/internal/rollout"
	"swiftreel/internal/rulecheck"
	"swiftreel/internal/supervisor"
	"swiftreel/internal/testcluster"
)

// The process_*_test.go files run real processes: controllers with supervisors, and coordinators, with faults between
// them. Tests wait for observed states and do not depend on durations.

var currentProgram, crashingProgram, otherProgram, faultProgram, previousProgram string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "coordinator")
	if err != nil {
		panic(err)
	}
	currentProgram, crashingProgram, otherProgram = filepath.Join(
		dir,
		"swiftreel",
	), filepath.Join(
		dir,
		"dying",
	), filepath.Join(
		dir,
		"other",
	)
	faultProgram, previousProgram = filepath.Join(
		dir,
		"steered",
		"swiftreel",
	), filepath.Join(
		dir,
		"before",
		"swiftreel",
	)
	const fleet, set = "swiftreel-fleet", "-X swiftreel/internal/version.Name="
	var wait sync.WaitGroup
	failed := atomic.Bool{}
	build := func(out, of string, args ...string) {
		wait.Go(func() {
			c := exec.Command("go", append(append([]string{"build", "-o", out}, args...), "swiftreel/cmd/"+of)...)
			if text, err := c.CombinedOutput(); err != nil {
				fmt.Fprintf(os.Stderr, "%v: %s\n", err, text)
				failed.Store(true)
			}
		})
	}
	build(currentProgram, "swiftreel")
	build(filepath.Join(dir, fleet), fleet)
	build(otherProgram, "swiftreel", "-ldflags", set+"other")
	build(
		crashingProgram,
		"swiftreel",
		"-tags",
		"fault",
		"-ldflags",
		set+"dying -X swiftreel/internal/failpoint.name=dies",
	)
	for _, of := range []string{"swiftreel", fleet} {
		build(
			filepath.Join(filepath.Dir(faultProgram), of),
			of,
			"-tags",
			"fault",
			"-ldflags",
			"-X swiftreel/internal/failpoint.name=steered",
		)
		build(filepath.Join(filepath.Dir(previousProgram), of), of, "-tags", "format1")
	}
	if wait.Wait(); failed.Load() {
		os.Exit(1)
	}
	code := m.Run()
	if err := os.RemoveAll(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

// Exit codes of swiftreel rollout, on which operators' scripts depend.
const (
	exitRolledBack = 4
	exitFenced     = 6
)

// exitCode returns the exit code of a process from the error of its end, or -1.
func exitCode(err error) int {
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode()
	}
	return -1
}

func signalProcess(t *testing.T, pid int, signal syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(pid, signal); err != nil {
		t.Fatal(err)
	}
}

const timingAndLimits = `"pace":{"base_ms":1000,"bake_ms":300,"most_ms":60000,"apply_ms":20000,"steady_ms":1,` +
	`"unheard_ms":3000,"look_ms":30},"limits":{"jobs_wanted":5,"shared_per_mille":900,"slower_per_mille":900,` +
	`"missed_per_mille":900,"cpu_percent":5000,"memory_percent":5000}`

// startCluster starts a cluster that is closed at the end of the test.
func startCluster(t *testing.T, config testcluster.Config) *testcluster.Cluster {
	t.Helper()
	cluster, err := config.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	return cluster
}

func newCluster(t *testing.T, n int) (*testcluster.Cluster, *testcluster.Load) {
	t.Helper()
	cluster := startCluster(t, testcluster.Config{Program: currentProgram, Seed: 1, Controllers: n, Engines: 2})
	return cluster, cluster.StartLoad(1, 1, 10*time.Millisecond, false)
}

func writeFile(t *testing.T, cluster *testcluster.Cluster, name, text string) string {
	t.Helper()
	path := filepath.Join(cluster.Dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// startRollout writes a change file and starts a coordinator for it.
func startRollout(t *testing.T, cluster *testcluster.Cluster, program, folder, change string) *testcluster.Process {
	t.Helper()
	process, err := cluster.StartCoordinator(program, folder, "start", writeFile(t, cluster, "change.json", change))
	if err != nil {
		t.Fatal(err)
	}
	return process
}

func settingsChange(number int) string {
	return fmt.Sprintf(
		`{"number":%d,"kind":"settings","to":{"shape":{"budget_free":%d}},%s}`,
		number,
		number,
		timingAndLimits,
	)
}

func waitUntil(t *testing.T, cluster *testcluster.Cluster, what string, condition func() bool) {
	t.Helper()
	if err := cluster.WaitUntil(40*time.Second, condition); err != nil {
		t.Fatalf("%s: %v", what, err)
	}
}

func recordedState(folder string) rollout.State {
	r, _, _ := coordinator.OpenUnlocked(folder).Record()
	return r.State
}

// stopAndCheckRules stops the load and the cluster, and checks the recorded events against the rules.
func stopAndCheckRules(t *testing.T, cluster *testcluster.Cluster, load *testcluster.Load) {
	t.Helper()
	load.Stop()
	if err := cluster.Stop(); err != nil {
		t.Error(err)
	}
	for _, v := range rulecheck.Check(testcluster.Rules, cluster.Events.Entries()) {
		t.Error(v)
	}
	if load.Done.Load() == 0 {
		t.Error("no job was done")
	}
}

func everyStatus(t *testing.T, cluster *testcluster.Cluster, condition func(supervisor.Status) bool) bool {
	t.Helper()
	for _, m := range cluster.Members {
		if s, err := cluster.Status(m); err != nil || !condition(s) {
			return false
		}
	}
	return true
}
