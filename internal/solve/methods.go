package solve

import "fmt"

// Method is an algorithm that computes plans. All methods use the same model and constraints.
type Method interface {
	// Name returns the method's name in answers and on the command line.
	Name() string
	// solve solves the model of one point in time.
	solve(m *model, constraints *constraintSet, stop Stop) outcome
}

// MethodByName returns a method by its name.
func MethodByName(name string) (Method, error) {
	for _, m := range []Method{Solver{}, Exhaustive{}, Proportional{}} {
		if m.Name() == name {
			return m, nil
		}
	}
	return nil, fmt.Errorf("method %q is none of solver, exhaustive, proportional", name)
}

// Solver is integer programming, with proofs of optimality.
type Solver struct{}

// Name returns "solver".
func (Solver) Name() string { return "solver" }

func (Solver) solve(m *model, constraints *constraintSet, stop Stop) outcome {
	return m.solveStages(constraints, stop)
}

// Exhaustive enumerates all plans of a small problem.
type Exhaustive struct{}

// Name returns "exhaustive".
func (Exhaustive) Name() string { return "exhaustive" }

// maxStates is the number of states beyond which the exhaustive search gives up.
const maxStates = 100_000

func (Exhaustive) solve(m *model, constraints *constraintSet, _ Stop) outcome {
	found := m.searchExhaustively(constraints, maxStates)
	switch {
	case !found.isComplete:
		return outcome{}
	case found.solution == nil:
		return outcome{isInfeasible: true}
	}
	return outcome{
		solution:  found.solution,
		objective: found.objective,
		bound:     found.objective,
		proved:    Proved{Value: true, Cost: true, MaxUtilization: true},
	}
}
