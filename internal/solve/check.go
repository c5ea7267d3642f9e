package solve

import (
	"fmt"
	"strings"
)

// Fault is a validation error of a problem.
type Fault struct {
	Path string // JSON pointer
	Text string
}

// String returns the path and the text, separated by a colon.
func (f Fault) String() string { return f.Path + ": " + f.Text }

// Limits on sizes and figures. Check also makes sure that no sum within the solver exceeds 62 bits.
const (
	MaxEngines = 2000
	MaxTypes   = 32
	MaxTenants = 200
	MaxZones   = 16
	MaxFigure  = 1_000_000_000_000
	MaxCores   = 4096

	maxSum               = 1 << 60
	maxThreadsPerCore    = 64
	maxThreadsOfJob      = 1024
	maxMemoryMB          = 1 << 30
	maxWorkMS            = 1_000_000_000
	maxWarmMS            = 86_400_000 // 24 hours
	maxCrossingCostPerGB = 1_000_000_000
	perMille             = 1000
	maxNameBytes         = 200
	bytesPerGB           = 1_000_000_000
	maxFaults            = 50 // returned by Check
	defaultPerCore       = 2
	jobRateOfOneMS       = 1_000_000_000 // per second and thread, in millionths, of jobs with a WorkMS of 1
)

// Entries of Constraints.FitsWithout: any engine, or a prefix of an engine's or a zone's name.
const (
	anyEngine     = "any engine"
	withoutEngine = "engine "
	withoutZone   = "zone "
)

// Check returns the faults of a problem, at most maxFaults of them. Solve accepts only problems without faults.
func (problem *Problem) Check() []Fault {
	c := checker{problem: problem}
	if problem.ThreadsPerCore != 0 {
		c.checkRange("/threads_per_core", problem.ThreadsPerCore, 1, maxThreadsPerCore)
	}
	c.checkCount("/engines", len(problem.Engines), MaxEngines)
	c.checkCount("/types", len(problem.Types), MaxTypes)
	c.checkCount("/tenants", len(problem.Tenants), MaxTenants)
	c.checkCount("/zones", len(problem.Zones), MaxZones)
	if len(c.faults) > 0 {
		return c.faults
	}
	c.zones = c.checkNames("/zones", len(problem.Zones), func(i int) string { return problem.Zones[i].Name })
	c.engines = c.checkNames("/engines", len(problem.Engines), func(i int) string { return problem.Engines[i].Name })
	c.types = c.checkNames("/types", len(problem.Types), func(i int) string { return problem.Types[i].Name })
	c.tenants = c.checkNames("/tenants", len(problem.Tenants), func(i int) string { return problem.Tenants[i].Name })
	c.checkZones()
	c.checkEngines()
	c.checkTypes()
	c.checkTenants()
	c.checkDemand()
	c.checkMinServed()
	c.checkConstraints()
	if len(c.faults) == 0 {
		c.checkSums()
	}
	return c.faults
}

// nameSet is the names in one list of the problem.
type nameSet map[string]bool

// checker collects the faults of a problem.
type checker struct {
	problem *Problem
	faults  []Fault
	zones   nameSet
	engines nameSet
	types   nameSet
	tenants nameSet
}

func (c *checker) fault(path, format string, values ...any) {
	if len(c.faults) < maxFaults {
		c.faults = append(c.faults, Fault{Path: path, Text: fmt.Sprintf(format, values...)})
	}
}

// checkRange checks that a figure is within a range, both ends inclusive.
func (c *checker) checkRange(path string, value, low, high int64) {
	if value < low || value > high {
		c.fault(path, "%d is not from %d to %d", value, low, high)
	}
}

// checkCount checks the length of a list.
func (c *checker) checkCount(path string, length, limit int) {
	if length < 1 || length > limit {
		c.fault(path, "%d entries, where 1 to %d are taken", length, limit)
	}
}

// checkNames checks that the names of a list are well-formed and unique, and returns them.
func (c *checker) checkNames(path string, length int, nameOf func(int) string) nameSet {
	names := nameSet{}
	for i := range length {
		name := nameOf(i)
		at := fmt.Sprintf("%s/%d/name", path, i)
		isValid := name != "" && len(name) <= maxNameBytes && !strings.ContainsAny(name, "\n\r\t")
		switch {
		case !isValid:
			c.fault(at, "%q is no name", name)
		case names[name]:
			c.fault(at, "%q stands twice", name)
		}
		names[name] = true
	}
	return names
}

// checkKnown checks that a name is in a list of the problem.
func (c *checker) checkKnown(path string, names nameSet, name string) {
	if !names[name] {
		c.fault(path, "%q is not named in the problem", name)
	}
}

func (c *checker) checkZones() {
	for i, z := range c.problem.Zones {
		at := fmt.Sprintf("/zones/%d", i)
		c.checkRange(at+"/crossing_cost_per_gb", z.CrossingCostPerGB, 0, maxCrossingCostPerGB)
		if z.CrossingBytesPerS != nil {
			c.checkRange(at+"/crossing_bytes_per_s", *z.CrossingBytesPerS, 0, MaxFigure)
		}
	}
}

func (c *checker) checkEngines() {
	for i, e := range c.problem.Engines {
		at := fmt.Sprintf("/engines/%d", i)
		c.checkKnown(at+"/zone", c.zones, e.Zone)
		c.checkRange(at+"/cores", e.Cores, 1, MaxCores)
		c.checkRange(at+"/memory_mb", e.MemoryMB, 0, maxMemoryMB)
		c.checkRange(at+"/cost", e.Cost, 0, MaxFigure)
		switch e.State {
		case "", Ready, Draining:
			if e.CapacityPerMille != 0 || e.WarmInMS != 0 {
				c.fault(at, "part_per_mille and warm_in_ms are for state %q", Started)
			}
		case Started:
			c.checkRange(at+"/part_per_mille", e.CapacityPerMille, 0, perMille)
			c.checkRange(at+"/warm_in_ms", e.WarmInMS, 0, maxWarmMS)
		default:
			c.fault(at+"/state", "%q is none of ready, draining, started", e.State)
		}
	}
}

func (c *checker) checkTypes() {
	for i, t := range c.problem.Types {
		at := fmt.Sprintf("/types/%d", i)
		c.checkRange(at+"/threads", t.Threads, 1, maxThreadsOfJob)
		c.checkRange(at+"/memory_mb", t.MemoryMB, 0, maxMemoryMB)
		c.checkRange(at+"/work_ms", t.WorkMS, 1, maxWorkMS)
		c.checkRange(at+"/value", t.Value, 0, MaxFigure)
		c.checkRange(at+"/answer_bytes", t.AnswerBytes, 0, MaxFigure)
		c.checkRange(at+"/sla_time_ms", t.SLATimeMS, 0, MaxFigure)
		if t.SLATimeMS > 0 && t.Threads > 0 && t.WorkMS/t.Threads > t.SLATimeMS {
			c.fault(at+"/sla_time_ms", "%d ms: a job takes %d ms at least", t.SLATimeMS, t.WorkMS/t.Threads)
		}
		for k, zone := range t.Zones {
			c.checkKnown(fmt.Sprintf("%s/zones/%d", at, k), c.zones, zone)
		}
	}
}

func (c *checker) checkTenants() {
	for i, t := range c.problem.Tenants {
		at := fmt.Sprintf("/tenants/%d", i)
		c.checkRange(at+"/share_per_mille", t.SharePerMille, 0, perMille)
		if t.QuotaThreads != nil {
			c.checkRange(at+"/quota_threads", *t.QuotaThreads, 0, MaxFigure)
		}
	}
}

func (c *checker) checkDemand() {
	type key struct{ typ, tenant, zone string }
	seen := map[key]bool{}
	for i, d := range c.problem.Demand {
		at := fmt.Sprintf("/demand/%d", i)
		c.checkKnown(at+"/type", c.types, d.Type)
		c.checkKnown(at+"/tenant", c.tenants, d.Tenant)
		c.checkKnown(at+"/zone", c.zones, d.Zone)
		c.checkRange(at+"/jobs_per_1000s", d.JobsPer1000S, 0, MaxFigure)
		k := key{typ: d.Type, tenant: d.Tenant, zone: d.Zone}
		if seen[k] {
			c.fault(at, "the demand of %q for %q from %q stands twice", d.Type, d.Tenant, d.Zone)
		}
		seen[k] = true
	}
}

func (c *checker) checkMinServed() {
	type key struct{ typ, tenant string }
	seen := map[key]bool{}
	for i, m := range c.problem.Constraints.MinServed {
		at := fmt.Sprintf("/must/least_served/%d", i)
		c.checkRange(at+"/per_mille", m.PerMille, 0, perMille)
		switch {
		case (m.Type == "") == (m.Tenant == ""):
			c.fault(at, "names one of type and tenant")
		case m.Type != "":
			c.checkKnown(at+"/type", c.types, m.Type)
		default:
			c.checkKnown(at+"/tenant", c.tenants, m.Tenant)
		}
		k := key{typ: m.Type, tenant: m.Tenant}
		if seen[k] {
			c.fault(at, "stands twice")
		}
		seen[k] = true
	}
}

func (c *checker) checkConstraints() {
	constraints := c.problem.Constraints
	if constraints.MaxCost != nil {
		c.checkRange("/must/greatest_cost", *constraints.MaxCost, 0, maxSum)
	}
	if constraints.MaxUsePerMille != nil {
		c.checkRange("/must/greatest_use_per_mille", *constraints.MaxUsePerMille, 0, perMille)
	}
	for i, without := range constraints.FitsWithout {
		at := fmt.Sprintf("/must/fits_without/%d", i)
		scope, name, _ := strings.Cut(without, " ")
		switch {
		case without == anyEngine:
		case scope == "engine":
			c.checkKnown(at, c.engines, name)
		case scope == "zone":
			c.checkKnown(at, c.zones, name)
		default:
			c.fault(at, "%q is none of \"any engine\", \"engine NAME\", \"zone NAME\"", without)
		}
	}
}

// threadsPerCore returns ThreadsPerCore, or its default.
func (problem *Problem) threadsPerCore() int64 {
	if problem.ThreadsPerCore == 0 {
		return defaultPerCore
	}
	return problem.ThreadsPerCore
}

// jobsPerThread returns the jobs that a thread completes per second, in millionths, rounded down, but at least 1.
func jobsPerThread(t Type) int64 {
	return max(1, jobRateOfOneMS/max(1, t.WorkMS))
}
