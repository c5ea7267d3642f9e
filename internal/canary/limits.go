package canary

// Limits specifies by how much the new version may be worse than the old version.
type Limits struct {
	// Margins of the measures, per thousand jobs (RetriesPerMille: per thousand dispatches).
	MissedPerMille    int64 `json:"missed_per_mille"`
	ThrottledPerMille int64 `json:"throttled_per_mille"`
	CancelledPerMille int64 `json:"cancelled_per_mille"`
	RetriesPerMille   int64 `json:"further_per_mille"`
	// SlowerPerMille is the margin for jobs over the old version's median latency, and for jobs over its ninth decile.
	SlowerPerMille int64 `json:"slower_per_mille"`
	// SharedPerMille is the margin for jobs over their SLA time on both versions together, relative to the baseline.
	SharedPerMille int64 `json:"shared_per_mille"`

	// MemoryPercent is by how much the memory of a new controller may exceed the median of the old controllers.
	MemoryPercent int64 `json:"memory_percent"`
	// CPUPercent and ProbesPercent are by how much the new version's mean per job may exceed the old version's.
	CPUPercent    int64 `json:"cpu_percent"`
	ProbesPercent int64 `json:"probes_percent"`
	// MaxCrashes is the number of crashes on the new version that counts as a regression.
	MaxCrashes int64 `json:"crashes"`

	// FalseAlarmPerMillion bounds the probability that a stage of a change without effect is reported as a regression.
	FalseAlarmPerMillion int64 `json:"wrong_per_million"`
	// MaxEValuePerMille is the maximum e-value, in thousandths, at which a stage passes.
	MaxEValuePerMille int64 `json:"lean_per_mille"`
	// MinJobs is the number of jobs of each type on the new version that a stage requires.
	MinJobs int64 `json:"jobs_wanted"`
	// MinTypePerMille is the share of all jobs below which MinJobs does not apply to a type.
	MinTypePerMille int64 `json:"scarce_per_mille"`
}

// DefaultLimits returns the limits of a change that specifies none.
func DefaultLimits() Limits {
	return Limits{
		MissedPerMille:       5,
		ThrottledPerMille:    10,
		CancelledPerMille:    2,
		RetriesPerMille:      20,
		SlowerPerMille:       50,
		SharedPerMille:       50,
		MemoryPercent:        50,
		CPUPercent:           100,
		ProbesPercent:        200,
		MaxCrashes:           2,
		FalseAlarmPerMillion: 2000,
		MaxEValuePerMille:    5000,
		MinJobs:              200,
		MinTypePerMille:      20,
	}
}

// margin returns by how much the new version's rate of bad jobs in a measure may exceed the old version's.
func (l Limits) margin(m measure) float64 {
	perMille := [measureCount]int64{
		missedSLA:       l.MissedPerMille,
		throttled:       l.ThrottledPerMille,
		cancelled:       l.CancelledPerMille,
		retried:         l.RetriesPerMille,
		overMedian:      l.SlowerPerMille,
		overNinthDecile: l.SlowerPerMille,
	}
	return float64(perMille[m]) / 1000
}

// eValueThreshold returns the e-value at which the evidence counts as a regression: the inverse of the probability of a
// false alarm (Ville's inequality).
func (l Limits) eValueThreshold() float64 {
	return 1e6 / float64(max(1, l.FalseAlarmPerMillion))
}
