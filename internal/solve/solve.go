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
	if options.Method == nil {
		options.Method = Solver{}
	}
	a := Answer{Method: options.Method.Name(), Status: Optimal}
	moments := problem.moments()
	for i, at := range moments {
		// Each moment has an even part of the time.
		stop := func(perMille int) bool { return options.Stop != nil && options.Stop((i*1000+perMille)/len(moments)) }
		m := newModel(problem, at)
		constraints := m.unconstrained()
		var losses []map[int]int64
		for _, d := range m.requirements() {
			d.apply(&constraints, &losses, d.strictest)
		}
		out := options.Method.at(m, &constraints, stop)
		for _, lost := range losses {
			if out.solution == nil {
				break
			}
			without := constraints
			without.remaining = lost
			if !m.holdsWithout(options.Method, &without, &out, upTo(stop, utilizationEnds)) {
				out.solution = nil
			}
		}
		if out.solution == nil {
			a.Status = Unknown
			if out.isInfeasible {
				a.Status = Infeasible
				a.Conflicts = m.conflicts(at, func() bool { return stop(utilizationEnds) })
			}
			a.Steps = nil
			return a
		}
		a.take(m.step(out, at), out)
		if at == moments[len(moments)-1] && options.Explain && out.master != nil {
			a.Binding = m.bindings(&constraints, out, func() bool { return stop(utilizationEnds) })
		}
	}
	return a
}

// holdsWithout tells whether what must be served still can be, a loss included.
func (m *model) holdsWithout(by Method, without *constraintSet, out *outcome, stop func() bool) bool {
	if _, tries := by.(Exhaustive); tries {
		_, _, can, whole := m.exhaustive(without, maxStates)
		out.isInfeasible = whole && !can
		return can
	}
	answer := m.minimumsFeasibility(without, stop)
	out.isInfeasible = answer == infeasible
	return answer == feasible
}

// take adds a step; the last one's figures stand on top, the least sure status of all counts.
func (a *Answer) take(s Step, out outcome) {
	a.Steps = append(a.Steps, s)
	if s.Status == Feasible {
		a.Status = Feasible
	}
	a.Value, a.Cost, a.Evenness, a.Bound = out.measure.value, out.measure.cost, out.measure.utilization, out.bound.value
	a.CostBound, a.EvennessBound = out.bound.cost, out.bound.utilization
	a.Proved = Proved{out.proved[0], out.proved[1], out.proved[2]}
	if a.Gap = 0; a.Bound > a.Value {
		a.Gap = float64(a.Bound-a.Value) / float64(a.Bound)
	}
}
