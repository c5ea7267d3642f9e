package solve

import (
	"math"

	"swiftreel/internal/ilp"
)

// generatePatterns adds patterns with a positive reduced cost until there is none (column generation). It returns an
// upper bound that holds for all patterns, including those not in the program; it is math.MaxInt64 if none is known.
// The bound is computed in integers, so rounding errors of the LP cannot invalidate it. The multipliers are those of
// the last round.
func (s *master) generatePatterns(stop func() bool) (int64, ilp.Multipliers) {
	bound := int64(math.MaxInt64)
	var multipliers ilp.Multipliers
	if s.isComplete {
		return bound, multipliers
	}
	lp := ilp.NewLP(s.program)
	for !stop() {
		ended := lp.Solve(stop)
		if ended == ilp.Stopped {
			return bound, multipliers
		}
		multipliers = lp.Multipliers(ended)
		added := 0
		for i := range s.clusters {
			best := s.bestPattern(i, multipliers)
			added += s.addIfValuable(i, best, multipliers)
			multipliers.Values[s.rows.convexity+int32(i)] = best.bound
		}
		found, isKnown := s.program.Bound(multipliers)
		if isKnown && (ended == ilp.Optimal || found < 0) { // after an infeasible LP only a negative bound counts
			bound = min(bound, found)
		}
		if added == 0 {
			return bound, multipliers
		}
		lp.Refresh()
	}
	return bound, multipliers
}

// addIfValuable adds a pattern if its value exceeds the multiplier of its cluster's convexity row, and returns the
// number of columns added.
func (s *master) addIfValuable(clusterIndex int, pattern packing, multipliers ilp.Multipliers) int {
	if pattern.value <= multipliers.Values[s.rows.convexity+int32(clusterIndex)] {
		return 0
	}
	before := len(s.columns)
	s.addPattern(clusterIndex, pattern.counts)
	return len(s.columns) - before
}

// bestPattern solves the pricing problem of a cluster: it returns the pattern with the greatest value at the
// multipliers. Only the most valuable class of each type is considered, in any number; ignoring how much of it is
// requested can only weaken the bound.
func (s *master) bestPattern(clusterIndex int, multipliers ilp.Multipliers) packing {
	m := s.model
	c := &s.clusters[clusterIndex]
	items := make([]item, len(m.problem.Types))
	classOf := make([]int, len(items))
	for typ := range items {
		items[typ].memoryMB = m.threadMemoryMB[typ]
	}
	for k, class := range m.classes {
		if s.maxThreads(c, k) == 0 {
			continue
		}
		value, isKnown := s.reducedValue(clusterIndex, k, multipliers)
		if !isKnown {
			return packing{bound: math.MaxInt64}
		}
		if value > items[class.typ].value {
			items[class.typ].value = value
			classOf[class.typ] = k
		}
	}
	best := solveKnapsack(items, c.threads, c.group.memoryMB)
	threads := make([]int64, len(m.classes))
	for typ, n := range best.counts {
		if n > 0 {
			threads[classOf[typ]] = n
		}
	}
	best.counts = threads
	return best
}

// reducedValue returns the value of one thread of a class on an engine of a cluster at the multipliers, and false if it
// is not known.
func (s *master) reducedValue(clusterIndex, classIndex int, multipliers ilp.Multipliers) (int64, bool) {
	c := &s.clusters[clusterIndex]
	g := c.group
	if s.maxThreads(c, classIndex) == 0 {
		return 0, false
	}
	class := s.model.classes[classIndex]
	column := ilp.Column{
		Rows:         []int32{s.rows.link + int32(classIndex), s.rows.budget + int32(class.zone), s.rows.cost},
		Coefficients: []int64{-1, g.bytes[classIndex], g.cost[classIndex]},
		Objective:    -s.costWeight * g.cost[classIndex],
	}
	if !s.model.isPlacementAllowed(class.typ, g) {
		addCoefficient(&column, s.rows.outside+int32(class.typ), 1)
	}
	value, isKnown := multipliers.ReducedObjective(&column)
	return value, isKnown && value < ilp.MaxMagnitude/max(1, 2*c.threads)
}
