package solve

import (
	"fmt"
	"slices"
	"strings"
)

// model is a problem in numbers: indexes for names, a thread's figures by type, engines alike put together. A piece is
// a type's jobs from one zone: what an engine sees of a job, whoever its tenant is.
type model struct {
	problem        *Problem
	jobRates       []int64 // by type: millionths of jobs a thread does in a second
	threadValues   []int64 // by type: value of a thread fully used for a second
	threadMemoryMB []int64 // by type: MB a thread
	answerBytes    []int64 // by type: of answers a thread and second
	classes        []jobClass
	workloads      []workload
	groups         []engineGroup
	groupOf        []int // by engine; -1: it gets nothing
	fleetThreads   int64 // threads of all engines that get anything
}

type jobClass struct{ typ, zone int }

// want is a demand: whole threads, and one more that is used in part.
type workload struct {
	class, tenant      int
	threads            int64 // asked for, the part as a whole one
	fullThreads        int64 // of them fully used
	partialValue, jobs int64 // worth of the one used in part; jobs asked for, millionths a second
}

// group is engines that differ by name only.
type engineGroup struct {
	representative int   // the first of them
	engines        []int // in order of name
	threads        int64 // each may run, by rule 4's part where cold
	memoryMB       int64
	canRun         []bool  // by piece
	cost           []int64 // by piece: a thread for a second, with crossing
	bytes          []int64 // by piece: crossing, a thread and second
}

// newModel reads a checked problem at a moment of the warm-up, in ms from now.
func newModel(problem *Problem, at int64) *model {
	m := &model{problem: problem}
	for _, t := range problem.Types {
		rate := jobsPerThread(t)
		m.jobRates = append(m.jobRates, rate)
		m.threadValues = append(m.threadValues, rate*t.Value)
		m.threadMemoryMB = append(m.threadMemoryMB, (t.MemoryMB+t.Threads-1)/t.Threads)
		m.answerBytes = append(m.answerBytes, perMillionRoundedUp(rate, t.AnswerBytes))
	}
	index := map[jobClass]int{}
	typeOf, tenantOf, zoneOf := map[string]int{}, map[string]int{}, map[string]int{}
	for i, t := range problem.Types {
		typeOf[t.Name] = i
	}
	for i, t := range problem.Tenants {
		tenantOf[t.Name] = i
	}
	for i, z := range problem.Zones {
		zoneOf[z.Name] = i
	}
	for _, d := range problem.Demand {
		jobs := d.JobsPer1000S * 1000
		if jobs == 0 {
			continue
		}
		at := jobClass{typeOf[d.Type], zoneOf[d.Zone]}
		i, is := index[at]
		if !is {
			i = len(m.classes)
			index[at], m.classes = i, append(m.classes, at)
		}
		full := jobs / m.jobRates[at.typ]
		w := workload{class: i, tenant: tenantOf[d.Tenant], threads: full, fullThreads: full, jobs: jobs}
		if rest := jobs - full*m.jobRates[at.typ]; rest > 0 {
			w.threads, w.partialValue = full+1, rest*problem.Types[at.typ].Value
		}
		m.workloads = append(m.workloads, w)
	}
	m.groupEngines(at)
	return m
}

// perMillion is rate x each / 1,000,000 rounded up, without leaving 64 bits where checkSums let it pass.
func perMillionRoundedUp(rate, each int64) int64 {
	whole, rest := each/1_000_000, each%1_000_000
	return whole*rate + (rest*rate+999_999)/1_000_000
}

// allowance is an engine's threads at a moment: of a cold one its part, which grows evenly until it is warm.
func usableThreads(e Engine, perCore, at int64) int64 {
	threads := e.Cores * perCore
	switch {
	case e.State == Draining:
		return 0
	case e.State != Started || at >= e.WarmInMS:
		return threads
	}
	return threads * (e.CapacityPerMille*e.WarmInMS + (1000-e.CapacityPerMille)*at) / (1000 * e.WarmInMS)
}

func (m *model) groupEngines(at int64) {
	problem := m.problem
	order := make([]int, len(problem.Engines))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return strings.Compare(problem.Engines[a].Name, problem.Engines[b].Name) })
	m.groupOf = make([]int, len(problem.Engines))
	alike := map[string]int{}
	for _, i := range order {
		e := problem.Engines[i]
		threads := usableThreads(e, problem.threadsPerCore(), at)
		m.groupOf[i] = -1
		if threads == 0 {
			continue
		}
		m.fleetThreads += threads
		key := fmt.Sprintf("%s\n%s\n%d %d %d %d", e.Kind, e.Zone, threads, e.Cores, e.MemoryMB, e.Cost)
		g, is := alike[key]
		if !is {
			g = len(m.groups)
			alike[key] = g
			m.groups = append(m.groups, m.newGroup(i, threads))
		}
		m.groupOf[i] = g
		m.groups[g].engines = append(m.groups[g].engines, i)
	}
}

func (m *model) newGroup(like int, threads int64) engineGroup {
	e := m.problem.Engines[like]
	g := engineGroup{representative: like, threads: threads, memoryMB: e.MemoryMB}
	for _, class := range m.classes {
		t := m.problem.Types[class.typ]
		g.canRun = append(g.canRun, t.Threads <= threads && t.MemoryMB <= e.MemoryMB)
		cost, bytes := e.Cost, int64(0)
		if z := m.problem.Zones[class.zone]; z.Name != e.Zone {
			bytes = m.answerBytes[class.typ]
			cost += (bytes/1_000_000_000)*z.CrossingCostPerGB + (bytes%1_000_000_000*z.CrossingCostPerGB+999_999_999)/1_000_000_000
		}
		g.cost, g.bytes = append(g.cost, cost), append(g.bytes, bytes)
	}
	return g
}

// placed tells whether a type's placement bound lets it run on a group.
func (m *model) isPlacementAllowed(typ int, g *engineGroup) bool {
	t, e := &m.problem.Types[typ], &m.problem.Engines[g.representative]
	return (len(t.Kinds) == 0 || slices.Contains(t.Kinds, e.Kind)) && (len(t.Zones) == 0 || slices.Contains(t.Zones, e.Zone))
}
