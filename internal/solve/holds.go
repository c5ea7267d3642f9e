package solve

import (
	"fmt"
	"strings"
)

// floor is the least threads of a type or a tenant: the other index is -1.
type minimum struct {
	typ, tenant int
	threads     int64
}

// holds are the demands on an answer in numbers. -1 stands for none.
type constraintSet struct {
	minimums        []minimum
	quotas          []int64 // by tenant: threads
	crossingBudgets []int64 // by zone: crossing bytes a second
	outsideLimits   []int64 // by type: threads outside its placement bound; 0: the bound holds
	maxCost         int64
	maxUsePerMille  int64         // per mille of each engine's threads
	remaining       map[int]int64 // by engine: only so many of its threads are left
	// Of what was found in an earlier stage:
	minValue       int64 // at least
	maxUtilization int64 // greatest use of any engine, in parts of ten thousand of its allowance; -1: none
}

// demand is one thing asked for, with what it takes to give way: a level that fits sooner the higher it is.
type requirement struct {
	name       string
	apply      func(h *constraintSet, loss *[]map[int]int64, level int64)
	changeText string // of the level, in a sentence: "%d" is the level at which it fits
	loosest    int64  // the level at which it asks for nothing
	strictest  int64  // the level at which it asks for all
}

// none are holds that ask for nothing.
func (m *model) unconstrained() constraintSet {
	constraints := constraintSet{maxCost: -1, maxUsePerMille: -1, maxUtilization: -1}
	for range m.problem.Tenants {
		constraints.quotas = append(constraints.quotas, -1)
	}
	for range m.problem.Zones {
		constraints.crossingBudgets = append(constraints.crossingBudgets, -1)
	}
	for range m.problem.Types {
		constraints.outsideLimits = append(constraints.outsideLimits, -1)
	}
	return constraints
}

// asked is the threads asked for by a type or a tenant.
func (m *model) requestedThreads(typ, tenant int) (threads int64) {
	for _, w := range m.workloads {
		if m.classes[w.class].typ == typ || w.tenant == tenant {
			threads += w.threads
		}
	}
	return threads
}

// demands lists all that the problem asks for, in the problem's order: what must be served first, then what binds it.
func (m *model) requirements() (list []requirement) {
	problem := m.problem
	for _, l := range problem.Constraints.MinServed {
		typ, tenant, name := -1, -1, "tenant "+l.Tenant
		for i, t := range problem.Types {
			if l.Type != "" && t.Name == l.Type {
				typ, name = i, "type "+l.Type
			}
		}
		for i, t := range problem.Tenants {
			if l.Tenant != "" && t.Name == l.Tenant {
				tenant = i
			}
		}
		all := m.requestedThreads(typ, tenant)
		list = append(list, requirement{
			name:       fmt.Sprintf("%s is served at least %d per mille of its %d threads", name, l.PerMille, all),
			changeText: "serve it at least %d per mille", strictest: -l.PerMille, loosest: 0,
			apply: func(constraints *constraintSet, _ *[]map[int]int64, level int64) {
				constraints.minimums = append(constraints.minimums, minimum{typ, tenant, perMilleRoundedUp(all, -level)})
			}})
	}
	if problem.Constraints.SharesHold {
		for i, t := range problem.Tenants {
			all := m.requestedThreads(-1, i)
			if t.SharePerMille == 0 || all == 0 {
				continue
			}
			list = append(list, requirement{
				name: fmt.Sprintf("tenant %s has its share, %d per mille of the fleet's %d threads, or the %d it asks for", t.Name,
					t.SharePerMille, m.fleetThreads, all),
				changeText: "a share of %d per mille", strictest: -t.SharePerMille, loosest: 0,
				apply: func(constraints *constraintSet, _ *[]map[int]int64, level int64) {
					constraints.minimums = append(constraints.minimums, minimum{-1, i, min(all, m.fleetThreads*-level/1000)})
				}})
		}
	}
	for i, t := range problem.Tenants {
		if t.QuotaThreads != nil {
			list = append(list, requirement{
				name:       fmt.Sprintf("tenant %s keeps to its quota of %d threads", t.Name, *t.QuotaThreads),
				changeText: "a quota of %d threads", strictest: *t.QuotaThreads, loosest: max(*t.QuotaThreads, m.requestedThreads(-1, i)),
				apply: func(constraints *constraintSet, _ *[]map[int]int64, level int64) { constraints.quotas[i] = level }})
		}
	}
	for i, t := range problem.Types {
		if len(t.Kinds)+len(t.Zones) > 0 {
			list = append(list, requirement{
				name:       fmt.Sprintf("type %s runs only on its kinds %v and zones %v (empty: any)", t.Name, t.Kinds, t.Zones),
				changeText: "%d of its threads may run elsewhere", strictest: 0, loosest: m.requestedThreads(i, -1),
				apply: func(constraints *constraintSet, _ *[]map[int]int64, level int64) {
					constraints.outsideLimits[i] = level
				}})
		}
	}
	for i, z := range problem.Zones {
		if z.CrossingBytesPerS != nil {
			list = append(list, requirement{
				name:       fmt.Sprintf("crossing for zone %s keeps to %d bytes a second", z.Name, *z.CrossingBytesPerS),
				changeText: "%d bytes a second", strictest: *z.CrossingBytesPerS, loosest: max(*z.CrossingBytesPerS, m.maxBytes()),
				apply: func(constraints *constraintSet, _ *[]map[int]int64, level int64) {
					constraints.crossingBudgets[i] = level
				}})
		}
	}
	if c := problem.Constraints.MaxCost; c != nil {
		list = append(list, requirement{name: fmt.Sprintf("a second costs at most %d", *c), changeText: "a cost of %d", strictest: *c,
			loosest: max(*c, m.maxCost()),
			apply:   func(constraints *constraintSet, _ *[]map[int]int64, level int64) { constraints.maxCost = level }})
	}
	if u := problem.Constraints.MaxUsePerMille; u != nil {
		list = append(list, requirement{name: fmt.Sprintf("no engine is used over %d per mille", *u), changeText: "a use of %d per mille",
			strictest: *u, loosest: 1000,
			apply: func(constraints *constraintSet, _ *[]map[int]int64, level int64) { constraints.maxUsePerMille = level }})
	}
	return append(list, m.lossRequirements()...)
}

// losses are the demands that all fit without an engine or a zone. Engines alike are one loss.
func (m *model) lossRequirements() (list []requirement) {
	lose := func(name string, engines []int) {
		most := int64(0)
		for _, i := range engines {
			most = max(most, m.groups[m.groupOf[i]].threads)
		}
		list = append(list, requirement{name: "all fits without " + name, changeText: "%d threads of each such engine must be left", strictest: 0,
			loosest: most, apply: func(_ *constraintSet, loss *[]map[int]int64, level int64) {
				left := map[int]int64{}
				for _, i := range engines {
					left[i] = level
				}
				*loss = append(*loss, left)
			}})
	}
	seen := map[string]bool{}
	once := func(name string, engines []int) {
		if !seen[name] && len(engines) > 0 {
			seen[name] = true
			lose(name, engines)
		}
	}
	for _, w := range m.problem.Constraints.FitsWithout {
		if w == anyEngine {
			for _, g := range m.groups {
				once("engine "+m.problem.Engines[g.engines[0]].Name, g.engines[:1])
			}
			continue
		}
		var engines []int
		for i, e := range m.problem.Engines {
			if m.groupOf[i] >= 0 && (w == withoutEngine+e.Name || strings.HasPrefix(w, withoutZone) && w[len(withoutZone):] == e.Zone) {
				engines = append(engines, i)
			}
		}
		once(w, engines)
	}
	return list
}

// partOf is a part of threads in thousandths, rounded up.
func perMilleRoundedUp(threads, perMille int64) int64 {
	return threads/1000*perMille + (threads%1000*perMille+999)/1000
}

// mostBytes and mostCost are what the fleet could not pass.
func (m *model) maxBytes() (most int64) {
	for _, b := range m.answerBytes {
		most = max(most, b*m.fleetThreads)
	}
	return most
}

func (m *model) maxCost() (most int64) {
	for i := range m.groups {
		g, each := &m.groups[i], int64(0)
		for _, c := range g.cost {
			each = max(each, c)
		}
		most += each * g.threads * int64(len(g.engines))
	}
	return most
}
