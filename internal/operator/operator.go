// Package operator reads the operator's file, which enables functions of swiftreel beyond those that the ROUTER_*
// variables configure. A function whose part of the file is absent is off.
//
// The file is JSON of limited size with the schema deploy/operator.schema.json. Load reports all problems that it finds
// in a part together and fills in defaults.
package operator

import (
	"path/filepath"

	"swiftreel/internal/plan"
	"swiftreel/internal/schema"
	"swiftreel/internal/solve"
)

// File is the operator's file together with the plan file that it names. A part that is nil is off.
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
	UntilNS      int64   `json:"until_boot_ns"` // expiry by the machine's monotonic clock; 0: never

	Answer solve.Answer `json:"-"` // the plan itself
}

// defaultDemandFactor is the default of Plan.DemandFactor.
const defaultDemandFactor = 3

// Load reads the file and the plan that it names. An empty path returns the zero File. If the content of either is
// invalid, the error is a *schema.ValidationError.
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

// load reads the plan file; directory is that of the operator's file.
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
