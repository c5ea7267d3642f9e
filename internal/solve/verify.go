package solve

import (
	"fmt"
	"slices"
)

// Verify holds a step of a plan against a problem, as if nobody had solved it: names, whole threads, every limit and
// demand, and its figures. It shares the reading of the problem with the solver, nothing else.
func Verify(problem *Problem, step Step) error {
	m := newModel(problem, step.FromMS)
	s, err := m.solutionIn(step)
	if err != nil {
		return err
	}
	constraints, _ := m.applyAll(m.requirements())
	if err := m.violation(s, &constraints); err != nil {
		return err
	}
	stated := measure{value: step.Value, cost: step.Cost, utilization: step.Evenness}
	if found := m.measure(s); found != stated {
		return fmt.Errorf("it tells value %d, cost %d, evenness %d: they are %d, %d, %d",
			stated.value, stated.cost, stated.utilization, found.value, found.cost, found.utilization)
	}
	return nil
}

// solutionIn reads the threads of a step.
func (m *model) solutionIn(step Step) (*solution, error) {
	s := m.emptySolution()
	for i, group := range m.groupOf {
		if group >= 0 {
			s.threads[i] = make([]int64, len(m.classes))
		}
	}
	for _, t := range step.Threads {
		engine := slices.IndexFunc(m.problem.Engines, func(e Engine) bool { return e.Name == t.Engine })
		load := slices.IndexFunc(m.workloads, func(w workload) bool { return m.isOf(w, t) })
		if engine < 0 || load < 0 || t.Threads < 1 {
			return nil, fmt.Errorf("%d threads of type %s for tenant %s from zone %s on engine %s: not in the problem",
				t.Threads, t.Type, t.Tenant, t.Zone, t.Engine)
		}
		if s.threads[engine] == nil {
			return nil, fmt.Errorf("engine %s gets threads though it is to get none", t.Engine)
		}
		s.threads[engine][m.workloads[load].class] += t.Threads
		s.granted[load] += t.Threads
	}
	return s, nil
}

// isOf reports whether threads of a plan are for a workload.
func (m *model) isOf(w workload, t Threads) bool {
	class := m.classes[w.class]
	return m.problem.Types[class.typ].Name == t.Type &&
		m.problem.Zones[class.zone].Name == t.Zone &&
		m.problem.Tenants[w.tenant].Name == t.Tenant
}

// Demands names all that a checked problem asks for, as conflicts name them.
func Demands(problem *Problem) []string {
	var names []string
	for _, r := range newModel(problem, 0).requirements() {
		names = append(names, r.name)
	}
	return names
}

// Fits reports whether some of the demands, by name, can be met together, by trying all. known is false where that is
// too much to try.
func Fits(problem *Problem, names []string) (fits, known bool) {
	m := newModel(problem, 0)
	chosen := slices.DeleteFunc(m.requirements(), func(r requirement) bool { return !slices.Contains(names, r.name) })
	constraints, losses := m.applyAll(chosen)
	for _, remaining := range append([]loss{nil}, losses...) {
		without := constraints
		without.remaining = remaining
		tried := m.tryAll(&without, maxStates)
		if !tried.isComplete || tried.solution == nil {
			return false, tried.isComplete
		}
	}
	return true, true
}
