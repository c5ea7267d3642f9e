package solve

import "fmt"

// Method works an answer out. All read the same problem and are held to the same constraints.
type Method interface {
	// Name is the method's name in answers and on the command line.
	Name() string
	// at solves one moment of the warm-up.
	at(m *model, constraints *constraintSet, stop Stop) outcome
}

// Named returns a method by its name.
func Named(name string) (Method, error) {
	for _, m := range []Method{Solver{}, Exhaustive{}, Proportional{}} {
		if m.Name() == name {
			return m, nil
		}
	}
	return nil, fmt.Errorf("method %q is none of solver, exhaustive, proportional", name)
}

// Solver proves its answers by integer programming.
type Solver struct{}

// Name is "solver".
func (Solver) Name() string { return "solver" }

func (Solver) at(m *model, constraints *constraintSet, stop Stop) outcome {
	return m.solveStages(constraints, stop)
}

// Exhaustive tries everything, on small problems.
type Exhaustive struct{}

// Name is "exhaustive".
func (Exhaustive) Name() string { return "exhaustive" }

// maxStates is the number of states of part of the fleet up to which everything is tried.
const maxStates = 100_000

func (Exhaustive) at(m *model, constraints *constraintSet, _ Stop) outcome {
	found := m.tryAll(constraints, maxStates)
	switch {
	case !found.isComplete:
		return outcome{}
	case found.solution == nil:
		return outcome{isInfeasible: true}
	}
	return outcome{
		solution: found.solution,
		measure:  found.measure,
		bound:    found.measure,
		proved:   Proved{Value: true, Cost: true, Evenness: true},
	}
}
