package solve

import "slices"

// exhaustive tries every way to fill every engine and every way to divide it among tenants; ways that leave the same
// threads by piece and the same crossing bytes are one, the cheaper (then the more even) kept. For small problems, to
// hold other methods against. It shares the model with them, not the search.
func (m *model) exhaustive(constraints *constraintSet, most int) (best *solution, got measure, fits, whole bool) {
	type state struct {
		cost, level int64
		on          [][]int64
	}
	key := func(sums, bytes, outside []int64) string {
		var b []byte
		for _, list := range [][]int64{sums, bytes, outside} {
			for _, n := range list {
				for k := range 8 {
					b = append(b, byte(n>>(8*k)))
				}
			}
		}
		return string(b)
	}
	unpack := func(text string) (sums, bytes, outside []int64) {
		list := make([]int64, len(text)/8)
		for i := range list {
			for k := range 8 {
				list[i] |= int64(text[8*i+k]) << (8 * k)
			}
		}
		a, b := len(m.classes), len(m.classes)+len(m.problem.Zones)
		return list[:a], list[a:b], list[b:]
	}
	asked := make([]int64, len(m.classes))
	for _, w := range m.workloads {
		asked[w.class] += w.threads
	}
	zero := func(n int) []int64 { return make([]int64, n) }
	states := map[string]state{key(zero(len(m.classes)), zero(len(m.problem.Zones)), zero(len(m.problem.Types))): {on: make([][]int64, len(m.problem.Engines))}}
	for i := range m.problem.Engines {
		if m.groupOf[i] < 0 {
			continue
		}
		g, cap, next := &m.groups[m.groupOf[i]], m.maxThreadsOf(i, constraints), map[string]state{}
		for text, st := range states {
			sums, bytes, outside := unpack(text)
			on := zero(len(m.classes))
			var at func(k int, used, memory, cost int64)
			at = func(k int, used, memory, cost int64) {
				if k == len(on) {
					way := state{cost: cost, level: st.level}
					if used > 0 {
						way.level = max(way.level, used*10_000/g.threads)
					}
					id := key(sums, bytes, outside)
					if old, is := next[id]; !is || way.cost < old.cost || (way.cost == old.cost && way.level < old.level) {
						way.on = slices.Clone(st.on)
						way.on[i] = slices.Clone(on)
						next[id] = way
					}
					return
				}
				class := m.classes[k]
				out := int64(0)
				if !m.isPlacementAllowed(class.typ, g) {
					out = 1
				}
				for n := int64(0); n == 0 || g.canRun[k]; n++ {
					if used+n > cap || memory+n*m.threadMemoryMB[class.typ] > g.memoryMB || sums[k]+n > asked[k] ||
						(constraints.crossingBudgets[class.zone] >= 0 && bytes[class.zone]+n*g.bytes[k] > constraints.crossingBudgets[class.zone]) ||
						(constraints.outsideLimits[class.typ] >= 0 && outside[class.typ]+n*out > constraints.outsideLimits[class.typ]) ||
						(constraints.maxCost >= 0 && cost+n*g.cost[k] > constraints.maxCost) {
						break
					}
					on[k] = n
					sums[k], bytes[class.zone], outside[class.typ] = sums[k]+n, bytes[class.zone]+n*g.bytes[k], outside[class.typ]+n*out
					at(k+1, used+n, memory+n*m.threadMemoryMB[class.typ], cost+n*g.cost[k])
					sums[k], bytes[class.zone], outside[class.typ] = sums[k]-n, bytes[class.zone]-n*g.bytes[k], outside[class.typ]-n*out
				}
				on[k] = 0
			}
			at(0, 0, 0, st.cost)
		}
		if states = next; len(states) > most {
			return nil, got, false, false
		}
	}
	cheapest := map[string]state{} // by threads of pieces alone
	for text, st := range states {
		id := text[:8*len(m.classes)]
		if old, is := cheapest[id]; !is || st.cost < old.cost || (st.cost == old.cost && st.level < old.level) {
			cheapest[id] = st
		}
	}
	given, sums, tenants := zero(len(m.workloads)), zero(len(m.classes)), zero(len(m.problem.Tenants))
	tried := 0
	var divide func(i int, value int64)
	divide = func(i int, value int64) {
		if tried++; tried > 20*most {
			return
		}
		if i == len(m.workloads) {
			st, can := cheapest[key(sums, nil, nil)]
			way := measure{value, st.cost, st.level}
			if !can || !m.meetsMinimums(given, constraints) || (fits && !way.isBetterThan(got)) {
				return
			}
			best, got, fits = &solution{threads: st.on, granted: slices.Clone(given)}, way, true
			return
		}
		w := m.workloads[i]
		for n := range w.threads + 1 {
			if constraints.quotas[w.tenant] >= 0 && tenants[w.tenant]+n > constraints.quotas[w.tenant] {
				break
			}
			given[i], sums[w.class], tenants[w.tenant] = n, sums[w.class]+n, tenants[w.tenant]+n
			divide(i+1, value+w.valueOf(n, m.threadValues[m.classes[w.class].typ]))
			sums[w.class], tenants[w.tenant] = sums[w.class]-n, tenants[w.tenant]-n
		}
		given[i] = 0
	}
	divide(0, 0)
	return best, got, fits, tried <= 20*most
}

func (m *model) meetsMinimums(given []int64, constraints *constraintSet) bool {
	for _, f := range constraints.minimums {
		sum := int64(0)
		for i, w := range m.workloads {
			if m.classes[w.class].typ == f.typ || w.tenant == f.tenant {
				sum += given[i]
			}
		}
		if sum < f.threads {
			return false
		}
	}
	return true
}
