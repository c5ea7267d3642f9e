package canary

const (
	// recoverySamples is the number of last samples that are compared with the baseline.
	recoverySamples = 5
	// recoveryMinJobs is the number of jobs in them from which on they count.
	recoveryMinJobs = 20
)

// RecoveryCheck checks whether all controllers do again as they did before the first stage. The zero value is ready
// for use.
type RecoveryCheck struct {
	samples [recoverySamples]proportion // ring buffer of missed jobs
	count   int                         // of samples observed
}

// Observe adds a sample of every controller and reports whether the last samples are as the baseline is, within half
// of the margin for both versions.
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
