package solve

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Binding is a binding constraint, and the value per second, in millionths, that relaxing it by one unit would add.
type Binding struct {
	What  string `json:"what"`
	Unit  string `json:"unit"`
	Gain  int64  `json:"gain"`
	Exact bool   `json:"exact"` // computed by solving the relaxed problem; else estimated from the LP's multiplier
}

// bindingCandidate is a constraint that may be binding.
type bindingCandidate struct {
	what  string
	unit  string
	row   int32                           // of the master program; none: it has no row
	relax func(set *constraintSet) *model // relaxes it by one unit, in the set or in the returned model
}

// bindings returns the constraints that limit the value, by decreasing gain. If all patterns are enumerated, the
// problem is solved again with each constraint relaxed by one unit; else the gains are estimated from the multipliers.
func (m *model) bindings(constraints *constraintSet, out outcome, stop func() bool) []Binding {
	var candidates []bindingCandidate
	candidates = append(candidates, m.engineCandidates(out.master)...)
	candidates = append(candidates, m.limitCandidates(out.master, constraints)...)
	candidates = append(candidates, m.utilizationCandidates(out.master, constraints)...)
	candidates = append(candidates, m.minimumCandidates(out.master, constraints)...)
	var list []Binding
	for _, c := range candidates {
		gain := c.estimateGain(out)
		if out.master.isComplete {
			gain = c.solveRelaxed(constraints, out, stop)
		}
		if gain.value > 0 {
			list = append(list, Binding{What: c.what, Unit: c.unit, Gain: gain.value, Exact: gain.isExact})
		}
	}
	slices.SortStableFunc(list, func(a, b Binding) int { return cmp.Compare(b.Gain, a.Gain) })
	return list
}

// gain is the value per second that relaxing a constraint by one unit adds; 0: it is not binding.
type gain struct {
	value   int64
	isExact bool
}

// solveRelaxed solves the problem with the constraint relaxed by one unit.
func (c bindingCandidate) solveRelaxed(constraints *constraintSet, out outcome, stop func() bool) gain {
	relaxed := constraints.clone()
	relaxedModel := c.relax(&relaxed)
	result := newMaster(relaxedModel, &relaxed).solveStage(stage{
		goal:    maxValue,
		start:   out.solution,
		above:   math.MinInt64,
		maxCost: relaxed.maxCost,
		stop:    stop,
	})
	if result.solution == nil || result.value <= out.objective.value {
		return gain{}
	}
	return gain{value: result.value - out.objective.value, isExact: result.bound <= result.value && out.proved.Value}
}

// estimateGain derives the gain from the multiplier of the constraint's row.
func (c bindingCandidate) estimateGain(out outcome) gain {
	multipliers := out.multipliers
	if c.row < 0 || int(c.row) >= len(multipliers.Values) || multipliers.Scale <= 0 {
		return gain{}
	}
	multiplier := multipliers.Values[c.row]
	return gain{value: max(multiplier, -multiplier) / multipliers.Scale}
}

// clone returns a copy whose limits can be changed independently.
func (set *constraintSet) clone() constraintSet {
	c := *set
	c.quotas = slices.Clone(set.quotas)
	c.crossingBudgets = slices.Clone(set.crossingBudgets)
	c.minimums = slices.Clone(set.minimums)
	c.outsideLimits = slices.Clone(set.outsideLimits)
	return c
}

// engineCandidates returns the threads and memory of each cluster's engines, and the number of engines if patterns are
// generated.
func (m *model) engineCandidates(master *master) []bindingCandidate {
	var list []bindingCandidate
	for i, c := range master.clusters {
		engine := c.engines[0]
		name := m.problem.Engines[engine].Name
		if len(c.engines) > 1 {
			name = fmt.Sprintf("%s or one of %d like it", name, len(c.engines)-1)
		}
		list = append(list,
			bindingCandidate{what: "threads of engine " + name, unit: "one more thread", row: none,
				relax: func(*constraintSet) *model { return m.withExtraCapacity(engine, 1, 0) }},
			bindingCandidate{what: "memory of engine " + name, unit: "one more MB", row: none,
				relax: func(*constraintSet) *model { return m.withExtraCapacity(engine, 0, 1) }})
		if !master.isComplete {
			list = append(list, bindingCandidate{
				what: "engine " + name,
				unit: "one more such engine",
				row:  master.rows.convexity + int32(i),
			})
		}
	}
	return list
}

// limitCandidates returns the limits of tenants, zones and types, and the maximum cost.
func (m *model) limitCandidates(master *master, constraints *constraintSet) []bindingCandidate {
	var list []bindingCandidate
	add := func(what, unit string, row int32, limitOf func(set *constraintSet) *int64) {
		if *limitOf(constraints) < 0 {
			return
		}
		list = append(list, bindingCandidate{what: what, unit: unit, row: row, relax: func(set *constraintSet) *model {
			*limitOf(set)++
			return m
		}})
	}
	for i, t := range m.problem.Tenants {
		add("quota of tenant "+t.Name, "one more thread", master.rows.quota+int32(i),
			func(set *constraintSet) *int64 { return &set.quotas[i] })
	}
	for i, z := range m.problem.Zones {
		add("crossing budget of zone "+z.Name, "one more byte a second", master.rows.budget+int32(i),
			func(set *constraintSet) *int64 { return &set.crossingBudgets[i] })
	}
	for i, t := range m.problem.Types {
		add("placement bound of type "+t.Name, "one thread elsewhere", master.rows.outside+int32(i),
			func(set *constraintSet) *int64 { return &set.outsideLimits[i] })
	}
	add("greatest cost", "one more unit of cost", master.rows.cost,
		func(set *constraintSet) *int64 { return &set.maxCost })
	return list
}

// utilizationCandidates returns the limit on engine utilization, unless it allows full use.
func (m *model) utilizationCandidates(_ *master, constraints *constraintSet) []bindingCandidate {
	if constraints.maxUsePerMille < 0 || constraints.maxUsePerMille >= perMille {
		return nil
	}
	return []bindingCandidate{{what: "greatest use of an engine", unit: "one more per mille", row: none,
		relax: func(set *constraintSet) *model {
			set.maxUsePerMille++
			return m
		}}}
}

// minimumCandidates returns the minimums of types and tenants.
func (m *model) minimumCandidates(master *master, constraints *constraintSet) []bindingCandidate {
	var list []bindingCandidate
	for k, f := range constraints.minimums {
		if f.threads <= 0 {
			continue
		}
		name := m.minimumName(f)
		list = append(list, bindingCandidate{
			what: "threads that must be given to " + name,
			unit: "one thread less",
			row:  master.rows.minimum + int32(k),
			relax: func(set *constraintSet) *model {
				set.minimums[k].threads--
				return m
			},
		})
	}
	return list
}

// minimumName names the type or tenant of a minimum.
func (m *model) minimumName(f minimum) string {
	if f.typ >= 0 {
		return "type " + m.problem.Types[f.typ].Name
	}
	return "tenant " + m.problem.Tenants[f.tenant].Name
}

// withExtraCapacity returns a copy of the model with more threads and memory on one engine, which forms a group of its
// own.
func (m *model) withExtraCapacity(engine int, threads, memoryMB int64) *model {
	extended := *m
	extended.groups = slices.Clone(m.groups)
	extended.groupOf = slices.Clone(m.groupOf)
	from := m.groupOf[engine]
	g := m.groups[from]
	g.engines = []int{engine}
	g.representative = engine
	g.threads += threads
	g.memoryMB += memoryMB
	g.canRun = slices.Clone(g.canRun)
	for k, class := range m.classes {
		g.canRun[k] = m.canRunOn(class, g.threads, g.memoryMB)
	}
	others := slices.DeleteFunc(slices.Clone(m.groups[from].engines), func(i int) bool { return i == engine })
	extended.groups[from].engines = others
	extended.groupOf[engine] = len(extended.groups)
	extended.groups = append(extended.groups, g)
	return &extended
}
