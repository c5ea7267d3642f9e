package solve

import (
	"fmt"
	"math"
	"slices"
)

// Conflict is an irreducible infeasible subset of the requirements: they cannot be met together, but without any one of
// them the others can.
type Conflict struct {
	FromMS       int64               `json:"from_ms"`
	Requirements []RequirementChange `json:"demands"`
	Proved       bool                `json:"proved"` // that each one is needed and all together are infeasible
}

// RequirementChange is a requirement of a conflict and the smallest change of it alone that resolves the conflict.
type RequirementChange struct {
	Requirement string `json:"demand"`
	Change      string `json:"change"`
}

// feasibility says whether constraints can be satisfied.
type feasibility uint8

const (
	undecided feasibility = iota
	feasible
	infeasible
)

const maxConflicts = 5 // reported per step

// feasibilityOf reports whether requirements can be met together at the given levels, with the complete fleet and in
// each of the outages among them.
func (m *model) feasibilityOf(list []requirement, levels []int64, stop func() bool) feasibility {
	constraints := m.noConstraints()
	var outages []outage
	for i, r := range list {
		r.apply(&constraints, &outages, levels[i])
	}
	fit := m.minimumsFeasibility(&constraints, stop)
	for _, remaining := range outages {
		if fit != feasible {
			break
		}
		without := constraints
		without.outage = remaining
		fit = m.minimumsFeasibility(&without, stop)
	}
	return fit
}

// strictestLevels returns the strictest level of each requirement.
func strictestLevels(list []requirement) []int64 {
	levels := make([]int64, len(list))
	for i, r := range list {
		levels[i] = r.strictest
	}
	return levels
}

// minimumsFeasibility reports whether all minimums can be met within the other constraints. Only minimums can make a
// problem infeasible, as a solution that grants nothing satisfies all other constraints.
func (m *model) minimumsFeasibility(constraints *constraintSet, stop func() bool) feasibility {
	if len(constraints.minimums) == 0 {
		return feasible
	}
	result := newMaster(
		m,
		constraints,
	).solveStage(stage{goal: minShortfall, above: math.MinInt64, maxCost: none, stop: stop})
	switch {
	case result.solution != nil && result.value == 0:
		return feasible
	case result.bound < 0:
		return infeasible
	}
	return undecided
}

// conflicts returns disjoint conflicts, at most maxConflicts, until the remaining requirements can be met.
func (m *model) conflicts(atMS int64, stop func() bool) []Conflict {
	var list []Conflict
	candidates := m.requirements()
	for len(list) < maxConflicts && m.feasibilityOf(candidates, strictestLevels(candidates), stop) == infeasible {
		found := m.findIrreducibleSubset(candidates, stop)
		conflict := Conflict{FromMS: atMS, Proved: found.isProved}
		for i, r := range found.needed {
			member := RequirementChange{Requirement: r.name, Change: m.smallestChange(found.needed, i, stop)}
			conflict.Requirements = append(conflict.Requirements, member)
		}
		list = append(list, conflict)
		candidates = found.others
	}
	return list
}

// irreducibleSubset is an infeasible subset of requirements, each of which is needed, and the other requirements.
type irreducibleSubset struct {
	needed   []requirement
	others   []requirement
	isProved bool // that each one is needed
}

// findIrreducibleSubset is a deletion filter: it removes each requirement without which the rest is still infeasible.
func (m *model) findIrreducibleSubset(list []requirement, stop func() bool) irreducibleSubset {
	found := irreducibleSubset{needed: slices.Clone(list), isProved: true}
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

// smallestChange finds the lowest level of one requirement that resolves the conflict, by bisection, and describes it.
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
