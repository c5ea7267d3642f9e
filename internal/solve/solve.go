package solve

// Options say how to solve.
type Options struct {
	Method  Method // nil: Solver
	Stop    Stop   // nil: as long as it takes
	Explain bool   // also what binds, and what one more unit of it would bring
}

// Solve works out an answer to a checked problem. Without Stop the same problem gives the same answer at every run:
// where several are best, the one that a search in a fixed order meets first.
func Solve(p *Problem, o Options) Answer {
	if o.Method == nil {
		o.Method = Solver{}
	}
	a := Answer{Method: o.Method.Name(), Status: Optimal}
	moments := p.moments()
	for i, at := range moments {
		// Each moment has an even part of the time.
		stop := func(perMille int) bool { return o.Stop != nil && o.Stop((i*1000+perMille)/len(moments)) }
		m := newModel(p, at)
		h := m.none()
		var losses []map[int]int64
		for _, d := range m.demands() {
			d.apply(&h, &losses, d.least)
		}
		out := o.Method.at(m, &h, stop)
		for _, lost := range losses {
			if out.sol == nil {
				break
			}
			without := h
			without.lost = lost
			if !m.holdsWithout(o.Method, &without, &out, upTo(stop, levelEnds)) {
				out.sol = nil
			}
		}
		if out.sol == nil {
			a.Status = Unknown
			if out.none {
				a.Status = NoFit
				a.Conflicts = m.conflicts(at, func() bool { return stop(levelEnds) })
			}
			a.Steps = nil
			return a
		}
		a.take(m.step(out, at), out)
		if at == moments[len(moments)-1] && o.Explain && out.master != nil {
			a.Binding = m.bindings(&h, out, func() bool { return stop(levelEnds) })
		}
	}
	return a
}

// holdsWithout tells whether what must be served still can be, a loss included.
func (m *model) holdsWithout(by Method, without *holds, out *outcome, stop func() bool) bool {
	if _, tries := by.(Exhaustive); tries {
		_, _, can, whole := m.exhaustive(without, mostStates)
		out.none = whole && !can
		return can
	}
	answer := m.floorsFit(without, stop)
	out.none = answer == no
	return answer == yes
}

// take adds a step; the last one's figures stand on top, the least sure status of all counts.
func (a *Answer) take(s Step, out outcome) {
	a.Steps = append(a.Steps, s)
	if s.Status == Feasible {
		a.Status = Feasible
	}
	a.Value, a.Cost, a.Evenness, a.Bound = out.got.value, out.got.cost, out.got.level, out.bound.value
	a.CostBound, a.EvennessBound = out.bound.cost, out.bound.level
	a.Proved = Proved{out.proved[0], out.proved[1], out.proved[2]}
	if a.Gap = 0; a.Bound > a.Value {
		a.Gap = float64(a.Bound-a.Value) / float64(a.Bound)
	}
}
