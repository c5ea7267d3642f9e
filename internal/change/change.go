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
	Settings Kind = "settings" // the operator's part shape
	Plan     Kind = "plan"
	Software Kind = "program"
)

// Stage says which controllers are on the new version once it stands: named, or a part of them all.
type Stage struct {
	Members  []string `json:"members"`
	PerMille int64    `json:"per_mille"`
}

// Pace is how long things may take. All in milliseconds of the conductor's own time.
type Pace struct {
	BaseMS          int64 `json:"base_ms"`           // before the first stage all are watched so long
	BakeMS          int64 `json:"bake_ms"`           // a stage stands at least so long
	MostMS          int64 `json:"most_ms"`           // and at most so long: then it is undecided, which is no success
	ApplyMS         int64 `json:"apply_ms"`          // a controller that has not taken its order by then has failed
	SteadyMS        int64 `json:"steady_ms"`         // its jobs count so long after it took its order
	UnheardMS       int64 `json:"unheard_ms"`        // out of reach is one not heard of for so long
	SharedMS        int64 `json:"shared_ms"`         // what the change did to all is over so long after it is withdrawn
	SharedTries     int64 `json:"shared_tries"`      // so often a stage is withdrawn for what was the day
	HealthyPerMille int64 `json:"healthy_per_mille"` // of all controllers; never fewer serve by the change's doing
	LookMS          int64 `json:"look_ms"`
}

// Usual is the pace where a change states none.
func (p Pace) usual() Pace {
	for _, f := range []struct {
		at    *int64
		usual int64
	}{{&p.BaseMS, 60_000}, {&p.BakeMS, 60_000}, {&p.MostMS, 900_000}, {&p.ApplyMS, 120_000}, {&p.SteadyMS, 2000}, {&p.UnheardMS, 5000},
		{&p.SharedMS, 30_000}, {&p.SharedTries, 2}, {&p.HealthyPerMille, 500}, {&p.LookMS, 1000}} {
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
	To     struct {
		Shape   json.RawMessage `json:"shape"`
		Plan    string          `json:"plan"`    // a file, relative to this one
		Program string          `json:"program"` // a file at the same place for every keeper
	} `json:"to"`
	Stages []Stage       `json:"stages"`
	Pace   Pace          `json:"pace"`
	Limits canary.Limits `json:"limits"`
}

// Load reads a change whole; the error names every fault by path.
func Load(path string) (c Change, err error) {
	c.Limits = canary.DefaultLimits()
	if err := schema.Read(path, schema.Change, &c); err != nil {
		return Change{}, err
	}
	c.Pace = c.Pace.usual()
	if len(c.Stages) == 0 {
		c.Stages = []Stage{{PerMille: 1}, {PerMille: 330}, {PerMille: 1000}}
	}
	if c.To.Plan != "" && !filepath.IsAbs(c.To.Plan) {
		c.To.Plan = filepath.Join(filepath.Dir(path), c.To.Plan)
	}
	if list := c.Faults(); len(list) > 0 {
		return Change{}, &schema.ValidationError{File: path, Problems: list}
	}
	return c, nil
}

// Faults are contradictions that a schema does not see.
func (c Change) Faults() (list []string) {
	for name, is := range map[Kind]bool{Settings: c.To.Shape != nil, Plan: c.To.Plan != "", Software: c.To.Program != ""} {
		if is != (name == c.Kind) {
			list = append(list, fmt.Sprintf("/to: kind %s and its part do not agree", c.Kind))
			break
		}
	}
	if len(c.Stages) == 0 || c.Number < 1 || c.Pace.LookMS < 1 {
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
	if c.Pace.MostMS < c.Pace.BakeMS {
		list = append(list, "/pace/most_ms: under bake_ms")
	}
	return list
}

// Leads is the spec that the change leads to from one.
func (c Change) Leads(from Spec) (to Spec, err error) {
	to = from
	switch c.Kind {
	case Settings:
		to.Shape = c.To.Shape
		if string(to.Shape) == "null" {
			to.Shape = nil
		}
	case Plan:
		var text json.RawMessage
		if err := schema.Read(c.To.Plan, schema.Plan, &text); err != nil {
			return to, err
		}
		to.Plan = text
	case Software:
		if to.Program.Digest, err = OfFile(c.To.Program); err != nil {
			return to, err
		}
		to.Program.Path = c.To.Program
	}
	if to.Digest() == from.Digest() {
		return to, fmt.Errorf("the fleet is there already: %s", from.Digest())
	}
	return to, nil
}
