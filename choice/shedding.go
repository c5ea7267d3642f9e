package choice

const (
	maxShedSlowdown = 2.0 // cap on the slowdown that predicts when a job ends

	// headWaitRatio of buckets above which the price rises and below which it falls.
	priceRiseWait, priceFallWait   = 0.15, 0.05
	priceChangePerSecond, maxPrice = 0.5, 2.0 // price of a second of work, in units of its mean value
)

// shedReason returns why a job should be shed, or "": it cannot end before it expires or this process stops,
// or its value per work is below the overload price. A job that ends after its deadline has its late value.
func (c *Controller) shedReason(j *job) Reason {
	t, value := j.jobType, j.value
	expectedEnd := c.now + Nanos(j.work/t.threads*min(max(1, t.slowdown), maxShedSlowdown))
	if c.nearExpiry(j) || expectedEnd > j.expiresAt {
		return TooLateToServe
	} else if expectedEnd > c.stopsAt {
		return WouldNotFinish
	}
	late := expectedEnd > j.deadline
	if late {
		value *= t.lateValueFactor
	}
	if (late && value == 0) || value/j.work < t.price*c.demand.meanValue/c.demand.meanWork {
		return ValueTooLow
	}
	return ""
}

// nearExpiry reports whether a job needs its final answer now: it may expire before the next sweep.
func (c *Controller) nearExpiry(j *job) bool {
	return c.now+sweepInterval+2*c.settings.maxEventDelay >= j.expiresAt
}

// nearStop reports whether all jobs need their final answers now: the process may be killed after stopsAt,
// even while jobs with later timeouts run on hung engines.
func (c *Controller) nearStop() bool {
	return c.now+sweepInterval+2*c.settings.maxEventDelay >= c.stopsAt
}

// finishWithoutResult gives a job its final answer without a result: Throttle if the client can safely
// repeat the job, CancelPermanently otherwise.
func (c *Controller) finishWithoutResult(j *job, reason Reason) {
	if j.finished || j.streaming {
		return
	}
	t := j.jobType
	neverRan := !j.mayHaveRun && j.attempt == nil
	enginesDropRepeats := t.keyed && t.keyScope == "all" && c.now < j.firstAttemptAt+t.repeatWindow
	if neverRan || t.restartable || enginesDropRepeats {
		c.emit(Action{Kind: Throttle, Job: j.id, Reason: reason, Duration: c.settings.retryAfter})
	} else {
		c.emit(Action{Kind: CancelPermanently, Job: j.id, Reason: reason})
	}
	c.finishJob(j)
}

// updateOverloadPrices adjusts each type's overload price to how long bucket heads wait. A type's price
// depends only on the heads of types that may use all of its own zones and kinds. So full engines raise the
// price only of types that are restricted to them.
func (c *Controller) updateOverloadPrices() {
	step := float64(sweepInterval) / float64(second)
	highestPrice, longestWait := 0.0, 0.0
	for _, t := range c.types {
		wait := c.longestHeadWait(t)
		if wait > priceRiseWait {
			t.price = min(maxPrice, t.price+priceChangePerSecond*step)
		} else if wait < priceFallWait {
			t.price = max(0, t.price-priceChangePerSecond*step)
		}
		if c.now-t.lastLatencyAt >= latencyStaleAfter {
			t.slowdown += latencyDecay * (1 - t.slowdown) // else a type shed for its slowdown would keep this slowdown
		}
		highestPrice, longestWait = max(highestPrice, t.price), max(longestWait, wait)
	}
	c.logOverload(highestPrice, longestWait)
}
