package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"swiftreel/internal/change"
	"swiftreel/internal/coordinator"
	"swiftreel/internal/rollout"
	"swiftreel/internal/rulecheck"
	"swiftreel/internal/testcluster"
)

const (
	loadClients  = 3 // per controller
	loadPause    = 24 * time.Millisecond
	awaitTimeout = 20 * time.Second
	pollInterval = 2 * time.Millisecond
)

// play rolls the change out in a separate cluster.
func (s scenario) play(program string) result {
	r := result{scenario: s}
	cluster, err := testcluster.Config{
		Program:     program,
		Seed:        s.seed,
		Controllers: s.controllers,
		Engines:     s.engines,
	}.Start()
	if err != nil {
		r.err = err
		return r
	}
	defer cluster.Close()
	load := cluster.StartLoad(s.seed, loadClients, loadPause, true)
	folder := filepath.Join(cluster.Dir, "record")
	file := filepath.Join(cluster.Dir, "change.json")
	if r.err = os.WriteFile(file, []byte(s.changeFile()), 0o600); r.err != nil {
		return r
	}
	done := make(chan struct{})
	go s.injectFaults(cluster, done)
	if s.losesEngine {
		go loseEngine(cluster, folder)
	}
	r.kills, r.err = s.runCoordinators(cluster, program, folder, file)
	close(done)
	load.Stop()
	r.jobs = load.Done.Load() + load.Throttled.Load() + load.Cancelled.Load()
	r.brokenConnections = load.Broken.Load()
	record, _, err := coordinator.OpenUnlocked(folder).Record()
	r.setError(err)
	r.addRecord(record)
	r.exposure = exposure(folder)
	r.checkMembers(cluster, record)
	r.setError(cluster.Stop())
	r.violations = rulecheck.Check(testcluster.Rules, cluster.Events.Entries())
	return r
}

// setError sets the error unless one is set already.
func (r *result) setError(err error) {
	if r.err == nil {
		r.err = err
	}
}

// addRecord fills in the results from the coordinator's record.
func (r *result) addRecord(record coordinator.Record) {
	r.phase = record.State.Phase
	r.stage = record.State.Stage + 1
	r.outcome = record.State.Outcome
	for _, v := range record.State.Verdicts {
		r.newJobs = max(r.newJobs, int64(v.NewJobs))
	}
}

// checkMembers checks that every controller runs the spec that the record implies, and that every supervisor accepted
// orders with increasing fences.
func (r *result) checkMembers(cluster *testcluster.Cluster, record coordinator.Record) {
	wanted := record.FromSpec.Digest()
	if r.phase == rollout.PhaseDone {
		wanted = record.ToSpec.Digest()
	}
	accepted := 0
	for _, m := range cluster.Members {
		status, err := cluster.Status(m)
		if err != nil || status.RunningSpec != wanted {
			r.setError(fmt.Errorf("%s runs %s, wanted %s: %s", m.Name, status.RunningSpec, wanted, fmt.Sprint(err)))
		}
		orders, err := checkFences(m.Supervisor.Log())
		accepted += orders
		r.setError(err)
	}
	if accepted == 0 {
		r.setError(errors.New("no accepted order in any supervisor's log"))
	}
}

// loseEngine crashes an engine while the first stage bakes.
func loseEngine(cluster *testcluster.Cluster, folder string) {
	isBaking := func() bool {
		record, _, err := coordinator.OpenUnlocked(folder).Record()
		return err == nil && record.State.Phase == rollout.PhaseBaking
	}
	_ = cluster.WaitUntil(awaitTimeout, isBaking) // if the rollout ends earlier, its result shows it
	cluster.CrashEngine("e1")
}

// injectFaults injects the scheduled faults until done is closed.
func (s scenario) injectFaults(cluster *testcluster.Cluster, done chan struct{}) {
	began := time.Now()
	for _, f := range s.faults {
		at := began.Add(time.Duration(f.AtMS) * time.Millisecond)
		select {
		case <-done:
			return
		case <-time.After(time.Until(at)):
		}
		f.inject(cluster.Members[f.Member])
	}
}

func (f fault) inject(m *testcluster.Member) {
	switch {
	case f.Repeat:
		m.Link.ReplayLastOrder()
	case f.StopMS > 0:
		m.Supervisor.Signal(syscall.SIGSTOP)
		time.AfterFunc(time.Duration(f.StopMS)*time.Millisecond, func() { m.Supervisor.Signal(syscall.SIGCONT) })
	default:
		m.Link.SetMode(f.Mode, time.Duration(f.DelayMS)*time.Millisecond)
	}
}

// runCoordinators runs coordinators until the change ends, and returns how many were killed. If the scenario kills
// coordinators, it does so once in each phase that the record shows.
func (s scenario) runCoordinators(cluster *testcluster.Cluster, program, folder, file string) (int, error) {
	killedAt := map[string]bool{}
	kills := 0
	arguments := []string{"start", file}
	for {
		p, err := cluster.StartCoordinator(program, folder, arguments...)
		if err != nil {
			return kills, err
		}
		for !p.Exited() && !s.killsNow(folder, killedAt) {
			time.Sleep(pollInterval)
		}
		if !p.Exited() {
			p.Kill()
			kills++
			arguments = []string{"resume", "--conduct"}
			continue
		}
		err = p.WaitExit()
		if hasEnded(folder) {
			return kills, nil
		}
		isLocked := strings.Contains(p.Log(), coordinator.ErrLocked.Error())
		if kills > 0 && isLocked { // the lock of the killed coordinator is not free yet
			continue
		}
		return kills, fmt.Errorf("coordinator exited: %s: %s", fmt.Sprint(err), p.Log())
	}
}

// killsNow reports whether to kill the coordinator in the phase that the record shows, which it does once per phase.
func (s scenario) killsNow(folder string, killedAt map[string]bool) bool {
	if !s.killsCoordinator {
		return false
	}
	record, exists, err := coordinator.OpenUnlocked(folder).Record()
	if err != nil || !exists || record.State.Phase.IsTerminal() {
		return false
	}
	phase := fmt.Sprint(record.State.Phase, record.State.Stage)
	isFirst := !killedAt[phase]
	killedAt[phase] = true
	return isFirst
}

// hasEnded reports whether the record shows that the rollout is over.
func hasEnded(folder string) bool {
	record, exists, err := coordinator.OpenUnlocked(folder).Record()
	return err == nil && exists && record.State.Phase.IsTerminal()
}

// exposure returns the time from the start of the first stage to the decision to roll back, or to the end.
func exposure(folder string) time.Duration {
	steps, err := coordinator.OpenUnlocked(folder).History()
	if err != nil {
		return 0
	}
	var from, to time.Time
	for _, step := range steps {
		if step.Phase == rollout.PhaseApplying && step.Stage == 0 && from.IsZero() {
			from = step.Time
		}
		if to.IsZero() && (step.Phase == rollout.PhaseRollback || step.Phase == rollout.PhaseDone) {
			to = step.Time
		}
	}
	if from.IsZero() || to.IsZero() {
		return 0
	}
	return to.Sub(from)
}

// checkFences checks in a supervisor's log that it accepted orders with increasing fences, and counts them.
func checkFences(log string) (orders int, err error) {
	var last change.Fence
	for line := range strings.Lines(log) {
		_, text, isOrder := strings.Cut(line, "msg=order_accepted fence=")
		if !isOrder {
			continue
		}
		var f change.Fence
		if _, err := fmt.Sscanf(text, "%d.%d.%d", &f.Number, &f.Term, &f.Revision); err != nil {
			return orders, err
		}
		if f.Compare(last) <= 0 {
			return orders, fmt.Errorf("order %v was accepted after %v", f, last)
		}
		last = f
		orders++
	}
	return orders, nil
}
