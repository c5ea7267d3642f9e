package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"swiftreel/internal/change"
	"swiftreel/internal/coordinator"
	"swiftreel/internal/rollout"
	"swiftreel/internal/supervisor"
	"swiftreel/internal/testcluster"
)

const (
	shortBake = 300 * time.Millisecond  // minimum bake time of a stage
	longBake  = 1500 * time.Millisecond // leaves time to interrupt a stage while it bakes
	stepLimit = 40 * time.Second        // longest wait within a step
)

// fleet is the cluster of a scenario, with the version of each supervisor and the number of the last change.
type fleet struct {
	cluster       *testcluster.Cluster
	base, current build
	versions      map[string]build // supervisor version by member
	load          load
	logs          map[string]string // logs of earlier supervisor processes by member
	number        int64             // number of the last change
	stopped       bool
}

func newFleet(cluster *testcluster.Cluster, base, current build, config testcluster.Config) *fleet {
	f := &fleet{cluster: cluster, base: base, current: current, versions: map[string]build{}, load: load{cluster: cluster},
		logs: map[string]string{}}
	for i, m := range cluster.Members {
		f.versions[m.Name] = base
		if config.SupervisorPrograms[i] == current.program() {
			f.versions[m.Name] = current
		}
	}
	f.load.start()
	return f
}

// other returns the version that is not b.
func (f *fleet) other(b build) build {
	if b == f.base {
		return f.current
	}
	return f.base
}

// recordFolder returns the directory in which coordinators of both versions record changes.
func (f *fleet) recordFolder() string { return filepath.Join(f.cluster.Dir, "record") }

// record reads the record of the last change. It returns a zero record if it cannot be read.
func (f *fleet) record() coordinator.Record {
	r, _, err := coordinator.OpenUnlocked(f.recordFolder()).Record()
	if err != nil {
		return coordinator.Record{}
	}
	return r
}

// nextSettings returns the field "to" of a settings change that differs from all earlier ones.
func (f *fleet) nextSettings() string { return fmt.Sprintf(`{"shape":{"budget_free":%d}}`, f.number+1) }

// toProgram returns the field "to" of a program change.
func toProgram(b build) string { return fmt.Sprintf(`{"program":%q}`, b.program()) }

// writeChange writes the change file of the next change.
func (f *fleet) writeChange(kind change.Kind, to string, bake time.Duration) (string, error) {
	f.number++
	return f.cluster.WriteQuickChange(f.number, kind, to, bake)
}

// startChange writes the next change and starts a coordinator of the given version on it.
func (f *fleet) startChange(by build, kind change.Kind, to string, bake time.Duration) (*testcluster.Process, error) {
	file, err := f.writeChange(kind, to, bake)
	if err != nil {
		return nil, err
	}
	return f.cluster.StartCoordinator(by.program(), f.recordFolder(), "start", file)
}

// changeSettings returns an action that rolls out a settings change with a coordinator of the given version.
func (f *fleet) changeSettings(coordinator build) action {
	return func() (string, error) { return f.change(coordinator, change.KindSettings, f.nextSettings()) }
}

// changeProgram returns an action that rolls out the program of a version with a coordinator of the given version.
func (f *fleet) changeProgram(coordinator, to build) action {
	return func() (string, error) { return f.change(coordinator, change.KindProgram, toProgram(to)) }
}

// change rolls a change out with a coordinator of the given version and waits until it has succeeded.
func (f *fleet) change(by build, kind change.Kind, to string) (string, error) {
	p, err := f.startChange(by, kind, to, shortBake)
	if err != nil {
		return "", err
	}
	return f.awaitSuccess(p)
}

// awaitSuccess waits until a coordinator exits without an error, and checks that all members run the change.
func (f *fleet) awaitSuccess(p *testcluster.Process) (string, error) {
	if err := p.WaitExit(); err != nil {
		return "", fmt.Errorf("coordinator failed: %w: %s", err, lastLines(p.Log()))
	}
	return f.checkDone(f.record())
}

// checkDone checks that the last change is recorded as done and that every member runs its target spec.
func (f *fleet) checkDone(r coordinator.Record) (string, error) {
	if r.Change.Number != f.number || r.State.Phase != rollout.PhaseDone {
		return "", fmt.Errorf("change %d is recorded as %s, want change %d done: %s",
			r.Change.Number, r.State.Phase, f.number, r.State.Outcome)
	}
	return f.awaitRunning(r.ToSpec, r.Change.Number)
}

// awaitRunning waits until every member runs a spec because of an order of the change with that number.
func (f *fleet) awaitRunning(spec change.Spec, number int64) (string, error) {
	for _, m := range f.cluster.Members {
		var last supervisor.Status
		err := f.cluster.WaitUntil(stepLimit, func() bool {
			s, err := f.cluster.Status(m)
			last = s
			return err == nil && s.Serving && s.RunningSpec == spec.Digest() && s.Fence.Number == number
		})
		if err != nil {
			return "", fmt.Errorf("%s runs %s by order %v, want %s by an order of change %d: %w",
				m.Name, last.RunningSpec, last.Fence, spec.Digest(), number, err)
		}
	}
	return fmt.Sprintf("change %d on all %d", number, len(f.cluster.Members)), nil
}

// upgradeAll restarts the supervisors one by one as another version, each on its existing state directory.
func (f *fleet) upgradeAll(to build) (string, error) {
	start := time.Now()
	for _, m := range f.cluster.Members {
		if err := f.upgrade(m, to); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d, in %v", len(f.cluster.Members), time.Since(start).Round(100*time.Millisecond)), nil
}

// restart stops a member's supervisor, calls between, and starts a supervisor of the given version.
func (f *fleet) restart(m *testcluster.Member, to build, between func() error) error {
	if err := f.cluster.DrainMember(m); err != nil {
		return err
	}
	f.logs[m.Name] += m.Supervisor.Log()
	if err := between(); err != nil {
		return err
	}
	f.versions[m.Name] = to
	return f.cluster.UpgradeSupervisor(m, to.program())
}

// log returns everything that a member's supervisors and their controllers have logged.
func (f *fleet) log(m *testcluster.Member) string { return f.logs[m.Name] + m.Supervisor.Log() }

// logErrors returns the log lines of level ERROR of all members.
func (f *fleet) logErrors() string {
	var lines []string
	for _, m := range f.cluster.Members {
		for line := range strings.Lines(f.log(m)) {
			if strings.Contains(line, "level=ERROR") {
				lines = append(lines, m.Name+": "+strings.TrimSpace(line))
			}
		}
	}
	return strings.Join(lines, " | ")
}

// writeLogs writes the logs of all members to a directory.
func (f *fleet) writeLogs(dir, scenario string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	for _, m := range f.cluster.Members {
		path := filepath.Join(dir, scenario+"-"+m.Name+".log")
		if err := os.WriteFile(path, []byte(f.log(m)), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// upgrade restarts a member's supervisor as another version. It checks that the controller runs the same spec as
// before and that the supervisor's persistent state is unchanged.
func (f *fleet) upgrade(member *testcluster.Member, to build) error {
	before, err := f.cluster.Status(member)
	if err != nil {
		return err
	}
	if err := f.restart(member, to, func() error { return nil }); err != nil {
		return err
	}
	var after supervisor.Status
	err = f.cluster.WaitUntil(stepLimit, func() bool {
		status, err := f.cluster.Status(member)
		after = status
		return err == nil && status.RunningSpec == before.RunningSpec
	})
	if err != nil {
		return fmt.Errorf("%s runs %s after its restart, %s before: %w",
			member.Name, after.RunningSpec, before.RunningSpec, err)
	}
	if then, now := restartStateOf(before), restartStateOf(after); then != now {
		return fmt.Errorf("%s has state %+v after its restart, %+v before", member.Name, now, then)
	}
	return nil
}

// restartState is the state that a supervisor must keep across a restart.
type restartState struct {
	fence     change.Fence
	orderedBy string
	spec      change.Digest
	version   string // of the program that it starts
}

func restartStateOf(s supervisor.Status) restartState {
	return restartState{s.Fence, s.OrderedBy, s.Spec.Digest(), s.Version}
}

// await waits until a condition holds. It fails early if process, which may be nil, exits before that.
func (f *fleet) await(what string, process *testcluster.Process, is func() bool) error {
	ended := false
	err := f.cluster.WaitUntil(stepLimit, func() bool {
		if is() {
			return true
		}
		ended = process != nil && process.Exited()
		return ended
	})
	switch {
	case err != nil:
		return fmt.Errorf("%s: %w", what, err)
	case ended && !is():
		return fmt.Errorf("%s: coordinator exited: %s", what, lastLines(process.Log()))
	}
	return nil
}

// tailLines is the number of log lines in an error message.
const tailLines = 6

// lastLines returns the last lines of a log, joined into one line.
func lastLines(log string) string {
	lines := strings.Split(strings.TrimSpace(log), "\n")
	return strings.Join(lines[max(0, len(lines)-tailLines):], " | ")
}

// load is the client load of a fleet. It can be paused.
type load struct {
	cluster *testcluster.Cluster
	all     []*testcluster.Load // the last one is running unless paused
	paused  bool
}

const (
	loadClients = 2
	loadPause   = 20 * time.Millisecond
)

func (l *load) start() {
	l.all = append(l.all, l.cluster.StartLoad(uint64(len(l.all))+1, loadClients, loadPause, true))
	l.paused = false
}

func (l *load) stop() {
	if !l.paused {
		l.all[len(l.all)-1].Stop()
		l.paused = true
	}
}

// jobs counts the jobs of all clients so far by how they ended.
type jobs struct{ done, throttled, cancelled, broken int64 }

func (j jobs) sum() int64 { return j.done + j.throttled + j.cancelled + j.broken }

func (l *load) jobs() (j jobs) {
	for _, one := range l.all {
		j.done += one.Done.Load()
		j.throttled += one.Throttled.Load()
		j.cancelled += one.Cancelled.Load()
		j.broken += one.Broken.Load()
	}
	return j
}

var errNoMember = errors.New("no voter runs the version that should rejoin")
