package main

import (
	"fmt"
	"os"
	"path/filepath"

	"swiftreel/internal/change"
	"swiftreel/internal/testcluster"
)

// rollPlan is a fleet that is all of the base version at first.
func rollPlan(base, _ build) testcluster.Config {
	return testcluster.Config{Program: base.program(), Seed: 61, Controllers: 3, Engines: 3,
		Files: map[string]string{"problem.json": testcluster.PlanningProblem}}
}

// rollSteps are an upgrade and the way back, each part by each version.
func rollSteps(f *fleet) []step {
	base, current := f.base, f.current
	return []step{
		{"settings: base coordinator, base supervisors", f.settingsBy(base)},
		{"supervisors become current, on folders of the base", with(f.upgradeAll, current)},
		{"program becomes current: base coordinator, current supervisors", f.programBy(base, current)},
		{"plan solved by the base: current coordinator on the base's record, current supervisors",
			func() (string, error) { return f.planChange(base, current, "") }},
		{"supervisors become base, on folders of the current", with(f.upgradeAll, base)},
		{"program becomes base: current coordinator, base supervisors", f.programBy(current, base)},
		{"plan solved by the current: base coordinator on the current's record, base supervisors",
			func() (string, error) { return f.planChange(current, base, "proportional") }},
		{"both versions print the same of the record", f.sameRecord},
	}
}

// planChange solves a plan by one version and takes it through the fleet by a coordinator of another. No method is the
// usual one.
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

// sameRecord has the commands of both versions read the record's folder.
func (f *fleet) sameRecord() (string, error) {
	for _, command := range []string{"status", "history"} {
		args := []string{"rollout", "--record", f.folder(), command, "--json"}
		byBase, err := f.cluster.Command(f.base.program(), args...)
		if err != nil {
			return "", err
		}
		byCurrent, err := f.cluster.Command(f.current.program(), args...)
		if err != nil {
			return "", err
		}
		if byBase != byCurrent {
			return "", fmt.Errorf("rollout %s: %s, by the base %s", command, byCurrent, byBase)
		}
	}
	for _, b := range []build{f.base, f.current} {
		if err := f.page(b); err != nil {
			return "", err
		}
	}
	return "rollout status, rollout history, a page by each", nil
}

// page has a version write the page of the last change.
func (f *fleet) page(b build) error {
	viewer, err := b.viewer()
	if err != nil {
		return err
	}
	path := filepath.Join(f.cluster.Dir, b.version+".html")
	if _, err := f.cluster.Command(viewer, "report", "--record", f.folder(), "--out", path); err != nil {
		return err
	}
	info, err := os.Stat(path)
	if err == nil && info.Size() == 0 {
		err = fmt.Errorf("%s is empty", path)
	}
	return err
}
