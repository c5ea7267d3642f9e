package solve

import (
	"encoding/binary"
	"slices"
)

// divisionFactor is how many times as many divisions among workloads are tried as states.
const divisionFactor = 20

// tried is what trying everything gives.
type tried struct {
	solution   *solution // nil: none was found
	measure    measure
	isComplete bool // everything was tried
}

// tryAll tries every way to fill every engine and every way to divide that among workloads, within a limit of states.
// Ways that leave the same threads by class, the same crossing bytes and the same threads outside placement bounds
// are one state, of which the cheaper (then the more even) is kept. It is for small problems, to hold other methods
// against; it shares the model with them, not the search.
func (m *model) tryAll(constraints *constraintSet, maxStates int) tried {
	t := newTrial(m, constraints)
	for engine := range m.problem.Engines {
		if m.groupOf[engine] < 0 {
			continue
		}
		t.fillEngine(engine)
		if len(t.states) > maxStates {
			return tried{}
		}
	}
	d := division{
		model:       m,
		constraints: constraints,
		cheapest:    t.cheapestByThreads(),
		granted:     make([]int64, len(m.workloads)),
		byClass:     make([]int64, len(m.classes)),
		byTenant:    make([]int64, len(m.problem.Tenants)),
		maxSteps:    divisionFactor * maxStates,
	}
	d.divide(0, 0)
	return tried{solution: d.best, measure: d.bestMeasure, isComplete: d.steps <= d.maxSteps}
}

// totals are the sums of a state.
type totals struct {
	threads  []int64 // by class
	crossing []int64 // by zone: bytes a second
	outside  []int64 // by type: threads outside its placement bound
}

// key returns the sums as text.
func (t totals) key() string {
	var key []byte
	for _, sums := range [][]int64{t.threads, t.crossing, t.outside} {
		for _, n := range sums {
			key = binary.LittleEndian.AppendUint64(key, uint64(n))
		}
	}
	return string(key)
}

// bytesOfNumber is the length of a number in a key.
const bytesOfNumber = 8

// totalsOf reads a key.
func (m *model) totalsOf(key string) totals {
	numbers := make([]int64, len(key)/bytesOfNumber)
	for i := range numbers {
		numbers[i] = int64(binary.LittleEndian.Uint64([]byte(key[bytesOfNumber*i:])))
	}
	classes := len(m.classes)
	zones := classes + len(m.problem.Zones)
	return totals{threads: numbers[:classes], crossing: numbers[classes:zones], outside: numbers[zones:]}
}

// state is a way to fill the engines so far.
type state struct {
	cost        int64
	utilization int64     // the greatest of an engine
	threads     [][]int64 // by engine, by class
}

// isBetterThan reports whether a state with the same totals is to be kept.
func (a state) isBetterThan(b state) bool {
	return a.cost < b.cost || (a.cost == b.cost && a.utilization < b.utilization)
}

// trial fills the engines one after the other.
type trial struct {
	model       *model
	constraints *constraintSet
	requested   []int64          // threads by class
	states      map[string]state // by the key of their totals
}

func newTrial(m *model, constraints *constraintSet) *trial {
	empty := totals{
		threads:  make([]int64, len(m.classes)),
		crossing: make([]int64, len(m.problem.Zones)),
		outside:  make([]int64, len(m.problem.Types)),
	}
	t := &trial{
		model:       m,
		constraints: constraints,
		states:      map[string]state{empty.key(): {threads: make([][]int64, len(m.problem.Engines))}},
	}
	for class := range m.classes {
		t.requested = append(t.requested, m.requestedOfClass(class))
	}
	return t
}

// fillEngine replaces the states by those in which an engine is filled in every way.
func (t *trial) fillEngine(engine int) {
	next := map[string]state{}
	for key, from := range t.states {
		f := filling{
			trial:   t,
			engine:  engine,
			group:   &t.model.groups[t.model.groupOf[engine]],
			limit:   t.model.maxThreadsOf(engine, t.constraints),
			from:    from,
			totals:  t.model.totalsOf(key),
			threads: make([]int64, len(t.model.classes)),
			next:    next,
		}
		f.fill(0, 0, 0, from.cost)
	}
	t.states = next
}

// cheapestByThreads returns the state to be kept for each key of threads by class alone.
func (t *trial) cheapestByThreads() map[string]state {
	cheapest := map[string]state{}
	for key, s := range t.states {
		byThreads := key[:bytesOfNumber*len(t.model.classes)]
		if old, exists := cheapest[byThreads]; !exists || s.isBetterThan(old) {
			cheapest[byThreads] = s
		}
	}
	return cheapest
}

// filling fills one engine, from one state.
type filling struct {
	trial   *trial
	engine  int
	group   *engineGroup
	limit   int64 // threads of the engine
	from    state
	totals  totals
	threads []int64 // of the engine, by class
	next    map[string]state
}

// fill tries all threads of the classes from one on.
func (f *filling) fill(class int, used, memoryMB, cost int64) {
	if class == len(f.threads) {
		f.store(used, cost)
		return
	}
	m := f.trial.model
	typ := m.classes[class].typ
	zone := m.classes[class].zone
	outside := int64(0)
	if !m.isPlacementAllowed(typ, f.group) {
		outside = 1
	}
	for n := int64(0); n == 0 || f.group.canRun[class]; n++ {
		memory := memoryMB + n*m.threadMemoryMB[typ]
		if used+n > f.limit || memory > f.group.memoryMB || !f.mayAdd(class, n, n*outside, cost) {
			break
		}
		f.threads[class] = n
		f.totals.threads[class] += n
		f.totals.crossing[zone] += n * f.group.bytes[class]
		f.totals.outside[typ] += n * outside
		f.fill(class+1, used+n, memory, cost+n*f.group.cost[class])
		f.totals.threads[class] -= n
		f.totals.crossing[zone] -= n * f.group.bytes[class]
		f.totals.outside[typ] -= n * outside
	}
	f.threads[class] = 0
}

// mayAdd reports whether threads of a class keep what is requested and the constraints.
func (f *filling) mayAdd(class int, threads, outside, cost int64) bool {
	typ := f.trial.model.classes[class].typ
	zone := f.trial.model.classes[class].zone
	set := f.trial.constraints
	return f.totals.threads[class]+threads <= f.trial.requested[class] &&
		isWithin(f.totals.crossing[zone]+threads*f.group.bytes[class], set.crossingBudgets[zone]) &&
		isWithin(f.totals.outside[typ]+outside, set.outsideLimits[typ]) &&
		isWithin(cost+threads*f.group.cost[class], set.maxCost)
}

// isWithin reports whether a number keeps a limit; none: any does.
func isWithin(number, limit int64) bool {
	return limit < 0 || number <= limit
}

// store retains the state with the engine filled, unless there is a better one with the same totals.
func (f *filling) store(used, cost int64) {
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

// division divides what engines run among the workloads.
type division struct {
	model       *model
	constraints *constraintSet
	cheapest    map[string]state // by the key of threads by class
	granted     []int64          // by workload
	byClass     []int64
	byTenant    []int64
	steps       int
	maxSteps    int
	best        *solution // nil: none yet
	bestMeasure measure
}

// divide tries all threads of the workloads from one on.
func (d *division) divide(index int, value int64) {
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
		d.divide(index+1, value+w.valueOf(n, threadValue))
		d.byClass[w.class] -= n
		d.byTenant[w.tenant] -= n
	}
	d.granted[index] = 0
}

// store retains a division if engines can run it, it meets the minimums and it is the best.
func (d *division) store(value int64) {
	s, canRun := d.cheapest[totals{threads: d.byClass}.key()]
	if !canRun || !d.model.meetsMinimums(d.granted, d.constraints) {
		return
	}
	found := measure{value: value, cost: s.cost, utilization: s.utilization}
	if d.best != nil && !found.isBetterThan(d.bestMeasure) {
		return
	}
	d.best = &solution{threads: s.threads, granted: slices.Clone(d.granted)}
	d.bestMeasure = found
}

// meetsMinimums reports whether granted threads meet all minimums.
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
