// Package solve works out ahead how a fleet's threads are best given to reservation types, tenants and zones: whole
// threads on each engine, with a proof of how good the answer is, or with the demands that cannot be met together.
//
// The objective is the billed value, then the cost, then the greatest utilization of an engine. The solver is integer
// programming with column generation (master.go, generation.go) and a diving heuristic (diving.go);
// docs/design/solve.md says how and why. The package has no I/O and no clock; all figures are whole numbers. Its
// functions may be called concurrently for different problems.
package solve

// Problem is a fleet, the demand on it and its constraints. The JSON schema is deploy/problem.schema.json.
type Problem struct {
	ThreadsPerCore int64       `json:"threads_per_core,omitempty"` // 0: 2, as the decision module counts
	Engines        []Engine    `json:"engines"`
	Types          []Type      `json:"types"`
	Tenants        []Tenant    `json:"tenants"`
	Zones          []Zone      `json:"zones"`
	Demand         []Demand    `json:"demand"`
	Constraints    Constraints `json:"must"`
}

// Values of Engine.State. A draining engine gets nothing, a started one is still warming up.
const (
	Ready    = "ready"
	Draining = "draining"
	Started  = "started"
)

// Engine is one of the list of engines.
type Engine struct {
	Name     string `json:"name"`
	Kind     string `json:"kind"`
	Zone     string `json:"zone"`
	Cores    int64  `json:"cores"`
	MemoryMB int64  `json:"memory_mb"`
	State    string `json:"state,omitempty"` // absent: ready
	// CapacityPerMille is the part of a started engine's capacity that rule 4 lets it have now, all controllers
	// together. It grows evenly until WarmInMS, when the engine has all.
	CapacityPerMille int64 `json:"part_per_mille,omitempty"`
	WarmInMS         int64 `json:"warm_in_ms,omitempty"`
	Cost             int64 `json:"cost,omitempty"` // of a thread-second, in millionths of the unit of money
}

// Type is a reservation type. Kinds and Zones are its placement bound: the only ones of engines; absent: any.
type Type struct {
	Name        string   `json:"name"`
	Threads     int64    `json:"threads"` // of a job
	MemoryMB    int64    `json:"memory_mb"`
	WorkMS      int64    `json:"work_ms"` // thread time of a job
	SLATimeMS   int64    `json:"sla_time_ms,omitempty"`
	Value       int64    `json:"value"` // billed for a job done
	Kinds       []string `json:"kinds,omitempty"`
	Zones       []string `json:"zones,omitempty"`
	AnswerBytes int64    `json:"answer_bytes,omitempty"`
}

// Tenant is who jobs are for.
type Tenant struct {
	Name string `json:"name"`
	// SharePerMille is the part of the fleet's threads that the tenant may claim if Constraints.SharesHold.
	SharePerMille int64  `json:"share_per_mille,omitempty"`
	QuotaThreads  *int64 `json:"quota_threads,omitempty"` // at most; absent: any
}

// Zone is where clients and engines are. A job crosses if the two differ; the bytes of its answer count for the
// clients' zone.
type Zone struct {
	Name              string `json:"name"`
	CrossingCostPerGB int64  `json:"crossing_cost_per_gb,omitempty"` // in millionths of the unit of money
	CrossingBytesPerS *int64 `json:"crossing_bytes_per_s,omitempty"` // budget; absent: any
}

// Demand is the jobs of a type for a tenant from clients in a zone.
type Demand struct {
	Type         string `json:"type"`
	Tenant       string `json:"tenant"`
	Zone         string `json:"zone"`
	JobsPer1000S int64  `json:"jobs_per_1000s"`
}

// Constraints are what an answer must keep.
type Constraints struct {
	MinServed      []MinServed `json:"least_served,omitempty"`
	SharesHold     bool        `json:"shares_hold,omitempty"`
	MaxCost        *int64      `json:"greatest_cost,omitempty"`          // of a second
	MaxUsePerMille *int64      `json:"greatest_use_per_mille,omitempty"` // of each engine's threads
	FitsWithout    []string    `json:"fits_without,omitempty"`           // "any engine", "engine NAME", "zone NAME"
}

// MinServed is the least part of the requested threads that a type, or a tenant, is granted: one of the two is named.
type MinServed struct {
	Type     string `json:"type,omitempty"`
	Tenant   string `json:"tenant,omitempty"`
	PerMille int64  `json:"per_mille"`
}
