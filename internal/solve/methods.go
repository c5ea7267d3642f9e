package solve

import "fmt"

// Method works an answer out. All read the same problem and are held to the same demands.
type Method interface {
	Name() string
	// at solves one moment of the warm-up.
	at(m *model, h *constraintSet, stop Stop) outcome
}

// Named gives a method by its name.
func Named(name string) (Method, error) {
	for _, m := range []Method{Solver{}, Exhaustive{}, Proportional{}} {
		if m.Name() == name {
			return m, nil
		}
	}
	return nil, fmt.Errorf("method %q is none of solver, exhaustive, proportional", name)
}

// Solver proves its answers.
type Solver struct{}

// Name is solver.
func (Solver) Name() string { return "solver" }

func (Solver) at(model *model, constraints *constraintSet, stop Stop) outcome {
	return model.solveStages(constraints, stop)
}

// Exhaustive tries all, on small problems.
type Exhaustive struct{}

// Name is exhaustive.
func (Exhaustive) Name() string { return "exhaustive" }

// mostStates is up to how many states of part of the fleet all are tried.
const maxStates = 100_000

func (Exhaustive) at(model *model, constraints *constraintSet, _ Stop) (out outcome) {
	solution, got, fits, whole := model.exhaustive(constraints, maxStates)
	if !whole {
		return outcome{}
	}
	if !fits {
		return outcome{isInfeasible: true}
	}
	return outcome{solution: solution, measure: got, bound: got, proved: [3]bool{true, true, true}}
}

// Proportional is what the decision module does without a plan, as far as it can be said ahead: tenants alike share the
// threads, types by their order of billed value for their work, each job where most room is.
type Proportional struct{}

// Name is proportional.
func (Proportional) Name() string { return "proportional" }

func (Proportional) at(model *model, constraints *constraintSet, _ Stop) (out outcome) {
	s := model.emptySolution()
	free, memory := make([]int64, len(model.problem.Engines)), make([]int64, len(model.problem.Engines))
	for i := range free {
		if model.groupOf[i] >= 0 {
			free[i], memory[i] = model.maxThreadsOf(i, constraints), model.groups[model.groupOf[i]].memoryMB
			s.threads[i] = make([]int64, len(model.classes))
		}
	}
	crossing := make([]int64, len(model.problem.Zones))
	tenants := make([]int64, len(model.problem.Tenants))
	part := model.fleetThreads / int64(len(model.problem.Tenants))
	place := func(w workload) bool {
		class := model.classes[w.class]
		best := -1
		for i := range free {
			if free[i] < 1 || memory[i] < model.threadMemoryMB[class.typ] {
				continue
			}
			g := &model.groups[model.groupOf[i]]
			if !g.canRun[w.class] || !model.isPlacementAllowed(class.typ, g) ||
				(constraints.crossingBudgets[class.zone] >= 0 && crossing[class.zone]+g.bytes[w.class] > constraints.crossingBudgets[class.zone]) {
				continue
			}
			if best < 0 || free[i]*model.groups[model.groupOf[best]].threads > free[best]*g.threads {
				best = i
			}
		}
		if best < 0 {
			return false
		}
		free[best], memory[best] = free[best]-1, memory[best]-model.threadMemoryMB[class.typ]
		s.threads[best][w.class]++
		crossing[class.zone] += model.groups[model.groupOf[best]].bytes[w.class]
		tenants[w.tenant]++
		return true
	}
	for _, own := range []bool{true, false} { // within even parts first, then what is left over
		for again := true; again; {
			again = false
			for i, w := range model.workloads { // a thread each in turn
				quota := constraints.quotas[w.tenant]
				if s.granted[i] < w.threads && (!own || tenants[w.tenant] < part) && (quota < 0 || tenants[w.tenant] < quota) && place(w) {
					s.granted[i]++
					again = true
				}
			}
		}
	}
	out.solution, out.measure = s, model.measure(s)
	for _, w := range model.workloads {
		out.bound.value += w.valueOf(w.threads, model.threadValues[model.classes[w.class].typ])
	}
	if model.violation(s, constraints) != nil {
		out.solution = nil // a formula does not look for what must hold
	}
	return out
}
