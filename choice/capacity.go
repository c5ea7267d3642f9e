package choice

const (
	limitRaiseRatio, limitRaiseInterval = 1.5, 250 * ms   // latency ratio below which a limit rises; interval
	limitHalveRatio, limitHalveInterval = 3.0, 2 * second // latency ratio above which a limit halves; interval
	pressureRatio                       = 2.0             // latency ratio above which the limit is enforced

	pressureStartContention, pressureEndContention = 1.75, 1.4 // threads per core: starts above; ends below
	maxLimitFactor                                 = 2.0       // limit without pressure, and cap, per own core

	shortTypeFill, unreportedFill = 1.25, 0.6 // factor on an engine's capacity: short types; no load report
	swapFill                      = 0.8       // usable part of the memory of an engine that swaps
	probeExhaustedAfter           = second    // unreportedFill is ignored after this long without a token
	priorJobs                     = 2.0       // weight, in jobs, of the prior in the means of threads and memory
)

// hasCapacity reports whether an engine has threads and memory for a job. Under pressure, or for a bucket
// that borrows (exceeds its bucketLimit), the engine's concurrency limit applies, else maxLimitFactor times
// this controller's share of the engine.
func (c *Controller) hasCapacity(j *job, e *engine) bool {
	if e.ejected || c.now < e.cooldownUntil {
		return false
	}
	startLimit := e.cores * c.fleet.share
	limit := maxLimitFactor * startLimit
	memoryLimit := max(e.memoryMB*c.fleet.share, e.memoryMB-e.peerThreads*c.meanMemoryPerThread())
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
		return c.fitsBesidePeers(j, e, half)
	}
	return e.ownThreads+half <= limit &&
		(e.memoryMB == 0 || e.ownMemoryMB+c.expectedMemoryMB(j, e) <= memoryLimit)
}

// fitsBesidePeers checks capacity by the known load of all controllers. It replaces the check by share
// where this controller has no job on the engine, or where its share is too small for the job.
func (c *Controller) fitsBesidePeers(j *job, e *engine, threads float64) bool {
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
	return e.ownThreads+e.peerThreads+threads <=
		pressureStartContention*threadFill*e.cores*c.slowStartFraction(e) &&
		(e.memoryMB == 0 || c.knownMemoryMB(e)+c.expectedMemoryMB(j, e) <= memoryFill*threadFill*e.memoryMB)
}

// updatePressure decides whether an engine's concurrency limit is enforced. It halves the limit, at most down
// to this controller's share of the cores, when latency grows while cores are busy.
func (c *Controller) updatePressure(e *engine) {
	load, full := (e.ownThreads+e.peerThreads)/e.cores, c.now < e.cooldownUntil
	if full || load > pressureStartContention || (load > 1 && e.latencyRatio > pressureRatio) {
		e.underPressure = true
	} else if load < 1 || (e.latencyRatio < limitRaiseRatio && load < pressureEndContention) {
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
		e.concurrencyLimit = min(maxLimitFactor*e.cores*c.fleet.share, e.concurrencyLimit+1)
	}
}
