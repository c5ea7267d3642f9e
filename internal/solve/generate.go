package solve

import (
	"math"

	"swiftreel/internal/ilp"
)

// generate adds the patterns that the multipliers call for, until none does, and returns a bound that holds over all
// patterns there are, written out or not: in whole numbers, whatever the LP's rounding. math.MaxInt64: none known. The
// multipliers are those of the last round.
func (s *master) generatePatterns(stop func() bool) (bound int64, y ilp.Multipliers) {
	bound = math.MaxInt64
	if s.isComplete {
		return bound, y
	}
	lp := ilp.NewLP(s.program)
	for !stop() {
		ended := lp.Solve(stop)
		if ended == ilp.Stopped {
			return bound, y
		}
		y = lp.Multipliers(ended)
		added := 0
		for c := range s.clusters {
			counts, worth, most := s.bestPattern(c, y)
			if worth > y.Values[s.convexRows+int32(c)] {
				before := len(s.columns)
				s.addPattern(c, counts)
				added += len(s.columns) - before
			}
			y.Values[s.convexRows+int32(c)] = most
		}
		if b, known := s.program.Bound(y); known && (ended == ilp.Optimal || b < 0) {
			bound = min(bound, b) // with no fit: nothing at all fits, as b tells
		}
		if added == 0 {
			return bound, y
		}
		lp.Refresh()
	}
	return bound, y
}

// pack finds the pattern of a cluster that is worth most at the multipliers. Among a type's pieces the best counts, as
// a pattern may hold any number of it: that can only raise the bound.
func (s *master) bestPattern(clusterIndex int, multipliers ilp.Multipliers) (counts []int64, worth, bound int64) {
	m, cluster := s.model, &s.clusters[clusterIndex]
	items := make([]item, len(m.problem.Types))
	pieceOf := make([]int, len(items))
	for i := range items {
		items[i].memoryMB = m.threadMemoryMB[i]
	}
	for k, class := range m.classes {
		if s.maxThreads(cluster, k) == 0 {
			continue
		}
		d, known := s.reducedValue(clusterIndex, k, multipliers)
		if !known {
			return nil, 0, math.MaxInt64
		}
		if d > items[class.typ].value {
			items[class.typ].value, pieceOf[class.typ] = d, k
		}
	}
	n, worth, bound := solveKnapsack(items, cluster.threads, cluster.group.memoryMB)
	counts = make([]int64, len(m.classes))
	for i, meaning := range n {
		if meaning > 0 {
			counts[pieceOf[i]] = meaning
		}
	}
	return counts, worth, bound
}
