package canary

const (
	// recoverySamples is the number of most recent samples that are compared with the baseline.
	recoverySamples = 5
	// recoveryMinJobs is the minimum number of jobs in these samples.
	recoveryMinJobs = 20
)

// RecoveryCheck checks whether the whole fleet performs again as it did before the first stage. The zero value is ready
// to use.
type RecoveryCheck struct {
	samples [recoverySamples]proportion // ring buffer of jobs over their SLA time
	count   int                         // of samples observed
}

// Observe adds one sample of each controller and reports whether the rate of jobs over their SLA time in the most
// recent samples exceeds the baseline's by at most half of SharedPerMille.
func (r *RecoveryCheck) Observe(limits Limits, baseline *Baseline, samples []Sample) bool {
	r.samples[r.count%recoverySamples] = missedBySamples(samples)
	r.count++
	var recent proportion
	for _, p := range r.samples {
		recent = recent.plus(p)
	}
	if r.count < recoverySamples || recent.total < recoveryMinJobs {
		return false
	}
	before := missedOf(baseline.Counts)
	margin := float64(limits.SharedPerMille) / 2000
	return recent.bad/recent.total <= before.bad/max(1, before.total)+margin
}
