package main

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"swiftreel/internal/rulecheck"
	"swiftreel/internal/testcluster"
)

// scenario is a sequence of steps on a separate fleet under load.
type scenario struct {
	name   string
	config func(base, current build) testcluster.Config
	steps  func(*fleet) []step
}

// step is an operation on a fleet together with the check of its result.
type step struct {
	name   string
	action action
}

// action performs a step. It returns figures to print, or an error that says why the check failed.
type action func() (detail string, err error)

// withVersion binds a version to a function, which makes it an action.
func withVersion(do func(build) (string, error), version build) action {
	return func() (string, error) { return do(version) }
}

// scenarios returns all scenarios. Their fleets share no state.
func scenarios() []scenario {
	return []scenario{
		{"roll", rollConfig, rollSteps},
		{"mixed", mixedConfig, mixedSteps},
		{"voters", voterConfig, voterSteps},
		{"transfer", transferConfig, transferSteps},
	}
}

// play starts the fleet, runs all steps and checks the logs against the rules. Steps after a failed one are reported as
// not run. logs is a directory for the logs of all processes; "" writes none.
func (s scenario) play(base, current build, r *report, logs string) {
	cluster, err := s.config(base, current).Start()
	if err != nil {
		r.add("the fleet starts", failed, err.Error())
		return
	}
	defer cluster.Close()
	f := newFleet(cluster, base, current, s.config(base, current))
	watch := startWatch(cluster)
	steps := append(s.steps(f), step{"all processes drain and end", f.stop})
	broken := false
	for _, p := range steps {
		if broken {
			r.add(p.name, notRun, "a step before it failed")
			continue
		}
		detail, err := p.action()
		r.result(p.name, detail, err)
		broken = err != nil
	}
	detail, err := watch.stop()
	r.result("orders, assignments and terms never go back", detail, err)
	if err = watch.checkCrashes(); err != nil {
		err = fmt.Errorf("%w; errors logged: %s", err, f.logErrors())
	}
	r.result("no controller ends unasked", "", err)
	detail, err = f.checkOutcomes()
	r.result("no rule is broken, each job has one outcome", detail, err)
	if logs != "" {
		if err := f.writeLogs(logs, s.name); err != nil {
			r.add("logs are written", failed, err.Error())
		}
	}
}

// minJobs is the number of jobs below which a scenario proves nothing.
const minJobs = 100

// checkOutcomes checks the logs of clients and engines against the rules.
func (f *fleet) checkOutcomes() (string, error) {
	if !f.stopped {
		return "", fmt.Errorf("fleet was not stopped; jobs so far: %+v", f.load.jobs())
	}
	var errs []error
	for _, v := range rulecheck.Check(testcluster.Rules, f.cluster.Events.Entries()) {
		errs = append(errs, errors.New(v.String()))
	}
	j := f.load.jobs()
	if j.broken > 0 {
		errs = append(errs, fmt.Errorf("%d connections closed before an answer: %s", j.broken, f.brokenJobs()))
	}
	if j.sum() < minJobs {
		errs = append(errs, fmt.Errorf("only %d jobs", j.sum()))
	}
	share := 100 * float64(j.done) / float64(max(1, j.sum()))
	return fmt.Sprintf("%d jobs, %.2f%% done, %d cut off", j.sum(), share, j.broken), errors.Join(errs...)
}

// brokenJobs lists the jobs whose connections were closed before an answer, with the time of each.
func (f *fleet) brokenJobs() string {
	var list []string
	for _, e := range f.cluster.Events.Entries() {
		if e.Event == rulecheck.ClientLeft {
			list = append(list, fmt.Sprintf("%s at %s", e.Job, time.Unix(0, e.TimeNS).UTC().Format(time.RFC3339Nano)))
		}
	}
	return strings.Join(list, ", ")
}

// stop ends the load and drains all processes.
func (f *fleet) stop() (string, error) {
	f.load.stop()
	start := time.Now()
	err := f.cluster.Stop()
	f.stopped = err == nil
	return fmt.Sprintf("in %v", time.Since(start).Round(100*time.Millisecond)), err
}
