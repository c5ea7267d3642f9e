package solve

// Values of Answer.Status and Step.Status.
const (
	Optimal    = "optimal"        // all three parts of the objective are proved
	Feasible   = "feasible"       // fits; how far it may be from the best is in the bounds
	Infeasible = "no answer fits" // proved
	Unknown    = "unknown"        // time ended before anything was found
)

// Answer is what a method worked out. Value is the billed value of a second, in millionths; Cost that of a second, in
// millionths of the unit of money; Evenness the greatest utilization of an engine, in parts of ten thousand of the
// threads that it may run. The figures on top are those of the last step, when all engines are warm.
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

// Proved says which parts of the objective are proved to be the best.
type Proved struct {
	Value    bool `json:"value"`
	Cost     bool `json:"cost"`
	Evenness bool `json:"evenness"`
}

// Step is a plan from a moment on, until the next step begins. Engines that warm up count with what they may run at
// its beginning, which is the least in it.
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

// Threads are threads of an engine for a type's jobs of a tenant from a zone.
type Threads struct {
	Type    string `json:"type"`
	Tenant  string `json:"tenant"`
	Zone    string `json:"zone"`
	Engine  string `json:"engine"`
	Threads int64  `json:"threads"`
}

// Use is the utilization of an engine: threads granted, of those that it may run now, and of all once it is warm.
type Use struct {
	Engine  string `json:"engine"`
	Threads int64  `json:"threads"`
	Usable  int64  `json:"may"`
	Total   int64  `json:"has"`
}

// Share is a tenant's part of all granted threads.
type Share struct {
	Tenant     string `json:"tenant"`
	Threads    int64  `json:"threads"`
	PerMillion int64  `json:"per_million"`
}

// Weight is an engine's part of the threads of a type's jobs from a zone.
type Weight struct {
	Type       string `json:"type"`
	Zone       string `json:"zone"`
	Engine     string `json:"engine"`
	PerMillion int64  `json:"per_million"`
}

// Served is the threads that a type is granted of those requested.
type Served struct {
	Type      string `json:"type"`
	Requested int64  `json:"asked"`
	Granted   int64  `json:"given"`
}
