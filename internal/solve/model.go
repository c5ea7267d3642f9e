package solve

import (
	"fmt"
	"slices"
	"strings"
)

// model is a problem in numbers: indexes for names, a thread's figures by type, engines alike put together. A piece is
// a type's jobs from one zone: what an engine sees of a job, whoever its tenant is.
type model struct {
	p       *Problem
	rate    []int64 // by type: millionths of jobs a thread does in a second
	worth   []int64 // by type: value of a thread fully used for a second
	memory  []int64 // by type: MB a thread
	bytes   []int64 // by type: of answers a thread and second
	pieces  []piece
	wants   []want
	groups  []group
	groupOf []int // by engine; -1: it gets nothing
	fleet   int64 // threads of all engines that get anything
}

type piece struct{ typ, zone int }

// want is a demand: whole threads, and one more that is used in part.
type want struct {
	piece, tenant   int
	threads         int64 // asked for, the part as a whole one
	full            int64 // of them fully used
	partial, asJobs int64 // worth of the one used in part; jobs asked for, millionths a second
}

// group is engines that differ by name only.
type group struct {
	like    int   // the first of them
	engines []int // in order of name
	threads int64 // each may run, by rule 4's part where cold
	memory  int64
	takes   []bool  // by piece
	cost    []int64 // by piece: a thread for a second, with crossing
	bytes   []int64 // by piece: crossing, a thread and second
}

// newModel reads a checked problem at a moment of the warm-up, in ms from now.
func newModel(p *Problem, at int64) *model {
	m := &model{p: p}
	for _, t := range p.Types {
		rate := perThread(t)
		m.rate = append(m.rate, rate)
		m.worth = append(m.worth, rate*t.Value)
		m.memory = append(m.memory, (t.MemoryMB+t.Threads-1)/t.Threads)
		m.bytes = append(m.bytes, perMillion(rate, t.AnswerBytes))
	}
	index := map[piece]int{}
	typeOf, tenantOf, zoneOf := map[string]int{}, map[string]int{}, map[string]int{}
	for i, t := range p.Types {
		typeOf[t.Name] = i
	}
	for i, t := range p.Tenants {
		tenantOf[t.Name] = i
	}
	for i, z := range p.Zones {
		zoneOf[z.Name] = i
	}
	for _, d := range p.Demand {
		jobs := d.JobsPer1000S * 1000
		if jobs == 0 {
			continue
		}
		at := piece{typeOf[d.Type], zoneOf[d.Zone]}
		i, is := index[at]
		if !is {
			i = len(m.pieces)
			index[at], m.pieces = i, append(m.pieces, at)
		}
		full := jobs / m.rate[at.typ]
		w := want{piece: i, tenant: tenantOf[d.Tenant], threads: full, full: full, asJobs: jobs}
		if rest := jobs - full*m.rate[at.typ]; rest > 0 {
			w.threads, w.partial = full+1, rest*p.Types[at.typ].Value
		}
		m.wants = append(m.wants, w)
	}
	m.groupEngines(at)
	return m
}

// perMillion is rate x each / 1,000,000 rounded up, without leaving 64 bits where checkSums let it pass.
func perMillion(rate, each int64) int64 {
	whole, rest := each/1_000_000, each%1_000_000
	return whole*rate + (rest*rate+999_999)/1_000_000
}

// allowance is an engine's threads at a moment: of a cold one its part, which grows evenly until it is warm.
func allowance(e Engine, perCore, at int64) int64 {
	threads := e.Cores * perCore
	switch {
	case e.State == Draining:
		return 0
	case e.State != Started || at >= e.WarmInMS:
		return threads
	}
	return threads * (e.PartPerMille*e.WarmInMS + (1000-e.PartPerMille)*at) / (1000 * e.WarmInMS)
}

func (m *model) groupEngines(at int64) {
	p := m.p
	order := make([]int, len(p.Engines))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return strings.Compare(p.Engines[a].Name, p.Engines[b].Name) })
	m.groupOf = make([]int, len(p.Engines))
	alike := map[string]int{}
	for _, i := range order {
		e := p.Engines[i]
		threads := allowance(e, p.perCore(), at)
		m.groupOf[i] = -1
		if threads == 0 {
			continue
		}
		m.fleet += threads
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

func (m *model) newGroup(like int, threads int64) group {
	e := m.p.Engines[like]
	g := group{like: like, threads: threads, memory: e.MemoryMB}
	for _, pc := range m.pieces {
		t := m.p.Types[pc.typ]
		g.takes = append(g.takes, t.Threads <= threads && t.MemoryMB <= e.MemoryMB)
		cost, bytes := e.Cost, int64(0)
		if z := m.p.Zones[pc.zone]; z.Name != e.Zone {
			bytes = m.bytes[pc.typ]
			cost += (bytes/1_000_000_000)*z.CrossingCostPerGB + (bytes%1_000_000_000*z.CrossingCostPerGB+999_999_999)/1_000_000_000
		}
		g.cost, g.bytes = append(g.cost, cost), append(g.bytes, bytes)
	}
	return g
}

// placed tells whether a type's placement bound lets it run on a group.
func (m *model) placed(typ int, g *group) bool {
	t, e := &m.p.Types[typ], &m.p.Engines[g.like]
	return (len(t.Kinds) == 0 || slices.Contains(t.Kinds, e.Kind)) && (len(t.Zones) == 0 || slices.Contains(t.Zones, e.Zone))
}
