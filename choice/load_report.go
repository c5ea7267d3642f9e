package choice

const (
	reportTTL                          = 1500 * ms // a load report counts as fresh for this long
	maxReportedJobs, maxReportedMemory = 1e6, 1e3  // caps on reported jobs; on granted memory / engine size
	engineGrantFactor                  = 1.25      // granted over estimated memory, if engines choose the grants
	contentionStep                     = 0.2       // step of the fleet's contention per report
)

// applyLoadReport estimates peers' threads on an engine from its load report: from the jobs other than
// this controller's, or else from the memory granted to others, which includes that of blocked jobs.
func (c *Controller) applyLoadReport(e *engine, load []float64) {
	if jobs, reported := c.settings.jobCount(load); reported {
		jobs = min(jobs, maxReportedJobs)
		c.suspectRestartByJobs(e, jobs)
		c.setPeerThreads(e, (jobs-float64(len(e.attempts)))*c.meanThreadsPerJob())
		e.lastReportAt = c.now
		return
	}
	grantedShare, reported := c.settings.grantedMemory(load)
	if memoryPerThread := c.meanMemoryPerThread(); reported && memoryPerThread*e.memoryMB > 0 {
		grantedMB := min(grantedShare, maxReportedMemory) * e.memoryMB
		if !c.settings.grantsHonored {
			grantedMB /= engineGrantFactor
		}
		c.setPeerThreads(e, (grantedMB-e.ownMemoryMB)/memoryPerThread)
		e.lastReportAt = c.now
	}
}

// setPeerThreads records peers' threads on an engine, as reported by the engine or by peers.
func (c *Controller) setPeerThreads(e *engine, threads float64) {
	e.peerThreads = max(0, threads)
	e.loadKnownAt, c.fleet.lastReportAt = c.now, c.now
	c.fleet.contention += contentionStep * ((e.ownThreads+e.peerThreads)/e.cores - c.fleet.contention)
}
