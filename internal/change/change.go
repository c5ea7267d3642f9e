package change

import (
	"encoding/json"
	"fmt"
	"path/filepath"

	"swiftreel/internal/canary"
	"swiftreel/internal/schema"
)

// Kind is what a change changes.
type Kind string

// The kinds.
const (
	KindSettings Kind = "settings" // the operator's part shape
	KindPlan     Kind = "plan"
	KindProgram  Kind = "program"
)

// Stage says which controllers are on the new version once it stands: named, or a part of them all.
type Stage struct {
	Members  []string `json:"members"`
	PerMille int64    `json:"per_mille"`
}

// Pace is how long things may take. All in milliseconds of the conductor's own time.
type Timing struct {
	BaselineMS         int64 `json:"base_ms"`           // before the first stage all are watched so long
	BakeMS             int64 `json:"bake_ms"`           // a stage stands at least so long
	MaxBakeMS          int64 `json:"most_ms"`           // and at most so long: then it is undecided, which is no success
	ApplyTimeoutMS     int64 `json:"apply_ms"`          // a controller that has not taken its order by then has failed
	SettleMS           int64 `json:"steady_ms"`         // its jobs count so long after it took its order
	UnreachableAfterMS int64 `json:"unheard_ms"`        // out of reach is one not heard of for so long
	SharedRecoveryMS   int64 `json:"shared_ms"`         // what the change did to all is over so long after it is withdrawn
	MaxSharedRetries   int64 `json:"shared_tries"`      // so often a stage is withdrawn for what was the day
	MinHealthyPerMille int64 `json:"healthy_per_mille"` // of all controllers; never fewer serve by the change's doing
	PollIntervalMS     int64 `json:"look_ms"`
}

// Usual is the pace where a change states none.
func (p Timing) usual() Timing {
	for _, f := range []struct {
		at    *int64
		usual int64
	}{{&p.BaselineMS, 60_000}, {&p.BakeMS, 60_000}, {&p.MaxBakeMS, 900_000}, {&p.ApplyTimeoutMS, 120_000}, {&p.SettleMS, 2000}, {&p.UnreachableAfterMS, 5000},
		{&p.SharedRecoveryMS, 30_000}, {&p.MaxSharedRetries, 2}, {&p.MinHealthyPerMille, 500}, {&p.PollIntervalMS, 1000}} {
		if *f.at == 0 {
			*f.at = f.usual
		}
	}
	return p
}

// Change is a change as its file says.
type Change struct {
	Number int64  `json:"number"` // over that of every change before
	Title  string `json:"title"`
	Kind   Kind   `json:"kind"`
	Target struct {
		Topology json.RawMessage `json:"shape"`
		Plan     string          `json:"plan"`    // a file, relative to this one
		Program  string          `json:"program"` // a file at the same place for every keeper
	} `json:"to"`
	Stages []Stage       `json:"stages"`
	Timing Timing        `json:"pace"`
	Limits canary.Limits `json:"limits"`
}

// Load reads a change whole; the error names every fault by path.
func Load(path string) (c Change, err error) {
	c.Limits = canary.DefaultLimits()
	if err := schema.Read(path, schema.Change, &c); err != nil {
		return Change{}, err
	}
	c.Timing = c.Timing.usual()
	if len(c.Stages) == 0 {
		c.Stages = []Stage{{PerMille: 1}, {PerMille: 330}, {PerMille: 1000}}
	}
	if c.Target.Plan != "" && !filepath.IsAbs(c.Target.Plan) {
		c.Target.Plan = filepath.Join(filepath.Dir(path), c.Target.Plan)
	}
	if list := c.Validate(); len(list) > 0 {
		return Change{}, &schema.ValidationError{File: path, Problems: list}
	}
	return c, nil
}

// Faults are contradictions that a schema does not see.
func (c Change) Validate() (list []string) {
	for name, is := range map[Kind]bool{KindSettings: c.Target.Topology != nil, KindPlan: c.Target.Plan != "", KindProgram: c.Target.Program != ""} {
		if is != (name == c.Kind) {
			list = append(list, fmt.Sprintf("/to: kind %s and its part do not agree", c.Kind))
			break
		}
	}
	if len(c.Stages) == 0 || c.Number < 1 || c.Timing.PollIntervalMS < 1 {
		return append(list, "/: not complete") // the schema sees to it in a file
	}
	last := Stage{}
	for i, s := range c.Stages {
		if (len(s.Members) > 0) == (s.PerMille > 0) {
			list = append(list, fmt.Sprintf("/stages/%d: either members or per_mille", i))
		}
		if s.PerMille > 0 && s.PerMille <= last.PerMille {
			list = append(list, fmt.Sprintf("/stages/%d/per_mille: %d does not grow", i, s.PerMille))
		}
		last.PerMille = max(last.PerMille, s.PerMille)
	}
	if s := c.Stages[len(c.Stages)-1]; s.PerMille != 1000 {
		list = append(list, fmt.Sprintf("/stages/%d/per_mille: the last stage is all of them, 1000", len(c.Stages)-1))
	}
	if c.Timing.MaxBakeMS < c.Timing.BakeMS {
		list = append(list, "/pace/most_ms: under bake_ms")
	}
	return list
}

// Leads is the spec that the change leads to from one.
func (c Change) TargetSpec(from Spec) (to Spec, err error) {
	to = from
	switch c.Kind {
	case KindSettings:
		to.Topology = c.Target.Topology
		if string(to.Topology) == "null" {
			to.Topology = nil
		}
	case KindPlan:
		var text json.RawMessage
		if err := schema.Read(c.Target.Plan, schema.Plan, &text); err != nil {
			return to, err
		}
		to.Plan = text
	case KindProgram:
		if to.Program.Digest, err = FileDigest(c.Target.Program); err != nil {
			return to, err
		}
		to.Program.Path = c.Target.Program
	}
	if to.Digest() == from.Digest() {
		return to, fmt.Errorf("the fleet is there already: %s", from.Digest())
	}
	return to, nil
}
