package solve

import "fmt"

// solution is threads by engine and piece, and by want; what a piece has on engines is what its wants are given.
type solution struct {
	on    [][]int64 // by engine, by piece; nil: the engine gets nothing
	given []int64   // by want
}

func (m *model) empty() *solution {
	return &solution{on: make([][]int64, len(m.p.Engines)), given: make([]int64, len(m.wants))}
}

// measure is value and cost of a second, and the greatest use of an engine in parts of ten thousand.
type measure struct{ value, cost, level int64 }

// better tells the strict order: more value, then less cost, then a lower greatest use.
func (a measure) better(b measure) bool {
	if a.value != b.value {
		return a.value > b.value
	}
	if a.cost != b.cost {
		return a.cost < b.cost
	}
	return a.level < b.level
}

func (w want) valueOf(threads, worth int64) int64 {
	if threads > w.full {
		return w.full*worth + w.partial
	}
	return threads * worth
}

func (m *model) measure(s *solution) (got measure) {
	for i, w := range m.wants {
		got.value += w.valueOf(s.given[i], m.worth[m.pieces[w.piece].typ])
	}
	for i, on := range s.on {
		used := int64(0)
		for k, n := range on {
			used += n
			got.cost += n * m.groups[m.groupOf[i]].cost[k]
		}
		if used > 0 {
			got.level = max(got.level, used*10_000/m.groups[m.groupOf[i]].threads)
		}
	}
	return got
}

// broken names the first thing that a solution breaks; nil where it keeps all. It shares nothing with the search.
func (m *model) broken(s *solution, h *holds) error {
	byTenant, byPiece := make([]int64, len(m.p.Tenants)), make([]int64, len(m.pieces))
	byType := make([]int64, len(m.p.Types))
	for i, w := range m.wants {
		n := s.given[i]
		if n < 0 || n > w.threads {
			return fmt.Errorf("%d threads given where %d are asked for", n, w.threads)
		}
		byTenant[w.tenant] += n
		byPiece[w.piece] += n
		byType[m.pieces[w.piece].typ] += n
	}
	crossing, outside := make([]int64, len(m.p.Zones)), make([]int64, len(m.p.Types))
	for i, on := range s.on {
		if on == nil {
			continue
		}
		if m.groupOf[i] < 0 {
			return fmt.Errorf("engine %s gets threads though it is to get none", m.p.Engines[i].Name)
		}
		g := &m.groups[m.groupOf[i]]
		used, memory, name := int64(0), int64(0), m.p.Engines[i].Name
		for k, n := range on {
			pc := m.pieces[k]
			if n < 0 || (n > 0 && !g.takes[k]) {
				return fmt.Errorf("engine %s: %d threads of type %s", name, n, m.p.Types[pc.typ].Name)
			}
			used, memory = used+n, memory+n*m.memory[pc.typ]
			byPiece[k] -= n
			crossing[pc.zone] += n * g.bytes[k]
			if !m.placed(pc.typ, g) {
				outside[pc.typ] += n
			}
		}
		most := m.cap(i, h)
		if used > most || memory > g.memory {
			return fmt.Errorf("engine %s: %d threads of %d, %d MB of %d", name, used, most, memory, g.memory)
		}
	}
	for k, n := range byPiece {
		if n != 0 {
			return fmt.Errorf("type %s: %d threads given that no engine runs", m.p.Types[m.pieces[k].typ].Name, n)
		}
	}
	for i, q := range h.quota {
		if q >= 0 && byTenant[i] > q {
			return fmt.Errorf("tenant %s: %d threads over a quota of %d", m.p.Tenants[i].Name, byTenant[i], q)
		}
	}
	for i, b := range h.budget {
		if b >= 0 && crossing[i] > b {
			return fmt.Errorf("zone %s: %d bytes a second cross, %d may", m.p.Zones[i].Name, crossing[i], b)
		}
	}
	for i, o := range h.outside {
		if o >= 0 && outside[i] > o {
			return fmt.Errorf("type %s: %d threads outside its placement bound", m.p.Types[i].Name, outside[i])
		}
	}
	for _, f := range h.floors {
		if f.typ >= 0 && byType[f.typ] < f.threads {
			return fmt.Errorf("type %s: %d threads, %d at least", m.p.Types[f.typ].Name, byType[f.typ], f.threads)
		}
		if f.tenant >= 0 && byTenant[f.tenant] < f.threads {
			return fmt.Errorf("tenant %s: %d threads, %d at least", m.p.Tenants[f.tenant].Name, byTenant[f.tenant], f.threads)
		}
	}
	if got := m.measure(s); h.cost >= 0 && got.cost > h.cost {
		return fmt.Errorf("a second costs %d, %d at most", got.cost, h.cost)
	}
	return nil
}

// cap is the threads that an engine may run within the holds.
func (m *model) cap(i int, h *holds) int64 {
	most := m.groups[m.groupOf[i]].threads
	whole := most
	if h.use >= 0 {
		most = min(most, whole*h.use/1000)
	}
	if h.level >= 0 { // the most threads whose use, rounded down, is no higher
		most = min(most, ((h.level+1)*whole-1)/10_000)
	}
	if left, is := h.lost[i]; is {
		most = min(most, left)
	}
	return most
}
