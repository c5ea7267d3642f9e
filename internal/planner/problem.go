package planner

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"swiftreel/internal/canary"
	"swiftreel/internal/solve"
)

const (
	// loadChangeFactor is the factor by which a source's load must rise or fall to count as a change.
	loadChangeFactor = 1.5
	// minLoadFraction is the fraction of the total load below which a source is ignored.
	minLoadFraction = 0.1
	// demandMargin multiplies the observed demand, so that a plan leaves room for variation.
	demandMargin = 1.2
	// minLoad, in threads, avoids comparing with zero where a source had no load.
	minLoad = 1e-9

	msPerSecond       = 1000
	demandUnitSeconds = 1000 // solve.Demand counts jobs per 1,000 seconds
)

// loadSource identifies the jobs of one type from one zone.
type loadSource struct{ jobType, zone string }

func compareSources(a, b loadSource) int {
	return cmp.Or(cmp.Compare(a.jobType, b.jobType), cmp.Compare(a.zone, b.zone))
}

// threadLoad returns the threads that the observed jobs occupy, by source. Job types that the problem does not list are
// ignored.
func (p *Planner) threadLoad(rates map[string]map[canary.Group]float64) map[loadSource]float64 {
	load := map[loadSource]float64{}
	for zone, groups := range rates {
		for _, group := range sortedGroups(groups) {
			i := slices.IndexFunc(p.base.Types, func(t solve.Type) bool { return t.Name == group.Type })
			if i >= 0 {
				source := loadSource{group.Type, zone}
				load[source] += groups[group] * float64(p.base.Types[i].WorkMS) / msPerSecond
			}
		}
	}
	return load
}

// loadChange describes the first source whose load differs from the planned one by more than loadChangeFactor, or
// returns "".
func loadChange(planned, observed map[loadSource]float64) string {
	sources := slices.AppendSeq(slices.Collect(maps.Keys(planned)), maps.Keys(observed))
	slices.SortFunc(sources, compareSources)
	sources = slices.Compact(sources)
	total := 0.0
	for _, source := range sources {
		total += max(planned[source], observed[source])
	}
	for _, source := range sources {
		before, now := planned[source], observed[source]
		isRelevant := max(before, now) > minLoadFraction*total
		if isRelevant && max(before, now) > loadChangeFactor*max(minLoad, min(before, now)) {
			return fmt.Sprintf("%s from %q needs %.1f threads, planned for %.1f", source.jobType, source.zone, now, before)
		}
	}
	return ""
}

// buildProblem returns the operator's problem with the observed demand, restricted to the engines that are ready.
func (p *Planner) buildProblem(rates map[string]map[canary.Group]float64, ready []string) *solve.Problem {
	problem := p.base
	problem.Engines = nil
	problem.Demand = nil
	for _, engine := range p.base.Engines {
		if slices.Contains(ready, engine.Name) {
			problem.Engines = append(problem.Engines, engine)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(rates)) {
		problem.Demand = append(problem.Demand, p.zoneDemand(zone, rates[zone])...)
	}
	return &problem
}

// zoneDemand returns the demand from a zone for the job types and tenants that the operator's problem lists.
func (p *Planner) zoneDemand(zone string, rates map[canary.Group]float64) []solve.Demand {
	if !slices.ContainsFunc(p.base.Zones, func(z solve.Zone) bool { return z.Name == zone }) {
		return nil
	}
	var list []solve.Demand
	for _, group := range sortedGroups(rates) {
		jobs := int64(math.Ceil(rates[group] * demandUnitSeconds * demandMargin))
		if jobs > 0 && p.isListed(group) {
			list = append(list, solve.Demand{Type: group.Type, Tenant: group.Tenant, Zone: zone, JobsPer1000S: jobs})
		}
	}
	return list
}

func (p *Planner) isListed(group canary.Group) bool {
	return slices.ContainsFunc(p.base.Types, func(t solve.Type) bool { return t.Name == group.Type }) &&
		slices.ContainsFunc(p.base.Tenants, func(t solve.Tenant) bool { return t.Name == group.Tenant })
}

// sortedGroups returns a map's groups in a fixed order, so that floating-point sums do not depend on the iteration
// order.
func sortedGroups(rates map[canary.Group]float64) []canary.Group {
	return slices.SortedFunc(maps.Keys(rates), canary.Group.Compare)
}
