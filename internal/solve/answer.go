package solve

// Values of Answer.Status and Step.Status.
const (
	Optimal    = "optimal"        // all three objectives are proved optimal
	Feasible   = "feasible"       // satisfies all constraints; the bounds limit the distance from the optimum
	Infeasible = "no answer fits" // proved
	Unknown    = "unknown"        // time ran out before a plan or a proof was found
)

// Answer is the result of a method. Value is the billed value per second, in millionths; Cost the cost per second, in
// millionths of the currency unit; MaxUtilization the highest utilization of an engine, in ten-thousandths of its
// usable threads. The top-level figures are those of the last step, when all engines are warm.
type Answer struct {
	Method              string     `json:"method"`
	Status              string     `json:"status"`
	Value               int64      `json:"value"`
	Cost                int64      `json:"cost"`
	MaxUtilization      int64      `json:"evenness"`
	Bound               int64      `json:"bound"` // upper bound on the value of any plan
	Gap                 float64    `json:"gap"`   // (bound - value) / bound
	CostBound           int64      `json:"cost_bound"`
	MaxUtilizationBound int64      `json:"evenness_bound"`
	Proved              Proved     `json:"proved"`
	Steps               []Step     `json:"steps,omitempty"` // in order of their start times
	Binding             []Binding  `json:"binding,omitempty"`
	Conflicts           []Conflict `json:"conflicts,omitempty"`
}

// Proved says which objectives are proved optimal.
type Proved struct {
	Value          bool `json:"value"`
	Cost           bool `json:"cost"`
	MaxUtilization bool `json:"evenness"`
}

// Step is the plan from FromMS until the next step begins. Engines that warm up count with their capacity at the
// beginning of the step, which is the lowest during it. Value, Cost and MaxUtilization have the units of those of
// Answer.
type Step struct {
	FromMS         int64        `json:"from_ms"`
	Status         string       `json:"status"`
	Value          int64        `json:"value"`
	Cost           int64        `json:"cost"`
	MaxUtilization int64        `json:"evenness"`
	Bound          int64        `json:"bound"`
	Threads        []Assignment `json:"threads"`
	Use            []EngineUse  `json:"use"`
	Shares         []Share      `json:"shares"`
	Weights        []Weight     `json:"weights"`
	Served         []Served     `json:"served"`
}

// Assignment is the number of an engine's threads assigned to a type's jobs for a tenant from a zone.
type Assignment struct {
	Type    string `json:"type"`
	Tenant  string `json:"tenant"`
	Zone    string `json:"zone"`
	Engine  string `json:"engine"`
	Threads int64  `json:"threads"`
}

// EngineUse is the utilization of an engine: the threads in use, the threads usable now, and all threads once it is
// warm.
type EngineUse struct {
	Engine  string `json:"engine"`
	Threads int64  `json:"threads"`
	Usable  int64  `json:"may"`
	Total   int64  `json:"has"`
}

// Share is a tenant's fraction of all granted threads.
type Share struct {
	Tenant     string `json:"tenant"`
	Threads    int64  `json:"threads"`
	PerMillion int64  `json:"per_million"`
}

// Weight is an engine's fraction of the threads granted to a type's jobs from a zone.
type Weight struct {
	Type       string `json:"type"`
	Zone       string `json:"zone"`
	Engine     string `json:"engine"`
	PerMillion int64  `json:"per_million"`
}

// Served is the threads requested by and granted to a type.
type Served struct {
	Type      string `json:"type"`
	Requested int64  `json:"asked"`
	Granted   int64  `json:"given"`
}
