package solve

import (
	"math"

	"swiftreel/internal/ilp"
)

// generate adds the patterns that the multipliers call for, until none does, and returns a bound that holds over all
// patterns there are, written out or not: in whole numbers, whatever the LP's rounding. math.MaxInt64: none known. The
// multipliers are those of the last round.
func (s *master) generate(stop func() bool) (bound int64, y ilp.Multipliers) {
	bound = math.MaxInt64
	if s.whole {
		return bound, y
	}
	lp := ilp.NewLP(s.prog)
	for !stop() {
		ended := lp.Solve(stop)
		if ended == ilp.Stopped {
			return bound, y
		}
		y = lp.Multipliers(ended)
		added := 0
		for c := range s.clusters {
			counts, worth, most := s.pack(c, y)
			if worth > y.Values[s.convex+int32(c)] {
				before := len(s.cols)
				s.pattern(c, counts)
				added += len(s.cols) - before
			}
			y.Values[s.convex+int32(c)] = most
		}
		if b, known := s.prog.Bound(y); known && (ended == ilp.Optimal || b < 0) {
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
func (s *master) pack(c int, y ilp.Multipliers) (counts []int64, worth, bound int64) {
	m, cl := s.m, &s.clusters[c]
	items := make([]item, len(m.p.Types))
	pieceOf := make([]int, len(items))
	for i := range items {
		items[i].memory = m.memory[i]
	}
	for k, pc := range m.pieces {
		if s.most(cl, k) == 0 {
			continue
		}
		d, known := s.reduced(c, k, y)
		if !known {
			return nil, 0, math.MaxInt64
		}
		if d > items[pc.typ].worth {
			items[pc.typ].worth, pieceOf[pc.typ] = d, k
		}
	}
	n, worth, bound := pack(items, cl.threads, cl.group.memory)
	counts = make([]int64, len(m.pieces))
	for i, of := range n {
		if of > 0 {
			counts[pieceOf[i]] = of
		}
	}
	return counts, worth, bound
}
