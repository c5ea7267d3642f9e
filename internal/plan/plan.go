// Package plan reads plans, holds them against problems and tells two apart.
package plan

import (
	"fmt"
	"slices"

	"swiftreel/internal/schema"
	"swiftreel/internal/solve"
)

// Load reads a plan; what cannot be followed is an error with all its faults.
func Load(path string) (a solve.Answer, err error) {
	if err := schema.Read(path, schema.Plan, &a); err != nil {
		return solve.Answer{}, err
	}
	if list := faults(a); len(list) > 0 {
		return solve.Answer{}, &schema.ValidationError{File: path, Problems: list}
	}
	return a, nil
}

// LoadProblem reads a problem and checks it whole.
func LoadProblem(path string) (*solve.Problem, error) {
	p := new(solve.Problem)
	if err := schema.Read(path, schema.Problem, p); err != nil {
		return nil, err
	}
	if list := p.Check(); len(list) > 0 {
		f := &schema.ValidationError{File: path}
		for _, fault := range list {
			f.Problems = append(f.Problems, fault.String())
		}
		return nil, f
	}
	return p, nil
}

// faults are contradictions that a schema does not see.
func faults(a solve.Answer) (list []string) {
	for i, s := range a.Steps {
		at := fmt.Sprintf("/steps/%d", i)
		if i == 0 && s.FromMS != 0 || i > 0 && s.FromMS <= a.Steps[i-1].FromMS {
			list = append(list, at+"/from_ms: steps begin at 0 and follow each other")
		}
		may := map[string]int64{}
		for k, u := range s.Use {
			if _, twice := may[u.Engine]; twice {
				list = append(list, fmt.Sprintf("%s/use/%d: engine %q stands twice", at, k, u.Engine))
			}
			may[u.Engine] = u.Usable
		}
		given := map[string]int64{}
		for k, t := range s.Threads {
			if _, known := may[t.Engine]; !known {
				list = append(list, fmt.Sprintf("%s/threads/%d: engine %q does not stand in use", at, k, t.Engine))
			}
			given[t.Engine] += t.Threads
		}
		for k, u := range s.Use {
			if given[u.Engine] > u.Usable || given[u.Engine] != u.Threads {
				list = append(list, fmt.Sprintf("%s/use/%d: engine %q is given %d threads, it tells %d of %d", at, k, u.Engine, given[u.Engine], u.Threads, u.Usable))
			}
		}
		sum := int64(0)
		for _, share := range s.Shares {
			sum += share.PerMillion
		}
		if sum > 1_000_000 {
			list = append(list, fmt.Sprintf("%s/shares: they sum to %d millionths", at, sum))
		}
	}
	return list
}

// Verify holds each step of a plan against the problem that it is for.
func Verify(p *solve.Problem, a solve.Answer) error {
	for i, s := range a.Steps {
		if err := solve.Verify(p, s); err != nil {
			return fmt.Errorf("/steps/%d: %w", i, err)
		}
	}
	return nil
}

// Change is threads that a plan gives more, or fewer, than another.
type Change struct {
	Type   string `json:"type"`
	Tenant string `json:"tenant"`
	Engine string `json:"engine"`
	Before int64  `json:"before"`
	After  int64  `json:"after"`
}

// Diff tells the last steps of two plans apart, in order of type, tenant and engine; zones of origin are summed.
func Diff(before, after solve.Answer) (list []Change) {
	type key struct{ typ, tenant, engine string }
	sums := map[key][2]int64{}
	for side, a := range [...]solve.Answer{before, after} {
		for _, t := range a.Steps[len(a.Steps)-1].Threads {
			k := key{t.Type, t.Tenant, t.Engine}
			s := sums[k]
			s[side] += t.Threads
			sums[k] = s
		}
	}
	for k, s := range sums {
		if s[0] != s[1] {
			list = append(list, Change{k.typ, k.tenant, k.engine, s[0], s[1]})
		}
	}
	slices.SortFunc(list, func(a, b Change) int {
		return slices.Compare([]string{a.Type, a.Tenant, a.Engine}, []string{b.Type, b.Tenant, b.Engine})
	})
	return list
}
