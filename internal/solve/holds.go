package solve

import (
	"fmt"
	"strings"
)

// floor is the least threads of a type or a tenant: the other index is -1.
type floor struct {
	typ, tenant int
	threads     int64
}

// holds are the demands on an answer in numbers. -1 stands for none.
type holds struct {
	floors  []floor
	quota   []int64 // by tenant: threads
	budget  []int64 // by zone: crossing bytes a second
	outside []int64 // by type: threads outside its placement bound; 0: the bound holds
	cost    int64
	use     int64         // per mille of each engine's threads
	lost    map[int]int64 // by engine: only so many of its threads are left
	// Of what was found in an earlier stage:
	value int64 // at least
	level int64 // greatest use of any engine, in parts of ten thousand of its allowance; -1: none
}

// demand is one thing asked for, with what it takes to give way: a level that fits sooner the higher it is.
type demand struct {
	name  string
	apply func(h *holds, loss *[]map[int]int64, level int64)
	unit  string // of the level, in a sentence: "%d" is the level at which it fits
	most  int64  // the level at which it asks for nothing
	least int64  // the level at which it asks for all
}

// none are holds that ask for nothing.
func (m *model) none() holds {
	h := holds{cost: -1, use: -1, level: -1}
	for range m.p.Tenants {
		h.quota = append(h.quota, -1)
	}
	for range m.p.Zones {
		h.budget = append(h.budget, -1)
	}
	for range m.p.Types {
		h.outside = append(h.outside, -1)
	}
	return h
}

// asked is the threads asked for by a type or a tenant.
func (m *model) asked(typ, tenant int) (threads int64) {
	for _, w := range m.wants {
		if m.pieces[w.piece].typ == typ || w.tenant == tenant {
			threads += w.threads
		}
	}
	return threads
}

// demands lists all that the problem asks for, in the problem's order: what must be served first, then what binds it.
func (m *model) demands() (list []demand) {
	p := m.p
	for _, l := range p.Must.LeastServed {
		typ, tenant, name := -1, -1, "tenant "+l.Tenant
		for i, t := range p.Types {
			if l.Type != "" && t.Name == l.Type {
				typ, name = i, "type "+l.Type
			}
		}
		for i, t := range p.Tenants {
			if l.Tenant != "" && t.Name == l.Tenant {
				tenant = i
			}
		}
		all := m.asked(typ, tenant)
		list = append(list, demand{
			name: fmt.Sprintf("%s is served at least %d per mille of its %d threads", name, l.PerMille, all),
			unit: "serve it at least %d per mille", least: -l.PerMille, most: 0,
			apply: func(h *holds, _ *[]map[int]int64, level int64) {
				h.floors = append(h.floors, floor{typ, tenant, partOf(all, -level)})
			}})
	}
	if p.Must.SharesHold {
		for i, t := range p.Tenants {
			all := m.asked(-1, i)
			if t.SharePerMille == 0 || all == 0 {
				continue
			}
			list = append(list, demand{
				name: fmt.Sprintf("tenant %s has its share, %d per mille of the fleet's %d threads, or the %d it asks for", t.Name,
					t.SharePerMille, m.fleet, all),
				unit: "a share of %d per mille", least: -t.SharePerMille, most: 0,
				apply: func(h *holds, _ *[]map[int]int64, level int64) {
					h.floors = append(h.floors, floor{-1, i, min(all, m.fleet*-level/1000)})
				}})
		}
	}
	for i, t := range p.Tenants {
		if t.QuotaThreads != nil {
			list = append(list, demand{
				name: fmt.Sprintf("tenant %s keeps to its quota of %d threads", t.Name, *t.QuotaThreads),
				unit: "a quota of %d threads", least: *t.QuotaThreads, most: max(*t.QuotaThreads, m.asked(-1, i)),
				apply: func(h *holds, _ *[]map[int]int64, level int64) { h.quota[i] = level }})
		}
	}
	for i, t := range p.Types {
		if len(t.Kinds)+len(t.Zones) > 0 {
			list = append(list, demand{
				name: fmt.Sprintf("type %s runs only on its kinds %v and zones %v (empty: any)", t.Name, t.Kinds, t.Zones),
				unit: "%d of its threads may run elsewhere", least: 0, most: m.asked(i, -1),
				apply: func(h *holds, _ *[]map[int]int64, level int64) { h.outside[i] = level }})
		}
	}
	for i, z := range p.Zones {
		if z.CrossingBytesPerS != nil {
			list = append(list, demand{
				name: fmt.Sprintf("crossing for zone %s keeps to %d bytes a second", z.Name, *z.CrossingBytesPerS),
				unit: "%d bytes a second", least: *z.CrossingBytesPerS, most: max(*z.CrossingBytesPerS, m.mostBytes()),
				apply: func(h *holds, _ *[]map[int]int64, level int64) { h.budget[i] = level }})
		}
	}
	if c := p.Must.GreatestCost; c != nil {
		list = append(list, demand{name: fmt.Sprintf("a second costs at most %d", *c), unit: "a cost of %d", least: *c,
			most:  max(*c, m.mostCost()),
			apply: func(h *holds, _ *[]map[int]int64, level int64) { h.cost = level }})
	}
	if u := p.Must.GreatestUsePerMille; u != nil {
		list = append(list, demand{name: fmt.Sprintf("no engine is used over %d per mille", *u), unit: "a use of %d per mille",
			least: *u, most: 1000,
			apply: func(h *holds, _ *[]map[int]int64, level int64) { h.use = level }})
	}
	return append(list, m.losses()...)
}

// losses are the demands that all fit without an engine or a zone. Engines alike are one loss.
func (m *model) losses() (list []demand) {
	lose := func(name string, engines []int) {
		most := int64(0)
		for _, i := range engines {
			most = max(most, m.groups[m.groupOf[i]].threads)
		}
		list = append(list, demand{name: "all fits without " + name, unit: "%d threads of each such engine must be left", least: 0,
			most: most, apply: func(_ *holds, loss *[]map[int]int64, level int64) {
				left := map[int]int64{}
				for _, i := range engines {
					left[i] = level
				}
				*loss = append(*loss, left)
			}})
	}
	seen := map[string]bool{}
	once := func(name string, engines []int) {
		if !seen[name] && len(engines) > 0 {
			seen[name] = true
			lose(name, engines)
		}
	}
	for _, w := range m.p.Must.FitsWithout {
		if w == anyEngine {
			for _, g := range m.groups {
				once("engine "+m.p.Engines[g.engines[0]].Name, g.engines[:1])
			}
			continue
		}
		var engines []int
		for i, e := range m.p.Engines {
			if m.groupOf[i] >= 0 && (w == withoutOne+e.Name || strings.HasPrefix(w, withoutAll) && w[len(withoutAll):] == e.Zone) {
				engines = append(engines, i)
			}
		}
		once(w, engines)
	}
	return list
}

// partOf is a part of threads in thousandths, rounded up.
func partOf(threads, perMille int64) int64 {
	return threads/1000*perMille + (threads%1000*perMille+999)/1000
}

// mostBytes and mostCost are what the fleet could not pass.
func (m *model) mostBytes() (most int64) {
	for _, b := range m.bytes {
		most = max(most, b*m.fleet)
	}
	return most
}

func (m *model) mostCost() (most int64) {
	for i := range m.groups {
		g, each := &m.groups[i], int64(0)
		for _, c := range g.cost {
			each = max(each, c)
		}
		most += each * g.threads * int64(len(g.engines))
	}
	return most
}
