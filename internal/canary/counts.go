package canary

// JobCounts counts the jobs of a group that a controller answered in a period.
type JobCounts struct {
	Jobs       uint64 `json:"jobs"`       // that received their final answer
	WithinSLA  uint64 `json:"within"`     // of Jobs: done within their SLA time
	Done       uint64 `json:"done"`       // of Jobs
	Throttled  uint64 `json:"throttled"`  // of Jobs
	Cancelled  uint64 `json:"cancelled"`  // of Jobs: cancelled permanently
	Dispatches uint64 `json:"dispatches"` // that ended
	Retries    uint64 `json:"further"`    // of Dispatches: all but the first of each job
	// LatencyBuckets holds the number of done jobs by bucket of their latency; see package jobstats.
	LatencyBuckets []uint64 `json:"took,omitempty"`
}

// Minus returns the increase since earlier counts of the same controller. No count is negative.
func (c JobCounts) Minus(earlier JobCounts) JobCounts {
	difference := JobCounts{
		Jobs:           positiveDifference(c.Jobs, earlier.Jobs),
		WithinSLA:      positiveDifference(c.WithinSLA, earlier.WithinSLA),
		Done:           positiveDifference(c.Done, earlier.Done),
		Throttled:      positiveDifference(c.Throttled, earlier.Throttled),
		Cancelled:      positiveDifference(c.Cancelled, earlier.Cancelled),
		Dispatches:     positiveDifference(c.Dispatches, earlier.Dispatches),
		Retries:        positiveDifference(c.Retries, earlier.Retries),
		LatencyBuckets: make([]uint64, len(c.LatencyBuckets)),
	}
	for i, count := range c.LatencyBuckets {
		if i < len(earlier.LatencyBuckets) {
			count = positiveDifference(count, earlier.LatencyBuckets[i])
		}
		difference.LatencyBuckets[i] = count
	}
	return difference
}

func positiveDifference(a, b uint64) uint64 {
	return a - min(a, b)
}

func (c *JobCounts) add(other JobCounts) {
	c.Jobs += other.Jobs
	c.WithinSLA += other.WithinSLA
	c.Done += other.Done
	c.Throttled += other.Throttled
	c.Cancelled += other.Cancelled
	c.Dispatches += other.Dispatches
	c.Retries += other.Retries
	if missing := len(other.LatencyBuckets) - len(c.LatencyBuckets); missing > 0 {
		c.LatencyBuckets = append(c.LatencyBuckets, make([]uint64, missing)...)
	}
	for i, count := range other.LatencyBuckets {
		c.LatencyBuckets[i] += count
	}
}

// orZero returns the counts, or the zero value for a group without jobs.
func (c *JobCounts) orZero() JobCounts {
	if c == nil {
		return JobCounts{}
	}
	return *c
}

// addTo adds counts to a group's total.
func addTo(totals map[Group]*JobCounts, g Group, counts JobCounts) {
	if totals[g] == nil {
		totals[g] = &JobCounts{}
	}
	totals[g].add(counts)
}

// SumCounts returns the total over all groups of the controllers on the new version, or of those on the old version.
func SumCounts(samples []Sample, isNew bool) JobCounts {
	var sum JobCounts
	for _, s := range samples {
		if s.IsNew != isNew {
			continue
		}
		for _, counts := range s.Counts {
			sum.add(counts)
		}
	}
	return sum
}

// latencyThresholds holds the latency buckets of the median and of the ninth decile. Jobs in later buckets are slow.
type latencyThresholds struct {
	median      int
	ninthDecile int
}

// thresholdsOf returns the thresholds of the sum of several sets of counts.
func thresholdsOf(sets ...JobCounts) latencyThresholds {
	var total JobCounts
	for _, counts := range sets {
		total.add(JobCounts{LatencyBuckets: counts.LatencyBuckets})
	}
	return latencyThresholds{
		median:      decileBucket(total.LatencyBuckets, 5),
		ninthDecile: decileBucket(total.LatencyBuckets, 9),
	}
}

// decileBucket returns the first bucket at which the cumulative count reaches the given tenths of all jobs.
func decileBucket(buckets []uint64, tenths uint64) int {
	all := uint64(0)
	for _, count := range buckets {
		all += count
	}
	upTo := uint64(0)
	for i, count := range buckets {
		upTo += count
		if 10*upTo >= tenths*all {
			return i
		}
	}
	return len(buckets)
}
