package solve

// Options are the parameters of Solve.
type Options struct {
	Method  Method // nil: Solver
	Stop    Stop   // nil: no time limit
	Explain bool   // also report the binding constraints and the gain from relaxing each
}

// Solve computes an answer to a checked problem. Without Stop the result is deterministic: among equal optima it
// returns the one that the search, in its fixed order, finds first.
func Solve(problem *Problem, options Options) Answer {
	method := options.Method
	if method == nil {
		method = Solver{}
	}
	answer := Answer{Method: method.Name(), Status: Optimal}
	stepTimes := problem.stepTimes()
	for i, atMS := range stepTimes {
		// Divides the time evenly among the steps.
		stop := func(part int) bool {
			return options.Stop != nil && options.Stop((i*perMille+part)/len(stepTimes))
		}
		m := newModel(problem, atMS)
		constraints, outages := m.applyAll(m.requirements())
		out := m.solveStep(method, &constraints, outages, stop)
		if out.solution == nil {
			answer.addFailure(m, out, atMS, stop)
			return answer
		}
		answer.addStep(m.step(out, atMS), out)
		isLast := i == len(stepTimes)-1
		if isLast && options.Explain && out.master != nil {
			answer.Binding = m.bindings(&constraints, out, stopAfter(stop, utilizationEnds))
		}
	}
	return answer
}

// solveStep solves the model of one step. The outcome has no solution if the minimums cannot be met in one of the
// outages.
func (m *model) solveStep(method Method, constraints *constraintSet, outages []outage, stop Stop) outcome {
	out := method.solve(m, constraints, stop)
	for _, remaining := range outages {
		if out.solution == nil {
			break
		}
		without := *constraints
		without.outage = remaining
		fit := m.checkMinimumsBy(method, &without, stop)
		if fit != feasible {
			out.solution = nil
		}
		out.isInfeasible = fit == infeasible
	}
	return out
}

// checkMinimumsBy reports whether all minimums can be met, by exhaustive search if that is the method.
func (m *model) checkMinimumsBy(method Method, constraints *constraintSet, stop Stop) feasibility {
	if _, isExhaustive := method.(Exhaustive); !isExhaustive {
		return m.minimumsFeasibility(constraints, stopAfter(stop, utilizationEnds))
	}
	result := m.searchExhaustively(constraints, maxStates)
	switch {
	case result.solution != nil:
		return feasible
	case result.isComplete:
		return infeasible
	}
	return undecided
}

// addFailure records that a step has no solution, with the conflicts if that is proved.
func (a *Answer) addFailure(m *model, out outcome, atMS int64, stop Stop) {
	a.Steps = nil
	a.Status = Unknown
	if out.isInfeasible {
		a.Status = Infeasible
		a.Conflicts = m.conflicts(atMS, stopAfter(stop, utilizationEnds))
	}
}

// addStep appends a step and takes over its figures. The status is Optimal only if that of all steps is.
func (a *Answer) addStep(step Step, out outcome) {
	a.Steps = append(a.Steps, step)
	if step.Status == Feasible {
		a.Status = Feasible
	}
	a.Value = out.objective.value
	a.Cost = out.objective.cost
	a.MaxUtilization = out.objective.utilization
	a.Bound = out.bound.value
	a.CostBound = out.bound.cost
	a.MaxUtilizationBound = out.bound.utilization
	a.Proved = out.proved
	a.Gap = 0
	if a.Bound > a.Value {
		a.Gap = float64(a.Bound-a.Value) / float64(a.Bound)
	}
}
