// Package operator reads the operator's file: what swiftreel does beyond serving jobs as the ROUTER_* variables say.
// Without such a file, or without a part of it, nothing of that part is on.
//
// The file is a bounded JSON file with the schema deploy/operator.schema.json. Load reports everything that is wrong
// with it at once; what it returns has all defaults filled in.
package operator

import (
	"path/filepath"

	"swiftreel/internal/plan"
	"swiftreel/internal/schema"
	"swiftreel/internal/solve"
)

// File is the operator's file with the files that it names. A part that is nil is off.
type File struct {
	Plan     *Plan     `json:"plan"`
	SPARQL   *SPARQL   `json:"sparql"`
	Topology *Topology `json:"shape"`
	Stats    *Stats    `json:"tally"`
	Fleet    *Fleet    `json:"fleet"`
}

// Plan names a plan to follow.
type Plan struct {
	File         string  `json:"file"`          // relative to the operator's file
	DemandFactor float64 `json:"demand_factor"` // the plan is not followed where demand is off by more than this factor
	UntilNS      int64   `json:"until_boot_ns"` // when it ends, by the machine's monotonic clock; 0: it does not

	Answer solve.Answer `json:"-"` // the plan itself
}

// defaultDemandFactor is Plan.DemandFactor where the file has none.
const defaultDemandFactor = 3

// Load reads the file and the plan that it names. An empty path gives the zero File. If the content of one of them is
// wrong, the error is a *schema.ValidationError that names every problem.
func Load(path string) (File, error) {
	if path == "" {
		return File{}, nil
	}
	var f File
	if err := schema.Read(path, schema.Operator, &f); err != nil {
		return File{}, err
	}
	if f.SPARQL != nil {
		f.SPARQL.setDefaults()
		if problems := f.SPARQL.problems(); len(problems) > 0 {
			return File{}, &schema.ValidationError{File: path, Problems: problems}
		}
	}
	if f.Fleet != nil {
		f.Fleet.setDefaults()
		if problems := f.Fleet.problems(); len(problems) > 0 {
			return File{}, &schema.ValidationError{File: path, Problems: problems}
		}
	}
	if f.Plan != nil {
		if err := f.Plan.load(filepath.Dir(path)); err != nil {
			return File{}, err
		}
	}
	return f, nil
}

// load reads the plan; directory is where the operator's file is.
func (p *Plan) load(directory string) error {
	if p.DemandFactor == 0 {
		p.DemandFactor = defaultDemandFactor
	}
	path := p.File
	if !filepath.IsAbs(path) {
		path = filepath.Join(directory, path)
	}
	answer, err := plan.Load(path)
	if err != nil {
		return err
	}
	p.Answer = answer
	return nil
}
