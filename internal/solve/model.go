package solve

import (
	"slices"
	"strings"
)

// model is a problem in numbers: indexes for names, figures by thread, engines alike put together.
type model struct {
	problem        *Problem
	jobRates       []int64 // by type: millionths of jobs that a thread does in a second
	threadValues   []int64 // by type: value of a thread fully used for a second
	threadMemoryMB []int64 // by type
	answerBytes    []int64 // by type: of a thread in a second
	classes        []jobClass
	workloads      []workload
	groups         []engineGroup
	groupOf        []int // by engine; none: it gets nothing
	fleetThreads   int64 // of all engines that get anything
}

// jobClass is a type's jobs from one zone: what an engine sees of a job, whoever its tenant is.
type jobClass struct {
	typ  int
	zone int
}

// workload is a demand in whole threads, and one more that is used in part.
type workload struct {
	class        int
	tenant       int
	threads      int64 // requested; the one used in part counts as a whole one
	fullThreads  int64 // of these, fully used
	partialValue int64 // of the thread used in part, a second
	jobs         int64 // requested, in millionths a second
}

// engineGroup is engines that differ by name only.
type engineGroup struct {
	representative int   // the first of them
	engines        []int // in order of their names
	threads        int64 // usable by each
	memoryMB       int64
	canRun         []bool  // by class
	cost           []int64 // by class: of a thread for a second, with crossing
	bytes          []int64 // by class: crossing, of a thread in a second
}

// newModel reads a checked problem at a moment of the warm-up, in ms from now.
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

// addWorkloads reads the demand, and the classes of jobs that stand in it.
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
			jobs:        jobs,
		}
		if partialJobs := jobs - fullThreads*m.jobRates[class.typ]; partialJobs > 0 {
			w.threads++
			w.partialValue = partialJobs * m.problem.Types[class.typ].Value
		}
		m.workloads = append(m.workloads, w)
	}
}

// typeIndex returns the index of a type's name, or none.
func (m *model) typeIndex(name string) int {
	return slices.IndexFunc(m.problem.Types, func(t Type) bool { return t.Name == name })
}

// tenantIndex returns the index of a tenant's name, or none.
func (m *model) tenantIndex(name string) int {
	return slices.IndexFunc(m.problem.Tenants, func(t Tenant) bool { return t.Name == name })
}

// zoneIndex returns the index of a zone's name, or none.
func (m *model) zoneIndex(name string) int {
	return slices.IndexFunc(m.problem.Zones, func(z Zone) bool { return z.Name == name })
}

// perMillionRoundedUp returns rate*amount/1,000,000, without leaving 64 bits for a checked problem.
func perMillionRoundedUp(rate, amount int64) int64 {
	return amount/million*rate + (amount%million*rate+million-1)/million
}

// usableThreads returns an engine's threads at a moment: of one that warms up its part, which grows evenly.
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

// groupEngines puts engines together that are alike.
func (m *model) groupEngines(atMS int64) {
	type likeness struct {
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
	groups := map[likeness]int{}
	for _, i := range order {
		e := p.Engines[i]
		threads := usableThreads(e, p.threadsPerCore(), atMS)
		m.groupOf[i] = none
		if threads == 0 {
			continue
		}
		m.fleetThreads += threads
		key := likeness{
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

// newGroup returns a group, yet without engines, of those like one.
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

// canRunOn reports whether a job of a class fits an engine of some threads and memory.
func (m *model) canRunOn(class jobClass, threads, memoryMB int64) bool {
	t := m.problem.Types[class.typ]
	return t.Threads <= threads && t.MemoryMB <= memoryMB
}

// crossingCost returns the cost of some bytes, rounded up, without leaving 64 bits for a checked problem.
func crossingCost(bytes, costPerGB int64) int64 {
	return bytes/bytesPerGB*costPerGB + (bytes%bytesPerGB*costPerGB+bytesPerGB-1)/bytesPerGB
}

// isPlacementAllowed reports whether a type's placement bound lets it run on a group.
func (m *model) isPlacementAllowed(typ int, g *engineGroup) bool {
	t := &m.problem.Types[typ]
	e := &m.problem.Engines[g.representative]
	isKindAllowed := len(t.Kinds) == 0 || slices.Contains(t.Kinds, e.Kind)
	isZoneAllowed := len(t.Zones) == 0 || slices.Contains(t.Zones, e.Zone)
	return isKindAllowed && isZoneAllowed
}
