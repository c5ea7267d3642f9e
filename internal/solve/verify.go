package solve

import (
	"fmt"
	"slices"
)

// Verify holds a step of a plan against a problem, as if nobody had solved it: names, whole threads, every limit and
// demand, the figures it tells. It shares the reading of the problem with the solver, nothing else.
func Verify(p *Problem, s Step) error {
	m := newModel(p, s.FromMS)
	sol := m.empty()
	for i, g := range m.groupOf {
		if g >= 0 {
			sol.on[i] = make([]int64, len(m.pieces))
		}
	}
	for _, t := range s.Threads {
		e := slices.IndexFunc(p.Engines, func(e Engine) bool { return e.Name == t.Engine })
		w := slices.IndexFunc(m.wants, func(w want) bool {
			pc := m.pieces[w.piece]
			return p.Types[pc.typ].Name == t.Type && p.Zones[pc.zone].Name == t.Zone && p.Tenants[w.tenant].Name == t.Tenant
		})
		if e < 0 || w < 0 || t.Threads < 1 {
			return fmt.Errorf("%d threads of type %s for tenant %s from zone %s on engine %s: not in the problem", t.Threads, t.Type,
				t.Tenant, t.Zone, t.Engine)
		}
		if sol.on[e] == nil {
			return fmt.Errorf("engine %s gets threads though it is to get none", t.Engine)
		}
		sol.on[e][m.wants[w].piece] += t.Threads
		sol.given[w] += t.Threads
	}
	h := m.none()
	var losses []map[int]int64
	for _, d := range m.demands() {
		d.apply(&h, &losses, d.least)
	}
	if err := m.broken(sol, &h); err != nil {
		return err
	}
	if got := m.measure(sol); got != (measure{s.Value, s.Cost, s.Evenness}) {
		return fmt.Errorf("it tells value %d, cost %d, evenness %d: they are %d, %d, %d", s.Value, s.Cost, s.Evenness, got.value,
			got.cost, got.level)
	}
	return nil
}

// Demands names all that a checked problem asks for, as conflicts name them.
func Demands(p *Problem) (names []string) {
	for _, d := range newModel(p, 0).demands() {
		names = append(names, d.name)
	}
	return names
}

// Fits tells whether some of the demands, by name, can be met together, by trying all. known is false where that is
// too much to try.
func Fits(p *Problem, names []string) (fits, known bool) {
	m := newModel(p, 0)
	h := m.none()
	losses := []map[int]int64{nil}
	for _, d := range m.demands() {
		if slices.Contains(names, d.name) {
			d.apply(&h, &losses, d.least)
		}
	}
	for _, lost := range losses {
		without := h
		without.lost = lost
		_, _, can, whole := m.exhaustive(&without, mostStates)
		if !whole || !can {
			return false, whole
		}
	}
	return true, true
}
