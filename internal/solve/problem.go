// Package solve computes a plan for a fleet: how many whole threads of each engine serve each job type, tenant
// and zone. An answer comes with bounds that prove its quality, or with the requirements that cannot be met together.
//
// The objectives are ordered lexicographically: the greatest billed value, then the least cost, then the lowest maximum
// utilization of an engine. The solver uses integer programming with column generation (master.go, generation.go) and a
// diving heuristic (diving.go); docs/design/solve.md describes the design. The package uses no I/O and no clock, and
// all figures are integers. Its functions may be called concurrently for different problems.
package solve

// Problem is a fleet, the demand on it and the constraints. Its JSON schema is deploy/problem.schema.json.
type Problem struct {
	ThreadsPerCore int64       `json:"threads_per_core,omitempty"` // 0: 2, as in the decision module
	Engines        []Engine    `json:"engines"`
	Types          []Type      `json:"types"`
	Tenants        []Tenant    `json:"tenants"`
	Zones          []Zone      `json:"zones"`
	Demand         []Demand    `json:"demand"`
	Constraints    Constraints `json:"must"`
}

// Values of Engine.State. A draining engine is not assigned any threads; a started one is still warming up.
const (
	Ready    = "ready"
	Draining = "draining"
	Started  = "started"
)

// Engine is an entry of the engine list.
type Engine struct {
	Name     string `json:"name"`
	Kind     string `json:"kind"`
	Zone     string `json:"zone"`
	Cores    int64  `json:"cores"`
	MemoryMB int64  `json:"memory_mb"`
	State    string `json:"state,omitempty"` // absent: ready
	// CapacityPerMille is the fraction of a started engine's capacity that rule 4 grants it now, over all controllers.
	// It grows linearly up to the full capacity at WarmInMS.
	CapacityPerMille int64 `json:"part_per_mille,omitempty"`
	WarmInMS         int64 `json:"warm_in_ms,omitempty"`
	Cost             int64 `json:"cost,omitempty"` // per thread-second, in millionths of the currency unit
}

// Type is a job type. Kinds and Zones are its placement bound: only engines of these kinds and in these zones
// may run it; absent: any.
type Type struct {
	Name        string   `json:"name"`
	Threads     int64    `json:"threads"`   // per job
	MemoryMB    int64    `json:"memory_mb"` // per job
	WorkMS      int64    `json:"work_ms"`   // thread time per job
	SLATimeMS   int64    `json:"sla_time_ms,omitempty"`
	Value       int64    `json:"value"` // billed per completed job
	Kinds       []string `json:"kinds,omitempty"`
	Zones       []string `json:"zones,omitempty"`
	AnswerBytes int64    `json:"answer_bytes,omitempty"` // per job
}

// Tenant is a party that jobs run for.
type Tenant struct {
	Name string `json:"name"`
	// SharePerMille is the fraction of the fleet's threads that the tenant is guaranteed, as far as it requests them,
	// if Constraints.EnforceShares.
	SharePerMille int64  `json:"share_per_mille,omitempty"`
	QuotaThreads  *int64 `json:"quota_threads,omitempty"` // upper limit; absent: none
}

// Zone is a location of clients and engines. A job crosses zones if its client and its engine are in different ones;
// the bytes of its answer count for the client's zone.
type Zone struct {
	Name              string `json:"name"`
	CrossingCostPerGB int64  `json:"crossing_cost_per_gb,omitempty"` // in millionths of the currency unit
	CrossingBytesPerS *int64 `json:"crossing_bytes_per_s,omitempty"` // upper limit; absent: none
}

// Demand is the request rate of a type for a tenant from clients in a zone.
type Demand struct {
	Type         string `json:"type"`
	Tenant       string `json:"tenant"`
	Zone         string `json:"zone"`
	JobsPer1000S int64  `json:"jobs_per_1000s"`
}

// Constraints are the conditions that a plan must satisfy.
type Constraints struct {
	MinServed      []MinServed `json:"least_served,omitempty"`
	EnforceShares  bool        `json:"shares_hold,omitempty"`
	MaxCost        *int64      `json:"greatest_cost,omitempty"`          // per second, in millionths of the currency unit
	MaxUsePerMille *int64      `json:"greatest_use_per_mille,omitempty"` // of the usable threads of each engine
	FitsWithout    []string    `json:"fits_without,omitempty"`           // "any engine", "engine NAME", "zone NAME"
}

// MinServed is the minimum fraction of the requested threads that a type or a tenant is granted. Exactly one of the two
// is set.
type MinServed struct {
	Type     string `json:"type,omitempty"`
	Tenant   string `json:"tenant,omitempty"`
	PerMille int64  `json:"per_mille"`
}
