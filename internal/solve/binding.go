package solve

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Binding is something that holds the value down, and what one more unit of it would bring a second.
type Binding struct {
	What  string `json:"what"`
	Unit  string `json:"unit"`
	Gain  int64  `json:"gain"`
	Exact bool   `json:"exact"` // solved again with one more unit; else an estimate by the LP's multiplier
}

// scarcity is something that may hold the value down.
type scarcity struct {
	what string
	unit string
	row  int32                           // of the master program; none: it has no row
	add  func(set *constraintSet) *model // adds a unit, to the set or to the model that it returns
}

// bindings looks at everything that may be in short supply. If all patterns are written out the problem is solved
// again with one more unit of each; else the multipliers tell.
func (m *model) bindings(constraints *constraintSet, out outcome, stop func() bool) []Binding {
	var candidates []scarcity
	candidates = append(candidates, m.engineScarcities(out.master)...)
	candidates = append(candidates, m.limitScarcities(out.master, constraints)...)
	candidates = append(candidates, m.fleetScarcities(out.master, constraints)...)
	candidates = append(candidates, m.minimumScarcities(out.master, constraints)...)
	var list []Binding
	for _, c := range candidates {
		gain := c.estimateGain(out)
		if out.master.isComplete {
			gain = c.solveWithUnit(constraints, out, stop)
		}
		if gain.value > 0 {
			list = append(list, Binding{What: c.what, Unit: c.unit, Gain: gain.value, Exact: gain.isExact})
		}
	}
	slices.SortStableFunc(list, func(a, b Binding) int { return cmp.Compare(b.Gain, a.Gain) })
	return list
}

// gain is what a unit would bring a second; 0: nothing.
type gain struct {
	value   int64
	isExact bool
}

// solveWithUnit solves the problem with one more unit.
func (c scarcity) solveWithUnit(constraints *constraintSet, out outcome, stop func() bool) gain {
	more := constraints.clone()
	other := c.add(&more)
	result := newMaster(other, &more).finish(stage{
		goal:    maxValue,
		start:   out.solution,
		above:   math.MinInt64,
		maxCost: more.maxCost,
		stop:    stop,
	})
	if result.solution == nil || result.value <= out.measure.value {
		return gain{}
	}
	return gain{value: result.value - out.measure.value, isExact: result.bound <= result.value && out.proved.Value}
}

// estimateGain reads the gain off the multipliers.
func (c scarcity) estimateGain(out outcome) gain {
	multipliers := out.multipliers
	if c.row < 0 || int(c.row) >= len(multipliers.Values) || multipliers.Scale <= 0 {
		return gain{}
	}
	multiplier := multipliers.Values[c.row]
	return gain{value: max(multiplier, -multiplier) / multipliers.Scale}
}

// clone returns a copy whose limits may be changed.
func (set *constraintSet) clone() constraintSet {
	c := *set
	c.quotas = slices.Clone(set.quotas)
	c.crossingBudgets = slices.Clone(set.crossingBudgets)
	c.minimums = slices.Clone(set.minimums)
	c.outsideLimits = slices.Clone(set.outsideLimits)
	return c
}

// engineScarcities are threads and memory of engines, and engines where they cannot be told apart.
func (m *model) engineScarcities(master *master) []scarcity {
	var list []scarcity
	for i, c := range master.clusters {
		engine := c.engines[0]
		name := m.problem.Engines[engine].Name
		if len(c.engines) > 1 {
			name = fmt.Sprintf("%s or one of %d like it", name, len(c.engines)-1)
		}
		list = append(list,
			scarcity{what: "threads of engine " + name, unit: "one more thread", row: none,
				add: func(*constraintSet) *model { return m.withExtra(engine, 1, 0) }},
			scarcity{what: "memory of engine " + name, unit: "one more MB", row: none,
				add: func(*constraintSet) *model { return m.withExtra(engine, 0, 1) }})
		if !master.isComplete {
			list = append(list, scarcity{
				what: "engine " + name,
				unit: "one more such engine",
				row:  master.rows.convex + int32(i),
			})
		}
	}
	return list
}

// limitScarcities are those of tenants, zones and types.
func (m *model) limitScarcities(master *master, constraints *constraintSet) []scarcity {
	var list []scarcity
	add := func(what, unit string, row int32, limitOf func(set *constraintSet) *int64) {
		if *limitOf(constraints) < 0 {
			return
		}
		list = append(list, scarcity{what: what, unit: unit, row: row, add: func(set *constraintSet) *model {
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

// fleetScarcities is the use of engines, unless they may be used completely.
func (m *model) fleetScarcities(_ *master, constraints *constraintSet) []scarcity {
	if constraints.maxUsePerMille < 0 || constraints.maxUsePerMille >= perMille {
		return nil
	}
	return []scarcity{{what: "greatest use of an engine", unit: "one more per mille", row: none,
		add: func(set *constraintSet) *model {
			set.maxUsePerMille++
			return m
		}}}
}

// minimumScarcities are the threads that must be given to types and tenants.
func (m *model) minimumScarcities(master *master, constraints *constraintSet) []scarcity {
	var list []scarcity
	for k, f := range constraints.minimums {
		if f.threads <= 0 {
			continue
		}
		name := m.nameOf(f)
		list = append(list, scarcity{
			what: "threads that must be given to " + name,
			unit: "one thread less",
			row:  master.rows.minimum + int32(k),
			add: func(set *constraintSet) *model {
				set.minimums[k].threads--
				return m
			},
		})
	}
	return list
}

// nameOf names what a minimum is for.
func (m *model) nameOf(f minimum) string {
	if f.typ >= 0 {
		return "type " + m.problem.Types[f.typ].Name
	}
	return "tenant " + m.problem.Tenants[f.tenant].Name
}

// withExtra returns the model with more threads and memory at one engine, which then is a group of its own.
func (m *model) withExtra(engine int, threads, memoryMB int64) *model {
	more := *m
	more.groups = slices.Clone(m.groups)
	more.groupOf = slices.Clone(m.groupOf)
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
	more.groups[from].engines = others
	more.groupOf[engine] = len(more.groups)
	more.groups = append(more.groups, g)
	return &more
}
