package solve

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"swiftreel/internal/ilp"
)

const (
	divingKnapsackSteps = 1500 // of the knapsack search; a good pattern serves as well as the best one
	divingPricingRounds = 12   // of column generation before engines are fixed
	maxFinalNodes       = 50   // of the search that distributes threads among workloads at the end of a dive
	maxIdleRounds       = 200  // consecutive release rounds without an improvement
	roundTolerance      = 1e-6

	// costWeightDivisor is the ratio of the total value to the weight of the total cost in a dive for value, so that
	// the cheaper of solutions with nearly equal values is found.
	costWeightDivisor = 20_000
	// shortfallFactor is the penalty of a thread short of a minimum, in multiples of the greatest thread value.
	shortfallFactor = 20
	// releaseFractions is the number of different fractions of engines that are released: 1/2, 1/3 and so on.
	releaseFractions = 6
)

// roundingThresholds are the values from which a dive rounds a pattern up, used in turn.
var roundingThresholds = [...]float64{0.9, 0.98, 0.8, 0.7}

// diver improves a solution by diving, and by local search with repeated dives.
type diver struct {
	master            *master
	stage             stage
	targetValue       int64   // ends the heuristic once best reaches it and bestFeasible is known
	defaultCostWeight int64   // weight of cost in the objective outside dives
	divingCostWeight  int64   // weight of cost in the objective during dives
	best              []int64 // may fall short of minimums, at a penalty
	bestValue         int64
	bestFeasible      []int64 // meets all minimums
}

// improveByDiving dives with each rounding threshold, then runs a large neighborhood search: it repeatedly releases a
// random part of the best solution's engines and fixes them anew, until the target value is reached. It returns the
// best solution that meets all minimums, or nil.
func (s *master) improveByDiving(target stage, start []int64, targetValue int64) []int64 {
	d := diver{master: s, stage: target, targetValue: targetValue, bestFeasible: start, bestValue: math.MinInt64}
	d.defaultCostWeight = s.costWeight
	d.divingCostWeight = s.costWeight
	if target.goal == maxValue {
		d.divingCostWeight = s.maxTotalValue() / max(1, s.model.maxCost()) / costWeightDivisor
	}
	if start != nil {
		d.best = s.padded(start)
		d.bestValue, _ = s.program.Value(d.best)
	}
	for i := 0; i < len(roundingThresholds) && !d.isDone(); i++ {
		d.tryDive(nil, roundingThresholds[i])
	}
	random := rand.New(rand.NewPCG(1, 1)) // fixed seed, for reproducible results
	for idle := 0; d.best != nil && idle < maxIdleRounds && !d.isDone(); idle++ {
		fixed := s.releaseEngines(d.best, 2+idle%releaseFractions, random)
		if d.tryDive(fixed, roundingThresholds[idle%len(roundingThresholds)]) {
			idle = -1
		}
	}
	return d.bestFeasible
}

func (d *diver) isDone() bool {
	return d.stage.stop() || (d.bestFeasible != nil && d.bestValue >= d.targetValue)
}

// tryDive runs the diving heuristic from fixed engines, and reports whether it improved the best solution.
func (d *diver) tryDive(fixed []int64, threshold float64) bool {
	s := d.master
	s.allowShortfall(true)
	s.setCostWeight(d.divingCostWeight)
	values := s.padded(s.runDivingHeuristic(fixed, threshold, d.stage.stop))
	s.setCostWeight(d.defaultCostWeight)
	value, isFeasible := s.program.Value(values)
	s.allowShortfall(false)
	s.setCostWeight(d.defaultCostWeight)
	if !isFeasible || value <= d.bestValue {
		return false
	}
	d.best = values
	d.bestValue = value
	if s.shortfall(values) == 0 {
		d.bestFeasible = values
	}
	return true
}

// releaseEngines releases each engine of a solution with a probability of 1/divisor, and returns the engines that stay
// fixed, by column.
func (s *master) releaseEngines(values []int64, divisor int, random *rand.Rand) []int64 {
	fixed := slices.Clone(values)
	for column, engines := range values {
		if !s.columns[column].isPattern() {
			fixed[column] = 0
			continue
		}
		for range engines {
			if random.IntN(divisor) == 0 {
				fixed[column]--
			}
		}
	}
	return fixed
}

// bounds are the saved bounds of a column.
type bounds struct {
	lower int64
	upper int64
}

// runDivingHeuristic repeatedly rounds up the patterns that are nearly integral in the LP solution, fixes their
// engines, and generates patterns for the remaining threads, so that the last engines are not filled with threads that
// nobody requests. Fixed engines are lower bounds of their columns; all bounds are restored in the end. fixed is the
// engines fixed at the start, by column; threshold is the fractional value from which a pattern is rounded up. It
// returns the columns' values, or nil.
func (s *master) runDivingHeuristic(fixed []int64, threshold float64, stop func() bool) []int64 {
	saved := s.saveBounds()
	defer s.restoreBounds(saved)
	for column, engines := range fixed {
		if s.columns[column].isPattern() {
			s.program.Columns[column].Lower = engines
		}
	}
	lp := ilp.NewLP(s.program)
	if lp.Solve(stop) != ilp.Optimal {
		return nil
	}
	for isOpen := true; isOpen; {
		remaining := s.remainingThreads(lp.Values())
		s.excludeOversized(remaining)
		lp.Refresh()
		if !s.addPatternsFor(lp, remaining, stop) {
			return nil
		}
		if isOpen = s.fixEngines(lp.Values(), threshold); isOpen {
			lp.Refresh()
		}
	}
	for column := range s.columns {
		if s.columns[column].isPattern() {
			s.program.Columns[column].Upper = s.program.Columns[column].Lower
		}
	}
	search := ilp.NewSearch(s.program)
	search.Stop = stop
	search.MaxNodes = maxFinalNodes
	return search.Run().Values
}

func (s *master) saveBounds() []bounds {
	saved := make([]bounds, len(s.columns))
	for column := range s.columns {
		saved[column] = bounds{lower: s.program.Columns[column].Lower, upper: s.program.Columns[column].Upper}
	}
	return saved
}

// restoreBounds restores the saved bounds, and resets those of columns that were added since.
func (s *master) restoreBounds(saved []bounds) {
	for column := range s.columns {
		c := &s.program.Columns[column]
		if column < len(saved) {
			c.Lower = saved[column].lower
			c.Upper = saved[column].upper
		} else {
			c.Lower = 0
			c.Upper = s.engineCount(column)
		}
	}
}

// engineCount returns the number of engines in a pattern's cluster.
func (s *master) engineCount(column int) int64 {
	return int64(len(s.clusters[s.columns[column].cluster].engines))
}

// addPatternsFor solves the LP and generates patterns for the remaining threads, in a limited number of rounds. It
// reports whether the LP was solved to optimality.
func (s *master) addPatternsFor(lp *ilp.LP, remaining []int64, stop func() bool) bool {
	for round := 0; ; round++ {
		ended := lp.Solve(stop)
		if ended != ilp.Optimal || round >= divingPricingRounds {
			return ended == ilp.Optimal
		}
		multipliers := lp.Multipliers(ended)
		added := 0
		for i := range s.clusters {
			if s.fixedEngines(i) < int64(len(s.clusters[i].engines)) {
				added += s.addIfValuable(i, s.fillRemaining(i, multipliers, remaining), multipliers)
			}
		}
		if added == 0 {
			return true
		}
		lp.Refresh()
	}
}

// fixedEngines counts the engines of a cluster whose pattern is fixed.
func (s *master) fixedEngines(clusterIndex int) int64 {
	count := int64(0)
	for column := range s.columns {
		if s.columns[column].cluster == clusterIndex {
			count += s.program.Columns[column].Lower
		}
	}
	return count
}

// fixEngines raises the lower bounds of all patterns that the threshold rounds up, or else of the one with the largest
// fractional value. It reports whether there was any.
func (s *master) fixEngines(values []float64, threshold float64) bool {
	nearest := none
	greatest := roundTolerance
	hasFixed := false
	for column := range s.columns {
		if !s.columns[column].isPattern() {
			continue
		}
		c := &s.program.Columns[column]
		excess := values[column] - float64(c.Lower)
		if engines := int64(math.Floor(excess + 1 - threshold)); engines > 0 {
			c.Lower += engines
			hasFixed = true
		} else if excess > greatest {
			nearest = column
			greatest = excess
		}
	}
	if hasFixed || nearest < 0 {
		return hasFixed
	}
	s.program.Columns[nearest].Lower++
	return true
}

// remainingThreads returns the threads of each class that the LP grants, rounded up, less those that fixed engines run.
// Quotas and other limits may keep the LP from granting all that is requested, so more threads would be of no use.
func (s *master) remainingThreads(values []float64) []int64 {
	granted := make([]float64, len(s.model.classes))
	for column := range s.columns {
		if meaning := &s.columns[column]; meaning.isWorkload() {
			granted[s.model.workloads[meaning.workload].class] += values[column]
		}
	}
	remaining := make([]int64, len(granted))
	for class, threads := range granted {
		remaining[class] = int64(math.Ceil(threads - roundTolerance))
	}
	for column := range s.columns {
		for class, threads := range s.columns[column].threads {
			remaining[class] -= threads * s.program.Columns[column].Lower
		}
	}
	return remaining
}

// excludeOversized keeps patterns with more threads than remain from being used for further engines.
func (s *master) excludeOversized(remaining []int64) {
	for column := range s.columns {
		meaning := &s.columns[column]
		if !meaning.isPattern() {
			continue
		}
		c := &s.program.Columns[column]
		c.Upper = s.engineCount(column)
		if !fitsRemaining(meaning.threads, remaining) {
			c.Upper = c.Lower
		}
	}
}

func fitsRemaining(threads, remaining []int64) bool {
	for class, n := range threads {
		if n > max(0, remaining[class]) {
			return false
		}
	}
	return true
}

// fillRemaining returns a good pattern within the remaining threads, by a knapsack search with few steps.
func (s *master) fillRemaining(clusterIndex int, multipliers ilp.Multipliers, remaining []int64) packing {
	c := &s.clusters[clusterIndex]
	var items []item
	for k, class := range s.model.classes {
		value, isKnown := s.reducedValue(clusterIndex, k, multipliers)
		if isKnown && value > 0 && remaining[k] > 0 {
			items = append(items, item{id: k, value: value, memoryMB: s.model.threadMemoryMB[class.typ]})
		}
	}
	slices.SortStableFunc(items, func(a, b item) int {
		return cmp.Or(cmp.Compare(b.value, a.value), cmp.Compare(a.memoryMB, b.memoryMB))
	})
	k := knapsack{
		items:      items,
		counts:     make([]int64, len(s.model.classes)),
		bestCounts: make([]int64, len(s.model.classes)),
		maxCounts:  remaining,
		maxSteps:   divingKnapsackSteps,
	}
	k.search(0, c.threads, c.group.memoryMB, 0)
	return packing{counts: k.bestCounts, value: k.bestValue}
}
