package canary

// measure is a criterion by which a job counts as bad.
type measure uint8

const (
	missedSLA measure = iota
	throttled
	cancelled
	retried
	overMedian
	overNinthDecile
	measureCount
)

// measureDescriptions are the names of the measures in the reasons of verdicts.
var measureDescriptions = [measureCount]string{
	missedSLA:       "missed the SLA time",
	throttled:       "throttled",
	cancelled:       "cancelled for good",
	retried:         "dispatched again",
	overMedian:      "slower than the old median",
	overNinthDecile: "slower than nine of ten old ones",
}

// proportion is the number of bad jobs (or dispatches) and of all. The numbers may be fractions; see worsenedBy.
type proportion struct {
	bad   float64
	total float64
}

// plus returns the pooled proportion.
func (p proportion) plus(other proportion) proportion {
	return proportion{bad: p.bad + other.bad, total: p.total + other.total}
}

// worsenedBy returns the proportion with a fraction of its good jobs counted as bad, as expected if it were worse by a
// margin. An e-value is the exponential of a linear form of the counts, so replacing random counts by their mean never
// raises its expectation (Jensen's inequality): the bound of logEValue holds for "worse by more than the margin" as it
// does for "worse".
func (p proportion) worsenedBy(margin float64) proportion {
	return proportion{bad: p.bad + margin*(p.total-p.bad), total: p.total}
}

// proportionOf returns a measure's proportion of bad jobs.
func (m measure) proportionOf(counts JobCounts, thresholds latencyThresholds) proportion {
	jobs := float64(counts.Jobs)
	switch m {
	case missedSLA:
		return proportion{bad: float64(counts.Jobs - counts.WithinSLA), total: jobs}
	case throttled:
		return proportion{bad: float64(counts.Throttled), total: jobs}
	case cancelled:
		return proportion{bad: float64(counts.Cancelled), total: jobs}
	case retried:
		return proportion{bad: float64(counts.Retries), total: float64(counts.Dispatches)}
	case overMedian:
		return slowerThan(counts, thresholds.median)
	default:
		return slowerThan(counts, thresholds.ninthDecile)
	}
}

// slowerThan returns the proportion of done jobs whose latency is in a bucket after the given one.
func slowerThan(counts JobCounts, bucket int) proportion {
	p := proportion{total: float64(counts.Done)}
	for i := bucket + 1; i < len(counts.LatencyBuckets); i++ {
		p.bad += float64(counts.LatencyBuckets[i])
	}
	return p
}

// isLatency reports whether the measure depends on latency thresholds.
func (m measure) isLatency() bool {
	return m == overMedian || m == overNinthDecile
}

// missedOf returns the proportion of jobs over their SLA time in counts of all groups.
func missedOf(totals map[Group]*JobCounts) proportion {
	var sum proportion
	for _, counts := range totals {
		sum = sum.plus(missedSLA.proportionOf(*counts, latencyThresholds{}))
	}
	return sum
}

// missedBySamples returns the proportion of jobs over their SLA time in all samples.
func missedBySamples(samples []Sample) proportion {
	var sum proportion
	for _, s := range samples {
		for _, counts := range s.Counts {
			sum = sum.plus(missedSLA.proportionOf(counts, latencyThresholds{}))
		}
	}
	return sum
}

// proportionOfGroup returns a measure's proportion of bad jobs of a group over all samples.
func (m measure) proportionOfGroup(samples []Sample, g Group, thresholds latencyThresholds) proportion {
	var sum proportion
	for _, s := range samples {
		sum = sum.plus(m.proportionOf(s.Counts[g], thresholds))
	}
	return sum
}
