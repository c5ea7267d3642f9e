package solve

import (
	"fmt"
	"slices"
)

// Verify checks a step of a plan against a problem: names, numbers of threads, constraints and the stated figures. It
// shares only the model with the solver.
func Verify(problem *Problem, step Step) error {
	m := newModel(problem, step.FromMS)
	s, err := m.solutionOfStep(step)
	if err != nil {
		return err
	}
	constraints, _ := m.applyAll(m.requirements())
	if err := m.violation(s, &constraints); err != nil {
		return err
	}
	stated := objective{value: step.Value, cost: step.Cost, utilization: step.MaxUtilization}
	if found := m.objective(s); found != stated {
		return fmt.Errorf("stated value %d, cost %d, evenness %d; computed %d, %d, %d",
			stated.value, stated.cost, stated.utilization, found.value, found.cost, found.utilization)
	}
	return nil
}

// solutionOfStep converts the threads of a step to a solution.
func (m *model) solutionOfStep(step Step) (*solution, error) {
	s := m.emptySolution()
	for i, group := range m.groupOf {
		if group >= 0 {
			s.threads[i] = make([]int64, len(m.classes))
		}
	}
	for _, t := range step.Threads {
		engine := slices.IndexFunc(m.problem.Engines, func(e Engine) bool { return e.Name == t.Engine })
		load := slices.IndexFunc(m.workloads, func(w workload) bool { return m.isWorkloadOf(w, t) })
		if engine < 0 || load < 0 || t.Threads < 1 {
			return nil, fmt.Errorf("%d threads of type %s for tenant %s from zone %s on engine %s: not in the problem",
				t.Threads, t.Type, t.Tenant, t.Zone, t.Engine)
		}
		if s.threads[engine] == nil {
			return nil, fmt.Errorf("engine %s has no usable threads but is assigned some", t.Engine)
		}
		s.threads[engine][m.workloads[load].class] += t.Threads
		s.granted[load] += t.Threads
	}
	return s, nil
}

// isWorkloadOf reports whether threads of a plan are assigned to a workload.
func (m *model) isWorkloadOf(w workload, t Assignment) bool {
	class := m.classes[w.class]
	return m.problem.Types[class.typ].Name == t.Type &&
		m.problem.Zones[class.zone].Name == t.Zone &&
		m.problem.Tenants[w.tenant].Name == t.Tenant
}

// Requirements returns the names of all requirements of a checked problem, as conflicts state them.
func Requirements(problem *Problem) []string {
	var names []string
	for _, r := range newModel(problem, 0).requirements() {
		names = append(names, r.name)
	}
	return names
}

// Fits reports by exhaustive search whether the named requirements can be met together. known is false if the search
// exceeds its limit.
func Fits(problem *Problem, names []string) (fits, known bool) {
	m := newModel(problem, 0)
	chosen := slices.DeleteFunc(m.requirements(), func(r requirement) bool { return !slices.Contains(names, r.name) })
	constraints, outages := m.applyAll(chosen)
	for _, remaining := range append([]outage{nil}, outages...) {
		without := constraints
		without.outage = remaining
		result := m.searchExhaustively(&without, maxStates)
		if !result.isComplete || result.solution == nil {
			return false, result.isComplete
		}
	}
	return true, true
}
