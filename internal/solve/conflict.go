package solve

import (
	"fmt"
	"math"
)

// Conflict is demands that cannot be met together, though without any one of them the others can.
type Conflict struct {
	FromMS  int64    `json:"from_ms"`
	Demands []Member `json:"demands"`
	Proved  bool     `json:"proved"` // each one needed, all together impossible
}

// Member is a demand of a conflict and the least change of it alone that ends the conflict.
type Member struct {
	Demand string `json:"demand"`
	Change string `json:"change"`
}

// fits tells whether demands can be met together, at levels of their own (nil: all that they ask).
type feasibility uint8

const (
	undecided feasibility = iota
	feasible
	infeasible
)

// together asks it, of the fleet as it is and without each loss that is demanded.
func (m *model) areCompatible(list []requirement, levels []int64, stop func() bool) feasibility {
	constraints := m.unconstrained()
	var losses []map[int]int64
	for i, d := range list {
		level := d.strictest
		if levels != nil {
			level = levels[i]
		}
		d.apply(&constraints, &losses, level)
	}
	answer := m.minimumsFeasibility(&constraints, stop)
	for _, lost := range losses {
		if answer != feasible {
			break
		}
		without := constraints
		without.remaining = lost
		answer = m.minimumsFeasibility(&without, stop)
	}
	return answer
}

// floorsFit asks whether all floors can be met within the rest: nothing else can stand in the way, as giving nothing
// keeps every other demand.
func (m *model) minimumsFeasibility(constraints *constraintSet, stop func() bool) feasibility {
	if len(constraints.minimums) == 0 {
		return feasible
	}
	s := newMaster(m, constraints)
	f := s.finish(minShortfall, nil, math.MinInt64, 0, 0, -1, stop)
	switch {
	case f.solution != nil && f.value == 0:
		return feasible
	case f.bound < 0:
		return infeasible
	}
	return undecided
}

// mostConflicts bounds how many are told.
const maxConflicts = 5

// conflicts finds sets of demands in conflict that share no demand, as long as one is left.
func (m *model) conflicts(at int64, stop func() bool) (list []Conflict) {
	left := m.requirements()
	for len(list) < maxConflicts && m.areCompatible(left, nil, stop) == infeasible {
		set, rest, proved := m.irreducibleConflict(left, stop)
		c := Conflict{FromMS: at, Proved: proved}
		for i, d := range set {
			c.Demands = append(c.Demands, Member{d.name, m.smallestChange(set, i, stop)})
		}
		list, left = append(list, c), rest
	}
	return list
}

// irreducible takes demands away one by one: what still conflicts without a demand does not need it.
func (m *model) irreducibleConflict(list []requirement, stop func() bool) (set, rest []requirement, proved bool) {
	set, proved = append(set, list...), true
	for i := 0; i < len(set); {
		without := append(append([]requirement{}, set[:i]...), set[i+1:]...)
		switch m.areCompatible(without, nil, stop) {
		case infeasible:
			rest = append(rest, set[i])
			set = without
			continue
		case undecided:
			proved = false
		}
		i++
	}
	return set, rest, proved
}

// change is the least change of one demand that ends the conflict: its lowest level that fits, by halving.
func (m *model) smallestChange(set []requirement, index int, stop func() bool) string {
	d, levels := set[index], make([]int64, len(set))
	for k, o := range set {
		levels[k] = o.strictest
	}
	lo, hi := d.strictest, d.loosest // lo does not fit
	levels[index] = hi
	if m.areCompatible(set, levels, stop) != feasible {
		return "no change of it alone was found in time"
	}
	for lo+1 < hi {
		mid := lo + (hi-lo)/2
		levels[index] = mid
		if m.areCompatible(set, levels, stop) == feasible {
			hi = mid
		} else {
			lo = mid
		}
	}
	return fmt.Sprintf(d.changeText, max(hi, -hi))
}
