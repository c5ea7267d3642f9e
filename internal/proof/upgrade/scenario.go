package main

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"swiftreel/internal/rulecheck"
	"swiftreel/internal/testcluster"
)

// scenario is a fleet of its own under load, and what is done with it, step by step.
type scenario struct {
	name  string
	plan  func(base, current build) testcluster.Config
	steps func(*fleet) []step
}

// step is one thing done with a fleet, and the check of what came of it.
type step struct {
	name   string
	action action
}

// action returns figures, or why the check fails.
type action func() (detail string, err error)

// with is an action of one version.
func with(do func(build) (string, error), version build) action {
	return func() (string, error) { return do(version) }
}

// scenarios are all of them; their fleets share nothing.
func scenarios() []scenario {
	return []scenario{
		{"roll", rollPlan, rollSteps},
		{"mixed", mixedPlan, mixedSteps},
		{"voters", voterPlan, voterSteps},
		{"transfer", transferPlan, transferSteps},
	}
}

// play starts the fleet, takes all steps and holds what was logged against the rules. Steps after one that failed are
// reported as not run. logs is a folder for what all processes have logged, or "".
func (s scenario) play(base, current build, r *report, logs string) {
	cluster, err := s.plan(base, current).Start()
	if err != nil {
		r.add("the fleet starts", failed, err.Error())
		return
	}
	defer cluster.Close()
	f := newFleet(cluster, base, current, s.plan(base, current))
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
	if err = watch.unaskedEnds(); err != nil {
		err = fmt.Errorf("%w; errors logged: %s", err, f.logErrors())
	}
	r.result("no controller ends unasked", "", err)
	detail, err = f.outcomes()
	r.result("no rule is broken, each job has one outcome", detail, err)
	if logs != "" {
		if err := f.writeLogs(logs, s.name); err != nil {
			r.add("logs are written", failed, err.Error())
		}
	}
}

// minJobs is how many jobs a scenario must have played to count.
const minJobs = 100

// outcomes holds the logs of clients and engines against the rules.
func (f *fleet) outcomes() (string, error) {
	if !f.stopped {
		return "", fmt.Errorf("the fleet did not come to its end; jobs so far: %+v", f.load.jobs())
	}
	var errs []error
	for _, v := range rulecheck.Check(testcluster.Rules, f.cluster.Events.Entries()) {
		errs = append(errs, errors.New(v.String()))
	}
	j := f.load.jobs()
	if j.broken > 0 {
		errs = append(errs, fmt.Errorf("%d connections broke before an answer: %s", j.broken, f.brokenJobs()))
	}
	if j.sum() < minJobs {
		errs = append(errs, fmt.Errorf("only %d jobs", j.sum()))
	}
	share := 100 * float64(j.done) / float64(max(1, j.sum()))
	return fmt.Sprintf("%d jobs, %.2f%% done, %d cut off", j.sum(), share, j.broken), errors.Join(errs...)
}

// brokenJobs names the jobs whose connections broke, and when.
func (f *fleet) brokenJobs() string {
	var list []string
	for _, e := range f.cluster.Events.Entries() {
		if e.Event == rulecheck.ClientLeft {
			list = append(list, fmt.Sprintf("%s at %s", e.Job, time.Unix(0, e.TimeNS).UTC().Format(time.RFC3339Nano)))
		}
	}
	return strings.Join(list, ", ")
}

// stop ends the load and lets all processes drain.
func (f *fleet) stop() (string, error) {
	f.load.stop()
	start := time.Now()
	err := f.cluster.Stop()
	f.stopped = err == nil
	return fmt.Sprintf("in %v", time.Since(start).Round(100*time.Millisecond)), err
}
