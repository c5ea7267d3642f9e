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

// mixedPlan is a fleet whose supervisors are of both versions by turns.
func mixedPlan(base, current build) testcluster.Config {
	return testcluster.Config{Program: base.program(), Seed: 62, Controllers: 4, Engines: 2,
		SupervisorPrograms: map[int]string{1: current.program(), 3: current.program()}}
}

func mixedSteps(f *fleet) []step {
	base, current := f.base, f.current
	return []step{
		{"settings: base coordinator, supervisors of both", f.settingsBy(base)},
		{"program becomes current: current coordinator, supervisors of both", f.programBy(current, current)},
		{"program becomes base: base coordinator, supervisors of both", f.programBy(base, base)},
		{"coordinators base, current, base: each goes on where one was killed", with(f.takeOver, base)},
		{"coordinators current, base, current: each goes on where one was killed", with(f.takeOver, current)},
		{"current coordinator is paused and resumed by commands of the base", with(f.pause, current)},
		{"base coordinator is paused and resumed by commands of the current", with(f.pause, base)},
		{"current coordinator rolls back, told by the base", with(f.requestRollback, current)},
		{"base coordinator rolls back, told by the current", with(f.requestRollback, base)},
		{"each version knows every field of both versions' statuses", f.sameStatuses},
		{"both versions print the same of the record", f.sameRecord},
	}
}

// exitFenced is the exit code of a coordinator that finds another one at work.
const exitFenced = 6

// exitRolledBack is that of one whose change was rolled back.
const exitRollback = 4

// exitCode is that of a process that ended with an error: 0 for none, -1 where it was no exit.
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

// resume starts a coordinator on the record of one that was killed, and waits until it has taken the change over. The
// lock of the killed one may not be free at once.
func (f *fleet) resume(by build) (*testcluster.Process, error) {
	term := f.record().State.Fence.Term
	for stop := time.Now().Add(stepLimit); ; {
		p, err := f.cluster.StartCoordinator(by.program(), f.folder(), "resume", "--conduct")
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

// bakeFirstStage begins a change of settings by a coordinator of one version, and waits until its first stage bakes.
func (f *fleet) bakeFirstStage(by build) (*testcluster.Process, error) {
	p, err := f.begin(by, change.KindSettings, f.settings(), longBake)
	if err != nil {
		return nil, err
	}
	err = f.await("the first stage", p, func() bool { return f.record().State.Phase == rollout.PhaseBaking })
	return p, err
}

// takeOver begins a change by one version, has the other take it over and then the first one again.
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
	detail, err := f.finish(p)
	return fmt.Sprintf("%s, term %d", detail, f.record().State.Fence.Term), err
}

// wish leaves an operator's wish in the record, by a command of one version.
func (f *fleet) request(by build, command string) error {
	_, err := f.cluster.Command(by.program(), "rollout", "--record", f.folder(), command)
	return err
}

// pause has the other version's commands pause a coordinator's change and end the pause.
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
	return f.finish(p)
}

// rollBack has the other version's command roll a coordinator's change back.
func (f *fleet) requestRollback(coordinator build) (string, error) {
	p, err := f.bakeFirstStage(coordinator)
	if err != nil {
		return "", err
	}
	if err := f.request(f.other(coordinator), "back"); err != nil {
		return "", err
	}
	if code := exitCode(p.WaitExit()); code != exitRollback {
		return "", fmt.Errorf("the coordinator ends with exit code %d: %s", code, tail(p.Log()))
	}
	if err := f.request(f.other(coordinator), "resume"); err != nil { // else the next change takes in the wish of this one
		return "", err
	}
	r := f.record()
	if r.State.Phase != rollout.PhaseReverted {
		return "", fmt.Errorf("the change is recorded as %s", r.State.Phase)
	}
	detail, err := f.running(r.FromSpec, r.Change.Number)
	return "rolled back, " + detail, err
}

// sameStatuses has the status command of each version poll all supervisors, and compares the fields that they print.
func (f *fleet) sameStatuses() (string, error) {
	fields := map[string][]string{}
	for _, b := range []build{f.base, f.current} {
		text, err := f.cluster.Command(b.program(), "fleet", "status", "--json")
		if err != nil {
			return "", err
		}
		if strings.Contains(text, `"unknown_fields"`) {
			return "", fmt.Errorf("%s does not know all fields: %s", b.version, text)
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
		return "", fmt.Errorf("fields %v, by the base %v", byCurrent, byBase)
	}
	return fmt.Sprintf("%d fields", len(byBase)), nil
}

// addPaths adds the paths of all names in a JSON value.
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
