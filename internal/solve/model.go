package solve

import (
	"slices"
	"strings"
)

// model is a problem in numeric form at one point in time: names are replaced by indexes, rates are per thread, and
// identical engines are grouped.
type model struct {
	problem        *Problem
	jobRates       []int64 // by type: jobs that a thread completes per second, in millionths
	threadValues   []int64 // by type: value per second of a fully used thread, in millionths
	threadMemoryMB []int64 // by type
	answerBytes    []int64 // by type: per thread and second
	classes        []jobClass
	workloads      []workload
	groups         []engineGroup
	groupOf        []int // by engine; none: it has no usable threads
	fleetThreads   int64 // usable threads of all engines
}

// jobClass is the jobs of a type from one zone. Engines do not distinguish jobs further; the tenant is irrelevant to
// them.
type jobClass struct {
	typ  int
	zone int
}

// workload is a demand in whole threads, of which the last may be partially used.
type workload struct {
	class        int
	tenant       int
	threads      int64 // requested, including a partially used one
	fullThreads  int64 // of these, fully used
	partialValue int64 // per second, of the partially used thread
}

// engineGroup is engines that differ only in their names.
type engineGroup struct {
	representative int   // the first engine
	engines        []int // in order of their names
	threads        int64 // usable by each engine
	memoryMB       int64
	canRun         []bool  // by class
	cost           []int64 // by class: per thread and second, including crossing
	bytes          []int64 // by class: crossing bytes per thread and second
}

// newModel builds the model of a checked problem at atMS milliseconds from now.
func newModel(problem *Problem, atMS int64) *model {
	m := &model{problem: problem}
	for _, t := range problem.Types {
		rate := jobsPerThread(t)
		m.jobRates = append(m.jobRates, rate)
		m.threadValues = append(m.threadValues, rate*t.Value)
		m.threadMemoryMB = append(m.threadMemoryMB, (t.MemoryMB+t.Threads-1)/t.Threads)
		m.answerBytes = append(m.answerBytes, perMillionRoundedUp(rate, t.AnswerBytes))
	}
	m.addWorkloads()
	m.groupEngines(atMS)
	return m
}

// addWorkloads converts the demand to workloads and collects their classes.
func (m *model) addWorkloads() {
	classIndex := map[jobClass]int{}
	for _, d := range m.problem.Demand {
		jobs := d.JobsPer1000S * 1000
		if jobs == 0 {
			continue
		}
		class := jobClass{typ: m.typeIndex(d.Type), zone: m.zoneIndex(d.Zone)}
		index, isKnown := classIndex[class]
		if !isKnown {
			index = len(m.classes)
			classIndex[class] = index
			m.classes = append(m.classes, class)
		}
		fullThreads := jobs / m.jobRates[class.typ]
		w := workload{
			class:       index,
			tenant:      m.tenantIndex(d.Tenant),
			threads:     fullThreads,
			fullThreads: fullThreads,
		}
		if partialJobs := jobs - fullThreads*m.jobRates[class.typ]; partialJobs > 0 {
			w.threads++
			w.partialValue = partialJobs * m.problem.Types[class.typ].Value
		}
		m.workloads = append(m.workloads, w)
	}
}

// typeIndex returns the index of a type, or none.
func (m *model) typeIndex(name string) int {
	return slices.IndexFunc(m.problem.Types, func(t Type) bool { return t.Name == name })
}

// tenantIndex returns the index of a tenant, or none.
func (m *model) tenantIndex(name string) int {
	return slices.IndexFunc(m.problem.Tenants, func(t Tenant) bool { return t.Name == name })
}

// zoneIndex returns the index of a zone, or none.
func (m *model) zoneIndex(name string) int {
	return slices.IndexFunc(m.problem.Zones, func(z Zone) bool { return z.Name == name })
}

// perMillionRoundedUp returns rate*amount/1,000,000, rounded up. For a checked problem it does not overflow 64 bits.
func perMillionRoundedUp(rate, amount int64) int64 {
	return amount/million*rate + (amount%million*rate+million-1)/million
}

// usableThreads returns the threads that an engine may run at atMS. A started engine's capacity grows linearly until it
// is warm.
func usableThreads(e Engine, perCore, atMS int64) int64 {
	threads := e.Cores * perCore
	if e.State == Draining {
		return 0
	}
	if e.State != Started || atMS >= e.WarmInMS {
		return threads
	}
	part := e.CapacityPerMille*e.WarmInMS + (perMille-e.CapacityPerMille)*atMS
	return threads * part / (perMille * e.WarmInMS)
}

// groupEngines groups identical engines.
func (m *model) groupEngines(atMS int64) {
	type groupKey struct {
		kind, zone                     string
		threads, cores, memoryMB, cost int64
	}
	p := m.problem
	order := make([]int, len(p.Engines))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return strings.Compare(p.Engines[a].Name, p.Engines[b].Name) })
	m.groupOf = make([]int, len(p.Engines))
	groups := map[groupKey]int{}
	for _, i := range order {
		e := p.Engines[i]
		threads := usableThreads(e, p.threadsPerCore(), atMS)
		m.groupOf[i] = none
		if threads == 0 {
			continue
		}
		m.fleetThreads += threads
		key := groupKey{
			kind:     e.Kind,
			zone:     e.Zone,
			threads:  threads,
			cores:    e.Cores,
			memoryMB: e.MemoryMB,
			cost:     e.Cost,
		}
		group, isKnown := groups[key]
		if !isKnown {
			group = len(m.groups)
			groups[key] = group
			m.groups = append(m.groups, m.newGroup(i, threads))
		}
		m.groupOf[i] = group
		m.groups[group].engines = append(m.groups[group].engines, i)
	}
}

// newGroup returns a group without engines, with the properties of a representative engine.
func (m *model) newGroup(representative int, threads int64) engineGroup {
	e := m.problem.Engines[representative]
	g := engineGroup{representative: representative, threads: threads, memoryMB: e.MemoryMB}
	for _, class := range m.classes {
		g.canRun = append(g.canRun, m.canRunOn(class, threads, e.MemoryMB))
		cost := e.Cost
		bytes := int64(0)
		if zone := m.problem.Zones[class.zone]; zone.Name != e.Zone {
			bytes = m.answerBytes[class.typ]
			cost += crossingCost(bytes, zone.CrossingCostPerGB)
		}
		g.cost = append(g.cost, cost)
		g.bytes = append(g.bytes, bytes)
	}
	return g
}

// canRunOn reports whether a job of a class fits on an engine with the given threads and memory.
func (m *model) canRunOn(class jobClass, threads, memoryMB int64) bool {
	t := m.problem.Types[class.typ]
	return t.Threads <= threads && t.MemoryMB <= memoryMB
}

// crossingCost returns the cost of bytes that cross zones, rounded up. For a checked problem it does not overflow 64
// bits.
func crossingCost(bytes, costPerGB int64) int64 {
	return bytes/bytesPerGB*costPerGB + (bytes%bytesPerGB*costPerGB+bytesPerGB-1)/bytesPerGB
}

// isPlacementAllowed reports whether a type's placement bound allows a group of engines.
func (m *model) isPlacementAllowed(typ int, g *engineGroup) bool {
	t := &m.problem.Types[typ]
	e := &m.problem.Engines[g.representative]
	isKindAllowed := len(t.Kinds) == 0 || slices.Contains(t.Kinds, e.Kind)
	isZoneAllowed := len(t.Zones) == 0 || slices.Contains(t.Zones, e.Zone)
	return isKindAllowed && isZoneAllowed
}
