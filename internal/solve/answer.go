package solve

import "slices"

// The states of an answer.
const (
	Optimal    = "optimal"        // all three parts of the objective are proved
	Feasible   = "feasible"       // fits; how far it may be from the best is in the bounds
	Infeasible = "no answer fits" // proved
	Unknown    = "unknown"        // time ended before anything was found
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
	Usable  int64  `json:"may"`
	Total   int64  `json:"has"`
}

// Share is a tenant's part of all threads given, in millionths.
type Share struct {
	Tenant     string `json:"tenant"`
	Threads    int64  `json:"threads"`
	PerMillion int64  `json:"per_million"`
}

// Weight is how much of a type's threads from a zone an engine is given, in millionths.
type Weight struct {
	Type       string `json:"type"`
	Zone       string `json:"zone"`
	Engine     string `json:"engine"`
	PerMillion int64  `json:"per_million"`
}

// Served is threads given of those asked for.
type Served struct {
	Type      string `json:"type"`
	Requested int64  `json:"asked"`
	Granted   int64  `json:"given"`
}

// step puts an outcome into names. Within a piece, tenants take engines in the order of wants and of engines' names:
// the same at every run.
func (m *model) step(out outcome, at int64) Step {
	problem := m.problem
	s := Step{FromMS: at, Status: Feasible, Value: out.measure.value, Cost: out.measure.cost, Evenness: out.measure.utilization, Bound: out.bound.value}
	if out.proved == [3]bool{true, true, true} {
		s.Status = Optimal
	}
	order := make([]int, 0, len(problem.Engines))
	for _, g := range m.groups {
		order = append(order, g.engines...)
	}
	slices.SortFunc(order, func(a, b int) int {
		if problem.Engines[a].Name < problem.Engines[b].Name {
			return -1
		}
		return 1
	})
	left := make([][]int64, len(out.solution.threads))
	for i, on := range out.solution.threads {
		left[i] = slices.Clone(on)
	}
	all, byTenant, byType := int64(0), make([]int64, len(problem.Tenants)), make([]int64, len(problem.Types))
	for i, w := range m.workloads {
		n, class := out.solution.granted[i], m.classes[w.class]
		all, byTenant[w.tenant], byType[class.typ] = all+n, byTenant[w.tenant]+n, byType[class.typ]+n
		for _, e := range order {
			if left[e] == nil || n == 0 {
				continue
			}
			if take := min(n, left[e][w.class]); take > 0 {
				n -= take
				left[e][w.class] -= take
				s.Threads = append(s.Threads, Threads{problem.Types[class.typ].Name, problem.Tenants[w.tenant].Name, problem.Zones[class.zone].Name,
					problem.Engines[e].Name, take})
			}
		}
	}
	for _, e := range order {
		use := Use{Engine: problem.Engines[e].Name, Usable: m.groups[m.groupOf[e]].threads, Total: problem.Engines[e].Cores * problem.threadsPerCore()}
		for _, n := range out.solution.threads[e] {
			use.Threads += n
		}
		s.Use = append(s.Use, use)
	}
	for i, t := range problem.Tenants {
		s.Shares = append(s.Shares, Share{t.Name, byTenant[i], byTenant[i] * 1_000_000 / max(1, all)})
	}
	for i, t := range problem.Types {
		s.Served = append(s.Served, Served{t.Name, m.requestedThreads(i, -1), byType[i]})
	}
	for k, class := range m.classes {
		given := int64(0)
		for i, w := range m.workloads {
			if w.class == k {
				given += out.solution.granted[i]
			}
		}
		for _, e := range order {
			if on := out.solution.threads[e]; on != nil && on[k] > 0 {
				s.Weights = append(s.Weights, Weight{problem.Types[class.typ].Name, problem.Zones[class.zone].Name, problem.Engines[e].Name, on[k] * 1_000_000 / given})
			}
		}
	}
	return s
}

// moments are when a step begins: now, and while engines warm up four times for each, until all are warm.
func (problem *Problem) moments() []int64 {
	at := []int64{0}
	for _, e := range problem.Engines {
		if e.State == Started {
			for k := range int64(4) {
				at = append(at, e.WarmInMS*(k+1)/4)
			}
		}
	}
	slices.Sort(at)
	if at = slices.Compact(at); len(at) > maxSteps {
		thin := at[:1:1]
		for k := 1; k < maxSteps; k++ {
			thin = append(thin, at[k*(len(at)-1)/(maxSteps-1)])
		}
		at = slices.Compact(thin)
	}
	return at
}

const maxSteps = 9
