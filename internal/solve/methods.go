package solve

import "fmt"

// Method works an answer out. All read the same problem and are held to the same demands.
type Method interface {
	Name() string
	// at solves one moment of the warm-up.
	at(m *model, h *holds, stop Stop) outcome
}

// Named gives a method by its name.
func Named(name string) (Method, error) {
	for _, m := range []Method{Solver{}, Exhaustive{}, Proportional{}} {
		if m.Name() == name {
			return m, nil
		}
	}
	return nil, fmt.Errorf("method %q is none of solver, exhaustive, proportional", name)
}

// Solver proves its answers.
type Solver struct{}

// Name is solver.
func (Solver) Name() string { return "solver" }

func (Solver) at(m *model, h *holds, stop Stop) outcome { return m.stages(h, stop) }

// Exhaustive tries all, on small problems.
type Exhaustive struct{}

// Name is exhaustive.
func (Exhaustive) Name() string { return "exhaustive" }

// mostStates is up to how many states of part of the fleet all are tried.
const mostStates = 100_000

func (Exhaustive) at(m *model, h *holds, _ Stop) (out outcome) {
	sol, got, fits, whole := m.exhaustive(h, mostStates)
	if !whole {
		return outcome{}
	}
	if !fits {
		return outcome{none: true}
	}
	return outcome{sol: sol, got: got, bound: got, proved: [3]bool{true, true, true}}
}

// Proportional is what the decision module does without a plan, as far as it can be said ahead: tenants alike share the
// threads, types by their order of billed value for their work, each job where most room is.
type Proportional struct{}

// Name is proportional.
func (Proportional) Name() string { return "proportional" }

func (Proportional) at(m *model, h *holds, _ Stop) (out outcome) {
	s := m.empty()
	free, memory := make([]int64, len(m.p.Engines)), make([]int64, len(m.p.Engines))
	for i := range free {
		if m.groupOf[i] >= 0 {
			free[i], memory[i] = m.cap(i, h), m.groups[m.groupOf[i]].memory
			s.on[i] = make([]int64, len(m.pieces))
		}
	}
	crossing := make([]int64, len(m.p.Zones))
	tenants := make([]int64, len(m.p.Tenants))
	part := m.fleet / int64(len(m.p.Tenants))
	place := func(w want) bool {
		pc := m.pieces[w.piece]
		best := -1
		for i := range free {
			if free[i] < 1 || memory[i] < m.memory[pc.typ] {
				continue
			}
			g := &m.groups[m.groupOf[i]]
			if !g.takes[w.piece] || !m.placed(pc.typ, g) ||
				(h.budget[pc.zone] >= 0 && crossing[pc.zone]+g.bytes[w.piece] > h.budget[pc.zone]) {
				continue
			}
			if best < 0 || free[i]*m.groups[m.groupOf[best]].threads > free[best]*g.threads {
				best = i
			}
		}
		if best < 0 {
			return false
		}
		free[best], memory[best] = free[best]-1, memory[best]-m.memory[pc.typ]
		s.on[best][w.piece]++
		crossing[pc.zone] += m.groups[m.groupOf[best]].bytes[w.piece]
		tenants[w.tenant]++
		return true
	}
	for _, own := range []bool{true, false} { // within even parts first, then what is left over
		for again := true; again; {
			again = false
			for i, w := range m.wants { // a thread each in turn
				quota := h.quota[w.tenant]
				if s.given[i] < w.threads && (!own || tenants[w.tenant] < part) && (quota < 0 || tenants[w.tenant] < quota) && place(w) {
					s.given[i]++
					again = true
				}
			}
		}
	}
	out.sol, out.got = s, m.measure(s)
	for _, w := range m.wants {
		out.bound.value += w.valueOf(w.threads, m.worth[m.pieces[w.piece].typ])
	}
	if m.broken(s, h) != nil {
		out.sol = nil // a formula does not look for what must hold
	}
	return out
}
