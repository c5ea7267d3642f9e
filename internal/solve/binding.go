package solve

import (
	"fmt"
	"math"
	"slices"
)

// Binding is something that holds the value down, and what one more unit of it would bring a second.
type Binding struct {
	What  string `json:"what"`
	Unit  string `json:"unit"`
	Gain  int64  `json:"gain"`
	Exact bool   `json:"exact"` // solved anew with one more unit; else about so much, by the LP's multiplier
}

// bindings asks of everything in short supply. Where all patterns are written out the problem is solved anew with one
// more unit of each; else the multipliers tell.
func (m *model) bindings(constraints *constraintSet, out outcome, stop func() bool) (list []Binding) {
	s := out.master
	add := func(what, unit string, row int32, change func(constraints *constraintSet) *model) {
		if s.isComplete {
			more := *constraints
			more.quotas, more.crossingBudgets = slices.Clone(constraints.quotas), slices.Clone(constraints.crossingBudgets)
			more.minimums, more.outsideLimits = slices.Clone(constraints.minimums), slices.Clone(constraints.outsideLimits)
			other := change(&more)
			f := newMaster(other, &more).finish(maxValue, out.solution, math.MinInt64, 0, 0, more.maxCost, stop)
			if f.solution != nil && f.value > out.measure.value {
				list = append(list, Binding{what, unit, f.value - out.measure.value, f.bound <= f.value && out.proved[0]})
			}
		} else if y := out.multipliers; row >= 0 && int(row) < len(y.Values) && y.Scale > 0 {
			if by := y.Values[row]; max(by, -by) >= y.Scale {
				list = append(list, Binding{what, unit, max(by, -by) / y.Scale, false})
			}
		}
	}
	for c, cluster := range s.clusters {
		name := m.problem.Engines[cluster.engines[0]].Name
		if len(cluster.engines) > 1 {
			name = fmt.Sprintf("%s or one of %d like it", name, len(cluster.engines)-1)
		}
		add("threads of engine "+name, "one more thread", -1, func(*constraintSet) *model { return m.withExtra(cluster.engines[0], 1, 0) })
		add("memory of engine "+name, "one more MB", -1, func(*constraintSet) *model { return m.withExtra(cluster.engines[0], 0, 1) })
		if !s.isComplete {
			add("engine "+name, "one more such engine", s.convexRows+int32(c), nil)
		}
	}
	for i, t := range m.problem.Tenants {
		if constraints.quotas[i] >= 0 {
			add("quota of tenant "+t.Name, "one more thread", s.quotaRows+int32(i), func(constraints *constraintSet) *model { constraints.quotas[i]++; return m })
		}
	}
	for i, z := range m.problem.Zones {
		if constraints.crossingBudgets[i] >= 0 {
			add("crossing budget of zone "+z.Name, "one more byte a second", s.budgetRows+int32(i), func(constraints *constraintSet) *model { constraints.crossingBudgets[i]++; return m })
		}
	}
	for i, t := range m.problem.Types {
		if constraints.outsideLimits[i] >= 0 {
			add("placement bound of type "+t.Name, "one thread elsewhere", s.outsideRows+int32(i), func(constraints *constraintSet) *model { constraints.outsideLimits[i]++; return m })
		}
	}
	if constraints.maxCost >= 0 {
		add("greatest cost", "one more unit of cost", s.costRow, func(constraints *constraintSet) *model { constraints.maxCost++; return m })
	}
	if constraints.maxUsePerMille >= 0 && constraints.maxUsePerMille < 1000 {
		add("greatest use of an engine", "one more per mille", -1, func(constraints *constraintSet) *model { constraints.maxUsePerMille++; return m })
	}
	for k, f := range constraints.minimums {
		if f.threads > 0 {
			name := ""
			if f.typ >= 0 {
				name = "type " + m.problem.Types[f.typ].Name
			} else {
				name = "tenant " + m.problem.Tenants[f.tenant].Name
			}
			add("threads that must be given to "+name, "one thread less", s.minimumRows+int32(k), func(constraints *constraintSet) *model { constraints.minimums[k].threads--; return m })
		}
	}
	slices.SortStableFunc(list, func(a, b Binding) int { return int(min(1, max(-1, b.Gain-a.Gain))) })
	return list
}

// with is the model with more threads and memory at one engine.
func (m *model) withExtra(engine int, threads, memory int64) *model {
	more := *m
	more.groups, more.groupOf = slices.Clone(m.groups), slices.Clone(m.groupOf)
	from := m.groupOf[engine]
	g := m.groups[from]
	g.engines, g.representative = []int{engine}, engine
	g.threads, g.memoryMB = g.threads+threads, g.memoryMB+memory
	g.canRun = slices.Clone(g.canRun)
	for k, class := range m.classes {
		t := m.problem.Types[class.typ]
		g.canRun[k] = t.Threads <= g.threads && t.MemoryMB <= g.memoryMB
	}
	more.groups[from].engines = slices.DeleteFunc(slices.Clone(m.groups[from].engines), func(i int) bool { return i == engine })
	more.groupOf[engine] = len(more.groups)
	more.groups = append(more.groups, g)
	return &more
}
