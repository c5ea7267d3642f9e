package canary

// Limits say by how much the new version may be worse than the old one.
type Limits struct {
	// Margins of the measures, in thousandths of the jobs (RetriesPerMille: of the dispatches).
	MissedPerMille    int64 `json:"missed_per_mille"`
	ThrottledPerMille int64 `json:"throttled_per_mille"`
	CancelledPerMille int64 `json:"cancelled_per_mille"`
	RetriesPerMille   int64 `json:"further_per_mille"`
	// SlowerPerMille is the margin of jobs over the old version's median latency, and of those over its ninth decile.
	SlowerPerMille int64 `json:"slower_per_mille"`
	// SharedPerMille is the margin of jobs over their SLA time on both versions together, against before the stage.
	SharedPerMille int64 `json:"shared_per_mille"`

	// MemoryPercent is by how much a new controller may exceed the old controllers' median.
	MemoryPercent int64 `json:"memory_percent"`
	// CPUPercent and ProbesPercent are, per job, by how much the new version may exceed the old one's mean.
	CPUPercent    int64 `json:"cpu_percent"`
	ProbesPercent int64 `json:"probes_percent"`
	// MaxCrashes is the number of crashes on the new version that is a regression.
	MaxCrashes int64 `json:"crashes"`

	// FalseAlarmPerMillion bounds the probability that a stage of a change without effect is called a regression.
	FalseAlarmPerMillion int64 `json:"wrong_per_million"`
	// MaxEValuePerMille is the e-value, in thousandths, above which a stage does not pass.
	MaxEValuePerMille int64 `json:"lean_per_mille"`
	// MinJobs is the number of jobs of each type on the new version that a stage waits for.
	MinJobs int64 `json:"jobs_wanted"`
	// MinTypePerMille is the part of all jobs below which a type is not waited for.
	MinTypePerMille int64 `json:"scarce_per_mille"`
}

// DefaultLimits are the limits of a change that states none.
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

// margin returns by how much the rate of bad jobs in a measure may be greater.
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

// eValueThreshold returns the e-value from which on the evidence is a regression: the inverse of the probability of a
// false alarm (Ville's inequality).
func (l Limits) eValueThreshold() float64 {
	return 1e6 / float64(max(1, l.FalseAlarmPerMillion))
}
