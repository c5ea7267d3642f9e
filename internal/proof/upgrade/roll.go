package main

import (
	"fmt"
	"os"
	"path/filepath"

	"swiftreel/internal/change"
	"swiftreel/internal/testcluster"
)

// rollConfig describes a fleet in which everything starts as the base version.
func rollConfig(base, _ build) testcluster.Config {
	return testcluster.Config{Program: base.program(), Seed: 61, Controllers: 3, Engines: 3,
		Files: map[string]string{"problem.json": testcluster.PlanningProblem}}
}

// rollSteps upgrades the fleet and downgrades it again. Each kind of change is made by coordinators of both versions.
func rollSteps(f *fleet) []step {
	base, current := f.base, f.current
	return []step{
		{"settings: base coordinator, base supervisors", f.changeSettings(base)},
		{"supervisors become current, on folders of the base", withVersion(f.upgradeAll, current)},
		{"program becomes current: base coordinator, current supervisors", f.changeProgram(base, current)},
		{"plan solved by the base: current coordinator on the base's record, current supervisors",
			func() (string, error) { return f.planChange(base, current, "") }},
		{"supervisors become base, on folders of the current", withVersion(f.upgradeAll, base)},
		{"program becomes base: current coordinator, base supervisors", f.changeProgram(current, base)},
		{"plan solved by the current: base coordinator on the current's record, base supervisors",
			func() (string, error) { return f.planChange(current, base, "proportional") }},
		{"both versions print the same of the record", f.compareRecords},
	}
}

// planChange solves a plan with one version and rolls it out with a coordinator of another. An empty method selects the
// default one.
func (f *fleet) planChange(solver, coordinator build, method string) (string, error) {
	path := filepath.Join(f.cluster.Dir, fmt.Sprintf("plan-%d.json", f.number))
	problem := filepath.Join(f.cluster.Dir, "problem.json")
	args := []string{"solve", problem, "--out", path, "--time", "20s"}
	if method != "" {
		args = append(args, "--method", method)
	}
	if _, err := f.cluster.Command(solver.program(), args...); err != nil {
		return "", err
	}
	return f.change(coordinator, change.KindPlan, fmt.Sprintf(`{"plan":%q}`, path))
}

// compareRecords reads the record with the commands of both versions and compares their output. It also has each
// version write a report page.
func (f *fleet) compareRecords() (string, error) {
	for _, command := range []string{"status", "history"} {
		args := []string{"rollout", "--record", f.recordFolder(), command, "--json"}
		byBase, err := f.cluster.Command(f.base.program(), args...)
		if err != nil {
			return "", err
		}
		byCurrent, err := f.cluster.Command(f.current.program(), args...)
		if err != nil {
			return "", err
		}
		if byBase != byCurrent {
			return "", fmt.Errorf("rollout %s: current version prints %s, base version %s", command, byCurrent, byBase)
		}
	}
	for _, b := range []build{f.base, f.current} {
		if err := f.writePage(b); err != nil {
			return "", err
		}
	}
	return "rollout status, rollout history, a page by each", nil
}

// writePage has a version write the HTML report of the last change.
func (f *fleet) writePage(b build) error {
	viewer, err := b.viewer()
	if err != nil {
		return err
	}
	path := filepath.Join(f.cluster.Dir, b.version+".html")
	if _, err := f.cluster.Command(viewer, "report", "--record", f.recordFolder(), "--out", path); err != nil {
		return err
	}
	info, err := os.Stat(path)
	if err == nil && info.Size() == 0 {
		err = fmt.Errorf("%s is empty", path)
	}
	return err
}
