package solve

import (
	"math"
	"math/rand/v2"
	"slices"

	"swiftreel/internal/ilp"
)

// steps of packing in a dive, where a good pattern does as well as the best.
const (
	diveSteps  = 1500
	diveRounds = 12 // of new patterns before engines are settled
	lastNodes  = 50 // of dividing what engines run among the wants
)

// dive settles engines' patterns one after the other where the LP has them nearly whole, and has new patterns made for
// what is left to serve, so that the last engines are not filled with what nobody asks for. The columns' lower bounds
// are where it keeps what it settled; they are given back. Settled: so many
// engines have each pattern from the outset, by column. Almost: from there on a pattern counts as whole. It returns what
// it found, or nil.
func (s *master) dive(settled []int64, almost float64, stop func() bool) []int64 {
	lows, highs := make([]int64, len(s.cols)), make([]int64, len(s.cols))
	for j := range s.cols {
		lows[j], highs[j] = s.prog.Columns[j].Lower, s.prog.Columns[j].Upper
	}
	defer func() {
		for j := range s.cols {
			if j < len(lows) {
				s.prog.Columns[j].Lower, s.prog.Columns[j].Upper = lows[j], highs[j]
			} else {
				s.prog.Columns[j].Lower, s.prog.Columns[j].Upper = 0, int64(len(s.clusters[s.cols[j].cluster].engines))
			}
		}
	}()
	for j, n := range settled {
		if s.cols[j].cluster >= 0 {
			s.prog.Columns[j].Lower = n
		}
	}
	lp := ilp.NewLP(s.prog)
	if lp.Solve(stop) != ilp.Optimal {
		return nil
	}
	for {
		left := s.left(lp.Values())
		s.close(left)
		lp.Refresh()
		if !s.refine(lp, left, stop) {
			return nil
		}
		if !s.settle(lp.Values(), almost) {
			break
		}
		lp.Refresh()
	}
	for j, of := range s.cols {
		if of.cluster >= 0 {
			s.prog.Columns[j].Upper = s.prog.Columns[j].Lower
		}
	}
	search := ilp.NewSearch(s.prog)
	search.Stop, search.MaxNodes = stop, lastNodes
	return search.Run().Values
}

// refine solves and adds patterns for what is left, some rounds.
func (s *master) refine(lp *ilp.LP, left []int64, stop func() bool) bool {
	for round := 0; ; round++ {
		ended := lp.Solve(stop)
		if ended != ilp.Optimal || round >= diveRounds {
			return ended == ilp.Optimal
		}
		y := lp.Multipliers(ended)
		added := 0
		for c := range s.clusters {
			if s.settled(c) >= int64(len(s.clusters[c].engines)) {
				continue
			}
			counts, worth := s.packLeft(c, y, left)
			if worth > y.Values[s.convex+int32(c)] {
				before := len(s.cols)
				s.pattern(c, counts)
				added += len(s.cols) - before
			}
		}
		if added == 0 {
			return true
		}
		lp.Refresh()
	}
}

// settled counts the engines of a cluster that have their pattern.
func (s *master) settled(c int) (n int64) {
	for j, of := range s.cols {
		if of.cluster == c {
			n += s.prog.Columns[j].Lower
		}
	}
	return n
}

// settle raises lower bounds: of all that the LP has whole, or nearly; else of the one nearest. false: nothing is left.
func (s *master) settle(at []float64, almost float64) bool {
	best, most, any := -1, 1e-6, false
	for j, of := range s.cols {
		if of.cluster < 0 {
			continue
		}
		c := &s.prog.Columns[j]
		over := at[j] - float64(c.Lower)
		if n := int64(math.Floor(over + 1 - almost)); n > 0 {
			c.Lower += n
			any = true
		} else if over > most {
			best, most = j, over
		}
	}
	if !any && best >= 0 {
		s.prog.Columns[best].Lower++
	}
	return any || best >= 0
}

// left is what the LP gives of each piece beyond what settled engines hold, rounded up: no more than that is of use,
// whatever is asked for, as quotas and the like stand in the way of the rest.
func (s *master) left(at []float64) []int64 {
	given := make([]float64, len(s.m.pieces))
	for j, of := range s.cols {
		if of.want >= 0 {
			given[s.m.wants[of.want].piece] += at[j]
		}
	}
	left := make([]int64, len(given))
	for k, g := range given {
		left[k] = int64(math.Ceil(g - 1e-6))
	}
	for j, of := range s.cols {
		if of.cluster >= 0 {
			for k, n := range of.counts {
				left[k] -= n * s.prog.Columns[j].Lower
			}
		}
	}
	return left
}

// close keeps engines not settled from patterns that hold more than is left: they would be filled with nothing.
func (s *master) close(left []int64) {
	for j, of := range s.cols {
		if of.cluster < 0 {
			continue
		}
		c := &s.prog.Columns[j]
		if c.Upper = int64(len(s.clusters[of.cluster].engines)); !fitsLeft(of.counts, left) {
			c.Upper = c.Lower
		}
	}
}

func fitsLeft(counts, left []int64) bool {
	for k, n := range counts {
		if n > max(0, left[k]) {
			return false
		}
	}
	return true
}

// packLeft fills an engine with pieces of which so much is left, well rather than best.
func (s *master) packLeft(c int, y ilp.Multipliers, left []int64) ([]int64, int64) {
	m, cl := s.m, &s.clusters[c]
	var items []item
	for k := range m.pieces {
		if d, known := s.reduced(c, k, y); known && d > 0 && left[k] > 0 {
			items = append(items, item{k, d, m.memory[m.pieces[k].typ]})
		}
	}
	slices.SortStableFunc(items, func(a, b item) int {
		if a.worth != b.worth {
			return int(min(1, max(-1, b.worth-a.worth)))
		}
		return int(min(1, max(-1, a.memory-b.memory)))
	})
	k := packing{items: items, at: make([]int64, len(m.pieces)), best: make([]int64, len(m.pieces)), most: left, limit: diveSteps}
	k.fill(0, cl.threads, cl.group.memory, 0)
	return k.best, k.value
}

// reduced is what a thread of a piece is worth on a cluster's engine at the multipliers.
func (s *master) reduced(c, k int, y ilp.Multipliers) (int64, bool) {
	m, cl := s.m, &s.clusters[c]
	if s.most(cl, k) == 0 {
		return 0, false
	}
	pc := m.pieces[k]
	col := ilp.Column{Rows: []int32{s.link + int32(k), s.budget + int32(pc.zone), s.cost},
		Coefficients: []int64{-1, cl.group.bytes[k], cl.group.cost[k]}, Objective: -s.dear * cl.group.cost[k]}
	if !m.placed(pc.typ, cl.group) {
		col.Rows, col.Coefficients = append(col.Rows, s.outside+int32(pc.typ)), append(col.Coefficients, 1)
	}
	d, known := y.ReducedObjective(&col)
	return d, known && d < ilp.MaxMagnitude/max(1, 2*cl.threads)
}

// chance settles which engines are freed; the same at every run.
type chance = rand.Rand

// free gives some engines of a plan free again, drawn with their like: the settled counts that are left.
func (s *master) free(x []int64, part int, by *chance) []int64 {
	left := slices.Clone(x)
	for j, n := range x {
		if s.cols[j].cluster < 0 {
			left[j] = 0
			continue
		}
		for range n {
			if by.IntN(part) == 0 {
				left[j]--
			}
		}
	}
	return left
}
