package choice

const (
	limitRaiseRatio, limitRaiseInterval = 1.5, 250 * ms   // latency ratio below which a limit rises; interval
	limitHalveRatio, limitHalveInterval = 3.0, 2 * second // latency ratio above which it halves; interval
	pressureRatio                       = 2.0             // latency ratio above which it is enforced
	highContention, lowContention       = 1.75, 1.4       // threads per core: pressure begins above, ends below
	startLimitFactor                    = 2.0             // limit without pressure, as a multiple of own cores

	shortTypeFill, unreportedFill = 1.25, 0.6 // usable part of an idle engine: for short types; without a report
	swapFill                      = 0.8       // usable part of the memory of an engine that swaps
	probeExhaustedAfter           = second    // after this long without a probe token, unreportedFill is unused
	priorJobs                     = 2.0       // weight, in jobs, of the prior in the means of threads and memory
)

// hasCapacity reports whether an engine has threads and memory for a job. Under pressure, or for a bucket
// that borrows, the concurrency limit applies, else startLimitFactor times this controller's share of the
// engine.
func (c *Controller) hasCapacity(j *job, e *engine) bool {
	if e.ejected || c.now < e.fullUntil {
		return false
	}
	startLimit := e.cores * c.fleet.share
	limit := startLimitFactor * startLimit
	memoryLimit := max(e.memoryMB*c.fleet.share, e.memoryMB-e.siblingThreads*c.meanMemoryPerThread())
	b := j.bucket
	borrows := b.threadsInUse > 0 && b.threadsInUse+j.jobType.threads > c.bucketLimit(b)
	if e.underPressure || borrows {
		limit, memoryLimit = e.concurrencyLimit, e.memoryMB*c.fleet.share
	}
	if c.isShortType(j.jobType) {
		limit += startLimit / 2
	}
	limit *= c.slowStartFraction(e)
	// Only half of a job's threads must fit: a small share of a small engine would never admit a large job.
	half := j.jobType.threads / 2
	if len(e.attempts) == 0 || limit < half {
		return c.fitsBesideSiblings(j, e, half)
	}
	return e.ownThreads+half <= limit && (e.memoryMB == 0 || e.ownMemoryMB+c.memoryNeed(j, e) <= memoryLimit)
}

// fitsBesideSiblings checks capacity by the known load of all controllers. It replaces the check by share
// where this controller has no job on the engine, or its share is too small for the job.
func (c *Controller) fitsBesideSiblings(j *job, e *engine, threads float64) bool {
	threadFill, memoryFill := 1.0, 1.0
	probesPossible := c.now-c.probeBudget.lastFundedAt < probeExhaustedAfter || c.fleet.lastReportAt == 0
	if c.isShortType(j.jobType) {
		threadFill = shortTypeFill
	} else if c.now-e.loadKnownAt >= reportTTL && probesPossible {
		threadFill = unreportedFill
	}
	if c.settings.memorySwaps {
		memoryFill = swapFill
	}
	return e.ownThreads+e.siblingThreads+threads <= highContention*threadFill*e.cores*c.slowStartFraction(e) &&
		(e.memoryMB == 0 || c.knownMemoryMB(e)+c.memoryNeed(j, e) <= memoryFill*threadFill*e.memoryMB)
}

// updatePressure decides whether an engine's concurrency limit is enforced. It halves the limit, at most down
// to this controller's share of the cores, when latency grows while cores are busy.
func (c *Controller) updatePressure(e *engine) {
	load, full := (e.ownThreads+e.siblingThreads)/e.cores, c.now < e.fullUntil
	if full || load > highContention || (load > 1 && e.latencyRatio > pressureRatio) {
		e.underPressure = true
	} else if load < 1 || (e.latencyRatio < limitRaiseRatio && load < lowContention) {
		e.underPressure = false
	}
	if (full || (load > 1 && e.latencyRatio > limitHalveRatio)) && c.now-e.limitHalvedAt >= limitHalveInterval {
		e.limitHalvedAt, e.limitRaisedAt = c.now, c.now
		e.concurrencyLimit = max(e.cores*c.fleet.share, e.concurrencyLimit/2)
	}
}

// raiseLimit raises an engine's concurrency limit by one thread if its latency is near the best.
func (c *Controller) raiseLimit(e *engine, latencyRatio float64) {
	if latencyRatio < limitRaiseRatio && c.now-e.limitRaisedAt >= limitRaiseInterval {
		e.limitRaisedAt = c.now
		e.concurrencyLimit = min(startLimitFactor*e.cores*c.fleet.share, e.concurrencyLimit+1)
	}
}
