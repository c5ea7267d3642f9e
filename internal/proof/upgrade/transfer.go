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

// transferConfig describes a fleet of two controllers, one under a supervisor of each version.
func transferConfig(base, current build) testcluster.Config {
	return testcluster.Config{Program: base.program(), Seed: 64, Controllers: 2, Engines: 3,
		SupervisorPrograms: map[int]string{1: current.program()}}
}

// brokenEngine is the engine that fails all requests while its fault is set.
const brokenEngine = "e2"

// transferSteps changes the program while an engine is ejected. The new process must know of the ejection from its
// start, by the state transfer.
func transferSteps(f *fleet) []step {
	return []step{
		{"an engine that fails is ejected", f.eject},
		{"a current process knows what the base's has learned", func() (string, error) { return f.transfer(f.current) }},
		{"a base process knows what the current's has learned", func() (string, error) { return f.transfer(f.base) }},
		{"the engine serves again", f.restore},
	}
}

// awaitEjected waits until every controller has ejected n engines.
func (f *fleet) awaitEjected(n int) error {
	for _, m := range f.cluster.Members {
		var last supervisor.Status
		err := f.cluster.WaitUntil(stepLimit, func() (is bool) {
			s, err := f.cluster.Status(m)
			last = s
			return err == nil && s.Serving && s.EjectedEngines == n
		})
		if err != nil {
			return fmt.Errorf("%s has ejected %d engines, want %d: %w", m.Name, last.EjectedEngines, n, err)
		}
	}
	return nil
}

func (f *fleet) eject() (string, error) {
	f.cluster.Faults.SetFailing(brokenEngine, true)
	return "", f.awaitEjected(1)
}

func (f *fleet) restore() (string, error) {
	f.cluster.Faults.SetFailing(brokenEngine, false)
	return "", f.awaitEjected(0)
}

// transfer switches every controller to another version. The load is stopped meanwhile, so that the new process can
// learn of the ejected engine only from its predecessor.
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
	before := f.countBegun(brokenEngine)
	f.load.start()
	done := f.load.jobs().done
	if err := f.await("jobs are done", nil, func() bool { return f.load.jobs().done > done+minJobs }); err != nil {
		return "", err
	}
	if n := f.countBegun(brokenEngine) - before; n > 0 {
		return "", fmt.Errorf("%d jobs were sent to the engine that was ejected", n)
	}
	if _, err := f.reportFields(reports); err != nil {
		return "", err
	}
	jobs := f.load.jobs().done - done
	return fmt.Sprintf("%d jobs, none to the ejected engine; %d fields reported as before", jobs, len(reports)), nil
}

// switchAll orders every controller to run another version, and checks that the new process has one engine ejected as
// soon as it serves.
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
			return fmt.Errorf("%s runs version %s: %w", m.Name, s.Version, err)
		}
		if s.EjectedEngines != 1 {
			return fmt.Errorf("new process of %s starts with %d ejected engines, want 1",
				m.Name, s.EjectedEngines)
		}
	}
	return nil
}

// reportAddress matches the log line in which a controller gives the address of its report. Supervisors of both
// versions parse it, so it cannot change.
var reportAddress = regexp.MustCompile(`msg=serving_tally address=(\S+)`)

// reportFields returns the paths of all fields in the first member's report. If wanted is not nil, it waits until the
// fields are equal to it.
func (f *fleet) reportFields(wanted []string) (fields []string, err error) {
	m := f.cluster.Members[0]
	waitErr := f.cluster.WaitUntil(stepLimit, func() bool {
		if fields, err = fetchReportFields(m); err != nil {
			return false
		}
		return wanted == nil || slices.Equal(fields, wanted)
	})
	if waitErr != nil {
		return nil, errors.Join(fmt.Errorf("%s reports fields %v, want %v: %w", m.Name, fields, wanted, waitErr), err)
	}
	return fields, nil
}

// fetchReportFields requests the report of a member's newest process and returns the paths of its fields.
func fetchReportFields(member *testcluster.Member) ([]string, error) {
	all := reportAddress.FindAllStringSubmatch(member.Supervisor.Log(), -1)
	if len(all) == 0 {
		return nil, errors.New("log has no report address")
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

// countBegun returns the number of dispatches that an engine began to run.
func (f *fleet) countBegun(engine string) (n int) {
	for _, e := range f.cluster.Events.Entries() {
		if e.Event == rulecheck.Began && e.Engine == engine {
			n++
		}
	}
	return n
}
