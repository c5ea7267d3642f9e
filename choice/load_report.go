package choice

const (
	reportTTL                          = 1500 * ms // a load report counts as fresh for this long
	maxReportedJobs, maxReportedMemory = 1e6, 1e3  // caps of reported jobs, of granted memory in engine sizes
	engineGrantFactor                  = 1.25      // memory granted over the estimate if engines choose it
	contentionStep                     = 0.2       // step of the fleet's contention per report
)

// applyLoadReport derives siblings' threads at an engine from its report: from the jobs beyond ours, or else
// from the memory granted beyond ours, which blocked jobs hold too.
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

// setSiblingThreads records the threads of siblings at an engine, as reported by it or by them.
func (c *Controller) setSiblingThreads(e *engine, threads float64) {
	e.siblingThreads = max(0, threads)
	e.loadKnownAt, c.fleet.lastReportAt = c.now, c.now
	c.fleet.contention += contentionStep * ((e.ownThreads+e.siblingThreads)/e.cores - c.fleet.contention)
}
