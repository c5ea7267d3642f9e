// Package plan reads plan and problem files, verifies plans against problems and compares plans.
package plan

import (
	"cmp"
	"fmt"
	"slices"

	"swiftreel/internal/schema"
	"swiftreel/internal/solve"
)

// maxShareSum is the maximum sum of the tenants' shares in a step, in millionths.
const maxShareSum = 1_000_000

// Load reads a plan file. If the plan is invalid, the error is a *schema.ValidationError.
func Load(path string) (solve.Answer, error) {
	var answer solve.Answer
	if err := schema.Read(path, schema.Plan, &answer); err != nil {
		return solve.Answer{}, err
	}
	if problems := planProblems(answer); len(problems) > 0 {
		return solve.Answer{}, &schema.ValidationError{File: path, Problems: problems}
	}
	return answer, nil
}

// LoadProblem reads a problem file. If the problem is invalid, the error is a *schema.ValidationError.
func LoadProblem(path string) (*solve.Problem, error) {
	problem := new(solve.Problem)
	if err := schema.Read(path, schema.Problem, problem); err != nil {
		return nil, err
	}
	faults := problem.Check()
	if len(faults) == 0 {
		return problem, nil
	}
	invalid := &schema.ValidationError{File: path}
	for _, fault := range faults {
		invalid.Problems = append(invalid.Problems, fault.String())
	}
	return nil, invalid
}

// Verify checks that each step of a plan satisfies the limits and requirements of a problem.
func Verify(problem *solve.Problem, answer solve.Answer) error {
	for i, step := range answer.Steps {
		if err := solve.Verify(problem, step); err != nil {
			return fmt.Errorf("/steps/%d: %w", i, err)
		}
	}
	return nil
}

// planProblems returns the problems of a plan that the schema cannot detect.
func planProblems(answer solve.Answer) []string {
	var problems []string
	for i, step := range answer.Steps {
		path := fmt.Sprintf("/steps/%d", i)
		if !beginsInOrder(answer.Steps, i) {
			problems = append(problems, path+"/from_ms: steps begin at 0 and follow each other")
		}
		problems = append(problems, threadProblems(path, step)...)
		problems = append(problems, shareProblems(path, step)...)
	}
	return problems
}

func beginsInOrder(steps []solve.Step, i int) bool {
	if i == 0 {
		return steps[i].FromMS == 0
	}
	return steps[i].FromMS > steps[i-1].FromMS
}

// threadProblems compares the threads of a step with its list of engine use.
func threadProblems(path string, step solve.Step) []string {
	var problems []string
	limits := map[string]int64{}
	for i, use := range step.Use {
		if _, isDuplicate := limits[use.Engine]; isDuplicate {
			problems = append(problems, fmt.Sprintf("%s/use/%d: engine %q stands twice", path, i, use.Engine))
		}
		limits[use.Engine] = use.Usable
	}
	assigned := map[string]int64{}
	for i, t := range step.Threads {
		if _, known := limits[t.Engine]; !known {
			problems = append(problems, fmt.Sprintf("%s/threads/%d: engine %q does not stand in use", path, i, t.Engine))
		}
		assigned[t.Engine] += t.Threads
	}
	for i, use := range step.Use {
		if threads := assigned[use.Engine]; threads > use.Usable || threads != use.Threads {
			problems = append(problems, fmt.Sprintf("%s/use/%d: engine %q is assigned %d threads, but use states %d of %d",
				path, i, use.Engine, threads, use.Threads, use.Usable))
		}
	}
	return problems
}

func shareProblems(path string, step solve.Step) []string {
	sum := int64(0)
	for _, share := range step.Shares {
		sum += share.PerMillion
	}
	if sum > maxShareSum {
		return []string{fmt.Sprintf("%s/shares: they sum to %d millionths", path, sum)}
	}
	return nil
}

// ThreadChange is a difference between two plans: the threads for jobs of a type and tenant on an engine.
type ThreadChange struct {
	Type   string `json:"type"`
	Tenant string `json:"tenant"`
	Engine string `json:"engine"`
	Before int64  `json:"before"`
	After  int64  `json:"after"`
}

// compareChanges orders changes by type, tenant and engine.
func compareChanges(a, b ThreadChange) int {
	return cmp.Or(cmp.Compare(a.Type, b.Type), cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Engine, b.Engine))
}

// Diff returns the differences between the last steps of two plans, sorted by type, tenant and engine. Threads are
// summed over zones of origin.
func Diff(before, after solve.Answer) []ThreadChange {
	type key struct{ jobType, tenant, engine string }
	changes := map[key]*ThreadChange{}
	change := func(t solve.Assignment) *ThreadChange {
		k := key{t.Type, t.Tenant, t.Engine}
		if changes[k] == nil {
			changes[k] = &ThreadChange{Type: t.Type, Tenant: t.Tenant, Engine: t.Engine}
		}
		return changes[k]
	}
	for _, t := range lastStep(before).Threads {
		change(t).Before += t.Threads
	}
	for _, t := range lastStep(after).Threads {
		change(t).After += t.Threads
	}
	var list []ThreadChange
	for _, c := range changes {
		if c.Before != c.After {
			list = append(list, *c)
		}
	}
	slices.SortFunc(list, compareChanges)
	return list
}

// lastStep returns the last step of a plan, in which all engines are warm. Load ensures that there is one.
func lastStep(answer solve.Answer) solve.Step { return answer.Steps[len(answer.Steps)-1] }
