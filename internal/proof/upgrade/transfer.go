package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"regexp"
	"slices"

	"swiftreel/internal/change"
	"swiftreel/internal/rulecheck"
	"swiftreel/internal/supervisor"
	"swiftreel/internal/testcluster"
)

// transferPlan is two controllers, one under a supervisor of each version.
func transferPlan(base, current build) testcluster.Config {
	return testcluster.Config{Program: base.program(), Seed: 64, Controllers: 2, Engines: 3,
		SupervisorPrograms: map[int]string{1: current.program()}}
}

// brokenEngine is the one that fails all that it is asked.
const brokenEngine = "e2"

// transferSteps change the program while an engine is ejected: the next process must know it from its start.
func transferSteps(f *fleet) []step {
	return []step{
		{"an engine that fails is ejected", f.eject},
		{"a current process knows what the base's has learned", func() (string, error) { return f.transfer(f.current) }},
		{"a base process knows what the current's has learned", func() (string, error) { return f.transfer(f.base) }},
		{"the engine serves again", f.restore},
	}
}

// ejected waits until every controller has ejected so many engines.
func (f *fleet) ejected(n int) error {
	for _, m := range f.cluster.Members {
		var last supervisor.Status
		err := f.cluster.WaitUntil(stepLimit, func() (is bool) {
			s, err := f.cluster.Status(m)
			last = s
			return err == nil && s.Serving && s.EjectedEngines == n
		})
		if err != nil {
			return fmt.Errorf("%s has ejected %d engines, wanted are %d: %w", m.Name, last.EjectedEngines, n, err)
		}
	}
	return nil
}

func (f *fleet) eject() (string, error) {
	f.cluster.Faults.SetFailing(brokenEngine, true)
	return "", f.ejected(1)
}

func (f *fleet) restore() (string, error) {
	f.cluster.Faults.SetFailing(brokenEngine, false)
	return "", f.ejected(0)
}

// transfer has every controller run another version, with no load meanwhile from which it could learn.
func (f *fleet) transfer(to build) (string, error) {
	f.load.stop()
	f.number++
	reports, err := f.reportFields(nil)
	if err != nil {
		return "", err
	}
	if err := f.switchAll(to); err != nil {
		return "", err
	}
	before := f.began(brokenEngine)
	f.load.start()
	done := f.load.jobs().done
	if err := f.await("jobs are done", nil, func() bool { return f.load.jobs().done > done+minJobs }); err != nil {
		return "", err
	}
	if n := f.began(brokenEngine) - before; n > 0 {
		return "", fmt.Errorf("%d jobs were sent to the engine that was ejected", n)
	}
	if _, err := f.reportFields(reports); err != nil {
		return "", err
	}
	jobs := f.load.jobs().done - done
	return fmt.Sprintf("%d jobs, none to the ejected engine; %d fields reported as before", jobs, len(reports)), nil
}

// switchAll orders every controller to run another version, and checks that its new process has an engine ejected
// from its start.
func (f *fleet) switchAll(to build) error {
	for _, m := range f.cluster.Members {
		fence := change.Fence{Number: f.number, Term: 1, Revision: 1}
		if err := f.cluster.OrderProgram(m, fence, to.program()); err != nil {
			return err
		}
	}
	for _, m := range f.cluster.Members {
		var s supervisor.Status
		err := f.cluster.WaitUntil(stepLimit, func() (is bool) {
			var err error
			s, err = f.cluster.Status(m)
			return err == nil && s.Serving && s.Version == to.version
		})
		if err != nil {
			return fmt.Errorf("%s runs %s: %w", m.Name, s.Version, err)
		}
		if s.EjectedEngines != 1 {
			return fmt.Errorf("the new process of %s has ejected %d engines from its start, wanted is 1",
				m.Name, s.EjectedEngines)
		}
	}
	return nil
}

// reportAddress matches the log line by which a controller says where it serves its report. Supervisors of both
// versions read it, so it cannot change.
var reportAddress = regexp.MustCompile(`msg=serving_tally address=(\S+)`)

// reportFields returns the paths of all names in the first member's report. It waits until they are those wanted,
// unless that is nil.
func (f *fleet) reportFields(wanted []string) (fields []string, err error) {
	m := f.cluster.Members[0]
	waitErr := f.cluster.WaitUntil(stepLimit, func() bool {
		if fields, err = reportOf(m); err != nil {
			return false
		}
		return wanted == nil || slices.Equal(fields, wanted)
	})
	if waitErr != nil {
		return nil, errors.Join(fmt.Errorf("%s reports fields %v, wanted are %v: %w", m.Name, fields, wanted, waitErr), err)
	}
	return fields, nil
}

// reportOf requests the report of a member's newest process.
func reportOf(member *testcluster.Member) ([]string, error) {
	all := reportAddress.FindAllStringSubmatch(member.Supervisor.Log(), -1)
	if len(all) == 0 {
		return nil, errors.New("it does not say where it reports")
	}
	ctx, cancel := context.WithTimeout(context.Background(), stepLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+all[len(all)-1][1]+"/tally", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var report any
	if err := json.NewDecoder(response.Body).Decode(&report); err != nil {
		return nil, err
	}
	paths := map[string]bool{}
	addPaths("", report, paths)
	return slices.Sorted(maps.Keys(paths)), nil
}

// began counts the dispatches that an engine began.
func (f *fleet) began(engine string) (n int) {
	for _, e := range f.cluster.Events.Entries() {
		if e.Event == rulecheck.Began && e.Engine == engine {
			n++
		}
	}
	return n
}
