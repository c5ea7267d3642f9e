package change

import (
	"encoding/json"
	"fmt"
	"path/filepath"

	"swiftreel/internal/canary"
	"swiftreel/internal/schema"
)

// Kind is what a change replaces.
type Kind string

// The kinds of change.
const (
	KindSettings Kind = "settings" // the operator's settings of the deployment's topology
	KindPlan     Kind = "plan"     // the plan that controllers follow
	KindProgram  Kind = "program"  // the controllers' program
)

// perMilleOfAll is the share of a stage that holds every controller.
const perMilleOfAll = 1000

// Target is what a change leads to. Exactly the field of the change's kind is set.
type Target struct {
	Topology json.RawMessage `json:"shape"`   // KindSettings; JSON null removes the setting
	Plan     string          `json:"plan"`    // KindPlan: a file, relative to the change's file
	Program  string          `json:"program"` // KindProgram: a file at the same path for every supervisor
}

// Change is one change of the fleet, as its file states it.
type Change struct {
	Number int64         `json:"number"` // above that of every earlier change
	Title  string        `json:"title"`
	Kind   Kind          `json:"kind"`
	Target Target        `json:"to"`
	Stages []Stage       `json:"stages"`
	Timing Timing        `json:"pace"`
	Limits canary.Limits `json:"limits"`
}

// Load reads a change file and fills in defaults. A *schema.ValidationError names every fault by its path in the file.
func Load(path string) (Change, error) {
	change := Change{Limits: canary.DefaultLimits()}
	if err := schema.Read(path, schema.Change, &change); err != nil {
		return Change{}, err
	}
	change.Timing = change.Timing.withDefaults()
	if len(change.Stages) == 0 {
		change.Stages = defaultStages()
	}
	if plan := change.Target.Plan; plan != "" && !filepath.IsAbs(plan) {
		change.Target.Plan = filepath.Join(filepath.Dir(path), plan)
	}
	if faults := change.Validate(); len(faults) > 0 {
		return Change{}, &schema.ValidationError{File: path, Problems: faults}
	}
	return change, nil
}

// defaultStages are those of a change that states none: one controller, a third, all.
func defaultStages() []Stage {
	return []Stage{{PerMille: 1}, {PerMille: 330}, {PerMille: perMilleOfAll}}
}

// Validate returns the contradictions that the schema of change files cannot express, each with its path.
func (c Change) Validate() []string {
	var faults []string
	if !c.Target.matches(c.Kind) {
		faults = append(faults, fmt.Sprintf("/to: kind %s and its part do not agree", c.Kind))
	}
	if len(c.Stages) == 0 || c.Number < 1 || c.Timing.PollIntervalMS < 1 {
		return append(faults, "/: not complete") // a change that came over HTTP: in a file the schema excludes this
	}
	faults = append(faults, validateStages(c.Stages)...)
	if c.Timing.MaxBakeMS < c.Timing.BakeMS {
		faults = append(faults, "/pace/most_ms: under bake_ms")
	}
	return faults
}

// matches reports whether exactly the field of the kind is set.
func (t Target) matches(kind Kind) bool {
	return (t.Topology != nil) == (kind == KindSettings) &&
		(t.Plan != "") == (kind == KindPlan) &&
		(t.Program != "") == (kind == KindProgram)
}

func validateStages(stages []Stage) []string {
	var faults []string
	reached := int64(0) // the largest share so far
	for i, stage := range stages {
		if (len(stage.Members) > 0) == (stage.PerMille > 0) {
			faults = append(faults, fmt.Sprintf("/stages/%d: either members or per_mille", i))
		}
		if stage.PerMille > 0 && stage.PerMille <= reached {
			faults = append(faults, fmt.Sprintf("/stages/%d/per_mille: %d does not grow", i, stage.PerMille))
		}
		reached = max(reached, stage.PerMille)
	}
	last := len(stages) - 1
	if stages[last].PerMille != perMilleOfAll {
		faults = append(faults, fmt.Sprintf("/stages/%d/per_mille: the last stage is all of them, %d", last, perMilleOfAll))
	}
	return faults
}

// UnchangedError is returned for a change that leads to the spec that the fleet already has.
type UnchangedError struct {
	Spec Digest
}

// Error names the spec.
func (e *UnchangedError) Error() string { return fmt.Sprintf("the fleet is there already: %s", e.Spec) }

// TargetSpec returns the spec that the change leads to from another. It reads the plan's or the program's file.
func (c Change) TargetSpec(from Spec) (Spec, error) {
	target := from
	switch c.Kind {
	case KindSettings:
		target.Topology = c.Target.Topology
		if string(target.Topology) == "null" {
			target.Topology = nil
		}
	case KindPlan:
		var plan json.RawMessage
		if err := schema.Read(c.Target.Plan, schema.Plan, &plan); err != nil {
			return target, err
		}
		target.Plan = plan
	case KindProgram:
		digest, err := FileDigest(c.Target.Program)
		if err != nil {
			return target, err
		}
		target.Program = Program{Path: c.Target.Program, Digest: digest}
	}
	if target.Digest() == from.Digest() {
		return target, &UnchangedError{Spec: from.Digest()}
	}
	return target, nil
}
