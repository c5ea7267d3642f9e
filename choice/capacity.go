package choice

const (
	limitRaiseRatio, limitRaiseInterval = 1.5, 250 * ms   // latency ratio below which a limit rises, how often
	limitHalveRatio, limitHalveInterval = 3.0, 2 * second // latency ratio above which it halves, how often
	pressureRatio                       = 2.0             // latency ratio above which it is enforced
	highContention, lowContention       = 1.75, 1.4       // threads per core: pressure begins above, ends below
	startLimitFactor                    = 2.0             // limit without pressure, in our share of the cores

	shortTypeFill, unreportedFill = 1.25, 0.6 // usable part of an idle engine: by short types, without a report
	swapFill                      = 0.8       // usable part of the memory of an engine that swaps
	probeExhaustedAfter           = second    // without probe tokens this long, unreported engines count fully
	priorJobs                     = 2.0       // mean-size jobs that our means of threads and memory start from
)

// hasCapacity reports whether an engine has threads and memory for a job: by its concurrency limit under
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

// fitsBesideSiblings checks capacity where none of our jobs runs, or our share holds no job: the known load
// of all controllers counts instead of our share.
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

// updatePressure decides whether the concurrency limit is enforced, and halves it, down to its start, when
// latency grows while cores are busy.
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

// raiseLimit raises the concurrency limit of an engine that answers near its best latency by one thread.
func (c *Controller) raiseLimit(e *engine, latencyRatio float64) {
	if latencyRatio < limitRaiseRatio && c.now-e.limitRaisedAt >= limitRaiseInterval {
		e.limitRaisedAt = c.now
		e.concurrencyLimit = min(startLimitFactor*e.cores*c.fleet.share, e.concurrencyLimit+1)
	}
}
