package solve

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"swiftreel/internal/ilp"
)

const (
	divingSteps    = 1500 // of packing, where a good pattern does as well as the best
	divingRounds   = 12   // of new patterns before engines are settled
	maxLastNodes   = 50   // of dividing what engines run among the workloads
	maxIdleRounds  = 200  // in a row that engines are released and settled again for nothing
	roundTolerance = 1e-6

	// costShare is the part of the value that the complete cost weighs while the value is raised, so that of values
	// nearly alike the cheaper is found; shortfallFactor is the price of a thread short of a minimum, in values of a
	// thread.
	costShare       = 20_000
	shortfallFactor = 20
	// releaseParts is the number of different parts of engines that are released: from one half down.
	releaseParts = 6
)

// roundingThresholds are the parts from which the diving heuristic takes a pattern for settled, one run after the
// other.
var roundingThresholds = [...]float64{0.9, 0.98, 0.8, 0.7}

// diver improves a plan by the diving heuristic.
type diver struct {
	master       *master
	stage        stage
	enough       int64   // a value at which it ends
	defaultPrice int64   // price of cost outside a dive
	price        int64   // and in a dive
	best         []int64 // may be short of some minimums, at a price
	bestValue    int64
	complete     []int64 // the best that meets all minimums
}

// improveByDiving dives in several ways, then releases a part of the best plan's engines again and again and settles
// them anew, until it is worth enough. It returns the best plan that meets all minimums, or nil.
func (s *master) improveByDiving(target stage, start []int64, enough int64) []int64 {
	d := diver{master: s, stage: target, enough: enough, complete: start, bestValue: math.MinInt64}
	d.defaultPrice = s.costPrice
	d.price = s.costPrice
	if target.goal == maxValue {
		d.price = s.maxTotalValue() / max(1, s.model.maxCost()) / costShare
	}
	if start != nil {
		d.best = s.padded(start)
		d.bestValue, _ = s.program.Value(d.best)
	}
	for i := 0; i < len(roundingThresholds) && !d.isDone(); i++ {
		d.try(nil, roundingThresholds[i])
	}
	random := rand.New(rand.NewPCG(1, 1)) // the same at every run
	for idle := 0; d.best != nil && idle < maxIdleRounds && !d.isDone(); idle++ {
		settled := s.releaseEngines(d.best, 2+idle%releaseParts, random)
		if d.try(settled, roundingThresholds[idle%len(roundingThresholds)]) {
			idle = -1
		}
	}
	return d.complete
}

func (d *diver) isDone() bool {
	return d.stage.stop() || (d.complete != nil && d.bestValue >= d.enough)
}

// try dives from settled engines, and reports whether that gave a better plan.
func (d *diver) try(settled []int64, threshold float64) bool {
	s := d.master
	s.allowShortfall(true)
	s.setCostPrice(d.price)
	values := s.padded(s.runDivingHeuristic(settled, threshold, d.stage.stop))
	s.setCostPrice(d.defaultPrice)
	value, isFeasible := s.program.Value(values)
	s.allowShortfall(false)
	s.setCostPrice(d.defaultPrice)
	if !isFeasible || value <= d.bestValue {
		return false
	}
	d.best = values
	d.bestValue = value
	if s.shortfall(values) == 0 {
		d.complete = values
	}
	return true
}

// releaseEngines returns the settled engines that are left, by column, when some of a plan are released: each with a
// probability of one in parts.
func (s *master) releaseEngines(values []int64, parts int, random *rand.Rand) []int64 {
	left := slices.Clone(values)
	for column, engines := range values {
		if !s.columns[column].isPattern() {
			left[column] = 0
			continue
		}
		for range engines {
			if random.IntN(parts) == 0 {
				left[column]--
			}
		}
	}
	return left
}

// bounds are columns' bounds as they were before a dive.
type bounds struct {
	lower int64
	upper int64
}

// runDivingHeuristic settles engines' patterns one after the other where the LP has them nearly whole, and has new
// patterns made for what is left to serve, so that the last engines are not filled with what nobody requests. What it
// settles stands in the columns' lower bounds, which are restored. settled are the engines with each pattern from the
// outset, by column; from the threshold on a pattern counts as whole. It returns the columns' values, or nil.
func (s *master) runDivingHeuristic(settled []int64, threshold float64, stop func() bool) []int64 {
	saved := s.saveBounds()
	defer s.restoreBounds(saved)
	for column, engines := range settled {
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
		if isOpen = s.settleEngines(lp.Values(), threshold); isOpen {
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
	search.MaxNodes = maxLastNodes
	return search.Run().Values
}

func (s *master) saveBounds() []bounds {
	saved := make([]bounds, len(s.columns))
	for column := range s.columns {
		saved[column] = bounds{lower: s.program.Columns[column].Lower, upper: s.program.Columns[column].Upper}
	}
	return saved
}

// restoreBounds restores the bounds of columns, and gives those that came later their own.
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

// engineCount returns the engines of a pattern's cluster.
func (s *master) engineCount(column int) int64 {
	return int64(len(s.clusters[s.columns[column].cluster].engines))
}

// addPatternsFor solves the LP and adds patterns for what remains, for some rounds. It reports whether the LP is
// solved.
func (s *master) addPatternsFor(lp *ilp.LP, remaining []int64, stop func() bool) bool {
	for round := 0; ; round++ {
		ended := lp.Solve(stop)
		if ended != ilp.Optimal || round >= divingRounds {
			return ended == ilp.Optimal
		}
		multipliers := lp.Multipliers(ended)
		added := 0
		for i := range s.clusters {
			if s.settledEngines(i) < int64(len(s.clusters[i].engines)) {
				added += s.addIfValuable(i, s.fillRemaining(i, multipliers, remaining), multipliers)
			}
		}
		if added == 0 {
			return true
		}
		lp.Refresh()
	}
}

// settledEngines counts the engines of a cluster that have their pattern.
func (s *master) settledEngines(clusterIndex int) int64 {
	count := int64(0)
	for column := range s.columns {
		if s.columns[column].cluster == clusterIndex {
			count += s.program.Columns[column].Lower
		}
	}
	return count
}

// settleEngines raises lower bounds: of all patterns that the LP has whole, or nearly; if there is none, of the one
// that is nearest. It reports whether there was anything to settle.
func (s *master) settleEngines(values []float64, threshold float64) bool {
	nearest := none
	greatest := roundTolerance
	isSettled := false
	for column := range s.columns {
		if !s.columns[column].isPattern() {
			continue
		}
		c := &s.program.Columns[column]
		excess := values[column] - float64(c.Lower)
		if engines := int64(math.Floor(excess + 1 - threshold)); engines > 0 {
			c.Lower += engines
			isSettled = true
		} else if excess > greatest {
			nearest = column
			greatest = excess
		}
	}
	if isSettled || nearest < 0 {
		return isSettled
	}
	s.program.Columns[nearest].Lower++
	return true
}

// remainingThreads returns what the LP grants of each class beyond what settled engines run, rounded up. No more than
// that is of use, whatever is requested, as quotas and the like stand in the way of the rest.
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

// excludeOversized keeps engines that are not settled from patterns with more threads than remain, which would run
// nothing.
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

// fillRemaining fills an engine with classes of which so much remains, well rather than best.
func (s *master) fillRemaining(clusterIndex int, multipliers ilp.Multipliers, remaining []int64) packed {
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
		maxSteps:   divingSteps,
	}
	k.fill(0, c.threads, c.group.memoryMB, 0)
	return packed{counts: k.bestCounts, value: k.bestValue}
}
