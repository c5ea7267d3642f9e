package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os/exec"
	"slices"
	"strings"
	"time"

	"swiftreel/internal/change"
	"swiftreel/internal/rollout"
	"swiftreel/internal/testcluster"
)

// mixedConfig describes a fleet whose supervisors alternate between the two versions.
func mixedConfig(base, current build) testcluster.Config {
	return testcluster.Config{Program: base.program(), Seed: 62, Controllers: 4, Engines: 2,
		SupervisorPrograms: map[int]string{1: current.program(), 3: current.program()}}
}

func mixedSteps(f *fleet) []step {
	base, current := f.base, f.current
	return []step{
		{"settings: base coordinator, supervisors of both", f.changeSettings(base)},
		{"program becomes current: current coordinator, supervisors of both", f.changeProgram(current, current)},
		{"program becomes base: base coordinator, supervisors of both", f.changeProgram(base, base)},
		{"coordinators base, current, base: each goes on where one was killed", withVersion(f.takeOver, base)},
		{"coordinators current, base, current: each goes on where one was killed", withVersion(f.takeOver, current)},
		{"current coordinator is paused and resumed by commands of the base", withVersion(f.pause, current)},
		{"base coordinator is paused and resumed by commands of the current", withVersion(f.pause, base)},
		{"current coordinator rolls back, told by the base", withVersion(f.requestRollback, current)},
		{"base coordinator rolls back, told by the current", withVersion(f.requestRollback, base)},
		{"each version knows every field of both versions' statuses", f.compareStatuses},
		{"both versions print the same of the record", f.compareRecords},
	}
}

// exitFenced is the exit code of a coordinator that finds another one active.
const exitFenced = 6

// exitRolledBack is the exit code of a coordinator whose change was rolled back.
const exitRolledBack = 4

// exitCode returns the exit code of a process from the error of its wait: 0 for nil, -1 if it did not exit normally.
func exitCode(err error) int {
	if err == nil {
		return 0
	}
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode()
	}
	return -1
}

// resume starts a coordinator on the record of one that was killed, and waits until it has taken over the change. It
// retries while the lock of the killed coordinator is still held.
func (f *fleet) resume(by build) (*testcluster.Process, error) {
	term := f.record().State.Fence.Term
	for stop := time.Now().Add(stepLimit); ; {
		p, err := f.cluster.StartCoordinator(by.program(), f.recordFolder(), "resume", "--conduct")
		if err != nil {
			return nil, err
		}
		err = f.await("the change is taken over", p, func() bool { return f.record().State.Fence.Term > term })
		if err == nil {
			return p, nil
		}
		if !p.Exited() || exitCode(p.WaitExit()) != exitFenced || time.Now().After(stop) {
			return nil, err
		}
	}
}

// bakeFirstStage starts a settings change with a coordinator of the given version, and waits until its first stage
// bakes.
func (f *fleet) bakeFirstStage(by build) (*testcluster.Process, error) {
	p, err := f.startChange(by, change.KindSettings, f.nextSettings(), longBake)
	if err != nil {
		return nil, err
	}
	err = f.await("the first stage", p, func() bool { return f.record().State.Phase == rollout.PhaseBaking })
	return p, err
}

// takeOver starts a change with a coordinator of one version, kills it and resumes with the other version, then kills
// that one and resumes with the first version again.
func (f *fleet) takeOver(first build) (string, error) {
	p, err := f.bakeFirstStage(first)
	if err != nil {
		return "", err
	}
	p.Kill()
	if p, err = f.resume(f.other(first)); err != nil {
		return "", err
	}
	if err := f.await("a later stage", p, func() bool { return f.record().State.Stage > 0 }); err != nil {
		return "", err
	}
	p.Kill()
	if p, err = f.resume(first); err != nil {
		return "", err
	}
	detail, err := f.awaitSuccess(p)
	return fmt.Sprintf("%s, term %d", detail, f.record().State.Fence.Term), err
}

// request records an operator's request for the current change, with a command of the given version.
func (f *fleet) request(by build, command string) error {
	_, err := f.cluster.Command(by.program(), "rollout", "--record", f.recordFolder(), command)
	return err
}

// pause pauses and resumes a coordinator's change with commands of the other version.
func (f *fleet) pause(coordinator build) (string, error) {
	p, err := f.bakeFirstStage(coordinator)
	if err != nil {
		return "", err
	}
	other := f.other(coordinator)
	if err := f.request(other, "pause"); err != nil {
		return "", err
	}
	if err := f.await("the pause", p, func() bool { return f.record().State.Paused }); err != nil {
		return "", err
	}
	if err := f.request(other, "resume"); err != nil {
		return "", err
	}
	return f.awaitSuccess(p)
}

// requestRollback rolls a coordinator's change back with a command of the other version.
func (f *fleet) requestRollback(coordinator build) (string, error) {
	p, err := f.bakeFirstStage(coordinator)
	if err != nil {
		return "", err
	}
	if err := f.request(f.other(coordinator), "back"); err != nil {
		return "", err
	}
	if code := exitCode(p.WaitExit()); code != exitRolledBack {
		return "", fmt.Errorf("coordinator exited with code %d: %s", code, lastLines(p.Log()))
	}
	// Clear the request, otherwise it would also apply to the next change.
	if err := f.request(f.other(coordinator), "resume"); err != nil {
		return "", err
	}
	r := f.record()
	if r.State.Phase != rollout.PhaseReverted {
		return "", fmt.Errorf("change is recorded as %s, want it rolled back", r.State.Phase)
	}
	detail, err := f.awaitRunning(r.FromSpec, r.Change.Number)
	return "rolled back, " + detail, err
}

// compareStatuses polls all supervisors with the status command of each version and compares the printed fields.
func (f *fleet) compareStatuses() (string, error) {
	fields := map[string][]string{}
	for _, b := range []build{f.base, f.current} {
		text, err := f.cluster.Command(b.program(), "fleet", "status", "--json")
		if err != nil {
			return "", err
		}
		if strings.Contains(text, `"unknown_fields"`) {
			return "", fmt.Errorf("version %s reports unknown fields: %s", b.version, text)
		}
		var members []any
		if err := json.Unmarshal([]byte(text), &members); err != nil {
			return "", err
		}
		paths := map[string]bool{}
		addPaths("", members, paths)
		fields[b.version] = slices.Sorted(maps.Keys(paths))
	}
	byBase, byCurrent := fields[f.base.version], fields[f.current.version]
	if !slices.Equal(byBase, byCurrent) {
		return "", fmt.Errorf("current version prints fields %v, base version %v", byCurrent, byBase)
	}
	return fmt.Sprintf("%d fields", len(byBase)), nil
}

// addPaths adds the paths of all object members in a JSON value.
func addPaths(at string, v any, paths map[string]bool) {
	switch v := v.(type) {
	case map[string]any:
		for name, inner := range v {
			paths[at+"/"+name] = true
			addPaths(at+"/"+name, inner, paths)
		}
	case []any:
		for _, inner := range v {
			addPaths(at+"/*", inner, paths)
		}
	}
}
