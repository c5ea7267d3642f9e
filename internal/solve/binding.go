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
func (m *model) bindings(h *holds, out outcome, stop func() bool) (list []Binding) {
	s := out.master
	add := func(what, unit string, row int32, change func(h *holds) *model) {
		if s.whole {
			more := *h
			more.quota, more.budget = slices.Clone(h.quota), slices.Clone(h.budget)
			more.floors, more.outside = slices.Clone(h.floors), slices.Clone(h.outside)
			other := change(&more)
			f := newMaster(other, &more).finish(aimValue, out.sol, math.MinInt64, 0, 0, more.cost, stop)
			if f.sol != nil && f.value > out.got.value {
				list = append(list, Binding{what, unit, f.value - out.got.value, f.bound <= f.value && out.proved[0]})
			}
		} else if y := out.marks; row >= 0 && int(row) < len(y.Values) && y.Scale > 0 {
			if by := y.Values[row]; max(by, -by) >= y.Scale {
				list = append(list, Binding{what, unit, max(by, -by) / y.Scale, false})
			}
		}
	}
	for c, cl := range s.clusters {
		name := m.p.Engines[cl.engines[0]].Name
		if len(cl.engines) > 1 {
			name = fmt.Sprintf("%s or one of %d like it", name, len(cl.engines)-1)
		}
		add("threads of engine "+name, "one more thread", -1, func(*holds) *model { return m.with(cl.engines[0], 1, 0) })
		add("memory of engine "+name, "one more MB", -1, func(*holds) *model { return m.with(cl.engines[0], 0, 1) })
		if !s.whole {
			add("engine "+name, "one more such engine", s.convex+int32(c), nil)
		}
	}
	for i, t := range m.p.Tenants {
		if h.quota[i] >= 0 {
			add("quota of tenant "+t.Name, "one more thread", s.quota+int32(i), func(h *holds) *model { h.quota[i]++; return m })
		}
	}
	for i, z := range m.p.Zones {
		if h.budget[i] >= 0 {
			add("crossing budget of zone "+z.Name, "one more byte a second", s.budget+int32(i), func(h *holds) *model { h.budget[i]++; return m })
		}
	}
	for i, t := range m.p.Types {
		if h.outside[i] >= 0 {
			add("placement bound of type "+t.Name, "one thread elsewhere", s.outside+int32(i), func(h *holds) *model { h.outside[i]++; return m })
		}
	}
	if h.cost >= 0 {
		add("greatest cost", "one more unit of cost", s.cost, func(h *holds) *model { h.cost++; return m })
	}
	if h.use >= 0 && h.use < 1000 {
		add("greatest use of an engine", "one more per mille", -1, func(h *holds) *model { h.use++; return m })
	}
	for k, f := range h.floors {
		if f.threads > 0 {
			name := ""
			if f.typ >= 0 {
				name = "type " + m.p.Types[f.typ].Name
			} else {
				name = "tenant " + m.p.Tenants[f.tenant].Name
			}
			add("threads that must be given to "+name, "one thread less", s.floors+int32(k), func(h *holds) *model { h.floors[k].threads--; return m })
		}
	}
	slices.SortStableFunc(list, func(a, b Binding) int { return int(min(1, max(-1, b.Gain-a.Gain))) })
	return list
}

// with is the model with more threads and memory at one engine.
func (m *model) with(engine int, threads, memory int64) *model {
	more := *m
	more.groups, more.groupOf = slices.Clone(m.groups), slices.Clone(m.groupOf)
	from := m.groupOf[engine]
	g := m.groups[from]
	g.engines, g.like = []int{engine}, engine
	g.threads, g.memory = g.threads+threads, g.memory+memory
	g.takes = slices.Clone(g.takes)
	for k, pc := range m.pieces {
		t := m.p.Types[pc.typ]
		g.takes[k] = t.Threads <= g.threads && t.MemoryMB <= g.memory
	}
	more.groups[from].engines = slices.DeleteFunc(slices.Clone(m.groups[from].engines), func(i int) bool { return i == engine })
	more.groupOf[engine] = len(more.groups)
	more.groups = append(more.groups, g)
	return &more
}
