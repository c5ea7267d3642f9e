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
type fits uint8

const (
	unsure fits = iota
	yes
	no
)

// together asks it, of the fleet as it is and without each loss that is demanded.
func (m *model) together(list []demand, levels []int64, stop func() bool) fits {
	h := m.none()
	var losses []map[int]int64
	for i, d := range list {
		level := d.least
		if levels != nil {
			level = levels[i]
		}
		d.apply(&h, &losses, level)
	}
	answer := m.floorsFit(&h, stop)
	for _, lost := range losses {
		if answer != yes {
			break
		}
		without := h
		without.lost = lost
		answer = m.floorsFit(&without, stop)
	}
	return answer
}

// floorsFit asks whether all floors can be met within the rest: nothing else can stand in the way, as giving nothing
// keeps every other demand.
func (m *model) floorsFit(h *holds, stop func() bool) fits {
	if len(h.floors) == 0 {
		return yes
	}
	s := newMaster(m, h)
	f := s.finish(aimShort, nil, math.MinInt64, 0, 0, -1, stop)
	switch {
	case f.sol != nil && f.value == 0:
		return yes
	case f.bound < 0:
		return no
	}
	return unsure
}

// mostConflicts bounds how many are told.
const mostConflicts = 5

// conflicts finds sets of demands in conflict that share no demand, as long as one is left.
func (m *model) conflicts(at int64, stop func() bool) (list []Conflict) {
	left := m.demands()
	for len(list) < mostConflicts && m.together(left, nil, stop) == no {
		set, rest, proved := m.irreducible(left, stop)
		c := Conflict{FromMS: at, Proved: proved}
		for i, d := range set {
			c.Demands = append(c.Demands, Member{d.name, m.change(set, i, stop)})
		}
		list, left = append(list, c), rest
	}
	return list
}

// irreducible takes demands away one by one: what still conflicts without a demand does not need it.
func (m *model) irreducible(list []demand, stop func() bool) (set, rest []demand, proved bool) {
	set, proved = append(set, list...), true
	for i := 0; i < len(set); {
		without := append(append([]demand{}, set[:i]...), set[i+1:]...)
		switch m.together(without, nil, stop) {
		case no:
			rest = append(rest, set[i])
			set = without
			continue
		case unsure:
			proved = false
		}
		i++
	}
	return set, rest, proved
}

// change is the least change of one demand that ends the conflict: its lowest level that fits, by halving.
func (m *model) change(set []demand, i int, stop func() bool) string {
	d, levels := set[i], make([]int64, len(set))
	for k, o := range set {
		levels[k] = o.least
	}
	lo, hi := d.least, d.most // lo does not fit
	levels[i] = hi
	if m.together(set, levels, stop) != yes {
		return "no change of it alone was found in time"
	}
	for lo+1 < hi {
		mid := lo + (hi-lo)/2
		levels[i] = mid
		if m.together(set, levels, stop) == yes {
			hi = mid
		} else {
			lo = mid
		}
	}
	return fmt.Sprintf(d.unit, max(hi, -hi))
}
