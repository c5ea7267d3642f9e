package solve

// Options say how to solve.
type Options struct {
	Method  Method // nil: Solver
	Stop    Stop   // nil: as long as it takes
	Explain bool   // also what binds, and what one more unit of it would bring
}

// Solve works out an answer to a checked problem. Without Stop the same problem gives the same answer at every run:
// where several are best, the one that a search in a fixed order meets first.
func Solve(problem *Problem, options Options) Answer {
	method := options.Method
	if method == nil {
		method = Solver{}
	}
	answer := Answer{Method: method.Name(), Status: Optimal}
	moments := problem.moments()
	for i, atMS := range moments {
		// Each moment has an even part of the time.
		stop := func(part int) bool {
			return options.Stop != nil && options.Stop((i*perMille+part)/len(moments))
		}
		m := newModel(problem, atMS)
		constraints, losses := m.applyAll(m.requirements())
		out := m.solveMoment(method, &constraints, losses, stop)
		if out.solution == nil {
			answer.addFailure(m, out, atMS, stop)
			return answer
		}
		answer.addStep(m.step(out, atMS), out)
		isLast := i == len(moments)-1
		if isLast && options.Explain && out.master != nil {
			answer.Binding = m.bindings(&constraints, out, upTo(stop, utilizationEnds))
		}
	}
	return answer
}

// solveMoment solves one moment; there is no solution if a loss leaves too little for what must be served.
func (m *model) solveMoment(method Method, constraints *constraintSet, losses []loss, stop Stop) outcome {
	out := method.at(m, constraints, stop)
	for _, remaining := range losses {
		if out.solution == nil {
			break
		}
		without := *constraints
		without.remaining = remaining
		fit := m.minimumsFit(method, &without, stop)
		if fit != feasible {
			out.solution = nil
		}
		out.isInfeasible = fit == infeasible
	}
	return out
}

// minimumsFit reports whether what must be served can be.
func (m *model) minimumsFit(method Method, constraints *constraintSet, stop Stop) feasibility {
	if _, isExhaustive := method.(Exhaustive); !isExhaustive {
		return m.minimumsFeasibility(constraints, upTo(stop, utilizationEnds))
	}
	tried := m.tryAll(constraints, maxStates)
	switch {
	case tried.solution != nil:
		return feasible
	case tried.isComplete:
		return infeasible
	}
	return undecided
}

// addFailure says that a moment has no solution, and why if that is proved.
func (a *Answer) addFailure(m *model, out outcome, atMS int64, stop Stop) {
	a.Steps = nil
	a.Status = Unknown
	if out.isInfeasible {
		a.Status = Infeasible
		a.Conflicts = m.conflicts(atMS, upTo(stop, utilizationEnds))
	}
}

// addStep adds a step. The figures of the last one stand on top; the least sure status of all counts.
func (a *Answer) addStep(step Step, out outcome) {
	a.Steps = append(a.Steps, step)
	if step.Status == Feasible {
		a.Status = Feasible
	}
	a.Value = out.measure.value
	a.Cost = out.measure.cost
	a.Evenness = out.measure.utilization
	a.Bound = out.bound.value
	a.CostBound = out.bound.cost
	a.EvennessBound = out.bound.utilization
	a.Proved = out.proved
	a.Gap = 0
	if a.Bound > a.Value {
		a.Gap = float64(a.Bound-a.Value) / float64(a.Bound)
	}
}
