package solve

import (
	"encoding/binary"
	"slices"
)

// distributionStepsPerState is the number of distributions among workloads that are tried per allowed state.
const distributionStepsPerState = 20

// exhaustiveResult is the result of an exhaustive search.
type exhaustiveResult struct {
	solution   *solution // nil: none
	objective  objective
	isComplete bool // the search was not cut off by a limit
}

// searchExhaustively enumerates all assignments of threads to engines, and all distributions of these among workloads,
// within a limit of states. Assignments with equal threads by class, crossing bytes and threads outside placement
// bounds are merged into one state that keeps the cheapest (then the most even) of them. It serves as a reference for
// other methods on small problems, and shares only the model with them.
func (m *model) searchExhaustively(constraints *constraintSet, maxStates int) exhaustiveResult {
	t := newExhaustiveSearch(m, constraints)
	for engine := range m.problem.Engines {
		if m.groupOf[engine] < 0 {
			continue
		}
		t.enumerateEngine(engine)
		if len(t.states) > maxStates {
			return exhaustiveResult{}
		}
	}
	d := distribution{
		model:       m,
		constraints: constraints,
		cheapest:    t.cheapestByThreads(),
		granted:     make([]int64, len(m.workloads)),
		byClass:     make([]int64, len(m.classes)),
		byTenant:    make([]int64, len(m.problem.Tenants)),
		maxSteps:    distributionStepsPerState * maxStates,
	}
	d.distribute(0, 0)
	return exhaustiveResult{solution: d.best, objective: d.bestObjective, isComplete: d.steps <= d.maxSteps}
}

// totals is the sums by which states are distinguished.
type totals struct {
	threads  []int64 // by class
	crossing []int64 // by zone: bytes per second
	outside  []int64 // by type: threads outside its placement bound
}

// key encodes the sums as a map key.
func (t totals) key() string {
	var key []byte
	for _, sums := range [][]int64{t.threads, t.crossing, t.outside} {
		for _, n := range sums {
			key = binary.LittleEndian.AppendUint64(key, uint64(n))
		}
	}
	return string(key)
}

// bytesPerNumber is the length of an encoded number in a key.
const bytesPerNumber = 8

// totalsOf decodes a key.
func (m *model) totalsOf(key string) totals {
	numbers := make([]int64, len(key)/bytesPerNumber)
	for i := range numbers {
		numbers[i] = int64(binary.LittleEndian.Uint64([]byte(key[bytesPerNumber*i:])))
	}
	classes := len(m.classes)
	zones := classes + len(m.problem.Zones)
	return totals{threads: numbers[:classes], crossing: numbers[classes:zones], outside: numbers[zones:]}
}

// state is an assignment of threads to the engines enumerated so far.
type state struct {
	cost        int64
	utilization int64     // maximum of an engine
	threads     [][]int64 // by engine, by class
}

// isBetterThan reports whether a replaces b, a state with the same totals.
func (a state) isBetterThan(b state) bool {
	return a.cost < b.cost || (a.cost == b.cost && a.utilization < b.utilization)
}

// exhaustiveSearch enumerates the assignments engine by engine.
type exhaustiveSearch struct {
	model       *model
	constraints *constraintSet
	requested   []int64          // threads by class
	states      map[string]state // by the key of their totals
}

func newExhaustiveSearch(m *model, constraints *constraintSet) *exhaustiveSearch {
	empty := totals{
		threads:  make([]int64, len(m.classes)),
		crossing: make([]int64, len(m.problem.Zones)),
		outside:  make([]int64, len(m.problem.Types)),
	}
	t := &exhaustiveSearch{
		model:       m,
		constraints: constraints,
		states:      map[string]state{empty.key(): {threads: make([][]int64, len(m.problem.Engines))}},
	}
	for class := range m.classes {
		t.requested = append(t.requested, m.requestedOfClass(class))
	}
	return t
}

// enumerateEngine extends every state by every assignment of threads to an engine.
func (t *exhaustiveSearch) enumerateEngine(engine int) {
	next := map[string]state{}
	for key, from := range t.states {
		f := engineEnumeration{
			search:  t,
			engine:  engine,
			group:   &t.model.groups[t.model.groupOf[engine]],
			limit:   t.model.maxEngineThreads(engine, t.constraints),
			from:    from,
			totals:  t.model.totalsOf(key),
			threads: make([]int64, len(t.model.classes)),
			next:    next,
		}
		f.enumerate(0, 0, 0, from.cost)
	}
	t.states = next
}

// cheapestByThreads returns the best state for each combination of threads by class.
func (t *exhaustiveSearch) cheapestByThreads() map[string]state {
	cheapest := map[string]state{}
	for key, s := range t.states {
		byThreads := key[:bytesPerNumber*len(t.model.classes)]
		if old, exists := cheapest[byThreads]; !exists || s.isBetterThan(old) {
			cheapest[byThreads] = s
		}
	}
	return cheapest
}

// engineEnumeration enumerates the assignments of threads to one engine, extending one state.
type engineEnumeration struct {
	search  *exhaustiveSearch
	engine  int
	group   *engineGroup
	limit   int64 // on the engine's threads
	from    state
	totals  totals
	threads []int64 // of the engine, by class
	next    map[string]state
}

// enumerate tries all numbers of threads of the remaining classes, beginning with class.
func (f *engineEnumeration) enumerate(class int, used, memoryMB, cost int64) {
	if class == len(f.threads) {
		f.store(used, cost)
		return
	}
	m := f.search.model
	typ := m.classes[class].typ
	zone := m.classes[class].zone
	outside := int64(0)
	if !m.isPlacementAllowed(typ, f.group) {
		outside = 1
	}
	for n := int64(0); n == 0 || f.group.canRun[class]; n++ {
		memory := memoryMB + n*m.threadMemoryMB[typ]
		if used+n > f.limit || memory > f.group.memoryMB || !f.canAdd(class, n, n*outside, cost) {
			break
		}
		f.threads[class] = n
		f.totals.threads[class] += n
		f.totals.crossing[zone] += n * f.group.bytes[class]
		f.totals.outside[typ] += n * outside
		f.enumerate(class+1, used+n, memory, cost+n*f.group.cost[class])
		f.totals.threads[class] -= n
		f.totals.crossing[zone] -= n * f.group.bytes[class]
		f.totals.outside[typ] -= n * outside
	}
	f.threads[class] = 0
}

// canAdd reports whether more threads of a class stay within the requested threads and the constraints.
func (f *engineEnumeration) canAdd(class int, threads, outside, cost int64) bool {
	typ := f.search.model.classes[class].typ
	zone := f.search.model.classes[class].zone
	set := f.search.constraints
	return f.totals.threads[class]+threads <= f.search.requested[class] &&
		isWithin(f.totals.crossing[zone]+threads*f.group.bytes[class], set.crossingBudgets[zone]) &&
		isWithin(f.totals.outside[typ]+outside, set.outsideLimits[typ]) &&
		isWithin(cost+threads*f.group.cost[class], set.maxCost)
}

// isWithin reports whether a number does not exceed a limit, which may be none.
func isWithin(number, limit int64) bool {
	return limit < 0 || number <= limit
}

// store keeps the extended state unless there is a better one with the same totals.
func (f *engineEnumeration) store(used, cost int64) {
	s := state{cost: cost, utilization: f.from.utilization}
	if used > 0 {
		s.utilization = max(s.utilization, used*utilizationScale/f.group.threads)
	}
	key := f.totals.key()
	if old, exists := f.next[key]; exists && !s.isBetterThan(old) {
		return
	}
	s.threads = slices.Clone(f.from.threads)
	s.threads[f.engine] = slices.Clone(f.threads)
	f.next[key] = s
}

// distribution enumerates the distributions of the engines' threads among the workloads.
type distribution struct {
	model         *model
	constraints   *constraintSet
	cheapest      map[string]state // by the key of the threads by class
	granted       []int64          // by workload
	byClass       []int64
	byTenant      []int64
	steps         int
	maxSteps      int
	best          *solution // nil: none yet
	bestObjective objective
}

// distribute tries all numbers of threads of the remaining workloads, beginning with index.
func (d *distribution) distribute(index int, value int64) {
	d.steps++
	if d.steps > d.maxSteps {
		return
	}
	if index == len(d.granted) {
		d.store(value)
		return
	}
	w := d.model.workloads[index]
	threadValue := d.model.threadValues[d.model.classes[w.class].typ]
	for n := range w.threads + 1 {
		if !isWithin(d.byTenant[w.tenant]+n, d.constraints.quotas[w.tenant]) {
			break
		}
		d.granted[index] = n
		d.byClass[w.class] += n
		d.byTenant[w.tenant] += n
		d.distribute(index+1, value+w.valueOf(n, threadValue))
		d.byClass[w.class] -= n
		d.byTenant[w.tenant] -= n
	}
	d.granted[index] = 0
}

// store keeps a distribution if engines can run it, it meets the minimums and it is the best so far.
func (d *distribution) store(value int64) {
	s, canRun := d.cheapest[totals{threads: d.byClass}.key()]
	if !canRun || !d.model.meetsMinimums(d.granted, d.constraints) {
		return
	}
	found := objective{value: value, cost: s.cost, utilization: s.utilization}
	if d.best != nil && !found.isBetterThan(d.bestObjective) {
		return
	}
	d.best = &solution{threads: s.threads, granted: slices.Clone(d.granted)}
	d.bestObjective = found
}

// meetsMinimums reports whether the granted threads meet all minimums.
func (m *model) meetsMinimums(granted []int64, constraints *constraintSet) bool {
	for _, f := range constraints.minimums {
		sum := int64(0)
		for i, w := range m.workloads {
			if f.covers(m, w) {
				sum += granted[i]
			}
		}
		if sum < f.threads {
			return false
		}
	}
	return true
}
