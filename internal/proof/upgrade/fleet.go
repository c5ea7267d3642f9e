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
	quickBake = 300 * time.Millisecond  // minimum time of a stage
	longBake  = 1500 * time.Millisecond // of a stage in which something is to happen
	stepLimit = 40 * time.Second        // what a step waits for at most
)

// fleet is the cluster of a scenario, with the version of each supervisor and the changes made so far.
type fleet struct {
	cluster       *testcluster.Cluster
	base, current build
	versions      map[string]build // of supervisors, by member
	load          load
	logs          map[string]string // of supervisors that were restarted, by member
	number        int64             // of the last change
	stopped       bool
}

func newFleet(cluster *testcluster.Cluster, base, current build, plan testcluster.Config) *fleet {
	f := &fleet{cluster: cluster, base: base, current: current, versions: map[string]build{}, load: load{cluster: cluster},
		logs: map[string]string{}}
	for i, m := range cluster.Members {
		f.versions[m.Name] = base
		if plan.SupervisorPrograms[i] == current.program() {
			f.versions[m.Name] = current
		}
	}
	f.load.start()
	return f
}

// other is the version that b is not.
func (f *fleet) other(b build) build {
	if b == f.base {
		return f.current
	}
	return f.base
}

// folder is where coordinators of both versions record changes.
func (f *fleet) folder() string { return filepath.Join(f.cluster.Dir, "record") }

// record reads the change that was recorded last; a zero record where none can be read.
func (f *fleet) record() coordinator.Record {
	r, _, err := coordinator.UnlockedFolder(f.folder()).Record()
	if err != nil {
		return coordinator.Record{}
	}
	return r
}

// settings is the field "to" of a change of settings that none before it made.
func (f *fleet) settings() string { return fmt.Sprintf(`{"shape":{"budget_free":%d}}`, f.number+1) }

// toProgram is that of a change of the program.
func toProgram(b build) string { return fmt.Sprintf(`{"program":%q}`, b.program()) }

// writeChange writes the file of the next change.
func (f *fleet) writeChange(kind change.Kind, to string, bake time.Duration) (string, error) {
	f.number++
	return f.cluster.WriteQuickChange(f.number, kind, to, bake)
}

// begin starts a coordinator of one version on the next change.
func (f *fleet) begin(by build, kind change.Kind, to string, bake time.Duration) (*testcluster.Process, error) {
	file, err := f.writeChange(kind, to, bake)
	if err != nil {
		return nil, err
	}
	return f.cluster.StartCoordinator(by.program(), f.folder(), "start", file)
}

// settingsBy is a change of settings by a coordinator of one version.
func (f *fleet) settingsBy(coordinator build) action {
	return func() (string, error) { return f.change(coordinator, change.KindSettings, f.settings()) }
}

// programBy is a change of the program to that of a version.
func (f *fleet) programBy(coordinator, to build) action {
	return func() (string, error) { return f.change(coordinator, change.KindProgram, toProgram(to)) }
}

// change takes a change through the fleet by a coordinator of one version.
func (f *fleet) change(by build, kind change.Kind, to string) (string, error) {
	p, err := f.begin(by, kind, to, quickBake)
	if err != nil {
		return "", err
	}
	return f.finish(p)
}

// finish waits for a coordinator's success, and checks that all members run the change.
func (f *fleet) finish(p *testcluster.Process) (string, error) {
	if err := p.WaitExit(); err != nil {
		return "", fmt.Errorf("the coordinator ends with %w: %s", err, tail(p.Log()))
	}
	return f.reached(f.record())
}

// reached checks that a change is done, and that every member runs what it leads to.
func (f *fleet) reached(r coordinator.Record) (string, error) {
	if r.Change.Number != f.number || r.State.Phase != rollout.PhaseDone {
		return "", fmt.Errorf("change %d is recorded as %s, wanted is %d: %s",
			r.Change.Number, r.State.Phase, f.number, r.State.Outcome)
	}
	return f.running(r.ToSpec, r.Change.Number)
}

// running waits until every member runs a spec, by an order of the change of that number.
func (f *fleet) running(spec change.Spec, number int64) (string, error) {
	for _, m := range f.cluster.Members {
		var last supervisor.Status
		err := f.cluster.WaitUntil(stepLimit, func() bool {
			s, err := f.cluster.Status(m)
			last = s
			return err == nil && s.Serving && s.RunningSpec == spec.Digest() && s.Fence.Number == number
		})
		if err != nil {
			return "", fmt.Errorf("%s runs %s by order %v, wanted is %s by one of change %d: %w",
				m.Name, last.RunningSpec, last.Fence, spec.Digest(), number, err)
		}
	}
	return fmt.Sprintf("change %d on all %d", number, len(f.cluster.Members)), nil
}

// upgradeAll restarts the supervisors one by one as another version, each on its folder.
func (f *fleet) upgradeAll(to build) (string, error) {
	start := time.Now()
	for _, m := range f.cluster.Members {
		if err := f.upgrade(m, to); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d, in %v", len(f.cluster.Members), time.Since(start).Round(100*time.Millisecond)), nil
}

// restart ends a member's supervisor, does something, and starts a version of it.
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

// log is all that a member's supervisors and their controllers have logged.
func (f *fleet) log(m *testcluster.Member) string { return f.logs[m.Name] + m.Supervisor.Log() }

// logErrors are the lines of an error's level of all members.
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

// writeLogs leaves all logs in a folder.
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

// upgrade restarts one, and checks that it holds what it held and that its controller runs as before.
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
		return fmt.Errorf("%s runs %s after its restart, before it was %s: %w",
			member.Name, after.RunningSpec, before.RunningSpec, err)
	}
	if then, now := restartStateOf(before), restartStateOf(after); then != now {
		return fmt.Errorf("%s holds %+v after its restart, before it was %+v", member.Name, now, then)
	}
	return nil
}

// restartState is what a supervisor's folder must bring through a restart.
type restartState struct {
	fence     change.Fence
	orderedBy string
	spec      change.Digest
	version   string // of the program that it starts
}

func restartStateOf(s supervisor.Status) restartState {
	return restartState{s.Fence, s.OrderedBy, s.Spec.Digest(), s.Version}
}

// await waits for something to be so while a coordinator works, if one is given.
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
		return fmt.Errorf("%s: the coordinator has ended: %s", what, tail(process.Log()))
	}
	return nil
}

// tailLines are kept of a log that is shown.
const tailLines = 6

// tail is the end of a log, on one line.
func tail(log string) string {
	lines := strings.Split(strings.TrimSpace(log), "\n")
	return strings.Join(lines[max(0, len(lines)-tailLines):], " | ")
}

// load is the clients of a fleet, which may rest for a while.
type load struct {
	cluster *testcluster.Cluster
	all     []*testcluster.Load // the last one runs, unless resting
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

// jobs are the counts of all clients so far.
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

var errNoMember = errors.New("no member fits")
