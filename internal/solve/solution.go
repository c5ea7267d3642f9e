package solve

import "fmt"

// solution is threads by engine and piece, and by want; what a piece has on engines is what its wants are given.
type solution struct {
	threads [][]int64 // by engine, by piece; nil: the engine gets nothing
	granted []int64   // by want
}

func (m *model) emptySolution() *solution {
	return &solution{threads: make([][]int64, len(m.problem.Engines)), granted: make([]int64, len(m.workloads))}
}

// measure is value and cost of a second, and the greatest use of an engine in parts of ten thousand.
type measure struct{ value, cost, utilization int64 }

// better tells the strict order: more value, then less cost, then a lower greatest use.
func (a measure) isBetterThan(b measure) bool {
	if a.value != b.value {
		return a.value > b.value
	}
	if a.cost != b.cost {
		return a.cost < b.cost
	}
	return a.utilization < b.utilization
}

func (w workload) valueOf(threads, worth int64) int64 {
	if threads > w.fullThreads {
		return w.fullThreads*worth + w.partialValue
	}
	return threads * worth
}

func (m *model) measure(s *solution) (got measure) {
	for i, w := range m.workloads {
		got.value += w.valueOf(s.granted[i], m.threadValues[m.classes[w.class].typ])
	}
	for i, on := range s.threads {
		used := int64(0)
		for k, n := range on {
			used += n
			got.cost += n * m.groups[m.groupOf[i]].cost[k]
		}
		if used > 0 {
			got.utilization = max(got.utilization, used*10_000/m.groups[m.groupOf[i]].threads)
		}
	}
	return got
}

// broken names the first thing that a solution breaks; nil where it keeps all. It shares nothing with the search.
func (m *model) violation(solution *solution, constraints *constraintSet) error {
	byTenant, byPiece := make([]int64, len(m.problem.Tenants)), make([]int64, len(m.classes))
	byType := make([]int64, len(m.problem.Types))
	for i, w := range m.workloads {
		n := solution.granted[i]
		if n < 0 || n > w.threads {
			return fmt.Errorf("%d threads given where %d are asked for", n, w.threads)
		}
		byTenant[w.tenant] += n
		byPiece[w.class] += n
		byType[m.classes[w.class].typ] += n
	}
	crossing, outside := make([]int64, len(m.problem.Zones)), make([]int64, len(m.problem.Types))
	for i, on := range solution.threads {
		if on == nil {
			continue
		}
		if m.groupOf[i] < 0 {
			return fmt.Errorf("engine %s gets threads though it is to get none", m.problem.Engines[i].Name)
		}
		g := &m.groups[m.groupOf[i]]
		used, memory, name := int64(0), int64(0), m.problem.Engines[i].Name
		for k, n := range on {
			class := m.classes[k]
			if n < 0 || (n > 0 && !g.canRun[k]) {
				return fmt.Errorf("engine %s: %d threads of type %s", name, n, m.problem.Types[class.typ].Name)
			}
			used, memory = used+n, memory+n*m.threadMemoryMB[class.typ]
			byPiece[k] -= n
			crossing[class.zone] += n * g.bytes[k]
			if !m.isPlacementAllowed(class.typ, g) {
				outside[class.typ] += n
			}
		}
		most := m.maxThreadsOf(i, constraints)
		if used > most || memory > g.memoryMB {
			return fmt.Errorf("engine %s: %d threads of %d, %d MB of %d", name, used, most, memory, g.memoryMB)
		}
	}
	for k, n := range byPiece {
		if n != 0 {
			return fmt.Errorf("type %s: %d threads given that no engine runs", m.problem.Types[m.classes[k].typ].Name, n)
		}
	}
	for i, q := range constraints.quotas {
		if q >= 0 && byTenant[i] > q {
			return fmt.Errorf("tenant %s: %d threads over a quota of %d", m.problem.Tenants[i].Name, byTenant[i], q)
		}
	}
	for i, b := range constraints.crossingBudgets {
		if b >= 0 && crossing[i] > b {
			return fmt.Errorf("zone %s: %d bytes a second cross, %d may", m.problem.Zones[i].Name, crossing[i], b)
		}
	}
	for i, o := range constraints.outsideLimits {
		if o >= 0 && outside[i] > o {
			return fmt.Errorf("type %s: %d threads outside its placement bound", m.problem.Types[i].Name, outside[i])
		}
	}
	for _, f := range constraints.minimums {
		if f.typ >= 0 && byType[f.typ] < f.threads {
			return fmt.Errorf("type %s: %d threads, %d at least", m.problem.Types[f.typ].Name, byType[f.typ], f.threads)
		}
		if f.tenant >= 0 && byTenant[f.tenant] < f.threads {
			return fmt.Errorf("tenant %s: %d threads, %d at least", m.problem.Tenants[f.tenant].Name, byTenant[f.tenant], f.threads)
		}
	}
	if got := m.measure(solution); constraints.maxCost >= 0 && got.cost > constraints.maxCost {
		return fmt.Errorf("a second costs %d, %d at most", got.cost, constraints.maxCost)
	}
	return nil
}

// cap is the threads that an engine may run within the holds.
func (m *model) maxThreadsOf(i int, constraints *constraintSet) int64 {
	most := m.groups[m.groupOf[i]].threads
	whole := most
	if constraints.maxUsePerMille >= 0 {
		most = min(most, whole*constraints.maxUsePerMille/1000)
	}
	if constraints.maxUtilization >= 0 { // the most threads whose use, rounded down, is no higher
		most = min(most, ((constraints.maxUtilization+1)*whole-1)/10_000)
	}
	if left, is := constraints.remaining[i]; is {
		most = min(most, left)
	}
	return most
}
