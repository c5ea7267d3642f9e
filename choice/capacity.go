package choice

const (
	limitRaiseRatio, limitRaiseInterval = 1.5, 250 * ms   // latency over best: under it concurrency limits rise
	limitHalveRatio, limitHalveInterval = 3.0, 2 * second // over it they halve; and the time between such steps
	pressureRatio                       = 2.0             // latency over best that makes it bind
	highContention, lowContention       = 1.75, 1.4       // threads a core that begin and end pressure too
	startLimitFactor                    = 2.0             // of cores by share: our threads without pressure

	shortTypeFill, unreportedFill = 1.25, 0.6 // of an engine, filled by a first job: a short one, or unreported
	swapFill                      = 0.8       // of the memory of an engine that swaps
	probeExhaustedAfter           = second    // no probe was paid for so long: the mean must do
	priorJobs                     = 2.0       // jobs that our means of threads and memory begin with
)

// hasCapacity tells whether an engine has threads and memory for a job: by its concurrency limit under
// pressure or for a bucket that borrows, else by twice our share.
func (c *Controller) hasCapacity(j *job, e *engine) bool {
	if e.ejected || c.now < e.fullUntil {
		return false
	}
	start := e.cores * c.fleet.share
	limit := startLimitFactor * start
	memory := max(e.memoryMB*c.fleet.share, e.memoryMB-e.siblingThreads*c.meanMemoryPerThread())
	b := j.bucket
	borrows := b.threadsInUse > 0 && b.threadsInUse+j.jobType.threads > c.bucketLimit(b)
	if e.underPressure || borrows {
		limit, memory = e.concurrencyLimit, e.memoryMB*c.fleet.share
	}
	if c.isShortType(j.jobType) {
		limit += start / 2
	}
	limit *= c.slowStartFraction(e)
	// A job fits if half of it does: small shares of small engines would else shut out jobs of many threads.
	half := j.jobType.threads / 2
	if len(e.attempts) == 0 || limit < half {
		return c.fitsBesideSiblings(j, e, half)
	}
	return e.ownThreads+half <= limit && (e.memoryMB == 0 || e.ownMemoryMB+c.memoryNeed(j, e) <= memory)
}

// fitsBesideSiblings is the capacity where none of our jobs runs, or our share holds no job: what all
// controllers are known to hold counts instead of our share.
func (c *Controller) fitsBesideSiblings(j *job, e *engine, threads float64) bool {
	fill, memoryFill := 1.0, 1.0
	probesPossible := c.now-c.probeBudget.lastFundedAt < probeExhaustedAfter || c.fleet.lastReportAt == 0
	if c.isShortType(j.jobType) {
		fill = shortTypeFill
	} else if c.now-e.loadKnownAt >= reportTTL && probesPossible {
		fill = unreportedFill
	}
	if c.settings.memorySwaps {
		memoryFill = swapFill
	}
	return e.ownThreads+e.siblingThreads+threads <= highContention*fill*e.cores*c.slowStartFraction(e) &&
		(e.memoryMB == 0 || c.knownMemoryMB(e)+c.memoryNeed(j, e) <= memoryFill*fill*e.memoryMB)
}

// updatePressure sets whether a concurrency limit binds, and halves it, to where it started at the least,
// when latency grows while cores are full.
func (c *Controller) updatePressure(e *engine) {
	busy, full := (e.ownThreads+e.siblingThreads)/e.cores, c.now < e.fullUntil
	if full || busy > highContention || (busy > 1 && e.latencyRatio > pressureRatio) {
		e.underPressure = true
	} else if busy < 1 || (e.latencyRatio < limitRaiseRatio && busy < lowContention) {
		e.underPressure = false
	}
	if (full || (busy > 1 && e.latencyRatio > limitHalveRatio)) && c.now-e.limitHalvedAt >= limitHalveInterval {
		e.limitHalvedAt, e.limitRaisedAt = c.now, c.now
		e.concurrencyLimit = max(e.cores*c.fleet.share, e.concurrencyLimit/2)
	}
}

// raiseLimit gives an engine that answers near its best latency a thread more.
func (c *Controller) raiseLimit(e *engine, latencyRatio float64) {
	if latencyRatio < limitRaiseRatio && c.now-e.limitRaisedAt >= limitRaiseInterval {
		e.limitRaisedAt = c.now
		e.concurrencyLimit = min(startLimitFactor*e.cores*c.fleet.share, e.concurrencyLimit+1)
	}
}
