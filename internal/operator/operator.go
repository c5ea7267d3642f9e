// Package operator reads the operator's file: what swiftreel does beyond serving jobs as ROUTER_* says. Without such a
// file, or without a part in it, nothing of that part is on.
package operator

import (
	"path/filepath"

	"swiftreel/internal/plan"
	"swiftreel/internal/schema"
	"swiftreel/internal/solve"
)

// File is the operator's file with what it names.
type File struct {
	Plan   *Plan   `json:"plan"`
	SPARQL *SPARQL `json:"sparql"`
	Shape  *Shape  `json:"shape"`
	Tally  *Tally  `json:"tally"`
	Fleet  *Fleet  `json:"fleet"`
}

// Plan is a plan to follow.
type Plan struct {
	File         string  `json:"file"`
	DemandFactor float64 `json:"demand_factor"`
	UntilNS      int64   `json:"until_boot_ns"` // by the machine's clock; 0: it does not end

	Answer solve.Answer `json:"-"` // as read
}

// usualFactor is taken where none is told.
const usualFactor = 3

// Load reads the file and what it names, whole; an error names every fault. No path: nothing is on.
func Load(path string) (f File, err error) {
	if path == "" {
		return f, nil
	}
	if err := schema.Read(path, schema.Operator, &f); err != nil {
		return File{}, err
	}
	if f.SPARQL != nil {
		if list := f.SPARQL.complete(); len(list) > 0 {
			return File{}, &schema.Faults{File: path, List: list}
		}
	}
	if f.Fleet != nil {
		if list := f.Fleet.complete(); len(list) > 0 {
			return File{}, &schema.Faults{File: path, List: list}
		}
	}
	if f.Plan != nil {
		if f.Plan.DemandFactor == 0 {
			f.Plan.DemandFactor = usualFactor
		}
		from := f.Plan.File
		if !filepath.IsAbs(from) {
			from = filepath.Join(filepath.Dir(path), from)
		}
		if f.Plan.Answer, err = plan.Load(from); err != nil {
			return File{}, err
		}
	}
	return f, nil
}
