package solve

import (
	"math"
	"math/rand/v2"
	"slices"

	"swiftreel/internal/ilp"
)

// steps of packing in a dive, where a good pattern does as well as the best.
const (
	divingSteps  = 1500
	divingRounds = 12 // of new patterns before engines are settled
	lastNodes    = 50 // of dividing what engines run among the wants
)

// dive settles engines' patterns one after the other where the LP has them nearly whole, and has new patterns made for
// what is left to serve, so that the last engines are not filled with what nobody asks for. The columns' lower bounds
// are where it keeps what it settled; they are given back. Settled: so many
// engines have each pattern from the outset, by column. Almost: from there on a pattern counts as whole. It returns what
// it found, or nil.
func (s *master) runDivingHeuristic(settled []int64, almost float64, stop func() bool) []int64 {
	lows, highs := make([]int64, len(s.columns)), make([]int64, len(s.columns))
	for j := range s.columns {
		lows[j], highs[j] = s.program.Columns[j].Lower, s.program.Columns[j].Upper
	}
	defer func() {
		for j := range s.columns {
			if j < len(lows) {
				s.program.Columns[j].Lower, s.program.Columns[j].Upper = lows[j], highs[j]
			} else {
				s.program.Columns[j].Lower, s.program.Columns[j].Upper = 0, int64(len(s.clusters[s.columns[j].cluster].engines))
			}
		}
	}()
	for j, n := range settled {
		if s.columns[j].cluster >= 0 {
			s.program.Columns[j].Lower = n
		}
	}
	lp := ilp.NewLP(s.program)
	if lp.Solve(stop) != ilp.Optimal {
		return nil
	}
	for {
		left := s.remainingThreads(lp.Values())
		s.excludeOversized(left)
		lp.Refresh()
		if !s.addPatternsFor(lp, left, stop) {
			return nil
		}
		if !s.settleNearlyWhole(lp.Values(), almost) {
			break
		}
		lp.Refresh()
	}
	for j, meaning := range s.columns {
		if meaning.cluster >= 0 {
			s.program.Columns[j].Upper = s.program.Columns[j].Lower
		}
	}
	search := ilp.NewSearch(s.program)
	search.Stop, search.MaxNodes = stop, lastNodes
	return search.Run().Values
}

// refine solves and adds patterns for what is left, some rounds.
func (s *master) addPatternsFor(lp *ilp.LP, left []int64, stop func() bool) bool {
	for round := 0; ; round++ {
		ended := lp.Solve(stop)
		if ended != ilp.Optimal || round >= divingRounds {
			return ended == ilp.Optimal
		}
		y := lp.Multipliers(ended)
		added := 0
		for c := range s.clusters {
			if s.settledEngines(c) >= int64(len(s.clusters[c].engines)) {
				continue
			}
			counts, worth := s.fillRemaining(c, y, left)
			if worth > y.Values[s.convexRows+int32(c)] {
				before := len(s.columns)
				s.addPattern(c, counts)
				added += len(s.columns) - before
			}
		}
		if added == 0 {
			return true
		}
		lp.Refresh()
	}
}

// settled counts the engines of a cluster that have their pattern.
func (s *master) settledEngines(c int) (n int64) {
	for j, meaning := range s.columns {
		if meaning.cluster == c {
			n += s.program.Columns[j].Lower
		}
	}
	return n
}

// settle raises lower bounds: of all that the LP has whole, or nearly; else of the one nearest. false: nothing is left.
func (s *master) settleNearlyWhole(at []float64, almost float64) bool {
	best, most, any := -1, 1e-6, false
	for j, meaning := range s.columns {
		if meaning.cluster < 0 {
			continue
		}
		c := &s.program.Columns[j]
		over := at[j] - float64(c.Lower)
		if n := int64(math.Floor(over + 1 - almost)); n > 0 {
			c.Lower += n
			any = true
		} else if over > most {
			best, most = j, over
		}
	}
	if !any && best >= 0 {
		s.program.Columns[best].Lower++
	}
	return any || best >= 0
}

// left is what the LP gives of each piece beyond what settled engines hold, rounded up: no more than that is of use,
// whatever is asked for, as quotas and the like stand in the way of the rest.
func (s *master) remainingThreads(at []float64) []int64 {
	given := make([]float64, len(s.model.classes))
	for j, meaning := range s.columns {
		if meaning.workload >= 0 {
			given[s.model.workloads[meaning.workload].class] += at[j]
		}
	}
	left := make([]int64, len(given))
	for k, g := range given {
		left[k] = int64(math.Ceil(g - 1e-6))
	}
	for j, meaning := range s.columns {
		if meaning.cluster >= 0 {
			for k, n := range meaning.counts {
				left[k] -= n * s.program.Columns[j].Lower
			}
		}
	}
	return left
}

// close keeps engines not settled from patterns that hold more than is left: they would be filled with nothing.
func (s *master) excludeOversized(left []int64) {
	for j, meaning := range s.columns {
		if meaning.cluster < 0 {
			continue
		}
		c := &s.program.Columns[j]
		if c.Upper = int64(len(s.clusters[meaning.cluster].engines)); !fitsRemaining(meaning.counts, left) {
			c.Upper = c.Lower
		}
	}
}

func fitsRemaining(counts, left []int64) bool {
	for k, n := range counts {
		if n > max(0, left[k]) {
			return false
		}
	}
	return true
}

// packLeft fills an engine with pieces of which so much is left, well rather than best.
func (s *master) fillRemaining(clusterIndex int, multipliers ilp.Multipliers, left []int64) ([]int64, int64) {
	m, cluster := s.model, &s.clusters[clusterIndex]
	var items []item
	for k := range m.classes {
		if d, known := s.reducedValue(clusterIndex, k, multipliers); known && d > 0 && left[k] > 0 {
			items = append(items, item{k, d, m.threadMemoryMB[m.classes[k].typ]})
		}
	}
	slices.SortStableFunc(items, func(a, b item) int {
		if a.value != b.value {
			return int(min(1, max(-1, b.value-a.value)))
		}
		return int(min(1, max(-1, a.memoryMB-b.memoryMB)))
	})
	k := knapsack{items: items, counts: make([]int64, len(m.classes)), bestCounts: make([]int64, len(m.classes)), maxCounts: left, maxSteps: divingSteps}
	k.fill(0, cluster.threads, cluster.group.memoryMB, 0)
	return k.bestCounts, k.bestValue
}

// reduced is what a thread of a piece is worth on a cluster's engine at the multipliers.
func (s *master) reducedValue(clusterIndex, classIndex int, multipliers ilp.Multipliers) (int64, bool) {
	m, cluster := s.model, &s.clusters[clusterIndex]
	if s.maxThreads(cluster, classIndex) == 0 {
		return 0, false
	}
	class := m.classes[classIndex]
	col := ilp.Column{Rows: []int32{s.linkRows + int32(classIndex), s.budgetRows + int32(class.zone), s.costRow},
		Coefficients: []int64{-1, cluster.group.bytes[classIndex], cluster.group.cost[classIndex]}, Objective: -s.costPrice * cluster.group.cost[classIndex]}
	if !m.isPlacementAllowed(class.typ, cluster.group) {
		col.Rows, col.Coefficients = append(col.Rows, s.outsideRows+int32(class.typ)), append(col.Coefficients, 1)
	}
	d, known := multipliers.ReducedObjective(&col)
	return d, known && d < ilp.MaxMagnitude/max(1, 2*cluster.threads)
}

// chance settles which engines are freed; the same at every run.
type chance = rand.Rand

// free gives some engines of a plan free again, drawn with their like: the settled counts that are left.
func (s *master) releaseEngines(x []int64, part int, random *chance) []int64 {
	left := slices.Clone(x)
	for j, n := range x {
		if s.columns[j].cluster < 0 {
			left[j] = 0
			continue
		}
		for range n {
			if random.IntN(part) == 0 {
				left[j]--
			}
		}
	}
	return left
}
