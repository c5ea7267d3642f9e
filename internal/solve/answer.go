package solve

import "slices"

// The states of an answer.
const (
	Optimal  = "optimal"        // all three parts of the objective are proved
	Feasible = "feasible"       // fits; how far it may be from the best is in the bounds
	NoFit    = "no answer fits" // proved
	Unknown  = "unknown"        // time ended before anything was found
)

// Answer is what a method worked out. Value is billed value a second, in millionths; cost is of a second; evenness the
// greatest use of an engine, in parts of ten thousand of the threads it may run. The figures on top are those of the
// last step, when all are warm.
type Answer struct {
	Method        string     `json:"method"`
	Status        string     `json:"status"`
	Value         int64      `json:"value"`
	Cost          int64      `json:"cost"`
	Evenness      int64      `json:"evenness"`
	Bound         int64      `json:"bound"` // no plan's value is greater
	Gap           float64    `json:"gap"`   // (bound - value) / bound
	CostBound     int64      `json:"cost_bound"`
	EvennessBound int64      `json:"evenness_bound"`
	Proved        Proved     `json:"proved"`
	Steps         []Step     `json:"steps,omitempty"` // by the time from now at which they begin
	Binding       []Binding  `json:"binding,omitempty"`
	Conflicts     []Conflict `json:"conflicts,omitempty"`
}

// Proved tells which parts of the objective are.
type Proved struct {
	Value    bool `json:"value"`
	Cost     bool `json:"cost"`
	Evenness bool `json:"evenness"`
}

// Step is a plan from a moment on, until the next begins. While engines warm up each step counts with what they may
// bear at its beginning, which is the least in it.
type Step struct {
	FromMS   int64     `json:"from_ms"`
	Status   string    `json:"status"`
	Value    int64     `json:"value"`
	Cost     int64     `json:"cost"`
	Evenness int64     `json:"evenness"`
	Bound    int64     `json:"bound"`
	Threads  []Threads `json:"threads"`
	Use      []Use     `json:"use"`
	Shares   []Share   `json:"shares"`
	Weights  []Weight  `json:"weights"`
	Served   []Served  `json:"served"`
}

// Threads are whole threads of an engine for a type's jobs of a tenant from a zone.
type Threads struct {
	Type    string `json:"type"`
	Tenant  string `json:"tenant"`
	Zone    string `json:"zone"`
	Engine  string `json:"engine"`
	Threads int64  `json:"threads"`
}

// Use is how full an engine is: threads given of those it may run, and of all it has once warm.
type Use struct {
	Engine  string `json:"engine"`
	Threads int64  `json:"threads"`
	May     int64  `json:"may"`
	Has     int64  `json:"has"`
}

// Share is a tenant's part of all threads given, in millionths.
type Share struct {
	Tenant  string `json:"tenant"`
	Threads int64  `json:"threads"`
	PerMio  int64  `json:"per_million"`
}

// Weight is how much of a type's threads from a zone an engine is given, in millionths.
type Weight struct {
	Type   string `json:"type"`
	Zone   string `json:"zone"`
	Engine string `json:"engine"`
	PerMio int64  `json:"per_million"`
}

// Served is threads given of those asked for.
type Served struct {
	Type  string `json:"type"`
	Asked int64  `json:"asked"`
	Given int64  `json:"given"`
}

// step puts an outcome into names. Within a piece, tenants take engines in the order of wants and of engines' names:
// the same at every run.
func (m *model) step(out outcome, at int64) Step {
	p := m.p
	s := Step{FromMS: at, Status: Feasible, Value: out.got.value, Cost: out.got.cost, Evenness: out.got.level, Bound: out.bound.value}
	if out.proved == [3]bool{true, true, true} {
		s.Status = Optimal
	}
	order := make([]int, 0, len(p.Engines))
	for _, g := range m.groups {
		order = append(order, g.engines...)
	}
	slices.SortFunc(order, func(a, b int) int {
		if p.Engines[a].Name < p.Engines[b].Name {
			return -1
		}
		return 1
	})
	left := make([][]int64, len(out.sol.on))
	for i, on := range out.sol.on {
		left[i] = slices.Clone(on)
	}
	all, byTenant, byType := int64(0), make([]int64, len(p.Tenants)), make([]int64, len(p.Types))
	for i, w := range m.wants {
		n, pc := out.sol.given[i], m.pieces[w.piece]
		all, byTenant[w.tenant], byType[pc.typ] = all+n, byTenant[w.tenant]+n, byType[pc.typ]+n
		for _, e := range order {
			if left[e] == nil || n == 0 {
				continue
			}
			if take := min(n, left[e][w.piece]); take > 0 {
				n -= take
				left[e][w.piece] -= take
				s.Threads = append(s.Threads, Threads{p.Types[pc.typ].Name, p.Tenants[w.tenant].Name, p.Zones[pc.zone].Name,
					p.Engines[e].Name, take})
			}
		}
	}
	for _, e := range order {
		use := Use{Engine: p.Engines[e].Name, May: m.groups[m.groupOf[e]].threads, Has: p.Engines[e].Cores * p.perCore()}
		for _, n := range out.sol.on[e] {
			use.Threads += n
		}
		s.Use = append(s.Use, use)
	}
	for i, t := range p.Tenants {
		s.Shares = append(s.Shares, Share{t.Name, byTenant[i], byTenant[i] * 1_000_000 / max(1, all)})
	}
	for i, t := range p.Types {
		s.Served = append(s.Served, Served{t.Name, m.asked(i, -1), byType[i]})
	}
	for k, pc := range m.pieces {
		given := int64(0)
		for i, w := range m.wants {
			if w.piece == k {
				given += out.sol.given[i]
			}
		}
		for _, e := range order {
			if on := out.sol.on[e]; on != nil && on[k] > 0 {
				s.Weights = append(s.Weights, Weight{p.Types[pc.typ].Name, p.Zones[pc.zone].Name, p.Engines[e].Name, on[k] * 1_000_000 / given})
			}
		}
	}
	return s
}

// moments are when a step begins: now, and while engines warm up four times for each, until all are warm.
func (p *Problem) moments() []int64 {
	at := []int64{0}
	for _, e := range p.Engines {
		if e.State == Started {
			for k := range int64(4) {
				at = append(at, e.WarmInMS*(k+1)/4)
			}
		}
	}
	slices.Sort(at)
	if at = slices.Compact(at); len(at) > mostSteps {
		thin := at[:1:1]
		for k := 1; k < mostSteps; k++ {
			thin = append(thin, at[k*(len(at)-1)/(mostSteps-1)])
		}
		at = slices.Compact(thin)
	}
	return at
}

const mostSteps = 9
