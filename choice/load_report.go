package choice

const (
	reportTTL                          = 1500 * ms // what is reported of siblings holds so long
	maxReportedJobs, maxReportedMemory = 1e6, 1e3  // jobs, and memories of an engine: more counts as this
	engineGrantFactor                  = 1.25      // of its estimate, granted to a job where engines decide
	contentionStep                     = 0.2       // of the fleet's contention, a report
)

// applyLoadReport reads the threads that siblings hold at an engine: by the jobs in hand beyond ours, or else
// by the memory granted beyond ours, which jobs that stand still hold too.
func (c *Controller) applyLoadReport(e *engine, load []float64) {
	if jobs, reported := c.settings.jobCount(load); reported {
		jobs = min(jobs, maxReportedJobs)
		c.suspectRestartByJobs(e, jobs)
		c.setSiblingThreads(e, (jobs-float64(len(e.attempts)))*c.meanThreadsPerJob())
		e.lastReportAt = c.now
		return
	}
	share, reported := c.settings.grantedMemory(load)
	if perThread := c.meanMemoryPerThread(); reported && perThread*e.memoryMB > 0 {
		grantedMB := min(share, maxReportedMemory) * e.memoryMB
		if !c.settings.grantsHonored {
			grantedMB /= engineGrantFactor
		}
		c.setSiblingThreads(e, (grantedMB-e.ownMemoryMB)/perThread)
		e.lastReportAt = c.now
	}
}

// setSiblingThreads notes the threads of siblings at an engine, as just reported by it or by them.
func (c *Controller) setSiblingThreads(e *engine, threads float64) {
	e.siblingThreads = max(0, threads)
	e.loadKnownAt, c.fleet.lastReportAt = c.now, c.now
	c.fleet.contention += contentionStep * ((e.ownThreads+e.siblingThreads)/e.cores - c.fleet.contention)
}
