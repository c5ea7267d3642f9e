package solve

import (
	"fmt"
	"strings"
)

// requirement is a single condition of a problem, which can be relaxed: the higher its level, the weaker it is.
type requirement struct {
	name       string
	apply      func(set *constraintSet, outages *[]outage, level int64)
	changeText string // format of the change, with "%d" for the level
	loosest    int64  // level at which it never restricts a plan
	strictest  int64  // level that the problem asks for
}

// outage maps each engine that fails to the threads that it has left. Engines that are not in the map are unaffected.
type outage map[int]int64

// requirements lists all requirements of the problem in a fixed order: minimums, limits, outages.
func (m *model) requirements() []requirement {
	var list []requirement
	list = append(list, m.minServedRequirements()...)
	list = append(list, m.shareRequirements()...)
	list = append(list, m.quotaRequirements()...)
	list = append(list, m.placementRequirements()...)
	list = append(list, m.crossingRequirements()...)
	list = append(list, m.fleetRequirements()...)
	return append(list, m.outageRequirements()...)
}

// requireMinimum returns an apply function that adds a minimum of threads for a type or a tenant.
func requireMinimum(typ, tenant int, threads func(level int64) int64) func(*constraintSet, *[]outage, int64) {
	return func(set *constraintSet, _ *[]outage, level int64) {
		set.minimums = append(set.minimums, minimum{typ: typ, tenant: tenant, threads: threads(level)})
	}
}

func (m *model) minServedRequirements() []requirement {
	var list []requirement
	for _, served := range m.problem.Constraints.MinServed {
		typ := none
		tenant := none
		name := "tenant " + served.Tenant
		if served.Type != "" {
			typ = m.typeIndex(served.Type)
			name = "type " + served.Type
		}
		if served.Tenant != "" {
			tenant = m.tenantIndex(served.Tenant)
		}
		requested := m.requestedThreads(typ, tenant)
		list = append(list, requirement{
			name: fmt.Sprintf(
				"%s is served at least %d per mille of its %d threads",
				name,
				served.PerMille,
				requested,
			),
			changeText: "serve it at least %d per mille",
			strictest:  -served.PerMille,
			apply: requireMinimum(typ, tenant, func(level int64) int64 {
				return perMilleRoundedUp(requested, -level)
			}),
		})
	}
	return list
}

func (m *model) shareRequirements() []requirement {
	if !m.problem.Constraints.EnforceShares {
		return nil
	}
	var list []requirement
	for i, t := range m.problem.Tenants {
		requested := m.requestedThreads(none, i)
		if t.SharePerMille == 0 || requested == 0 {
			continue
		}
		list = append(list, requirement{
			name: fmt.Sprintf("tenant %s has its share, %d per mille of the fleet's %d threads, or the %d it asks for",
				t.Name, t.SharePerMille, m.fleetThreads, requested),
			changeText: "a share of %d per mille",
			strictest:  -t.SharePerMille,
			apply: requireMinimum(none, i, func(level int64) int64 {
				return min(requested, m.fleetThreads*-level/perMille)
			}),
		})
	}
	return list
}

func (m *model) quotaRequirements() []requirement {
	var list []requirement
	for i, t := range m.problem.Tenants {
		if t.QuotaThreads == nil {
			continue
		}
		quota := *t.QuotaThreads
		list = append(list, requirement{
			name:       fmt.Sprintf("tenant %s keeps to its quota of %d threads", t.Name, quota),
			changeText: "a quota of %d threads",
			strictest:  quota,
			loosest:    max(quota, m.requestedThreads(none, i)),
			apply:      func(set *constraintSet, _ *[]outage, level int64) { set.quotas[i] = level },
		})
	}
	return list
}

func (m *model) placementRequirements() []requirement {
	var list []requirement
	for i, t := range m.problem.Types {
		if len(t.Kinds) == 0 && len(t.Zones) == 0 {
			continue
		}
		list = append(list, requirement{
			name: fmt.Sprintf(
				"type %s runs only on its kinds %v and zones %v (empty: any)",
				t.Name,
				t.Kinds,
				t.Zones,
			),
			changeText: "%d of its threads may run elsewhere",
			loosest:    m.requestedThreads(i, none),
			apply:      func(set *constraintSet, _ *[]outage, level int64) { set.outsideLimits[i] = level },
		})
	}
	return list
}

func (m *model) crossingRequirements() []requirement {
	var list []requirement
	for i, z := range m.problem.Zones {
		if z.CrossingBytesPerS == nil {
			continue
		}
		budget := *z.CrossingBytesPerS
		list = append(list, requirement{
			name:       fmt.Sprintf("crossing for zone %s keeps to %d bytes a second", z.Name, budget),
			changeText: "%d bytes a second",
			strictest:  budget,
			loosest:    max(budget, m.maxBytes()),
			apply:      func(set *constraintSet, _ *[]outage, level int64) { set.crossingBudgets[i] = level },
		})
	}
	return list
}

// fleetRequirements returns the limits on cost and utilization.
func (m *model) fleetRequirements() []requirement {
	var list []requirement
	if cost := m.problem.Constraints.MaxCost; cost != nil {
		list = append(list, requirement{
			name:       fmt.Sprintf("a second costs at most %d", *cost),
			changeText: "a cost of %d",
			strictest:  *cost,
			loosest:    max(*cost, m.maxCost()),
			apply:      func(set *constraintSet, _ *[]outage, level int64) { set.maxCost = level },
		})
	}
	if use := m.problem.Constraints.MaxUsePerMille; use != nil {
		list = append(list, requirement{
			name:       fmt.Sprintf("no engine is used over %d per mille", *use),
			changeText: "a use of %d per mille",
			strictest:  *use,
			loosest:    perMille,
			apply:      func(set *constraintSet, _ *[]outage, level int64) { set.maxUsePerMille = level },
		})
	}
	return list
}

// outageRequirements returns the requirements that all minimums can be met without an engine or a zone. Identical
// engines need only one.
func (m *model) outageRequirements() []requirement {
	var list []requirement
	seen := map[string]bool{}
	add := func(name string, engines []int) {
		if !seen[name] && len(engines) > 0 {
			seen[name] = true
			list = append(list, m.outageRequirement(name, engines))
		}
	}
	for _, without := range m.problem.Constraints.FitsWithout {
		if without != anyEngine {
			add(without, m.enginesOfOutage(without))
			continue
		}
		for _, g := range m.groups {
			add(withoutEngine+m.problem.Engines[g.engines[0]].Name, g.engines[:1])
		}
	}
	return list
}

// enginesOfOutage returns the engines that an entry of Constraints.FitsWithout names.
func (m *model) enginesOfOutage(without string) []int {
	zone, isZone := strings.CutPrefix(without, withoutZone)
	var engines []int
	for i, e := range m.problem.Engines {
		isAffected := without == withoutEngine+e.Name || isZone && zone == e.Zone
		if m.groupOf[i] >= 0 && isAffected {
			engines = append(engines, i)
		}
	}
	return engines
}

func (m *model) outageRequirement(name string, engines []int) requirement {
	threads := int64(0) // of the largest engine
	for _, i := range engines {
		threads = max(threads, m.groups[m.groupOf[i]].threads)
	}
	return requirement{
		name:       "all fits without " + name,
		changeText: "%d threads of each such engine must be left",
		loosest:    threads,
		apply: func(_ *constraintSet, outages *[]outage, level int64) {
			remaining := outage{}
			for _, i := range engines {
				remaining[i] = level
			}
			*outages = append(*outages, remaining)
		},
	}
}

// applyAll applies requirements, each at its strictest level.
func (m *model) applyAll(list []requirement) (constraintSet, []outage) {
	set := m.noConstraints()
	var outages []outage
	for _, r := range list {
		r.apply(&set, &outages, r.strictest)
	}
	return set, outages
}
