package solve

import (
	"fmt"
	"math"
	"slices"
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

// feasibility says whether constraints can be met.
type feasibility uint8

const (
	undecided feasibility = iota
	feasible
	infeasible
)

// maxConflicts bounds the number of conflicts that are reported.
const maxConflicts = 5

// feasibilityOf reports whether requirements can be met together, each at its level: by the fleet as it is, and without
// each loss that is among them.
func (m *model) feasibilityOf(list []requirement, levels []int64, stop func() bool) feasibility {
	constraints := m.unconstrained()
	var losses []loss
	for i, r := range list {
		r.apply(&constraints, &losses, levels[i])
	}
	fit := m.minimumsFeasibility(&constraints, stop)
	for _, remaining := range losses {
		if fit != feasible {
			break
		}
		without := constraints
		without.remaining = remaining
		fit = m.minimumsFeasibility(&without, stop)
	}
	return fit
}

// strictestLevels returns the level of each requirement at which it asks for everything.
func strictestLevels(list []requirement) []int64 {
	levels := make([]int64, len(list))
	for i, r := range list {
		levels[i] = r.strictest
	}
	return levels
}

// minimumsFeasibility reports whether all minimums can be met within the other constraints. Nothing else can stand in
// the way, as a solution that grants nothing keeps every other constraint.
func (m *model) minimumsFeasibility(constraints *constraintSet, stop func() bool) feasibility {
	if len(constraints.minimums) == 0 {
		return feasible
	}
	result := newMaster(
		m,
		constraints,
	).finish(stage{goal: minShortfall, above: math.MinInt64, maxCost: none, stop: stop})
	switch {
	case result.solution != nil && result.value == 0:
		return feasible
	case result.bound < 0:
		return infeasible
	}
	return undecided
}

// conflicts finds sets of requirements in conflict that share no requirement, as long as one is left.
func (m *model) conflicts(atMS int64, stop func() bool) []Conflict {
	var list []Conflict
	candidates := m.requirements()
	for len(list) < maxConflicts && m.feasibilityOf(candidates, strictestLevels(candidates), stop) == infeasible {
		found := m.irreducibleConflict(candidates, stop)
		conflict := Conflict{FromMS: atMS, Proved: found.isProved}
		for i, r := range found.needed {
			member := Member{Demand: r.name, Change: m.smallestChange(found.needed, i, stop)}
			conflict.Demands = append(conflict.Demands, member)
		}
		list = append(list, conflict)
		candidates = found.others
	}
	return list
}

// irreducible is a conflict in which every requirement is needed.
type irreducible struct {
	needed   []requirement
	others   []requirement
	isProved bool // that each one is needed
}

// irreducibleConflict takes requirements away one by one: what still conflicts without a requirement does not need
// it.
func (m *model) irreducibleConflict(list []requirement, stop func() bool) irreducible {
	found := irreducible{needed: slices.Clone(list), isProved: true}
	for i := 0; i < len(found.needed); {
		without := slices.Delete(slices.Clone(found.needed), i, i+1)
		switch m.feasibilityOf(without, strictestLevels(without), stop) {
		case infeasible:
			found.others = append(found.others, found.needed[i])
			found.needed = without
			continue
		case undecided:
			found.isProved = false
		case feasible: // it is needed
		}
		i++
	}
	return found
}

// smallestChange returns the least change of one requirement that ends the conflict: its lowest level that fits, by
// bisection.
func (m *model) smallestChange(conflict []requirement, index int, stop func() bool) string {
	changed := conflict[index]
	levels := strictestLevels(conflict)
	fitsAt := func(level int64) bool {
		levels[index] = level
		return m.feasibilityOf(conflict, levels, stop) == feasible
	}
	tooStrict := changed.strictest
	fitting := changed.loosest
	if !fitsAt(fitting) {
		return "no change of it alone was found in time"
	}
	for tooStrict+1 < fitting {
		middle := tooStrict + (fitting-tooStrict)/2
		if fitsAt(middle) {
			fitting = middle
		} else {
			tooStrict = middle
		}
	}
	return fmt.Sprintf(changed.changeText, max(fitting, -fitting))
}
