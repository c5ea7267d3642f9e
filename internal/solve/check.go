package solve

import (
	"fmt"
	"math/big"
	"strings"
)

// Fault is what is wrong with a problem, and where.
type Fault struct {
	Path string
	Text string
}

func (f Fault) String() string { return f.Path + ": " + f.Text }

// The largest figures. Within them no sum that the solver makes leaves 62 bits, which Check makes sure of.
const (
	MaxEngines, MaxTypes, MaxTenants, MaxZones = 2000, 32, 200, 16
	MaxFigure                                  = 1_000_000_000_000
	MaxCores                                   = 4096
	maxSum                                     = 1 << 60
	maxFaults                                  = 50
)

// Check names all faults, some at most. A problem without is safe to solve.
func (problem *Problem) Check() (faults []Fault) {
	bad := func(path, text string, v ...any) {
		if len(faults) < maxFaults {
			faults = append(faults, Fault{path, fmt.Sprintf(text, v...)})
		}
	}
	within := func(path string, v, least, most int64) {
		if v < least || v > most {
			bad(path, "%d is not from %d to %d", v, least, most)
		}
	}
	count := func(path string, n, most int) {
		if n < 1 || n > most {
			bad(path, "%d entries, where 1 to %d are taken", n, most)
		}
	}
	names := func(path string, n int, at func(int) string) map[string]bool {
		seen := map[string]bool{}
		for i := range n {
			name := at(i)
			switch {
			case name == "" || len(name) > 200 || strings.ContainsAny(name, "\n\r\t"):
				bad(fmt.Sprintf("%s/%d/name", path, i), "%q is no name", name)
			case seen[name]:
				bad(fmt.Sprintf("%s/%d/name", path, i), "%q stands twice", name)
			}
			seen[name] = true
		}
		return seen
	}
	if problem.ThreadsPerCore != 0 {
		within("/threads_per_core", problem.ThreadsPerCore, 1, 64)
	}
	count("/engines", len(problem.Engines), MaxEngines)
	count("/types", len(problem.Types), MaxTypes)
	count("/tenants", len(problem.Tenants), MaxTenants)
	count("/zones", len(problem.Zones), MaxZones)
	if len(faults) > 0 {
		return faults
	}
	zones := names("/zones", len(problem.Zones), func(i int) string { return problem.Zones[i].Name })
	engines := names("/engines", len(problem.Engines), func(i int) string { return problem.Engines[i].Name })
	types := names("/types", len(problem.Types), func(i int) string { return problem.Types[i].Name })
	tenants := names("/tenants", len(problem.Tenants), func(i int) string { return problem.Tenants[i].Name })
	known := func(path string, list map[string]bool, name string) {
		if !list[name] {
			bad(path, "%q is not named in the problem", name)
		}
	}
	for i, z := range problem.Zones {
		at := fmt.Sprintf("/zones/%d", i)
		within(at+"/crossing_cost_per_gb", z.CrossingCostPerGB, 0, 1_000_000_000)
		if z.CrossingBytesPerS != nil {
			within(at+"/crossing_bytes_per_s", *z.CrossingBytesPerS, 0, MaxFigure)
		}
	}
	for i, e := range problem.Engines {
		at := fmt.Sprintf("/engines/%d", i)
		known(at+"/zone", zones, e.Zone)
		within(at+"/cores", e.Cores, 1, MaxCores)
		within(at+"/memory_mb", e.MemoryMB, 0, 1<<30)
		within(at+"/cost", e.Cost, 0, MaxFigure)
		switch e.State {
		case "", Ready, Draining:
			if e.CapacityPerMille != 0 || e.WarmInMS != 0 {
				bad(at, "part_per_mille and warm_in_ms are for state %q", Started)
			}
		case Started:
			within(at+"/part_per_mille", e.CapacityPerMille, 0, 1000)
			within(at+"/warm_in_ms", e.WarmInMS, 0, 86_400_000)
		default:
			bad(at+"/state", "%q is none of ready, draining, started", e.State)
		}
	}
	for i, t := range problem.Types {
		at := fmt.Sprintf("/types/%d", i)
		within(at+"/threads", t.Threads, 1, 1024)
		within(at+"/memory_mb", t.MemoryMB, 0, 1<<30)
		within(at+"/work_ms", t.WorkMS, 1, 1_000_000_000)
		within(at+"/value", t.Value, 0, MaxFigure)
		within(at+"/answer_bytes", t.AnswerBytes, 0, MaxFigure)
		within(at+"/sla_time_ms", t.SLATimeMS, 0, MaxFigure)
		if t.SLATimeMS > 0 && t.Threads > 0 && t.WorkMS/t.Threads > t.SLATimeMS {
			bad(at+"/sla_time_ms", "%d ms: a job takes %d ms at least", t.SLATimeMS, t.WorkMS/t.Threads)
		}
		for k, z := range t.Zones {
			known(fmt.Sprintf("%s/zones/%d", at, k), zones, z)
		}
	}
	for i, t := range problem.Tenants {
		at := fmt.Sprintf("/tenants/%d", i)
		within(at+"/share_per_mille", t.SharePerMille, 0, 1000)
		if t.QuotaThreads != nil {
			within(at+"/quota_threads", *t.QuotaThreads, 0, MaxFigure)
		}
	}
	asked := map[[3]string]bool{}
	for i, d := range problem.Demand {
		at := fmt.Sprintf("/demand/%d", i)
		known(at+"/type", types, d.Type)
		known(at+"/tenant", tenants, d.Tenant)
		known(at+"/zone", zones, d.Zone)
		within(at+"/jobs_per_1000s", d.JobsPer1000S, 0, MaxFigure)
		key := [3]string{d.Type, d.Tenant, d.Zone}
		if asked[key] {
			bad(at, "the demand of %q for %q from %q stands twice", d.Type, d.Tenant, d.Zone)
		}
		asked[key] = true
	}
	problem.checkMust(bad, within, func(path, list, name string) {
		known(path, map[string]map[string]bool{"type": types, "tenant": tenants, "zone": zones, "engine": engines}[list], name)
	})
	if len(faults) == 0 {
		problem.checkSums(bad)
	}
	return faults
}

func (problem *Problem) checkMust(bad func(path, text string, v ...any), within func(path string, v, least, most int64),
	known func(path, list, name string)) {
	m := problem.Constraints
	twice := map[string]bool{}
	for i, l := range m.MinServed {
		at := fmt.Sprintf("/must/least_served/%d", i)
		within(at+"/per_mille", l.PerMille, 0, 1000)
		if (l.Type == "") == (l.Tenant == "") {
			bad(at, "names one of type and tenant")
		} else if l.Type != "" {
			known(at+"/type", "type", l.Type)
		} else {
			known(at+"/tenant", "tenant", l.Tenant)
		}
		if key := l.Type + "\n" + l.Tenant; twice[key] {
			bad(at, "stands twice")
		} else {
			twice[key] = true
		}
	}
	if m.MaxCost != nil {
		within("/must/greatest_cost", *m.MaxCost, 0, maxSum)
	}
	if m.MaxUsePerMille != nil {
		within("/must/greatest_use_per_mille", *m.MaxUsePerMille, 0, 1000)
	}
	for i, w := range m.FitsWithout {
		at := fmt.Sprintf("/must/fits_without/%d", i)
		what, name, _ := strings.Cut(w, " ")
		switch {
		case w == anyEngine:
		case what == "engine" || what == "zone":
			known(at, what, name)
		default:
			bad(at, "%q is none of \"any engine\", \"engine NAME\", \"zone NAME\"", w)
		}
	}
}

// checkSums makes sure that value, cost and crossing bytes of the whole fleet at its fullest stay within mostSum.
func (problem *Problem) checkSums(bad func(path, text string, v ...any)) {
	threads, cost := new(big.Int), new(big.Int)
	for _, e := range problem.Engines {
		n := new(big.Int).Mul(big.NewInt(e.Cores), big.NewInt(problem.threadsPerCore()))
		threads.Add(threads, n)
		cost.Add(cost, n.Mul(n, big.NewInt(e.Cost)))
	}
	rise := int64(0)
	for _, z := range problem.Zones {
		rise = max(rise, z.CrossingCostPerGB)
	}
	most := big.NewInt(maxSum)
	for i, t := range problem.Types {
		at := fmt.Sprintf("/types/%d", i)
		rate := big.NewInt(jobsPerThread(t))
		value := new(big.Int).Mul(rate, big.NewInt(t.Value))
		if value.Mul(value, threads).Cmp(most) > 0 {
			bad(at+"/value", "%d a job is too large: the fleet's value a second would pass 2^60 millionths", t.Value)
		}
		bytes := new(big.Int).Mul(rate, big.NewInt(t.AnswerBytes))
		bytes.Add(bytes.Div(bytes, big.NewInt(1_000_000)), big.NewInt(1))
		all := new(big.Int).Mul(bytes, threads)
		if all.Cmp(most) > 0 {
			bad(at+"/answer_bytes", "%d a job is too large: the fleet's bytes a second would pass 2^60", t.AnswerBytes)
		}
		all.Div(all.Mul(all, big.NewInt(rise)), big.NewInt(1_000_000_000))
		if all.Add(all, cost).Cmp(most) > 0 {
			bad(at, "costs are too large: the fleet's cost a second would pass 2^60")
		}
	}
	for i, d := range problem.Demand {
		for _, t := range problem.Types {
			if t.Name == d.Type && new(big.Int).Mul(big.NewInt(d.JobsPer1000S*1000), big.NewInt(max(1, t.Value))).Cmp(most) > 0 {
				bad(fmt.Sprintf("/demand/%d/jobs_per_1000s", i), "%d is too large: its value a second would pass 2^60 millionths", d.JobsPer1000S)
			}
		}
	}
}

func (problem *Problem) threadsPerCore() int64 {
	if problem.ThreadsPerCore == 0 {
		return 2
	}
	return problem.ThreadsPerCore
}

// perThread is how many jobs a thread does, in millionths a second, rounded down but never none.
func jobsPerThread(t Type) int64 { return max(1, 1_000_000_000/max(1, t.WorkMS)) }

// The words of must.fits_without.
const (
	anyEngine     = "any engine"
	withoutEngine = "engine "
	withoutZone   = "zone "
)
