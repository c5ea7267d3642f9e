package solve

import (
	"fmt"
	"slices"
)

// Verify holds a step of a plan against a problem, as if nobody had solved it: names, whole threads, every limit and
// demand, the figures it tells. It shares the reading of the problem with the solver, nothing else.
func Verify(problem *Problem, step Step) error {
	m := newModel(problem, step.FromMS)
	solution := m.emptySolution()
	for i, g := range m.groupOf {
		if g >= 0 {
			solution.threads[i] = make([]int64, len(m.classes))
		}
	}
	for _, t := range step.Threads {
		e := slices.IndexFunc(problem.Engines, func(e Engine) bool { return e.Name == t.Engine })
		w := slices.IndexFunc(m.workloads, func(w workload) bool {
			class := m.classes[w.class]
			return problem.Types[class.typ].Name == t.Type && problem.Zones[class.zone].Name == t.Zone && problem.Tenants[w.tenant].Name == t.Tenant
		})
		if e < 0 || w < 0 || t.Threads < 1 {
			return fmt.Errorf("%d threads of type %s for tenant %s from zone %s on engine %s: not in the problem", t.Threads, t.Type,
				t.Tenant, t.Zone, t.Engine)
		}
		if solution.threads[e] == nil {
			return fmt.Errorf("engine %s gets threads though it is to get none", t.Engine)
		}
		solution.threads[e][m.workloads[w].class] += t.Threads
		solution.granted[w] += t.Threads
	}
	constraints := m.unconstrained()
	var losses []map[int]int64
	for _, d := range m.requirements() {
		d.apply(&constraints, &losses, d.strictest)
	}
	if err := m.violation(solution, &constraints); err != nil {
		return err
	}
	if got := m.measure(solution); got != (measure{step.Value, step.Cost, step.Evenness}) {
		return fmt.Errorf("it tells value %d, cost %d, evenness %d: they are %d, %d, %d", step.Value, step.Cost, step.Evenness, got.value,
			got.cost, got.utilization)
	}
	return nil
}

// Demands names all that a checked problem asks for, as conflicts name them.
func Demands(problem *Problem) (names []string) {
	for _, d := range newModel(problem, 0).requirements() {
		names = append(names, d.name)
	}
	return names
}

// Fits tells whether some of the demands, by name, can be met together, by trying all. known is false where that is
// too much to try.
func Fits(problem *Problem, names []string) (fits, known bool) {
	m := newModel(problem, 0)
	constraints := m.unconstrained()
	losses := []map[int]int64{nil}
	for _, d := range m.requirements() {
		if slices.Contains(names, d.name) {
			d.apply(&constraints, &losses, d.strictest)
		}
	}
	for _, lost := range losses {
		without := constraints
		without.remaining = lost
		_, _, can, whole := m.exhaustive(&without, maxStates)
		if !whole || !can {
			return false, whole
		}
	}
	return true, true
}
