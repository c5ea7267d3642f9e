package change

import (
	"encoding/json"
	"fmt"
	"path/filepath"

	"swiftreel/internal/canary"
	"swiftreel/internal/schema"
)

// Kind is the part of the fleet's spec that a change replaces.
type Kind string

// The kinds of change.
const (
	KindSettings Kind = "settings" // the operator's settings of the deployment's topology
	KindPlan     Kind = "plan"     // the plan that controllers follow
	KindProgram  Kind = "program"  // the controllers' program
)

// perMilleOfAll is the share of a stage that includes every controller.
const perMilleOfAll = 1000

// Target is the new value that a change sets. Exactly the field of the change's kind is set.
type Target struct {
	Topology json.RawMessage `json:"shape"`   // KindSettings; JSON null removes the setting
	Plan     string          `json:"plan"`    // KindPlan: a file, relative to the change file
	Program  string          `json:"program"` // KindProgram: a file at the same path on every supervisor
}

// Change is one change of the fleet, as specified in its file.
type Change struct {
	Number int64         `json:"number"` // greater than that of every earlier change
	Title  string        `json:"title"`
	Kind   Kind          `json:"kind"`
	Target Target        `json:"to"`
	Stages []Stage       `json:"stages"`
	Timing Timing        `json:"pace"`
	Limits canary.Limits `json:"limits"`
}

// Load reads a change file and fills in defaults. A *schema.ValidationError lists every problem with its path in the
// file.
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
	if problems := change.Validate(); len(problems) > 0 {
		return Change{}, &schema.ValidationError{File: path, Problems: problems}
	}
	return change, nil
}

// defaultStages returns the stages of a change that specifies none: one controller, a third, all.
func defaultStages() []Stage {
	return []Stage{{PerMille: 1}, {PerMille: 330}, {PerMille: perMilleOfAll}}
}

// Validate returns the problems that the schema of change files cannot express, each with its path.
func (c Change) Validate() []string {
	var problems []string
	if !c.Target.matches(c.Kind) {
		problems = append(problems, fmt.Sprintf("/to: kind %s and its part do not agree", c.Kind))
	}
	if len(c.Stages) == 0 || c.Number < 1 || c.Timing.PollIntervalMS < 1 {
		return append(problems, "/: not complete") // over HTTP only; the schema rejects such a file
	}
	problems = append(problems, validateStages(c.Stages)...)
	if c.Timing.MaxBakeMS < c.Timing.BakeMS {
		problems = append(problems, "/pace/most_ms: under bake_ms")
	}
	return problems
}

// matches reports whether exactly the field of the kind is set.
func (t Target) matches(kind Kind) bool {
	return (t.Topology != nil) == (kind == KindSettings) &&
		(t.Plan != "") == (kind == KindPlan) &&
		(t.Program != "") == (kind == KindProgram)
}

func validateStages(stages []Stage) []string {
	var problems []string
	reached := int64(0) // the largest share so far
	for i, stage := range stages {
		if (len(stage.Members) > 0) == (stage.PerMille > 0) {
			problems = append(problems, fmt.Sprintf("/stages/%d: either members or per_mille", i))
		}
		if stage.PerMille > 0 && stage.PerMille <= reached {
			problems = append(problems, fmt.Sprintf("/stages/%d/per_mille: %d does not grow", i, stage.PerMille))
		}
		reached = max(reached, stage.PerMille)
	}
	last := len(stages) - 1
	if stages[last].PerMille != perMilleOfAll {
		problems = append(problems,
			fmt.Sprintf("/stages/%d/per_mille: the last stage is all of them, %d", last, perMilleOfAll))
	}
	return problems
}

// UnchangedError is returned for a change whose target is the spec that the fleet already has.
type UnchangedError struct {
	Spec Digest
}

// Error returns a message with the spec.
func (e *UnchangedError) Error() string { return fmt.Sprintf("the fleet already has spec %s", e.Spec) }

// TargetSpec returns the spec that results from applying the change to another spec. It reads the plan's or the
// program's file.
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
